"""Hosts that are lost and replaced in turn leave the replicated log a majority.

For a long run: ``MEDLAR_REPLACEMENT_SEEDS=500 pytest FILE``.
"""

import os
import random

import pytest

from medlarfork.coordination import coordinator_types
from tests.routed import coordinator_cluster

CATCH_UP_S = 6.0
ANSWER_S = 10.0
SETTLE_S = 15.0
ROUNDS = 8
SEEDS = range(int(os.environ.get("MEDLAR_REPLACEMENT_SEEDS", "12")))


class Fleet:
    """Coordinators of which some fail at a time, by default two of nine, and their operator."""

    def __init__(self, seed=0, others="defghi", tolerated_losses=2):
        self.random = random.Random(seed)
        self.tolerated_losses = tolerated_losses
        self.cluster = coordinator_cluster.Cluster(
            others=tuple(others), seed=seed, tolerated_losses=tolerated_losses
        )
        self.spare = iter(f"spare{number}" for number in range(100))
        self.version = 0
        self.cluster.run(8.0)
        self.put()

    @property
    def ids(self):
        return tuple(self.cluster.host_by_id)

    def put(self):
        """Check that a change is acknowledged in time, as operators would send it."""
        self.version += 1
        end_at = self.cluster.time + ANSWER_S
        while self.cluster.time < end_at:
            via = self.random.choice(self.ids)
            reply = self.cluster.put(via, self.version)
            if isinstance(reply, coordinator_types.Accepted):
                return
            self.cluster.run(0.1)
        raise AssertionError(f"version {self.version}: {reply}, {self.voters()}")

    def voters(self):
        """Return the voters that the last leader lists, None if there is none."""
        leaders = [host.node for host in self.cluster.host_by_id.values() if host.node.leads]
        return leaders[-1]._replica.status.voters.voters if leaders else None

    def replace(self, *lost, after_s=2.0):
        for replica_id in lost:
            self.cluster.remove(replica_id)
        self.cluster.run(after_s)
        for replica_id in lost:
            self.start_spare(replica_id)

    def choose_lost(self):
        """Return the next hosts to fail; often the leader is one of them, or the oldest are."""
        leaders = [host.replica_id for host in self.cluster.host_by_id.values() if host.node.leads]
        candidates = {
            "any": self.random.sample(self.ids, 2),
            "oldest": list(self.ids[:2]),
            "newest": list(self.ids[-2:]),
            "leader": leaders[:1] + [self.random.choice(self.ids)],
        }
        lost = dict.fromkeys(candidates[self.random.choice(sorted(candidates))])
        return tuple(lost)[: self.random.choice((1, self.tolerated_losses))]

    def fail(self):
        """Lose hosts in one of several ways, one after the other, and bring them back."""
        lost = self.choose_lost()
        away_s = self.random.choice((0.3, 1.0, 2.0, 5.0, 9.0))
        gap_s = self.random.choice((0.0, 0.0, 0.5, 1.5, 3.5))
        lose, bring_back = self.random.choice(self.ways())
        for replica_id in lost:
            lose(replica_id)
            self.cluster.run(gap_s)
        self.cluster.run(away_s)
        for replica_id in lost:
            bring_back(replica_id)

    def ways(self):
        """Return how a host fails, with how it comes back or is replaced."""
        cluster = self.cluster
        replaced = cluster.remove, self.start_spare
        return (
            replaced,
            replaced,
            (cluster.wipe, cluster.start),
            (cluster.kill, cluster.start),
            (cluster.suspend, cluster.wake),
            (cluster.cut.add, cluster.cut.discard),
        )

    def start_spare(self, _replaced):
        self.cluster.start(next(self.spare), seeds=self.ids[:3])

    def cut_in_halves(self):
        """Cut the hosts into two halves for some seconds."""
        half = self.random.sample(self.ids, len(self.ids) // 2)
        others = [replica_id for replica_id in self.ids if replica_id not in half]
        self.cluster.cut |= {(one, other) for one in half for other in others}
        self.cluster.cut |= {(other, one) for one in half for other in others}
        self.cluster.run(self.random.choice((2.0, 4.0, 8.0)))
        self.cluster.cut.clear()

    def check_more_may_fail(self):
        """Check that the group still tolerates the next losses."""
        for replica_id in self.choose_lost():
            self.cluster.remove(replica_id)
        self.put()
        self.cluster.until_read(ANSWER_S)


@pytest.mark.parametrize("gone", ["oldest", "any"])
def test_hosts_replaced_in_pairs_leave_a_majority(gone):
    """Regression: two hosts joining at once kept the number of voters odd, so none was removed."""
    fleet = Fleet()
    for _ in range(ROUNDS):
        pair = fleet.ids[:2] if gone == "oldest" else fleet.random.sample(fleet.ids, 2)
        fleet.replace(*pair)
        fleet.cluster.run(CATCH_UP_S + 1.0)
        fleet.put()
    assert set(fleet.voters()) == set(fleet.ids)
    fleet.check_more_may_fail()


@pytest.mark.parametrize("others, tolerated_losses", [("defghi", 2), ("de", 1)])
@pytest.mark.parametrize("seed", SEEDS)
def test_tolerated_losses_in_series_leave_a_majority(seed, others, tolerated_losses):
    """Guards against voters that are gone for good but count, whatever happened meanwhile."""
    fleet = Fleet(seed, others, tolerated_losses)
    for _ in range(ROUNDS):
        fleet.fail()
        fleet.cluster.run(CATCH_UP_S)
        fleet.put()
        if fleet.random.random() < 0.25:
            fleet.cut_in_halves()
            fleet.cluster.run(CATCH_UP_S)
    fleet.cluster.run(SETTLE_S)
    assert set(fleet.voters()) == set(fleet.ids)
    fleet.check_more_may_fail()
