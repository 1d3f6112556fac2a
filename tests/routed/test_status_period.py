"""Interval of status messages, by the size of the fleet."""

import pytest

from medlarfork import node
from medlarfork.coordination import coordination_messages, status_period
from tests.routed import coordinator_cluster


@pytest.mark.parametrize(("hosts", "period_s"), [(1, 0.4), (60, 0.4), (228, 0.76), (1000, 0.8)])
def test_only_large_fleets_have_a_longer_period(hosts, period_s):
    assert status_period.period_s(hosts) == pytest.approx(period_s)


@pytest.mark.parametrize(("hosts", "max_statuses"), [(9, 12), (228, 7)])
def test_a_replica_sends_each_host_a_bounded_number_of_statuses(hosts, max_statuses):
    """Regression: with 228 entry hosts and 9 replicas, statuses took half of the CPU time."""
    cluster = coordinator_cluster.Cluster()
    cluster.run(4.0)
    statuses = 0
    for step in range(round(4.0 / coordinator_cluster.STEP_S)):
        if step % 20 == 0:
            _send_statuses(cluster, hosts)
        statuses += sum(
            isinstance(message, coordination_messages.ReplicaStatus) and to == "e-1"
            for sender, to, message in cluster.packets
            if sender == "a"
        )
        cluster.step()
    assert 5 <= statuses <= max_statuses


@pytest.mark.parametrize(("hosts", "silent_s"), [(9, 1.5), (228, 1.9)])
def test_a_silent_host_is_listed_for_two_and_a_half_periods(hosts, silent_s):
    cluster = coordinator_cluster.Cluster(seeds=("a",), others=())
    cluster.run(2.0)
    _send_statuses(cluster, hosts)
    directory = cluster.host_by_id["a"].node._entries
    assert len(directory.status_by_id(cluster.time + silent_s - 0.1)) == hosts
    assert not directory.status_by_id(cluster.time + silent_s + 0.1)


def _send_statuses(cluster, hosts):
    for number in range(hosts):
        status = coordination_messages.EntryStatus(f"10.0.{number}.1:1", "z", True, 0, 0, 0)
        cluster.post("a", node.MessageReceived(f"e-{number}", status))
