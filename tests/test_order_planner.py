"""Drive lease, board and planner through faults and check them at every step."""

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
        self.world = order_simulation.World()

    def index(self, items, pick):
        hypothesis.assume(items)
        return pick % len(items)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.3, 0.9, 2.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @stateful.rule(pick=PICK, keep=st.booleans())
    def commit(self, pick, keep):
        world = self.world
        world.commit(self.index(world.proposals, pick), keep=keep and pick % 5 == 0)

    @stateful.rule(steps=st.integers(5, 40))
    def run_well(self, steps):
        for _ in range(steps):
            self.world.step()
            self.world.check()

    @stateful.rule(pick=PICK)
    def lose_proposal(self, pick):
        self.world.proposals.pop(self.index(self.world.proposals, pick))

    @stateful.rule(pick=PICK, keep=st.booleans(), lose_answer=st.booleans())
    def deliver(self, pick, keep, lose_answer):
        index = self.index(self.world.sent, pick)
        self.world.deliver(index, keep=keep, lose_answer=lose_answer)

    @stateful.rule(pick=PICK)
    def lose_answer_early(self, pick):
        self.world.lose_answer_early(self.index(self.world.sent, pick))

    @stateful.rule(pick=PICK, lost=st.booleans(), keep=st.booleans())
    def answer_read(self, pick, lost, keep):
        self.world.answer_read(self.index(self.world.reads, pick), lost=lost, keep=keep)

    @stateful.rule(pick=st.integers(0, 2))
    def freeze(self, pick):
        self.world.holders[pick].frozen = True

    @stateful.rule(pick=st.integers(0, 2))
    def thaw(self, pick):
        self.world.holders[pick].frozen = False
        self.world.holders[pick].run()

    @stateful.rule(pick=st.integers(0, 2))
    def restart_holder(self, pick):
        self.world.holders[pick].restart()

    @stateful.rule(pick=st.integers(0, 2), won=st.booleans())
    def change_leadership(self, pick, won):
        event = lease_types.LeadershipWon() if won else lease_types.LeadershipLost()
        self.world.holders[pick].take(event)

    @stateful.rule(pick=st.integers(0, 2))
    def stop_holding(self, pick):
        self.world.holders[pick].take(lease_types.Stopping())

    @stateful.rule(pick=st.integers(0, 3))
    def restart_engine(self, pick):
        self.world.restart_engine(pick)

    @stateful.invariant()
    def safe(self):
        self.world.check()

    def teardown(self):
        assert self.world.settle(), "the desired state was not reached after the faults ended"


OrdersUnderFaults.TestCase.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=40, suppress_health_check=list(hypothesis.HealthCheck)
)
test_orders_under_faults = OrdersUnderFaults.TestCase


def test_desired_state_is_reached_without_faults():
    world = order_simulation.World()
    assert world.settle()
    executed = [order for engine in world.engines for order in engine.executed]
    assert len(executed) == 3 * len(world.engines)


def test_a_returning_rack_is_loaded_within_the_rate_and_soon_holds_every_model():
    weights = tuple(order_types.Weights(f"model-{number}", "v1", 10) for number in range(23))
    desired = order_types.DesiredState("all", weights=weights)
    engines = [order_simulation.Engine(f"e{number}", checks_fence=True) for number in range(40)]
    for engine in engines:
        engine.role = ""
    world = order_simulation.World(engines, desired)
    loads = []
    for engine in engines:
        engine.on_executed = lambda order: loads.append((world.now, order.action.weights.name))
    assert world.settle(limit=40_000)
    assert len(loads) == 40 * 23
    assert len({name for _, name in loads[:40]}) == 23, "one load an engine holds every model"
    lanes, rate = order_simulation.STORE.lanes, order_simulation.STORE.bytes_per_second
    for position, (start, _) in enumerate(loads):
        within = sum(1 for at, _ in loads[position : position + 60] if at < start + 10.0)
        assert within * 10 <= rate * 10.0 + lanes * 10


def test_a_new_holder_waits_before_its_first_order_to_an_engine_that_does_not_check():
    world = order_simulation.World()
    first = {}
    for engine in world.engines:
        engine.on_executed = lambda order: first.setdefault(order.upstream_id, world.now)
    assert world.settle()
    acquired_at = 100.0
    assert first["checks-1"] < acquired_at + order_simulation.MAX_ORDER_S
    assert first["plain-1"] >= acquired_at + order_simulation.MAX_ORDER_S


def test_a_refused_fence_ends_the_session():
    world = order_simulation.World()
    while not world.sent:
        world.step()
    holder, order = world.sent[0].holder, world.sent[0].order
    refused = order_types.OrderResult.REFUSED_FENCE
    actions = holder.planner.handle(order_types.OrderDone(order.order_id, refused), holder.clock())
    assert actions == (order_types.Deposed(order.fence),)
    assert holder.planner.handle(node.TimeDue(), holder.clock()) == ()


def test_an_order_of_unknown_result_is_repeated_only_if_its_effect_is_missing():
    world = order_simulation.World()
    while not world.sent:
        world.step()
    sent = world.sent[0]
    world.lose_answer_early(0)
    world.advance(0.1)
    assert all(read.upstream_id != sent.order.upstream_id or read.state for _, read in world.reads)
    while world.now < sent.at + order_simulation.MAX_ORDER_S - 0.2:
        if world.proposals:
            world.commit(0)
        elif world.reads:
            world.answer_read(0)
        else:
            world.advance(0.1)
        mine = [s for s in world.sent if s.order.upstream_id == sent.order.upstream_id]
        assert len(mine) == 1
    assert world.settle()


def test_an_engine_that_is_gone_is_removed_with_its_order():
    world = order_simulation.World()
    while not world.sent:
        world.step()
    sent = world.sent[0]
    engine = world.engine_by_id[sent.order.upstream_id]
    gone = dataclasses.replace(engine.notice(), gone=True)
    for holder in world.holders:
        holder.take(inventory.InventoryReport("entry", (gone,)))
    world.engines.remove(engine)
    world.sent.remove(sent)
    assert world.settle()
    world.advance(2 * order_simulation.MAX_ORDER_S)
    assert world.settle()
    for _ in range(40):
        world.step()
    assert sent.holder.board.order_by_upstream == {}


def until_sent():
    world = order_simulation.World()
    while not world.sent:
        world.step()
    return world, world.sent[0]


def test_an_order_recorded_after_the_lease_ended_is_not_sent():
    world = order_simulation.World()
    record = None
    while not isinstance(record, order_types.RecordOrder):
        world.step()
        record = world.proposals[0] if world.proposals else None
    holder = next(holder for holder in world.holders if holder.lease.may_act(holder.clock()))
    reply = order_types.BoardReply(order_types.Verdict.ACCEPTED)
    late = holder.lease.valid_until + 0.1
    actions = holder.planner.handle(order_types.BoardCommitted(record, reply), late)
    assert not any(isinstance(action, order_types.OrderEngine) for action in actions)


def test_nothing_is_read_or_ordered_before_the_board_refuses_earlier_holders():
    world = order_simulation.World()
    while not any(isinstance(item, order_types.BeginHolding) for item in world.proposals):
        world.step()
    world.advance(0.2)
    assert not world.reads
    while not world.log or not isinstance(world.log[-1], order_types.BeginHolding):
        world.commit(len(world.proposals) - 1)
    assert world.reads


def test_a_state_read_before_an_engine_restarted_is_not_used():
    world = order_simulation.World()
    assert world.settle()
    world.restart_engine(0)
    holder, old_read = world.reads[0]
    world.restart_engine(0)
    world.answer_read(0)
    assert world.proposals == []
    assert world.reads[0][1].number > old_read.number
    assert world.settle()


def test_a_new_holder_waits_for_an_open_order_of_an_earlier_one():
    world, sent = until_sent()
    engine = world.engine_by_id[sent.order.upstream_id]
    world.sent = [sent]
    sent.holder.take(lease_types.Stopping())
    world.holders.remove(sent.holder)
    while world.now < sent.at + order_simulation.MAX_ORDER_S - 0.2:
        if world.proposals:
            world.commit(0)
        elif world.reads:
            world.answer_read(0)
        else:
            world.advance(0.1)
    assert any(holder.lease.may_act(holder.clock()) for holder in world.holders)
    to_engine = [item for item in world.sent if item.order.upstream_id == engine.engine_id]
    assert to_engine == [sent]
    world.deliver(world.sent.index(sent))
    assert world.settle()


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
