import collections

import pytest

from medlarfork.placement import (
    drain_rate,
    local_choice,
    owner,
    placement_cost,
    placement_messages,
    prompt_cache,
    read_rate,
    service_owner,
    shard_choice,
    upstream_load,
)
from medlarfork.routes import routing

ENGINE = routing.EngineFacts(64, 100_000, event_tokens=5)
LONG = (("common", 500), ("matter", 5000), ("own", 6000))


@pytest.fixture
def make_owner(make_announcement):
    def make(count=2, **changes):
        service = service_owner.ServiceOwner()
        service.use_engine(ENGINE)
        service.use_upstreams(
            {
                f"u-{n}": make_announcement(f"u-{n}", address=f"10.0.0.{n}:80", **changes)
                for n in range(count)
            }
        )
        return service

    return make


def _placed(answers):
    (answer,) = answers
    assert isinstance(answer.message, placement_messages.Placed), answer
    return answer.message.upstream_id


def _ended(ticket_id, end=placement_messages.RunEnd.COMPLETE):
    return placement_messages.RunEnded(ticket_id, end, 1.0)


def _run(request, read_tokens, read_ms):
    return upstream_load.Run("e", request, read_tokens, read_ms, is_telling=False)


def test_streams_with_tight_pauses_keep_away_from_long_reading(make_owner, make_question):
    # On this load, least-outstanding placement lost two fifths of the short streams.
    owner = make_owner(slots=64)
    long_at = _placed(owner.place("e", make_question("long", LONG, gap_ms=800.0), 0.0))
    short = [
        _placed(owner.place("e", make_question(f"s{n}", (("x", 100),), gap_ms=200.0), 0.01))
        for n in range(10)
    ]
    assert long_at not in short


def test_tight_streams_gather_again_once_there_are_fewer(make_owner, make_question):
    """Replay the end of a burst: streams stayed spread, and long prompts found no engine apart."""
    owner = make_owner(count=3, slots=8)
    for n in range(10):
        _placed(owner.place("e", make_question(f"s{n}", (("x", 100),), gap_ms=100.0), 0.0))
        owner.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 0.1)
    spread = {name: len(load.run_by_ticket) for name, load in owner.load_by_id.items()}
    assert sorted(spread.values()) == [0, 2, 8]
    most = max(spread, key=spread.get)
    first, *_ = owner.load_by_id[most].run_by_ticket
    owner.on_ended(_ended(first), 1.0)
    assert _placed(owner.place("e", make_question("n", (("x", 9),), gap_ms=100.0), 1.0)) == most


def test_reading_that_fills_most_of_a_pause_counts_as_harm(make_owner, make_question):
    """Replay short streams: prompts of 90 ms and 66 ms beside them made pauses of 205 ms of 200."""
    service = make_owner(count=1, slots=64)
    service.rate.tokens_per_ms = 64.0
    tight = make_question("tight", (("q", 10),), target_ms=300.0, gap_ms=200.0)
    _placed(service.place("e", tight, 0.0))
    service.place("e", make_question("first", (("p", 5760),), target_ms=400.0), 0.1)
    (answer,) = service.place("e", make_question("next", (("r", 4240),), target_ms=2500.0), 0.1)
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_long_prompt_avoids_the_engine_with_tight_streams(make_owner, make_question):
    owner = make_owner(slots=64)
    short_at = _placed(owner.place("e", make_question("s", (("x", 100),), gap_ms=200.0), 0.0))
    long_at = _placed(owner.place("e", make_question("long", LONG, gap_ms=800.0), 1.0))
    assert long_at != short_at


def test_requests_about_the_same_matter_stay_where_it_was_read(make_owner, make_question):
    owner = make_owner(count=4, slots=64)
    first = _placed(owner.place("e", make_question("a", LONG), 0.0))
    owner.on_ended(_ended("a"), 1.0)
    same = _placed(owner.place("e", make_question("b", (*LONG[:2], ("other", 10))), 2.0))
    assert same == first


def test_what_another_engine_holds_is_fetched_and_not_read_again(make_owner, make_question):
    """Replay a matter whose engine is busy: a third of all shared parts were read again."""
    service = make_owner(count=2, slots=64)
    service.use_engine(
        routing.EngineFacts(64, 1_000_000, 5, token_bytes=163_840, link_mbps=260_000.0)
    )
    first = _placed(service.place("e", make_question("a", LONG, target_ms=1000.0), 0.0))
    service.on_first_event(placement_messages.FirstEvent("a", 160.0), 0.05)
    for n in range(8):
        busy = make_question(f"b{n}", ((f"own{n}", 12_000),), excluded=("u-0", "u-1"))
        service.load_by_id[first].add(_run(busy, 12_000, 150.0), 0.0)
    (answer,) = service.place("e", make_question("c", (*LONG[:2], ("new", 3000))), 0.1)
    assert answer.message.upstream_id != first
    assert answer.message.fetch_from == service.load_by_id[first].announcement.address
    assert answer.grounds.cost.read_tokens == 3000
    (again,) = service.place("e", make_question("d", (*LONG[:2], ("newer", 3000))), 0.2)
    assert (again.message.upstream_id, again.message.fetch_from) == (answer.message.upstream_id, "")


def test_what_an_engine_is_still_reading_can_not_be_fetched_from_it(make_owner, make_question):
    service = make_owner(count=1, slots=64)
    _placed(service.place("e", make_question("a", LONG), 0.0))
    (load,) = service.load_by_id.values()
    parts = make_question("b", LONG).parts
    assert load.readable_tokens(parts) == 0
    service.on_first_event(placement_messages.FirstEvent("a", 160.0), 0.2)
    assert load.readable_tokens(parts) == 11_500


def test_nothing_is_fetched_from_an_engine_that_failed(make_owner, make_question):
    service = make_owner(count=2, slots=64)
    service.use_engine(
        routing.EngineFacts(64, 1_000_000, 5, token_bytes=163_840, link_mbps=260_000.0)
    )
    first = _placed(service.place("e", make_question("a", LONG), 0.0))
    service.on_ended(_ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    (answer,) = service.place("e", make_question("b", LONG), 0.2)
    assert answer.message.upstream_id != first
    assert answer.message.fetch_from == ""


def test_a_full_service_lets_requests_wait_and_serves_the_highest_tier_first(
    make_owner, make_question
):
    owner = make_owner(count=1, slots=1)
    _placed(owner.place("e", make_question("runs"), 0.0))
    for ticket_id, tier in (("low", 2), ("high", 0)):
        (answer,) = owner.place("e", make_question(ticket_id, tier=tier), 0.1)
        assert isinstance(answer.message, placement_messages.Queued)
    (answer,) = owner.on_ended(_ended("runs"), 0.2)
    assert answer.message.ticket_id == "high"


def test_long_prompts_are_held_only_for_the_sake_of_tight_streams(make_owner, make_question):
    service = make_owner(count=1, slots=64)
    for n in range(4):
        _placed(service.place("e", make_question(f"l{n}", ((f"p{n}", 12_000),)), 0.0))
    tight = make_question("tight", (("q", 10),), gap_ms=100.0)
    _placed(service.place("e", tight, 0.0))
    long = make_question("held", (("r", 12_000),), target_ms=5000.0)
    (answer,) = service.place("e", long, 0.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_only_the_kind_with_the_longest_target_is_refused(make_owner, make_question):
    # On this load, requests of a middle target were refused while longer ones began.
    service = make_owner(count=1, slots=64)
    for n in range(30):
        service.place("e", make_question(f"l{n}", ((f"p{n}", 12_000),), target_ms=1500.0), 0.0)
    (middle,) = service.place("e", make_question("m", (("q", 8000),), target_ms=400.0), 0.1)
    assert isinstance(middle.message, placement_messages.Placed)
    (longest,) = service.place("e", make_question("x", (("r", 8000),), target_ms=1500.0), 0.1)
    assert isinstance(longest.message, placement_messages.PlaceRefused)


def test_overdue_long_prompts_do_not_hold_up_short_ones(make_owner, make_question):
    """Replay a queue of long prompts that are all late when a short one comes."""
    service = make_owner(count=1, slots=1)
    _placed(service.place("e", make_question("runs"), 0.0))
    for n in range(5):
        long = make_question(f"l{n}", (("p", 40),), target_ms=2500.0, left_ms=9000.0)
        service.place("e", long, 0.0)
    service.place("e", make_question("short", (("q", 40),), target_ms=400.0, left_ms=9000.0), 2.3)
    (answer,) = service.on_ended(_ended("runs"), 2.4)
    assert answer.message.ticket_id == "short"


def test_a_request_whose_time_ran_out_while_it_waited_is_refused(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    owner.place("e", make_question("runs"), 0.0)
    owner.place("e", make_question("late", left_ms=100.0), 0.0)
    (answer,) = owner.serve_waiting(0.2)
    assert isinstance(answer.message, placement_messages.PlaceRefused)
    assert owner.waiting == 0


def test_a_pass_over_many_waiting_requests_compares_few_upstreams(
    make_owner, make_question, monkeypatch
):
    """Replay an owner that fell behind: hundreds wait, and each end led to trying them all."""
    service = make_owner(count=45, slots=16)
    for n in range(45):
        tight = make_question(f"t{n}", (("q", 10),), target_ms=300.0, gap_ms=100.0)
        _placed(service.place("e", tight, 0.0))
    for n in range(700):
        long = make_question(f"l{n}", ((f"p{n}", 8000),), target_ms=60_000.0, gap_ms=800.0)
        service.place("e", long, 0.0)
    assert service.waiting > 500
    compared = []
    reckon = placement_cost.cost
    monkeypatch.setattr(placement_cost, "cost", lambda *given: compared.append(1) or reckon(*given))
    started = sum(len(service.on_ended(_ended(f"t{n}"), 0.1 + n / 1000.0)) for n in range(45))
    passes = 10
    assert len(compared) <= passes * 150 + started * 45


def test_a_withdrawn_request_does_not_get_a_slot(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    owner.place("e", make_question("runs"), 0.0)
    owner.place("e", make_question("gone"), 0.0)
    assert owner.on_ended(_ended("gone", placement_messages.RunEnd.CANCELLED), 0.1) == ()
    assert owner.on_ended(_ended("runs"), 0.2) == ()


def test_excluded_and_unreachable_upstreams_are_left_out(make_owner, make_question):
    owner = make_owner(slots=8)
    assert _placed(owner.place("e", make_question("a", excluded=("u-0",)), 0.0)) == "u-1"
    owner.on_ended(_ended("a", placement_messages.RunEnd.UNREACHABLE), 0.1)
    assert _placed(owner.place("e", make_question("b"), 0.2)) == "u-0"
    assert _placed(owner.place("e", make_question("c", excluded=("u-0",)), 0.2)) == "u-1"


def test_an_engine_that_stands_still_gets_no_more_while_others_run(make_owner, make_question):
    """Replay an engine that went dark with a prompt half read: short prompts followed it there."""
    owner = make_owner(slots=64)
    dark = _placed(owner.place("e", make_question("long", LONG, gap_ms=800.0), 0.0))
    for n in range(20):
        short = make_question(f"s{n}", ((f"p{n}", 100),), gap_ms=200.0)
        assert _placed(owner.place("e", short, 2.0 + n)) != dark
        owner.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 2.02 + n)


def test_a_lost_entry_host_frees_its_slots(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    owner.place("lost", make_question("a"), 0.0)
    owner.place("e", make_question("b"), 0.0)
    (answer,) = owner.forget_entry("lost", 1.0)
    assert answer.message.ticket_id == "b"


def test_a_run_whose_end_was_never_reported_is_taken_off(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    _placed(owner.place("e", make_question("lost", left_ms=1000.0), 0.0))
    assert owner.end_overdue(1.0 + upstream_load.LEAK_S) == ()
    assert owner.end_overdue(1.1 + upstream_load.LEAK_S) == ("lost",)
    _placed(owner.place("e", make_question("next"), 4.0))


def test_an_upstream_that_was_not_heard_of_for_a_while_still_runs_what_it_ran(
    make_owner, make_announcement, make_question
):
    """Replay a cut: engines came back as empty, got twice their slots and stopped requests."""
    owner = make_owner(count=1, slots=2)
    for n in range(2):
        _placed(owner.place("e", make_question(f"t{n}"), 0.0))
    owner.use_upstreams({})
    (answer,) = owner.place("e", make_question("absent"), 1.0)
    assert isinstance(answer.message, placement_messages.Queued)
    owner.on_ended(_ended("absent"), 1.5)
    owner.use_upstreams({"u-0": make_announcement("u-0")})
    (answer,) = owner.place("e", make_question("back"), 2.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_an_upstream_that_is_gone_for_good_is_forgotten(make_owner, make_question):
    owner = make_owner(count=1, slots=2)
    _placed(owner.place("e", make_question("runs"), 0.0))
    owner.use_upstreams({})
    owner.end_overdue(0.5)
    owner.end_overdue(0.6 + upstream_load.KEEP_ABSENT_S)
    assert owner.load_by_id == {}
    assert owner.on_ended(_ended("runs"), 60.0) == ()


def test_nothing_is_kept_of_a_ticket_whose_end_was_never_reported(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(slots=9),), 0.0)
    for n in range(5):
        whole.handle("e", make_question(f"t{n}", left_ms=1000.0), 0.0)
    assert whole.tidy(1.1 + upstream_load.LEAK_S) == 5
    assert not whole._shard_by_ticket


def test_prompts_are_not_placed_beyond_an_engine_s_memory(make_owner, make_question):
    """Replay sixteen slots filled with long prompts: engines stopped runs to make room."""
    owner = make_owner(count=1, slots=64)
    for n in range(7):
        _placed(owner.place("e", make_question(f"l{n}", ((f"p{n}", 13_000),)), 0.0))
    (answer,) = owner.place("e", make_question("more", (("q", 13_000),)), 0.0)
    assert isinstance(answer.message, placement_messages.Queued)
    owner.on_ended(_ended("l0"), 0.1)
    assert owner.waiting == 0


def test_a_new_owner_counts_runs_that_an_earlier_one_placed(make_owner, make_question):
    owner = make_owner(count=1, slots=1)
    running = placement_messages.StillRunning(make_question("a"), "u-0", True)
    owner.on_still_running("e", running, 0.0)
    (answer,) = owner.place("e", make_question("b"), 0.0)
    assert isinstance(answer.message, placement_messages.Queued)


def test_a_new_owner_counts_reading_that_has_not_ended(make_owner, make_question):
    service = make_owner(slots=64)
    running = placement_messages.StillRunning(make_question("a", LONG), "u-0", False)
    service.on_still_running("e", running, 0.0)
    assert service.load_by_id["u-0"].backlog_ms(0.0) > 100.0


def test_an_entry_host_that_asks_another_owner_is_forgotten(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(slots=1),), 0.0)
    whole.handle("e1", make_question("a"), 0.0)
    whole.handle("e2", make_question("b"), 0.0)
    (answer,) = whole.handle(
        "e1",
        placement_messages.OwnerChosen(placement_messages.Shard("engines"), is_chosen=False),
        0.5,
    )
    assert answer.message == placement_messages.Placed("b", "u-1")


def test_the_rate_is_learnt_from_runs_that_nothing_delayed(make_owner, make_question):
    owner = make_owner(slots=64)
    for n in range(60):
        owner.place("e", make_question(f"t{n}", ((f"p{n}", 10_000),)), n * 10.0)
        after_ms = read_rate.FIXED_MS + 10_000 / 140.0
        owner.on_first_event(placement_messages.FirstEvent(f"t{n}", after_ms), n * 10.0 + 0.1)
        owner.on_ended(_ended(f"t{n}"), n * 10.0 + 1.0)
    assert owner.rate.tokens_per_ms == pytest.approx(140.0, rel=0.05)


def test_the_steps_of_an_event_count_into_the_pause_of_a_stream():
    """Replay short streams: an event of 5 tokens beside reading took 197 ms of the 200 allowed."""
    rate = read_rate.ReadRate()
    rate.tokens_per_ms = 58.0
    rate.chunk_tokens = 2048.0
    pause_ms = rate.pause_ms(5)
    assert pause_ms == pytest.approx(197.0, abs=1.0)
    assert placement_cost.Reading(58.0, pause_ms).tight_ms > 200.0


def test_a_wait_is_predicted_by_what_was_started_lately():
    drain = drain_rate.DrainRate()
    assert drain.per_ms(0.0) == drain_rate.LEAST_SHARE
    for n in range(40):
        drain.note(200.0, n * 0.1)
    assert drain.per_ms(4.0) == pytest.approx(2.0, rel=0.1)
    assert drain.per_ms(9.0) == drain_rate.LEAST_SHARE


def test_parts_are_remembered_also_if_the_routing_comes_after_the_engines(
    make_announcement, make_question
):
    whole = owner.Owner()
    present = tuple(make_announcement(f"u-{n}", slots=64) for n in range(3))
    whole.use_upstreams(present, 0.0)
    whole.use_services((routing.Service("engines", engine=ENGINE),))
    (first,) = whole.handle("e", make_question("a", LONG), 0.0)
    whole.handle("e", _ended("a"), 1.0)
    (second,) = whole.handle("e", make_question("b", (*LONG[:2], ("other", 10))), 2.0)
    assert first.message.upstream_id == second.message.upstream_id
    load = whole._owner_by_shard[placement_messages.Shard("engines")].load_by_id[
        first.message.upstream_id
    ]
    assert load.run_by_ticket["b"].read_tokens == 10


def test_a_part_counts_as_cached_only_if_all_before_it_are():
    cache = prompt_cache.PromptCache(memory_tokens=100_000)
    parts = tuple(placement_messages.PromptPart(*part) for part in LONG)
    assert cache.uncached_tokens(parts) == 11_500
    cache.add(parts)
    assert cache.uncached_tokens(parts) == 0
    changed = (placement_messages.PromptPart("else", 500), *parts[1:])
    assert cache.uncached_tokens(changed) == 11_500


def test_the_least_recently_used_parts_yield_and_the_shared_ones_last():
    cache = prompt_cache.PromptCache(memory_tokens=round(12_000 / prompt_cache.USABLE_SHARE))
    cache.add(tuple(placement_messages.PromptPart(*part) for part in LONG))
    cache.add((placement_messages.PromptPart("new", 4000),))
    kept = tuple(placement_messages.PromptPart(*part) for part in LONG[:2])
    assert cache.uncached_tokens(kept) == 0


def test_alone_an_entry_host_spreads_its_runs_and_keeps_matters_together(
    make_announcement, make_question
):
    upstreams = tuple(make_announcement(f"u-{n}") for n in range(4))
    free = local_choice.choose(make_question("a"), upstreams, {"u-0": 1, "u-1": 1, "u-2": 1}, "e")
    assert free == "u-3"
    chosen = {
        local_choice.choose(make_question(f"t{n}", LONG), upstreams, {}, f"e{n}") for n in range(9)
    }
    assert len(chosen) == 1
    assert local_choice.choose(make_question("a"), (), {}, "e") == ""


def test_decisions_are_handed_out_once_with_what_they_rest_on(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(slots=1),), 0.0)
    whole.handle("e", make_question("a"), 0.0)
    whole.handle("e", make_question("b"), 0.1)
    placed, queued = whole.take_decisions()
    assert (placed.grounds.candidates, placed.grounds.running) == (1, 0)
    assert isinstance(queued.message, placement_messages.Queued)
    assert whole.take_decisions() == ()


def test_the_shards_of_a_large_service_share_its_engines_and_its_load(make_announcement):
    """Replay 45 engines: one owner, and then three, compared too many of them and fell behind."""
    engines = [make_announcement(f"u-{n}") for n in range(45)]
    sizes = shard_choice.sizes("engines", engines)
    assert len(sizes) == 6
    assert max(sizes.values()) <= 15
    assert sum(sizes.values()) == 45
    keys = [f"matter-{n}" for n in range(3000)]
    chosen = collections.Counter(shard_choice.choose(key, sizes, "engines") for key in keys)
    for shard, size in sizes.items():
        assert chosen[shard] / 3000 == pytest.approx(size / 45, abs=0.04)


def test_a_small_service_is_one_shard(make_announcement):
    few = [make_announcement(f"u-{n}") for n in range(6)]
    whole = placement_messages.Shard("engines")
    assert shard_choice.choose("any", shard_choice.sizes("engines", few), "engines") == whole
    assert shard_choice.choose("any", shard_choice.sizes("none", few), "none").service == "none"


def test_the_shards_of_a_service_have_different_owners():
    """Replay four shards and nine replicas: two shards on one replica made it fall behind."""
    replicas = tuple(f"r{n}" for n in range(9))
    for n in range(50):
        owners = shard_choice.owners(f"service-{n}", 6, replicas)
        assert len(set(owners)) == 6
        fewer = shard_choice.owners(f"service-{n}", 6, tuple(r for r in replicas if r != "r0"))
        assert "r0" not in fewer
        if "r0" not in owners:
            assert fewer == owners
    many = shard_choice.owners("service", 20, replicas)
    assert max(collections.Counter(many).values()) - min(collections.Counter(many).values()) <= 1
    assert shard_choice.owners("service", 3, ()) == ()


def test_an_engine_that_leaves_moves_few_matters(make_announcement):
    engines = [make_announcement(f"u-{n}") for n in range(45)]
    before = shard_choice.sizes("engines", engines)
    after = shard_choice.sizes("engines", engines[1:])
    keys = [f"matter-{n}" for n in range(3000)]
    moved = sum(
        shard_choice.choose(key, before, "engines") != shard_choice.choose(key, after, "engines")
        for key in keys
    )
    assert moved < 3000 / 15


def test_an_owner_places_only_on_the_engines_of_the_shard_that_was_asked(
    make_announcement, make_question
):
    whole = owner.Owner()
    whole.use_upstreams(tuple(make_announcement(f"u-{n}", slots=9) for n in range(40)), 0.0)
    for index in range(3):
        shard = placement_messages.Shard("engines", index, 3)
        for n in range(30):
            asked = make_question(f"t{index}-{n}", shard=shard)
            (answer,) = whole.handle("e", asked, 0.0)
            assert shard.has(answer.message.upstream_id)


def test_the_owner_of_a_shard_that_nobody_asks_for_is_dropped(make_announcement, make_question):
    whole = owner.Owner()
    whole.use_upstreams((make_announcement(),), 0.0)
    whole.handle("e", make_question("t"), 0.0)
    whole.tidy(owner.FORGET_S - 1.0)
    assert whole._owner_by_shard
    whole.tidy(owner.FORGET_S + 1.0)
    assert not whole._owner_by_shard
    assert not whole._shard_by_ticket


def test_the_tickets_of_a_dropped_shard_go_while_another_shard_stays(
    make_announcement, make_question
):
    whole = owner.Owner()
    whole.use_upstreams(tuple(make_announcement(f"u-{n}", slots=9) for n in range(20)), 0.0)
    for index, asked_at in ((0, 0.0), (1, owner.FORGET_S)):
        shard = placement_messages.Shard("engines", index, 2)
        asked = make_question(f"t{index}", shard=shard, left_ms=90_000.0)
        whole.handle("e", asked, asked_at)
    whole.tidy(owner.FORGET_S + 1.0)
    assert set(whole._shard_by_ticket) == {"t1"}


def test_a_long_prompt_that_will_be_late_is_still_served_while_its_caller_waits(
    make_owner, make_question
):
    """Replay a burst of long prompts whose callers wait seven targets: one in six was refused."""
    service = make_owner(count=1, slots=64)
    tight = make_question("tight", (("q", 10),), target_ms=300.0, gap_ms=100.0, left_ms=60_000.0)
    _placed(service.place("e", tight, 0.0))
    long = {"target_ms": 800.0, "left_ms": 6000.0, "gap_ms": 5000.0}
    answers = [
        service.place("e", make_question(f"l{n}", ((f"p{n}", 8000),), **long), 0.0)[0]
        for n in range(10)
    ]
    assert not any(isinstance(item.message, placement_messages.PlaceRefused) for item in answers)
    assert service.waiting > 5
    later = service.serve_waiting(1.0)
    assert not any(isinstance(item.message, placement_messages.PlaceRefused) for item in later)
    for n in range(30):
        late = service.place("e", make_question(f"m{n}", ((f"q{n}", 8000),), **long), 1.0)
    assert isinstance(late[0].message, placement_messages.PlaceRefused)


def test_a_late_long_prompt_lets_those_go_first_that_can_still_be_on_time(
    make_owner, make_question
):
    service = make_owner(count=1, slots=1)
    _placed(service.place("e", make_question("runs", left_ms=60_000.0), 0.0))
    long = {"target_ms": 800.0, "left_ms": 6000.0}
    service.place("e", make_question("late", (("p", 8000),), **long), 0.0)
    service.place("e", make_question("new", (("q", 8000),), **long), 1.0)
    (answer,) = service.on_ended(_ended("runs"), 1.1)
    assert answer.message.ticket_id == "new"


def test_a_late_long_prompt_is_refused_once_it_could_not_end_any_more(make_owner, make_question):
    service = make_owner(count=1, slots=1)
    _placed(service.place("e", make_question("runs", left_ms=60_000.0), 0.0))
    late = make_question("late", (("p", 8000),), target_ms=800.0, left_ms=6000.0, output_tokens=200)
    service.place("e", late, 0.0)
    assert not service.serve_waiting(1.0)
    (answer,) = service.serve_waiting(5.9)
    assert isinstance(answer.message, placement_messages.PlaceRefused)


def test_a_caller_that_would_leave_is_told_before_when_to_come_back(make_owner, make_question):
    """Replay full slots: 73 callers left after 2.4 s, and did not come back."""
    service = make_owner(count=1, slots=1)
    _placed(service.place("e", make_question("runs", left_ms=60_000.0), 0.0))
    short = make_question(
        "short", (("p", 600),), target_ms=400.0, left_ms=15_000.0, first_left_ms=2400.0
    )
    service.place("e", short, 0.0)
    assert not service.serve_waiting(2.2)
    (answer,) = service.serve_waiting(2.35)
    assert isinstance(answer.message, placement_messages.PlaceRefused)
    assert answer.message.retry_after_ms == pytest.approx(2400.0)


def test_a_long_prompt_has_to_begin_before_its_caller_leaves(make_owner, make_question):
    service = make_owner(count=1, slots=1)
    _placed(service.place("e", make_question("runs", left_ms=60_000.0), 0.0))
    late = make_question(
        "late", (("p", 8000),), target_ms=800.0, left_ms=9000.0, first_left_ms=4000.0
    )
    service.place("e", late, 0.0)
    assert not service.serve_waiting(3.0)
    (answer,) = service.serve_waiting(3.95)
    assert isinstance(answer.message, placement_messages.PlaceRefused)


def test_in_an_overload_of_short_prompts_some_are_late_and_not_all(make_owner, make_question):
    """Replay slots that free a quarter too slowly: oldest first, most began after their target."""
    service = make_owner(count=1, slots=1)
    long = make_question("t0", (("q", 60),), target_ms=2500.0, left_ms=60_000.0)
    _placed(service.place("e", long, 0.0))
    running, begun_by_wait = "t0", collections.Counter()
    asked_at = {}
    for step in range(1, 400):
        now = step * 0.01
        ticket = f"t{step}"
        asked_at[ticket] = now
        short = make_question(ticket, (("p", 60),), target_ms=400.0, left_ms=15_000.0)
        answers = list(service.place("e", short, now))
        if step % 4 != 0:
            answers += service.on_ended(_ended(running), now + 0.006)
        for answer in answers:
            if isinstance(answer.message, placement_messages.Placed):
                running = answer.message.ticket_id
                begun_by_wait[now - asked_at[running] <= 0.4] += 1
    assert begun_by_wait[True] > 0.95 * begun_by_wait.total()


def test_a_long_prompt_that_fits_into_the_pauses_of_many_streams_is_not_held(
    make_owner, make_question
):
    """Replay engines that read a tenth of the time while long prompts were held and refused."""
    service = make_owner(count=1, slots=64)
    service.rate.tokens_per_ms = 41.4
    service.rate.step_ms = 4.6
    for n in range(12):
        short = make_question(f"s{n}", ((f"q{n}", 1),), target_ms=400.0, gap_ms=300.0)
        _placed(service.place("e", short, 0.0))
        service.on_first_event(placement_messages.FirstEvent(f"s{n}", 20.0), 0.02)
    long = make_question("l", (("p", 8000),), target_ms=800.0, left_ms=6000.0, gap_ms=500.0)
    _placed(service.place("e", long, 1.0))


def test_a_request_that_is_asked_for_again_gets_its_answer_again(make_owner, make_question):
    service = make_owner(count=3, slots=1)
    first = _placed(service.place("e", make_question("a"), 0.0))
    assert _placed(service.place("e", make_question("a"), 0.1)) == first
    assert sum(len(load.run_by_ticket) for load in service.load_by_id.values()) == 1
