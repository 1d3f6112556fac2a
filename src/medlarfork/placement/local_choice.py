"""Choose an upstream from what one entry host knows alone, while the owner can't be asked.

It counts only this host's own runs. Prompts with the same shared part go to the same upstream while
that is about as free as any other.
"""

from __future__ import annotations

from medlarfork import rendezvous
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, shard_choice

SLACK_RUNS = 2
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
    key = shard_choice.matter(request.parts) or salt + request.ticket_id
    slack = SLACK_RUNS if request.parts else 0
    near = [item for item in usable if runs_by_upstream.get(item.upstream_id, 0) <= least + slack]
    return rendezvous.rank(key, [item.upstream_id for item in near])[0]
