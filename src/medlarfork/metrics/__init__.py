"""Metrics of a process, rendered for Prometheus."""
