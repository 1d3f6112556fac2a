"""Define what a connection may use before it is refused or cut."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what callers may use.

    Attributes:
        target_bytes: Length of a request's target.
        header_bytes: Length of a request's line and headers together.
        header_count: Number of header lines.
        body_bytes: Length of a request's body.
        header_s: Time to the whole head, from its first byte, in seconds.
        body_s: Time to the whole body, from the end of the head, in seconds.
        idle_s: Time a connection may be silent between requests, in seconds.
        stall_s: Time a caller may read nothing while an answer is being written, in seconds.
        linger_s: Time to wait for a caller's end after the last answer, in seconds.
        connections: Connections open at once.
        unacknowledged_s: Time after which a connection is given up whose peer acknowledges
            nothing, in seconds; 0 leaves that to the system.
    """

    target_bytes: int = 8 * 1024
    header_bytes: int = 32 * 1024
    header_count: int = 128
    body_bytes: int = 8 * 1024 * 1024
    header_s: float = 10.0
    body_s: float = 60.0
    idle_s: float = 75.0
    stall_s: float = 30.0
    linger_s: float = 1.0
    connections: int = 4096
    unacknowledged_s: float = 0.0
