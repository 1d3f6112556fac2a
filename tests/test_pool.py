"""Check each rule of the pool alone."""

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
_STRICT = pool_options.NON_ADAPTIVE


class Bench:
    """Drive one pool and keep its clock."""

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

    def up(self, upstream_id="u1", slots=1, **fields):
        return self.send(pool_events.UpstreamUp(self.announce(upstream_id, slots, **fields)))

    def announce(self, upstream_id, slots=1, incarnation=1, **fields):
        self.sequence += 1
        fields.setdefault("state", upstream.UpstreamState.READY)
        return upstream.Announcement(
            upstream_id, incarnation, self.sequence, address="http://x", slots=slots, **fields
        )

    def ask(self, tier=1, left=60.0, **fields):
        self.count += 1
        fields.setdefault("ticket_id", f"r{self.count}/1")
        item = ticket.Ticket(
            entry_id=fields.pop("entry_id", "e1"),
            pool=_POOL,
            account=fields.pop("account", "a"),
            class_name=_CLASSES[tier - 1].name,
            tier=tier,
            waited_s=fields.pop("waited_s", 0.0),
            time_left_s=left,
            **fields,
        )
        return self.send(item)

    def release(
        self, ticket_id, cause=ticket.ReleaseCause.FINISHED, whole_s=1.0, tokens=10, pause_s=0.0
    ):
        return self.send(ticket.Release(ticket_id, _POOL, cause, None, whole_s, tokens, pause_s))

    def wait(self, elapsed_s):
        self.now += elapsed_s
        return self.send(node.TimeDue())

    def serve(self, count, tier=1, whole_s=1.0):
        """Teach the pool a class's time with requests of account ``teacher``."""
        for _ in range(count):
            (grant,) = self.ask(tier, account="teacher", target_left_s=whole_s)
            self.now += whole_s
            self.release(grant.ticket_id, whole_s=whole_s)


def _granted(actions):
    return [action.ticket_id for action in actions if isinstance(action, ticket.Grant)]


def _shed(actions):
    return [action for action in actions if isinstance(action, ticket.Shed)]


def _preempted(actions):
    return [action.ticket_id for action in actions if isinstance(action, ticket.Preempt)]


@pytest.fixture
def strict():
    """Return a pool without adaptive rules and with one free slot."""
    bench = Bench(_STRICT)
    bench.up()
    return bench


def test_grants_name_the_upstream_and_its_address(strict):
    (grant,) = strict.ask()
    assert grant == ticket.Grant("r1/1", "e1", _POOL, "u1", "http://x")


def test_a_repeated_ticket_gets_its_first_answer(strict):
    (grant,) = strict.ask()
    assert strict.ask(ticket_id="r1/1") == [grant]
    strict.release("r1/1")
    assert strict.ask(ticket_id="r1/1") == []


def test_a_withdrawn_ticket_is_never_granted_even_if_it_comes_later(strict):
    strict.send(ticket.Withdraw("r9/1", _POOL))
    assert strict.ask(ticket_id="r9/1") == []
    assert strict.pool.summary(strict.now).running == 0


def test_higher_tiers_start_first_whatever_their_order_of_arrival(strict):
    strict.ask()
    strict.ask(3)
    strict.ask(2)
    strict.ask(1)
    order = [_granted(strict.release(held))[0] for held in ("r1/1", "r4/1", "r3/1")]
    assert order == ["r4/1", "r3/1", "r2/1"]


def test_a_full_queue_sheds_the_lowest_tiers_newest():
    bench = Bench(dataclasses.replace(_STRICT, max_queued=2))
    bench.up()
    bench.ask()
    bench.ask(3)
    bench.ask(3)
    (first,) = _shed(bench.ask(1))
    (second,) = _shed(bench.ask(1))
    (third,) = _shed(bench.ask(1))
    assert [shed.ticket_id for shed in (first, second, third)] == ["r3/1", "r2/1", "r6/1"]
    assert first.reason is ticket.ShedReason.OVERLOADED


def test_accounts_share_a_tier_by_weight(strict):
    strict.configure([configuration.Account("heavy", weight=2.0)])
    strict.ask()
    for _ in range(30):
        strict.ask(account="heavy")
    for _ in range(30):
        strict.ask(account="light")
    held, starts = "r1/1", []
    for _ in range(30):
        (held,) = _granted(strict.release(held))
        starts.append(int(held[1:-2]) <= 31)
    assert 19 <= sum(starts) <= 21


@pytest.mark.parametrize(
    ("limits", "admitted"),
    [
        (configuration.AccountLimits(concurrent=3), 3),
        (configuration.AccountLimits(requests_per_second=4.0), 4),
    ],
)
def test_an_account_beyond_its_limit_is_refused_with_a_time(strict, limits, admitted):
    strict.configure([configuration.Account("a", limits=limits)])
    sheds = [_shed(strict.ask()) for _ in range(admitted + 1)]
    assert [len(shed) for shed in sheds] == [0] * admitted + [1]
    assert sheds[-1][0].reason is ticket.ShedReason.ACCOUNT_LIMIT
    assert sheds[-1][0].retry_after_s > 0
    assert _shed(strict.ask(account="b")) == []


def test_tokens_are_charged_when_they_are_known(strict):
    limits = configuration.AccountLimits(tokens_per_minute=60)
    strict.configure([configuration.Account("a", limits=limits)])
    strict.ask()
    strict.release("r1/1", tokens=90)
    (shed,) = strict.ask()
    assert shed.reason is ticket.ShedReason.ACCOUNT_LIMIT
    assert 30 <= shed.retry_after_s <= 40
    strict.now += 32
    assert _granted(strict.ask())


def test_limits_are_divided_over_the_services_pools(strict):
    limits = configuration.AccountLimits(concurrent=4)
    service = dataclasses.replace(_SERVICE, shards=2)
    strict.configure([configuration.Account("a", limits=limits)], service)
    assert [len(_shed(strict.ask())) for _ in range(3)] == [0, 0, 1]


def test_a_resumed_ticket_goes_to_the_head_past_its_accounts_limit(strict):
    limits = configuration.AccountLimits(concurrent=2)
    strict.configure([configuration.Account("a", limits=limits)])
    strict.ask(3)
    strict.ask(3)
    assert _shed(strict.ask(3, resume_offset=5)) == []
    assert _granted(strict.release("r1/1")) == ["r3/1"]


def test_a_floor_starts_a_low_tier_under_sustained_higher_load():
    bench = Bench(dataclasses.replace(_STRICT, floors=True))
    bench.up()
    bench.ask(1)
    held, reviews, counters = "r1/1", 0, 0
    for _ in range(20):
        bench.ask(3, left=10_000.0)
    review_ids = {f"r{number}/1" for number in range(2, 22)}
    for _ in range(400):
        bench.ask(1)
        bench.now += 1.0
        (held,) = _granted(bench.release(held))
        reviews += held in review_ids
        counters += held not in review_ids
        assert reviews + counters > 0
    assert 15 <= reviews <= 20
    assert counters > 300


def test_a_floor_is_counted_in_slot_time_not_in_starts():
    bench = Bench(dataclasses.replace(_STRICT, floors=True))
    bench.up()
    bench.ask(1)
    held, review_s, elapsed = "r1/1", 0.0, 0.0
    for _ in range(60):
        bench.ask(3, left=10_000.0)
    review_ids = {f"r{number}/1" for number in range(2, 62)}
    for _ in range(2000):
        bench.ask(1)
        slot_s = 10.0 if held in review_ids else 0.1
        bench.now += slot_s
        elapsed += slot_s
        review_s += slot_s if held in review_ids else 0.0
        (held,) = _granted(bench.release(held))
    assert 0.12 <= review_s / elapsed <= 0.28


def test_slots_are_withheld_from_lower_tiers_for_the_arrivals_seen():
    bench = Bench(dataclasses.replace(_STRICT, withhold=True))
    bench.up(slots=4)
    bench.serve(20)
    grants = sum(len(_granted(bench.ask(3))) for _ in range(4))
    assert 1 <= grants < 4
    assert _granted(bench.ask(1))


def test_withheld_slots_are_given_back_when_the_arrivals_stop():
    bench = Bench(dataclasses.replace(_STRICT, withhold=True))
    bench.up(slots=4)
    bench.serve(20)
    for _ in range(4):
        bench.ask(3, left=1000.0)
    assert len(_granted(bench.wait(150.0))) >= 1
    assert bench.pool.summary(bench.now).running == 4


def test_preemption_takes_the_least_started_of_the_lowest_tier_only_downwards():
    bench = Bench(dataclasses.replace(_STRICT, preempt=True))
    bench.up(slots=3)
    bench.ask(2, preemptible=True)
    bench.ask(3, preemptible=True)
    bench.now += 1.0
    bench.ask(3, preemptible=True)
    assert _preempted(bench.ask(1, target_left_s=0.5)) == ["r3/1"]
    assert _preempted(bench.ask(1, target_left_s=0.5)) == ["r2/1"]
    assert _preempted(bench.ask(1, target_left_s=0.5)) == ["r1/1"]
    assert _preempted(bench.ask(1, target_left_s=0.5)) == []


@pytest.mark.parametrize(
    ("held", "asked"),
    [
        ({"tier": 3, "preemptible": False}, {"tier": 1, "target_left_s": 0.5}),
        ({"tier": 3, "preemptible": True, "repeatable": False}, {"tier": 1, "target_left_s": 0.5}),
        ({"tier": 2, "preemptible": True}, {"tier": 2, "target_left_s": 0.5}),
        ({"tier": 2, "preemptible": True}, {"tier": 3, "target_left_s": 0.5}),
        ({"tier": 3, "preemptible": True}, {"tier": 1, "target_left_s": 30.0}),
        ({"tier": 3, "preemptible": True}, {"tier": 1}),
    ],
)
def test_preemption_spares(held, asked):
    bench = Bench(dataclasses.replace(_STRICT, preempt=True))
    bench.up()
    bench.ask(**held)
    assert _preempted(bench.ask(**asked)) == []


def test_a_request_is_preempted_a_few_times_at_most_with_a_pause_between():
    options = dataclasses.replace(
        _STRICT, preempt=True, preempt_per_request=2, preempt_cooldown_s=2.0
    )
    bench = Bench(options)
    bench.up()
    preemptions = []
    bench.ask(3, preemptible=True, ticket_id="long/1")
    for attempt in range(1, 40):
        bench.now += 0.5
        (chat,) = [f"chat{attempt}/1"]
        if _preempted(bench.ask(1, target_left_s=0.5, ticket_id=chat)):
            preemptions.append(bench.now)
            bench.release(f"long/{len(preemptions)}", ticket.ReleaseCause.PREEMPTED)
            again = f"long/{len(preemptions) + 1}"
            bench.ask(3, preemptible=True, resume_offset=9, ticket_id=again)
        bench.release(chat)
    assert len(preemptions) == 2
    assert preemptions[1] - preemptions[0] >= 2.0


@pytest.mark.parametrize(("per_slot_s", "expected"), [(0.0, 2), (1000.0, 3)])
def test_preemptions_are_bounded_in_rate(per_slot_s, expected):
    bench = Bench(dataclasses.replace(_STRICT, preempt=True, preempt_per_slot_s=per_slot_s))
    bench.up(slots=2)
    preempted = []
    for number in range(3):
        review, counter = f"review{number}/1", f"counter{number}/1"
        bench.ask(2, ticket_id=f"chat{number}/1")
        bench.ask(3, preemptible=True, ticket_id=review)
        preempted += _preempted(bench.ask(1, target_left_s=0.5, ticket_id=counter))
        preempted += _preempted(bench.wait(0.49))
        for held in (review, counter, f"chat{number}/1"):
            bench.release(held)
    assert len(preempted) == expected


def test_a_ticket_started_by_its_floor_is_not_preempted():
    bench = Bench(dataclasses.replace(_STRICT, floors=True, preempt=True))
    bench.up()
    bench.ask(1)
    bench.ask(3, left=1000.0, preemptible=True)
    bench.ask(1)
    bench.now += 1.0
    assert _granted(bench.release("r1/1")) == ["r2/1"]
    bench.ask(1, target_left_s=0.5)
    assert _preempted(bench.wait(0.4)) == []


@pytest.mark.parametrize(("floors", "preempted"), [(True, []), (False, ["r1/1"])])
def test_a_tier_is_not_preempted_below_its_floor(floors, preempted):
    bench = Bench(dataclasses.replace(_STRICT, floors=floors, preempt=True))
    bench.up(slots=5)
    bench.ask(3, preemptible=True)
    for _ in range(4):
        bench.ask(2)
    assert _preempted(bench.ask(1, target_left_s=0.5)) == preempted


def test_a_hopeless_ticket_is_shed_at_once_with_a_time():
    bench = Bench(dataclasses.replace(_STRICT, shed_hopeless=True))
    bench.up()
    bench.serve(20, whole_s=10.0)
    (shed,) = bench.ask(1, left=5.0)
    assert shed.reason is ticket.ShedReason.HOPELESS
    assert shed.retry_after_s > 0
    assert _granted(bench.ask(1, left=15.0))


def test_a_queued_ticket_is_shed_when_it_becomes_hopeless():
    bench = Bench(dataclasses.replace(_STRICT, shed_hopeless=True))
    bench.up()
    bench.serve(20, whole_s=10.0)
    bench.ask()
    assert bench.ask(1, left=40.0) == []
    assert bench.wait(29.0) == []
    assert _shed(bench.wait(1.5))[0].reason is ticket.ShedReason.HOPELESS


def test_tickets_that_must_miss_their_target_start_last():
    bench = Bench(dataclasses.replace(_STRICT, late_last=True))
    bench.up()
    bench.ask()
    bench.ask(target_left_s=1.0)
    bench.ask(target_left_s=30.0)
    bench.now += 2.0
    assert _granted(bench.release("r1/1")) == ["r3/1"]
    assert _granted(bench.release("r3/1")) == ["r2/1"]


@pytest.mark.parametrize(
    ("order", "first"),
    [(pool_options.TicketOrder.ARRIVAL, "r2/1"), (pool_options.TicketOrder.TARGET, "r3/1")],
)
def test_order_within_an_account(order, first):
    bench = Bench(dataclasses.replace(_STRICT, order=order))
    bench.up()
    bench.ask()
    bench.ask(target_left_s=9.0)
    bench.ask(target_left_s=5.0)
    assert _granted(bench.release("r1/1")) == [first]


def test_without_upstreams_tickets_wait_a_moment_and_are_refused_lowest_first():
    bench = Bench(_STRICT)
    bench.ask(1)
    bench.ask(3)
    assert bench.wait(1.0) == []
    sheds = _shed(bench.wait(1.5))
    assert [shed.ticket_id for shed in sheds] == ["r2/1", "r1/1"]
    assert {shed.reason for shed in sheds} == {ticket.ShedReason.NO_UPSTREAM}


@pytest.mark.parametrize("how", ["leaving", "drained", "gone"])
def test_no_new_grants_to_an_upstream_that_ends(strict, how):
    strict.up(slots=2)
    strict.ask()
    match how:
        case "leaving":
            leaving = strict.announce("u1", 2, state=upstream.UpstreamState.LEAVING)
            strict.send(pool_events.UpstreamChanged(leaving))
            strict.send(pool_events.UpstreamChanged(strict.announce("u1", 2)))
        case "drained":
            strict.configure(drained=("u1",))
        case "gone":
            strict.send(pool_events.UpstreamGone("u1"))
    assert strict.ask() == []
    assert strict.pool.summary(strict.now).running == 1


def test_a_new_incarnation_starts_with_all_its_slots(strict):
    strict.ask()
    strict.up(incarnation=2)
    assert _granted(strict.ask())
    strict.release("r1/1")
    assert strict.ask() == []


def test_avoided_upstreams_are_used_only_if_no_other_is_usable(strict):
    strict.up("u2")
    assert [grant.upstream_id for grant in strict.ask(avoid=("u1",))] == ["u2"]
    assert strict.ask(avoid=("u1",)) == []
    assert [grant.upstream_id for grant in strict.ask()] == ["u1"]
    strict.send(pool_events.UpstreamGone("u2"))
    assert _granted(strict.release("r3/1")) == ["r2/1"]


def test_a_ticket_set_aside_for_an_avoided_upstream_stays_urgent():
    bench = Bench(dataclasses.replace(_STRICT, preempt=True))
    bench.up("u2")
    bench.ask(3, preemptible=True)
    bench.up("u1")
    assert bench.ask(1, target_left_s=2.0, avoid=("u1",)) == []
    assert _preempted(bench.wait(1.0)) == ["r1/1"]
    again = bench.wait(0.95)
    assert bench.pool.summary(bench.now).queued == 1
    assert _granted(again) == []


def test_foreign_load_is_left_room_and_own_lagging_load_is_not_counted_twice(strict):
    strict.up("u1", slots=4)
    for _ in range(2):
        strict.ask()
    strict.release("r1/1")
    strict.release("r2/1")
    busy = strict.announce("u1", 4, load=upstream.Load(running=3))
    strict.send(pool_events.UpstreamChanged(busy))
    assert sum(len(_granted(strict.ask())) for _ in range(5)) == 3


def test_a_prefix_goes_where_it_is_cached_within_the_load_bound():
    bench = Bench(dataclasses.replace(_STRICT, affinity=True))
    stored = (upstream.CacheEvent(7, upstream.CacheChange.STORED, "p"),)
    bench.up("u1", slots=4)
    bench.up("u2", slots=4, cache_events=stored)
    chosen = [grant.upstream_id for _ in range(8) for grant in bench.ask(prefix="p")]
    assert chosen[0] == "u2"
    assert chosen.count("u2") == 4
    assert "u1" in chosen[:4]


def test_a_late_cache_event_undoes_no_newer_one():
    bench = Bench(dataclasses.replace(_STRICT, affinity=True))
    stored = (upstream.CacheEvent(7, upstream.CacheChange.STORED, "p"),)
    late = (upstream.CacheEvent(5, upstream.CacheChange.EVICTED, "p"),)
    bench.up("u1", slots=2)
    bench.up("u2", slots=2, cache_events=stored)
    bench.send(pool_events.UpstreamChanged(bench.announce("u2", 2, cache_events=late)))
    assert bench.ask(prefix="p")[0].upstream_id == "u2"


def test_a_new_upstream_starts_slowly_but_a_new_owners_first_ones_do_not():
    bench = Bench(dataclasses.replace(_STRICT, slow_start_s=8.0))
    bench.up("u1", slots=4)
    assert bench.pool.summary(bench.now).slots == 4
    bench.now += 10.0
    bench.up("u2", slots=4)
    assert bench.pool.summary(bench.now).slots == 5
    bench.wait(4.0)
    assert bench.pool.summary(bench.now).slots == 6
    bench.wait(4.0)
    assert bench.pool.summary(bench.now).slots == 8


def test_when_too_few_upstreams_are_left_ejections_are_ignored():
    bench = Bench(dataclasses.replace(_STRICT, eject=True, eject_max_share=1.0))
    for name in ("u1", "u2"):
        bench.up(name)
    for _ in range(40):
        for action in bench.ask():
            bench.release(action.ticket_id, ticket.ReleaseCause.FAILED)
    views = bench.pool.upstream_views()
    assert all(view.ejected for view in views)
    assert all(view.usable for view in views)


def test_a_lost_entry_hosts_queue_is_dropped_and_its_slots_kept_for_a_while(strict):
    strict.ask(entry_id="e2")
    strict.ask(entry_id="e2")
    strict.ask(entry_id="e1")
    strict.send(pool_events.EntryGone("e2"))
    assert strict.pool.summary(strict.now).queued == 1
    assert strict.wait(29.0) == []
    assert _granted(strict.wait(1.5)) == ["r3/1"]


def test_a_new_owner_counts_running_tickets_and_drops_their_queued_copy(strict):
    strict.ask()
    strict.ask()
    item = ticket.Ticket("r2/1", "e1", _POOL, "a", "counter", 1, 0.0, 60.0)
    strict.send(ticket.Running(item, "u1", 3.0))
    summary = strict.pool.summary(strict.now)
    assert (summary.running, summary.queued) == (2, 0)
    strict.release("r1/1")
    assert strict.ask() == []
    assert _granted(strict.release("r2/1"))


def test_a_grant_that_is_never_released_is_taken_back_after_its_deadline(strict):
    strict.ask(left=10.0)
    strict.ask(left=60.0)
    assert strict.wait(14.0) == []
    assert _granted(strict.wait(1.5)) == ["r2/1"]


def test_wakes_are_asked_for_while_anything_can_change_by_time_alone():
    bench = Bench(_STRICT)
    bench.ask(left=5.0)
    actions = bench.pool.handle(node.TimeDue(), bench.now + 1.5)
    assert any(isinstance(action, node.Wake) for action in actions)


@pytest.mark.parametrize("end", ["release", "withdraw"])
def test_ended_tickets_are_not_kept(end):
    bench = Bench(pool.PoolOptions())
    bench.up(slots=1)
    bench.ask(1, left=1e6)
    for number in range(3000):
        name = f"x{number}/1"
        bench.ask(3, left=1e6, ticket_id=name, target_left_s=1e5, preemptible=True)
        if end == "release":
            bench.release(name)
        else:
            bench.send(ticket.Withdraw(name, _POOL))
    kinds = (_pool_ticket.QueuedTicket, _pool_ticket.RunningTicket)
    gc.collect()
    assert sum(isinstance(held, kinds) for held in gc.get_objects()) < 600


def _running(ticket_id, upstream_id="u1", running_s=3.0, **fields):
    item = ticket.Ticket(ticket_id, "e1", _POOL, "a", "counter", 1, 0.0, 60.0, **fields)
    return ticket.Running(item, upstream_id, running_s)


def test_a_new_owner_grants_no_unproved_slot_before_the_earlier_grants_are_known():
    bench = Bench(_STRICT)
    bench.send(pool_events.UpstreamUp(bench.announce("u1", 2), age_s=0.4))
    bench.send(pool_events.TookOver())
    assert bench.ask(ticket_id="early/1") == []
    for number in range(2):
        bench.send(_running(f"old{number}/1"))
    assert bench.wait(0.9) == []
    assert bench.wait(0.2) == []
    assert _granted(bench.release("old0/1")) == ["early/1"]


def test_a_new_owner_grants_what_a_reading_since_then_shows_free_at_once():
    bench = Bench(_STRICT)
    bench.send(pool_events.UpstreamUp(bench.announce("u1", 2), age_s=0.4))
    bench.send(pool_events.TookOver())
    bench.now += 0.1
    late = bench.announce("u1", 2, load=upstream.Load(running=1, age_s=0.2))
    bench.send(pool_events.UpstreamChanged(late))
    assert bench.ask() == []
    fresh = bench.announce("u1", 2, load=upstream.Load(running=1))
    assert _granted(bench.send(pool_events.UpstreamChanged(fresh))) == ["r1/1"]
    assert bench.ask() == []


def test_a_new_owner_grants_unproved_slots_after_the_settling_time():
    bench = Bench(_STRICT)
    bench.send(pool_events.UpstreamUp(bench.announce("u1", 1), age_s=0.4))
    bench.send(pool_events.TookOver())
    assert bench.ask() == []
    assert bench.wait(0.9) == []
    assert _granted(bench.wait(0.1)) == ["r1/1"]


def test_a_running_ticket_that_the_announced_load_counts_is_not_counted_twice(strict):
    strict.up("u1", slots=4, load=upstream.Load(running=2))
    strict.send(_running("old/1", running_s=3.0))
    strict.now += 0.1
    strict.send(_running("since/1", running_s=0.05))
    assert sum(len(_granted(strict.ask())) for _ in range(4)) == 1


def test_a_host_that_is_back_keeps_the_slots_of_what_it_runs(strict):
    strict.ask(ticket_id="long/1", left=100.0)
    strict.ask(ticket_id="next/1", left=300.0)
    strict.send(pool_events.EntryGone("e1"))
    strict.wait(10.0)
    strict.send(_running("long/1"))
    strict.ask(ticket_id="next/2", left=300.0)
    assert strict.wait(25.0) == []
    assert _granted(strict.release("long/1")) == ["next/2"]


def test_a_slot_taken_back_is_taken_again_by_a_ticket_that_still_runs(strict):
    strict.ask(ticket_id="long/1", left=200.0)
    strict.send(pool_events.EntryGone("e1"))
    strict.wait(31.0)
    assert strict.pool.summary(strict.now).running == 0
    strict.send(_running("long/1"))
    assert strict.pool.summary(strict.now).running == 1
    strict.release("long/1")
    strict.send(_running("long/1"))
    assert strict.pool.summary(strict.now).running == 0


def test_a_new_owner_may_preempt_what_an_earlier_one_granted():
    bench = Bench(dataclasses.replace(_STRICT, preempt=True))
    bench.up()
    item = ticket.Ticket("old/1", "e1", _POOL, "a", "review", 3, 0.0, 60.0, preemptible=True)
    bench.send(ticket.Running(item, "u1", 3.0))
    assert _preempted(bench.ask(1, target_left_s=0.5)) == ["old/1"]


_MOVING = dataclasses.replace(_STRICT, move_stalled=True)


def _gone_with_running(**fields):
    bench = Bench(_MOVING)
    bench.up("u1")
    bench.ask(ticket_id="held/1", **fields)
    bench.up("u2")
    bench.wait(0.7)
    bench.send(pool_events.UpstreamGone("u1"))
    return bench


def test_a_repeatable_ticket_is_asked_back_from_an_upstream_that_is_gone():
    bench = _gone_with_running(preemptible=True)
    assert bench.wait(0.9) == []
    (asked,) = bench.wait(1.1)
    assert asked == ticket.Preempt("held/1", "e1", _POOL, stalled=True)
    assert bench.pool.summary(bench.now).running == 1
    assert bench.wait(1.1) == []
    assert _preempted(bench.wait(2.1)) == ["held/1"]
    bench.release("held/1", ticket.ReleaseCause.PREEMPTED)
    bench.up("u1")
    assert [grant.upstream_id for grant in bench.ask(ticket_id="held/2")] == ["u2"]


def test_a_not_repeatable_ticket_is_never_asked_back():
    bench = _gone_with_running(repeatable=False)
    assert bench.wait(20.0) == []


@pytest.mark.parametrize("how", ["back", "leaving", "alone"])
def test_tickets_stay_at_an_upstream_that(how):
    bench = Bench(_MOVING)
    bench.up("u1")
    bench.ask(ticket_id="held/1")
    if how != "alone":
        bench.up("u2")
    if how == "leaving":
        leaving = bench.announce("u1", state=upstream.UpstreamState.LEAVING)
        bench.send(pool_events.UpstreamChanged(leaving))
    bench.send(pool_events.UpstreamGone("u1"))
    if how == "back":
        bench.wait(0.5)
        bench.up("u1")
    assert bench.wait(5.0) == []


def test_a_ticket_granted_at_once_asks_for_no_preemption():
    bench = Bench(dataclasses.replace(_STRICT, preempt=True))
    bench.up(slots=2)
    bench.serve(10, whole_s=0.2)
    bench.serve(10, whole_s=1.0)
    assert _granted(bench.ask(1, target_left_s=0.9))
    (grant,) = bench.ask(3, preemptible=True)
    assert isinstance(grant, ticket.Grant)


class Crashing:
    """Upstreams that end under one request and are back as a new start after a second."""

    def __init__(self, bench, count):
        self.bench = bench
        self.incarnation_by_id = {f"u{number}": 1 for number in range(count)}
        for upstream_id in self.incarnation_by_id:
            bench.up(upstream_id)

    def run(self, key, cause):
        """Ask for a slot, and end the run; return where it ran, or why it was refused."""
        (action,) = self.bench.ask(repeat_key=key)
        if isinstance(action, ticket.Shed):
            return action.reason
        self.bench.release(action.ticket_id, cause)
        return action.upstream_id

    def restart(self, upstream_id):
        self.bench.wait(1.0)
        self.incarnation_by_id[upstream_id] += 1
        self.bench.up(upstream_id, incarnation=self.incarnation_by_id[upstream_id])


@pytest.fixture
def crashing():
    return Crashing(Bench(_STRICT), 6)


def test_a_request_under_which_three_upstreams_ended_gets_no_further_one(crashing):
    """A caller's repeat is a new request, and used to be granted one upstream after the other."""
    ended = []
    for _ in range(20):
        where = crashing.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
        if where is ticket.ShedReason.ENDS_UPSTREAMS:
            crashing.bench.wait(0.5)
            continue
        ended.append(where)
        crashing.restart(where)
    assert len(ended) == 3
    assert crashing.run("a1b2c3-other", ticket.ReleaseCause.FINISHED) in crashing.incarnation_by_id


def test_a_request_that_was_answered_is_cleared_of_what_ended_around_it(crashing):
    for _ in range(4):
        assert crashing.run("a1b2c3-k", ticket.ReleaseCause.FINISHED).startswith("u")
        for _ in range(2):
            where = crashing.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
            assert where.startswith("u")
            crashing.restart(where)


def test_a_broken_run_on_an_upstream_that_lives_on_is_no_end(crashing):
    for number in range(6):
        where = crashing.run("a1b2c3-k", ticket.ReleaseCause.BROKEN)
        assert where.startswith("u"), number
        crashing.bench.wait(1.0)
        announced = crashing.bench.announce(where)
        crashing.bench.send(pool_events.UpstreamChanged(announced))


def test_a_suspect_runs_one_at_a_time(crashing):
    for _ in range(2):
        crashing.restart(crashing.run("a1b2c3-k", ticket.ReleaseCause.BROKEN))
    (grant,) = crashing.bench.ask(repeat_key="a1b2c3-k")
    (shed,) = crashing.bench.ask(repeat_key="a1b2c3-k")
    assert shed.reason is ticket.ShedReason.ENDS_UPSTREAMS
    crashing.bench.release(grant.ticket_id)
    assert isinstance(crashing.bench.ask(repeat_key="a1b2c3-k")[0], ticket.Grant)


def test_an_upstream_that_refuses_and_asks_for_a_pause_gets_nothing_meanwhile():
    """The time was not read, so the next ticket went there at once."""
    bench = Bench(_STRICT)
    bench.up("u1")
    bench.up("u2")
    (first,) = bench.ask()
    bench.release(first.ticket_id, ticket.ReleaseCause.REFUSED, pause_s=3.0)
    (other,) = {"u1", "u2"} - {first.upstream_id}
    for _ in range(5):
        bench.wait(0.4)
        (grant,) = bench.ask()
        assert grant.upstream_id == other
        bench.release(grant.ticket_id, ticket.ReleaseCause.FINISHED)
    (taken,) = bench.ask()
    assert bench.ask() == []
    granted = [action for _ in range(5) for action in bench.wait(0.5)]
    assert [action.upstream_id for action in granted] == [first.upstream_id]
    assert taken.upstream_id == other
