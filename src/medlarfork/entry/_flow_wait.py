"""Transitions of a request that waits for a slot."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from medlarfork import claim, ticket
from medlarfork.entry import _flow_end, _flow_start, entry_flow, entry_types, flow_context
from medlarfork.filters import answers, deduplicate

_HANDOVER_BACKOFF_S = 0.1
"""Backoff before the ticket goes to another owner after one replied that it is not the owner."""


def queue(
    flow: entry_flow.Flow, context: flow_context.FlowContext, holder: claim.Holder, now: float
) -> entry_flow.Step:
    """Queue the request for its next attempt."""
    pool = flow.stream_pool
    if not (pool and context.owners(pool)):
        pool = context.choose_pool(flow.request.service, now)
    if not pool:
        return _flow_end.fail(flow, answers.no_capacity_error(), holder, now)
    return _send_ticket(flow, pool, context.owners(pool)[0], context, now)


def handle(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    event: Any,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    """Apply an event while no slot has been granted."""
    match event:
        case entry_flow.PeerMessage(sender, message):
            return _on_peer(flow, state, sender, message, context, holder, now)
        case entry_flow.TimerDue():
            return _on_due(flow, state, context, holder, now)
        case entry_flow.OwnersChanged(restarted):
            return _on_owners(flow, state, restarted, context, holder, now)
        case entry_types.CallerGone():
            return _withdraw_and_end(state, _flow_end.caller_gone(flow, holder, now))
        case entry_flow.Stop():
            return _withdraw_and_end(
                state, _flow_end.fail(flow, answers.drained_error(), holder, now)
            )
        case _:
            return entry_flow.Step(flow)


def release_unused_grant(sender: str, grant: ticket.Grant) -> entry_flow.ReleaseSlot:
    """Return the effect that releases a grant that is not used."""
    release = ticket.Release(grant.ticket_id, grant.pool, ticket.ReleaseCause.UNUSED)
    return entry_flow.ReleaseSlot(sender, release)


def make_ticket(
    flow: entry_flow.Flow, ticket_id: str, pool: str, entry_id: str, now: float
) -> ticket.Ticket:
    """Return the request's ticket with times relative to ``now``."""
    incoming = flow.request
    return ticket.Ticket(
        ticket_id,
        entry_id,
        pool,
        incoming.account,
        incoming.class_name,
        incoming.tier,
        waited_s=now - incoming.arrived_at,
        time_left_s=incoming.deadline_at - now,
        target_left_s=_target_left_s(flow, now),
        repeatable=incoming.repeatable,
        preemptible=flow.resumable,
        prefix=incoming.prefix,
        max_tokens=incoming.max_tokens,
        resume_offset=flow.tokens,
        avoid=flow.avoid,
        repeat_key=incoming.repeat_key,
        version=flow.version,
    )


def _target_left_s(flow: entry_flow.Flow, now: float) -> float | None:
    targets = [flow.request_class.whole_target_s]
    if flow.first_byte_at is None:
        targets.append(flow.request_class.first_token_target_s)
    known = [target for target in targets if target is not None]
    return flow.request.arrived_at + min(known) - now if known else None


def _send_ticket(
    flow: entry_flow.Flow, pool: str, owner: str, context: flow_context.FlowContext, now: float
) -> entry_flow.Step:
    """Send a new ticket to an owner.

    The ticket needs a new id: an owner ignores a ticket that was withdrawn before.
    """
    attempt = flow.attempt + 1
    ticket_id = entry_flow.ticket_id(flow.request.request_id, attempt)
    resend_at = now + context.options.ticket_resend_s
    state = entry_flow.Waiting(ticket_id, pool, owner, unanswered_since=now, resend_at=resend_at)
    flow = dataclasses.replace(flow, state=state, attempt=attempt)
    new_ticket = make_ticket(flow, ticket_id, pool, context.options.entry_id, now)
    return entry_flow.Step(flow, (entry_flow.SendToOwner(owner, new_ticket),))


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
        # The ticket was withdrawn from a skipped owner, so its grant must not be used.
        case ticket.Grant() if not current:
            return entry_flow.Step(flow, (release_unused_grant(sender, message),))
        case ticket.Grant():
            return _on_grant(flow, state, message, context, holder, now)
        case ticket.Queued() if current:
            # A ticket queued in this process can't get lost, so it is not resent.
            local = sender == context.options.entry_id
            resend_at = math.inf if local else now + context.options.ticket_refresh_s
            state = dataclasses.replace(state, unanswered_since=None, resend_at=resend_at)
            return entry_flow.Step(dataclasses.replace(flow, state=state))
        case ticket.Shed(reason=ticket.ShedReason.NOT_OWNER) if current:
            # The hosts' views differ briefly; resending at once would cycle between the owners.
            resend_at = now + _HANDOVER_BACKOFF_S
            state = dataclasses.replace(state, unanswered_since=-math.inf, resend_at=resend_at)
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
    if now >= flow.request.deadline_at:
        error = answers.deadline_error(ran=flow.uncertain)
        return _prepend(unused, _flow_end.fail(flow, error, holder, now))
    if flow.version is not None and grant.version != flow.version:
        # The owner runs an earlier build, which does not know versions.
        error = answers.upstream_error(answers.UNKNOWN_VERSION)
        return _prepend(unused, _flow_end.fail(flow, error, holder, now))
    # Control may have treated this host as lost, and answered a duplicate of the request so.
    if flow.claimed and not context.holds_lease(now):
        step = _flow_end.fail(flow, deduplicate.no_quorum_error(), holder, now)
        return _prepend(unused, step)
    return _flow_start.start(flow, state, grant, now)


def _on_due(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    context: flow_context.FlowContext,
    holder: claim.Holder,
    now: float,
) -> entry_flow.Step:
    options = context.options
    if now >= flow.request.deadline_at:
        error = answers.deadline_error(ran=flow.uncertain)
        return _withdraw_and_end(state, _flow_end.fail(flow, error, holder, now))
    if now < state.resend_at:
        return entry_flow.Step(flow)
    if (
        state.unanswered_since is not None
        and now >= state.unanswered_since + options.owner_timeout_s
    ):
        return _try_next_owner(flow, state, context, now)
    unanswered_since = now if state.unanswered_since is None else state.unanswered_since
    state = dataclasses.replace(
        state, unanswered_since=unanswered_since, resend_at=now + options.ticket_resend_s
    )
    flow = dataclasses.replace(flow, state=state)
    resent = make_ticket(flow, state.ticket_id, state.pool, options.entry_id, now)
    return entry_flow.Step(flow, (entry_flow.SendToOwner(state.owner, resent),))


def _try_next_owner(
    flow: entry_flow.Flow,
    state: entry_flow.Waiting,
    context: flow_context.FlowContext,
    now: float,
) -> entry_flow.Step:
    owners = context.owners(state.pool) or (state.owner,)
    position = owners.index(state.owner) + 1 if state.owner in owners else 0
    owner = owners[position % len(owners)]
    return _prepend(_withdraw(state), _send_ticket(flow, state.pool, owner, context, now))


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
        # The service was removed, or its number of shards changed.
        return _prepend(_withdraw(state), queue(flow, context, holder, now))
    if state.owner == owners[0] and state.owner not in restarted:
        return entry_flow.Step(flow)
    step = _send_ticket(flow, state.pool, owners[0], context, now)
    return _prepend(_withdraw(state), step) if state.owner != owners[0] else step


def _withdraw(state: entry_flow.Waiting) -> entry_flow.SendToOwner:
    return entry_flow.SendToOwner(state.owner, ticket.Withdraw(state.ticket_id, state.pool))


def _withdraw_and_end(state: entry_flow.Waiting, step: entry_flow.Step) -> entry_flow.Step:
    return _prepend(_withdraw(state), step)


def _prepend(effect: Any, step: entry_flow.Step) -> entry_flow.Step:
    return entry_flow.Step(step.flow, (effect, *step.effects))
