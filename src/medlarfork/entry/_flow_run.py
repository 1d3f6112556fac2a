"""Transitions of a request with a running attempt."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim, ticket
from medlarfork.entry import _flow_end, _flow_wait, entry_flow, entry_types, flow_context
from medlarfork.filters import answers, retry_rules

_CAUSE_BY_RESULT = {
    entry_types.AttemptResult.COMPLETE: ticket.ReleaseCause.FINISHED,
    entry_types.AttemptResult.REFUSED: ticket.ReleaseCause.REFUSED,
    entry_types.AttemptResult.NOT_SENT: ticket.ReleaseCause.FAILED,
    entry_types.AttemptResult.CUT_OFF: ticket.ReleaseCause.UNUSED,
    entry_types.AttemptResult.BROKEN: ticket.ReleaseCause.BROKEN,
}


def handle(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    event: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Apply an event while the attempt runs."""
    match event:
        case entry_types.AttemptStarted(attempt_id) if attempt_id == state.ticket_id:
            return entry_flow.Step(record_first_byte(flow, state, now))
        case entry_types.AttemptEnded(attempt_id) if attempt_id == state.ticket_id:
            return on_ended(flow, state, event, context, holder, now)
        case entry_flow.PeerMessage(sender, message):
            return _on_peer(flow, state, sender, message, context, now)
        case entry_flow.OwnersChanged(restarted):
            return _on_owners(flow, state, restarted, context, now)
        case entry_flow.TimerDue() if now >= flow.request.deadline_at:
            return _cancel(flow, state, entry_flow.StopCause.DEADLINE)
        case entry_types.CallerGone():
            return _cancel(flow, state, entry_flow.StopCause.CALLER_GONE)
        case entry_flow.Stop():
            return _cancel(flow, state, entry_flow.StopCause.DRAINED)
        case _:
            return entry_flow.Step(flow)


def record_first_byte(
    flow: entry_flow.Flow, state: entry_flow.Running, now: float
) -> entry_flow.Flow:
    """Return the flow after the first byte of an attempt's answer.

    It does not set ``relayed``: the connection may buffer the start of an answer, so only the
    ``AttemptEnded`` event states whether any byte has reached the caller.
    """
    state = dataclasses.replace(state, first_byte_at=now)
    first_byte_at = now if flow.first_byte_at is None else flow.first_byte_at
    return dataclasses.replace(flow, state=state, first_byte_at=first_byte_at)


def _cancel(
    flow: entry_flow.Flow, state: entry_flow.Running, cause: entry_flow.StopCause
) -> entry_flow.Step:
    flow = dataclasses.replace(flow, state=entry_flow.Stopping(state, cause))
    return entry_flow.Step(flow, (entry_types.CancelAttempt(state.ticket_id),))


def _on_peer(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    sender: str,
    message: Any,
    context: flow_context.FlowContext,
    now: float,
) -> entry_flow.Step:
    match message:
        case ticket.Grant():
            return entry_flow.Step(
                flow, handle_extra_grant(flow, state, sender, message, context, now)
            )
        case ticket.Preempt(ticket_id) if ticket_id == state.ticket_id and sender == state.owner:
            if not (flow.resumable or (message.stalled and _can_move(flow, state))):
                return entry_flow.Step(flow)
            return _cancel(flow, state, entry_flow.StopCause.PREEMPTED)
        case _:
            return entry_flow.Step(flow)


def _can_move(flow: entry_flow.Flow, state: entry_flow.Running) -> bool:
    """Return whether the request can resume or restart at another upstream."""
    unstarted = state.first_byte_at is None and not flow.relayed
    return flow.request.repeatable and (unstarted or bool(flow.request.model))


def handle_extra_grant(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    sender: str,
    grant: ticket.Grant,
    context: flow_context.FlowContext,
    now: float,
) -> tuple[Any, ...]:
    """Release a grant other than the one in use; a duplicate of the one in use is ignored."""
    same_ticket = sender == state.owner and grant.ticket_id == state.ticket_id
    if same_ticket and grant.upstream_id == state.upstream_id:
        return ()
    returned = _flow_wait.release_unused_grant(sender, grant)
    if not same_ticket:
        return (returned,)
    # The owner restarted and no longer knows its first grant.
    return (returned, _report_running(flow, state, state.owner, context, now))


def _on_owners(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    restarted: frozenset[str],
    context: flow_context.FlowContext,
    now: float,
) -> entry_flow.Step:
    owners = context.owners(state.pool)
    if not owners or (state.owner == owners[0] and state.owner not in restarted):
        return entry_flow.Step(flow)
    flow = dataclasses.replace(flow, state=dataclasses.replace(state, owner=owners[0]))
    report = _report_running(flow, state, owners[0], context, now)
    return entry_flow.Step(flow, (report,))


def _report_running(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    owner: str,
    context: flow_context.FlowContext,
    now: float,
) -> entry_flow.SendToOwner:
    entry_id = context.options.entry_id
    current = _flow_wait.make_ticket(flow, state.ticket_id, state.pool, entry_id, now)
    running = ticket.Running(current, state.upstream_id, now - state.started_at)
    return entry_flow.SendToOwner(owner, running)


def on_ended(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    event: entry_types.AttemptEnded,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Release the slot, then complete, retry or fail the request."""
    released = release(flow, state, event, _CAUSE_BY_RESULT[event.result], now)
    started = state.first_byte_at is not None
    if event.relayed and not flow.relayed:
        flow = dataclasses.replace(flow, relayed=True)
    ended = retry_rules.EndedAttempt(event, flow.relayed, flow.request.repeatable, started)
    match retry_rules.decide(ended):
        case retry_rules.Complete():
            if event.tokens > flow.tokens:
                flow = dataclasses.replace(flow, tokens=event.tokens)
            step = _flow_end.complete(flow, event, holder, now)
        case retry_rules.Fail(error):
            flow = dataclasses.replace(flow, uncertain=True, tokens=event.tokens)
            step = _flow_end.fail(flow, error, holder, now)
        case retry_rules.Requeue() as requeue:
            avoid = tuple(dict.fromkeys((*flow.avoid, state.upstream_id)))
            flow = dataclasses.replace(after_attempt(flow, state, requeue), avoid=avoid)
            step = _retry(flow, requeue, context, holder, now)
    return entry_flow.Step(step.flow, (released, *step.effects))


def _retry(
    flow: entry_flow.Flow,
    requeue: retry_rules.Requeue,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    if now >= flow.request.deadline_at:
        error = answers.deadline_error(ran=flow.uncertain)
        return _flow_end.fail(flow, error, holder, now)
    if flow.has_unknown_version:
        return _flow_end.fail(flow, requeue.otherwise, holder, now)
    retries = flow.retries + 1
    exhausted = retries >= context.options.attempts_limit
    if exhausted or not context.spend_retry(flow.request.service):
        return _flow_end.fail(flow, requeue.otherwise, holder, now)
    return _flow_wait.queue(dataclasses.replace(flow, retries=retries), context, holder, now)


def after_attempt(
    flow: entry_flow.Flow, state: entry_flow.Running, requeue: retry_rules.Requeue
) -> entry_flow.Flow:
    """Return the flow with the result of an attempt that ended and is followed by a retry."""
    tokens = requeue.resume_offset if requeue.ran else max(flow.tokens, requeue.resume_offset)
    if tokens == 0:
        flow = dataclasses.replace(flow, version=None, stream_pool="")
    elif flow.tokens == 0:
        flow = dataclasses.replace(flow, version=state.version, stream_pool=state.pool)
    flow = _flow_end.count_waste(flow, "retry", requeue.discarded)
    return dataclasses.replace(flow, tokens=tokens, uncertain=flow.uncertain or requeue.ran)


def release(
    flow: entry_flow.Flow,
    state: entry_flow.Running,
    event: entry_types.AttemptEnded,
    cause: ticket.ReleaseCause,
    now: float,
) -> entry_flow.ReleaseSlot:
    """Return the effect that releases the slot of an ended attempt."""
    first_token_s = None
    if state.first_byte_at is not None:
        first_token_s = state.first_byte_at - state.started_at
    slot_release = ticket.Release(
        state.ticket_id,
        state.pool,
        cause,
        first_token_s,
        whole_s=now - state.started_at,
        tokens=max(event.tokens - flow.tokens, 0),
        pause_s=event.pause_s,
    )
    return entry_flow.ReleaseSlot(state.owner, slot_release)
