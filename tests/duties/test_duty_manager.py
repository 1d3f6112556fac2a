"""Duties of whole coordinators, in virtual time, before a platform that checks every call."""

import pytest

from medlarfork.coordination import coordinator_types
from medlarfork.duties import duty_types, engine_messages
from tests.duties import duty_cluster
from tests.routed import coordinator_cluster


@pytest.fixture
def world():
    made = duty_cluster.World()
    made.until_held()
    return made


def _count(world, seconds, per_s=10):
    """Have requests begin steadily, at all entry hosts by turns."""
    for number in range(round(seconds * per_s)):
        world.begin(f"a-{number % 3}", f"e-{number % 3}")
        world.run(1.0 / per_s)


def _reported(world):
    return sum(sum(counts.values()) for counts in world.platform.counts_by_window.values())


def test_every_request_is_reported_in_its_window_soon_after_its_end(world):
    _count(world, 20.0)
    world.run(5.0 + 1.5)
    assert _reported(world) == 200
    full = [counts for counts in world.platform.counts_by_window.values() if len(counts) == 3]
    assert len(full) >= 3


def test_operators_see_who_has_the_duties_and_which_windows_are_reported(world):
    _count(world, 12.0)
    world.run(3.0)
    holder = world.until_held()
    for replica_id in world.host_by_id:
        found = world.ask(replica_id, coordinator_types.ListDuties())
        assert found.holder.partition("@")[0] == holder
        assert found.fence > 0
        assert found.is_holder == (replica_id == holder)
        assert found.usage[0].is_reported
        assert sum(item.requests for item in found.usage) <= 120


def test_a_deployment_without_duties_proposes_nothing():
    cluster = coordinator_cluster.Cluster()
    cluster.run(10.0)
    for host in cluster.host_by_id.values():
        assert not host.node._state.duties.fence("duties")
        assert host.node.duties.gauges() == {}


@pytest.mark.parametrize("stop", ["kill", "wipe", "suspend"])
def test_windows_that_end_while_nobody_holds_the_duty_are_reported_late(world, stop):
    holder = world.until_held()
    _count(world, 7.0)
    getattr(world, stop)(holder)
    _count(world, 6.0)
    world.until_held()
    world.run(12.0)
    assert _reported(world) == 130
    if stop == "suspend":
        world.wake(holder)
        world.run(5.0)
    else:
        world.start(holder)
        world.run(10.0)


def test_a_new_holder_acts_only_after_the_lease_of_the_old_one(world):
    holder = world.until_held()
    world.suspend(holder)
    stopped_at = world.time
    world.run(1.0)
    while world.holder() in (None, holder):
        world.step()
        assert world.time < stopped_at + 20.0
    assert world.time - stopped_at >= duty_cluster.DUTIES.lease_s
    fence = world.host_by_id[world.holder()].node.duties.lease.fence
    assert fence > world.host_by_id[holder].node.duties.lease.fence


def test_after_a_full_restart_fences_increase_and_reports_stay_the_same(world):
    _count(world, 6.0)
    world.platform.lost_share = 1.0
    _count(world, 6.0)
    before = world.host_by_id[world.until_held()].node.duties.lease.fence
    for replica_id in tuple(world.host_by_id):
        world.kill(replica_id)
    for replica_id in tuple(world.host_by_id):
        world.start(replica_id)
    world.platform.lost_share = 0.0
    holder = world.until_held(30.0)
    assert world.host_by_id[holder].node.duties.lease.fence > before
    world.run(20.0)
    assert _reported(world) == 120


def test_counts_confirmed_before_a_full_restart_are_not_lost(world):
    """The same replica led again, and hosts told it only what came since its last receipt."""
    world.begin("a", "e-0")
    world.run(1.0)
    for replica_id in tuple(world.host_by_id):
        world.kill(replica_id)
        world.start(replica_id)
    world.until_held(30.0)
    world.run(15.0)
    assert _reported(world) == 1


def test_a_platform_outage_is_caught_up_later_without_overload(world):
    world.platform.is_down = True
    _count(world, 15.0)
    world.platform.is_down = False
    assert max(world.platform.calls_by_second.values()) <= 5
    world.run(15.0)
    assert _reported(world) == 150


def test_clocks_that_jump_move_no_request_to_another_window(world):
    _count(world, 6.0)
    for replica_id in ("a", "b"):
        world.wall_offset_by_id[replica_id] = 2.0
    for entry in world.entry_by_id.values():
        assert entry.clock.fleet_time_s(world.time, world.time + 2.0) == pytest.approx(world.time)
    _count(world, 6.0)
    world.run(8.0)
    assert _reported(world) == 120


def test_an_unanswered_request_can_not_undo_a_newer_one(world, make_work):
    """A platform may carry an order out seconds after its caller has given it up."""
    world.put_services(1, spot_price=0.6)
    world.platform.lost_share = 1.0
    _run_with_engines(world, 8.0, (10, 0))
    world.platform.lost_share = 0.0
    for _ in range(25):
        # The load that 30 engines are held for.
        told = engine_messages.LoadTold(5, (make_work(0.0, requests=316),))
        world.packets.append(("x", world.until_held(), told))
        _run_with_engines(world, 1.0, (1, 9))
    assert world.platform.refused > 0
    groups = world.platform.count_by_group
    assert {groups["engines", zone, True] for zone in duty_cluster.ZONES} == {9}


def test_engines_follow_the_load_that_replicas_report(world, make_work):
    world.put_services(1)
    _run_with_engines(world, 6.0, (1, 9))
    holder = world.until_held()
    for tick in range(8):
        told = engine_messages.LoadTold(5, (make_work(tick * 4000.0),))
        world.packets.append(("x", holder, told))
        world.run(0.25)
    _run_with_engines(world, 3.0, (1, 9))
    groups = world.platform.count_by_group
    margin = duty_types.DutySettings().engine_margin
    assert sum(groups.values()) >= min(16.0 * margin, 60)


def _run_with_engines(world, seconds, counts):
    for _ in range(round(seconds)):
        world.announce((counts, counts, counts))
        world.run(1.0)
