"""Order of the requests of a plain service that can no longer be on time."""

import pytest

from medlarfork.placement import (
    account_shares,
    kind_queue,
    placement_messages,
    wait_queue,
    waiting_request,
)
from tests.routed import overload_replay, placement_helpers


@pytest.fixture
def replay(make_shard_owner, make_place_request):
    """Return a factory of outcomes at 24 slots, of calls of 90 ms with a target of 418 ms."""

    def run(account, per_s, burst, until_s=6.0):
        owner = make_shard_owner(count=2, slots=12)
        owner.use_engine(None)
        times = {"call_s": 0.09, "left_s": 3.1, "target_ms": 418.0}
        calls = overload_replay.Replay(owner, make_place_request, account=account, **times)
        calls.arrive([0.0] * burst)
        calls.arrive(n / per_s for n in range(round(per_s * until_s)))
        return calls.run(until_s + 4.0)

    return run


def test_after_a_burst_more_calls_are_on_time_and_none_is_lost(replay):
    """With the oldest first, 576 of the 688 calls were on time, and 0 were never served."""
    outcome = replay("a", 86, 172)
    assert (outcome.callers, outcome.never_served) == (688, 0)
    assert outcome.on_time >= 605


def test_without_accounts_late_calls_keep_their_places(replay):
    """Deployments without accounts are unchanged: the figures are those of the code before."""
    outcome = replay("", 86, 172)
    assert (outcome.on_time, outcome.never_served) == (568, 0)


def test_calls_that_start_just_too_late_do_not_take_the_slots(replay):
    """If only the wait counted, the oldest call would always end after its target (96 on time)."""
    outcome = replay("a", 260, 600)
    assert outcome.callers == 2160
    assert outcome.on_time >= 1250


@pytest.fixture
def make_waiting(make_place_request):
    def make(ticket_id, queued_at, promised_at=None, **changes):
        known = {"account": "a", "left_ms": 3100.0, "target_ms": 400.0}
        request = make_place_request(ticket_id, **(known | changes))
        return waiting_request.WaitingRequest("e", request, queued_at, promised_at=promised_at)

    return make


def test_late_calls_go_first_again_before_their_callers_leave(make_waiting):
    """A late call behind on-time ones would never start while these keep the slots busy."""
    queue = kind_queue.KindQueue((0, 400.0), account_shares.AccountShares())
    for waiting in (
        make_waiting("new", 2.5),
        make_waiting("late", 1.5),
        make_waiting("leaves", 0.0),
        make_waiting("returns", 2.6, promised_at=2.6),
        make_waiting("late-returns", 1.6, promised_at=1.6),
    ):
        queue.add(waiting)
    # Until a run has ended, one is expected to take 500 ms.
    order = [item.request.ticket_id for item in queue.in_order(2.6, lambda kind: True)]
    assert order == ["leaves", "returns", "new", "late-returns", "late"]


def test_returning_requests_of_accounts_take_turns_before_new_ones(make_waiting):
    """An account with many returning requests would take all slots from other returning ones."""
    queue = kind_queue.KindQueue((0, 400.0), account_shares.AccountShares())
    for ticket_id, account in (("a1", "a"), ("a2", "a"), ("b1", "b")):
        queue.add(make_waiting(ticket_id, 0.0, promised_at=0.0, account=account))
    queue.add(make_waiting("c", 0.0, account="c"))
    order = [item.request.ticket_id for item in queue.in_order(0.0, lambda kind: True)]
    assert order == ["a1", "b1", "a2", "c"]
    newcomer = make_waiting("new", 0.1, account="c")
    assert queue.first_before(newcomer, 0.1).request.ticket_id == "a1"
    assert len(list(queue.before(newcomer, 0.1))) == 4


def test_a_new_request_does_not_take_a_slot_before_an_older_one(
    make_shard_owner, make_place_request
):
    """With one account, slots that became free between two passes went to the newest request."""
    owner = make_shard_owner(count=1, slots=2)
    owner.use_engine(None)
    for n in range(6):
        owner.place("e", make_place_request(f"t{n}", account="a"), 0.0)
    started = [owner.on_ended(placement_helpers.ended(f"t{n}"), 0.1 + n / 1000.0) for n in (0, 1)]
    assert [item.message.ticket_id for item in started[0]] == ["t2"]
    assert started[1] == ()
    first, second = owner.place("e", make_place_request("new", account="a"), 0.102)
    assert [first.message.ticket_id, second.message.ticket_id] == ["t3", "new"]


def test_a_new_request_does_not_take_a_slot_before_a_queued_one_of_a_higher_tier(
    make_shard_owner, make_place_request
):
    """Slots that became free between two passes went to new requests of any tier."""
    owner = make_shard_owner(count=1, slots=2)
    owner.use_engine(None)
    for n in range(6):
        owner.place("e", make_place_request(f"t{n}", account="a"), 0.0)
    for n in (0, 1):
        owner.on_ended(placement_helpers.ended(f"t{n}"), 0.1 + n / 1000.0)
    (answer,) = owner.place("e", make_place_request("low", account="a", tier=1), 0.102)
    assert isinstance(answer.message, placement_messages.Queued)


@pytest.mark.parametrize(("tier", "returns"), [(0, False), (1, True)])
def test_a_full_queue_refuses_the_request_that_would_go_last(make_waiting, tier, returns):
    """With one account, higher tiers and scheduled retries were refused in favour of others."""
    queue = wait_queue.WaitQueue()
    for n in range(3):
        queue.add(make_waiting(f"t{n}", n * 0.1, tier=1))
    newcomer = make_waiting("new", 1.0, promised_at=1.0 if returns else None, tier=tier)
    refused, why = queue.displace(newcomer)
    assert (refused.request.ticket_id, why) == ("t2", "the queue is full")
    assert queue.displace(make_waiting("last", 1.1, tier=1))[0].request.ticket_id == "last"
