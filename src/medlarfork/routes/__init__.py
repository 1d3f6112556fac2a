"""Routing by host and path: configuration model, validation and lookup."""
