"""A first start goes on after the loss of a process at any moment, and there is only one log."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from medlarfork import node
from medlarfork.replica import _replica_messages, _replica_records, replica, replica_types
from tests import replica_cluster

AWAY_S = 0.3
LEADER_WITHIN_S = 8.0
MOMENTS = range(40)
"""Steps until a process is lost: up to after the first leader's first heartbeats."""
SEEDS = (1, 2, 3)


def first_memberships(cluster):
    """Return the different first memberships that running replicas took as committed."""
    hosts = [host for host in cluster.host_by_id.values() if host.replica is not None]
    return {
        host.state.log.membership_at(1)
        for host in hosts
        if host.state.commit_index >= 1 and host.state.log.base_index <= 1
    }


def is_stuck(cluster):
    """Say whether a replica voted for a founder whose disk was lost before its first append."""
    hosts = list(cluster.host_by_id.values())
    return any(host.state.term and host.state.membership is None for host in hosts)


def started_with_a_loss(seed, victim, moment, *, kept_writes=0, may_found, disk_lost):
    """Lose a process some steps after the first start, and return the cluster with it back."""
    cluster = replica_cluster.Cluster(3, seed=seed)
    for _ in range(moment):
        cluster.random.shuffle(cluster.packets)
        cluster.step()
    cluster.crash(victim, kept_writes=kept_writes)
    if disk_lost:
        cluster.lose_disk(victim)
    cluster.run(AWAY_S)
    cluster.start(victim, may_found=may_found)
    return cluster


# Guards against: a first start that waits for ever for what an emptied replica had promised.
@pytest.mark.parametrize("may_found", [False, True])
@pytest.mark.parametrize("victim", ["a", "b", "c"])
def test_a_first_start_survives_the_loss_of_a_process_at_any_moment(victim, may_found):
    for seed in SEEDS:
        for moment in MOMENTS:
            for kept_writes in (0, 1):
                cluster = started_with_a_loss(
                    seed,
                    victim,
                    moment,
                    kept_writes=kept_writes,
                    may_found=may_found,
                    disk_lost=False,
                )
                cluster.run_until(lambda it=cluster: it.lease_holder(), seconds=LEADER_WITHIN_S)
                cluster.accept("first")
                assert len(first_memberships(cluster)) == 1


@pytest.mark.parametrize("victim", ["a", "b", "c"])
def test_a_first_start_survives_a_disk_lost_at_any_moment(victim):
    for seed in SEEDS:
        for moment in MOMENTS:
            cluster = started_with_a_loss(seed, victim, moment, may_found=False, disk_lost=True)
            cluster.run(LEADER_WITHIN_S)
            assert len(first_memberships(cluster)) <= 1
            if not is_stuck(cluster):
                cluster.accept("first")
                cluster.run_until(lambda it=cluster: it.is_voting(victim))


@pytest.mark.parametrize("victim", ["a", "b", "c"])
def test_a_lost_disk_that_is_told_to_bootstrap_again_founds_no_second_log(victim):
    for seed in SEEDS:
        for moment in MOMENTS:
            cluster = started_with_a_loss(seed, victim, moment, may_found=True, disk_lost=True)
            cluster.run(LEADER_WITHIN_S)
            assert len(first_memberships(cluster)) <= 1


def test_all_processes_that_come_back_on_their_disks_go_on_with_the_bootstrap():
    for moment in range(1, 40):
        cluster = replica_cluster.Cluster(3, seed=moment)
        for _ in range(moment):
            cluster.step()
        for replica_id in cluster.ids:
            cluster.crash(replica_id)
        for replica_id in cluster.ids:
            cluster.start(replica_id, may_found=False)
        cluster.accept("first")


def test_too_few_disks_of_the_first_start_found_nothing():
    cluster = replica_cluster.Cluster(3)
    for replica_id in "bc":
        cluster.lose_disk(replica_id)
        cluster.start(replica_id, may_found=False)
    cluster.run(20)
    assert cluster.leader() is None


def test_a_replica_outside_the_bootstrap_stays_so_on_its_disk():
    cluster = replica_cluster.Cluster(3)
    cluster.lose_disk("c")
    for may_found in (False, True):
        cluster.crash("c", kept_writes=1)
        cluster.start("c", may_found=may_found)
    cluster.accept("first")
    (membership,) = first_memberships(cluster)
    assert [member.replica_id for member in membership.voters] == ["a", "b"]
    assert [member.replica_id for member in membership.learners] == ["c"]
    cluster.run_until(lambda: cluster.is_voting("c"))


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
    assert _replica_records.FounderRecord(request.founder_disk_id) in on_disk


def test_a_disk_bound_to_a_higher_founder_grants_no_vote_to_the_log_of_a_lower_one():
    packed = (
        _replica_records.DiskRecord(3),
        _replica_records.BootstrapRecord(("a", "b", "c")),
        _replica_records.FounderRecord(1),
    )
    bound = replica.Replica(
        replica_id="c",
        initial_voters=replica_types.Voters(()),
        restored=replica_types.Restored(
            tuple(_replica_records.RECORD_CODEC.pack(record) for record in packed), fresh=False
        ),
        random=random.Random(1),
    )
    bound.handle(node.Started(), 0.0)
    bound.handle(node.MessageReceived("b", _replica_messages.FoundRequest(2)), 5.0)

    def votes_for(replica_id, disk_id, last_term):
        candidate = _replica_records.Member(replica_id, disk_id)
        request = _replica_messages.VoteRequest(2, candidate, 1, last_term, preliminary=True)
        actions = bound.handle(node.MessageReceived(replica_id, request), 5.0)
        bound.handle(node.Synced(1), 5.0)
        actions += bound.handle(node.Synced(2), 5.0)
        replies = [action.message for action in actions if isinstance(action, node.Send)]
        return any(getattr(reply, "granted", False) for reply in replies)

    assert not votes_for("a", 1, last_term=0)
    assert votes_for("b", 2, last_term=1)


class BootstrapMachine(stateful.RuleBasedStateMachine):
    """Random faults during the first start; at most one disk is lost."""

    def __init__(self):
        super().__init__()
        self.cluster = replica_cluster.Cluster(3, seed=1)
        self.has_lost_disk = False

    def host(self, index):
        return list(self.cluster.host_by_id.values())[index]

    @stateful.rule(steps=st.integers(1, 12))
    def run(self, steps):
        for _ in range(steps):
            self.cluster.step()

    @stateful.rule(index=st.integers(0, 30))
    def deliver_one(self, index):
        if self.cluster.packets:
            self.cluster.deliver(self.cluster.packets.pop(index % len(self.cluster.packets)))

    @stateful.rule(index=st.integers(0, 30), is_copy=st.booleans())
    def repeat_or_drop(self, index, is_copy):
        packets = self.cluster.packets
        if packets and is_copy:
            packets.append(packets[index % len(packets)])
        elif packets:
            packets.pop(index % len(packets))

    @stateful.rule(index=st.integers(0, 2), kept_writes=st.integers(0, 3))
    def crash(self, index, kept_writes):
        self.cluster.crash(self.host(index).replica_id, kept_writes=kept_writes)

    @stateful.rule(index=st.integers(0, 2), may_found=st.booleans())
    def restart(self, index, may_found):
        host = self.host(index)
        self.cluster.crash(host.replica_id)
        self.cluster.start(host.replica_id, may_found=may_found)

    @stateful.rule(index=st.integers(0, 2), may_found=st.booleans())
    def lose_disk(self, index, may_found):
        if not self.has_lost_disk:
            self.has_lost_disk = True
            self.cluster.lose_disk(self.host(index).replica_id)
            self.cluster.start(self.host(index).replica_id, may_found=may_found)

    @stateful.rule(index=st.integers(0, 2))
    def turn_slow_disk(self, index):
        self.host(index).is_disk_slow = not self.host(index).is_disk_slow

    @stateful.rule(index=st.integers(0, 2))
    def isolate(self, index):
        self.cluster.isolated ^= {self.host(index).replica_id}

    @stateful.rule(index=st.integers(0, 2))
    def propose(self, index):
        self.cluster.propose(self.host(index).replica_id, f"p{self.cluster.time}")

    @stateful.invariant()
    def there_is_one_log(self):
        assert len(first_memberships(self.cluster)) <= 1

    def teardown(self):
        self.cluster.isolated.clear()
        for index in range(3):
            host = self.host(index)
            host.is_disk_slow = False
            if host.replica is None:
                self.cluster.start(host.replica_id, may_found=False)
        self.cluster.run(LEADER_WITHIN_S)
        assert len(first_memberships(self.cluster)) <= 1
        if self.cluster.lease_holder() is not None:
            self.cluster.accept("last")


TestBootstrap = BootstrapMachine.TestCase
TestBootstrap.settings = hypothesis.settings(max_examples=150, stateful_step_count=40)
