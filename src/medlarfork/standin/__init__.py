"""Stand-ins for what the system serves: engines and plain services."""
