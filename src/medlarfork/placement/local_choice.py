"""Choose an upstream from what one entry host knows alone, while the owner can't be asked.

It counts only this host's own runs. Prompts with the same shared part go to the same upstream while
that is about as free as any other.
"""

from __future__ import annotations

import itertools

from medlarfork import rendezvous
from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, shard_choice

RETRY_MS = 300.0
"""When to come back if no upstream is known, in milliseconds: a replica tells its view within."""

STANDALONE_SHARE = 0.5
"""Part of an upstream's rate limit that all entry hosts which place alone use together: the owner
that others still reach uses the whole."""

MAX_EXTRA_RUNS = 2
"""Own runs by which the preferred upstream may exceed the least busy one."""


def choose(
    request: placement_messages.PlaceRequest,
    upstreams: tuple[upstream_types.Announcement, ...],
    runs_by_upstream: dict[str, int],
    salt: str,
) -> str:
    """Return an incarnation, or an empty text if none may be used.

    Args:
        request: What is to run.
        upstreams: Those of its service that may take requests.
        runs_by_upstream: This host's own runs.
        salt: Breaks ties differently on each entry host.
    """
    usable = [item for item in upstreams if item.upstream_id not in request.excluded]
    if not usable:
        return ""
    least = min(runs_by_upstream.get(item.upstream_id, 0) for item in usable)
    key = shard_choice.affinity_key(request.parts) or salt + request.ticket_id
    slack = MAX_EXTRA_RUNS if request.parts else 0
    near = [item for item in usable if runs_by_upstream.get(item.upstream_id, 0) <= least + slack]
    return rendezvous.rank(key, [item.upstream_id for item in near])[0]


def place(
    request: placement_messages.PlaceRequest,
    upstreams: tuple[upstream_types.Announcement, ...],
    runs_by_upstream: dict[str, int],
    gate: send_gate.SendGate,
    *,
    entry_id: str,
    entry_hosts: int,
    now: float,
) -> placement_messages.Placed | placement_messages.PlaceRefused:
    """Place a request on an upstream that takes it now, or say when the first one does.

    Args:
        request: What is to run.
        upstreams: Those of its service that may take requests.
        runs_by_upstream: This host's own runs.
        gate: Says when an upstream may get a request.
        entry_id: This host.
        entry_hosts: How many hosts share the rate limits of upstreams.
        now: The time in seconds.
    """
    share = STANDALONE_SHARE / entry_hosts
    waits_s = [gate.wait_s(item.upstream_id, entry_id, now, share) for item in upstreams]
    is_open = [wait_s <= 0 for wait_s in waits_s]
    open_now = tuple(itertools.compress(upstreams, is_open))
    chosen = choose(request, open_now, runs_by_upstream, entry_id)
    if chosen:
        gate.record_send(chosen, now, share)
        return placement_messages.Placed(request.ticket_id, chosen)
    why = "no upstream of the service is known"
    if upstreams:
        why = "every upstream is at its limit, wants a pause, or failed this request"
    retry_ms = max(RETRY_MS, 1000.0 * min(waits_s, default=0.0))
    return placement_messages.PlaceRefused(request.ticket_id, retry_ms, why)
