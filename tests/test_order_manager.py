"""The desk orders engines only while its replica leads and holds the lease."""

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


class Site:
    """Share one log between desks that each apply it; keep what else they ask for."""

    def __init__(self, count=2):
        self.now = 100.0
        self.told = []
        self.loses_proposals = False
        self.desks = [
            order_manager.OrderManager(
                order_manager.OrderManagerOptions(f"holder-{number}", PLANNER, LEASE_S),
                board=orders.OrderBoard(),
                table=lease_table.LeaseTable(),
            )
            for number in range(count)
        ]

    def tell(self, desk, event):
        for action in desk.handle(event, self.now):
            if isinstance(action, order_manager.ProposeToSubState):
                if not self.loses_proposals:
                    self.commit(action.name, action.command)
            else:
                self.told.append(action)

    def commit(self, name, command):
        replies = []
        for desk in self.desks:
            sub_state = desk.board if name == "orders" else desk.table
            replies.append(sub_state.apply(command, 0))
        assert len(set(replies)) == 1
        for desk in self.desks:
            self.tell(desk, order_manager.CommandApplied(name, command, replies[0]))

    def declare(self, desired=DESIRED, base=0):
        self.commit("orders", orders.COMMANDS.pack(order_types.Declare(desired, "", base)))

    def run_for(self, seconds):
        """Wake desks when they want it."""
        until = self.now + seconds
        while (at := min(desk.wake_at for desk in self.desks)) <= until:
            self.now = max(self.now, at)
            for desk in self.desks:
                self.tell(desk, node.TimeDue())
        self.now = until

    def take(self, kind):
        found = [action for action in self.told if isinstance(action, kind)]
        self.told = [action for action in self.told if not isinstance(action, kind)]
        return found

    def answer_read(self, desk, state):
        (read,) = self.take(order_types.ReadEngineState)
        self.tell(desk, order_types.EngineStateRead(read.upstream_id, read.number, state))

    def lead(self, desk, *notices):
        self.tell(desk, lease_types.LeadershipWon())
        self.tell(desk, report(*notices))
        self.run_for(0.1)


@pytest.fixture
def site():
    made = Site()
    made.declare()
    return made


@pytest.fixture
def desk(site):
    return site.desks[0]


def ordered(site, desk):
    """Lead with one engine and return the order it got."""
    site.lead(desk, notice())
    site.answer_read(desk, order_types.EngineState(1))
    (order,) = site.take(order_types.OrderEngine)
    return order


def test_a_leader_orders_what_is_missing_and_records_the_result(site, desk):
    order = ordered(site, desk)
    assert (order.upstream_id, order.fence, order.order_id) == ("e1", 1, "1-2")
    assert order.action.weights == WEIGHTS
    assert site.desks[1].board.order_by_upstream["e1"].order_id == order.order_id
    site.tell(desk, order_types.OrderDone(order.order_id, Result.DONE))
    site.run_for(0.1)
    site.answer_read(desk, order_types.EngineState(1, LOADED))
    site.run_for(60.0)
    assert site.take(order_types.OrderEngine) == []
    assert [done.result for done in desk.board.history] == [Result.DONE]


def test_a_replica_that_does_not_lead_does_nothing(site, desk):
    site.tell(desk, report(notice()))
    site.tell(desk, order_manager.EntryHeartbeat("h1", 5))
    site.run_for(60.0)
    assert (site.told, desk.wake_at) == ([], math.inf)


def test_an_engine_that_checks_no_fences_waits_for_older_orders_to_end(site, desk):
    site.lead(desk, notice(checks_fence=False))
    site.run_for(LIMIT_S - 1)
    assert site.take(order_types.ReadEngineState) == []
    (waiting,) = desk.waiting(site.now)
    assert (waiting.upstream_id, "older holder" in waiting.reason) == ("e1", True)
    site.run_for(2.0)
    assert len(site.take(order_types.ReadEngineState)) == 1


def test_the_next_leader_waits_for_lease_expiry_and_orders_nothing_twice(site, desk):
    order = ordered(site, desk)
    site.tell(desk, lease_types.LeadershipLost())
    assert not desk.lease.may_act(site.now)
    site.tell(desk, order_types.OrderDone(order.order_id, Result.DONE))
    assert desk.board.order_by_upstream, "a result of a holding that has ended was recorded"
    other = site.desks[1]
    site.lead(other, notice())
    site.run_for(LEASE_S - 1)
    assert not other.lease.may_act(site.now)
    site.run_for(1.5)
    assert other.lease.fence == 2
    state = order_types.EngineState(1, executing=order.order_id, order_ids=(order.order_id,))
    site.answer_read(other, state)
    site.run_for(3.0)
    site.answer_read(other, order_types.EngineState(1, LOADED, order_ids=(order.order_id,)))
    site.run_for(3.0)
    assert [done.result for done in other.board.history] == [Result.DONE]
    assert site.take(order_types.OrderEngine) == []


def test_a_take_of_another_holder_is_not_mistaken_for_the_own_one(site, desk):
    site.loses_proposals = True
    site.tell(desk, lease_types.LeadershipWon())
    site.loses_proposals = False
    site.tell(site.desks[1], lease_types.LeadershipWon())
    assert [each.lease.may_act(site.now) for each in site.desks] == [False, True]


def test_a_stopping_leader_releases_the_lease(site, desk):
    site.lead(desk, notice())
    site.tell(desk, lease_types.Stopping())
    site.lead(site.desks[1], notice())
    assert site.desks[1].lease.may_act(site.now)
    assert site.desks[1].lease.fence == 2


def test_after_a_refused_fence_the_lease_is_released_and_retaken_later(site, desk):
    order = ordered(site, desk)
    site.tell(desk, order_types.OrderDone(order.order_id, Result.REFUSED_FENCE))
    assert not desk.lease.may_act(site.now)
    site.run_for(order_manager.RETAKE_DELAY_S - 0.1)
    assert desk.fence == 1
    site.run_for(0.2)
    assert (desk.lease.may_act(site.now), desk.fence) == (True, 2)


def test_an_unrenewed_lease_stops_the_orders(site, desk):
    site.lead(desk, notice())
    site.loses_proposals = True
    site.run_for(LEASE_S + 1)
    assert not desk.lease.may_act(site.now)
    site.take(order_types.ReadEngineState)
    site.declare(dataclasses.replace(DESIRED, role="decode"), base=9)
    site.run_for(LIMIT_S)
    assert site.take(order_types.ReadEngineState | order_types.OrderEngine) == []


def test_a_new_leader_requests_missing_notices(site, desk):
    site.lead(desk, notice())
    digest = inventory.notices_digest([notice()])
    site.tell(desk, order_manager.EntryHeartbeat("h1", digest))
    assert site.take(node.Send) == []
    site.tell(desk, order_manager.EntryHeartbeat("h1", digest ^ 1))
    resend = node.Send("h1", inventory.ResendInventory("h1"))
    assert site.take(node.Send) == [resend]
    site.tell(desk, lease_types.LeadershipLost())
    site.tell(desk, lease_types.LeadershipWon())
    site.tell(desk, order_manager.EntryHeartbeat("h1", digest))
    assert site.take(node.Send) == [resend]


@pytest.mark.parametrize("returns", [True, False])
def test_engines_of_a_lost_entry_host_are_evicted_after_the_retention_time(site, desk, returns):
    site.lead(desk, notice())
    digest = inventory.notices_digest([notice()])
    site.tell(desk, order_manager.EntryLost("h1"))
    site.run_for(order_manager.LOST_ENTRY_RETENTION_S - 0.5)
    site.tell(
        desk, order_manager.EntryHeartbeat("h1" if returns else "h2", digest if returns else 0)
    )
    site.run_for(1.0)
    site.tell(desk, order_manager.EntryHeartbeat("h1", digest))
    assert bool(site.take(node.Send)) is not returns


def test_the_upstreams_out_of_service_carry_a_version(site, desk):
    site.declare(dataclasses.replace(DESIRED, role="decode"), base=9)
    site.lead(desk, notice())
    assert desk.out_of_service.version == 0
    site.answer_read(desk, order_types.EngineState(1, LOADED))
    out = desk.out_of_service
    assert (out.version, out.upstream_ids) == (1, ("e1",))
    assert site.desks[1].out_of_service == out
    site.run_for(2.1)
    site.answer_read(desk, order_types.EngineState(1, LOADED))
    (order,) = site.take(order_types.OrderEngine)
    assert order.action == order_types.ChangeRole("decode")
