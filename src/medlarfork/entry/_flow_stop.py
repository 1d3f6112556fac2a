"""Transitions of a request whose attempt was cancelled and has not ended yet."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim, ticket
from medlarfork.entry import (
    _flow_end,
    _flow_run,
    _flow_wait,
    entry_flow,
    entry_types,
    flow_context,
)
from medlarfork.filters import answers, retry_rules

_CAUSE_BY_STOP = {
    entry_flow.StopCause.PREEMPTED: ticket.ReleaseCause.PREEMPTED,
    entry_flow.StopCause.CALLER_GONE: ticket.ReleaseCause.CANCELLED,
    entry_flow.StopCause.DEADLINE: ticket.ReleaseCause.TIMED_OUT,
    entry_flow.StopCause.DRAINED: ticket.ReleaseCause.CANCELLED,
}


def handle(
    flow: entry_flow.Flow,
    state: entry_flow.Stopping,
    event: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Apply an event while the end of the cancelled attempt is awaited."""
    running = state.running
    match event:
        case entry_types.AttemptStarted(attempt_id) if attempt_id == running.ticket_id:
            flow = _flow_run.record_first_byte(flow, running, now)
            stopping = entry_flow.Stopping(flow.state, state.cause)
            return entry_flow.Step(dataclasses.replace(flow, state=stopping))
        case entry_types.AttemptEnded(attempt_id) if attempt_id == running.ticket_id:
            return _on_stopped(flow, state, event, context, holder, now)
        case entry_flow.PeerMessage(sender, ticket.Grant() as grant):
            return entry_flow.Step(
                flow, _flow_run.handle_extra_grant(flow, running, sender, grant, context, now)
            )
        # A caller that has gone replaces any cause; a stop of the host replaces a preemption, and
        # so does the deadline, in ``_after_stop``.
        case entry_types.CallerGone():
            return _with_cause(flow, state, entry_flow.StopCause.CALLER_GONE)
        case entry_flow.Stop() if state.cause is entry_flow.StopCause.PREEMPTED:
            return _with_cause(flow, state, entry_flow.StopCause.DRAINED)
        case _:
            return entry_flow.Step(flow)


def _with_cause(
    flow: entry_flow.Flow, state: entry_flow.Stopping, cause: entry_flow.StopCause
) -> entry_flow.Step:
    stopping = entry_flow.Stopping(state.running, cause)
    return entry_flow.Step(dataclasses.replace(flow, state=stopping))


def _on_stopped(
    flow: entry_flow.Flow,
    state: entry_flow.Stopping,
    event: entry_types.AttemptEnded,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    running = state.running
    if event.result is entry_types.AttemptResult.COMPLETE:
        # The answer completed before the cancellation took effect.
        return _flow_run.on_ended(flow, running, event, context, holder, now)
    released = _flow_run.release(flow, running, event, _CAUSE_BY_STOP[state.cause], now)
    flow = dataclasses.replace(flow, relayed=flow.relayed or event.relayed)
    started = running.first_byte_at is not None
    decision = retry_rules.decide(
        retry_rules.EndedAttempt(event, flow.relayed, flow.request.repeatable, started)
    )
    match decision:
        case retry_rules.Requeue() as requeue:
            flow = _flow_run.after_attempt(flow, running, requeue)
        case _:
            flow = dataclasses.replace(flow, uncertain=True, tokens=event.tokens)
    step = _after_stop(flow, state.cause, decision, context, holder, now)
    return entry_flow.Step(step.flow, (released, *step.effects))


def _after_stop(
    flow: entry_flow.Flow,
    cause: entry_flow.StopCause,
    decision: retry_rules.Decision,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    match cause:
        case entry_flow.StopCause.CALLER_GONE:
            return _flow_end.caller_gone(flow, holder, now)
        case entry_flow.StopCause.DEADLINE:
            error = answers.deadline_error(ran=flow.uncertain)
            return _flow_end.fail(flow, error, holder, now)
        case entry_flow.StopCause.DRAINED:
            return _flow_end.fail(flow, answers.drained_error(), holder, now)
        case entry_flow.StopCause.PREEMPTED if flow.has_unknown_version:
            error = answers.upstream_error(answers.UNKNOWN_VERSION)
            return _flow_end.fail(flow, error, holder, now)
        case entry_flow.StopCause.PREEMPTED if isinstance(decision, retry_rules.Requeue):
            if now < flow.request.deadline_at:
                return _flow_wait.queue(flow, context, holder, now)
            return _flow_end.fail(flow, answers.deadline_error(ran=True), holder, now)
        case entry_flow.StopCause.PREEMPTED:
            error = answers.upstream_error("the paused stream can't be resumed")
            return _flow_end.fail(flow, error, holder, now)
