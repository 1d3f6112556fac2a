"""Which requests are queued at the placement owner, in which order, and which are refused."""

import collections

import pytest

from medlarfork.placement import (
    drain_rate,
    placement_cost,
    placement_messages,
)
from tests.routed import placement_helpers


def test_a_full_service_queues_requests_and_serves_the_highest_tier_first(
    make_shard_owner, make_place_request
):
    owner = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(owner.place("e", make_place_request("runs"), 0.0))
    for ticket_id, tier in (("low", 2), ("high", 0)):
        (answer,) = owner.place("e", make_place_request(ticket_id, tier=tier), 0.1)
        assert isinstance(answer.message, placement_messages.Queued)
    (answer,) = owner.on_ended(placement_helpers.ended("runs"), 0.2)
    assert answer.message.ticket_id == "high"


def test_long_prompts_are_held_only_for_the_sake_of_tight_streams(
    make_shard_owner, make_place_request
):
    service = make_shard_owner(count=1, slots=64)
    for n in range(4):
        placement_helpers.placed(
            service.place("e", make_place_request(f"l{n}", ((f"p{n}", 12_000),)), 0.0)
        )
    tight = make_place_request("tight", (("q", 10),), gap_ms=100.0)
    placement_helpers.placed(service.place("e", tight, 0.0))
    long = make_place_request("held", (("r", 12_000),), target_ms=5000.0)
    (answer,) = service.place("e", long, 0.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_only_the_kind_with_the_longest_target_is_refused(make_shard_owner, make_place_request):
    # Under this load, requests with a middle target were refused while less urgent ones started.
    service = make_shard_owner(count=1, slots=64)
    for n in range(30):
        service.place("e", make_place_request(f"l{n}", ((f"p{n}", 12_000),), target_ms=1500.0), 0.0)
    (middle,) = service.place("e", make_place_request("m", (("q", 8000),), target_ms=400.0), 0.1)
    assert isinstance(middle.message, placement_messages.Placed)
    (longest,) = service.place("e", make_place_request("x", (("r", 8000),), target_ms=1500.0), 0.1)
    assert isinstance(longest.message, placement_messages.PlaceRefused)


def test_overdue_long_prompts_do_not_hold_up_short_ones(make_shard_owner, make_place_request):
    """All long prompts in the queue are late when a short one arrives."""
    service = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(service.place("e", make_place_request("runs"), 0.0))
    for n in range(5):
        long = make_place_request(f"l{n}", (("p", 40),), target_ms=2500.0, left_ms=9000.0)
        service.place("e", long, 0.0)
    service.place(
        "e", make_place_request("short", (("q", 40),), target_ms=400.0, left_ms=9000.0), 2.3
    )
    (answer,) = service.on_ended(placement_helpers.ended("runs"), 2.4)
    assert answer.message.ticket_id == "short"


def test_a_request_whose_time_ran_out_while_it_waited_is_refused(
    make_shard_owner, make_place_request
):
    owner = make_shard_owner(count=1, slots=1)
    owner.place("e", make_place_request("runs"), 0.0)
    owner.place("e", make_place_request("late", left_ms=100.0), 0.0)
    (answer,) = owner.serve_waiting(0.2)
    assert isinstance(answer.message, placement_messages.PlaceRefused)
    assert owner.waiting == 0


def test_a_pass_over_many_waiting_requests_compares_few_upstreams(
    make_shard_owner, make_place_request, monkeypatch
):
    """An owner fell behind because each ended run led to trying hundreds of queued requests."""
    service = make_shard_owner(count=45, slots=16)
    for n in range(45):
        tight = make_place_request(f"t{n}", (("q", 10),), target_ms=300.0, gap_ms=100.0)
        placement_helpers.placed(service.place("e", tight, 0.0))
    for n in range(700):
        long = make_place_request(f"l{n}", ((f"p{n}", 8000),), target_ms=60_000.0, gap_ms=800.0)
        service.place("e", long, 0.0)
    assert service.waiting > 500
    compared = []
    compute_cost = placement_cost.cost
    monkeypatch.setattr(
        placement_cost, "cost", lambda *given: compared.append(1) or compute_cost(*given)
    )
    started = sum(
        len(service.on_ended(placement_helpers.ended(f"t{n}"), 0.1 + n / 1000.0)) for n in range(45)
    )
    passes = 10
    assert len(compared) <= passes * 150 + started * 45


def test_a_second_of_an_overload_costs_an_owner_a_part_of_its_processor(
    make_shard_owner, make_place_request, monkeypatch
):
    """The owner of 12 engines fell half a second behind at 139 requests a second.

    Entry hosts then placed 101 requests in a second without it on full engines, and 43 of the most
    urgent kind were preempted there while less urgent ones ran on. A comparison takes 25 us, and
    half of a replica's 0.645 of a core is for all its other work.
    """
    service = make_shard_owner(count=12, slots=16)
    for n in range(96):
        tight = make_place_request(f"t{n}", (("q", 10),), target_ms=300.0, gap_ms=100.0)
        service.place("e", tight, 0.0)
    for n in range(300):
        kind = (60_000.0, 800.0) if n % 2 else (30_000.0, 300.0)
        target_ms, gap_ms = kind
        long = make_place_request(f"l{n}", ((f"p{n}", 8000),), target_ms=target_ms, gap_ms=gap_ms)
        service.place("e", long, 0.0)
    assert service.waiting > 200
    compared = []
    compute_cost = placement_cost.cost
    monkeypatch.setattr(
        placement_cost, "cost", lambda *given: compared.append(1) or compute_cost(*given)
    )
    for tick in range(500):
        now = 0.1 + tick / 500.0
        service.on_ended(placement_helpers.ended(f"t{tick % 96}"), now)
        if tick % 10 == 0:
            service.serve_due(now)
    assert len(compared) * 25e-6 <= 0.645 / 2


def test_a_withdrawn_request_does_not_get_a_slot(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=1, slots=1)
    owner.place("e", make_place_request("runs"), 0.0)
    owner.place("e", make_place_request("gone"), 0.0)
    assert (
        owner.on_ended(placement_helpers.ended("gone", placement_messages.RunEnd.CANCELLED), 0.1)
        == ()
    )
    assert owner.on_ended(placement_helpers.ended("runs"), 0.2) == ()


def test_a_wait_is_predicted_from_recent_starts():
    drain = drain_rate.DrainRate()
    assert drain.per_ms(0.0) == drain_rate.MIN_RATE
    for n in range(40):
        drain.record_start(200.0, n * 0.1)
    assert drain.per_ms(4.0) == pytest.approx(2.0, rel=0.1)
    assert drain.per_ms(9.0) == drain_rate.MIN_RATE


def test_a_long_prompt_that_will_be_late_is_still_served_while_its_caller_waits(
    make_shard_owner, make_place_request
):
    """In a burst of long prompts whose callers wait seven targets, one in six was refused."""
    service = make_shard_owner(count=1, slots=64)
    tight = make_place_request(
        "tight", (("q", 10),), target_ms=300.0, gap_ms=100.0, left_ms=60_000.0
    )
    placement_helpers.placed(service.place("e", tight, 0.0))
    long = {"target_ms": 800.0, "left_ms": 6000.0, "gap_ms": 5000.0}
    answers = [
        service.place("e", make_place_request(f"l{n}", ((f"p{n}", 8000),), **long), 0.0)[0]
        for n in range(10)
    ]
    assert not any(isinstance(item.message, placement_messages.PlaceRefused) for item in answers)
    assert service.waiting > 5
    later = service.serve_waiting(1.0)
    assert not any(isinstance(item.message, placement_messages.PlaceRefused) for item in later)
    for n in range(30):
        late = service.place("e", make_place_request(f"m{n}", ((f"q{n}", 8000),), **long), 1.0)
    assert isinstance(late[0].message, placement_messages.PlaceRefused)


def test_a_late_long_prompt_goes_after_those_that_can_still_be_on_time(
    make_shard_owner, make_place_request
):
    service = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(service.place("e", make_place_request("runs", left_ms=60_000.0), 0.0))
    long = {"target_ms": 800.0, "left_ms": 6000.0}
    service.place("e", make_place_request("late", (("p", 8000),), **long), 0.0)
    service.place("e", make_place_request("new", (("q", 8000),), **long), 1.0)
    (answer,) = service.on_ended(placement_helpers.ended("runs"), 1.1)
    assert answer.message.ticket_id == "new"


@pytest.mark.parametrize(
    ("limits", "waits_s", "refused_s"),
    [
        ({"left_ms": 6000.0, "output_tokens": 200}, 1.0, 5.9),
        ({"left_ms": 9000.0, "first_left_ms": 4000.0}, 3.0, 3.95),
    ],
    ids=["it can not end in time", "its caller leaves before it begins"],
)
def test_a_late_long_prompt_is_refused_once_it_is_of_no_use(
    make_shard_owner, make_place_request, limits, waits_s, refused_s
):
    service = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(service.place("e", make_place_request("runs", left_ms=60_000.0), 0.0))
    late = make_place_request("late", (("p", 8000),), target_ms=800.0, **limits)
    service.place("e", late, 0.0)
    assert not service.serve_waiting(waits_s)
    (answer,) = service.serve_waiting(refused_s)
    assert isinstance(answer.message, placement_messages.PlaceRefused)


def test_a_caller_that_would_leave_gets_a_retry_delay_before(make_shard_owner, make_place_request):
    """With full slots, 73 callers left after 2.4 s and did not come back."""
    service = make_shard_owner(count=1, slots=1)
    placement_helpers.placed(service.place("e", make_place_request("runs", left_ms=60_000.0), 0.0))
    short = make_place_request(
        "short", (("p", 600),), target_ms=400.0, left_ms=15_000.0, first_left_ms=2400.0
    )
    service.place("e", short, 0.0)
    assert not service.serve_waiting(2.2)
    (answer,) = service.serve_waiting(2.35)
    assert isinstance(answer.message, placement_messages.PlaceRefused)
    assert answer.message.retry_after_ms == pytest.approx(2400.0)


def test_in_an_overload_of_short_prompts_some_are_late_and_not_all(
    make_shard_owner, make_place_request
):
    """Slots free a quarter too slowly. With the oldest first, most started after their target."""
    service = make_shard_owner(count=1, slots=1)
    long = make_place_request("t0", (("q", 60),), target_ms=2500.0, left_ms=60_000.0)
    placement_helpers.placed(service.place("e", long, 0.0))
    running, on_time_counts = "t0", collections.Counter()
    asked_at = {}
    for step in range(1, 400):
        now = step * 0.01
        ticket = f"t{step}"
        asked_at[ticket] = now
        short = make_place_request(ticket, (("p", 60),), target_ms=400.0, left_ms=15_000.0)
        answers = list(service.place("e", short, now))
        if step % 4 != 0:
            answers += service.on_ended(placement_helpers.ended(running), now + 0.006)
        for answer in answers:
            if isinstance(answer.message, placement_messages.Placed):
                running = answer.message.ticket_id
                on_time_counts[now - asked_at[running] <= 0.4] += 1
    assert on_time_counts[True] > 0.95 * on_time_counts.total()


def test_a_long_prompt_that_fits_into_the_gaps_of_many_streams_is_not_held(
    make_shard_owner, make_place_request
):
    """Engines spent a tenth of the time on prefill while long prompts were held and refused."""
    service = make_shard_owner(count=1, slots=64)
    service.estimator.tokens_per_ms = 41.4
    service.estimator.step_ms = 4.6
    for n in range(12):
        short = make_place_request(f"s{n}", ((f"q{n}", 1),), target_ms=400.0, gap_ms=300.0)
        placement_helpers.placed(service.place("e", short, 0.0))
        service.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 0.02)
    long = make_place_request("l", (("p", 8000),), target_ms=800.0, left_ms=6000.0, gap_ms=500.0)
    placement_helpers.placed(service.place("e", long, 1.0))
