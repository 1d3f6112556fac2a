"""Order board: replicated state of declarations, orders in progress and finished orders.

An order is recorded before it is sent and stays in progress until its result is known, so a new
holder of the lease finds every order that an earlier one may have sent.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

import msgspec

from medlarfork import codec
from medlarfork.orders import _declarations, order_types

COMMANDS = codec.Codec(
    (
        order_types.Declare,
        order_types.Withdraw,
        order_types.BeginHolding,
        order_types.RecordOrder,
        order_types.RecordResult,
        order_types.SetInService,
    )
)
"""Codec for the commands of an order board."""

REPLIES = codec.Codec((order_types.BoardReply,))
"""Codec for the replies of an order board."""

MAX_IN_PROGRESS = 20_000
"""Maximum number of orders in progress; further ones are refused."""

MAX_HISTORY = 1_000
"""Maximum number of finished orders that are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BoardState:
    """Complete state for a snapshot."""

    fence: int
    last_number: int
    last_mark: int
    declarations: _declarations.DeclarationsState
    in_progress: tuple[order_types.Order, ...]
    out_of_service: tuple[str, ...]
    out_of_service_version: int
    history: tuple[order_types.FinishedOrder, ...]


class OrderBoard:
    """Declarations and orders, changed by commands in log order; deterministic."""

    name = "orders"

    def __init__(self) -> None:
        """Start empty."""
        self._clear()

    @property
    def fence(self) -> int:
        """Return the highest fence of a ``BeginHolding`` command."""
        return self._fence

    @property
    def desired_by_name(self) -> dict[str, order_types.DesiredState]:
        """Return the declarations, keyed by name."""
        return {name: declared.desired for name, declared in self.declared_by_name.items()}

    @property
    def declared_by_name(self) -> dict[str, order_types.Declared]:
        """Return the declarations with the changes that created them, keyed by name."""
        return self._declarations.declared_by_name

    @property
    def revision(self) -> int:
        """Return the revision of the last accepted declaration."""
        return self._declarations.revision

    @property
    def out_of_service_version(self) -> int:
        """Return the version of ``out_of_service``, which increases with each change."""
        return self._out_of_service_version

    @property
    def order_by_upstream(self) -> dict[str, order_types.Order]:
        """Return the orders in progress, keyed by engine id."""
        return self._order_by_upstream

    @property
    def out_of_service(self) -> frozenset[str]:
        """Return the ids of engines that get no requests during a role change."""
        return frozenset(self._out_of_service)

    @property
    def history(self) -> tuple[order_types.FinishedOrder, ...]:
        """Return the latest finished orders, oldest first."""
        return tuple(self._history)

    def is_out_of_service(self, upstream_id: str) -> bool:
        """Return whether an engine is out of service."""
        return upstream_id in self._out_of_service

    def apply(self, command: bytes, now_ms: int) -> bytes:
        """Apply a packed command at a log time in Unix milliseconds and return the reply.

        Raises:
            errors.LinkError: The bytes are not a known command.
        """
        return REPLIES.pack(self.apply_command(COMMANDS.unpack(command), now_ms))

    def apply_command(self, command: Any, now_ms: int) -> order_types.BoardReply:
        """Apply a command and return the reply."""
        match command:
            case order_types.Declare():
                return self._declarations.declare(command, now_ms)
            case order_types.Withdraw(name):
                return self._declarations.withdraw(name)
            case _:
                return order_types.BoardReply(self._decide(command, now_ms))

    def encode(self) -> bytes:
        """Return the encoded state for a snapshot."""
        state = _BoardState(
            self._fence,
            self._last_number,
            self._last_service_change,
            self._declarations.state(),
            tuple(self._order_by_upstream.values()),
            tuple(self._out_of_service),
            self._out_of_service_version,
            tuple(self._history),
        )
        return msgspec.msgpack.encode(state)

    def restore(self, state: bytes) -> None:
        """Replace the state by an encoded one; empty bytes stand for the initial state."""
        self._clear()
        if not state:
            return
        decoded = msgspec.msgpack.decode(state, type=_BoardState)
        self._fence = decoded.fence
        self._last_number = decoded.last_number
        self._last_service_change = decoded.last_mark
        self._declarations = _declarations.Declarations(decoded.declarations)
        self._order_by_upstream = {order.upstream_id: order for order in decoded.in_progress}
        self._out_of_service = dict.fromkeys(decoded.out_of_service)
        self._out_of_service_version = decoded.out_of_service_version
        self._history.extend(decoded.history)

    def _clear(self) -> None:
        self._fence = 0
        self._last_number = 0
        self._last_service_change = 0
        self._declarations = _declarations.Declarations()
        self._order_by_upstream: dict[str, order_types.Order] = {}
        self._out_of_service: dict[str, None] = {}
        self._out_of_service_version = 0
        self._history: collections.deque[order_types.FinishedOrder] = collections.deque(
            maxlen=MAX_HISTORY
        )

    def _decide(self, command: Any, now_ms: int) -> order_types.Verdict:
        match command:
            case order_types.BeginHolding(fence):
                return self._begin_holding(fence)
            case order_types.RecordOrder(order):
                return self._record_order(order)
            case order_types.RecordResult():
                return self._record_result(command, now_ms)
            case order_types.SetInService():
                return self._set_in_service(command)
            case _:
                return order_types.Verdict.INVALID

    def _begin_holding(self, fence: int) -> order_types.Verdict:
        if fence < self._fence:
            return order_types.Verdict.STALE_FENCE
        if fence > self._fence:
            self._fence = fence
            self._last_number = 0
            self._last_service_change = 0
        return order_types.Verdict.ACCEPTED

    def _record_order(self, order: order_types.Order) -> order_types.Verdict:
        if order.fence != self._fence:
            return order_types.Verdict.STALE_FENCE
        if self._order_by_upstream.get(order.upstream_id) == order:
            return order_types.Verdict.ACCEPTED
        if order.upstream_id in self._order_by_upstream or order.number <= self._last_number:
            return order_types.Verdict.CONFLICT
        if len(self._order_by_upstream) >= MAX_IN_PROGRESS:
            return order_types.Verdict.FULL
        self._last_number = order.number
        self._order_by_upstream[order.upstream_id] = order
        return order_types.Verdict.ACCEPTED

    def _record_result(self, command: order_types.RecordResult, now_ms: int) -> order_types.Verdict:
        if command.fence != self._fence:
            return order_types.Verdict.STALE_FENCE
        order = self._order_by_upstream.get(command.upstream_id)
        if order is not None and order.order_id == command.order_id:
            del self._order_by_upstream[command.upstream_id]
            finished = order_types.FinishedOrder(order, command.result, now_ms)
            self._history.append(finished)
        return order_types.Verdict.ACCEPTED

    def _set_in_service(self, command: order_types.SetInService) -> order_types.Verdict:
        if command.fence != self._fence:
            return order_types.Verdict.STALE_FENCE
        if command.number <= self._last_service_change:
            return order_types.Verdict.CONFLICT
        self._last_service_change = command.number
        if command.in_service:
            self._out_of_service.pop(command.upstream_id, None)
        elif len(self._out_of_service) >= MAX_IN_PROGRESS:
            return order_types.Verdict.FULL
        else:
            self._out_of_service[command.upstream_id] = None
        self._out_of_service_version += 1
        return order_types.Verdict.ACCEPTED
