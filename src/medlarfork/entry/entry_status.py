"""Describe an entry host to operators."""

from __future__ import annotations

import dataclasses

from medlarfork import member, ticket
from medlarfork.pool import pool_view


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUse:
    """Say how a pool that runs here uses an upstream.

    Attributes:
        ejected_for_s: How long the ejection still lasts, in seconds; None if there is none.
        limit: Requests at once that the pool gives it now; never more than ``slots``.
        slowness: Time per token relative to the median of its peers.
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
    """Describe one upstream that this host hears.

    Attributes:
        silent_s: How long ago it was last heard, in seconds.
        conflicts: Further services whose selectors match it.
        use: How its pool uses it; None if the pool does not run on this host.
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
    """Describe one entry host.

    Attributes:
        stage: Where a graceful stop stands; ``serving`` if there is none.
        proof_age_s: How long ago the configuration was proved current; None if it never was.
        leader_id: The control replica that is asked.
        requests: Requests in progress.
        queued: Those of them that wait for a slot.
        claiming: Those of them that wait for a claim.
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
