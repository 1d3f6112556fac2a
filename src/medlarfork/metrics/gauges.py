"""Callback type for reading the gauges of a process."""

from __future__ import annotations

from collections.abc import Callable

ReadGauges = Callable[[], dict[str, float]]
"""Returns the current values of the gauges by name."""
