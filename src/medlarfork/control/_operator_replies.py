"""Answer operators' requests that only read, and turn refusals into replies."""

from __future__ import annotations

from medlarfork import errors
from medlarfork.control import _member_leases, replicated_state
from medlarfork.operator import operations
from medlarfork.orders import order_manager


def configuration(
    state: replicated_state.ReplicatedState, revision: int | None
) -> operations.Reply:
    """Return the configuration of a revision, or a refusal if it is not kept."""
    current = state.current
    found = current if revision is None else state.configuration_at(revision)
    if found is None or found.revision > current.revision:
        return operations.Refused(
            errors.Code.NOT_FOUND,
            f"Revision {revision} is not kept.",
            f"Name one of the last revisions up to {current.revision}; see the history.",
            revision=current.revision,
        )
    return operations.ConfigurationReply(found.revision, current.revision, found.configuration)


def members(leases: _member_leases.MemberLeases, current: int) -> operations.MembersReply:
    """Return the entry hosts that hold a lease; ``current`` is control's own revision."""
    return operations.MembersReply(leases.view.version, member_statuses(leases), current)


def member_statuses(leases: _member_leases.MemberLeases) -> tuple[operations.MemberStatus, ...]:
    """Return each entry host that holds a lease with the revision it confirmed."""
    statuses = [
        operations.MemberStatus(lease.member, lease.revision, lease.heard)
        for lease in leases.leases
    ]
    return tuple(sorted(statuses, key=lambda status: status.member.entry_id))


def in_force(
    leases: _member_leases.MemberLeases, revision: int, current: int
) -> operations.InForceReply:
    """Return where a revision is in force; ``current`` is control's own revision.

    No entry host of this log can have a revision above the current one, so such a number counts
    the changes of an earlier log and confirms none of this one.
    """
    confirming = range(revision, current + 1)
    confirmed = [lease for lease in leases.leases if lease.revision in confirming]
    waiting = [lease for lease in leases.leases if lease.revision not in confirming]
    lost = [lease for lease in leases.lost if lease.revision not in confirming]
    ahead = [lease for lease in waiting if lease.revision > current]
    return operations.InForceReply(
        revision,
        tuple(sorted(lease.member.entry_id for lease in confirmed)),
        tuple(sorted(lease.member.entry_id for lease in waiting)),
        tuple(sorted(lease.entry_id for lease in lost)),
        tuple(sorted(lease.member.entry_id for lease in ahead)),
    )


def known_upstreams(
    desk: order_manager.OrderManager | None, upstream_ids: tuple[str, ...]
) -> operations.Reply:
    """Return which upstreams are reported, or a refusal if this replica hears no reports."""
    if desk is None:
        return no_sub_state("inventory")
    known = desk.known_upstreams
    return operations.KnownUpstreams(tuple(item for item in upstream_ids if item in known))


def orders(desk: order_manager.OrderManager | None, now: float) -> operations.Reply:
    """Return what engines are ordered, or a refusal if this deployment orders none."""
    if desk is None:
        return no_sub_state("orders")
    board = desk.board
    return operations.OrdersReply(
        revision=board.revision,
        fence=desk.fence,
        desired=tuple(board.declared_by_name.values()),
        in_progress=tuple(board.order_by_upstream.values()),
        waiting=desk.waiting(now),
        out_of_service=tuple(sorted(board.out_of_service)),
        history=board.history,
    )


def no_sub_state(name: str) -> operations.Refused:
    """Return the refusal of a name that no part of the state has."""
    return operations.Refused(
        errors.Code.NOT_FOUND, f"There is no {name!r} here.", "Correct the name."
    )


def change_reply(answer: replicated_state.ChangeAnswer) -> operations.Reply:
    """Return the reply to a change that the log has decided."""
    match answer.code:
        case None:
            return operations.ChangeAccepted(answer.change_id, answer.revision)
        case errors.Code.CHANGE_CONFLICT:
            return _conflict(answer)
        case errors.Code.CHANGE_TOO_OLD:
            return operations.Refused(
                answer.code,
                "The change id is older than the ids that are remembered; it was not applied now.",
                "Look in the history whether it was applied, else check the clock; use a new id.",
                revision=answer.revision,
            )
        case errors.Code.KEY_REUSED:
            return operations.Refused(
                answer.code,
                "The change id was used for another change; this one was not applied.",
                "Send each change with an id of its own.",
                revision=answer.revision,
            )
        case _:
            return operations.Refused(
                answer.code,
                "The change id is no lower-case UUID of version 7 from about now.",
                "Set the clock of the operator's host and make a new UUIDv7 for the change.",
                revision=answer.revision,
            )


def _conflict(answer: replicated_state.ChangeAnswer) -> operations.Refused:
    winner = answer.winner
    message = f"The base revision is not the current one, {answer.revision}."
    if winner is not None:
        message = (
            f"Change {winner.change_id} of operator {winner.operator} was accepted instead, "
            f"as revision {winner.revision}."
        )
    return operations.Refused(
        errors.Code.CHANGE_CONFLICT,
        message,
        "Fetch the current configuration, make the change from it and send it with a new id.",
        winner=winner,
        revision=answer.revision,
    )


def not_leader(leader_id: str, leader_address: str) -> operations.Refused:
    """Return a refusal that names the leader, if it is known."""
    remedy = "Ask the leader." if leader_id else "Ask again in a second, or another replica."
    return operations.Refused(
        errors.Code.NOT_LEADER,
        "This replica does not lead.",
        remedy,
        leader_id=leader_id,
        leader_address=leader_address,
    )


def no_quorum() -> operations.Refused:
    """Return the refusal of a leader that hears no majority of the replicas."""
    return operations.Refused(
        errors.Code.NO_QUORUM,
        "This replica hears no majority of the control replicas; nothing was changed.",
        "Bring replicas back, or ask another one in case this one is cut off.",
    )


def uncertain() -> operations.Refused:
    """Return the reply if leadership was lost before the request was decided."""
    return operations.Refused(
        errors.Code.UNCERTAIN,
        "Leadership changed before the request was decided; it may still take effect.",
        "Send the same request with the same id again; it takes effect once.",
    )


def overloaded() -> operations.Refused:
    """Return the refusal if too many requests are in progress."""
    return operations.Refused(
        errors.Code.OVERLOADED,
        "Too many requests are in progress; this one was not run.",
        "Send it again in a few seconds.",
    )


def invalid(findings: tuple[str, ...]) -> operations.Refused:
    """Return the refusal of a configuration with mistakes."""
    return operations.Refused(
        errors.Code.CONFIGURATION_INVALID,
        f"The configuration has {len(findings)} mistake(s); it was not applied.",
        "Correct what the findings list; medlarctl check shows them with their lines.",
        findings=findings,
    )
