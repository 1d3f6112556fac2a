"""Replays of the load that relative times of upstreams handle, and the condition for using them."""

import json
import random

import pytest

from medlarfork import node
from medlarfork.coordination import (
    coordinator_metrics,
    coordinator_types,
    decision_log,
    operations_format,
)
from medlarfork.placement import (
    owner,
    placement_messages,
    reported_load,
    shard_speeds,
    upstream_speed,
)
from medlarfork.routes import routing
from tests.routed import coordinator_cluster, engine_replay, placement_helpers

SECONDS = 20.0
PREFILL = upstream_speed.SampleKind.LONG_PREFILL
SHARD = placement_messages.Shard("engines")


def is_slow(upstream_id):
    return int(upstream_id[2:]) % 3 == 2


@pytest.fixture
def replay(make_shard_owner, make_place_request):
    """Return a function that replays 12 engines, a third of them slow, with some reports."""

    def chat(ticket_id, draw):
        values = {"target_ms": 250.0, "gap_ms": 200.0, "output_tokens": 42 * 7}
        return make_place_request(ticket_id, ((ticket_id, 800),), left_ms=10_000.0, **values)

    def long(ticket_id, draw):
        values = {"target_ms": 2000.0, "gap_ms": 800.0, "output_tokens": 20 * 7}
        parts = (("common", 5400), (ticket_id, 6600))
        return make_place_request(ticket_id, parts, tier=1, left_ms=15_000.0, **values)

    def run(load_of, seed):
        service = make_shard_owner(count=12, slots=engine_replay.SLOTS)
        service.use_engine(routing.EngineSpec(engine_replay.SLOTS, 400_000, event_tokens=7))
        engines = {
            name: engine_replay.Engine(
                2.4 if is_slow(name) else 1.0, random.Random(f"{seed}{name}"), 0.15
            )
            for name in service.load_by_id
        }
        played = engine_replay.Replay(service, engines, load_of, seed)
        played.arrive("chat", 7.0, SECONDS, chat)
        played.arrive("long", 15.0, SECONDS, long)
        return played.run(SECONDS)

    return run


def test_urgent_streams_keep_their_gaps_beside_long_prompts(replay):
    """Streams on slow engines and beside prompts were late, although their first events were not.

    Long prompts must not pay for it: they start no later than without the reports.
    """
    seeds = (1, 2, 3)
    before = [replay(engine_replay.no_report, seed) for seed in seeds]
    after = [replay(engine_replay.reports(), seed) for seed in seeds]
    late_before = sum(played.late(played.chats, 200.0) for played in before)
    late_after = sum(played.late(played.chats, 200.0) for played in after)
    assert late_before > 20
    assert late_after <= 0.2 * late_before
    assert sum(first_ms > 250.0 for played in after for _, first_ms in played.chats) <= 0.02 * sum(
        len(played.chats) for played in after
    )
    first_before, first_after = (
        sorted(first_ms for played in runs for _, first_ms in played.longs)
        for runs in (before, after)
    )
    assert len(first_after) >= 0.99 * len(first_before)
    assert not any(played.refused for played in after)
    for share in (0.9, 0.99):
        assert upstream_speed.quantile(first_after, share) <= upstream_speed.quantile(
            first_before, share
        )
    assert sum(first_after) / len(first_after) <= sum(first_before) / len(first_before)


def test_the_factors_of_slow_engines_are_learnt_beside_slow_moments(replay):
    """With one estimate for all engines, slow ones got the same streams as fast ones."""
    loads = replay(engine_replay.reports(), 2).service.load_by_id
    factors = [
        [load.speed.factor for name, load in loads.items() if is_slow(name) is slow]
        for slow in (False, True)
    ]
    fast, slow = (sum(group) / len(group) for group in factors)
    assert max(factors[0]) < min(factors[1])
    assert slow / fast == pytest.approx(2.4, rel=0.25)


def test_reports_that_contain_the_speed_keep_the_gaps_of_urgent_streams(replay):
    """A slow engine looked nearly usual whenever its last report was old."""
    before = replay(engine_replay.no_report, 2)
    after = replay(engine_replay.reports(fastest=0.7), 2)
    assert before.late(before.chats, 200.0) > 5
    assert after.late(after.chats, 200.0) <= 0.2 * before.late(before.chats, 200.0)
    loads = after.service.load_by_id
    factors = [
        [load.speed.factor for name, load in loads.items() if is_slow(name) is slow]
        for slow in (False, True)
    ]
    assert max(factors[0]) < min(factors[1])


def test_an_upstream_is_known_as_slow_from_what_it_usually_reports(make_shard_owner):
    """Urgent streams were sent to new incarnations of slow engines until some had ended there."""
    service = make_shard_owner(count=3, slots=8)
    loads = list(service.load_by_id.values())
    speeds = shard_speeds.ShardSpeeds(service.estimator, service.load_by_id)
    for number in range(8):
        for load, usual in zip(loads, (0.7, 0.7, 1.7), strict=True):
            moment = 2.5 if number == 7 else 1.0
            speeds.record_report(load, report(slowdown=usual * moment), number * 0.4)
    assert [load.speed.factor for load in loads] == pytest.approx([1.0, 1.0, 1.7 / 0.7])
    assert [load.speed.slowdown(2.8) for load in loads] == pytest.approx([2.5, 2.5, 2.5])
    assert [load.speed.slowdown(9.0) for load in loads] == [1.0, 1.0, 1.0]


def test_decisions_without_reported_slowdowns_are_as_without_reports(replay):
    """Deployments whose upstreams report three figures must see no change at all."""

    def decisions(load_of):
        played = replay(load_of, 1)
        assert not any(item.message.speed != 1.0 for item in played.decisions if _is_placed(item))
        return played.decisions

    assert decisions(engine_replay.reports(fourth=False)) == decisions(engine_replay.no_report)


def _is_placed(decision):
    return isinstance(decision.message, placement_messages.Placed)


def report(running=0, slowdown=1.0, waiting=0):
    return reported_load.ReportedLoad(running, waiting, 9, slowdown)


def test_a_false_slowdown_neither_blocks_nor_favours_an_upstream():
    """An upstream that always reports a slowdown could shed its load, or look fast between."""
    false, true = upstream_speed.UpstreamSpeed(), upstream_speed.UpstreamSpeed()
    for number in range(60):
        now = number * 0.1
        for speed, time in ((false, 1.0), (true, 2.5)):
            slowdown = speed.record_report(
                report(slowdown=20.0 if speed is false else 2.5), 0, 9, now
            )
            speed.check_report(speed.report.slowdown, time)
            speed.observe(PREFILL, time, 1.0, slowdown)
            speed.set_reference(1.0, now)
    assert false.slowdown(6.0) == pytest.approx(1.0, abs=0.1)
    assert false.factor == pytest.approx(1.0, abs=0.1)
    assert true.slowdown(5.9) * true.factor == pytest.approx(2.5, rel=0.1)


def test_a_stale_slowdown_has_no_effect():
    """Slow moments last about 0.6 s; an upstream must not be avoided after them."""
    speed = upstream_speed.UpstreamSpeed()
    speed.record_report(report(slowdown=2.5), 0, 9, 1.0)
    assert speed.slowdown(1.0) == 2.5
    assert speed.slowdown(1.3) == pytest.approx(1.75)
    assert speed.slowdown(1.6) == pytest.approx(1.0)
    speed.record_report(report(slowdown=0.1), 0, 9, 2.0)
    assert speed.slowdown(2.0) == 1.0


def test_few_samples_move_a_factor_little_and_none_leaves_its_bounds():
    """One delayed run must not make an upstream look slow, nor a measuring error stop its use."""
    speed = upstream_speed.UpstreamSpeed()
    speed.observe(PREFILL, 100.0, 1.0, 1.0)
    speed.set_reference(1.0, 0.0)
    assert speed.factor < 4.0
    for _ in range(50):
        speed.observe(PREFILL, 1000.0, 1.0, 1.0)
        speed.set_reference(1.0, 1.0)
    assert speed.factor == upstream_speed.FACTOR_BOUNDS[1]
    assert speed.slow_since is not None
    for _ in range(50):
        speed.observe(PREFILL, 0.001, 1.0, 1.0)
        speed.set_reference(1.0, 2.0)
    assert speed.factor == upstream_speed.FACTOR_BOUNDS[0]
    assert speed.slow_since is None


def test_unknown_runs_take_slots_until_their_report_is_old(make_shard_owner, make_place_request):
    """Runs of hosts without an owner filled engines that seemed free; they end unreported."""
    service = make_shard_owner(count=2, slots=8)
    asked = [make_place_request(f"t{n}", left_ms=9000.0) for n in range(4)]
    first = placement_helpers.placed(service.place("e", asked[0], 0.0))
    service.on_first_event(placement_messages.FirstEvent("t0", 9.0, report(7, 1.0, 1)), 0.1)
    summary = service.upstreams(0.1)[first]
    assert (summary.unknown_runs, summary.running) == (7, 1)
    excluded = tuple(name for name in service.load_by_id if name != first)
    here = make_place_request("here", left_ms=9000.0, excluded=excluded)
    (answer,) = service.place("e", here, 0.1)
    assert isinstance(answer.message, placement_messages.Queued)
    assert service.serve_waiting(0.1 + upstream_speed.UNKNOWN_RUN_DECAY_S / 2)


def test_unknown_runs_never_block_an_upstream(make_shard_owner, make_place_request):
    """A report may be false: an upstream without own runs still gets a request."""
    service = make_shard_owner(count=1, slots=8)
    service.place("e", make_place_request("a"), 0.0)
    service.on_first_event(placement_messages.FirstEvent("a", 9.0, report(1000)), 0.1)
    service.on_ended(placement_helpers.ended("a"), 0.2)
    placement_helpers.placed(service.place("e", make_place_request("b"), 0.2))


def test_a_false_number_of_runs_has_bounded_influence(make_shard_owner, make_place_request):
    """An upstream that stated a million runs got one request at a time, and only as the last."""
    service = make_shard_owner(count=1, slots=8)
    service.place("e", make_place_request("a", left_ms=9000.0), 0.0)
    service.on_first_event(placement_messages.FirstEvent("a", 9.0, report(1_000_000)), 0.1)
    assert service.upstreams(0.1)["u-0"].unknown_runs == 8
    later = 0.1 + upstream_speed.UNKNOWN_RUN_DECAY_S / 2
    for ticket_id in ("b", "c", "d"):
        request = make_place_request(ticket_id, left_ms=9000.0)
        placement_helpers.placed(service.place("e", request, later))


def test_a_report_at_the_end_counts_only_for_runs_without_events(
    make_shard_owner, make_place_request
):
    """The response head of a stream is seconds old when the stream ends."""
    service = make_shard_owner(count=1, slots=8)
    complete = placement_messages.RunEnd.COMPLETE
    for ticket_id in ("stream", "plain"):
        service.place("e", make_place_request(ticket_id, left_ms=9000.0), 0.0)
    service.on_first_event(placement_messages.FirstEvent("stream", 9.0, report(2, 1.0)), 0.1)
    for ticket_id, slowdown in (("stream", 1.0), ("plain", 2.0)):
        ended = placement_messages.RunEnded(ticket_id, complete, 1.0, load=report(2, 2.0))
        service.on_ended(ended, 2.0)
        assert service.upstreams(2.0)["u-0"].slowdown == slowdown


def test_a_new_owner_starts_from_the_factors_that_entry_hosts_were_told(
    make_announcement, make_place_request
):
    """After a change of the owner, slow engines got urgent streams until they were measured."""
    successor = owner.PlacementOwner()
    chosen = placement_messages.OwnerChosen(
        SHARD, True, speeds=tuple(placement_messages.UpstreamSpeed(f"u-{n}", 2.4) for n in (0, 1))
    )
    successor.use_upstreams((make_announcement("u-0"),), 0.0)
    successor.handle("e", chosen, 0.0)
    successor.use_upstreams(tuple(make_announcement(f"u-{n}") for n in range(3)), 0.1)
    (shard,) = successor.shards(0.2)
    factors = {name: item.factor for name, item in shard.upstreams.items()}
    assert factors == {"u-0": pytest.approx(2.4), "u-1": pytest.approx(2.4), "u-2": 1.0}
    (answer,) = successor.handle("e", make_place_request(), 0.2)
    assert answer.message.speed == factors[answer.message.upstream_id]


def test_factors_of_ended_upstreams_do_not_count(make_announcement, make_place_request):
    """Entry hosts remember many ended upstreams; these filled the table before running ones.

    They also made new owners of services without reported slowdowns learn and apply factors.
    """
    ended = [placement_messages.UpstreamSpeed(f"ended-{n}", 2.0) for n in range(200)]
    running = placement_messages.UpstreamSpeed("u-0", 2.4)
    for told, factor in ((ended, 1.0), ([*ended, running], 2.4)):
        successor = owner.PlacementOwner()
        chosen = placement_messages.OwnerChosen(SHARD, True, speeds=tuple(told))
        successor.handle("e", chosen, 0.0)
        successor.use_upstreams((make_announcement("u-0"),), 0.1)
        (answer,) = successor.handle("e", make_place_request(), 0.2)
        assert answer.message.speed == pytest.approx(factor)
        (decision,) = successor.drain_decisions()
        assert (decision.decision_inputs.speed is None) is (factor == 1.0)


def test_adopted_factors_are_forgotten(make_shard_owner, make_announcement):
    """Factors that wait for upstreams which never appear would be kept as long as the shard."""
    speeds = (placement_messages.UpstreamSpeed("late", 2.4),)
    for forget_at, factor in ((1.0, 2.4), (1.0 + shard_speeds.REPORT_RETENTION_S, 1.0)):
        service = make_shard_owner(count=1, slots=8)
        service.adopt_speeds(speeds, 0.0)
        service.end_overdue(forget_at)
        service.use_upstreams({"late": make_announcement("late")})
        assert service.upstreams(forget_at)["late"].factor == pytest.approx(factor)


def test_old_reports_no_longer_count_in_the_planned_slowdown(make_shard_owner, make_place_request):
    """Gaps planned for slow moments that no longer happen would hold long prompts back."""
    service = make_shard_owner(count=1, slots=8)
    speeds = shard_speeds.ShardSpeeds(service.estimator, service.load_by_id)
    (load,) = service.load_by_id.values()
    for number in range(20):
        speeds.record_report(load, report(slowdown=2.5), float(number))
    assert speeds.planned_slowdown == 2.5
    speeds.forget_old(20.0 + shard_speeds.REPORT_RETENTION_S)
    assert speeds.planned_slowdown == 1.0


def test_the_planned_slowdown_is_the_quantile_of_the_latest_reports(make_shard_owner):
    """Reports are kept in order as they come and go; a wrong removal would shift the quantile."""
    service = make_shard_owner(count=12, slots=8)
    speeds = shard_speeds.ShardSpeeds(service.estimator, service.load_by_id)
    draw, counted = random.Random(1), []
    for number in range(3 * shard_speeds.MAX_REPORTS):
        now = number * 0.026
        load = service.load_by_id[f"u-{number % 12}"]
        slowdown = draw.choice((1.0, 1.0, draw.uniform(1.0, 4.0)))
        speeds.record_report(load, report(slowdown=slowdown), now)
        counted.append((now, slowdown))
        if number % 100 == 0:
            speeds.forget_old(now)
        latest = [slowdown for _, slowdown in counted[-shard_speeds.MAX_REPORTS :]]
        planned = upstream_speed.quantile(latest, shard_speeds.PLANNED_QUANTILE)
        assert speeds.planned_slowdown == planned
    now += shard_speeds.REPORT_RETENTION_S - 5.0
    speeds.forget_old(now)
    latest = [
        slowdown
        for at, slowdown in counted[-shard_speeds.MAX_REPORTS :]
        if now - at <= shard_speeds.REPORT_RETENTION_S
    ]
    assert 0 < len(latest) < shard_speeds.MAX_REPORTS
    planned = upstream_speed.quantile(latest, shard_speeds.PLANNED_QUANTILE)
    assert speeds.planned_slowdown == planned


def test_every_factor_follows_the_median_upstream(replay):
    """A factor that kept an earlier median would compare its upstream with another usual time."""
    played = replay(engine_replay.reports(), 1)
    speeds = [load.speed for load in played.service.load_by_id.values()]
    assert all(speed.is_measured for speed in speeds)
    median = sorted(speed.learnt for speed in speeds)[(len(speeds) - 1) // 2]
    low, high = upstream_speed.FACTOR_BOUNDS
    for speed in speeds:
        assert speed.factor == min(max(speed.learnt / median, low), high)


def test_first_events_without_delay_are_no_samples(make_shard_owner, make_place_request):
    """A clock without the resolution for them made the usual time 0, and dividing by it failed."""
    service = make_shard_owner(count=1, slots=8)
    for number in range(shard_speeds.MIN_SHORT_SAMPLES + 1):
        ticket_id = f"t{number}"
        now = number * 0.1
        service.place("e", make_place_request(ticket_id, ((ticket_id, 800),), left_ms=9000.0), now)
        service.on_first_event(placement_messages.FirstEvent(ticket_id, 0.0, report(1)), now)
    assert service.upstreams(1.0)["u-0"].samples == 0


def test_a_factor_may_fall_while_metrics_are_rendered(make_shard_owner, monkeypatch):
    """Metrics are rendered in another thread; a changed time made the rendering fail."""
    seen = [None, 1.0]
    slow_since = property(lambda _: seen.pop() if seen else None, lambda *_: None)
    service = make_shard_owner(count=1, slots=8)
    monkeypatch.setattr(upstream_speed.UpstreamSpeed, "slow_since", slow_since, raising=False)
    assert service.upstreams(3.0)["u-0"].slow_for_s == 2.0


def test_operators_see_the_upstreams_of_the_shards_that_a_replica_owns(
    make_announcement, make_place_request
):
    """Slow engines showed only in the latencies of callers, who don't know where they were sent."""
    cluster = coordinator_cluster.Cluster()
    cluster.run(6.0)
    announcement = make_announcement(slots=9)
    cluster.ask("a", coordinator_types.Announce(announcement))
    cluster.run(1.0)
    upstream_id = announcement.upstream_id
    for message in (
        placement_messages.OwnerChosen(
            SHARD, True, speeds=(placement_messages.UpstreamSpeed(upstream_id, 2.0),)
        ),
        make_place_request("t", left_ms=60_000.0),
        placement_messages.FirstEvent("t", 9.0, report(3, 2.0)),
    ):
        cluster.post("a", node.MessageReceived("e", message))
    cluster.run(0.1)
    replies = [cluster.ask(name, coordinator_types.ListPlacement()) for name in ("a", "b")]
    own_format = operations_format.OwnFormat(http_port=1)
    assert own_format.decode("GET", "/v1/placement", "", b"") == coordinator_types.ListPlacement()
    shards, none = (
        json.loads(own_format.encode(reply, "/v1/placement").body)["shards"] for reply in replies
    )
    assert none == []
    found = shards[0]["upstreams"][upstream_id]
    assert (shards[0]["service"], shards[0]["index"], found["running"]) == ("engines", 0, 1)
    assert found["factor"] == pytest.approx(2.0)
    assert found["reported"] == {"running": 3, "waiting": 0, "slots": 9, "slowdown": 2.0}
    assert 1.0 < found["slowdown"] < 2.0
    assert found["slow_for_s"] >= found["report_age_s"] > 0.0
    read_metrics = cluster.host_by_id["a"].node.placement_gauges
    metrics = coordinator_metrics.CoordinatorMetrics(dict, lambda: read_metrics(cluster.time))
    text = metrics.process._render().decode()
    metrics.process.close()
    assert f'medlar_upstream_speed{{upstream="{upstream_id}"}} 2.0' in text
    assert f'medlar_unknown_runs{{upstream="{upstream_id}"}} 1.' in text


def test_operators_see_the_accounts_and_scheduled_retries_of_a_shard(make_place_request):
    """Operators could not see whose requests a shard refuses, nor whether promises are kept."""
    cluster = coordinator_cluster.Cluster()
    cluster.run(6.0)
    promise = placement_messages.RetryPromise("k", 0, 30_000.0)
    for message in (
        placement_messages.OwnerChosen(SHARD, True, promises=(promise,)),
        make_place_request("t", left_ms=60_000.0, account="a"),
    ):
        cluster.post("a", node.MessageReceived("e", message))
    cluster.run(0.1)
    reply = cluster.ask("a", coordinator_types.ListPlacement())
    body = operations_format.OwnFormat(http_port=1).encode(reply, "/v1/placement").body
    (shard,) = json.loads(body)["shards"]
    state = {"account": "a", "queued": 1, "started": 0, "refused": 0, "share": 0.0}
    assert shard["accounts"] == [state]
    assert shard["retries"] == {"outstanding": 1, "kept": 0, "missed": 0}


def test_the_log_names_the_speed_of_the_chosen_upstream(make_shard_owner, make_place_request):
    """Without it nobody can tell afterwards why a slow engine was chosen."""
    service = make_shard_owner(count=1, slots=8)
    (before,) = service.place("e", make_place_request("a"), 0.0)
    service.on_first_event(placement_messages.FirstEvent("a", 9.0, report(1, 2.0)), 0.1)
    (after,) = service.place("e", make_place_request("b"), 0.1)
    before, after = (decision_log.log_event(answer).fields for answer in (before, after))
    assert (before["speed"], before["slowdown"]) == (None, None)
    assert (after["speed"], after["slowdown"]) == (1.0, 2.0)
