"""Stateful test of lease, board and planner under faults, with invariants at every step."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from medlarfork import node
from medlarfork.orders import _fleet, inventory, lease_types, order_types, orders
from tests import order_simulation

PICK = st.integers(0, 1_000)


class OrdersUnderFaults(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.simulation = order_simulation.OrderSimulation()

    def index(self, items, pick):
        hypothesis.assume(items)
        return pick % len(items)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 0.9, 2.0]))
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @stateful.rule(pick=PICK, keep=st.booleans())
    def commit(self, pick, keep):
        simulation = self.simulation
        simulation.commit(self.index(simulation.proposals, pick), keep=keep and pick % 5 == 0)

    @stateful.rule(steps=st.integers(5, 40))
    def run_well(self, steps):
        for _ in range(steps):
            self.simulation.step()
            self.simulation.check()

    @stateful.rule(pick=PICK)
    def lose_proposal(self, pick):
        self.simulation.proposals.pop(self.index(self.simulation.proposals, pick))

    @stateful.rule(pick=PICK, keep=st.booleans(), lose_answer=st.booleans())
    def deliver(self, pick, keep, lose_answer):
        index = self.index(self.simulation.sent, pick)
        self.simulation.deliver(index, keep=keep, lose_answer=lose_answer)

    @stateful.rule(pick=PICK)
    def lose_answer_early(self, pick):
        self.simulation.lose_answer_early(self.index(self.simulation.sent, pick))

    @stateful.rule(pick=PICK, lost=st.booleans(), keep=st.booleans())
    def answer_read(self, pick, lost, keep):
        self.simulation.answer_read(self.index(self.simulation.reads, pick), lost=lost, keep=keep)

    @stateful.rule(pick=st.integers(0, 2))
    def freeze(self, pick):
        self.simulation.holders[pick].is_suspended = True

    @stateful.rule(pick=st.integers(0, 2))
    def thaw(self, pick):
        self.simulation.holders[pick].is_suspended = False
        self.simulation.holders[pick].run()

    @stateful.rule(pick=st.integers(0, 2))
    def restart_holder(self, pick):
        self.simulation.holders[pick].restart()

    @stateful.rule(pick=st.integers(0, 2), won=st.booleans())
    def change_leadership(self, pick, won):
        event = lease_types.LeadershipWon() if won else lease_types.LeadershipLost()
        self.simulation.holders[pick].handle_event(event)

    @stateful.rule(pick=st.integers(0, 2))
    def stop_holding(self, pick):
        self.simulation.holders[pick].handle_event(lease_types.Stopping())

    @stateful.rule(pick=st.integers(0, 3))
    def restart_engine(self, pick):
        self.simulation.restart_engine(pick)

    @stateful.invariant()
    def safe(self):
        self.simulation.check()

    def teardown(self):
        assert self.simulation.settle(), "the desired state was not reached after the faults ended"


OrdersUnderFaults.TestCase.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=40, suppress_health_check=list(hypothesis.HealthCheck)
)
test_orders_under_faults = OrdersUnderFaults.TestCase


def test_desired_state_is_reached_without_faults():
    simulation = order_simulation.OrderSimulation()
    assert simulation.settle()
    executed = [order for engine in simulation.engines for order in engine.executed]
    assert len(executed) == 3 * len(simulation.engines)


def test_a_returning_rack_is_loaded_within_the_rate_and_soon_holds_every_model():
    weights = tuple(order_types.Weights(f"model-{number}", "v1", 10) for number in range(23))
    desired = order_types.DesiredState("all", weights=weights)
    engines = [order_simulation.Engine(f"e{number}", checks_fence=True) for number in range(40)]
    for engine in engines:
        engine.role = ""
    simulation = order_simulation.OrderSimulation(engines, desired)
    loads = []
    for engine in engines:
        engine.on_executed = lambda order: loads.append((simulation.now, order.action.weights.name))
    assert simulation.settle(limit=40_000)
    assert len(loads) == 40 * 23
    assert len({name for _, name in loads[:40]}) == 23, "the first loads lack a model"
    lanes, rate = order_simulation.STORE.lanes, order_simulation.STORE.bytes_per_second
    for position, (start, _) in enumerate(loads):
        within = sum(1 for at, _ in loads[position : position + 60] if at < start + 10.0)
        assert within * 10 <= rate * 10.0 + lanes * 10


def test_a_new_holder_waits_before_its_first_order_to_an_engine_that_does_not_check():
    simulation = order_simulation.OrderSimulation()
    first = {}
    for engine in simulation.engines:
        engine.on_executed = lambda order: first.setdefault(order.upstream_id, simulation.now)
    assert simulation.settle()
    acquired_at = 100.0
    assert first["checks-1"] < acquired_at + order_simulation.MAX_ORDER_S
    assert first["plain-1"] >= acquired_at + order_simulation.MAX_ORDER_S


def test_a_refused_fence_ends_the_session():
    simulation = order_simulation.OrderSimulation()
    while not simulation.sent:
        simulation.step()
    holder, order = simulation.sent[0].holder, simulation.sent[0].order
    refused = order_types.OrderResult.REFUSED_FENCE
    actions = holder.planner.handle(order_types.OrderDone(order.order_id, refused), holder.clock())
    assert actions == (order_types.Deposed(order.fence),)
    assert holder.planner.handle(node.TimeDue(), holder.clock()) == ()


def test_an_order_of_unknown_result_is_repeated_only_if_its_effect_is_missing():
    simulation = order_simulation.OrderSimulation()
    while not simulation.sent:
        simulation.step()
    sent = simulation.sent[0]
    simulation.lose_answer_early(0)
    simulation.advance(0.1)
    assert all(
        read.upstream_id != sent.order.upstream_id or read.state for _, read in simulation.reads
    )
    while simulation.now < sent.at + order_simulation.MAX_ORDER_S - 0.2:
        if simulation.proposals:
            simulation.commit(0)
        elif simulation.reads:
            simulation.answer_read(0)
        else:
            simulation.advance(0.1)
        mine = [s for s in simulation.sent if s.order.upstream_id == sent.order.upstream_id]
        assert len(mine) == 1
    assert simulation.settle()


def test_an_engine_that_is_gone_is_removed_with_its_order():
    simulation = order_simulation.OrderSimulation()
    while not simulation.sent:
        simulation.step()
    sent = simulation.sent[0]
    engine = simulation.engine_by_id[sent.order.upstream_id]
    gone = dataclasses.replace(engine.notice(), gone=True)
    for holder in simulation.holders:
        holder.handle_event(inventory.InventoryReport("entry", (gone,)))
    simulation.engines.remove(engine)
    simulation.sent.remove(sent)
    assert simulation.settle()
    simulation.advance(2 * order_simulation.MAX_ORDER_S)
    assert simulation.settle()
    for _ in range(40):
        simulation.step()
    assert sent.holder.board.order_by_upstream == {}


def run_until_order_sent():
    simulation = order_simulation.OrderSimulation()
    while not simulation.sent:
        simulation.step()
    return simulation, simulation.sent[0]


def test_an_order_recorded_after_the_lease_ended_is_not_sent():
    simulation = order_simulation.OrderSimulation()
    record = None
    while not isinstance(record, order_types.RecordOrder):
        simulation.step()
        record = simulation.proposals[0] if simulation.proposals else None
    holder = next(holder for holder in simulation.holders if holder.lease.may_act(holder.clock()))
    reply = order_types.BoardReply(order_types.Verdict.ACCEPTED)
    late = holder.lease.valid_until + 0.1
    actions = holder.planner.handle(order_types.BoardCommitted(record, reply), late)
    assert not any(isinstance(action, order_types.OrderEngine) for action in actions)


def test_nothing_is_read_or_ordered_before_the_board_refuses_earlier_holders():
    simulation = order_simulation.OrderSimulation()
    while not any(isinstance(item, order_types.BeginHolding) for item in simulation.proposals):
        simulation.step()
    simulation.advance(0.2)
    assert not simulation.reads
    while not simulation.log or not isinstance(simulation.log[-1], order_types.BeginHolding):
        simulation.commit(len(simulation.proposals) - 1)
    assert simulation.reads


def test_a_state_read_before_an_engine_restarted_is_not_used():
    simulation = order_simulation.OrderSimulation()
    assert simulation.settle()
    simulation.restart_engine(0)
    holder, old_read = simulation.reads[0]
    simulation.restart_engine(0)
    simulation.answer_read(0)
    assert simulation.proposals == []
    assert simulation.reads[0][1].number > old_read.number
    assert simulation.settle()


def test_a_new_holder_waits_for_an_open_order_of_an_earlier_one():
    simulation, sent = run_until_order_sent()
    engine = simulation.engine_by_id[sent.order.upstream_id]
    simulation.sent = [sent]
    sent.holder.handle_event(lease_types.Stopping())
    simulation.holders.remove(sent.holder)
    while simulation.now < sent.at + order_simulation.MAX_ORDER_S - 0.2:
        if simulation.proposals:
            simulation.commit(0)
        elif simulation.reads:
            simulation.answer_read(0)
        else:
            simulation.advance(0.1)
    assert any(holder.lease.may_act(holder.clock()) for holder in simulation.holders)
    to_engine = [item for item in simulation.sent if item.order.upstream_id == engine.engine_id]
    assert to_engine == [sent]
    simulation.deliver(simulation.sent.index(sent))
    assert simulation.settle()


def test_an_engine_lost_while_out_of_service_counts_until_it_is_returned_to_service():
    board, upstreams = orders.OrderBoard(), inventory.Inventory()
    desired = order_types.DesiredState("all", role="decode", max_unavailable=0.5)
    board.apply_command(order_types.Declare(desired), 0)
    board.apply_command(order_types.BeginHolding(1), 0)
    board.apply_command(order_types.SetInService(1, 1, "gone", False), 0)
    notices = tuple(inventory.UpstreamNotice(f"e{number}", 1, "") for number in range(2))
    upstreams.apply(inventory.InventoryReport("entry", notices))
    fleet = _fleet.Fleet(board, upstreams)
    assert all(fleet.desired(notice.upstream_id) == desired for notice in notices)
    assert not fleet.reserve_out_of_service("e0", desired)
    board.apply_command(order_types.SetInService(1, 2, "gone", True), 0)
    assert fleet.reserve_out_of_service("e0", desired)
    assert not fleet.reserve_out_of_service("e1", desired)
