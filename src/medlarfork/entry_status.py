"""Describe an entry host to operators."""

from __future__ import annotations

import dataclasses

from medlarfork import member, ticket


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Describe one upstream that this host hears.

    Attributes:
        silent_s: How long ago it was last heard, in seconds.
        conflicts: Further services whose selectors match it.
    """

    upstream_id: str
    address: str
    pool: str
    state: str
    silent_s: float
    conflicts: tuple[str, ...]


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
