"""Requests that end the upstreams that run them: who knows, and when one is tried again."""
