"""A first start goes on after the loss of a process at any moment, and there is only one log."""

import random

import pytest

from medlarfork import node
from medlarfork.replica import _replica_messages, _replica_records, replica, replica_types
from tests import replica_cluster

AWAY_S = 0.3
LEADER_WITHIN_S = 8.0
MOMENTS = range(40)
"""Steps until a process is lost: up to after the first leader's first heartbeats."""
SEEDS = (1, 2, 3)


# Guards against: disks bound to an identity that the founder lost with its process.
@pytest.mark.parametrize("victim", ["a", "b", "c"])
def test_a_first_start_survives_the_loss_of_a_process_at_any_moment(victim):
    for seed in SEEDS:
        for moment in MOMENTS:
            cluster = replica_cluster.Cluster(3, seed=seed)
            for _ in range(moment):
                cluster.step()
            cluster.crash(victim)
            cluster.run(AWAY_S)
            cluster.start(victim)
            cluster.run_until(lambda it=cluster: it.lease_holder(), seconds=LEADER_WITHIN_S)
            cluster.accept("first")


def test_no_disk_is_bound_to_a_founder_before_the_founder_is_on_its_own():
    founder = replica.Replica(
        replica_id="a",
        initial_voters=replica_types.Voters(("a", "b", "c")),
        restored=replica_types.Restored(),
        random=random.Random(1),
    )
    actions = founder.handle(node.Started(), 0.0)
    assert not [action for action in actions if isinstance(action, node.Send)]
    (write,) = [action for action in actions if isinstance(action, node.Persist)]
    sends = founder.handle(node.Synced(write.token), 0.1)
    requests = [action.message for action in sends if isinstance(action, node.Send)]
    (request,) = set(requests)
    assert isinstance(request, _replica_messages.FoundRequest)
    on_disk = [_replica_records.RECORD_CODEC.unpack(record) for record in write.records]
    assert _replica_records.DiskRecord(request.founder_disk_id) in on_disk
