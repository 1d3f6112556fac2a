"""Show operators what a pool knows; read-only copies."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """Describe an upstream as the pool sees it.

    Attributes:
        usable: Whether it may get grants now.
        limit: Requests at once that the pool gives it now; never more than ``slots``.
        foreign: Requests that its reports show and the pool did not send.
        slowness: Time per token relative to the median of its peers.
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
