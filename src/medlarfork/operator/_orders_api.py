"""Translate operators' HTTP requests and replies about orders to engines."""

from __future__ import annotations

import dataclasses

import msgspec

from medlarfork import errors, uuid7
from medlarfork.control import replicated_state
from medlarfork.operator import operations
from medlarfork.orders import order_types, orders


def list_orders(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    """Return the request for the declarations and the orders in progress, waiting and finished."""
    return operations.GetOrders()


def declare(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    """Return the request that declares the desired state of engines; retrying it is safe.

    Raises:
        ValueError: The change id is not a lower-case UUIDv7.
        msgspec.MsgspecError: The body can't be decoded as ``order_types.Declare``.
    """
    command = msgspec.json.decode(body, type=order_types.Declare)
    if uuid7.time_ms(command.change_id) is None or command.change_id.lower() != command.change_id:
        raise ValueError("change_id is no lower-case UUID of version 7")
    command = dataclasses.replace(command, operator=operator or command.operator)
    return operations.AskSubState(orders.OrderBoard.name, orders.COMMANDS.pack(command))


def reply_to(request: operations.Request, reply: operations.Reply) -> operations.Reply:
    """Return the decoded reply of the order board; other replies are returned unchanged."""
    if not isinstance(reply, operations.SubStateReply):
        return reply
    assert isinstance(request, operations.AskSubState)
    change_id = orders.COMMANDS.unpack(request.command).change_id
    decided = orders.REPLIES.unpack(reply.reply)
    match decided.verdict:
        case order_types.Verdict.ACCEPTED:
            return operations.ChangeAccepted(change_id, decided.revision)
        case order_types.Verdict.CONFLICT:
            return _conflict(decided)
        case order_types.Verdict.KEY_REUSED:
            return operations.Refused(
                errors.Code.KEY_REUSED,
                "The change id was used for another declaration; this one was not accepted.",
                "Send each change with an id of its own.",
            )
        case _:
            return operations.Refused(
                errors.Code.BAD_REQUEST,
                f"The declaration was refused: {decided.verdict}.",
                "Correct its name, selector, weights and share, or withdraw others.",
                revision=decided.revision,
            )


def _conflict(decided: order_types.BoardReply) -> operations.Refused:
    winner = decided.winner
    assert winner is not None
    record = replicated_state.ChangeRecord(
        winner.revision,
        winner.change_id,
        winner.operator,
        winner.base_revision,
        winner.accepted_at_ms,
    )
    return operations.Refused(
        errors.Code.CHANGE_CONFLICT,
        f"Change {winner.change_id} of operator {winner.operator} declared "
        f"{winner.desired.name!r} instead, as revision {winner.revision}.",
        "List the orders, make the change from that revision and send it with a new id.",
        winner=record,
        revision=decided.revision,
    )
