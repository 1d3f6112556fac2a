"""Streams that are resumed: which service and version began them, and who knows it."""
