"""What the servers of a process may take of its memory and its descriptors."""

from __future__ import annotations

import dataclasses
import resource

from medlarfork.http import _http_limits, input_gate

RECEIVE_SHARE = 0.25
"""Share of a process's memory that what clients send may take."""

CONNECTIONS_SHARE = 0.3
"""Share of a process's descriptors that the connections of one of its servers may take: there are
two of them at most, and links and files need the others."""

CONNECTIONS_MEMORY_SHARE = 0.1
"""Share of a process's memory that connections without a request may take."""

CONNECTION_BYTES = 12_000
"""Memory of a connection without a request, in bytes."""


def receive_mb(memory_mb: float) -> float:
    """Return the room for what clients send, in megabytes, if a process may use so much memory."""
    return RECEIVE_SHARE * memory_mb if memory_mb > 0 else input_gate.DEFAULT_RECEIVE_MB


def connection_limits(
    limits: _http_limits.HttpLimits, *, memory_mb: float, max_descriptors: int
) -> _http_limits.HttpLimits:
    """Return limits with a number of connections that the process can bear.

    Args:
        limits: The limits otherwise.
        memory_mb: Memory that the process may use, in megabytes; 0 if not stated.
        max_descriptors: File descriptors that it may open; 0 for the system's limit.
    """
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = max_descriptors
    if descriptors <= 0:
        descriptors = limits.connections if system_limit == resource.RLIM_INFINITY else system_limit
    bounds = [limits.connections, int(CONNECTIONS_SHARE * descriptors)]
    if memory_mb > 0:
        bounds.append(int(CONNECTIONS_MEMORY_SHARE * memory_mb * 1e6 / CONNECTION_BYTES))
    return dataclasses.replace(limits, connections=min(bounds))
