"""Define how the present values of a process's gauges are read."""

from __future__ import annotations

from collections.abc import Callable

ReadGauges = Callable[[], dict[str, float]]
"""Returns the present values of the gauges by name."""
