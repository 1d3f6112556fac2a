"""Operators' requests to control, their HTTP API and client, and the command line."""
