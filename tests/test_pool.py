"""Test each scheduling rule of the pool on its own."""

import dataclasses
import gc
import random

import pytest

from medlarfork import node, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import _pool_ticket, pool, pool_events, pool_options

_POOL = "lm/0"
_SERVICE = configuration.Service("lm", configuration.ServiceKind.MODEL, "", slots=1)
_CLASSES = (
    configuration.RequestClass("counter", 1, floor_share=0.0),
    configuration.RequestClass("chat", 2, floor_share=0.0),
    configuration.RequestClass("review", 3, floor_share=0.2, preemptible=True),
)
_NON_ADAPTIVE = pool_options.NON_ADAPTIVE


class PoolHarness:
    """Drive one pool with a simulated clock."""

    def __init__(self, options, accounts=(), service=_SERVICE):
        self.pool = pool.Pool(
            name=_POOL, entry_id="owner", random=random.Random(1), options=options
        )
        self.now = 1000.0
        self.sequence = 0
        self.count = 0
        self.configure(accounts, service)

    def configure(self, accounts=(), service=_SERVICE, drained=()):
        return self.send(pool_events.PolicyChanged(_CLASSES, tuple(accounts), service, drained))

    def send(self, event):
        actions = self.pool.handle(event, self.now)
        return [action for action in actions if not isinstance(action, node.Wake)]

    def add_upstream(self, upstream_id="u1", slots=1, **fields):
        return self.send(pool_events.UpstreamUp(self.announcement(upstream_id, slots, **fields)))

    def announcement(self, upstream_id, slots=1, incarnation=1, **fields):
        self.sequence += 1
        fields.setdefault("state", upstream.UpstreamState.READY)
        return upstream.Announcement(
            upstream_id, incarnation, self.sequence, address="http://x", slots=slots, **fields
        )

    def submit(self, tier=1, time_left=60.0, **fields):
        self.count += 1
        fields.setdefault("ticket_id", f"r{self.count}/1")
        item = ticket.Ticket(
            entry_id=fields.pop("entry_id", "e1"),
            pool=_POOL,
            account=fields.pop("account", "a"),
            class_name=_CLASSES[tier - 1].name,
            tier=tier,
            waited_s=fields.pop("waited_s", 0.0),
            time_left_s=time_left,
            **fields,
        )
        return self.send(item)

    def release(
        self, ticket_id, cause=ticket.ReleaseCause.FINISHED, whole_s=1.0, tokens=10, pause_s=0.0
    ):
        return self.send(ticket.Release(ticket_id, _POOL, cause, None, whole_s, tokens, pause_s))

    def advance(self, elapsed_s):
        self.now += elapsed_s
        return self.send(node.TimeDue())

    def warm_up(self, count, tier=1, whole_s=1.0):
        """Let the pool measure a class's service time, with requests of account ``warm-up``."""
        for _ in range(count):
            (grant,) = self.submit(tier, account="warm-up", target_left_s=whole_s)
            self.now += whole_s
            self.release(grant.ticket_id, whole_s=whole_s)


def _granted_ids(actions):
    return [action.ticket_id for action in actions if isinstance(action, ticket.Grant)]


def _sheds(actions):
    return [action for action in actions if isinstance(action, ticket.Shed)]


def _preempted_ids(actions):
    return [action.ticket_id for action in actions if isinstance(action, ticket.Preempt)]


@pytest.fixture
def non_adaptive():
    """Return a harness of a pool without adaptive rules and with one free slot."""
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.add_upstream()
    return harness


def test_grants_name_the_upstream_and_its_address(non_adaptive):
    (grant,) = non_adaptive.submit()
    assert grant == ticket.Grant("r1/1", "e1", _POOL, "u1", "http://x", version="")


def test_a_resent_ticket_gets_the_original_answer(non_adaptive):
    (grant,) = non_adaptive.submit()
    assert non_adaptive.submit(ticket_id="r1/1") == [grant]
    non_adaptive.release("r1/1")
    assert non_adaptive.submit(ticket_id="r1/1") == []


def test_a_ticket_that_arrives_after_its_withdrawal_is_not_granted(non_adaptive):
    non_adaptive.send(ticket.Withdraw("r9/1", _POOL))
    assert non_adaptive.submit(ticket_id="r9/1") == []
    assert non_adaptive.pool.summary(non_adaptive.now).running == 0


def test_higher_tiers_start_first_regardless_of_arrival_order(non_adaptive):
    non_adaptive.submit()
    non_adaptive.submit(3)
    non_adaptive.submit(2)
    non_adaptive.submit(1)
    order = [_granted_ids(non_adaptive.release(held))[0] for held in ("r1/1", "r4/1", "r3/1")]
    assert order == ["r4/1", "r3/1", "r2/1"]


def test_a_full_queue_sheds_the_lowest_tiers_newest():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, max_queued=2))
    harness.add_upstream()
    harness.submit()
    harness.submit(3)
    harness.submit(3)
    (first,) = _sheds(harness.submit(1))
    (second,) = _sheds(harness.submit(1))
    (third,) = _sheds(harness.submit(1))
    assert [shed.ticket_id for shed in (first, second, third)] == ["r3/1", "r2/1", "r6/1"]
    assert first.reason is ticket.ShedReason.OVERLOADED


def test_accounts_share_a_tier_by_weight(non_adaptive):
    non_adaptive.configure([configuration.Account("heavy", weight=2.0)])
    non_adaptive.submit()
    for _ in range(30):
        non_adaptive.submit(account="heavy")
    for _ in range(30):
        non_adaptive.submit(account="light")
    held, heavy_starts = "r1/1", []
    for _ in range(30):
        (held,) = _granted_ids(non_adaptive.release(held))
        heavy_starts.append(int(held[1:-2]) <= 31)
    assert 19 <= sum(heavy_starts) <= 21


@pytest.mark.parametrize(
    ("limits", "admitted"),
    [
        (configuration.AccountLimits(concurrent=3), 3),
        (configuration.AccountLimits(requests_per_second=4.0), 4),
    ],
)
def test_an_account_over_its_limit_is_refused_with_a_retry_time(non_adaptive, limits, admitted):
    non_adaptive.configure([configuration.Account("a", limits=limits)])
    sheds = [_sheds(non_adaptive.submit()) for _ in range(admitted + 1)]
    assert [len(shed) for shed in sheds] == [0] * admitted + [1]
    assert sheds[-1][0].reason is ticket.ShedReason.ACCOUNT_LIMIT
    assert sheds[-1][0].retry_after_s > 0
    assert _sheds(non_adaptive.submit(account="b")) == []


def test_output_tokens_are_charged_on_release(non_adaptive):
    limits = configuration.AccountLimits(tokens_per_minute=60)
    non_adaptive.configure([configuration.Account("a", limits=limits)])
    non_adaptive.submit()
    non_adaptive.release("r1/1", tokens=90)
    (shed,) = non_adaptive.submit()
    assert shed.reason is ticket.ShedReason.ACCOUNT_LIMIT
    assert 30 <= shed.retry_after_s <= 40
    non_adaptive.now += 32
    assert _granted_ids(non_adaptive.submit())


def test_limits_are_divided_over_the_services_pools(non_adaptive):
    limits = configuration.AccountLimits(concurrent=4)
    service = dataclasses.replace(_SERVICE, shards=2)
    non_adaptive.configure([configuration.Account("a", limits=limits)], service)
    assert [len(_sheds(non_adaptive.submit())) for _ in range(3)] == [0, 0, 1]


def test_a_resumed_ticket_is_queued_at_the_head_despite_its_account_limit(non_adaptive):
    limits = configuration.AccountLimits(concurrent=2)
    non_adaptive.configure([configuration.Account("a", limits=limits)])
    non_adaptive.submit(3)
    non_adaptive.submit(3)
    assert _sheds(non_adaptive.submit(3, resume_offset=5)) == []
    assert _granted_ids(non_adaptive.release("r1/1")) == ["r3/1"]


def test_a_floor_grants_slots_to_a_low_tier_under_sustained_higher_load():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, floors=True))
    harness.add_upstream()
    harness.submit(1)
    held, reviews, counters = "r1/1", 0, 0
    for _ in range(20):
        harness.submit(3, time_left=10_000.0)
    review_ids = {f"r{number}/1" for number in range(2, 22)}
    for _ in range(400):
        harness.submit(1)
        harness.now += 1.0
        (held,) = _granted_ids(harness.release(held))
        reviews += held in review_ids
        counters += held not in review_ids
        assert reviews + counters > 0
    assert 15 <= reviews <= 20
    assert counters > 300


def test_a_floor_is_measured_in_slot_time_not_in_starts():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, floors=True))
    harness.add_upstream()
    harness.submit(1)
    held, review_s, elapsed = "r1/1", 0.0, 0.0
    for _ in range(60):
        harness.submit(3, time_left=10_000.0)
    review_ids = {f"r{number}/1" for number in range(2, 62)}
    for _ in range(2000):
        harness.submit(1)
        slot_s = 10.0 if held in review_ids else 0.1
        harness.now += slot_s
        elapsed += slot_s
        review_s += slot_s if held in review_ids else 0.0
        (held,) = _granted_ids(harness.release(held))
    assert 0.12 <= review_s / elapsed <= 0.28


def test_slots_are_withheld_from_lower_tiers_for_expected_arrivals():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, withhold=True))
    harness.add_upstream(slots=4)
    harness.warm_up(20)
    grants = sum(len(_granted_ids(harness.submit(3))) for _ in range(4))
    assert 1 <= grants < 4
    assert _granted_ids(harness.submit(1))


def test_withheld_slots_are_released_when_arrivals_stop():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, withhold=True))
    harness.add_upstream(slots=4)
    harness.warm_up(20)
    for _ in range(4):
        harness.submit(3, time_left=1000.0)
    assert len(_granted_ids(harness.advance(150.0))) >= 1
    assert harness.pool.summary(harness.now).running == 4


def test_preemption_selects_the_most_recently_started_ticket_of_the_lowest_tier():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, preempt=True))
    harness.add_upstream(slots=3)
    harness.submit(2, preemptible=True)
    harness.submit(3, preemptible=True)
    harness.now += 1.0
    harness.submit(3, preemptible=True)
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == ["r3/1"]
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == ["r2/1"]
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == ["r1/1"]
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == []


@pytest.mark.parametrize(
    ("running", "arriving"),
    [
        ({"tier": 3, "preemptible": False}, {"tier": 1, "target_left_s": 0.5}),
        ({"tier": 3, "preemptible": True, "repeatable": False}, {"tier": 1, "target_left_s": 0.5}),
        ({"tier": 2, "preemptible": True}, {"tier": 2, "target_left_s": 0.5}),
        ({"tier": 2, "preemptible": True}, {"tier": 3, "target_left_s": 0.5}),
        ({"tier": 3, "preemptible": True}, {"tier": 1, "target_left_s": 30.0}),
        ({"tier": 3, "preemptible": True}, {"tier": 1}),
    ],
)
def test_no_preemption(running, arriving):
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, preempt=True))
    harness.add_upstream()
    harness.submit(**running)
    assert _preempted_ids(harness.submit(**arriving)) == []


def test_preemptions_of_a_request_are_limited_and_spaced_by_the_cooldown():
    options = dataclasses.replace(
        _NON_ADAPTIVE, preempt=True, preempt_per_request=2, preempt_cooldown_s=2.0
    )
    harness = PoolHarness(options)
    harness.add_upstream()
    preemptions = []
    harness.submit(3, preemptible=True, ticket_id="long/1")
    for attempt in range(1, 40):
        harness.now += 0.5
        (chat,) = [f"chat{attempt}/1"]
        if _preempted_ids(harness.submit(1, target_left_s=0.5, ticket_id=chat)):
            preemptions.append(harness.now)
            harness.release(f"long/{len(preemptions)}", ticket.ReleaseCause.PREEMPTED)
            again = f"long/{len(preemptions) + 1}"
            harness.submit(3, preemptible=True, resume_offset=9, ticket_id=again)
        harness.release(chat)
    assert len(preemptions) == 2
    assert preemptions[1] - preemptions[0] >= 2.0


@pytest.mark.parametrize(("per_slot_s", "expected"), [(0.0, 2), (1000.0, 3)])
def test_the_preemption_rate_is_limited(per_slot_s, expected):
    harness = PoolHarness(
        dataclasses.replace(_NON_ADAPTIVE, preempt=True, preempt_per_slot_s=per_slot_s)
    )
    harness.add_upstream(slots=2)
    preempted = []
    for number in range(3):
        review, counter = f"review{number}/1", f"counter{number}/1"
        harness.submit(2, ticket_id=f"chat{number}/1")
        harness.submit(3, preemptible=True, ticket_id=review)
        preempted += _preempted_ids(harness.submit(1, target_left_s=0.5, ticket_id=counter))
        preempted += _preempted_ids(harness.advance(0.49))
        for held in (review, counter, f"chat{number}/1"):
            harness.release(held)
    assert len(preempted) == expected


def test_a_ticket_started_by_its_floor_is_not_preempted():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, floors=True, preempt=True))
    harness.add_upstream()
    harness.submit(1)
    harness.submit(3, time_left=1000.0, preemptible=True)
    harness.submit(1)
    harness.now += 1.0
    assert _granted_ids(harness.release("r1/1")) == ["r2/1"]
    harness.submit(1, target_left_s=0.5)
    assert _preempted_ids(harness.advance(0.4)) == []


@pytest.mark.parametrize(("floors", "preempted"), [(True, []), (False, ["r1/1"])])
def test_a_tier_is_not_preempted_below_its_floor(floors, preempted):
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, floors=floors, preempt=True))
    harness.add_upstream(slots=5)
    harness.submit(3, preemptible=True)
    for _ in range(4):
        harness.submit(2)
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == preempted


def test_a_hopeless_ticket_is_shed_on_arrival_with_a_retry_time():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, shed_hopeless=True))
    harness.add_upstream()
    harness.warm_up(20, whole_s=10.0)
    (shed,) = harness.submit(1, time_left=5.0)
    assert shed.reason is ticket.ShedReason.HOPELESS
    assert shed.retry_after_s > 0
    assert _granted_ids(harness.submit(1, time_left=15.0))


def test_a_queued_ticket_is_shed_when_it_becomes_hopeless():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, shed_hopeless=True))
    harness.add_upstream()
    harness.warm_up(20, whole_s=10.0)
    harness.submit()
    assert harness.submit(1, time_left=40.0) == []
    assert harness.advance(29.0) == []
    assert _sheds(harness.advance(1.5))[0].reason is ticket.ShedReason.HOPELESS


def test_tickets_that_can_no_longer_meet_their_target_start_last():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, late_last=True))
    harness.add_upstream()
    harness.submit()
    harness.submit(target_left_s=1.0)
    harness.submit(target_left_s=30.0)
    harness.now += 2.0
    assert _granted_ids(harness.release("r1/1")) == ["r3/1"]
    assert _granted_ids(harness.release("r3/1")) == ["r2/1"]


@pytest.mark.parametrize(
    ("order", "first"),
    [(pool_options.TicketOrder.ARRIVAL, "r2/1"), (pool_options.TicketOrder.TARGET, "r3/1")],
)
def test_order_within_an_account(order, first):
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, order=order))
    harness.add_upstream()
    harness.submit()
    harness.submit(target_left_s=9.0)
    harness.submit(target_left_s=5.0)
    assert _granted_ids(harness.release("r1/1")) == [first]


def test_without_upstreams_tickets_are_shed_after_a_grace_period_lowest_tier_first():
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.submit(1)
    harness.submit(3)
    assert harness.advance(1.0) == []
    sheds = _sheds(harness.advance(1.5))
    assert [shed.ticket_id for shed in sheds] == ["r2/1", "r1/1"]
    assert {shed.reason for shed in sheds} == {ticket.ShedReason.NO_UPSTREAM}


@pytest.mark.parametrize("how", ["leaving", "drained", "gone"])
def test_no_new_grants_to_an_unavailable_upstream(non_adaptive, how):
    non_adaptive.add_upstream(slots=2)
    non_adaptive.submit()
    match how:
        case "leaving":
            leaving = non_adaptive.announcement("u1", 2, state=upstream.UpstreamState.LEAVING)
            non_adaptive.send(pool_events.UpstreamChanged(leaving))
            non_adaptive.send(pool_events.UpstreamChanged(non_adaptive.announcement("u1", 2)))
        case "drained":
            non_adaptive.configure(drained=("u1",))
        case "gone":
            non_adaptive.send(pool_events.UpstreamGone("u1"))
    assert non_adaptive.submit() == []
    assert non_adaptive.pool.summary(non_adaptive.now).running == 1


def test_a_new_incarnation_starts_with_all_its_slots(non_adaptive):
    non_adaptive.submit()
    non_adaptive.add_upstream(incarnation=2)
    assert _granted_ids(non_adaptive.submit())
    non_adaptive.release("r1/1")
    assert non_adaptive.submit() == []


def test_avoided_upstreams_are_used_only_if_no_other_is_usable(non_adaptive):
    non_adaptive.add_upstream("u2")
    assert [grant.upstream_id for grant in non_adaptive.submit(avoid=("u1",))] == ["u2"]
    assert non_adaptive.submit(avoid=("u1",)) == []
    assert [grant.upstream_id for grant in non_adaptive.submit()] == ["u1"]
    non_adaptive.send(pool_events.UpstreamGone("u2"))
    assert _granted_ids(non_adaptive.release("r3/1")) == ["r2/1"]


def test_a_ticket_skipped_because_of_an_avoided_upstream_stays_urgent():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, preempt=True))
    harness.add_upstream("u2")
    harness.submit(3, preemptible=True)
    harness.add_upstream("u1")
    assert harness.submit(1, target_left_s=2.0, avoid=("u1",)) == []
    assert _preempted_ids(harness.advance(1.0)) == ["r1/1"]
    again = harness.advance(0.95)
    assert harness.pool.summary(harness.now).queued == 1
    assert _granted_ids(again) == []


def test_foreign_load_takes_slots_and_own_load_in_delayed_reports_is_not_counted_twice(
    non_adaptive,
):
    non_adaptive.add_upstream("u1", slots=4)
    for _ in range(2):
        non_adaptive.submit()
    non_adaptive.release("r1/1")
    non_adaptive.release("r2/1")
    busy = non_adaptive.announcement("u1", 4, load=upstream.Load(running=3))
    non_adaptive.send(pool_events.UpstreamChanged(busy))
    assert sum(len(_granted_ids(non_adaptive.submit())) for _ in range(5)) == 3


def test_a_ticket_goes_to_an_upstream_that_caches_its_prefix_within_the_load_bound():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, affinity=True))
    stored = (upstream.CacheEvent(7, upstream.CacheChange.STORED, "p"),)
    harness.add_upstream("u1", slots=4)
    harness.add_upstream("u2", slots=4, cache_events=stored)
    chosen = [grant.upstream_id for _ in range(8) for grant in harness.submit(prefix="p")]
    assert chosen[0] == "u2"
    assert chosen.count("u2") == 4
    assert "u1" in chosen[:4]


def test_an_out_of_order_cache_event_is_ignored():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, affinity=True))
    stored = (upstream.CacheEvent(7, upstream.CacheChange.STORED, "p"),)
    late = (upstream.CacheEvent(5, upstream.CacheChange.EVICTED, "p"),)
    harness.add_upstream("u1", slots=2)
    harness.add_upstream("u2", slots=2, cache_events=stored)
    harness.send(pool_events.UpstreamChanged(harness.announcement("u2", 2, cache_events=late)))
    assert harness.submit(prefix="p")[0].upstream_id == "u2"


def test_slow_start_applies_to_new_upstreams_but_not_to_those_present_at_takeover():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, slow_start_s=8.0))
    harness.add_upstream("u1", slots=4)
    assert harness.pool.summary(harness.now).slots == 4
    harness.now += 10.0
    harness.add_upstream("u2", slots=4)
    assert harness.pool.summary(harness.now).slots == 5
    harness.advance(4.0)
    assert harness.pool.summary(harness.now).slots == 6
    harness.advance(4.0)
    assert harness.pool.summary(harness.now).slots == 8


def test_ejections_are_ignored_when_too_few_upstreams_are_left():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, eject=True, eject_max_share=1.0))
    for name in ("u1", "u2"):
        harness.add_upstream(name)
    for _ in range(40):
        for action in harness.submit():
            harness.release(action.ticket_id, ticket.ReleaseCause.FAILED)
    views = harness.pool.upstream_views()
    assert all(view.ejected for view in views)
    assert all(view.usable for view in views)


def test_a_lost_entry_hosts_queue_is_dropped_and_its_slots_kept_until_a_timeout(non_adaptive):
    non_adaptive.submit(entry_id="e2")
    non_adaptive.submit(entry_id="e2")
    non_adaptive.submit(entry_id="e1")
    non_adaptive.send(pool_events.EntryGone("e2"))
    assert non_adaptive.pool.summary(non_adaptive.now).queued == 1
    assert non_adaptive.advance(29.0) == []
    assert _granted_ids(non_adaptive.advance(1.5)) == ["r3/1"]


def test_a_new_owner_counts_running_tickets_and_drops_their_queued_copy(non_adaptive):
    non_adaptive.submit()
    non_adaptive.submit()
    item = ticket.Ticket("r2/1", "e1", _POOL, "a", "counter", 1, 0.0, 60.0)
    non_adaptive.send(ticket.Running(item, "u1", 3.0))
    summary = non_adaptive.pool.summary(non_adaptive.now)
    assert (summary.running, summary.queued) == (2, 0)
    non_adaptive.release("r1/1")
    assert non_adaptive.submit() == []
    assert _granted_ids(non_adaptive.release("r2/1"))


def test_an_unreleased_grant_is_reclaimed_after_its_deadline(non_adaptive):
    non_adaptive.submit(time_left=10.0)
    non_adaptive.submit(time_left=60.0)
    assert non_adaptive.advance(14.0) == []
    assert _granted_ids(non_adaptive.advance(1.5)) == ["r2/1"]


def test_a_wake_is_requested_while_time_alone_can_change_the_state():
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.submit(time_left=5.0)
    actions = harness.pool.handle(node.TimeDue(), harness.now + 1.5)
    assert any(isinstance(action, node.Wake) for action in actions)


@pytest.mark.parametrize("end", ["release", "withdraw"])
def test_ended_tickets_are_garbage_collected(end):
    harness = PoolHarness(pool.PoolOptions())
    harness.add_upstream(slots=1)
    harness.submit(1, time_left=1e6)
    for number in range(3000):
        name = f"x{number}/1"
        harness.submit(3, time_left=1e6, ticket_id=name, target_left_s=1e5, preemptible=True)
        if end == "release":
            harness.release(name)
        else:
            harness.send(ticket.Withdraw(name, _POOL))
    kinds = (_pool_ticket.QueuedTicket, _pool_ticket.RunningTicket)
    gc.collect()
    assert sum(isinstance(held, kinds) for held in gc.get_objects()) < 600


def _running(ticket_id, upstream_id="u1", running_s=3.0, **fields):
    item = ticket.Ticket(ticket_id, "e1", _POOL, "a", "counter", 1, 0.0, 60.0, **fields)
    return ticket.Running(item, upstream_id, running_s)


def test_a_new_owner_grants_no_unconfirmed_slot_before_earlier_grants_are_known():
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.send(pool_events.UpstreamUp(harness.announcement("u1", 2), age_s=0.4))
    harness.send(pool_events.TookOver())
    assert harness.submit(ticket_id="early/1") == []
    for number in range(2):
        harness.send(_running(f"old{number}/1"))
    assert harness.advance(0.9) == []
    assert harness.advance(0.2) == []
    assert _granted_ids(harness.release("old0/1")) == ["early/1"]


def test_a_new_owner_grants_slots_that_a_load_report_since_the_takeover_shows_free():
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.send(pool_events.UpstreamUp(harness.announcement("u1", 2), age_s=0.4))
    harness.send(pool_events.TookOver())
    harness.now += 0.1
    late = harness.announcement("u1", 2, load=upstream.Load(running=1, age_s=0.2))
    harness.send(pool_events.UpstreamChanged(late))
    assert harness.submit() == []
    fresh = harness.announcement("u1", 2, load=upstream.Load(running=1))
    assert _granted_ids(harness.send(pool_events.UpstreamChanged(fresh))) == ["r1/1"]
    assert harness.submit() == []


def test_a_new_owner_grants_unconfirmed_slots_after_the_settling_time():
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.send(pool_events.UpstreamUp(harness.announcement("u1", 1), age_s=0.4))
    harness.send(pool_events.TookOver())
    assert harness.submit() == []
    assert harness.advance(0.9) == []
    assert _granted_ids(harness.advance(0.1)) == ["r1/1"]


def test_a_running_ticket_that_the_announced_load_counts_is_not_counted_twice(non_adaptive):
    non_adaptive.add_upstream("u1", slots=4, load=upstream.Load(running=2))
    non_adaptive.send(_running("old/1", running_s=3.0))
    non_adaptive.now += 0.1
    non_adaptive.send(_running("since/1", running_s=0.05))
    assert sum(len(_granted_ids(non_adaptive.submit())) for _ in range(4)) == 1


def test_an_entry_host_that_returned_keeps_the_slots_of_its_running_tickets(non_adaptive):
    non_adaptive.submit(ticket_id="long/1", time_left=100.0)
    non_adaptive.submit(ticket_id="next/1", time_left=300.0)
    non_adaptive.send(pool_events.EntryGone("e1"))
    non_adaptive.advance(10.0)
    non_adaptive.send(_running("long/1"))
    non_adaptive.submit(ticket_id="next/2", time_left=300.0)
    assert non_adaptive.advance(25.0) == []
    assert _granted_ids(non_adaptive.release("long/1")) == ["next/2"]


def test_a_reclaimed_slot_is_restored_to_a_ticket_that_still_runs(non_adaptive):
    non_adaptive.submit(ticket_id="long/1", time_left=200.0)
    non_adaptive.send(pool_events.EntryGone("e1"))
    non_adaptive.advance(31.0)
    assert non_adaptive.pool.summary(non_adaptive.now).running == 0
    non_adaptive.send(_running("long/1"))
    assert non_adaptive.pool.summary(non_adaptive.now).running == 1
    non_adaptive.release("long/1")
    non_adaptive.send(_running("long/1"))
    assert non_adaptive.pool.summary(non_adaptive.now).running == 0


def test_a_new_owner_may_preempt_tickets_granted_by_an_earlier_one():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, preempt=True))
    harness.add_upstream()
    item = ticket.Ticket("old/1", "e1", _POOL, "a", "review", 3, 0.0, 60.0, preemptible=True)
    harness.send(ticket.Running(item, "u1", 3.0))
    assert _preempted_ids(harness.submit(1, target_left_s=0.5)) == ["old/1"]


_FAILOVER = dataclasses.replace(_NON_ADAPTIVE, move_stalled=True)


def _harness_with_lost_upstream(**fields):
    harness = PoolHarness(_FAILOVER)
    harness.add_upstream("u1")
    harness.submit(ticket_id="held/1", **fields)
    harness.add_upstream("u2")
    harness.advance(0.7)
    harness.send(pool_events.UpstreamGone("u1"))
    return harness


def test_a_repeatable_ticket_is_recalled_from_a_lost_upstream():
    harness = _harness_with_lost_upstream(preemptible=True)
    assert harness.advance(0.9) == []
    (recall,) = harness.advance(1.1)
    assert recall == ticket.Preempt("held/1", "e1", _POOL, stalled=True)
    assert harness.pool.summary(harness.now).running == 1
    assert harness.advance(1.1) == []
    assert _preempted_ids(harness.advance(2.1)) == ["held/1"]
    harness.release("held/1", ticket.ReleaseCause.PREEMPTED)
    harness.add_upstream("u1")
    assert [grant.upstream_id for grant in harness.submit(ticket_id="held/2")] == ["u2"]


def test_a_not_repeatable_ticket_is_never_recalled():
    harness = _harness_with_lost_upstream(repeatable=False)
    assert harness.advance(20.0) == []


@pytest.mark.parametrize("how", ["back", "leaving", "alone"])
def test_tickets_are_not_recalled(how):
    harness = PoolHarness(_FAILOVER)
    harness.add_upstream("u1")
    harness.submit(ticket_id="held/1")
    if how != "alone":
        harness.add_upstream("u2")
    if how == "leaving":
        leaving = harness.announcement("u1", state=upstream.UpstreamState.LEAVING)
        harness.send(pool_events.UpstreamChanged(leaving))
    harness.send(pool_events.UpstreamGone("u1"))
    if how == "back":
        harness.advance(0.5)
        harness.add_upstream("u1")
    assert harness.advance(5.0) == []


def test_a_ticket_granted_immediately_triggers_no_preemption():
    harness = PoolHarness(dataclasses.replace(_NON_ADAPTIVE, preempt=True))
    harness.add_upstream(slots=2)
    harness.warm_up(10, whole_s=0.2)
    harness.warm_up(10, whole_s=1.0)
    assert _granted_ids(harness.submit(1, target_left_s=0.9))
    (grant,) = harness.submit(3, preemptible=True)
    assert isinstance(grant, ticket.Grant)


class CrashSimulation:
    """Upstreams that crash while running a request and restart a second later."""

    def __init__(self, harness, count):
        self.harness = harness
        self.incarnation_by_id = {f"u{number}": 1 for number in range(count)}
        for upstream_id in self.incarnation_by_id:
            harness.add_upstream(upstream_id)

    def run(self, key, cause):
        """Submit a request and end its run; return its upstream, or why it was refused."""
        (action,) = self.harness.submit(repeat_key=key)
        if isinstance(action, ticket.Shed):
            return action.reason
        self.harness.release(action.ticket_id, cause)
        return action.upstream_id

    def restart(self, upstream_id):
        self.harness.advance(1.0)
        self.incarnation_by_id[upstream_id] += 1
        self.harness.add_upstream(upstream_id, incarnation=self.incarnation_by_id[upstream_id])


@pytest.fixture
def crashes():
    return CrashSimulation(PoolHarness(_NON_ADAPTIVE), 6)


def test_a_request_is_blocked_after_three_upstreams_crashed_while_running_it(crashes):
    """Each repeat by the caller is a new request; unblocked, it crashes one after the other."""
    crashed = []
    for _ in range(20):
        where = crashes.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
        if where is ticket.ShedReason.ENDS_UPSTREAMS:
            crashes.harness.advance(0.5)
            continue
        crashed.append(where)
        crashes.restart(where)
    assert len(crashed) == 3
    assert crashes.run("a1b2c3-other", ticket.ReleaseCause.FINISHED) in crashes.incarnation_by_id


def test_an_answered_request_is_cleared_of_earlier_crashes(crashes):
    for _ in range(4):
        assert crashes.run("a1b2c3-k", ticket.ReleaseCause.FINISHED).startswith("u")
        for _ in range(2):
            where = crashes.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
            assert where.startswith("u")
            crashes.restart(where)


def test_a_broken_run_on_an_upstream_that_stays_up_is_no_crash(crashes):
    for number in range(6):
        where = crashes.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
        assert where.startswith("u"), number
        crashes.harness.advance(1.0)
        announced = crashes.harness.announcement(where)
        crashes.harness.send(pool_events.UpstreamChanged(announced))


def test_a_suspect_request_runs_one_at_a_time(crashes):
    for _ in range(2):
        crashes.restart(crashes.run("a1b2c3-k", ticket.ReleaseCause.BROKEN))
    (grant,) = crashes.harness.submit(repeat_key="a1b2c3-k")
    (shed,) = crashes.harness.submit(repeat_key="a1b2c3-k")
    assert shed.reason is ticket.ShedReason.ENDS_UPSTREAMS
    crashes.harness.release(grant.ticket_id)
    assert isinstance(crashes.harness.submit(repeat_key="a1b2c3-k")[0], ticket.Grant)


def test_an_upstream_gets_no_grants_during_the_backoff_that_it_asked_for():
    """Without it the next ticket goes to the refusing upstream immediately."""
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.add_upstream("u1")
    harness.add_upstream("u2")
    (first,) = harness.submit()
    harness.release(first.ticket_id, ticket.ReleaseCause.REFUSED, pause_s=3.0)
    (other,) = {"u1", "u2"} - {first.upstream_id}
    for _ in range(5):
        harness.advance(0.4)
        (grant,) = harness.submit()
        assert grant.upstream_id == other
        harness.release(grant.ticket_id, ticket.ReleaseCause.FINISHED)
    (taken,) = harness.submit()
    assert harness.submit() == []
    granted = [action for _ in range(5) for action in harness.advance(0.5)]
    assert [action.upstream_id for action in granted] == [first.upstream_id]
    assert taken.upstream_id == other


@pytest.fixture
def two_versions():
    """Return a harness of a pool with an upstream of two slots of each of two versions."""
    harness = PoolHarness(_NON_ADAPTIVE)
    harness.add_upstream("u1", slots=2, version="v1")
    harness.add_upstream("u2", slots=2, version="v2")
    return harness


def test_a_resumed_stream_waits_for_its_version_and_holds_up_no_other(two_versions):
    first, second = (two_versions.submit(version="v1", resume_offset=1)[0] for _ in range(2))
    assert (first.upstream_id, second.upstream_id) == ("u1", "u1")
    for _ in range(8):
        assert not _granted_ids(two_versions.submit(version="v1", resume_offset=1))
    (other,) = two_versions.submit()
    assert (other.upstream_id, other.version) == ("u2", "v2")
    (next_grant,) = two_versions.release(first.ticket_id)
    assert next_grant.upstream_id == "u1"


def test_a_queued_stream_is_refused_once_its_version_has_gone(two_versions):
    for _ in range(3):
        two_versions.submit(version="v1", resume_offset=1)
    two_versions.send(pool_events.UpstreamGone("u1"))
    (shed,) = _sheds(two_versions.advance(1.0))
    assert (shed.ticket_id, shed.reason) == ("r3/1", ticket.ShedReason.NO_UPSTREAM)


def test_a_resumed_stream_without_an_upstream_of_its_version_is_refused_at_once(two_versions):
    (shed,) = _sheds(two_versions.submit(version="v3", resume_offset=1))
    assert shed.reason is ticket.ShedReason.NO_UPSTREAM
    leaving = two_versions.announcement("u1", 2, version="v1", state=upstream.UpstreamState.LEAVING)
    two_versions.send(pool_events.UpstreamChanged(leaving))
    (shed,) = _sheds(two_versions.submit(version="v1", resume_offset=1))
    assert shed.reason is ticket.ShedReason.NO_UPSTREAM
