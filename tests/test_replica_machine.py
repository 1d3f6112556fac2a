"""Drive clusters of replicas through random faults; each step checks the invariants.

At the end of each example all faults are removed, and the cluster must work again and still hold
all commands that it ever accepted.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from medlarfork.replica import replica_types
from tests import replica_cluster

RATES = st.sampled_from([0.96, 1.0, 1.04])
OFFSETS = st.sampled_from([-90.0, 0.0, 5000.0])
INDEXES = st.integers(0, 10_000)
EXTRA_ID = "x"


class ReplicaMachine(stateful.RuleBasedStateMachine):
    count = 3

    def __init__(self):
        super().__init__()
        self.cluster = replica_cluster.Cluster(self.count, seed=self.count)
        self.cluster.wait_for_leader()
        self.proposals = 0

    def host(self, index):
        hosts = list(self.cluster.host_by_id.values())
        return hosts[index % len(hosts)]

    def next_id(self):
        self.proposals += 1
        return f"p{self.proposals}"

    def may_lose_disk(self, host):
        """Say whether one more lost disk is tolerated: a majority must keep their disks.

        This must hold for the committed membership and for each that some replica already acts on:
        a change from three voters to two, which tolerate no loss, may still be committed.
        """
        if self.missing_disks(self.cluster.membership[1], host) >= (self.count - 1) // 2:
            return False
        active_memberships = [
            membership
            for other in self.cluster.host_by_id.values()
            for membership in other.active_memberships()
        ]
        return all(
            self.missing_disks(membership, host) + 1 <= len(membership.voters) - membership.quorum
            or host.replica_id not in [member.replica_id for member in membership.voters]
            for membership in active_memberships
        )

    def missing_disks(self, membership, host):
        """Return how many members, except the given host, are not voters on their listed disk."""
        missing = 0
        for member in membership.members:
            other = self.cluster.host_by_id[member.replica_id]
            has_own_disk = member in membership.voters and member.disk_id in other.disk_ids()
            missing += other is not host and not has_own_disk
        return missing

    @stateful.rule(index=INDEXES)
    def propose(self, index):
        self.cluster.propose(self.host(index).replica_id, self.next_id())

    @stateful.rule(count=st.integers(1, 20))
    def propose_to_leader(self, count):
        leader = self.cluster.leader()
        for _ in range(count if leader else 0):
            self.cluster.propose(leader.replica_id, self.next_id())

    @stateful.rule(steps=st.integers(1, 30), seconds=st.sampled_from([0.01, 0.05, 0.3]))
    def run(self, steps, seconds):
        for _ in range(steps):
            self.cluster.step(seconds)

    @stateful.rule()
    def run_until_leader(self):
        for _ in range(80):
            if self.cluster.lease_holder() is None:
                self.cluster.step()

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 5.0]))
    def let_time_pass(self, seconds):
        self.cluster.time += seconds
        self.cluster.check_leases()

    @stateful.rule(index=INDEXES)
    def deliver_one(self, index):
        if self.cluster.packets:
            self.cluster.deliver(self.cluster.packets.pop(index % len(self.cluster.packets)))

    @stateful.rule(index=INDEXES)
    def duplicate(self, index):
        packets = self.cluster.packets
        if packets:
            packets.append(packets[index % len(packets)])

    @stateful.rule(index=INDEXES, count=st.integers(1, 4))
    def drop(self, index, count):
        for _ in range(count):
            if self.cluster.packets:
                self.cluster.packets.pop(index % len(self.cluster.packets))

    @stateful.rule()
    def reverse(self):
        self.cluster.packets.reverse()

    @stateful.rule(index=INDEXES, kept_writes=st.integers(0, 3))
    def crash(self, index, kept_writes):
        self.cluster.crash(self.host(index).replica_id, kept_writes=kept_writes)

    @stateful.rule(index=INDEXES, offset=OFFSETS, rate=RATES)
    def restart(self, index, offset, rate):
        host = self.host(index)
        self.cluster.crash(host.replica_id)
        self.cluster.start(host.replica_id, offset=offset, rate=rate)

    @stateful.rule(index=INDEXES, offset=OFFSETS, is_leader=st.booleans())
    def lose_disk(self, index, offset, is_leader):
        host = self.host(index)
        if is_leader:
            host = self.cluster.leader() or host
        if self.may_lose_disk(host):
            self.cluster.lose_disk(host.replica_id)
            self.cluster.start(host.replica_id, offset=offset)

    @stateful.rule(index=INDEXES)
    def isolate(self, index):
        self.cluster.isolated.add(self.host(index).replica_id)

    @stateful.rule(index=INDEXES, other=INDEXES)
    def block_one_way(self, index, other):
        self.cluster.blocked.add((self.host(index).replica_id, self.host(other).replica_id))

    @stateful.rule(index=INDEXES, is_frozen=st.booleans())
    def cut_follower_off(self, index, is_frozen):
        """Disconnect a follower from the leader; maybe freeze the leader when it campaigns."""
        leader = self.cluster.leader()
        follower = self.host(index)
        if leader is None or follower.replica is None:
            return
        self.cluster.blocked.add((leader.replica_id, follower.replica_id))
        self.cluster.blocked.add((follower.replica_id, leader.replica_id))
        for _ in range(40):
            if follower.replica.status.role is replica_types.Role.PRE_CANDIDATE:
                break
            self.cluster.step()
        if is_frozen:
            self.cluster.freeze(leader.replica_id)
        self.cluster.run(0.5)

    @stateful.rule()
    def heal(self):
        self.cluster.isolated.clear()
        self.cluster.blocked.clear()

    @stateful.rule(index=INDEXES)
    def freeze(self, index):
        host = self.host(index)
        if host.replica is not None:
            self.cluster.freeze(host.replica_id)

    @stateful.rule(index=INDEXES)
    def thaw(self, index):
        self.cluster.thaw(self.host(index).replica_id)

    @stateful.rule(index=INDEXES)
    def turn_slow_disk(self, index):
        host = self.host(index)
        host.is_disk_slow = not host.is_disk_slow

    @stateful.rule()
    def transfer(self):
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.post(leader.replica_id, replica_types.TransferLeadership())

    @stateful.rule()
    def add_voter(self):
        leader = self.cluster.leader()
        if leader is not None and not self.is_large:
            if EXTRA_ID not in self.cluster.host_by_id:
                self.cluster.start(EXTRA_ID)
            event = replica_types.ChangeVoters(self.next_id(), add=EXTRA_ID)
            self.cluster.post(leader.replica_id, event)

    @stateful.rule(index=INDEXES)
    def remove_voter(self, index):
        leader = self.cluster.leader()
        if leader is not None and self.is_large:
            event = replica_types.ChangeVoters(self.next_id(), remove=self.host(index).replica_id)
            self.cluster.post(leader.replica_id, event)

    @property
    def is_large(self):
        return len(self.cluster.membership[1].members) > self.count

    def teardown(self):
        cluster = self.cluster
        self.heal()
        for host in list(cluster.host_by_id.values()):
            host.is_disk_slow = False
            cluster.thaw(host.replica_id)
            if host.replica is None:
                cluster.start(host.replica_id)
        cluster.accept("last")
        cluster.run_until(self.all_members_vote)
        cluster.accept("very last")
        expected = len(cluster.command_by_index)
        members = [
            cluster.host_by_id[member.replica_id] for member in cluster.membership[1].members
        ]
        cluster.run_until(lambda: all(len(host.commands) == expected for host in members))

    def all_members_vote(self):
        members = self.cluster.membership[1].members
        return all(self.cluster.is_voting(member.replica_id) for member in members)


class FiveReplicaMachine(ReplicaMachine):
    count = 5


TestThreeReplicas = ReplicaMachine.TestCase
TestThreeReplicas.settings = hypothesis.settings(max_examples=120, stateful_step_count=60)
TestFiveReplicas = FiveReplicaMachine.TestCase
TestFiveReplicas.settings = hypothesis.settings(max_examples=45, stateful_step_count=60)


def test_a_leader_that_removes_itself_and_is_cut_off_leads_again():
    """Only its log holds the change, and one of the three other members has lost its disk."""
    state = ReplicaMachine()
    state.add_voter()
    state.block_one_way(other=1, index=2)
    state.cut_follower_off(is_frozen=False, index=0)
    state.freeze(index=0)
    state.run(seconds=0.3, steps=13)
    state.remove_voter(index=3)
    state.crash(kept_writes=0, index=2)
    state.cut_follower_off(is_frozen=False, index=1)
    state.lose_disk(is_leader=False, offset=-90.0, index=0)
    state.teardown()
