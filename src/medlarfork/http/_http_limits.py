"""Limits of the HTTP server: sizes, timeouts and connection counts."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits that callers must keep; violations are refused or reset.

    Attributes:
        target_bytes: Maximum size of a request target.
        header_bytes: Maximum size of a request line and its headers together.
        header_count: Maximum number of header lines.
        body_bytes: Maximum size of a request body.
        header_s: Timeout for the head, from its first byte, in seconds.
        body_s: Timeout for the body, from the end of the head, in seconds.
        idle_s: Timeout of a connection between requests, in seconds.
        stall_s: Timeout of a write that makes no progress, in seconds.
        linger_s: Time to wait for the caller to close after the last response, in seconds.
        connections: Maximum number of open connections.
        unacknowledged_s: Timeout for unacknowledged data (TCP_USER_TIMEOUT), in seconds; 0 for
            the system's default.
    """

    target_bytes: int = 8 * 1024
    header_bytes: int = 32 * 1024
    header_count: int = 8 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_s: float = 10.0
    body_s: float = 60.0
    idle_s: float = 75.0
    stall_s: float = 30.0
    linger_s: float = 1.0
    connections: int = 4096
    unacknowledged_s: float = 0.0
