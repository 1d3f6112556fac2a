"""Engine scaling: engines for a load, their spread over data centres, and scaling requests."""

import dataclasses

import pytest

from medlarfork.duties import (
    duty_types,
    engine_autoscaler,
    engine_messages,
    engine_plan,
    offered_load,
)

CallEnd = duty_types.CallEnd
SPOT_1 = engine_plan.Group("z1", True)


@pytest.fixture
def autoscaler(make_service):
    made = engine_autoscaler.EngineAutoscaler(margin=3.0)
    made.use_services((make_service(spot_price=0.6),))
    made.on_duty_acquired(started_at=-1.0, now=0.0)
    return made


def _report_load(autoscaler, make_work, engines, from_s, to_s):
    """Report a load that keeps a number of engines busy, four times per second."""
    now = from_s
    while now <= to_s:
        message = engine_messages.LoadTold(1, (make_work(engines * now * 1000.0),))
        autoscaler.update_load("r-1", message, now)
        now += 0.25


def _run_requests(autoscaler, present, now, end=CallEnd.DONE):
    """Return the requested counts by group, and end all requests."""
    requests = autoscaler.next_requests(present, now)
    for request in requests:
        autoscaler.on_call_end(request, end, now)
    return {(request.zone, request.is_spot): request.count for request in requests}


def test_load_is_measured_in_fully_busy_engines(make_work):
    load = offered_load.OfferedLoad()
    for tick in range(20):
        load.update("r-1", 1, make_work(read_ms=tick * 500.0), tick * 0.25)
        load.update("r-2", 1, make_work(read_ms=tick * 250.0), tick * 0.25)
    assert load.busy_engines(32, 4.75) == pytest.approx(3.0)


def test_slots_count_where_they_are_scarcer_than_prefill(make_work):
    load = offered_load.OfferedLoad()
    load.update("r-1", 1, make_work(0.0, requests=96), 4.5)
    load.update("r-2", 1, make_work(0.0, requests=32), 4.5)
    assert load.busy_engines(32, 4.75) == pytest.approx(4.0)


def test_a_restarted_replica_adds_no_load_by_its_new_sums(make_work):
    load = offered_load.OfferedLoad()
    load.update("r-1", 1, make_work(1_000_000.0), 0.0)
    load.update("r-1", 2, make_work(100.0), 0.2)
    load.update("r-1", 2, make_work(100.0), 0.4)
    assert load.busy_engines(32, 0.5) == 0.0


def test_a_peak_is_held_for_the_next_burst_and_no_longer(make_work):
    load = offered_load.OfferedLoad()
    load.update("r-1", 1, make_work(0.0), 0.0)
    load.update("r-1", 1, make_work(8_000.0), 0.25)
    assert load.peak_engines(32, 0.5) == pytest.approx(8.0)
    assert load.peak_engines(32, offered_load.PEAK_HOLD_S) == pytest.approx(8.0)
    assert load.peak_engines(32, offered_load.PEAK_HOLD_S + 1.0) == 0.0


def test_spot_engines_are_spread_evenly_and_each_data_centre_keeps_one_on_demand(
    make_scaling, make_fleet
):
    counts = engine_plan.plan(make_scaling(), 30, make_fleet((1, 9), (1, 9), (1, 9)))
    assert [counts[engine_plan.Group(zone, True)] for zone in ("z1", "z2", "z3")] == [9, 9, 9]
    assert [counts[engine_plan.Group(zone, False)] for zone in ("z1", "z2", "z3")] == [1, 1, 1]


def test_on_demand_engines_stop_only_once_spot_engines_serve(make_scaling, make_fleet):
    """Otherwise the change itself would remove capacity that the load needs."""
    before = engine_plan.plan(make_scaling(), 30, make_fleet((10, 0), (10, 0), (10, 0)))
    assert sum(count for group, count in before.items() if not group.is_spot) == 30
    midway = engine_plan.plan(make_scaling(), 30, make_fleet((10, 5), (10, 5), (10, 5)))
    assert sum(count for group, count in midway.items() if not group.is_spot) == 15
    after = engine_plan.plan(make_scaling(), 30, make_fleet((10, 9), (10, 9), (10, 9)))
    assert sum(count for group, count in after.items() if not group.is_spot) == 3


def test_reclaimed_spot_engines_are_replaced_by_other_spot_and_on_demand_engines(
    make_scaling, make_fleet
):
    everywhere = [engine_plan.Group(zone, True) for zone in ("z1", "z2", "z3")]
    fleet = make_fleet((1, 0), (1, 9), (1, 9), unavailable=everywhere)
    counts = engine_plan.plan(make_scaling(), 30, fleet)
    assert sum(count for group, count in counts.items() if not group.is_spot) >= 3
    one = make_fleet((1, 0), (1, 9), (1, 9), unavailable=everywhere[:1])
    counts = engine_plan.plan(make_scaling(), 30, one)
    assert counts.get(SPOT_1, 0) == 0
    assert counts[engine_plan.Group("z2", True)] + counts[engine_plan.Group("z3", True)] == 27


def test_spot_engines_reclaimed_at_low_load_are_not_replaced_by_on_demand_engines(
    make_scaling, make_fleet
):
    """Otherwise 19 on-demand engines are requested for an old peak, at 4.5 times the price."""
    spot_lost = make_fleet((1, 19), (1, 19), (1, 0), unavailable=[engine_plan.Group("z3", True)])
    low_load = engine_plan.plan(make_scaling(), 60, _with_urgent(spot_lost, 30))
    assert sum(count for group, count in low_load.items() if not group.is_spot) == 3
    high_load = engine_plan.plan(make_scaling(), 60, _with_urgent(spot_lost, 55))
    assert sum(count for group, count in high_load.items() if not group.is_spot) == 17


def test_each_data_centre_stays_within_its_limits(make_scaling, make_fleet):
    fleet = make_fleet((10, 0), (10, 0), (10, 0))
    for wanted in (0, 3, 50, 500):
        counts = engine_plan.plan(make_scaling(least=2, most=12), wanted, fleet)
        for zone in ("z1", "z2", "z3"):
            kinds = [counts.get(engine_plan.Group(zone, spot), 0) for spot in (False, True)]
            assert 2 <= sum(kinds) <= 12


def test_without_spot_engines_the_cheapest_data_centre_comes_first(make_scaling, make_fleet):
    fleet = make_fleet((1, 0), (1, 0), (1, 0))
    counts = engine_plan.plan(make_scaling(spot_price=0.0), 12, fleet)
    assert counts[engine_plan.Group("z2", False)] == 10
    assert sum(counts.values()) == 12


def test_nothing_is_requested_before_running_engines_have_announced_themselves(
    autoscaler, make_announcements
):
    assert autoscaler.next_requests(make_announcements((1, 0), (0, 0), (0, 0)), 1.0) == ()


def test_running_engines_are_kept_until_the_load_is_known(autoscaler, make_announcements):
    requests = _run_requests(autoscaler, make_announcements((10, 0), (10, 0), (10, 0)), 4.0)
    assert sum(count for (_, is_spot), count in requests.items() if is_spot) == 27


def test_twice_as_many_engines_are_planned_until_the_load_is_known_if_spot_is_cheap(
    autoscaler, make_service, make_announcements
):
    """A burst may come 3.6 s after the first request, and its engines only 5 s later."""
    autoscaler.use_services((make_service(spot_price=0.2),))
    present, now = make_announcements((10, 0), (10, 0), (10, 0)), 4.0
    requests = _run_requests(autoscaler, present, now)
    assert [requests[zone, True] for zone in ("z1", "z2", "z3")] == [10, 10, 10]
    assert [requests[zone, False] for zone in ("z1", "z2", "z3")] == [10, 10, 10]
    present = make_announcements((10, 10), (10, 10), (10, 10))
    on_demand = _run_requests(autoscaler, present, 9.0)
    assert [on_demand[zone, False] for zone in ("z1", "z2", "z3")] == [1, 1, 1]
    rest = _run_requests(autoscaler, present, 9.3)
    assert [rest[zone, True] for zone in ("z1", "z2", "z3")] == [19, 19, 19]


def test_a_long_running_replica_makes_requests_as_soon_as_it_has_the_duty(
    autoscaler, make_announcements
):
    autoscaler.on_duty_acquired(started_at=-60.0, now=0.0)
    assert autoscaler.next_requests(make_announcements((10, 0), (10, 0), (10, 0)), 0.1)


def test_a_new_holder_does_not_double_what_the_previous_one_requested(
    autoscaler, make_service, make_announcements
):
    """Otherwise, with 44 needed, 88 engines run for 20 s after each change of the holder."""
    autoscaler.use_services((make_service(spot_price=0.2),))
    autoscaler.on_duty_acquired(started_at=-60.0, now=0.0)
    requests = _run_requests(autoscaler, make_announcements((1, 14), (1, 14), (1, 13)), 0.1)
    assert sum(requests.values()) <= 44 + 3


def test_a_new_holder_replaces_no_engines_that_the_load_does_not_need(
    autoscaler, make_announcements, make_work
):
    """It knows the load within a second, and must not keep on-demand engines for 20 s anyway."""
    autoscaler.on_duty_acquired(started_at=-60.0, now=0.0)
    _report_load(autoscaler, make_work, 8.0, 0.0, 5.0)
    all_running = make_announcements((1, 19), (1, 19), (1, 19))
    _run_requests(autoscaler, all_running, 0.1)
    _run_requests(autoscaler, all_running, 5.0)
    spot_lost, on_demand, now = make_announcements((1, 19), (1, 19), (1, 0)), [], 5.25
    while now < 10.0:
        _report_load(autoscaler, make_work, 8.0, now, now)
        for request in autoscaler.next_requests(spot_lost, now):
            is_exhausted = request.zone == "z3" and request.is_spot
            autoscaler.on_call_end(request, CallEnd.REFUSED if is_exhausted else CallEnd.DONE, now)
            on_demand += [] if request.is_spot else [request.count]
        now += 0.25
    assert max(on_demand, default=1) == 1


def test_more_engines_are_requested_for_a_burst_and_fewer_long_after_it(
    autoscaler, make_announcements, make_work
):
    present = make_announcements((1, 9), (1, 9), (1, 9))
    _run_requests(autoscaler, present, 4.0)
    _report_load(autoscaler, make_work, 5.0, 0.0, 10.0)
    _report_load(autoscaler, make_work, 16.0, 10.25, 12.0)
    requests = _run_requests(autoscaler, present, 12.0)
    assert sum(requests.values()) >= 3.0 * 16.0 - 3 - 1
    _report_load(autoscaler, make_work, 2.0, 12.25, 12.5)
    peak_expired_at = 12.5 + offered_load.PEAK_HOLD_S + offered_load.AVERAGING_WINDOW_S
    requests = _run_requests(
        autoscaler, make_announcements((1, 15), (1, 15), (1, 15)), peak_expired_at
    )
    assert all(count < 15 for (_, is_spot), count in requests.items() if is_spot)


def test_a_request_is_made_once_and_repeated_if_engines_are_missing(autoscaler, make_announcements):
    present = make_announcements((10, 0), (10, 0), (10, 0))
    assert _run_requests(autoscaler, present, 4.0)
    assert _run_requests(autoscaler, present, 5.0) == {}
    assert _run_requests(autoscaler, present, 8.9) == {}
    assert set(_run_requests(autoscaler, present, 9.6)) == {
        ("z1", True),
        ("z2", True),
        ("z3", True),
    }


def test_an_unavailable_group_is_replaced_by_others_and_retried_after_a_delay(
    autoscaler, make_announcements
):
    present = make_announcements((1, 9), (1, 9), (1, 9))
    _run_requests(autoscaler, present, 4.0)
    assert _run_requests(autoscaler, present, 4.5) == {}
    spot_lost = make_announcements((1, 0), (1, 9), (1, 9))
    (request,) = autoscaler.next_requests(spot_lost, 5.0)
    assert (request.zone, request.is_spot) == ("z1", True)
    autoscaler.on_call_end(request, CallEnd.REFUSED, 5.0)
    requests = _run_requests(autoscaler, spot_lost, 5.3)
    assert requests[("z2", True)] + requests[("z3", True)] == 27
    later = 5.0 + engine_autoscaler.UNAVAILABLE_RETRY_S + 0.1
    assert ("z1", True) in _run_requests(autoscaler, spot_lost, later)


def test_a_request_without_an_answer_is_retried_soon(autoscaler, make_announcements):
    present = make_announcements((10, 0), (10, 0), (10, 0))
    first = _run_requests(autoscaler, present, 4.0, end=CallEnd.UNKNOWN)
    assert _run_requests(autoscaler, present, 4.0 + engine_autoscaler.FAILED_RETRY_S) == first


def test_requested_engines_are_not_cancelled_before_they_serve(
    autoscaler, make_announcements, make_work
):
    """Spot engines of a data centre are reclaimed, and none are available there for ten seconds.

    The on-demand engines that replace them must not be requested and cancelled every two seconds,
    which is shorter than an engine's start: ``count=20 spot=false``, ``count=1 spot=false``,
    ``count=20 spot=false``.
    """
    _run_requests(autoscaler, make_announcements((1, 18), (1, 18), (1, 18)), 4.0)
    _run_requests(autoscaler, make_announcements((1, 18), (1, 18), (1, 18)), 4.5)
    spot_lost = make_announcements((1, 0), (1, 18), (1, 18))
    count_by_zone = {}
    now = 5.0
    while now < 15.0:
        # An overload that needs all engines.
        _report_load(autoscaler, make_work, 19.0, now, now)
        for request in autoscaler.next_requests(spot_lost, now):
            is_exhausted = request.zone == "z1" and request.is_spot
            autoscaler.on_call_end(request, CallEnd.REFUSED if is_exhausted else CallEnd.DONE, now)
            if not request.is_spot:
                assert request.count >= count_by_zone.get(request.zone, 0)
                count_by_zone[request.zone] = request.count
        now += 0.25
    assert sum(count_by_zone.values()) > 0


def test_in_a_full_data_centre_on_demand_engines_stop_first_and_only_if_the_load_allows(
    make_scaling, make_fleet
):
    """Spot engines requested beside 20 on-demand engines have no room and start 5 s late.

    Until then a third of the engines would be missing, possibly during the next burst.
    """
    counts = ((1, 19), (1, 19), (20, 0))
    low_load = engine_plan.plan(make_scaling(), 60, _with_urgent(make_fleet(*counts), 30))
    assert low_load[engine_plan.Group("z3", True)] == 19
    high_load = engine_plan.plan(make_scaling(), 60, _with_urgent(make_fleet(*counts), 45))
    assert high_load[engine_plan.Group("z3", False)] == 20
    assert high_load[engine_plan.Group("z3", True)] == 0


def test_data_centres_switch_to_spot_one_by_one_if_the_load_needs_the_others(
    make_scaling, make_fleet
):
    full = make_fleet((20, 0), (20, 0), (20, 0))
    counts = engine_plan.plan(make_scaling(), 60, _with_urgent(full, 40))
    # The most expensive data centre switches first.
    assert [counts[engine_plan.Group(zone, True)] for zone in ("z1", "z2", "z3")] == [0, 0, 19]


def test_a_request_leaves_room_for_running_engines_of_the_other_kind(
    autoscaler, make_announcements
):
    """The platform would cut a larger request short and not add the rest when they are gone."""
    present = make_announcements((15, 0), (15, 0), (15, 0))
    first = _run_requests(autoscaler, present, 4.0)
    assert all(count <= 5 for (_, is_spot), count in first.items() if is_spot)


def _with_urgent(fleet, engines):
    return dataclasses.replace(fleet, urgent=engines)
