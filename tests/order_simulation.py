"""Simulation of three lease holders, one log and a few engines in virtual time."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from medlarfork import node
from medlarfork.orders import (
    fenced_lease,
    inventory,
    lease_table,
    lease_types,
    order_planner,
    order_types,
    orders,
    weight_load_scheduler,
)
from medlarfork.settings import planner_settings

LEASE_S = 3.0
MAX_ORDER_S = 4.0
DRIFT = 0.01
LEASE_COMMANDS = (lease_types.TakeLease, lease_types.RenewLease, lease_types.ReleaseLease)
WEIGHTS = tuple(order_types.Weights(name, "v1", 10) for name in ("small", "other"))
DESIRED = order_types.DesiredState("all", weights=WEIGHTS, role="decode", max_unavailable=0.5)
STORE = weight_load_scheduler.WeightStoreSettings(bytes_per_second=40.0, lanes=4, small_bytes=10)
PLANNER = planner_settings.PlannerSettings(
    store=STORE,
    max_order_s=MAX_ORDER_S,
    answer_timeout_s=3.0,
    read_timeout_s=1.0,
    poll_s=0.5,
    retry_s=0.5,
    drain_s=1.0,
    reads_per_second=100.0,
    drift=DRIFT,
)


@dataclasses.dataclass(frozen=True)
class Sent:
    """An order in flight; ``at`` is the simulation time at which it was sent."""

    holder: Holder
    at: float
    order: order_types.OrderEngine


class Engine:
    """Engine that executes and records orders; a restart clears its state."""

    def __init__(self, engine_id: str, *, checks_fence: bool) -> None:
        self.engine_id = engine_id
        self.checks_fence = checks_fence
        self.incarnation = 0
        self.on_executed: Callable[[order_types.OrderEngine], None] = lambda order: None
        self.restart()

    def restart(self) -> None:
        self.incarnation += 1
        self.held: dict[str, str] = {}
        self.role = "mixed"
        self.fence = 0
        self.executed: list[order_types.OrderEngine] = []
        self.repeated_effects: list[str] = []

    def notice(self) -> inventory.UpstreamNotice:
        return inventory.UpstreamNotice(
            self.engine_id, self.incarnation, self.engine_id, checks_fence=self.checks_fence
        )

    def state(self) -> order_types.EngineState:
        held = tuple(order_types.LoadedWeights(*item) for item in self.held.items())
        order_ids = tuple(order.order_id for order in self.executed) if self.checks_fence else ()
        return order_types.EngineState(self.incarnation, held, self.role, "", order_ids)

    def execute(self, order: order_types.OrderEngine) -> order_types.OrderResult:
        if self.checks_fence:
            if order.fence < self.fence:
                return order_types.OrderResult.REFUSED_FENCE
            self.fence = order.fence
            if any(order.order_id == earlier.order_id for earlier in self.executed):
                return order_types.OrderResult.DONE
        self.executed.append(order)
        self.on_executed(order)
        match order.action:
            case order_types.LoadWeights(weights):
                if self.held.get(weights.name) == weights.version:
                    self.repeated_effects.append(order.order_id)
                self.held[weights.name] = weights.version
            case order_types.ChangeRole(role):
                if self.role == role:
                    self.repeated_effects.append(order.order_id)
                self.role = role
        return order_types.OrderResult.DONE


class Holder:
    """Process with a lease and a planner on its own clock; can be suspended at any point."""

    def __init__(
        self, simulation: OrderSimulation, name: str, *, clock_rate: float, offset: float
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.clock_rate = clock_rate
        self.offset = offset
        self.starts = 0
        self.restart()

    def clock(self) -> float:
        return self.offset + self.clock_rate * self.simulation.now

    def restart(self) -> None:
        """Restart: the log is replayed, all other state is lost."""
        self.starts += 1
        self.is_suspended = False
        self.inbox: list[Any] = []
        self.outbox: list[Any] = []
        self.identity = f"{self.name}/{self.starts}"
        settings = fenced_lease.LeaseSettings(
            "orders", self.identity, LEASE_S, renew_s=1.0, retry_s=0.5, drift=DRIFT
        )
        self.lease = fenced_lease.FencedLease(settings)
        self.table = lease_table.LeaseTable()
        self.board = orders.OrderBoard()
        for command in self.simulation.log:
            self._apply(command)
        self.upstreams = inventory.Inventory()
        report = tuple(engine.notice() for engine in self.simulation.engines)
        self.upstreams.apply(inventory.InventoryReport("entry", report, whole=True))
        self.planner = order_planner.OrderPlanner(
            PLANNER, lease=self.lease, board=self.board, upstreams=self.upstreams
        )
        self.handle_event(node.Started())

    def handle_event(self, event: Any) -> None:
        self.inbox.append(event)
        self.run()

    def run(self) -> None:
        while not self.is_suspended and (self.outbox or self.inbox):
            if self.outbox:
                self._perform(self.outbox.pop(0))
            else:
                self._handle(self.inbox.pop(0))

    def _handle(self, event: Any) -> None:
        if isinstance(event, LEASE_COMMANDS):
            reply = self._apply(event)
            released = isinstance(event, lease_types.ReleaseLease)
            if event.holder == self.identity and not released:
                is_take = isinstance(event, lease_types.TakeLease)
                kind = lease_types.TakeCommitted if is_take else lease_types.RenewCommitted
                self._deliver(kind(event.attempt, reply))
        elif isinstance(event, order_types.BoardCommand):
            self._deliver(order_types.BoardCommitted(event, self._apply(event)))
        elif isinstance(event, inventory.InventoryReport):
            for upstream_id in self.upstreams.apply(event):
                self._deliver(order_types.InventoryChanged(upstream_id))
        else:
            self._deliver(event)

    def _deliver(self, event: Any) -> None:
        now = self.clock()
        for action in self.lease.handle(event, now):
            if isinstance(action, lease_types.Acquired | lease_types.Lost):
                self.outbox.extend(self.planner.handle(action, now))
            else:
                self.outbox.append(action)
        self.outbox.extend(self.planner.handle(event, now))

    def _apply(self, command: Any) -> Any:
        if isinstance(command, order_types.BoardCommand):
            packed = self.board.apply(orders.COMMANDS.pack(command), 0)
            return orders.REPLIES.unpack(packed)
        return lease_table.REPLIES.unpack(self.table.apply(lease_table.COMMANDS.pack(command), 0))

    def _perform(self, action: Any) -> None:
        match action:
            case lease_types.Propose(command) | order_types.ProposeCommand(command):
                self.simulation.proposals.append(command)
            case order_types.OrderEngine():
                now = self.clock()
                held = self.lease.may_act(now) and self.lease.fence == action.fence
                if held and now < action.not_after:  # as order_client does
                    self.simulation.sent.append(Sent(self, self.simulation.now, action))
                else:
                    done = order_types.OrderDone(action.order_id, order_types.OrderResult.FAILED)
                    self.inbox.append(done)
            case order_types.ReadEngineState(upstream_id, _, number):
                state = self.simulation.engine_by_id[upstream_id].state()
                self.simulation.reads.append(
                    (self, order_types.EngineStateRead(upstream_id, number, state))
                )
            case order_types.Deposed():
                self.inbox.append(lease_types.Stopping())


class OrderSimulation:
    """Simulation time, the log, messages in flight, the holders and the engines."""

    def __init__(
        self,
        engines: list[Engine] | None = None,
        desired: order_types.DesiredState = DESIRED,
    ) -> None:
        self.now = 100.0
        self.desired = desired
        self.log: list[Any] = []
        self.proposals: list[Any] = []
        self.sent: list[Sent] = []
        self.reads: list[tuple[Holder, order_types.EngineStateRead]] = []
        self.engines = engines or [
            Engine("checks-1", checks_fence=True),
            Engine("checks-2", checks_fence=True),
            Engine("plain-1", checks_fence=False),
            Engine("plain-2", checks_fence=False),
        ]
        self.max_out_of_service = max(1, int(desired.max_unavailable * len(self.engines)))
        self.engine_by_id = {engine.engine_id: engine for engine in self.engines}
        self.holders: list[Holder] = []
        self.holders = [
            Holder(self, "a", clock_rate=1.0, offset=0.0),
            Holder(self, "b", clock_rate=1 - DRIFT, offset=5_000.0),
            Holder(self, "c", clock_rate=1 + DRIFT, offset=-50.0),
        ]
        self.proposals.append(order_types.Declare(desired))
        self.commit(len(self.proposals) - 1)

    def commit(self, index: int, *, keep: bool = False) -> None:
        """Append a proposal to the log; ``keep`` leaves a duplicate that may commit again."""
        command = self.proposals[index] if keep else self.proposals.pop(index)
        self.log.append(command)
        for holder in self.holders:
            holder.handle_event(command)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for sent in [sent for sent in self.sent if self.now - sent.at >= MAX_ORDER_S]:
            self.sent.remove(sent)
            self._answer(sent, order_types.OrderResult.UNKNOWN)
        for holder in self.holders:
            holder.handle_event(node.TimeDue())

    def deliver(self, index: int, *, keep: bool = False, lose_answer: bool = False) -> None:
        sent = self.sent[index]
        engine = self.engine_by_id[sent.order.upstream_id]
        if not (keep and engine.checks_fence):
            self.sent.pop(index)
        result = engine.execute(sent.order)
        unknown = order_types.OrderResult.UNKNOWN
        self._answer(sent, unknown if lose_answer else result)

    def lose_answer_early(self, index: int) -> None:
        """Report an unknown result to the sender while the order is still in flight."""
        self._answer(self.sent[index], order_types.OrderResult.UNKNOWN)

    def answer_read(self, index: int, *, lost: bool = False, keep: bool = False) -> None:
        holder, done = self.reads[index] if keep else self.reads.pop(index)
        holder.handle_event(dataclasses.replace(done, state=None) if lost else done)

    def restart_engine(self, index: int) -> None:
        engine = self.engines[index]
        # A duplicate of an executed order came over a connection that the restart closes.
        done = {order.order_id for order in engine.executed}
        self.sent = [sent for sent in self.sent if sent.order.order_id not in done]
        engine.restart()
        for holder in self.holders:
            holder.handle_event(inventory.InventoryReport("entry", (engine.notice(),)))

    def settle(self, limit: int = 4_000) -> bool:
        """End all faults and continue; return whether the desired state was reached."""
        for holder in self.holders:
            holder.is_suspended = False
            holder.handle_event(lease_types.LeadershipWon())
        for _ in range(limit):
            if not (self.proposals or self.reads or self.sent) and self.is_desired_state_reached():
                return True
            self.step()
            self.check()
        return False

    def step(self) -> None:
        """Run the next event without faults."""
        if self.proposals:
            self.commit(0)
        elif self.reads:
            self.answer_read(0)
        elif self.sent:
            self.deliver(0)
        else:
            self.advance(0.1)

    def is_desired_state_reached(self) -> bool:
        wanted = {weights.name: weights.version for weights in self.desired.weights}
        return all(
            e.held == wanted and e.role == self.desired.role for e in self.engines
        ) and not any(holder.board.out_of_service for holder in self.holders)

    def check(self) -> None:
        """Check the invariants."""
        acting = [h.identity for h in self.holders if h.lease.may_act(h.clock())]
        assert len(acting) <= 1, f"two holders may act: {acting}"
        for engine in self.engines:
            fences = [order.fence for order in engine.executed]
            assert fences == sorted(fences), f"{engine.engine_id}: fence decreased: {fences}"
            ids = [order.order_id for order in engine.executed]
            assert len(ids) == len(set(ids)), f"{engine.engine_id}: order executed twice: {ids}"
            assert not engine.repeated_effects, f"{engine.engine_id}: {engine.repeated_effects}"
        for holder in self.holders:
            assert len(holder.board.out_of_service) <= self.max_out_of_service

    def _answer(self, sent: Sent, result: order_types.OrderResult) -> None:
        if sent.holder in self.holders:
            sent.holder.handle_event(order_types.OrderDone(sent.order.order_id, result))
