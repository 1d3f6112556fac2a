"""Show operators what a pool knows; read-only copies."""

from __future__ import annotations

import dataclasses
import enum
import math


class Health(enum.StrEnum):
    """Say how a pool uses an upstream.

    EJECTED: it failed or was slow, and gets no grants until the ejection ends.
    PROBING: after an ejection it gets one request at a time until it has answered well.
    SLOW_START: it came up or back lately, and its limit still grows.
    OUT: it gets no grants for another reason, as when it is drained or leaving.
    """

    IN_USE = "in_use"
    EJECTED = "ejected"
    PROBING = "probing"
    SLOW_START = "slow_start"
    OUT = "out"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """Describe an upstream as the pool sees it.

    Attributes:
        usable: Whether it may get grants now.
        limit: Requests at once that the pool gives it now; never more than ``slots``.
        foreign: Requests that its reports show and the pool did not send.
        slowness: Time per token relative to the median of its peers.
        ejected_until: Monotonic time at which an ejection ends; None if there is none.
        full_at: Monotonic time at which a slow start ends.
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

        An ejection that is ignored, because too few upstreams are left, counts as one too.
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
    """Describe a tier: what waits, what runs and what lower-tier rules apply to it now.

    Attributes:
        withheld: Free slots that the tier must leave to those above it.
        floor_slots: Slots that the tier is sure of while it has work queued.
    """

    tier: int
    queued: int
    running: int
    withheld: int
    floor_slots: float
