"""What the servers of a process may take of its memory."""

from __future__ import annotations

from medlarfork.http import input_gate

RECEIVE_SHARE = 0.25
"""Share of a process's memory that what clients send may take."""


def receive_mb(memory_mb: float) -> float:
    """Return the room for what clients send, in megabytes, if a process may use so much memory."""
    return RECEIVE_SHARE * memory_mb if memory_mb > 0 else input_gate.DEFAULT_RECEIVE_MB
