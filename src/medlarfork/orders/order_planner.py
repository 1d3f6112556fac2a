"""Bring engines to their desired state by orders, one at a time for each engine.

The planner runs where the fenced lease is held. It reads an engine's state back before its first
order and after each order, records an order on the board before it is sent, and never sends one
twice: an order without a known result is closed only when the engine's state shows its effect, or
when it can't be carried out any more. Then it is ordered anew if its effect is still missing.

Engines that don't check fences get nothing from a new holder until every order of an older one
must have ended. Loads wait for the weight store, changes of role for their declaration's share of
engines that may be out of service.
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
    """Plan orders while the lease is held; pure, see ``node.Node``.

    Besides its own events it takes ``node.TimeDue`` and, as events, the lease's
    ``lease_types.Acquired`` and ``lease_types.Lost``. After the action ``Deposed`` the caller
    gives the lease up.
    """

    def __init__(
        self,
        settings: planner_settings.PlannerSettings,
        *,
        lease: fenced_lease.FencedLease,
        board: orders.OrderBoard,
        upstreams: inventory.Inventory,
    ) -> None:
        """Read the lease, the board and the inventory, which others change between events."""
        self._settings = settings
        self._lease = lease
        self._board = board
        self._upstreams = upstreams
        self._session: _order_session.OrderSession | None = None
        self._started = False
        self._begin_again_at = math.inf

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        match event:
            case lease_types.Acquired(fence):
                return self._begin(fence, now)
            case lease_types.Lost():
                self._session = None
        session = self._session
        if session is None:
            return ()
        if isinstance(event, order_types.BoardCommitted):
            self._on_committed(session, event, now)
        elif self._started:
            _pass_on(session, event, now)
        return self._end_event(session, now)

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return which engines wait for what; nothing unless the lease is held."""
        return () if self._session is None else self._session.waiting(now)

    def _begin(self, fence: int, now: float) -> tuple[Any, ...]:
        self._started = False
        self._session = _order_session.OrderSession(
            fence,
            self._settings,
            lease=self._lease,
            board=self._board,
            upstreams=self._upstreams,
            now=now,
        )
        return self._propose_begin(fence, now)

    def _propose_begin(self, fence: int, now: float) -> tuple[Any, ...]:
        self._begin_again_at = now + self._settings.retry_s
        return (
            order_types.ProposeCommand(order_types.BeginHolding(fence)),
            node.Wake(self._begin_again_at),
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
                    session.on_declarations()
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
                session.on_recorded(order, verdict, now)
            case order_types.RecordResult():
                session.on_resolved(command, now)
            case order_types.SetInService():
                session.on_marked(command, verdict, now)

    def _end_event(self, session: _order_session.OrderSession, now: float) -> tuple[Any, ...]:
        """Advance what is due, and end the session if a newer holder was seen."""
        if session.deposed:
            self._session = None
            return (order_types.Deposed(session.fence),)
        if not self._started:
            return self._propose_begin(session.fence, now) if now >= self._begin_again_at else ()
        session.advance(now)
        wake_at = session.next_wake(now)
        wake = () if wake_at == math.inf else (node.Wake(wake_at),)
        return (*session.take_actions(), *wake)


def _pass_on(session: _order_session.OrderSession, event: Any, now: float) -> None:
    match event:
        case order_types.InventoryChanged(upstream_id):
            session.on_inventory(upstream_id, now)
        case order_types.EngineStateRead():
            session.on_read(event, now)
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
