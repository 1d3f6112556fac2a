"""Where requests are placed, by the runs, the prefill and the caches of the engines."""

import pytest

from medlarfork.placement import (
    engine_estimator,
    local_choice,
    owner,
    placement_cost,
    placement_messages,
    prefix_cache,
)
from medlarfork.routes import routing
from tests.routed import placement_helpers


def test_streams_with_tight_gaps_avoid_long_prefill(make_shard_owner, make_place_request):
    # Under this load, least-outstanding placement makes two fifths of the short streams late.
    owner = make_shard_owner(slots=64)
    long_at = placement_helpers.placed(
        owner.place("e", make_place_request("long", placement_helpers.LONG, gap_ms=800.0), 0.0)
    )
    short = [
        placement_helpers.placed(
            owner.place("e", make_place_request(f"s{n}", (("x", 100),), gap_ms=200.0), 0.01)
        )
        for n in range(10)
    ]
    assert long_at not in short


def test_tight_streams_gather_again_once_there_are_fewer(make_shard_owner, make_place_request):
    """After a burst streams stayed spread, so that long prompts found no free engine."""
    owner = make_shard_owner(count=3, slots=8)
    for n in range(10):
        placement_helpers.placed(
            owner.place("e", make_place_request(f"s{n}", (("x", 100),), gap_ms=100.0), 0.0)
        )
        owner.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 0.1)
    spread = {name: len(load.run_by_ticket) for name, load in owner.load_by_id.items()}
    assert sorted(spread.values()) == [0, 2, 8]
    most = max(spread, key=spread.get)
    first, *_ = owner.load_by_id[most].run_by_ticket
    owner.on_ended(placement_helpers.ended(first), 1.0)
    assert (
        placement_helpers.placed(
            owner.place("e", make_place_request("n", (("x", 9),), gap_ms=100.0), 1.0)
        )
        == most
    )


def test_prefill_that_fills_most_of_a_gap_counts_as_harm(make_shard_owner, make_place_request):
    """Prompts of 90 ms and 66 ms beside short streams made gaps of 205 ms of 200 allowed."""
    service = make_shard_owner(count=1, slots=64)
    service.estimator.tokens_per_ms = 64.0
    tight = make_place_request("tight", (("q", 10),), target_ms=300.0, gap_ms=200.0)
    placement_helpers.placed(service.place("e", tight, 0.0))
    service.place("e", make_place_request("first", (("p", 5760),), target_ms=400.0), 0.1)
    (answer,) = service.place(
        "e", make_place_request("next", (("r", 4240),), target_ms=2500.0), 0.1
    )
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_long_prompt_avoids_the_engine_with_tight_streams(make_shard_owner, make_place_request):
    owner = make_shard_owner(slots=64)
    short_at = placement_helpers.placed(
        owner.place("e", make_place_request("s", (("x", 100),), gap_ms=200.0), 0.0)
    )
    long_at = placement_helpers.placed(
        owner.place("e", make_place_request("long", placement_helpers.LONG, gap_ms=800.0), 1.0)
    )
    assert long_at != short_at


def test_requests_with_one_affinity_key_stay_on_one_engine(make_shard_owner, make_place_request):
    owner = make_shard_owner(count=4, slots=64)
    first = placement_helpers.placed(
        owner.place("e", make_place_request("a", placement_helpers.LONG), 0.0)
    )
    owner.on_ended(placement_helpers.ended("a"), 1.0)
    same = placement_helpers.placed(
        owner.place("e", make_place_request("b", (*placement_helpers.LONG[:2], ("other", 10))), 2.0)
    )
    assert same == first


def test_a_prefix_that_another_engine_holds_is_fetched(make_shard_owner, make_place_request):
    """While the engine with the prefix was busy, a third of all shared segments were recomputed."""
    service = make_shard_owner(count=2, slots=64)
    service.use_engine(
        routing.EngineSpec(64, 1_000_000, 5, token_bytes=163_840, link_mbps=260_000.0)
    )
    first = placement_helpers.placed(
        service.place("e", make_place_request("a", placement_helpers.LONG, target_ms=1000.0), 0.0)
    )
    service.on_first_event(placement_messages.FirstEvent("a", 160.0), 0.05)
    for n in range(8):
        busy = make_place_request(f"b{n}", ((f"own{n}", 12_000),), excluded=("u-0", "u-1"))
        service.load_by_id[first].add(placement_helpers.run(busy, 12_000, 150.0), 0.0)
    (answer,) = service.place(
        "e", make_place_request("c", (*placement_helpers.LONG[:2], ("new", 3000))), 0.1
    )
    assert answer.message.upstream_id != first
    assert answer.message.fetch_from == service.load_by_id[first].announcement.address
    assert answer.decision_inputs.cost.prefill_tokens == 3000
    (again,) = service.place(
        "e", make_place_request("d", (*placement_helpers.LONG[:2], ("newer", 3000))), 0.2
    )
    assert (again.message.upstream_id, again.message.fetch_from) == (answer.message.upstream_id, "")


def test_a_prefix_in_prefill_can_not_be_fetched(make_shard_owner, make_place_request):
    service = make_shard_owner(count=1, slots=64)
    placement_helpers.placed(
        service.place("e", make_place_request("a", placement_helpers.LONG), 0.0)
    )
    (load,) = service.load_by_id.values()
    parts = make_place_request("b", placement_helpers.LONG).parts
    assert load.fetchable_tokens(parts) == 0
    service.on_first_event(placement_messages.FirstEvent("a", 160.0), 0.2)
    assert load.fetchable_tokens(parts) == 11_500


def test_nothing_is_fetched_from_an_engine_that_failed(make_shard_owner, make_place_request):
    service = make_shard_owner(count=2, slots=64)
    service.use_engine(
        routing.EngineSpec(64, 1_000_000, 5, token_bytes=163_840, link_mbps=260_000.0)
    )
    first = placement_helpers.placed(
        service.place("e", make_place_request("a", placement_helpers.LONG), 0.0)
    )
    service.on_ended(placement_helpers.ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    (answer,) = service.place("e", make_place_request("b", placement_helpers.LONG), 0.2)
    assert answer.message.upstream_id != first
    assert answer.message.fetch_from == ""


def test_excluded_and_unreachable_upstreams_are_left_out(make_shard_owner, make_place_request):
    owner = make_shard_owner(slots=8)
    assert (
        placement_helpers.placed(owner.place("e", make_place_request("a", excluded=("u-0",)), 0.0))
        == "u-1"
    )
    owner.on_ended(placement_helpers.ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    assert placement_helpers.placed(owner.place("e", make_place_request("b"), 0.2)) == "u-0"
    assert (
        placement_helpers.placed(owner.place("e", make_place_request("c", excluded=("u-0",)), 0.2))
        == "u-1"
    )


def test_a_request_waits_for_a_shared_prefix_in_prefill(make_shard_owner, make_place_request):
    """Two long prompts with one prefix came within 0.1 s, and their engine computed it twice."""
    service = make_shard_owner(count=2, slots=8)
    first = make_place_request("a", placement_helpers.LONG, target_ms=2500.0, left_ms=9000.0)
    engine = placement_helpers.placed(service.place("e", first, 0.0))
    second = make_place_request(
        "b", (*placement_helpers.LONG[:2], ("other", 6000)), target_ms=2500.0, left_ms=9000.0
    )
    (answer,) = service.place("e", second, 0.05)
    assert isinstance(answer.message, placement_messages.Queued)
    assert service.serve_waiting(0.1) == ()
    service.on_first_event(placement_messages.FirstEvent("a", 180.0), 0.18)
    (answer,) = service.serve_waiting(0.2)
    assert answer.message.upstream_id == engine
    assert answer.decision_inputs.cost.prefill_tokens == 6000


def test_a_shared_prefix_in_slow_prefill_is_recomputed(make_shard_owner, make_place_request):
    service = make_shard_owner(count=1, slots=8)
    service.place(
        "e", make_place_request("a", placement_helpers.LONG, target_ms=500.0, left_ms=9000.0), 0.0
    )
    second = make_place_request("b", placement_helpers.LONG, target_ms=500.0, left_ms=9000.0)
    assert isinstance(service.place("e", second, 0.05)[0].message, placement_messages.Queued)
    (answer,) = service.serve_waiting(0.45)
    assert isinstance(answer.message, placement_messages.Placed)


def test_an_engine_that_broke_a_connection_is_probed_once_before_a_backoff(
    make_shard_owner, make_place_request
):
    """Entry hosts lost a request with each old connection to engines that crashed in turn."""
    service = make_shard_owner(slots=64)
    first = placement_helpers.placed(service.place("e", make_place_request("a"), 0.0))
    service.on_ended(placement_helpers.ended("a", placement_messages.RunEnd.BROKEN), 0.1)
    load = service.load_by_id[first]
    assert not load.is_backing_off(0.1)
    asked = [make_place_request(f"b{n}", excluded=(f"u-{1 - int(first[-1])}",)) for n in range(2)]
    assert placement_helpers.placed(service.place("e", asked[0], 0.1)) == first
    assert load.is_full
    (answer,) = service.place("e", asked[1], 0.1)
    assert isinstance(answer.message, placement_messages.Queued)
    service.on_ended(placement_helpers.ended("b0", placement_messages.RunEnd.BROKEN), 0.2)
    for n in range(6):
        assert (
            placement_helpers.placed(service.place("e", make_place_request(f"c{n}"), 0.3)) != first
        )
    assert load.is_backing_off(0.9)


def test_occasional_lost_answers_cause_no_backoff(make_shard_owner, make_place_request):
    """Engines that lose one answer in twenty were each put into a backoff of half a second."""
    service = make_shard_owner(count=1, slots=64)
    for n in range(20):
        service.place("e", make_place_request(f"a{n}", (("x", 100),)), n * 0.1)
        service.on_first_event(placement_messages.FirstEvent(f"a{n}", 20.0), n * 0.1 + 0.02)
        end = placement_messages.RunEnd.COMPLETE
        service.on_ended(placement_helpers.ended(f"a{n}", end), n * 0.1 + 0.03)
    service.place("e", make_place_request("lost", (("x", 100),)), 2.0)
    service.on_ended(placement_helpers.ended("lost", placement_messages.RunEnd.BROKEN), 2.05)
    placement_helpers.placed(service.place("e", make_place_request("next", (("x", 100),)), 2.06))
    service.on_first_event(placement_messages.FirstEvent("next", 20.0), 2.08)
    assert not service.load_by_id["u-0"].is_full
    assert not service.load_by_id["u-0"].is_backing_off(2.1)


def test_nothing_is_sent_to_a_failed_engine_while_the_healthy_ones_are_full(
    make_shard_owner, make_place_request
):
    """In a burst, requests that found no slot were sent to a crashed engine and lost there."""
    service = make_shard_owner(count=2, slots=2)
    failed = placement_helpers.placed(service.place("e", make_place_request("a"), 0.0))
    service.on_ended(placement_helpers.ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    for n in range(2):
        assert (
            placement_helpers.placed(service.place("e", make_place_request(f"b{n}"), 0.2)) != failed
        )
    (answer,) = service.place("e", make_place_request("c"), 0.2)
    assert isinstance(answer.message, placement_messages.Queued)


@pytest.mark.parametrize("is_back", [True, False])
def test_one_request_probes_an_engine_after_its_backoff(
    make_shard_owner, make_place_request, is_back
):
    """When a backoff ended while others were queued, ten were sent to a crashed engine at once."""
    service = make_shard_owner(count=1, slots=64)
    service.place("e", make_place_request("a", (("x", 100),)), 0.0)
    service.on_ended(placement_helpers.ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    waiting = [make_place_request(f"b{n}", (("x", 100),), left_ms=9000.0) for n in range(10)]
    messages = [service.place("e", request, 0.7)[0].message for request in waiting]
    kinds = [type(message) for message in messages]
    assert kinds == [placement_messages.Placed] + [placement_messages.Queued] * 9
    if is_back:
        assert service.load_by_id["u-0"].is_full
        service.on_first_event(placement_messages.FirstEvent("b0", 20.0), 0.8)
        assert len(service.serve_waiting(0.9)) == 9
    else:
        answers = service.on_ended(
            placement_helpers.ended("b0", placement_messages.RunEnd.BROKEN), 0.8
        )
        assert len(answers) <= 1


def test_a_stuck_engine_gets_no_requests_while_others_run(make_shard_owner, make_place_request):
    """An engine became unreachable during a prefill, and short prompts were still sent there."""
    owner = make_shard_owner(slots=64)
    stuck = placement_helpers.placed(
        owner.place("e", make_place_request("long", placement_helpers.LONG, gap_ms=800.0), 0.0)
    )
    for n in range(20):
        short = make_place_request(f"s{n}", ((f"p{n}", 100),), gap_ms=200.0)
        assert placement_helpers.placed(owner.place("e", short, 2.0 + n)) != stuck
        owner.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 2.02 + n)


def test_prompts_are_not_placed_beyond_an_engine_s_memory(make_shard_owner, make_place_request):
    """Sixteen slots filled with long prompts made engines preempt runs to free memory."""
    owner = make_shard_owner(count=1, slots=64)
    for n in range(7):
        placement_helpers.placed(
            owner.place("e", make_place_request(f"l{n}", ((f"p{n}", 13_000),)), 0.0)
        )
    (answer,) = owner.place("e", make_place_request("more", (("q", 13_000),)), 0.0)
    assert isinstance(answer.message, placement_messages.Queued)
    owner.on_ended(placement_helpers.ended("l0"), 0.1)
    assert owner.waiting == 0


def test_the_prefill_rate_is_estimated_from_undelayed_runs(make_shard_owner, make_place_request):
    owner = make_shard_owner(slots=64)
    for n in range(60):
        owner.place("e", make_place_request(f"t{n}", ((f"p{n}", 10_000),)), n * 10.0)
        after_ms = engine_estimator.DEFAULT_FIXED_MS + 10_000 / 140.0
        owner.on_first_event(placement_messages.FirstEvent(f"t{n}", after_ms), n * 10.0 + 0.1)
        owner.on_ended(placement_helpers.ended(f"t{n}"), n * 10.0 + 1.0)
    assert owner.estimator.tokens_per_ms == pytest.approx(140.0, rel=0.05)


def test_the_steps_of_an_event_count_towards_the_gap():
    """An event of 5 tokens during prefill took 197 ms of the 200 that a short stream allows."""
    estimator = engine_estimator.EngineEstimator()
    estimator.tokens_per_ms = 58.0
    estimator.chunk_tokens = 2048.0
    max_gap_ms = estimator.max_gap_ms(5)
    assert max_gap_ms == pytest.approx(197.0, abs=1.0)
    assert placement_cost.PrefillModel(58.0, max_gap_ms).tight_gap_ms > 200.0


def test_segments_are_cached_if_the_routing_arrives_after_the_engines(
    make_announcement, make_place_request
):
    placement_owner = owner.PlacementOwner()
    present = tuple(make_announcement(f"u-{n}", slots=64) for n in range(3))
    placement_owner.use_upstreams(present, 0.0)
    placement_owner.use_services((routing.Service("engines", engine=placement_helpers.ENGINE),))
    (first,) = placement_owner.handle("e", make_place_request("a", placement_helpers.LONG), 0.0)
    placement_owner.handle("e", placement_helpers.ended("a"), 1.0)
    (second,) = placement_owner.handle(
        "e", make_place_request("b", (*placement_helpers.LONG[:2], ("other", 10))), 2.0
    )
    assert first.message.upstream_id == second.message.upstream_id
    load = placement_owner._owner_by_shard[placement_messages.Shard("engines")].load_by_id[
        first.message.upstream_id
    ]
    assert load.run_by_ticket["b"].prefill_tokens == 10


def test_a_segment_counts_as_cached_only_if_all_before_it_are():
    cache = prefix_cache.PrefixCache(memory_tokens=100_000)
    parts = tuple(placement_messages.PromptSegment(*part) for part in placement_helpers.LONG)
    assert cache.uncached_tokens(parts) == 11_500
    cache.add(parts)
    assert cache.uncached_tokens(parts) == 0
    changed = (placement_messages.PromptSegment("else", 500), *parts[1:])
    assert cache.uncached_tokens(changed) == 11_500


def test_the_least_recently_used_segments_are_evicted_first():
    cache = prefix_cache.PrefixCache(memory_tokens=round(12_000 / prefix_cache.USABLE_SHARE))
    cache.add(tuple(placement_messages.PromptSegment(*part) for part in placement_helpers.LONG))
    cache.add((placement_messages.PromptSegment("new", 4000),))
    kept = tuple(placement_messages.PromptSegment(*part) for part in placement_helpers.LONG[:2])
    assert cache.uncached_tokens(kept) == 0


def test_a_host_without_owner_spreads_runs_and_keeps_affinity(
    make_announcement, make_place_request
):
    upstreams = tuple(make_announcement(f"u-{n}") for n in range(4))
    free = local_choice.choose(
        make_place_request("a"), upstreams, {"u-0": 1, "u-1": 1, "u-2": 1}, "e"
    )
    assert free == "u-3"
    chosen = {
        local_choice.choose(
            make_place_request(f"t{n}", placement_helpers.LONG), upstreams, {}, f"e{n}"
        )
        for n in range(9)
    }
    assert len(chosen) == 1
    assert local_choice.choose(make_place_request("a"), (), {}, "e") == ""


def test_decisions_are_drained_once_with_their_inputs(make_announcement, make_place_request):
    placement_owner = owner.PlacementOwner()
    placement_owner.use_upstreams((make_announcement(slots=1),), 0.0)
    placement_owner.handle("e", make_place_request("a"), 0.0)
    placement_owner.handle("e", make_place_request("b"), 0.1)
    placed, queued = placement_owner.drain_decisions()
    assert (placed.decision_inputs.candidates, placed.decision_inputs.running) == (1, 0)
    assert isinstance(queued.message, placement_messages.Queued)
    assert placement_owner.drain_decisions() == ()
