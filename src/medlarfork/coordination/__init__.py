"""Control replicas of a routed deployment: configuration, announcements, entry hosts, placement."""
