"""Placement without an owner: requests within a host's share, and those that wait beyond it."""

import pytest

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.placement import placement_messages, reported_load, standalone_queue
from tests.routed import standalone_replay

COMPLETE = standalone_replay.COMPLETE


@pytest.fixture
def one_slot():
    """Return a list with one upstream of one slot; tests change it."""
    return list(standalone_replay.make_upstreams(1, 1))


@pytest.fixture
def queue(one_slot):
    return standalone_replay.make_queue(one_slot)


@pytest.fixture
def place(queue, make_place_request):
    """Return a function that places a request of one second at a time."""

    def place_at(ticket_id, now=0.0, **changes):
        return standalone_replay.place(queue, make_place_request(ticket_id, **changes), now)

    return place_at


def end(queue, waiting, now, after_ms=100.0):
    upstream_id = standalone_replay.upstream_of(waiting)
    queue.record_end(upstream_id, waiting.request, COMPLETE, after_ms, now)


@pytest.mark.parametrize(
    ("hosts", "count", "slots", "calls_per_s", "head_s"),
    [(3, 2, 8, 190.0, 0.5), (3, 2, 8, 190.0, 0.02), (62, 56, 12, 2700.0, 0.5)],
)
def test_hosts_without_an_owner_use_the_slots_and_not_several_times_as_many(
    hosts, count, slots, calls_per_s, head_s
):
    """Without shares, 190 calls a second kept about 95 calls in progress on 16 slots."""
    upstreams = standalone_replay.make_upstreams(count, slots)
    replay = standalone_replay.Replay(hosts, upstreams, head_s=head_s)
    mean = replay.run(calls_per_s, duration_s=2.5, measure_from_s=1.0)
    # Reports that came before the slots were used allow some more for a moment.
    assert replay.peak <= 1.15 * count * slots
    assert mean >= 0.9 * count * slots
    assert max(replay.peak_by_upstream.values()) <= 1.1 * slots + 2
    # No call that was started ended after its caller had left.
    assert replay.latest_end_s <= 1e-9


@pytest.mark.parametrize(
    ("hosts", "count", "slots", "calls_per_s"), [(3, 2, 8, 190.0), (62, 56, 12, 1400.0)]
)
def test_a_full_upstream_gets_no_more_than_the_share(hosts, count, slots, calls_per_s):
    """Guards against hosts that go beyond their share where others' requests use the slots."""
    upstreams = standalone_replay.make_upstreams(count, slots)
    full_id = upstreams[0].upstream_id
    replay = standalone_replay.Replay(hosts, upstreams, foreign={full_id: slots})
    mean = replay.run(calls_per_s, duration_s=2.5, measure_from_s=1.0)
    assert replay.peak_by_upstream[full_id] <= 1.1 * slots + 2
    assert mean >= 0.9 * (count - 1) * slots


def test_an_upstream_that_reports_free_slots_is_preferred_to_a_full_one(make_place_request):
    """Guards against requests to an upstream that others have filled while another one is free."""
    upstreams = standalone_replay.make_upstreams(2, 8)
    queue = standalone_replay.make_queue(upstreams, hosts=2)
    for upstream, running in zip(upstreams, (8, 2), strict=True):
        queue.record_load(upstream, reported_load.ReportedLoad(running, 0, 8), 0.0)
    chosen = [
        standalone_replay.upstream_of(
            standalone_replay.place(queue, make_place_request(f"t{n}"), 0.1)
        )
        for n in range(4)
    ]
    assert chosen == [upstreams[1].upstream_id] * 4


def test_an_unknown_number_of_hosts_counts_as_one(make_place_request):
    """Guards against hosts that serve nobody before any replica has answered."""
    upstreams = standalone_replay.make_upstreams(2, 8)
    replay = standalone_replay.Replay(2, upstreams, known_hosts=1)
    replay.run(190.0, duration_s=2.0, measure_from_s=1.0)
    assert replay.peak == 2 * 16


def test_waiting_requests_start_in_order_of_tier_target_and_age(queue, place):
    """Guards against requests of a lower tier that start before those of a higher one."""
    running = place("first")
    waiting = [
        place("low", tier=1),
        place("old"),
        place("new", 0.01),
        place("slow", target_ms=900.0),
        place("urgent", 0.02, target_ms=0.0),
    ]
    started = []
    for step in range(len(waiting)):
        end(queue, running, 0.1 + 0.01 * step, after_ms=10.0)
        (running,) = [
            item for item in waiting if item.outcome and item.request.ticket_id not in started
        ]
        started.append(running.request.ticket_id)
    assert started == ["old", "new", "urgent", "slow", "low"]


def test_a_request_waits_until_the_time_left_is_just_enough_to_run(queue, place):
    """Guards against requests that start too late to be answered, and callers refused too early."""
    running = place("first")
    end(queue, running, 0.4, after_ms=400.0)
    running = place("second", 0.5)
    waiting = place("third", 0.5)
    assert queue.check(waiting, 1.05) == pytest.approx(1.1)
    assert not waiting.is_done
    queue.check(waiting, 1.1)
    assert isinstance(waiting.outcome, placement_messages.PlaceRefused)
    assert queue.waiting == 0


def test_run_times_measured_while_a_request_waits_limit_its_start(queue, place):
    """Calls that had joined before the first run ended started 0.1 s before their deadline."""
    running = place("first")
    waiting = place("second")
    end(queue, running, 0.8, after_ms=800.0)
    assert isinstance(waiting.outcome, placement_messages.PlaceRefused)


def test_a_stream_waits_no_longer_than_its_caller_does_for_the_first_event(queue, place):
    """Guards against streams that start when their callers have already left."""
    place("first")
    waiting = place("second", left_ms=5000.0, first_left_ms=700.0)
    assert queue.check(waiting, 0.1) == pytest.approx(0.6)


def test_a_request_that_cannot_start_in_time_is_refused_at_once(queue, place):
    """Guards against callers that are held until they have no time left for a retry."""
    for step in range(6):
        end(queue, place(f"t{step}", 0.2 * step), 0.2 * step + 0.2, after_ms=200.0)
    place("running", 1.3)
    waiting = [place(f"w{step}", 1.3) for step in range(6)]
    refused = [isinstance(item.outcome, placement_messages.PlaceRefused) for item in waiting]
    # Five runs a second end, and a call has to start within 0.8 s.
    assert refused == [False] * 4 + [True] * 2
    assert 0 < waiting[-1].outcome.retry_after_ms <= 1000.0


def test_a_request_of_a_higher_tier_displaces_one_that_can_no_longer_start(queue, place):
    """Guards against a higher tier that is refused in favour of a lower one."""
    for step in range(6):
        end(queue, place(f"t{step}", 0.2 * step), 0.2 * step + 0.2, after_ms=200.0)
    place("running", 1.3)
    low = [place(f"l{step}", 1.3, tier=1) for step in range(4)]
    high = place("high", 1.3)
    assert high.outcome is None
    assert [item.outcome is None for item in low] == [True] * 3 + [False]


def test_the_number_of_waiting_requests_is_bounded_and_the_last_is_refused(
    queue, place, monkeypatch
):
    """Guards against bodies that fill the memory of an entry host."""
    monkeypatch.setattr(standalone_queue, "MAX_WAITING", 3)
    place("running")
    low = [place(f"l{step}", 0.01 * step, tier=1) for step in range(3)]
    refused = place("l3", 0.04, tier=1)
    assert refused.outcome is not None
    high = place("high", 0.05)
    assert high.outcome is None
    assert [item.outcome is None for item in low] == [True, True, False]
    assert queue.waiting == 3


def test_memory_is_shared_and_always_allows_one_request(make_place_request):
    """An engine whose requests exceed its memory crashes."""
    upstreams = standalone_replay.make_upstreams(1, 40)
    queue = standalone_replay.make_queue(upstreams, hosts=2)
    queue.slots.use_engines({"engines": 1000})

    def place(ticket_id, tokens, **changes):
        request = make_place_request(ticket_id, [("p", tokens)], output_tokens=100, **changes)
        return standalone_replay.place(queue, request, 0.0)

    large = place("large", 900)
    waiting = place("second", 200, tier=1)
    assert large.outcome is not None and waiting.outcome is None
    end(queue, large, 0.1)
    assert waiting.outcome is not None
    assert place("third", 100).outcome is not None
    # It does not fit beside them, and a smaller one of a lower tier does not go before it.
    fourth, small = place("fourth", 300), place("small", 1, tier=1)
    end(queue, waiting, 0.2)
    assert (fourth.outcome, small.outcome) == (None, None)


def test_a_request_that_waits_for_memory_keeps_only_one_upstream(make_place_request):
    """Guards against upstreams that stay idle while one long prompt waits."""
    queue = standalone_replay.make_queue(standalone_replay.make_upstreams(3, 4))
    queue.slots.use_engines({"engines": 100})

    def place(ticket_id, tokens, **changes):
        request = make_place_request(ticket_id, [("p", tokens)], **changes)
        return standalone_replay.upstream_of(standalone_replay.place(queue, request, 0.0))

    assert len({place(f"t{n}", 60 + n) for n in range(3)}) == 3
    assert not place("long", 90)
    assert len({place(f"small{n}", 20, tier=1) for n in range(2)} - {""}) == 2
    assert not place("small", 20, tier=1)


def test_a_host_without_any_share_uses_one_slot(make_place_request):
    """Guards against hosts whose callers are never served."""
    upstreams = standalone_replay.make_upstreams(3, 2)
    queues = [standalone_replay.make_queue(upstreams, 400, f"entry-{n}") for n in range(400)]
    runs = []
    for queue in queues:
        placed = [
            standalone_replay.place(queue, make_place_request(f"t{n}"), 0.0).outcome
            for n in range(3)
        ]
        runs.append(sum(item is not None for item in placed))
    assert min(runs) == 1
    assert sum(runs) <= 400 + 6


def test_a_retry_uses_one_slot_of_an_upstream_outside_the_share(make_place_request):
    """Retries waited for the only upstream with a share, which had failed them, until refused."""
    upstreams = standalone_replay.make_upstreams(2, 1)
    for number in range(20):
        queue = standalone_replay.make_queue(upstreams, 2, f"entry-{number}")
        slots = {item.upstream_id: queue.slots.allowance(item, 2, 0.0).slots for item in upstreams}
        if sorted(slots.values()) == [0, 1]:
            break
    other_id, shared_id = sorted(slots, key=slots.get)
    assert slots == {other_id: 0, shared_id: 1}
    retries = [
        standalone_replay.place(queue, make_place_request(f"t{n}", excluded=(shared_id,)), 0.0)
        for n in range(2)
    ]
    assert [standalone_replay.upstream_of(item) for item in retries] == [other_id, ""]
    # Other requests still keep to the share.
    placed = [standalone_replay.place(queue, make_place_request(f"n{n}"), 0.0) for n in range(2)]
    assert [standalone_replay.upstream_of(item) for item in placed] == [shared_id, ""]
    end(queue, retries[0], 0.1)
    assert standalone_replay.upstream_of(retries[1]) == other_id


def test_requests_go_to_another_upstream_when_theirs_disappears(queue, place, one_slot):
    """Guards against requests that wait although a new upstream has free slots."""
    place("first")
    waiting = place("second")
    failed = place("third", excluded=(standalone_replay.make_upstreams(2, 1)[1].upstream_id,))
    one_slot[:] = standalone_replay.make_upstreams(2, 1)[1:]
    queue.use_view(tuple(one_slot), 0.1)
    assert standalone_replay.upstream_of(waiting) == one_slot[0].upstream_id
    assert isinstance(failed.outcome, placement_messages.PlaceRefused)


def test_the_slot_of_a_caller_that_has_left_is_free_again(queue, place):
    """Guards against slots that are lost when a caller leaves just as it gets one."""
    running = place("first")
    waiting = place("second")
    end(queue, running, 0.1)
    queue.withdraw(waiting, 0.1)
    assert place("third", 0.1).outcome is not None
    assert queue.waiting == 0


def test_waiting_requests_follow_the_pace_of_a_limited_upstream(make_place_request):
    """Guards against requests that wait for a run to end while only the rate limit holds them."""
    ledger = signal_ledger.SignalLedger()
    ledger.record_response("u-0@1", 10.0, sent_at=0.0, now=0.0)
    gate = send_gate.SendGate(ledger)
    upstreams = standalone_replay.make_upstreams(1, 1)
    queue = standalone_replay.make_queue(upstreams, gate=gate)
    running = standalone_replay.place(queue, make_place_request("first"), 1.0)
    while gate.wait_s("u-0@1", "e-0", 1.0, 0.5) <= 0:
        gate.record_send("u-0@1", 1.0, 0.5)
    assert standalone_replay.place(queue, make_place_request("no"), 1.0).outcome is not None
    opens_at = 1.0 + gate.wait_s("u-0@1", "e-0", 1.0, 0.5)
    waiting = standalone_replay.place(queue, make_place_request("second"), opens_at)
    gate.record_send("u-0@1", opens_at, 0.5)
    end(queue, running, opens_at + 0.01)
    check_at = queue.check(waiting, opens_at + 0.01)
    assert check_at < waiting.latest_start_at
    queue.check(waiting, check_at)
    assert standalone_replay.upstream_of(waiting) == "u-0@1"


def test_a_request_starts_when_an_upstream_opens_that_closed_while_it_waited(make_place_request):
    """A request that had waited since before the first backoff was refused at its deadline."""
    ledger = signal_ledger.SignalLedger()
    gate = send_gate.SendGate(ledger)
    queue = standalone_replay.make_queue(standalone_replay.make_upstreams(1, 1), gate=gate)
    running = standalone_replay.place(queue, make_place_request("first"), 1.0)
    woken = []
    waiting = standalone_replay.place(
        queue, make_place_request("second"), 1.0, notify=lambda: woken.append(True)
    )
    assert queue.check(waiting, 1.0) == waiting.latest_start_at
    ledger.record_response("u-0@1", 10.0, sent_at=1.0, now=1.1)
    end(queue, running, 1.1)
    assert woken and not waiting.is_done
    check_at = queue.check(waiting, 1.1)
    assert check_at < waiting.latest_start_at
    queue.check(waiting, check_at)
    assert standalone_replay.upstream_of(waiting) == "u-0@1"
