"""The control node: the log's state, claims, leases of entry hosts, and its program."""
