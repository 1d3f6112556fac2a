"""Backpressure signals in upstreams' responses: rate limits, backoffs, and graceful stops."""
