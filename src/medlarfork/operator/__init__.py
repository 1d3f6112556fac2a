"""Operators' requests, their API over HTTP, and the command line."""
