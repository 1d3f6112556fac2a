"""The manager orders engines only while its replica leads and holds the lease."""

import dataclasses
import math

import pytest

from medlarfork import node
from medlarfork.orders import (
    inventory,
    lease_table,
    lease_types,
    order_manager,
    order_types,
    orders,
    weight_load_scheduler,
)
from medlarfork.settings import planner_settings

LEASE_S = 6.0
LIMIT_S = 20.0
STORE = weight_load_scheduler.WeightStoreSettings(40.0, lanes=4, small_bytes=10)
PLANNER = planner_settings.PlannerSettings(
    STORE, max_order_s=LIMIT_S, answer_timeout_s=9.0, drain_s=2.0
)
WEIGHTS = order_types.Weights("m", "v1", 10)
DESIRED = order_types.DesiredState("all", weights=(WEIGHTS,))
LOADED = (order_types.LoadedWeights("m", "v1"),)
Result = order_types.OrderResult


def notice(upstream_id="e1", checks_fence=True):
    return inventory.UpstreamNotice(upstream_id, 1, "http://e", checks_fence=checks_fence)


def report(*notices, whole=False, entry="h1"):
    return inventory.InventoryReport(entry, notices, whole)


class ReplicaGroup:
    """Managers that share one log; actions other than proposals are recorded."""

    def __init__(self, count=2):
        self.now = 100.0
        self.actions = []
        self.loses_proposals = False
        self.managers = [
            order_manager.OrderManager(
                order_manager.OrderManagerOptions(f"holder-{number}", PLANNER, LEASE_S),
                board=orders.OrderBoard(),
                table=lease_table.LeaseTable(),
            )
            for number in range(count)
        ]

    def handle(self, manager, event):
        for action in manager.handle(event, self.now):
            if isinstance(action, order_manager.ProposeToSubState):
                if not self.loses_proposals:
                    self.commit(action.name, action.command)
            else:
                self.actions.append(action)

    def commit(self, name, command):
        replies = []
        for manager in self.managers:
            sub_state = manager.board if name == "orders" else manager.table
            replies.append(sub_state.apply(command, 0))
        assert len(set(replies)) == 1
        for manager in self.managers:
            self.handle(manager, order_manager.CommandApplied(name, command, replies[0]))

    def declare(self, desired=DESIRED, base=0):
        self.commit("orders", orders.COMMANDS.pack(order_types.Declare(desired, "", base)))

    def run_for(self, seconds):
        """Advance the time and send ``node.TimeDue`` to managers when due."""
        until = self.now + seconds
        while (at := min(manager.wake_at for manager in self.managers)) <= until:
            self.now = max(self.now, at)
            for manager in self.managers:
                self.handle(manager, node.TimeDue())
        self.now = until

    def take_actions(self, kind):
        found = [action for action in self.actions if isinstance(action, kind)]
        self.actions = [action for action in self.actions if not isinstance(action, kind)]
        return found

    def answer_read(self, manager, state):
        (read,) = self.take_actions(order_types.ReadEngineState)
        self.handle(manager, order_types.EngineStateRead(read.upstream_id, read.number, state))

    def start_leading(self, manager, *notices):
        self.handle(manager, lease_types.LeadershipWon())
        self.handle(manager, report(*notices))
        self.run_for(0.1)


@pytest.fixture
def group():
    made = ReplicaGroup()
    made.declare()
    return made


@pytest.fixture
def manager(group):
    return group.managers[0]


def lead_and_get_order(group, manager):
    """Make a manager lead with one engine; return the order sent to that engine."""
    group.start_leading(manager, notice())
    group.answer_read(manager, order_types.EngineState(1))
    (order,) = group.take_actions(order_types.OrderEngine)
    return order


def test_a_leader_orders_what_is_missing_and_records_the_result(group, manager):
    order = lead_and_get_order(group, manager)
    assert (order.upstream_id, order.fence, order.order_id) == ("e1", 1, "1-2")
    assert order.action.weights == WEIGHTS
    assert group.managers[1].board.order_by_upstream["e1"].order_id == order.order_id
    group.handle(manager, order_types.OrderDone(order.order_id, Result.DONE))
    group.run_for(0.1)
    group.answer_read(manager, order_types.EngineState(1, LOADED))
    group.run_for(60.0)
    assert group.take_actions(order_types.OrderEngine) == []
    assert [done.result for done in manager.board.history] == [Result.DONE]


def test_a_replica_that_does_not_lead_does_nothing(group, manager):
    group.handle(manager, report(notice()))
    group.handle(manager, order_manager.EntryHeartbeat("h1", 5))
    group.run_for(60.0)
    assert (group.actions, manager.wake_at) == ([], math.inf)


def test_an_engine_that_checks_no_fences_waits_for_older_orders_to_end(group, manager):
    group.start_leading(manager, notice(checks_fence=False))
    group.run_for(LIMIT_S - 1)
    assert group.take_actions(order_types.ReadEngineState) == []
    (waiting,) = manager.waiting(group.now)
    assert (waiting.upstream_id, "earlier lease holder" in waiting.reason) == ("e1", True)
    group.run_for(2.0)
    assert len(group.take_actions(order_types.ReadEngineState)) == 1


def test_the_next_leader_waits_for_lease_expiry_and_orders_nothing_twice(group, manager):
    order = lead_and_get_order(group, manager)
    group.handle(manager, lease_types.LeadershipLost())
    assert not manager.lease.may_act(group.now)
    group.handle(manager, order_types.OrderDone(order.order_id, Result.DONE))
    assert manager.board.order_by_upstream, "a result was recorded after the lease had ended"
    other = group.managers[1]
    group.start_leading(other, notice())
    group.run_for(LEASE_S - 1)
    assert not other.lease.may_act(group.now)
    group.run_for(1.5)
    assert other.lease.fence == 2
    state = order_types.EngineState(1, executing=order.order_id, order_ids=(order.order_id,))
    group.answer_read(other, state)
    group.run_for(3.0)
    group.answer_read(other, order_types.EngineState(1, LOADED, order_ids=(order.order_id,)))
    group.run_for(3.0)
    assert [done.result for done in other.board.history] == [Result.DONE]
    assert group.take_actions(order_types.OrderEngine) == []


def test_a_take_of_another_holder_is_not_mistaken_for_the_own_one(group, manager):
    group.loses_proposals = True
    group.handle(manager, lease_types.LeadershipWon())
    group.loses_proposals = False
    group.handle(group.managers[1], lease_types.LeadershipWon())
    assert [each.lease.may_act(group.now) for each in group.managers] == [False, True]


def test_a_stopping_leader_releases_the_lease(group, manager):
    group.start_leading(manager, notice())
    group.handle(manager, lease_types.Stopping())
    group.start_leading(group.managers[1], notice())
    assert group.managers[1].lease.may_act(group.now)
    assert group.managers[1].lease.fence == 2


def test_after_a_refused_fence_the_lease_is_released_and_retaken_later(group, manager):
    order = lead_and_get_order(group, manager)
    group.handle(manager, order_types.OrderDone(order.order_id, Result.REFUSED_FENCE))
    assert not manager.lease.may_act(group.now)
    group.run_for(order_manager.RETAKE_DELAY_S - 0.1)
    assert manager.fence == 1
    group.run_for(0.2)
    assert (manager.lease.may_act(group.now), manager.fence) == (True, 2)


def test_an_unrenewed_lease_stops_the_orders(group, manager):
    group.start_leading(manager, notice())
    group.loses_proposals = True
    group.run_for(LEASE_S + 1)
    assert not manager.lease.may_act(group.now)
    group.take_actions(order_types.ReadEngineState)
    group.declare(dataclasses.replace(DESIRED, role="decode"), base=9)
    group.run_for(LIMIT_S)
    assert group.take_actions(order_types.ReadEngineState | order_types.OrderEngine) == []


def test_a_new_leader_requests_missing_notices(group, manager):
    group.start_leading(manager, notice())
    digest = inventory.notices_digest([notice()])
    group.handle(manager, order_manager.EntryHeartbeat("h1", digest))
    assert group.take_actions(node.Send) == []
    group.handle(manager, order_manager.EntryHeartbeat("h1", digest ^ 1))
    resend = node.Send("h1", inventory.ResendInventory("h1"))
    assert group.take_actions(node.Send) == [resend]
    group.handle(manager, lease_types.LeadershipLost())
    group.handle(manager, lease_types.LeadershipWon())
    group.handle(manager, order_manager.EntryHeartbeat("h1", digest))
    assert group.take_actions(node.Send) == [resend]


@pytest.mark.parametrize("returns", [True, False])
def test_engines_of_a_lost_entry_host_are_evicted_after_the_retention_time(group, manager, returns):
    group.start_leading(manager, notice())
    digest = inventory.notices_digest([notice()])
    group.handle(manager, order_manager.EntryLost("h1"))
    group.run_for(order_manager.LOST_ENTRY_RETENTION_S - 0.5)
    group.handle(
        manager, order_manager.EntryHeartbeat("h1" if returns else "h2", digest if returns else 0)
    )
    group.run_for(1.0)
    group.handle(manager, order_manager.EntryHeartbeat("h1", digest))
    assert bool(group.take_actions(node.Send)) is not returns


def test_the_upstreams_out_of_service_carry_a_version(group, manager):
    group.declare(dataclasses.replace(DESIRED, role="decode"), base=9)
    group.start_leading(manager, notice())
    assert manager.out_of_service.version == 0
    group.answer_read(manager, order_types.EngineState(1, LOADED))
    out = manager.out_of_service
    assert (out.version, out.upstream_ids) == (1, ("e1",))
    assert group.managers[1].out_of_service == out
    group.run_for(2.1)
    group.answer_read(manager, order_types.EngineState(1, LOADED))
    (order,) = group.take_actions(order_types.OrderEngine)
    assert order.action == order_types.ChangeRole("decode")
