"""Replies to operators: read requests, and refusals."""

from __future__ import annotations

from medlarfork import errors
from medlarfork.control import _member_leases, replicated_state
from medlarfork.operator import operations
from medlarfork.orders import order_manager


def configuration(
    state: replicated_state.ReplicatedState, revision: int | None
) -> operations.Reply:
    """Return the configuration of a revision, or a refusal if it is no longer kept."""
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
    """Return the entry hosts that hold a lease; ``current`` is the control plane's revision."""
    return operations.MembersReply(leases.view.version, member_statuses(leases), current)


def member_statuses(leases: _member_leases.MemberLeases) -> tuple[operations.MemberStatus, ...]:
    """Return each entry host that holds a lease with its confirmed revision."""
    statuses = [
        operations.MemberStatus(lease.member, lease.revision, lease.heard)
        for lease in leases.leases
    ]
    return tuple(sorted(statuses, key=lambda status: status.member.entry_id))


def in_force(
    leases: _member_leases.MemberLeases, revision: int, current: int
) -> operations.InForceReply:
    """Return where a revision is in force; ``current`` is the control plane's revision.

    No entry host of this log can have a revision above the current one. Such a number comes from an
    earlier log and confirms no revision of this one.
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
    engine_orders: order_manager.OrderManager | None, upstream_ids: tuple[str, ...]
) -> operations.Reply:
    """Return which upstreams are reported, or a refusal if this replica receives no reports."""
    if engine_orders is None:
        return no_sub_state("inventory")
    known = engine_orders.known_upstreams
    return operations.KnownUpstreams(tuple(item for item in upstream_ids if item in known))


def orders(engine_orders: order_manager.OrderManager | None, now: float) -> operations.Reply:
    """Return the state of engine orders, or a refusal if this deployment has none."""
    if engine_orders is None:
        return no_sub_state("orders")
    board = engine_orders.board
    return operations.OrdersReply(
        revision=board.revision,
        fence=engine_orders.fence,
        desired=tuple(board.declared_by_name.values()),
        in_progress=tuple(board.order_by_upstream.values()),
        waiting=engine_orders.waiting(now),
        out_of_service=tuple(sorted(board.out_of_service)),
        history=board.history,
    )


def no_sub_state(name: str) -> operations.Refused:
    """Return the refusal of an unknown sub-state name."""
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
                "The change id is older than all remembered ids; the change was not applied now.",
                "Check in the history whether it was applied, else the clock; use a new id.",
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
                "The change id is not a lower-case UUIDv7 with a time close to now.",
                "Set the clock of the operator's host and generate a new UUIDv7 for the change.",
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
    """Return a refusal with the leader, if it is known."""
    remedy = "Ask the leader." if leader_id else "Ask again in a second, or another replica."
    return operations.Refused(
        errors.Code.NOT_LEADER,
        "This replica is not the leader.",
        remedy,
        leader_id=leader_id,
        leader_address=leader_address,
    )


def no_quorum() -> operations.Refused:
    """Return the refusal of a leader that reaches no majority of the replicas."""
    return operations.Refused(
        errors.Code.NO_QUORUM,
        "This replica reaches no majority of the control replicas; nothing was changed.",
        "Restore replicas, or ask another one in case this one is partitioned off.",
    )


def uncertain() -> operations.Refused:
    """Return the reply to a request whose outcome is unknown after a change of leadership."""
    return operations.Refused(
        errors.Code.UNCERTAIN,
        "Leadership changed before the request was decided; it may still take effect.",
        "Send the same request with the same id again; it takes effect once.",
    )


def overloaded() -> operations.Refused:
    """Return the refusal when too many requests are in progress."""
    return operations.Refused(
        errors.Code.OVERLOADED,
        "Too many requests are in progress; this one was not executed.",
        "Send it again in a few seconds.",
    )


def invalid(findings: tuple[str, ...]) -> operations.Refused:
    """Return the refusal of an invalid configuration."""
    return operations.Refused(
        errors.Code.CONFIGURATION_INVALID,
        f"The configuration has {len(findings)} mistake(s); it was not applied.",
        "Correct what the findings list; medlarctl check shows them with their lines.",
        findings=findings,
    )
