"""Choose an upstream from what one entry host knows alone, while the owner can't be asked.

It counts only this host's own runs. Prompts with the same shared part go to the same upstream while
that is about as free as any other.
"""

from __future__ import annotations

from medlarfork import rendezvous
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages

SLACK_RUNS = 2
"""Own runs by which the preferred upstream may exceed the least busy one."""

SHARED_PART = 1
"""Which part of a prompt names the matter that requests share; nearly all share the first."""


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
    key = _matter(request) or salt + request.ticket_id
    slack = SLACK_RUNS if request.parts else 0
    near = [item for item in usable if runs_by_upstream.get(item.upstream_id, 0) <= least + slack]
    return rendezvous.rank(key, [item.upstream_id for item in near])[0]


def _matter(request: placement_messages.PlaceRequest) -> str:
    if len(request.parts) <= SHARED_PART:
        return ""
    return request.parts[SHARED_PART].part_id
