"""Callback types for reading the gauges of a process."""

from __future__ import annotations

from collections.abc import Callable

ReadGauges = Callable[[], dict[str, float]]
"""Returns the current values of the gauges by name."""

ReadGauge = Callable[[], float]
"""Returns the current value of one gauge."""
