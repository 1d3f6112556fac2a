"""Order planning while one lease is held: the progress of each engine."""

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

MAX_STEPS_PER_CALL = 200
"""Maximum number of engines that one call advances; the rest follow in immediate calls."""

_Phase = _engine_progress.Phase
_Engine = _engine_progress.EngineProgress


class OrderSession:
    """Advances each engine toward its declared state; each acquisition gets a new session.

    Attributes:
        fence: The fence of the lease.
        deposed: True once an engine or the board has reported a newer holder.
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
        """Create the session when the lease is acquired.

        Orders of earlier holders may still be in progress.
        """
        self.fence = fence
        self.deposed = False
        self._settings = settings
        self._lease = lease
        self._board = board
        self._upstreams = upstreams
        self._fleet = _fleet.Fleet(board, upstreams)
        self._scheduler = weight_load_scheduler.WeightLoadScheduler(settings.store)
        self._earlier_orders_expire_at = now + settings.order_expiry_s
        self._engine_by_id: dict[str, _Engine] = {}
        self._engine_by_order: dict[str, _Engine] = {}
        self._timers = _timer_heap.TimerHeap[str]()
        self._replan_queue: collections.deque[str] = collections.deque()
        self._numbers = itertools.count(1)
        self._next_read_at = now
        self._actions: list[Any] = []

    def take_actions(self) -> tuple[Any, ...]:
        """Return and clear the actions since the last call, in order."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return the engines whose next order is delayed, with the reason."""
        found = (engine.waiting(now) for engine in self._engine_by_id.values())
        return tuple(waiting for waiting in found if waiting is not None)

    def next_wake(self, now: float) -> float:
        """Return the monotonic time at which ``advance`` is due next."""
        granted_at = self._scheduler.next_grant_at(now)
        if self._replan_queue:
            return now
        return min(self._timers.earliest(), math.inf if granted_at is None else granted_at)

    def advance(self, now: float) -> None:
        """Run due steps, at most ``MAX_STEPS_PER_CALL`` replans and as many timers."""
        for _ in range(min(MAX_STEPS_PER_CALL, len(self._replan_queue))):
            self._schedule_replan(self._replan_queue.popleft(), now)
        for _ in range(MAX_STEPS_PER_CALL):
            upstream_id = self._timers.pop_due(now)
            if upstream_id is None:
                break
            self._run_due_step(self._engine_by_id[upstream_id], now)
        for grant in self._scheduler.grant(now):
            self._on_grant(self._engine_by_id[grant.load_id], grant, now)

    def start(self, now: float) -> None:
        """Add all engines, once the board refuses proposals of earlier holders."""
        on_board = (*self._board.order_by_upstream, *sorted(self._board.out_of_service))
        for upstream_id in (*on_board, *self._upstreams.upstream_by_id):
            if upstream_id not in self._engine_by_id:
                self._add(upstream_id, self._reserve_read_time(now))

    def on_declarations_changed(self) -> None:
        """Schedule a replan of all engines after a change of declarations."""
        self._fleet.reload_declarations()
        self._replan_queue = collections.deque(self._engine_by_id)

    def on_inventory_changed(self, upstream_id: str, now: float) -> None:
        """Handle an engine that was added, changed or removed."""
        engine = self._engine_by_id.get(upstream_id)
        if engine is None:
            if upstream_id in self._upstreams.upstream_by_id:
                self._add(upstream_id, now)
        elif engine.phase in (_Phase.IDLE, _Phase.QUEUED):
            self._scheduler.release(upstream_id)
            self._set_phase(engine, _Phase.UNREAD, now)
        elif engine.phase is _Phase.READING:
            # The answer in flight may be older than the change.
            self._set_phase(engine, _Phase.UNREAD, now)

    def on_state_read(self, read: order_types.EngineStateRead, now: float) -> None:
        """Derive the result of the open order from the state, or start the next step."""
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
            self._start_next_step(engine, read.state, now)
            return
        has_expired = now >= engine.order_expires_at
        result = _engine_progress.result_from_state(
            engine.order, read.state, has_expired=has_expired
        )
        if result is None:
            self._set_phase(engine, _Phase.UNREAD, now + self._settings.poll_s)
        else:
            self._propose_result(engine, result, now)

    def on_order_done(self, done: order_types.OrderDone, now: float) -> None:
        """Handle a sent order's result; an unknown one is resolved by reading the state."""
        engine = self._engine_by_order.get(done.order_id)
        if engine is None or engine.phase is not _Phase.SENT:
            return
        match done.result:
            case order_types.OrderResult.REFUSED_FENCE:
                self.deposed = True
            case order_types.OrderResult.UNKNOWN:
                self._set_phase(engine, _Phase.UNREAD, now)
            case _:
                self._propose_result(engine, done.result, now)

    def on_drained(self, upstream_id: str, now: float) -> None:
        """Continue with an engine that has no running requests left."""
        engine = self._engine_by_id.get(upstream_id)
        if engine is not None and engine.phase is _Phase.DRAINING:
            engine.is_drained = True
            self._set_phase(engine, _Phase.UNREAD, now)

    def on_order_recorded(
        self, order: order_types.Order, verdict: order_types.Verdict, now: float
    ) -> None:
        """Send an order that the board has recorded, if the lease is still valid."""
        engine = self._engine_by_order.get(order.order_id)
        if engine is None or engine.phase is not _Phase.RECORDING_ORDER:
            return
        if verdict is not order_types.Verdict.ACCEPTED:
            self._drop_order(engine)
            self._set_phase(engine, _Phase.UNREAD, now + self._settings.poll_s)
            return
        engine.order_expires_at = now + self._settings.order_expiry_s
        notice = self._upstreams.upstream_by_id.get(engine.upstream_id)
        if notice is None or not self._lease.may_act(now):
            # Recorded but never sent: resolved by reading the state, like a lost order.
            self._set_phase(engine, _Phase.UNREAD, now)
            return
        self._set_phase(engine, _Phase.SENT, engine.order_expires_at)
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

    def on_result_recorded(self, command: order_types.RecordResult, now: float) -> None:
        """Continue after the board has recorded an order's result."""
        engine = self._engine_by_order.get(command.order_id)
        if engine is None or engine.phase is not _Phase.RECORDING_RESULT:
            return
        engine.start_backoff(now, self._settings.poll_s)
        self._drop_order(engine)
        self._set_phase(engine, _Phase.UNREAD, now)

    def on_service_changed(
        self, command: order_types.SetInService, verdict: order_types.Verdict, now: float
    ) -> None:
        """Continue after the board has applied or refused a change of service status."""
        engine = self._engine_by_id.get(command.upstream_id)
        if engine is None or engine.phase is not _Phase.SETTING_IN_SERVICE:
            return
        if command.number != engine.service_change_number:
            return
        self._fleet.release_reservation(command.upstream_id)
        engine.is_drained = False
        if verdict is order_types.Verdict.ACCEPTED and not command.in_service:
            self._set_phase(engine, _Phase.DRAINING, now + self._settings.drain_s)
        else:
            self._set_phase(engine, _Phase.UNREAD, now)

    def _add(self, upstream_id: str, first_read: float) -> None:
        notice = self._upstreams.upstream_by_id.get(upstream_id)
        if notice is None or not notice.checks_fence:
            # An earlier holder's order may still be in flight, and the engine would execute it.
            first_read = max(first_read, self._earlier_orders_expire_at)
        engine = _Engine(upstream_id)
        engine.first_read_at = first_read
        self._engine_by_id[upstream_id] = engine
        self._set_phase(engine, _Phase.UNREAD, first_read)
        order = self._board.order_by_upstream.get(upstream_id)
        if order is None:
            return
        engine.order = order
        engine.order_expires_at = self._earlier_orders_expire_at
        self._engine_by_order[order.order_id] = engine
        if order.load is not None:
            self._scheduler.occupy(upstream_id, order.load.weights.size_bytes, first_read)

    def _reserve_read_time(self, now: float) -> float:
        """Return the next free read time; bulk reads keep to ``reads_per_second``."""
        at = max(now, self._next_read_at)
        self._next_read_at = at + 1 / self._settings.reads_per_second
        return at

    def _run_due_step(self, engine: _Engine, now: float) -> None:
        match engine.phase:
            case _Phase.UNREAD | _Phase.IDLE:
                self._read(engine, now)
            case _Phase.READING:
                self._on_unreadable(engine, now)
            case _Phase.SENT:
                self._set_phase(engine, _Phase.UNREAD, now)
            case _Phase.DRAINING:
                self.on_drained(engine.upstream_id, now)
            case _Phase.RECORDING_ORDER:
                self._propose_order(engine, now)
            case _Phase.RECORDING_RESULT:
                self._propose_result(engine, engine.result, now)
            case _Phase.SETTING_IN_SERVICE:
                self._propose_in_service(engine, engine.target_in_service, now)

    def _read(self, engine: _Engine, now: float) -> None:
        notice = self._upstreams.upstream_by_id.get(engine.upstream_id)
        if notice is None:
            self._on_unreadable(engine, now)
            return
        engine.read_number = next(self._numbers)
        self._actions.append(
            order_types.ReadEngineState(engine.upstream_id, notice.address, engine.read_number)
        )
        self._set_phase(engine, _Phase.READING, now + self._settings.read_timeout_s)

    def _on_unreadable(self, engine: _Engine, now: float) -> None:
        gone = engine.upstream_id not in self._upstreams.upstream_by_id
        if gone and engine.order is None:
            self._remove(engine, now)
            return
        if engine.order is not None and now >= engine.order_expires_at:
            self._scheduler.release(engine.upstream_id)
            if gone:
                self._propose_result(engine, order_types.OrderResult.UNKNOWN, now)
                return
        self._set_phase(engine, _Phase.UNREAD, now + self._settings.poll_s)

    def _schedule_replan(self, upstream_id: str, now: float) -> None:
        engine = self._engine_by_id.get(upstream_id)
        if engine is not None and engine.phase in (_Phase.IDLE, _Phase.QUEUED):
            self._scheduler.release(upstream_id)
            self._set_phase(engine, _Phase.UNREAD, self._reserve_read_time(now))

    def _start_next_step(self, engine: _Engine, state: order_types.EngineState, now: float) -> None:
        desired = self._fleet.desired(engine.upstream_id)
        step = _next_step.next_step(
            desired,
            state,
            is_out_of_service=self._board.is_out_of_service(engine.upstream_id),
            is_drained=engine.is_drained,
            copies=self._fleet.copies,
        )
        match step:
            case _next_step.NoStep():
                engine.last_action = None
                self._set_phase(engine, _Phase.IDLE, math.inf)
            case _next_step.TakeOutOfService(declaration, role):
                self._take_out_of_service(engine, declaration, role, now)
            case _next_step.Drain():
                self._set_phase(engine, _Phase.DRAINING, now + self._settings.drain_s)
            case _next_step.ChangeRole(role):
                self._start_order(engine, order_types.ChangeRole(role), now)
            case _next_step.ReturnToService():
                self._propose_in_service(engine, True, now)
            case _next_step.Load(weights):
                self._queue_load(engine, weights, state, now)

    def _take_out_of_service(
        self, engine: _Engine, desired: order_types.DesiredState, role: str, now: float
    ) -> None:
        if self._is_backing_off(engine, order_types.ChangeRole(role), now):
            return
        if self._fleet.reserve_out_of_service(engine.upstream_id, desired):
            self._propose_in_service(engine, False, now)
        else:
            self._set_phase(engine, _Phase.IDLE, now + self._settings.poll_s)

    def _queue_load(
        self,
        engine: _Engine,
        weights: order_types.Weights,
        state: order_types.EngineState,
        now: float,
    ) -> None:
        rate = self._settings.store.lane_bytes_per_second
        if self._is_backing_off(engine, order_types.LoadWeights(weights, rate), now):
            return
        if not self._scheduler.request(engine.upstream_id, engine.upstream_id, weights.size_bytes):
            self._set_phase(engine, _Phase.IDLE, now + self._settings.poll_s)
            return
        engine.queued_weights = weights
        held = (*state.weights, _next_step.loaded(weights))
        self._fleet.record_weights(engine.upstream_id, held)
        self._set_phase(engine, _Phase.QUEUED, math.inf)

    def _is_backing_off(self, engine: _Engine, action: order_types.OrderAction, now: float) -> bool:
        if not engine.is_backing_off(action, now):
            return False
        self._set_phase(engine, _Phase.IDLE, engine.retry_at)
        return True

    def _on_grant(self, engine: _Engine, grant: weight_load_scheduler.Grant, now: float) -> None:
        assert engine.queued_weights is not None
        action = order_types.LoadWeights(engine.queued_weights, grant.bytes_per_second)
        self._start_order(engine, action, now)

    def _start_order(self, engine: _Engine, action: order_types.OrderAction, now: float) -> None:
        engine.record_attempt(action)
        engine.order = order_types.Order.of(
            self.fence, next(self._numbers), engine.upstream_id, action
        )
        self._engine_by_order[engine.order.order_id] = engine
        self._propose_order(engine, now)

    def _propose_order(self, engine: _Engine, now: float) -> None:
        assert engine.order is not None
        self._propose(order_types.RecordOrder(engine.order))
        self._set_phase(engine, _Phase.RECORDING_ORDER, now + self._settings.retry_s)

    def _propose_result(self, engine: _Engine, result: order_types.OrderResult, now: float) -> None:
        assert engine.order is not None
        engine.result = result
        order_id = engine.order.order_id
        self._propose(order_types.RecordResult(self.fence, engine.upstream_id, order_id, result))
        self._set_phase(engine, _Phase.RECORDING_RESULT, now + self._settings.retry_s)

    def _propose_in_service(self, engine: _Engine, in_service: bool, now: float) -> None:
        engine.target_in_service = in_service
        engine.service_change_number = next(self._numbers)
        self._propose(
            order_types.SetInService(
                self.fence, engine.service_change_number, engine.upstream_id, in_service
            )
        )
        self._set_phase(engine, _Phase.SETTING_IN_SERVICE, now + self._settings.retry_s)

    def _propose(self, command: order_types.BoardCommand) -> None:
        self._actions.append(order_types.ProposeCommand(command))

    def _set_phase(self, engine: _Engine, phase: _Phase, due: float) -> None:
        engine.phase = phase
        self._timers.set(engine.upstream_id, due)

    def _drop_order(self, engine: _Engine) -> None:
        assert engine.order is not None
        self._engine_by_order.pop(engine.order.order_id, None)
        self._scheduler.release(engine.upstream_id)
        engine.order = None

    def _remove(self, engine: _Engine, now: float) -> None:
        """Remove an engine that is gone, after returning it to service in case it comes back."""
        if self._board.is_out_of_service(engine.upstream_id):
            self._propose_in_service(engine, True, now)
            return
        self._scheduler.release(engine.upstream_id)
        self._fleet.remove(engine.upstream_id)
        self._timers.clear(engine.upstream_id)
        del self._engine_by_id[engine.upstream_id]
