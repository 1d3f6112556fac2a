"""The control node: replicated state, claims, leases of entry hosts, and its program."""
