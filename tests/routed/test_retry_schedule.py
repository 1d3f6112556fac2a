"""Scheduled retries of refused callers, and early refusal at plain services."""

import types

import pytest

from medlarfork.coordination import decision_log
from medlarfork.placement import owner as placement_owner
from medlarfork.placement import (
    placement_decision,
    placement_messages,
    refusals,
    retry_schedule,
    wait_queue,
)
from tests.routed import overload_replay, placement_helpers

SHARD = placement_messages.Shard("engines")


@pytest.fixture
def schedule():
    """Return a schedule of a shard in which 10 slots become free in a second."""
    return retry_schedule.RetrySchedule(types.SimpleNamespace(per_s=lambda tier: 10.0))


@pytest.fixture
def make_waiting(make_place_request):
    def make(key="k", entry_id="e", left_ms=6000.0, account="a", **changes):
        changes |= {"left_ms": left_ms, "account": account, "retry_key": key}
        return wait_queue.WaitingRequest(entry_id, make_place_request(key, **changes), 0.0)

    return make


@pytest.fixture
def make_plain_owner(make_shard_owner):
    def make(count=3, slots=4):
        owner = make_shard_owner(count=count, slots=slots)
        owner.use_engine(None)
        return owner

    return make


def promise(key="k", tier=0, due_in_ms=0.0):
    return placement_messages.RetryPromise(key, tier, due_in_ms)


def replay(owner, make_place_request, account):
    burst = overload_replay.Replay(owner, make_place_request, account=account)
    for load, start_s, end_s in ((0.6, 0, 1), (2.5, 1, 6), (0.6, 6, 12)):
        burst.offer(load, start_s, end_s)
    return burst.run(13)


def test_in_a_burst_fewer_callers_are_never_served(make_plain_owner, make_place_request):
    """Of 2,004 callers 704 were never served, all of them refused after 2 s in the queue."""
    owner = make_plain_owner()
    outcome = replay(owner, make_place_request, "a")
    assert outcome.never_served <= 650
    assert outcome.refused_late <= 650
    state = owner.retry_state(13.0)
    assert state.kept > 100
    assert state.missed == 0
    assert state.outstanding == 0


def test_without_accounts_a_burst_is_served_as_before(make_plain_owner, make_place_request):
    """The figures are those of the code before scheduled retries, in the same replay."""
    owner = make_plain_owner()
    outcome = replay(owner, make_place_request, "")
    assert (outcome.callers, outcome.served, outcome.refused_late) == (2004, 1300, 704)
    assert not any(getattr(message, "is_promise", False) for _, message in outcome.answers)
    assert owner.retry_state(13.0) == retry_schedule.RetryState(0, 0, 0)


def test_places_follow_each_other_and_are_bounded_by_what_callers_wait(schedule, make_waiting):
    """All refused callers were told the same time, or one beyond which they don't wait."""
    times = [schedule.assign(make_waiting(f"k{n}", left_ms=1500.0), 0.0) for n in range(6)]
    assert times == pytest.approx([200.0, 200.0, 300.0, 400.0, 500.0, None])
    assert schedule.assign(make_waiting("k9", left_ms=500.0), 60.0) is None
    assert schedule.assign(make_waiting("k9", account=""), 60.0) is None


def test_requests_with_a_prompt_get_no_promise_and_use_none(schedule, make_waiting):
    """Returning prompts, late for their callers, displaced new ones that could be on time."""
    waiting = make_waiting("k", parts=(("p", 100),))
    assert schedule.assign(waiting, 0.0) is None
    schedule.adopt("e", [promise("k", 0, 300.0)], 0.0)
    assert schedule.claim(waiting.request, 0.3) is None
    assert schedule.claim(make_waiting("k").request, 0.3) == pytest.approx(0.3)


def test_more_urgent_tiers_get_earlier_places(schedule, make_waiting):
    """A retry of the highest tier was scheduled after those of others."""
    for n in range(9):
        schedule.assign(make_waiting(f"k{n}", tier=1), 0.0)
    assert schedule.assign(make_waiting("high", tier=0), 0.0) == pytest.approx(200.0)
    assert schedule.assign(make_waiting("low", tier=2), 0.0) == pytest.approx(1100.0)


def test_a_promise_is_used_once_and_only_in_its_time(schedule, make_waiting):
    """A request that returns early would gain by not waiting, and a copy by the same promise."""
    request = make_waiting("k", tier=1).request
    schedule.adopt("e", [promise("k", 1, 1000.0)], 0.0)
    assert schedule.claim(request, 0.89) is None
    assert schedule.claim(make_waiting("k", tier=0).request, 1.0) is None
    assert schedule.claim(request, 0.91) == pytest.approx(1.0)
    assert schedule.claim(request, 0.91) is None
    schedule.adopt("e", [promise("k", 1, 1000.0)], 0.0)
    assert schedule.claim(request, 3.01) is None
    assert schedule.state(3.01).outstanding == 0


def test_tables_of_promises_are_bounded(schedule, make_waiting):
    """An entry host that states false promises must not fill the memory, or keep them for long."""
    schedule.adopt("e", [promise(f"k{n}", 0, 5000.0) for n in range(3000)], 0.0)
    assert schedule.state(0.0).outstanding == retry_schedule.MAX_PROMISES
    assert schedule.assign(make_waiting(left_ms=1e9), 0.0) is None
    schedule.adopt("e", [promise("k", 0, due) for due in (float("nan"), 1e12, -3000.0)], 0.0)
    assert schedule.state(0.0).outstanding == 0


def test_a_repeated_handover_replaces_the_promises_of_its_entry_host_only(schedule):
    """Each repeated message would add the promises once more, and take places from others."""
    for entry_id in ("e", "f", "e"):
        schedule.adopt(entry_id, [promise(), promise()], 0.0)
    assert schedule.state(0.0).outstanding == 4


@pytest.mark.parametrize(("tier", "first"), [(1, "returns"), (0, "new")])
def test_a_returning_request_goes_before_new_ones_of_its_kind(
    make_plain_owner, make_place_request, tier, first
):
    """Returning requests were overtaken by new ones, and must not go before higher tiers."""
    owner = make_plain_owner(count=1, slots=1)
    owner.place("e", make_place_request("runs"), 0.0)
    owner.place("e", make_place_request("new", tier=tier), 0.1)
    owner.retries.adopt("e", [promise("k", 1)], 0.2)
    known = {"account": "a", "retry_key": "k", "tier": 1}
    owner.place("f", make_place_request("returns", **known), 0.2)
    (answer,) = owner.on_ended(placement_helpers.ended("runs"), 0.3)
    assert answer.message.ticket_id == first


def test_a_new_request_does_not_take_the_slot_of_a_queued_retry(
    make_plain_owner, make_place_request
):
    """A slot that was freed between two passes went to the next request that arrived."""
    owner = make_plain_owner(count=1, slots=2)
    for ticket_id in ("first", "second"):
        owner.place("e", make_place_request(ticket_id), 0.0)
    owner.retries.adopt("e", [promise("k"), promise("l")], 0.0)
    for key in ("k", "l"):
        owner.place("e", make_place_request(key, account="a", retry_key=key), 0.1)
    started = list(owner.on_ended(placement_helpers.ended("first"), 0.2))
    started += owner.on_ended(placement_helpers.ended("second"), 0.201)
    started += owner.place("e", make_place_request("new"), 0.202)
    assert [answer.message.ticket_id for answer in started] == ["k", "l", "new"]
    assert isinstance(started[-1].message, placement_messages.Queued)
    assert owner.retry_state(0.3) == retry_schedule.RetryState(0, 2, 0)


def test_a_new_request_does_not_overtake_a_retry_behind_higher_tiers(
    make_plain_owner, make_place_request
):
    """A new request took a slot that was free until the next pass."""
    owner = make_plain_owner(count=1, slots=1)
    for ticket_id in ("runs", "high", "higher"):
        owner.place("e", make_place_request(ticket_id), 0.0)
    owner.retries.adopt("e", [promise("k", 1)], 0.0)
    owner.place("e", make_place_request("k", tier=1, account="a", retry_key="k"), 0.1)
    owner.on_ended(placement_helpers.ended("runs"), 0.2)
    assert owner.on_ended(placement_helpers.ended("high"), 0.201) == ()
    (answer,) = owner.place("e", make_place_request("new", tier=1), 0.202)
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_returning_request_that_asks_another_shard_keeps_its_promise(
    make_plain_owner, make_place_request
):
    """After the other shard was busy too, the request was treated as new."""
    owner = make_plain_owner(count=1, slots=1)
    owner.place("e", make_place_request("runs"), 0.0)
    owner.retries.adopt("e", [promise()], 0.0)
    other = placement_messages.Shard("engines", 1, 2)
    known = {"account": "a", "retry_key": "k"}
    (busy,) = owner.place("e", make_place_request("t", other_shard=other, **known), 0.1)
    assert isinstance(busy.message, placement_messages.Busy)
    owner.place("e", make_place_request("new"), 0.1)
    owner.place("e", make_place_request("t", **known), 0.2)
    (answer,) = owner.on_ended(placement_helpers.ended("runs"), 0.3)
    assert answer.message.ticket_id == "t"


def test_refusals_by_backpressure_get_no_promise(schedule, make_waiting):
    """A place by the rate of ended runs says nothing about when a rate limit ends."""
    shard = refusals.Refusals(wait_queue.WaitQueue())
    shard.retries = schedule
    assert not shard.refuse_closed(make_waiting(), 900.0, 0.0).message.is_promise
    assert not shard.refuse(make_waiting(), "late", 300.0, 0.0, 900.0).message.is_promise
    assert shard.refuse(make_waiting(), "late", 300.0, 0.0).message.is_promise


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_new_owner_serves_returning_requests_first_if_it_got_the_promises(
    make_announcement, make_place_request, is_lost
):
    """Promises of a lost owner were void. If the message is lost, the retry is a new request."""
    successor = placement_owner.PlacementOwner()
    successor.use_upstreams((make_announcement("u-1", slots=1),), 0.0)
    promises = () if is_lost else (promise("k", 0, 300.0),)
    successor.handle("e", placement_messages.OwnerChosen(SHARD, True, promises=promises), 0.0)
    known = {"account": "a", "retry_key": "k"}
    for ticket_id, changes in (("runs", {}), ("new", {}), ("returns", known)):
        successor.handle("e", make_place_request(ticket_id, **changes), 0.3)
    (sent,) = successor.handle("e", placement_helpers.ended("runs"), 0.4)
    assert sent.message.ticket_id == ("new" if is_lost else "returns")


def call_ended(ticket_id):
    return placement_messages.RunEnded(ticket_id, placement_messages.RunEnd.COMPLETE, 100.0)


def saturate(owner, make_place_request, until_s):
    """Run calls of 100 ms one after the other at one slot, while one request or more is queued."""
    calls = round(until_s * 10)
    for n in range(calls + 2):
        owner.place("e", make_place_request(f"s{n}", left_ms=60_000.0, account="a"), 0.0)
    for n in range(calls):
        owner.on_ended(call_ended(f"s{n}"), (n + 1) * 0.1)
    return calls * 0.1


def refusals_of_hundred(owner, make_place_request, now):
    """Queue 100 requests whose callers have 3 s; return the refusals of a pass 0.1 s later."""
    for n in range(100):
        request = make_place_request(f"n{n}", left_ms=3000.0, account="a", retry_key=f"k{n}")
        owner.place("e", request, now)
    answers = owner.serve_waiting(now + 0.1)
    return [item for item in answers if isinstance(item.message, placement_messages.PlaceRefused)]


def test_only_what_twice_the_rate_could_not_serve_is_refused_early(
    make_plain_owner, make_place_request
):
    """Calls of 100 ms with 3 s left: at 20 a second, about 57 of them start in time to end."""
    owner = make_plain_owner(count=1, slots=1)
    now = saturate(owner, make_place_request, 3.0)
    refused = refusals_of_hundred(owner, make_place_request, now)
    assert 40 <= len(refused) <= 44
    assert refused[0].message.is_promise
    last = make_place_request("last", left_ms=2000.0, account="a")
    (answer,) = owner.place("e", last, now + 0.1)
    assert isinstance(answer.message, placement_messages.PlaceRefused)


def test_requests_that_leave_before_their_turn_are_not_counted(
    make_plain_owner, make_place_request
):
    """A patient caller would be refused because of impatient ones that are gone before it."""
    owner = make_plain_owner(count=1, slots=1)
    now = saturate(owner, make_place_request, 3.0)
    for n in range(150):
        owner.place("e", make_place_request(f"i{n}", left_ms=900.0), now)
    patient = make_place_request("patient", left_ms=5000.0, account="a")
    (answer,) = owner.place("e", patient, now)
    later = owner.serve_waiting(now + 0.11)
    assert isinstance(answer.message, placement_messages.Queued)
    assert "patient" not in [item.message.ticket_id for item in later]


@pytest.mark.parametrize("measured_s", [0.0, 1.5])
def test_nothing_is_refused_early_before_two_seconds_of_measurement(
    make_plain_owner, make_place_request, measured_s
):
    """A service that ran few calls before a burst seemed slow, since it had little demand."""
    owner = make_plain_owner(count=1, slots=1)
    for n in range(5):
        owner.place("e", make_place_request(f"x{n}", account="a"), n - 9.0)
        owner.on_ended(call_ended(f"x{n}"), n - 8.9)
    now = saturate(owner, make_place_request, measured_s)
    assert not refusals_of_hundred(owner, make_place_request, now)


def test_the_log_tells_which_promises_were_given_kept_and_missed():
    """The metric counts these, and the result of a promise was not visible to operators."""
    given = placement_messages.PlaceRefused("t", 300.0, "full", is_promise=True)
    refused = placement_messages.PlaceRefused("t", 300.0, "full")
    cases = ((given, False), (placement_messages.Placed("t", "u"), True), (refused, True))
    decisions = [placement_decision.Decision("e", item, is_returning=back) for item, back in cases]
    logged = [decision_log.log_event(item).fields["promise"] for item in decisions]
    assert logged == ["given", "kept", "missed"]
