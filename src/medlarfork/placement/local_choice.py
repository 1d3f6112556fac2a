"""Choose an upstream from local knowledge alone, while the placement owner can't be reached.

Only this entry host's own runs count. Prompts with the same affinity key go to the same upstream as
long as it is about as free as any other.
"""

from __future__ import annotations

from medlarfork import rendezvous
from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, shard_choice

RETRY_MS = 300.0
"""Retry delay if no upstream is known, in milliseconds: a replica publishes its view within it."""

STANDALONE_SHARE = 0.5
"""Fraction of an upstream's rate limit that all entry hosts without an owner may use together.
An owner that others still reach uses the full limit."""

MAX_EXTRA_RUNS = 2
"""How many more own runs the preferred upstream may have than the least busy one."""


def choose(
    request: placement_messages.PlaceRequest,
    upstreams: tuple[upstream_types.Announcement, ...],
    runs_by_upstream: dict[str, int],
    salt: str,
) -> str:
    """Return an incarnation; empty if none may be used.

    Args:
        request: The placement request.
        upstreams: Upstreams of its service that accept requests.
        runs_by_upstream: This host's own runs.
        salt: Breaks ties differently on each entry host.
    """
    usable = [item for item in upstreams if request.may_run_at(item.upstream_id, item.version)]
    if not usable:
        return ""
    min_runs = min(runs_by_upstream.get(item.upstream_id, 0) for item in usable)
    key = shard_choice.affinity_key(request.parts) or salt + request.ticket_id
    max_extra = MAX_EXTRA_RUNS if request.parts else 0
    candidates = [
        item for item in usable if runs_by_upstream.get(item.upstream_id, 0) <= min_runs + max_extra
    ]
    return rendezvous.rank(key, [item.upstream_id for item in candidates])[0]


def paces_s(
    upstreams: tuple[upstream_types.Announcement, ...],
    gate: send_gate.SendGate,
    *,
    entry_id: str,
    entry_hosts: int,
    now: float,
) -> dict[str, float]:
    """Return the time until each upstream may get a request from here, in seconds, by its id.

    Args:
        upstreams: Upstreams of a service that accept requests.
        gate: Paces requests to upstreams.
        entry_id: This entry host.
        entry_hosts: Number of entry hosts that share the upstreams' rate limits.
        now: The time in seconds.
    """
    share = pace_share(entry_hosts)
    return {
        item.upstream_id: gate.wait_s(item.upstream_id, entry_id, now, share) for item in upstreams
    }


def pace_share(entry_hosts: int) -> float:
    """Return the part of an upstream's rate limit that this host may use."""
    return STANDALONE_SHARE / entry_hosts


def refuse(
    request: placement_messages.PlaceRequest, paces_s_by_id: dict[str, float]
) -> placement_messages.PlaceRefused | None:
    """Refuse a request with the time when an upstream accepts it; None if one accepts it now.

    Args:
        request: The placement request.
        paces_s_by_id: See ``paces_s``; only of upstreams with its version, if it needs one.
    """
    for upstream_id, wait_s in paces_s_by_id.items():
        if wait_s <= 0 and upstream_id not in request.excluded:
            return None
    why = "no upstream of the service is known"
    if request.version is not None:
        why = f"no upstream of the stream's version {request.version!r} is known"
    if paces_s_by_id:
        why = "every upstream is rate-limited, in backoff, or has failed this request"
    retry_ms = max(RETRY_MS, 1000.0 * min(paces_s_by_id.values(), default=0.0))
    return placement_messages.PlaceRefused(request.ticket_id, retry_ms, why)
