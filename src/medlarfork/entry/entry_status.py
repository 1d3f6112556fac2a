"""Status of an entry host for operators."""

from __future__ import annotations

import dataclasses

from medlarfork import member, ticket
from medlarfork.pool import pool_view


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUse:
    """How a pool that runs here uses an upstream.

    Attributes:
        ejected_for_s: Remaining time of the ejection, in seconds; None if there is none.
        limit: Current concurrency limit; never more than ``slots``.
        slowness: Time per token relative to the median of the other upstreams.
    """

    health: pool_view.Health
    ejected_for_s: float | None
    slots: int
    limit: int
    running: int
    slowness: float


def use_of(view: pool_view.UpstreamView, now: float) -> UpstreamUse:
    """Return how a pool uses an upstream at a monotonic time in seconds."""
    until = view.ejected_until
    return UpstreamUse(
        health=view.health(now),
        ejected_for_s=None if until is None else max(0.0, until - now),
        slots=view.slots,
        limit=view.limit,
        running=view.running,
        slowness=view.slowness,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of an upstream whose announcements this host receives.

    Attributes:
        silent_s: Time since its last announcement, in seconds.
        conflicts: Further services whose selectors match it.
        use: Its use by its pool; None if the pool does not run on this host.
    """

    upstream_id: str
    address: str
    pool: str
    state: str
    silent_s: float
    conflicts: tuple[str, ...]
    use: UpstreamUse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry host.

    Attributes:
        stage: Stage of a graceful stop; ``serving`` if there is none.
        proof_age_s: Time since the configuration was proved current; None if it never was.
        leader_id: The control replica that heartbeats go to.
        requests: Requests in progress.
        queued: Requests in progress that wait for a slot.
        claiming: Requests in progress that wait for a claim.
        unconfirmed: Messages to control and owners whose receipt has not been confirmed.
    """

    entry_id: str
    incarnation: int
    stage: str
    revision: int
    view_version: tuple[int, int]
    proven: bool
    proof_age_s: float | None
    leader_id: str
    requests: int
    queued: int
    claiming: int
    held_bytes: int
    unconfirmed: int
    members: tuple[member.Member, ...]
    pools: tuple[ticket.PoolSummary, ...]
    upstreams: tuple[UpstreamStatus, ...]
