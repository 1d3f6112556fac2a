"""Backpressure signals in upstreams' answers: rate limits, pauses, and leaving."""
