"""When a host takes a service for unreachable, and which upstreams it probes."""

import pytest

from medlarfork.http import upstream_reachability

PERIOD_S = upstream_reachability.RECOVERY_PERIOD_S


@pytest.fixture
def make_reachability():
    """Return a factory of a host's state, given the number of upstreams of each service."""

    def make(**counts):
        made = upstream_reachability.UpstreamReachability("e-1")
        made.use_addresses(
            {service: [f"{service}:{n}" for n in range(count)] for service, count in counts.items()}
        )
        return made

    return make


def fail(reachability, service, count, now=0.0):
    """Let connecting fail at some upstreams; return whether the last one changed the state."""
    return [reachability.record_failure(f"{service}:{n}", now) for n in range(count)][-1]


@pytest.mark.parametrize(("upstreams", "needed"), [(1, 1), (2, 2), (3, 3), (4, 4), (9, 4)])
def test_a_service_is_unreachable_once_enough_different_upstreams_have_failed(
    make_reachability, upstreams, needed
):
    reachability = make_reachability(engines=upstreams, desk=1)
    for _ in range(3):
        assert not fail(reachability, "engines", needed - 1) if needed > 1 else True
    assert fail(reachability, "engines", needed)
    assert reachability.unreachable_services == ("engines",)
    assert not reachability.is_cut_off
    assert fail(reachability, "desk", 1)
    assert reachability.is_cut_off


# Guards against: hosts that forward to each other, and refuse, while crashed upstreams of a service
# refuse connections and a few others still serve.
@pytest.mark.parametrize(("upstreams", "needed"), [(2, 2), (6, 6), (12, 12), (40, 12)])
def test_refusals_of_crashed_upstreams_make_a_service_unreachable_only_if_nearly_all_refuse(
    make_reachability, upstreams, needed
):
    reachability = make_reachability(engines=upstreams)
    results = [
        reachability.record_failure(f"engines:{number}", 0.1 * number, is_refusal=True)
        for number in range(needed)
    ]
    assert results == [False] * (needed - 1) + [True]


def test_a_refusal_after_an_unanswered_attempt_still_counts_as_unanswered(make_reachability):
    reachability = make_reachability(engines=9)
    for number in range(4):
        reachability.record_failure(f"engines:{number}", 0.0, is_refusal=number == 3)
        reachability.record_failure(f"engines:{number}", 0.0, is_refusal=True)
    assert not reachability.is_unreachable("engines")
    assert reachability.record_failure("engines:4", 0.1)


def test_an_accepted_connection_shows_that_the_others_have_failed_themselves(make_reachability):
    reachability = make_reachability(engines=6)
    fail(reachability, "engines", 3)
    assert not reachability.record_connected("engines:5", 0.1)
    assert not reachability.record_failure("engines:3", 0.2)
    assert reachability.unreachable_services == ()


def test_failures_far_apart_do_not_add_up(make_reachability):
    reachability = make_reachability(engines=3)
    later = upstream_reachability.FAILURE_WINDOW_S + 0.1
    fail(reachability, "engines", 2)
    assert not reachability.record_failure("engines:2", later)


def test_one_failed_upstream_causes_no_probe_and_two_cause_one_at_each_service(make_reachability):
    reachability = make_reachability(engines=6, desk=2)
    fail(reachability, "engines", 1)
    assert reachability.next_probe(0.0) == ""
    fail(reachability, "engines", 2)
    probed = []
    while address := reachability.next_probe(0.1):
        probed.append(address.partition(":")[0])
        reachability.record_connected(address, 0.1)
    assert sorted(probed) == ["desk", "engines"]


def test_silence_during_an_attempt_leads_to_probes_until_every_service_is_unreachable(
    make_reachability,
):
    reachability = make_reachability(engines=3, desk=1)
    reachability.record_received(0.9)
    reachability.begin_attempt("t-1", 1.0)
    assert reachability.next_probe(1.3) == ""
    for _ in range(4):
        reachability.record_failure(reachability.next_probe(1.5), 1.5)
    assert reachability.is_cut_off
    assert reachability.next_probe(1.6) == ""


@pytest.mark.parametrize("kind", ["idle", "bytes", "trusted"])
def test_no_probe_without_an_attempt_while_bytes_arrive_or_just_after_an_accepted_one(
    make_reachability, kind
):
    reachability = make_reachability(engines=3)
    if kind != "idle":
        reachability.begin_attempt("t-1", 0.0)
    if kind == "bytes":
        reachability.record_received(0.7)
    if kind == "trusted":
        reachability.record_connected("engines:1", 0.2)
    assert reachability.next_probe(1.0) == ""


def test_an_unreachable_service_is_probed_periodically_until_one_connection_is_accepted(
    make_reachability,
):
    reachability = make_reachability(engines=3)
    fail(reachability, "engines", 3)
    probes = []
    for step in range(40):
        address = reachability.next_probe(step * 0.1)
        if address:
            probes.append(address)
            reachability.record_failure(address, step * 0.1)
    assert len(probes) == pytest.approx(4.0 / PERIOD_S, abs=1)
    assert len(set(probes)) == 3
    assert reachability.record_connected("engines:0", 4.0)
    assert reachability.unreachable_services == ()


def test_a_service_whose_upstreams_have_gone_is_not_unreachable(make_reachability):
    reachability = make_reachability(engines=2)
    fail(reachability, "engines", 2)
    reachability.use_addresses({})
    assert reachability.unreachable_services == ()
    assert not reachability.is_cut_off
