"""Transitions of a request that waits for its claim."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim
from medlarfork.entry import _flow_end, _flow_wait, entry_flow, entry_types, flow_context
from medlarfork.filters import answers, deduplicate


def request_claim(
    flow: entry_flow.Flow, context: flow_context.FlowContext, holder: claim.Holder, now: float
) -> entry_flow.Step:
    """Send a claim request to control, for the first time or as a retry."""
    last_reply_at = flow.state.last_reply_at if isinstance(flow.state, entry_flow.Claiming) else now
    contended = isinstance(flow.state, entry_flow.Claiming) and flow.state.contended
    ask_at = now + context.options.claim_resend_s
    state = entry_flow.Claiming(last_reply_at, ask_at, contended)
    claim_request = claim.ClaimRequest(
        deduplicate.key_of(flow.request), holder, flow.request.body_sha256
    )
    flow = dataclasses.replace(flow, state=state)
    return entry_flow.Step(flow, (entry_flow.SendClaimRequest(claim_request),))


def handle(
    flow: entry_flow.Flow,
    state: entry_flow.Claiming,
    event: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Apply an event while control has not decided on the claim."""
    match event:
        case claim.ClaimReply():
            return _on_reply(flow, event, context, holder, now)
        case entry_flow.TimerDue():
            return _on_due(flow, state, context, holder, now)
        case entry_types.CallerGone():
            return _flow_end.caller_gone(flow, holder, now)
        case entry_flow.Stop():
            return _flow_end.fail(flow, answers.drained_error(), holder, now)
        case _:
            return entry_flow.Step(flow)


def _on_reply(
    flow: entry_flow.Flow,
    reply: claim.ClaimReply,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    match deduplicate.decide(reply):
        case deduplicate.Proceed():
            return _flow_wait.queue(flow, context, holder, now)
        case deduplicate.InProgress():
            ask_at = now + context.options.claim_poll_s
            state = entry_flow.Claiming(last_reply_at=now, ask_at=ask_at, contended=True)
            return entry_flow.Step(dataclasses.replace(flow, state=state))
        case deduplicate.Replay(stored):
            return _flow_end.replay(flow, stored, now)
        case deduplicate.Refuse() as refuse:
            return _refuse(flow, refuse, holder, now)


def _on_due(
    flow: entry_flow.Flow,
    state: entry_flow.Claiming,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    if now >= flow.request.deadline_at:
        if state.contended:
            return _refuse(flow, deduplicate.still_running(), holder, now)
        return _flow_end.fail(flow, answers.deadline_error(ran=False), holder, now)
    # While another request holds the key, control only replies once per poll interval.
    if now >= state.last_reply_at + _timeout_s(state, context):
        refuse = deduplicate.control_unavailable(contended=state.contended)
        return _refuse(flow, refuse, holder, now)
    if now >= state.ask_at:
        return request_claim(flow, context, holder, now)
    return entry_flow.Step(flow)


def _timeout_s(state: entry_flow.Claiming, context: flow_context.FlowContext) -> float:
    options = context.options
    return options.claim_timeout_s + (options.claim_poll_s if state.contended else 0.0)


def _refuse(
    flow: entry_flow.Flow, refuse: deduplicate.Refuse, holder: claim.Holder, now: float
) -> entry_flow.Step:
    flow = dataclasses.replace(flow, claimed=refuse.abandon)
    return _flow_end.fail(flow, refuse.error, holder, now, outcome=refuse.outcome)
