"""Count and time what a process does, and render it for Prometheus."""
