"""Begin an attempt of a request that was granted a slot."""

from __future__ import annotations

import dataclasses

from medlarfork import ticket
from medlarfork.entry import entry_flow, entry_types


def start(
    flow: entry_flow.Flow, waiting: entry_flow.Waiting, grant: ticket.Grant, now: float
) -> entry_flow.Step:
    """Dispatch to the upstream that the grant names."""
    asked = flow.asked
    state = entry_flow.Running(
        waiting.ticket_id, waiting.pool, waiting.owner, grant.upstream_id, started_at=now
    )
    queued_s = now - asked.arrived_at if flow.queued_s is None else flow.queued_s
    flow = dataclasses.replace(flow, state=state, dispatches=flow.dispatches + 1, queued_s=queued_s)
    action = entry_types.Dispatch(
        asked.request_id,
        waiting.ticket_id,
        grant.upstream_id,
        grant.address,
        resume_offset=flow.tokens,
        timeout_s=asked.deadline_at - now,
        assemble=flow.resumable and not asked.stream,
        key=asked.key,
        tier=asked.tier,
    )
    return entry_flow.Step(flow, (action,))
