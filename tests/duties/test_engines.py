"""Ordering engines: what load needs, how engines are spread, and which order is given when."""

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
def duty(make_service):
    made = engine_autoscaler.EngineAutoscaler(margin=3.0)
    made.use_services((make_service(spot_price=0.6),))
    made.on_duty_acquired(started_at=-1.0, now=0.0)
    return made


def _offer(duty, make_work, engines, from_s, to_s):
    """Offer what keeps a number of engines busy, told four times a second."""
    now = from_s
    while now <= to_s:
        told = engine_messages.LoadTold(1, (make_work(engines * now * 1000.0),))
        duty.update_load("r-1", told, now)
        now += 0.25


def _carry_out(duty, present, now, end=CallEnd.DONE):
    """Return the orders that are due, by group, and end them all."""
    orders = duty.next_requests(present, now)
    for order in orders:
        duty.on_call_end(order, end, now)
    return {(order.zone, order.is_spot): order.count for order in orders}


def test_load_is_measured_in_fully_busy_engines(make_work):
    load = offered_load.OfferedLoad()
    for tick in range(20):
        load.take("r-1", 1, make_work(read_ms=tick * 500.0), tick * 0.25)
        load.take("r-2", 1, make_work(read_ms=tick * 250.0), tick * 0.25)
    assert load.engines(32, 4.75) == pytest.approx(3.0)


def test_slots_count_where_they_are_scarcer_than_prefill(make_work):
    load = offered_load.OfferedLoad()
    load.take("r-1", 1, make_work(0.0, requests=96), 4.5)
    load.take("r-2", 1, make_work(0.0, requests=32), 4.5)
    assert load.engines(32, 4.75) == pytest.approx(4.0)


def test_a_restarted_replica_adds_no_load_by_its_new_sums(make_work):
    load = offered_load.OfferedLoad()
    load.take("r-1", 1, make_work(1_000_000.0), 0.0)
    load.take("r-1", 2, make_work(100.0), 0.2)
    load.take("r-1", 2, make_work(100.0), 0.4)
    assert load.engines(32, 0.5) == 0.0


def test_a_peak_is_held_for_the_next_burst_and_no_longer(make_work):
    load = offered_load.OfferedLoad()
    load.take("r-1", 1, make_work(0.0), 0.0)
    load.take("r-1", 1, make_work(8_000.0), 0.25)
    assert load.peak(32, 0.5) == pytest.approx(8.0)
    assert load.peak(32, offered_load.PEAK_HOLD_S) == pytest.approx(8.0)
    assert load.peak(32, offered_load.PEAK_HOLD_S + 1.0) == 0.0


def test_spot_engines_are_spread_evenly_and_each_data_centre_keeps_one_on_demand(
    make_scaling, make_fleet
):
    held = engine_plan.plan(make_scaling(), 30, make_fleet((1, 9), (1, 9), (1, 9)))
    assert [held[engine_plan.Group(zone, True)] for zone in ("z1", "z2", "z3")] == [9, 9, 9]
    assert [held[engine_plan.Group(zone, False)] for zone in ("z1", "z2", "z3")] == [1, 1, 1]


def test_on_demand_engines_stop_only_once_spot_engines_serve(make_scaling, make_fleet):
    """Else the change itself would take away what the load needs."""
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
    held = engine_plan.plan(make_scaling(), 30, fleet)
    assert sum(count for group, count in held.items() if not group.is_spot) >= 3
    one = make_fleet((1, 0), (1, 9), (1, 9), unavailable=everywhere[:1])
    held = engine_plan.plan(make_scaling(), 30, one)
    assert held.get(SPOT_1, 0) == 0
    assert held[engine_plan.Group("z2", True)] + held[engine_plan.Group("z3", True)] == 27


def test_spot_engines_reclaimed_at_low_load_are_not_replaced_by_on_demand_engines(
    make_scaling, make_fleet
):
    """On a quiet day 19 were ordered for a peak of long ago, at 4.5 times the price."""
    lost = make_fleet((1, 19), (1, 19), (1, 0), unavailable=[engine_plan.Group("z3", True)])
    calm = engine_plan.plan(make_scaling(), 60, _urgent(lost, 30))
    assert sum(count for group, count in calm.items() if not group.is_spot) == 3
    pressed = engine_plan.plan(make_scaling(), 60, _urgent(lost, 55))
    assert sum(count for group, count in pressed.items() if not group.is_spot) == 17


def test_each_data_centre_stays_within_its_limits(make_scaling, make_fleet):
    fleet = make_fleet((10, 0), (10, 0), (10, 0))
    for wanted in (0, 3, 50, 500):
        held = engine_plan.plan(make_scaling(least=2, most=12), wanted, fleet)
        for zone in ("z1", "z2", "z3"):
            kinds = [held.get(engine_plan.Group(zone, spot), 0) for spot in (False, True)]
            assert 2 <= sum(kinds) <= 12


def test_without_spot_engines_the_cheapest_data_centre_comes_first(make_scaling, make_fleet):
    fleet = make_fleet((1, 0), (1, 0), (1, 0))
    held = engine_plan.plan(make_scaling(spot_price=0.0), 12, fleet)
    assert held[engine_plan.Group("z2", False)] == 10
    assert sum(held.values()) == 12


def test_nothing_is_requested_before_running_engines_have_announced_themselves(duty, make_present):
    assert duty.next_requests(make_present((1, 0), (0, 0), (0, 0)), 1.0) == ()


def test_running_engines_are_kept_until_the_load_is_known(duty, make_present):
    orders = _carry_out(duty, make_present((10, 0), (10, 0), (10, 0)), 4.0)
    assert sum(count for (_, is_spot), count in orders.items() if is_spot) == 27


def test_twice_as_many_engines_are_planned_until_the_load_is_known_if_spot_is_cheap(
    duty, make_service, make_present
):
    """A burst came 3.6 s after the first request, and the engines for it 5 s later."""
    duty.use_services((make_service(spot_price=0.2),))
    present, now = make_present((10, 0), (10, 0), (10, 0)), 4.0
    orders = _carry_out(duty, present, now)
    assert [orders[zone, True] for zone in ("z1", "z2", "z3")] == [10, 10, 10]
    assert [orders[zone, False] for zone in ("z1", "z2", "z3")] == [10, 10, 10]
    present = make_present((10, 10), (10, 10), (10, 10))
    staying = _carry_out(duty, present, 9.0)
    assert [staying[zone, False] for zone in ("z1", "z2", "z3")] == [1, 1, 1]
    rest = _carry_out(duty, present, 9.3)
    assert [rest[zone, True] for zone in ("z1", "z2", "z3")] == [19, 19, 19]


def test_a_long_running_replica_makes_requests_as_soon_as_it_has_the_duty(duty, make_present):
    duty.on_duty_acquired(started_at=-60.0, now=0.0)
    assert duty.next_requests(make_present((10, 0), (10, 0), (10, 0)), 0.1)


def test_a_new_holder_does_not_double_what_the_previous_one_requested(
    duty, make_service, make_present
):
    """With 44 wanted by the load, 88 were held for 20 s after each change of the holder."""
    duty.use_services((make_service(spot_price=0.2),))
    duty.on_duty_acquired(started_at=-60.0, now=0.0)
    orders = _carry_out(duty, make_present((1, 14), (1, 14), (1, 13)), 0.1)
    assert sum(orders.values()) <= 44 + 3


def test_a_new_holder_replaces_no_engines_that_the_load_does_not_need(
    duty, make_present, make_work
):
    """It was told the load within a second, and held dear engines for 20 s all the same."""
    duty.on_duty_acquired(started_at=-60.0, now=0.0)
    _offer(duty, make_work, 8.0, 0.0, 5.0)
    whole = make_present((1, 19), (1, 19), (1, 19))
    _carry_out(duty, whole, 0.1)
    _carry_out(duty, whole, 5.0)
    lost, staying, now = make_present((1, 19), (1, 19), (1, 0)), [], 5.25
    while now < 10.0:
        _offer(duty, make_work, 8.0, now, now)
        for order in duty.next_requests(lost, now):
            is_dry = order.zone == "z3" and order.is_spot
            duty.on_call_end(order, CallEnd.REFUSED if is_dry else CallEnd.DONE, now)
            staying += [] if order.is_spot else [order.count]
        now += 0.25
    assert max(staying, default=1) == 1


def test_more_engines_are_requested_for_a_burst_and_fewer_long_after_it(
    duty, make_present, make_work
):
    present = make_present((1, 9), (1, 9), (1, 9))
    _carry_out(duty, present, 4.0)
    _offer(duty, make_work, 5.0, 0.0, 10.0)
    _offer(duty, make_work, 16.0, 10.25, 12.0)
    orders = _carry_out(duty, present, 12.0)
    assert sum(orders.values()) >= 3.0 * 16.0 - 3 - 1
    _offer(duty, make_work, 2.0, 12.25, 12.5)
    calm = 12.5 + offered_load.PEAK_HOLD_S + offered_load.AVERAGING_WINDOW_S
    orders = _carry_out(duty, make_present((1, 15), (1, 15), (1, 15)), calm)
    assert all(count < 15 for (_, is_spot), count in orders.items() if is_spot)


def test_a_request_is_made_once_and_repeated_if_engines_are_missing(duty, make_present):
    present = make_present((10, 0), (10, 0), (10, 0))
    assert _carry_out(duty, present, 4.0)
    assert _carry_out(duty, present, 5.0) == {}
    assert _carry_out(duty, present, 8.9) == {}
    assert set(_carry_out(duty, present, 9.6)) == {("z1", True), ("z2", True), ("z3", True)}


def test_an_unavailable_group_is_replaced_by_others_and_retried_after_a_delay(duty, make_present):
    present = make_present((1, 9), (1, 9), (1, 9))
    _carry_out(duty, present, 4.0)
    assert _carry_out(duty, present, 4.5) == {}
    lost = make_present((1, 0), (1, 9), (1, 9))
    (order,) = duty.next_requests(lost, 5.0)
    assert (order.zone, order.is_spot) == ("z1", True)
    duty.on_call_end(order, CallEnd.REFUSED, 5.0)
    orders = _carry_out(duty, lost, 5.3)
    assert orders[("z2", True)] + orders[("z3", True)] == 27
    later = 5.0 + engine_autoscaler.UNAVAILABLE_RETRY_S + 0.1
    assert ("z1", True) in _carry_out(duty, lost, later)


def test_a_request_without_an_answer_is_retried_soon(duty, make_present):
    present = make_present((10, 0), (10, 0), (10, 0))
    first = _carry_out(duty, present, 4.0, end=CallEnd.UNKNOWN)
    assert _carry_out(duty, present, 4.0 + engine_autoscaler.FAILED_RETRY_S) == first


def test_requested_engines_are_not_cancelled_before_they_serve(duty, make_present, make_work):
    """Cheap engines of a data centre are taken back, and none are to be had there for ten seconds.

    Others were ordered in their place and given up again every two seconds, sooner than an engine
    starts: ``count=20 spot=false``, ``count=1 spot=false``, ``count=20 spot=false``.
    """
    _carry_out(duty, make_present((1, 18), (1, 18), (1, 18)), 4.0)
    _carry_out(duty, make_present((1, 18), (1, 18), (1, 18)), 4.5)
    lost = make_present((1, 0), (1, 18), (1, 18))
    count_by_zone = {}
    now = 5.0
    while now < 15.0:
        # An overload that needs all engines.
        _offer(duty, make_work, 19.0, now, now)
        for order in duty.next_requests(lost, now):
            is_dry = order.zone == "z1" and order.is_spot
            duty.on_call_end(order, CallEnd.REFUSED if is_dry else CallEnd.DONE, now)
            if not order.is_spot:
                assert order.count >= count_by_zone.get(order.zone, 0)
                count_by_zone[order.zone] = order.count
        now += 0.25
    assert sum(count_by_zone.values()) > 0


def test_in_a_full_data_centre_on_demand_engines_stop_first_and_only_if_the_load_allows(
    make_scaling, make_fleet
):
    """Cheap ones were ordered beside 20 that stay, for which there was no room, and came 5 s late.

    Until then a third of the engines was missing, in the middle of the next burst.
    """
    counts = ((1, 19), (1, 19), (20, 0))
    calm = engine_plan.plan(make_scaling(), 60, _urgent(make_fleet(*counts), 30))
    assert calm[engine_plan.Group("z3", True)] == 19
    pressed = engine_plan.plan(make_scaling(), 60, _urgent(make_fleet(*counts), 45))
    assert pressed[engine_plan.Group("z3", False)] == 20
    assert pressed[engine_plan.Group("z3", True)] == 0


def test_data_centres_switch_to_spot_one_by_one_if_the_load_needs_the_others(
    make_scaling, make_fleet
):
    full = make_fleet((20, 0), (20, 0), (20, 0))
    held = engine_plan.plan(make_scaling(), 60, _urgent(full, 40))
    # The one that costs most goes first.
    assert [held[engine_plan.Group(zone, True)] for zone in ("z1", "z2", "z3")] == [0, 0, 19]


def test_a_request_leaves_room_for_running_engines_of_the_other_kind(duty, make_present):
    """Cut short by its platform, it would not be made up for when they have gone."""
    present = make_present((15, 0), (15, 0), (15, 0))
    first = _carry_out(duty, present, 4.0)
    assert all(count <= 5 for (_, is_spot), count in first.items() if is_spot)


def _urgent(fleet, engines):
    return dataclasses.replace(fleet, urgent=engines)
