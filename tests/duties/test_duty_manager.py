"""Duties of complete coordinators in virtual time, with a platform that checks every call."""

import pytest

from medlarfork.coordination import coordinator_types
from medlarfork.duties import duty_types, engine_messages
from tests.duties import duty_cluster
from tests.routed import coordinator_cluster


@pytest.fixture
def cluster():
    made = duty_cluster.DutyCluster()
    made.run_until_held()
    return made


def _start_requests(cluster, seconds, per_s=10):
    """Start requests at a steady rate, at all entry hosts in turn."""
    for number in range(round(seconds * per_s)):
        cluster.start_request(f"a-{number % 3}", f"e-{number % 3}")
        cluster.run(1.0 / per_s)


def _reported_requests(cluster):
    return sum(sum(counts.values()) for counts in cluster.platform.counts_by_window.values())


def test_every_request_is_reported_in_its_window_soon_after_its_end(cluster):
    _start_requests(cluster, 20.0)
    cluster.run(5.0 + 1.5)
    assert _reported_requests(cluster) == 200
    full = [counts for counts in cluster.platform.counts_by_window.values() if len(counts) == 3]
    assert len(full) >= 3


def test_operators_see_who_has_the_duties_and_which_windows_are_reported(cluster):
    _start_requests(cluster, 12.0)
    cluster.run(3.0)
    holder = cluster.run_until_held()
    for replica_id in cluster.host_by_id:
        found = cluster.ask(replica_id, coordinator_types.ListDuties())
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
def test_windows_that_end_while_nobody_holds_the_duty_are_reported_late(cluster, stop):
    holder = cluster.run_until_held()
    _start_requests(cluster, 7.0)
    getattr(cluster, stop)(holder)
    _start_requests(cluster, 6.0)
    cluster.run_until_held()
    cluster.run(12.0)
    assert _reported_requests(cluster) == 130
    if stop == "suspend":
        cluster.wake(holder)
        cluster.run(5.0)
    else:
        cluster.start(holder)
        cluster.run(10.0)


def test_a_new_holder_acts_only_after_the_lease_of_the_old_one(cluster):
    holder = cluster.run_until_held()
    cluster.suspend(holder)
    stopped_at = cluster.time
    cluster.run(1.0)
    while cluster.holder() in (None, holder):
        cluster.step()
        assert cluster.time < stopped_at + 20.0
    assert cluster.time - stopped_at >= duty_cluster.DUTIES.lease_s
    fence = cluster.host_by_id[cluster.holder()].node.duties.lease.fence
    assert fence > cluster.host_by_id[holder].node.duties.lease.fence


def test_after_a_full_restart_fences_increase_and_reports_stay_the_same(cluster):
    _start_requests(cluster, 6.0)
    cluster.platform.lost_share = 1.0
    _start_requests(cluster, 6.0)
    before = cluster.host_by_id[cluster.run_until_held()].node.duties.lease.fence
    for replica_id in tuple(cluster.host_by_id):
        cluster.kill(replica_id)
    for replica_id in tuple(cluster.host_by_id):
        cluster.start(replica_id)
    cluster.platform.lost_share = 0.0
    holder = cluster.run_until_held(30.0)
    assert cluster.host_by_id[holder].node.duties.lease.fence > before
    cluster.run(20.0)
    assert _reported_requests(cluster) == 120


def test_counts_confirmed_before_a_full_restart_are_not_lost(cluster):
    """If the same replica leads again, hosts must resend also what its earlier start confirmed."""
    cluster.start_request("a", "e-0")
    cluster.run(1.0)
    for replica_id in tuple(cluster.host_by_id):
        cluster.kill(replica_id)
        cluster.start(replica_id)
    cluster.run_until_held(30.0)
    cluster.run(15.0)
    assert _reported_requests(cluster) == 1


def test_a_platform_outage_is_caught_up_later_without_overload(cluster):
    cluster.platform.is_down = True
    _start_requests(cluster, 15.0)
    cluster.platform.is_down = False
    assert max(cluster.platform.calls_by_second.values()) <= 5
    cluster.run(15.0)
    assert _reported_requests(cluster) == 150


def test_clocks_that_jump_move_no_request_to_another_window(cluster):
    _start_requests(cluster, 6.0)
    for replica_id in ("a", "b"):
        cluster.wall_offset_by_id[replica_id] = 2.0
    for entry in cluster.entry_by_id.values():
        assert entry.clock.fleet_time_s(cluster.time, cluster.time + 2.0) == pytest.approx(
            cluster.time
        )
    _start_requests(cluster, 6.0)
    cluster.run(8.0)
    assert _reported_requests(cluster) == 120


def test_an_unanswered_request_can_not_undo_a_newer_one(cluster, make_work):
    """A platform may execute a request seconds after its caller's timeout."""
    cluster.put_services(1, spot_price=0.6)
    cluster.platform.lost_share = 1.0
    _run_with_engines(cluster, 8.0, (10, 0))
    cluster.platform.lost_share = 0.0
    for _ in range(25):
        # A load for which 30 engines are planned.
        message = engine_messages.LoadTold(5, (make_work(0.0, requests=316),))
        cluster.packets.append(("x", cluster.run_until_held(), message))
        _run_with_engines(cluster, 1.0, (1, 9))
    assert cluster.platform.refused > 0
    groups = cluster.platform.count_by_group
    assert {groups["engines", zone, True] for zone in duty_cluster.ZONES} == {9}


def test_engines_follow_the_load_that_replicas_report(cluster, make_work):
    cluster.put_services(1)
    _run_with_engines(cluster, 6.0, (1, 9))
    holder = cluster.run_until_held()
    for tick in range(8):
        message = engine_messages.LoadTold(5, (make_work(tick * 4000.0),))
        cluster.packets.append(("x", holder, message))
        cluster.run(0.25)
    _run_with_engines(cluster, 3.0, (1, 9))
    groups = cluster.platform.count_by_group
    margin = duty_types.DutySettings().engine_margin
    assert sum(groups.values()) >= min(16.0 * margin, 60)


def _run_with_engines(cluster, seconds, counts):
    for _ in range(round(seconds)):
        cluster.announce((counts, counts, counts))
        cluster.run(1.0)
