"""Coordinators in virtual time: routing versions, membership and leaves under faults."""

import pytest

from medlarfork import node
from medlarfork.coordination import coordination_messages, coordinator_types
from tests.routed import coordinator_cluster

Accepted = coordinator_types.Accepted


@pytest.fixture
def cluster():
    new_cluster = coordinator_cluster.Cluster()
    new_cluster.run(6.0)
    assert isinstance(new_cluster.put("a", 3), Accepted)
    return new_cluster


def _voters(cluster, replica_id):
    return set(cluster.host_by_id[replica_id].node._replica.status.voters.voters)


def test_replicas_find_each_other_from_three_seeds(cluster):
    assert _voters(cluster, "a") == {"a", "b", "c", "d", "e"}


def test_the_highest_version_stays_in_force_after_lower_and_repeated_ones(cluster):
    assert isinstance(cluster.put("b", 8, "first"), Accepted)
    assert isinstance(cluster.put("c", 8, "second"), Accepted)
    assert isinstance(cluster.put("d", 5), Accepted)
    reply = cluster.until_read()
    assert (reply.version, b"first" in reply.body) == (8, True)


def test_a_replica_replaced_at_another_address_becomes_a_voter(cluster):
    leader = cluster.host_by_id["a"].node._leader_id
    cluster.remove(leader)
    cluster.run(1.0)
    cluster.start("f")
    cluster.run(6.0)
    alive = next(iter(cluster.host_by_id))
    assert "f" in _voters(cluster, alive)
    assert isinstance(cluster.put("f", 9), Accepted)
    assert cluster.until_read().version == 9


def test_a_restart_of_all_replicas_keeps_acknowledged_versions(cluster):
    cluster.put("a", 7)
    for replica_id in tuple(cluster.host_by_id):
        cluster.kill(replica_id)
    cluster.run(1.0)
    for replica_id in tuple(cluster.host_by_id):
        cluster.start(replica_id)
    assert cluster.until_read(12.0).version == 7


def test_a_wiped_disk_right_after_an_acknowledgement_loses_nothing(cluster):
    cluster.put("a", 7)
    leader = cluster.host_by_id["a"].node._leader_id
    others = [item for item in cluster.host_by_id if item != leader]
    cluster.wipe(leader)
    for replica_id in others:
        cluster.kill(replica_id)
    for replica_id in (leader, *others):
        cluster.start(replica_id)
    assert cluster.until_read(12.0).version == 7


def test_replicas_with_empty_disks_do_not_bootstrap_or_answer():
    cluster = coordinator_cluster.Cluster(seeds=("a", "b", "c"), others=())
    cluster.run(4.0)
    cluster.put("a", 3)
    for replica_id in ("a", "b", "c"):
        cluster.wipe(replica_id)
    for replica_id in ("a", "b", "c"):
        cluster.start(replica_id, may_found=False)
    cluster.run(10.0)
    for replica_id in ("a", "b", "c"):
        reply = cluster.ask(replica_id, coordinator_types.GetRouting())
        assert isinstance(reply, coordinator_types.Unavailable)


def test_a_suspended_leader_does_not_answer_reads_when_it_wakes(cluster):
    leader = cluster.host_by_id["a"].node._leader_id
    cluster.suspend(leader)
    cluster.run(5.0)
    other = next(item for item in cluster.host_by_id if item != leader)
    assert isinstance(cluster.put(other, 20), Accepted)
    cluster.wake(leader)
    reply = cluster.ask(leader, coordinator_types.GetRouting(), within_s=0.01)
    assert not isinstance(reply, coordinator_types.RoutingFound)
    assert cluster.until_read().version == 20


def test_a_replica_with_a_full_disk_does_not_block_writes(cluster):
    full = "b" if cluster.host_by_id["a"].node._leader_id != "b" else "c"
    cluster.host_by_id[full].disk.is_full = True
    assert isinstance(cluster.put("a", 30), Accepted)
    cluster.host_by_id[full].disk.is_full = False
    assert cluster.until_read().version == 30


def test_changed_seeds_do_not_affect_running_replicas(cluster):
    for replica_id in cluster.host_by_id:
        cluster.post(replica_id, coordinator_types.SeedsChanged(("d", "e")))
    cluster.kill("d")
    cluster.start("d", seeds=("e",))
    assert cluster.until_read().version == 3


def test_a_leave_reaches_every_replica_that_is_connected(cluster, make_announcement):
    announced = coordinator_types.Announce(make_announcement())
    assert isinstance(cluster.ask("a", announced), Accepted)
    cluster.run(0.5)
    cluster.cut.add("e")
    assert isinstance(cluster.ask("b", coordinator_types.Withdraw("u-1")), Accepted)
    for replica_id in "abcd":
        assert cluster.host_by_id[replica_id].node._registry.present == ()
    alone = cluster.ask("e", coordinator_types.Withdraw("u-2"))
    assert isinstance(alone, coordinator_types.Unavailable)


def test_a_replica_that_starts_learns_the_upstreams_from_the_others(cluster, make_announcement):
    cluster.ask("a", coordinator_types.Announce(make_announcement()))
    cluster.ask("a", coordinator_types.Withdraw("u-9"))
    cluster.kill("c")
    cluster.start("c")
    cluster.run(1.0)
    registry = cluster.host_by_id["c"].node._registry
    assert [item.upstream_id for item in registry.present] == ["u-1"]
    assert registry.full_view().left == ("u-9",)


def _send_entry_status(cluster, entry_id):
    status = coordination_messages.EntryStatus(f"{entry_id}:1", "z", True, 0, 0, 0)
    for replica_id in cluster.host_by_id:
        cluster.post(replica_id, node.MessageReceived(entry_id, status))


def _sent_view_pushes(cluster):
    return [
        (to, message)
        for _, to, message in cluster.packets
        if isinstance(message, coordination_messages.ViewPush)
    ]


def _collect_view_pushes(cluster, seconds):
    """Return the view changes that are sent to entry hosts within a time."""
    pushes = []
    for _ in range(round(seconds / coordinator_cluster.STEP_S)):
        cluster.step()
        pushes += _sent_view_pushes(cluster)
    return pushes


def test_upstreams_that_start_together_are_pushed_together(cluster, make_announcement):
    _send_entry_status(cluster, "e-1")
    _collect_view_pushes(cluster, 0.5)
    for number in range(40):
        announcement = make_announcement(f"u-{number}", address=f"10.0.0.{number}:1")
        announced = coordinator_types.Announce(announcement)
        cluster.post("abcde"[number % 5], coordinator_types.OperationReceived(-number, announced))
    pushes = _collect_view_pushes(cluster, 0.6)
    sent = {item.upstream_id for _, push in pushes for item in push.change.present}
    assert len(sent) == 40
    # Pushed one by one it would be 40 from each of the five.
    assert len(pushes) <= 5 * 4


def test_replica_lists_are_sent_periodically_and_to_new_entry_hosts(cluster):
    _send_entry_status(cluster, "e-1")
    statuses = []
    for _ in range(round(4.0 / coordinator_cluster.STEP_S)):
        _send_entry_status(cluster, "e-1")
        cluster.step()
        statuses += [
            message
            for sender, _, message in cluster.packets
            if sender == "a" and isinstance(message, coordination_messages.ReplicaStatus)
        ]
    named = [status for status in statuses if status.members]
    assert len(statuses) >= 7
    assert 2 <= len(named) <= 3
    assert all(len(status.members) == 5 for status in named)
    cluster.packets = []
    _send_entry_status(cluster, "e-2")
    first = [
        message
        for _, to, message in cluster.packets
        if to == "e-2" and isinstance(message, coordination_messages.ReplicaStatus)
    ]
    assert all(status.members for status in first)
    assert len(first) == 5


def test_a_leave_is_pushed_at_once_after_other_changes(cluster, make_announcement):
    _send_entry_status(cluster, "e-1")
    _collect_view_pushes(cluster, 0.5)
    for number in range(3):
        announcement = make_announcement(f"u-{number}", address=f"10.0.0.{number}:1")
        assert isinstance(cluster.ask("a", coordinator_types.Announce(announcement)), Accepted)
    withdraw = coordinator_types.OperationReceived(-1, coordinator_types.Withdraw("u-1"))
    cluster.post("a", withdraw)
    assert ("u-1",) in [push.change.left for to, push in _sent_view_pushes(cluster) if to == "e-1"]


def _announce_to(cluster, replica_id, make_announcement, seconds):
    """Let an upstream announce itself to one replica for some time."""
    for _ in range(round(seconds / coordinator_cluster.PERIOD_S)):
        announcement = make_announcement(sequence=round(cluster.time * 10))
        announced = coordinator_types.Announce(announcement)
        assert isinstance(cluster.ask(replica_id, announced), Accepted)
        cluster.run(coordinator_cluster.PERIOD_S)


def _lists(cluster, replica_id):
    return bool(cluster.host_by_id[replica_id].node._registry.present)


def test_an_upstream_heard_on_the_other_side_of_a_partition_stays(cluster, make_announcement):
    """Regression: during a partition the owner dropped the upstreams that the others heard."""
    _announce_to(cluster, "c", make_announcement, 3.0)
    here, there = "ab", "cde"
    cluster.cut |= {(one, two) for one in here for two in there}
    cluster.cut |= {(two, one) for one in here for two in there}
    for _ in range(8):
        _announce_to(cluster, "c", make_announcement, 1.0)
        assert _lists(cluster, "a")
        assert _lists(cluster, "c")


def test_an_upstream_stays_when_a_partition_heals(cluster, make_announcement):
    """Regression: after a partition replicas heard each other before the others' upstreams."""
    _announce_to(cluster, "c", make_announcement, 3.0)
    cluster.cut |= {(one, two) for one in "ab" for two in "cde"}
    cluster.cut |= {(two, one) for one in "ab" for two in "cde"}
    _announce_to(cluster, "c", make_announcement, 8.0)
    cluster.cut.clear()
    for _ in range(40):
        cluster.run(0.02)
        assert _lists(cluster, "a")
    _announce_to(cluster, "c", make_announcement, 3.0)
    assert _lists(cluster, "a")


def test_an_upstream_that_no_replica_hears_is_dropped_after_the_usual_silence(
    cluster, make_announcement
):
    _announce_to(cluster, "c", make_announcement, 3.0)
    cluster.run(4.5)
    assert not _lists(cluster, "a")


def test_a_silent_upstream_is_dropped_later_while_a_replica_is_missing(cluster, make_announcement):
    _announce_to(cluster, "c", make_announcement, 3.0)
    cluster.kill("e")
    cluster.run(8.0)
    assert _lists(cluster, "a")
    cluster.run(8.0)
    assert not _lists(cluster, "a")


def test_a_host_without_routing_gets_it_without_another_status(cluster):
    """Regression: after a restart the leader may not be known; any replica pushes after 0.1 s."""
    leader = cluster.host_by_id["a"].node._leader_id
    follower = next(name for name in cluster.host_by_id if name != leader)
    status = coordination_messages.EntryStatus("e-1:1", "z", False, 0, 0, 0)
    cluster.post(follower, node.MessageReceived("e-1", status))
    sent = []
    for _ in range(round(0.3 / coordinator_cluster.STEP_S)):
        sent += [
            message
            for sender, to, message in cluster.packets
            if (sender, to) == (follower, "e-1")
            and isinstance(message, coordination_messages.RoutingPush)
        ]
        cluster.step()
    assert [push.version for push in sent] == [3]
