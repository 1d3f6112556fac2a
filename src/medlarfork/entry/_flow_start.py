"""Start of an attempt for a request that was granted a slot."""

from __future__ import annotations

import dataclasses

from medlarfork import ticket
from medlarfork.entry import entry_flow, entry_types


def start(
    flow: entry_flow.Flow, waiting: entry_flow.Waiting, grant: ticket.Grant, now: float
) -> entry_flow.Step:
    """Dispatch the request to the upstream of the grant."""
    incoming = flow.request
    state = entry_flow.Running(
        waiting.ticket_id,
        waiting.pool,
        waiting.owner,
        grant.upstream_id,
        started_at=now,
        version=grant.version,
    )
    queued_s = now - incoming.arrived_at if flow.queued_s is None else flow.queued_s
    flow = dataclasses.replace(flow, state=state, dispatches=flow.dispatches + 1, queued_s=queued_s)
    action = entry_types.Dispatch(
        incoming.request_id,
        waiting.ticket_id,
        grant.upstream_id,
        grant.address,
        resume_offset=flow.tokens,
        timeout_s=incoming.deadline_at - now,
        assemble=flow.resumable and not incoming.stream,
        key=incoming.key,
        tier=incoming.tier,
    )
    return entry_flow.Step(flow, (action,))
