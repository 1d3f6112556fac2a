"""Handle the events of a request that waits for a slot."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from medlarfork import claim, ticket
from medlarfork.entry import _flow_end, _flow_start, entry_flow, entry_types, flow_context
from medlarfork.filters import answers, deduplicate

_HANDOVER_PAUSE_S = 0.1
"""Pause before another owner is asked after one said that it does not own the pool."""


def queue(
    flow: entry_flow.Flow, context: flow_context.FlowContext, holder: claim.Holder, now: float
) -> entry_flow.Step:
    """Queue for the next attempt."""
    pool = context.choose_pool(flow.asked.service, now)
    if not pool:
        return _flow_end.fail(flow, answers.no_capacity_error(), holder, now)
    return _ask(flow, pool, context.owners(pool)[0], context, now)


def handle(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    event: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Apply one event while no slot has been granted."""
    match event:
        case entry_flow.PeerMessage(sender, message):
            return _on_peer(flow, state, sender, message, context, holder, now)
        case entry_flow.TimerDue():
            return _on_due(flow, state, context, holder, now)
        case entry_flow.OwnersChanged(restarted):
            return _on_owners(flow, state, restarted, context, holder, now)
        case entry_types.CallerGone():
            return _leave(state, _flow_end.caller_gone(flow, holder, now))
        case entry_flow.Stop():
            return _leave(state, _flow_end.fail(flow, answers.drained_error(), holder, now))
        case _:
            return entry_flow.Step(flow)


def release_unused_grant(sender: str, grant: ticket.Grant) -> entry_flow.ReleaseSlot:
    """Return the release of a grant that is not used."""
    release = ticket.Release(grant.ticket_id, grant.pool, ticket.ReleaseCause.UNUSED)
    return entry_flow.ReleaseSlot(sender, release)


def make_ticket(
    flow: entry_flow.Flow, ticket_id: str, pool: str, entry_id: str, now: float
) -> ticket.Ticket:
    """Return the ticket as of now."""
    asked = flow.asked
    return ticket.Ticket(
        ticket_id,
        entry_id,
        pool,
        asked.account,
        asked.class_name,
        asked.tier,
        waited_s=now - asked.arrived_at,
        time_left_s=asked.deadline_at - now,
        target_left_s=_target_left_s(flow, now),
        repeatable=asked.repeatable,
        preemptible=flow.resumable,
        prefix=asked.prefix,
        max_tokens=asked.max_tokens,
        resume_offset=flow.tokens,
        avoid=flow.avoid,
        repeat_key=asked.repeat_key,
    )


def _target_left_s(flow: entry_flow.Flow, now: float) -> float | None:
    targets = [flow.request_class.whole_target_s]
    if flow.first_byte_at is None:
        targets.append(flow.request_class.first_token_target_s)
    known = [target for target in targets if target is not None]
    return flow.asked.arrived_at + min(known) - now if known else None


def _ask(
    flow: entry_flow.Flow, pool: str, owner: str, context: flow_context.FlowContext, now: float
) -> entry_flow.Step:
    """Ask an owner with a new ticket; owners ignore what they were told to forget."""
    attempt = flow.attempt + 1
    ticket_id = entry_flow.ticket_id(flow.asked.request_id, attempt)
    resend_at = now + context.options.ticket_resend_s
    state = entry_flow.Waiting(ticket_id, pool, owner, asked_at=now, resend_at=resend_at)
    flow = dataclasses.replace(flow, state=state, attempt=attempt)
    asked = make_ticket(flow, ticket_id, pool, context.options.entry_id, now)
    return entry_flow.Step(flow, (entry_flow.SendToOwner(owner, asked),))


def _on_peer(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    sender: str,
    message: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    current = sender == state.owner and message.ticket_id == state.ticket_id
    match message:
        # An owner passed over got a withdrawal, so its slot is no longer ours.
        case ticket.Grant() if not current:
            return entry_flow.Step(flow, (release_unused_grant(sender, message),))
        case ticket.Grant():
            return _on_grant(flow, state, message, context, holder, now)
        case ticket.Queued() if current:
            # A ticket that waits in this very process can't get lost.
            local = sender == context.options.entry_id
            resend_at = math.inf if local else now + context.options.ticket_refresh_s
            state = dataclasses.replace(state, asked_at=None, resend_at=resend_at)
            return entry_flow.Step(dataclasses.replace(flow, state=state))
        case ticket.Shed(reason=ticket.ShedReason.NOT_OWNER) if current:
            # The views differ for a moment; asking again at once would only go round in circles.
            resend_at = now + _HANDOVER_PAUSE_S
            state = dataclasses.replace(state, asked_at=-math.inf, resend_at=resend_at)
            return entry_flow.Step(dataclasses.replace(flow, state=state))
        case ticket.Shed() if current:
            return _flow_end.fail(flow, answers.shed_error(message), holder, now)
        case _:
            return entry_flow.Step(flow)


def _on_grant(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    grant: ticket.Grant,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    unused = release_unused_grant(state.owner, grant)
    if now >= flow.asked.deadline_at:
        error = answers.deadline_error(ran=flow.uncertain)
        return _before(unused, _flow_end.fail(flow, error, holder, now))
    # Control may have told a duplicate by now that this host was lost and runs nothing any more.
    if flow.claimed and not context.holds_lease(now):
        step = _flow_end.fail(flow, deduplicate.no_quorum_error(), holder, now)
        return _before(unused, step)
    return _flow_start.start(flow, state, grant, now)


def _on_due(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    options = context.options
    if now >= flow.asked.deadline_at:
        error = answers.deadline_error(ran=flow.uncertain)
        return _leave(state, _flow_end.fail(flow, error, holder, now))
    if now < state.resend_at:
        return entry_flow.Step(flow)
    if state.asked_at is not None and now >= state.asked_at + options.owner_timeout_s:
        return _ask_next(flow, state, context, now)
    asked_at = now if state.asked_at is None else state.asked_at
    state = dataclasses.replace(state, asked_at=asked_at, resend_at=now + options.ticket_resend_s)
    flow = dataclasses.replace(flow, state=state)
    again = make_ticket(flow, state.ticket_id, state.pool, options.entry_id, now)
    return entry_flow.Step(flow, (entry_flow.SendToOwner(state.owner, again),))


def _ask_next(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    context: flow_context.FlowContext,
    now: float,
) -> entry_flow.Step:
    owners = context.owners(state.pool) or (state.owner,)
    position = owners.index(state.owner) + 1 if state.owner in owners else 0
    owner = owners[position % len(owners)]
    return _before(_withdraw(state), _ask(flow, state.pool, owner, context, now))


def _on_owners(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    restarted: frozenset[str],
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    owners = context.owners(state.pool)
    if not owners:
        # The pool is gone with its service or with a change of its shards.
        return _before(_withdraw(state), queue(flow, context, holder, now))
    if state.owner == owners[0] and state.owner not in restarted:
        return entry_flow.Step(flow)
    asked = _ask(flow, state.pool, owners[0], context, now)
    return _before(_withdraw(state), asked) if state.owner != owners[0] else asked


def _withdraw(state: entry_flow.Waiting) -> entry_flow.SendToOwner:
    return entry_flow.SendToOwner(state.owner, ticket.Withdraw(state.ticket_id, state.pool))


def _leave(state: entry_flow.Waiting, step: entry_flow.Step) -> entry_flow.Step:
    return _before(_withdraw(state), step)


def _before(effect: Any, step: entry_flow.Step) -> entry_flow.Step:
    return entry_flow.Step(step.flow, (effect, *step.effects))
