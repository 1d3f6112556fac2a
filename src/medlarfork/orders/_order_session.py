"""Order engines during one holding of the lease: where each stands, and its next step."""

from __future__ import annotations

import collections
import itertools
import math
from typing import Any

from medlarfork.entry import _timer_heap
from medlarfork.orders import (
    _engine_progress,
    _fleet,
    _next_step,
    fenced_lease,
    inventory,
    order_types,
    orders,
    weight_load_scheduler,
)
from medlarfork.settings import planner_settings

BATCH = 200
"""How many engines one call advances; the others follow at once in calls of their own."""

_Phase = _engine_progress.Phase
_Engine = _engine_progress.EngineProgress


class OrderSession:
    """Carry the engines of one holding from step to step; a new holding has a new session.

    Attributes:
        fence: The fence of the holding.
        deposed: True once an engine or the board has shown that a newer holder exists.
    """

    def __init__(
        self,
        fence: int,
        settings: planner_settings.PlannerSettings,
        *,
        lease: fenced_lease.FencedLease,
        board: orders.OrderBoard,
        upstreams: inventory.Inventory,
        now: float,
    ) -> None:
        """Start when the lease was acquired; orders of older holders may be under way."""
        self.fence = fence
        self.deposed = False
        self._settings = settings
        self._lease = lease
        self._board = board
        self._upstreams = upstreams
        self._fleet = _fleet.Fleet(board, upstreams)
        self._store = weight_load_scheduler.WeightLoadScheduler(settings.store)
        self._clear_of_older_at = now + settings.order_time_s
        self._engine_by_id: dict[str, _Engine] = {}
        self._engine_by_order: dict[str, _Engine] = {}
        self._timers = _timer_heap.TimerHeap[str]()
        self._replan: collections.deque[str] = collections.deque()
        self._numbers = itertools.count(1)
        self._next_read_at = now
        self._actions: list[Any] = []

    def take_actions(self) -> tuple[Any, ...]:
        """Return the actions since the last call, in order."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return which engines wait for what before their next order."""
        found = (engine.waiting(now) for engine in self._engine_by_id.values())
        return tuple(waiting for waiting in found if waiting is not None)

    def next_wake(self, now: float) -> float:
        """Return the monotonic time at which ``advance`` has something to do."""
        granted_at = self._store.next_grant_at(now)
        if self._replan:
            return now
        return min(self._timers.earliest(), math.inf if granted_at is None else granted_at)

    def advance(self, now: float) -> None:
        """Take the steps that are due, at most ``BATCH`` of them."""
        for _ in range(min(BATCH, len(self._replan))):
            self._replan_one(self._replan.popleft(), now)
        for _ in range(BATCH):
            upstream_id = self._timers.pop_due(now)
            if upstream_id is None:
                break
            self._step(self._engine_by_id[upstream_id], now)
        for grant in self._store.grant(now):
            self._on_grant(self._engine_by_id[grant.load_id], grant, now)

    def start(self, now: float) -> None:
        """Begin with all engines, once the board refuses whatever older holders propose."""
        on_board = (*self._board.order_by_upstream, *sorted(self._board.out_of_service))
        for upstream_id in (*on_board, *self._upstreams.upstream_by_id):
            if upstream_id not in self._engine_by_id:
                self._add(upstream_id, self._paced(now))

    def on_declarations(self) -> None:
        """Plan all engines anew after a declaration was added, replaced or removed."""
        self._fleet.rebuild()
        self._replan = collections.deque(self._engine_by_id)

    def on_inventory(self, upstream_id: str, now: float) -> None:
        """Take note of an engine that appeared, changed or went."""
        engine = self._engine_by_id.get(upstream_id)
        if engine is None:
            if upstream_id in self._upstreams.upstream_by_id:
                self._add(upstream_id, now)
        elif engine.phase in (_Phase.IDLE, _Phase.QUEUED):
            self._store.release(upstream_id)
            self._set(engine, _Phase.UNREAD, now)
        elif engine.phase is _Phase.READING:
            # The answer on its way may be older than the change.
            self._set(engine, _Phase.UNREAD, now)

    def on_read(self, read: order_types.EngineStateRead, now: float) -> None:
        """Judge the engine's open order by its state, or decide what it needs next."""
        engine = self._engine_by_id.get(read.upstream_id)
        if engine is None or engine.phase is not _Phase.READING:
            return
        if engine.read_number != read.number:
            return
        if read.state is None:
            self._on_unreadable(engine, now)
            return
        self._fleet.record_weights(read.upstream_id, read.state.weights)
        if engine.order is None:
            self._decide(engine, read.state, now)
            return
        settled = now >= engine.settled_at
        result = _engine_progress.judge(engine.order, read.state, settled=settled)
        if result is None:
            self._set(engine, _Phase.UNREAD, now + self._settings.poll_s)
        else:
            self._resolve(engine, result, now)

    def on_order_done(self, done: order_types.OrderDone, now: float) -> None:
        """Take a sent order's result; an unknown one is found out by reading back."""
        engine = self._engine_by_order.get(done.order_id)
        if engine is None or engine.phase is not _Phase.SENT:
            return
        match done.result:
            case order_types.OrderResult.REFUSED_FENCE:
                self.deposed = True
            case order_types.OrderResult.UNKNOWN:
                self._set(engine, _Phase.UNREAD, now)
            case _:
                self._resolve(engine, done.result, now)

    def on_drained(self, upstream_id: str, now: float) -> None:
        """Go on with an engine that runs no requests any more."""
        engine = self._engine_by_id.get(upstream_id)
        if engine is not None and engine.phase is _Phase.DRAINING:
            engine.drained = True
            self._set(engine, _Phase.UNREAD, now)

    def on_recorded(
        self, order: order_types.Order, verdict: order_types.Verdict, now: float
    ) -> None:
        """Send an order that is on the board now, if the lease still holds."""
        engine = self._engine_by_order.get(order.order_id)
        if engine is None or engine.phase is not _Phase.RECORDING:
            return
        if verdict is not order_types.Verdict.ACCEPTED:
            self._drop_order(engine)
            self._set(engine, _Phase.UNREAD, now + self._settings.poll_s)
            return
        engine.settled_at = now + self._settings.order_time_s
        notice = self._upstreams.upstream_by_id.get(engine.upstream_id)
        if notice is None or not self._lease.may_act(now):
            # Recorded and never sent: it is closed by reading back, like a lost one.
            self._set(engine, _Phase.UNREAD, now)
            return
        self._set(engine, _Phase.SENT, engine.settled_at)
        self._actions.append(
            order_types.OrderEngine(
                upstream_id=engine.upstream_id,
                address=notice.address,
                fence=self.fence,
                order_id=order.order_id,
                action=order.action,
                not_after=self._lease.valid_until,
                timeout_s=self._settings.answer_timeout_s,
            )
        )

    def on_resolved(self, command: order_types.RecordResult, now: float) -> None:
        """Go on after an order's result is on the board."""
        engine = self._engine_by_order.get(command.order_id)
        if engine is None or engine.phase is not _Phase.RESOLVING:
            return
        engine.note_ended(now, self._settings.poll_s)
        self._drop_order(engine)
        self._set(engine, _Phase.UNREAD, now)

    def on_marked(
        self, command: order_types.SetInService, verdict: order_types.Verdict, now: float
    ) -> None:
        """Go on after the board took an engine out of service or put it back."""
        engine = self._engine_by_id.get(command.upstream_id)
        if engine is None or engine.phase is not _Phase.MARKING:
            return
        if command.number != engine.mark_number:
            return
        self._fleet.release_reservation(command.upstream_id)
        engine.drained = False
        if verdict is order_types.Verdict.ACCEPTED and not command.in_service:
            self._set(engine, _Phase.DRAINING, now + self._settings.drain_s)
        else:
            self._set(engine, _Phase.UNREAD, now)

    def _add(self, upstream_id: str, first_read: float) -> None:
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        if notice is None or not notice.checks_fence:
            # An older holder's order may be on its way still, and the engine would obey it.
            first_read = max(first_read, self._clear_of_older_at)
        engine = _Engine(upstream_id)
        engine.first_read_at = first_read
        self._engine_by_id[upstream_id] = engine
        self._set(engine, _Phase.UNREAD, first_read)
        order = self._board.order_by_upstream.get(upstream_id)
        if order is None:
            return
        engine.order = order
        engine.settled_at = self._clear_of_older_at
        self._engine_by_order[order.order_id] = engine
        if order.load is not None:
            self._store.occupy(upstream_id, order.load.weights.size_bytes, first_read)

    def _paced(self, now: float) -> float:
        """Return the next time at which a read of many may happen."""
        at = max(now, self._next_read_at)
        self._next_read_at = at + 1 / self._settings.reads_per_second
        return at

    def _step(self, engine: _Engine, now: float) -> None:
        match engine.phase:
            case _Phase.UNREAD | _Phase.IDLE:
                self._read(engine, now)
            case _Phase.READING:
                self._on_unreadable(engine, now)
            case _Phase.SENT:
                self._set(engine, _Phase.UNREAD, now)
            case _Phase.DRAINING:
                self.on_drained(engine.upstream_id, now)
            case _Phase.RECORDING:
                self._record(engine, now)
            case _Phase.RESOLVING:
                self._resolve(engine, engine.result, now)
            case _Phase.MARKING:
                self._mark(engine, engine.marking_in, now)

    def _read(self, engine: _Engine, now: float) -> None:
        notice = self._upstreams.upstream_by_id.get(engine.upstream_id)
        if notice is None:
            self._on_unreadable(engine, now)
            return
        engine.read_number = next(self._numbers)
        self._actions.append(
            order_types.ReadEngineState(engine.upstream_id, notice.address, engine.read_number)
        )
        self._set(engine, _Phase.READING, now + self._settings.read_timeout_s)

    def _on_unreadable(self, engine: _Engine, now: float) -> None:
        gone = engine.upstream_id not in self._upstreams.upstream_by_id
        if gone and engine.order is None:
            self._forget(engine, now)
            return
        if engine.order is not None and now >= engine.settled_at:
            self._store.release(engine.upstream_id)
            if gone:
                self._resolve(engine, order_types.OrderResult.UNKNOWN, now)
                return
        self._set(engine, _Phase.UNREAD, now + self._settings.poll_s)

    def _replan_one(self, upstream_id: str, now: float) -> None:
        engine = self._engine_by_id.get(upstream_id)
        if engine is not None and engine.phase in (_Phase.IDLE, _Phase.QUEUED):
            self._store.release(upstream_id)
            self._set(engine, _Phase.UNREAD, self._paced(now))

    def _decide(self, engine: _Engine, state: order_types.EngineState, now: float) -> None:
        desired = self._fleet.desired(engine.upstream_id)
        step = _next_step.next_step(
            desired,
            state,
            out=self._board.is_out(engine.upstream_id),
            drained=engine.drained,
            copies=self._fleet.copies,
        )
        match step:
            case _next_step.Rest():
                engine.last_action = None
                self._set(engine, _Phase.IDLE, math.inf)
            case _next_step.TakeOut(declaration, role):
                self._take_out(engine, declaration, role, now)
            case _next_step.Drain():
                self._set(engine, _Phase.DRAINING, now + self._settings.drain_s)
            case _next_step.TakeRole(role):
                self._order(engine, order_types.ChangeRole(role), now)
            case _next_step.PutBack():
                self._mark(engine, True, now)
            case _next_step.Load(weights):
                self._queue(engine, weights, state, now)

    def _take_out(
        self, engine: _Engine, desired: order_types.DesiredState, role: str, now: float
    ) -> None:
        if self._is_held_back(engine, order_types.ChangeRole(role), now):
            return
        if self._fleet.reserve_out_of_service(engine.upstream_id, desired):
            self._mark(engine, False, now)
        else:
            self._set(engine, _Phase.IDLE, now + self._settings.poll_s)

    def _queue(
        self,
        engine: _Engine,
        weights: order_types.Weights,
        state: order_types.EngineState,
        now: float,
    ) -> None:
        rate = self._settings.store.lane_bytes_per_second
        if self._is_held_back(engine, order_types.LoadWeights(weights, rate), now):
            return
        if not self._store.request(engine.upstream_id, engine.upstream_id, weights.size_bytes):
            self._set(engine, _Phase.IDLE, now + self._settings.poll_s)
            return
        engine.wanted = weights
        held = (*state.weights, _next_step.loaded(weights))
        self._fleet.record_weights(engine.upstream_id, held)
        self._set(engine, _Phase.QUEUED, math.inf)

    def _is_held_back(self, engine: _Engine, action: order_types.OrderAction, now: float) -> bool:
        if not engine.is_held_back(action, now):
            return False
        self._set(engine, _Phase.IDLE, engine.retry_at)
        return True

    def _on_grant(self, engine: _Engine, grant: weight_load_scheduler.Grant, now: float) -> None:
        assert engine.wanted is not None
        action = order_types.LoadWeights(engine.wanted, grant.bytes_per_second)
        self._order(engine, action, now)

    def _order(self, engine: _Engine, action: order_types.OrderAction, now: float) -> None:
        engine.note_ordered(action)
        engine.order = order_types.Order.of(
            self.fence, next(self._numbers), engine.upstream_id, action
        )
        self._engine_by_order[engine.order.order_id] = engine
        self._record(engine, now)

    def _record(self, engine: _Engine, now: float) -> None:
        assert engine.order is not None
        self._propose(order_types.RecordOrder(engine.order))
        self._set(engine, _Phase.RECORDING, now + self._settings.retry_s)

    def _resolve(self, engine: _Engine, result: order_types.OrderResult, now: float) -> None:
        assert engine.order is not None
        engine.result = result
        order_id = engine.order.order_id
        self._propose(order_types.RecordResult(self.fence, engine.upstream_id, order_id, result))
        self._set(engine, _Phase.RESOLVING, now + self._settings.retry_s)

    def _mark(self, engine: _Engine, in_service: bool, now: float) -> None:
        engine.marking_in = in_service
        engine.mark_number = next(self._numbers)
        self._propose(
            order_types.SetInService(self.fence, engine.mark_number, engine.upstream_id, in_service)
        )
        self._set(engine, _Phase.MARKING, now + self._settings.retry_s)

    def _propose(self, command: order_types.BoardCommand) -> None:
        self._actions.append(order_types.ProposeCommand(command))

    def _set(self, engine: _Engine, phase: _Phase, due: float) -> None:
        engine.phase = phase
        self._timers.set(engine.upstream_id, due)

    def _drop_order(self, engine: _Engine) -> None:
        assert engine.order is not None
        self._engine_by_order.pop(engine.order.order_id, None)
        self._store.release(engine.upstream_id)
        engine.order = None

    def _forget(self, engine: _Engine, now: float) -> None:
        """Drop an engine that is gone; put it back into service for its return."""
        if self._board.is_out(engine.upstream_id):
            self._mark(engine, True, now)
            return
        self._store.release(engine.upstream_id)
        self._fleet.forget(engine.upstream_id)
        self._timers.clear(engine.upstream_id)
        del self._engine_by_id[engine.upstream_id]
