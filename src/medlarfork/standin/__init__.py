"""Stand-ins for upstreams: model engines and plain services."""
