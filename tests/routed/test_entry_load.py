"""Load of an entry host and its admission, replayed with a model of the host's processor."""

import collections
import random

import pytest

from medlarfork.gateway import entry_load, gateway_settings

STEP_S = 0.5
QUIET = {"processor_s": 0.1, "lag_s": 0.002, "descriptors": 100, "requests": 20}


@pytest.fixture
def make_load():
    """Return a factory of the load of a host with the sizes of the smallest ones."""

    def make(**changes):
        sizes = {"cores": 0.387, "memory_mb": 160.0, "max_descriptors": 1638, "link_mbps": 3.75}
        settings = gateway_settings.GatewaySettings("e", "z", "", "", 1, 2, (), **sizes | changes)
        return entry_load.EntryLoad(settings, 0.0)

    return make


def _record(load, now, **changes):
    return load.record(entry_load.Sample(STEP_S, **QUIET | changes), now)


def _replay(load, rate, *, seconds, start_s=0.0):
    """Replay arrivals on a host that carries 20 a second; return them by tier and result."""
    draw = random.Random(7)
    results = collections.Counter()
    for step in range(round(seconds / STEP_S)):
        now = start_s + step * STEP_S
        step_results = collections.Counter()
        for _ in range(round(rate * STEP_S)):
            tier = draw.choice((0, 1, 1, 2, 2))
            cause = load.refusal_cause(tier, 20)
            step_results[tier, cause is None] += 1
        results += step_results
        for tier in (0, 1):
            # Counts change between two arrivals, so that one of a lower tier may be admitted.
            assert not step_results[tier, False] or step_results[2, True] <= 1
        admitted = sum(step_results[tier, True] for tier in (0, 1, 2))
        used = 0.387 * min(admitted / 20.0, STEP_S)
        _record(load, now + STEP_S, processor_s=used)
    return results


def _refused(results):
    return {tier: count for (tier, is_admitted), count in results.items() if not is_admitted}


# Guards against: capacities that ignore the link or the processor, whichever is smaller.
@pytest.mark.parametrize(
    ("sizes", "capacity"),
    [
        ({}, 0.375),
        ({"cores": 1.29, "link_mbps": 1000.0}, 1.29),
        ({"cores": 0.0}, 0.375),
        ({"cores": 0.0, "link_mbps": 0.0}, 0.0),
    ],
)
def test_capacity_is_the_smaller_of_processor_and_link(make_load, sizes, capacity):
    assert make_load(**sizes).capacity == pytest.approx(capacity)


# Guards against: a shortage that doesn't show in the utilisation that replicas see.
@pytest.mark.parametrize(
    ("shortage", "cause"),
    [
        ({"processor_s": 0.19}, "processor"),
        ({"lag_s": 0.12}, "lag"),
        ({"requests": 480}, "requests"),
        ({"descriptors": 1600}, "descriptors"),
    ],
)
def test_each_shortage_makes_the_host_overloaded_until_it_has_passed(make_load, shortage, cause):
    load = make_load()
    changes = [_record(load, now, **shortage) for now in range(12, 20)]
    assert changes.count(True) == 1
    assert (load.is_overloaded, load.cause) == (True, cause)
    assert load.utilisation >= 0.9
    changes = [_record(load, now) for now in range(20, 28)]
    assert changes.count(True) == 1
    assert not load.is_overloaded


# Guards against: requests refused after a restart, when imports and the first burst take all of the
# processor for seconds, and in bursts of the usual length.
def test_nothing_is_refused_after_a_start_or_in_a_short_burst(make_load):
    load = make_load()
    results = _replay(load, 60.0, seconds=entry_load.WARM_UP_S)
    results += _replay(load, 12.0, seconds=20.0, start_s=10.0)
    results += _replay(load, 60.0, seconds=entry_load.SUSTAINED_S, start_s=30.0)
    results += _replay(load, 14.0, seconds=60.0, start_s=34.0)
    assert _refused(results) == {}


# Guards against: requests of a higher tier refused while ones of a lower tier are admitted, and
# more refused than the host can't carry.
@pytest.mark.parametrize("rate", [26.0, 40.0])
def test_a_sustained_overload_refuses_the_lowest_tiers_first(make_load, rate):
    load = make_load()
    _replay(load, 10.0, seconds=12.0)
    _replay(load, rate, seconds=20.0, start_s=12.0)
    results = _replay(load, rate, seconds=30.0, start_s=32.0)
    refused = _refused(results)
    assert refused.get(0, 0) == 0
    assert refused[2] > 0
    admitted = sum(count for (_, is_admitted), count in results.items() if is_admitted)
    assert 0.65 * 20.0 * 30.0 <= admitted <= 20.0 * 30.0
    after = _replay(load, 10.0, seconds=20.0, start_s=62.0)
    assert _refused(after).get(0, 0) == 0
    assert _refused(_replay(load, 10.0, seconds=20.0, start_s=82.0)) == {}


# Guards against: a host that goes on refusing requests although it is no longer overloaded.
@pytest.mark.parametrize("share", [0.1, 0.65, 0.85])
def test_all_requests_are_admitted_again_after_an_overload(make_load, share):
    load = make_load()
    for now in range(12, 40):
        _record(load, now, processor_s=0.3)
    assert load.must_check(20)
    for now in range(40, 46):
        _record(load, now, processor_s=0.05)
    assert not load.is_overloaded
    for now in range(46, 86):
        _record(load, now, processor_s=share * 0.387 * STEP_S)
    assert not load.is_overloaded
    assert not load.must_check(20)
    assert [load.refusal_cause(tier, 20) for tier in (0, 2, 9)] == [None] * 3


# Guards against: a process that is killed because its requests exceed its memory.
def test_requests_in_progress_are_bounded_by_memory_with_the_lowest_tiers_first(make_load):
    load = make_load()
    limits = [
        next(count for count in range(1, 5000) if load.refusal_cause(tier, count)) - 1
        for tier in (0, 1, 2, 9)
    ]
    assert limits == sorted(limits, reverse=True)
    assert len(set(limits)) == 4
    memory_bytes = entry_load.BASE_MB * 1e6 + limits[0] * entry_load.REQUEST_BYTES
    assert memory_bytes <= 160e6
    # All requests that a starting host holds fit, and descriptors remain for upstreams.
    assert limits[-1] >= 400
    assert not load.must_check(limits[-1] // 2)
    settings = gateway_settings.GatewaySettings("e", "z", "", "", 1, 2, (), max_descriptors=1638)
    assert entry_load.max_connections(settings, 4096) == 1228


# Guards against: a host without stated sizes that refuses requests.
def test_a_size_that_is_not_stated_has_no_effect(make_load):
    load = make_load(cores=0.0, memory_mb=0.0, max_descriptors=0)
    for now in range(12, 30):
        _record(load, now, processor_s=50.0, requests=90_000, descriptors=90_000)
    assert load.refusal_cause(9, 90_000) is None
    assert not load.is_overloaded


# Guards against: requests that are refused because another process delays the event loop.
def test_lag_without_own_load_refuses_nothing(make_load):
    load = make_load()
    for second in range(1, 60):
        _record(load, float(second), lag_s=0.5)
    assert load.is_overloaded
    assert not load.must_check(1)
