"""Order planner: reconciles engines with their declarations, one order at a time per engine.

The planner runs in the process that holds the fenced lease. It reads an engine's state before the
first order and after each order, records each order on the board before sending it, and sends it
at most once: an order of unknown result is closed only when the engine's state shows its effect,
or when it can't be executed any more. If its effect is still missing then, a new order follows.

Engines that don't check fences get no order from a new holder until every order of an earlier one
must have ended. Loads are queued for the rate-limited weight store; role changes are limited by
the declaration's ``max_unavailable``.
"""

from __future__ import annotations

import math
from typing import Any

from medlarfork import node
from medlarfork.orders import (
    _order_session,
    fenced_lease,
    inventory,
    lease_types,
    order_types,
    orders,
)
from medlarfork.settings import planner_settings


class OrderPlanner:
    """Plans orders while the lease is held.

    Pure: no I/O, no clock (see ``node.Node``). Besides its own events it handles ``node.TimeDue``
    and the lease's actions ``lease_types.Acquired`` and ``lease_types.Lost``. After the action
    ``Deposed`` the caller must release the lease.
    """

    def __init__(
        self,
        settings: planner_settings.PlannerSettings,
        *,
        lease: fenced_lease.FencedLease,
        board: orders.OrderBoard,
        upstreams: inventory.Inventory,
    ) -> None:
        """Use a lease, a board and an inventory, which the caller updates between events."""
        self._settings = settings
        self._lease = lease
        self._board = board
        self._upstreams = upstreams
        self._session: _order_session.OrderSession | None = None
        self._started = False
        self._retry_begin_at = math.inf

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        match event:
            case lease_types.Acquired(fence):
                return self._start_session(fence, now)
            case lease_types.Lost():
                self._session = None
        session = self._session
        if session is None:
            return ()
        if isinstance(event, order_types.BoardCommitted):
            self._on_committed(session, event, now)
        elif self._started:
            _dispatch(session, event, now)
        return self._advance(session, now)

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return the engines whose next order is delayed; empty unless the lease is held."""
        return () if self._session is None else self._session.waiting(now)

    def _start_session(self, fence: int, now: float) -> tuple[Any, ...]:
        self._started = False
        self._session = _order_session.OrderSession(
            fence,
            self._settings,
            lease=self._lease,
            board=self._board,
            upstreams=self._upstreams,
            now=now,
        )
        return self._propose_begin_holding(fence, now)

    def _propose_begin_holding(self, fence: int, now: float) -> tuple[Any, ...]:
        self._retry_begin_at = now + self._settings.retry_s
        return (
            order_types.ProposeCommand(order_types.BeginHolding(fence)),
            node.Wake(self._retry_begin_at),
        )

    def _on_committed(
        self,
        session: _order_session.OrderSession,
        committed: order_types.BoardCommitted,
        now: float,
    ) -> None:
        command, verdict = committed.command, committed.reply.verdict
        match command:
            case order_types.Declare() | order_types.Withdraw():
                if verdict is order_types.Verdict.ACCEPTED:
                    session.on_declarations_changed()
                return
        if _fence_of(command) != session.fence:
            return
        if verdict is order_types.Verdict.STALE_FENCE:
            session.deposed = True
            return
        match command:
            case order_types.BeginHolding() if not self._started:
                self._started = True
                session.start(now)
            case order_types.RecordOrder(order):
                session.on_order_recorded(order, verdict, now)
            case order_types.RecordResult():
                session.on_result_recorded(command, now)
            case order_types.SetInService():
                session.on_service_changed(command, verdict, now)

    def _advance(self, session: _order_session.OrderSession, now: float) -> tuple[Any, ...]:
        """Run what is due, or end the session if a newer holder was seen."""
        if session.deposed:
            self._session = None
            return (order_types.Deposed(session.fence),)
        if not self._started:
            return (
                self._propose_begin_holding(session.fence, now)
                if now >= self._retry_begin_at
                else ()
            )
        session.advance(now)
        wake_at = session.next_wake(now)
        wake = () if wake_at == math.inf else (node.Wake(wake_at),)
        return (*session.take_actions(), *wake)


def _dispatch(session: _order_session.OrderSession, event: Any, now: float) -> None:
    match event:
        case order_types.InventoryChanged(upstream_id):
            session.on_inventory_changed(upstream_id, now)
        case order_types.EngineStateRead():
            session.on_state_read(event, now)
        case order_types.OrderDone():
            session.on_order_done(event, now)
        case order_types.Drained(upstream_id):
            session.on_drained(upstream_id, now)


def _fence_of(command: order_types.BoardCommand) -> int:
    match command:
        case order_types.RecordOrder(order):
            return order.fence
        case order_types.Declare() | order_types.Withdraw():
            return 0
        case _:
            return command.fence
