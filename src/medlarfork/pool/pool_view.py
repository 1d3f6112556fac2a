"""Read-only views of a pool's state, for operators."""

from __future__ import annotations

import dataclasses
import enum
import math


class Health(enum.StrEnum):
    """How a pool uses an upstream.

    IN_USE: it gets grants up to its limit.
    EJECTED: it failed or was slow, and gets no grants until the ejection ends.
    PROBING: after an ejection it gets one request at a time until enough of them succeeded.
    SLOW_START: it came up or returned recently, and its limit is still increasing.
    OUT: it gets no grants for another reason, such as being drained or leaving.
    """

    IN_USE = "in_use"
    EJECTED = "ejected"
    PROBING = "probing"
    SLOW_START = "slow_start"
    OUT = "out"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """State of an upstream as known to the pool.

    Attributes:
        usable: Whether it may get grants now.
        limit: Concurrent requests that the pool allows it now; never more than ``slots``.
        foreign: Requests in its load report that this pool did not send.
        slowness: Time per token relative to the median of its peers.
        ejected_until: Monotonic time at which an ejection ends; None if there is none.
        full_at: Monotonic time at which its slow start ends.
    """

    upstream_id: str
    address: str
    usable: bool
    drained: bool
    ejected: bool
    probing: bool
    slots: int
    limit: int
    running: int
    foreign: int
    slowness: float
    ejected_until: float | None = None
    full_at: float = -math.inf

    def health(self, now: float) -> Health:
        """Return how the pool uses the upstream at a monotonic time in seconds.

        An ejection also counts while it is ignored because too few upstreams are left.
        """
        if self.ejected:
            return Health.EJECTED
        if not self.usable:
            return Health.OUT
        if self.probing:
            return Health.PROBING
        return Health.SLOW_START if now < self.full_at else Health.IN_USE


@dataclasses.dataclass(frozen=True, slots=True)
class TierView:
    """State of a tier: its queued and running tickets, and its withheld and floor slots.

    Attributes:
        withheld: Free slots that the tier must leave to the tiers above it.
        floor_slots: Slots guaranteed to the tier while it has tickets queued.
    """

    tier: int
    queued: int
    running: int
    withheld: int
    floor_slots: float
