"""Quarantine of requests that crash the upstreams that run them."""
