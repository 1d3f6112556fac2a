"""Routes by host and path: their configuration, its checks, and the look-up of a request."""
