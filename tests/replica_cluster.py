"""Simulate replicas with a lossy network, disks that lose unsynced writes, and separate clocks.

Every step checks the invariants; a violation raises AssertionError.
"""

import dataclasses
import random

import msgspec

from medlarfork import codec, node
from medlarfork.replica import _replica_messages, _replica_records, replica, replica_types

OPTIONS = replica.ReplicaOptions(
    snapshot_every_entries=12, trailing_entries=4, snapshot_chunk_bytes=64, batch_entries=4
)
STEP_SECONDS = 0.05
LINK_CODEC = codec.Codec(replica.REPLICA_MESSAGES)


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    sender: str
    to: str
    message: object


class Disk:
    """A simulated disk that separates synced and unsynced writes."""

    def __init__(self):
        self.snapshot = None
        self.records = []
        self.pending = []

    def sync_one(self):
        action = self.pending.pop(0)
        if isinstance(action, replica_types.SaveSnapshot):
            self.snapshot = action.snapshot
            self.records = list(action.records)
        else:
            self.records.extend(action.records)
        return action.token

    def restored(self):
        fresh = self.snapshot is None and not self.records
        return replica_types.Restored(tuple(self.records), self.snapshot, fresh)

    def decoded(self):
        return [_replica_records.RECORD_CODEC.unpack(record) for record in self.records]

    def last_index(self):
        last = 0
        if self.snapshot is not None:
            last = _replica_records.RECORD_CODEC.unpack(self.snapshot).index
        for record in self.decoded():
            if isinstance(record, _replica_records.Entry):
                last = record.index
        return last


class Host:
    """One replica's process, disk, clock and state machine."""

    def __init__(self, replica_id):
        self.replica_id = replica_id
        self.disk = Disk()
        self.replica = None
        self.offset = 0.0
        self.rate = 1.0
        self.wake_at = None
        self.frozen_events = None
        self.is_disk_slow = False
        self.commands = []
        self.applied_index = 0
        self.queue = []

    @property
    def state(self):
        return self.replica._state

    @property
    def is_leader(self):
        return self.replica is not None and self.replica.status.role is replica_types.Role.LEADER

    def active_memberships(self):
        """Return the latest memberships in the disk's journal and in the running process."""
        on_disk = [getattr(record, "membership", None) for record in self.disk.decoded()]
        found = [membership for membership in on_disk if membership is not None][-1:]
        if self.replica is not None and self.state.membership is not None:
            found.append(self.state.membership)
        return found

    def disk_ids(self):
        """Return the disk ids recorded on the disk: one, or none if the disk is empty."""
        records = self.disk.decoded()
        return [record.disk_id for record in records if hasattr(record, "disk_id")]


class Cluster:
    def __init__(self, count=3, seed=0, options=OPTIONS):
        self.random = random.Random(seed)
        self.options = options
        self.time = 100.0
        self.ids = tuple("abcdefg"[:count])
        self.host_by_id = {replica_id: Host(replica_id) for replica_id in self.ids}
        self.packets = []
        self.isolated = set()
        self.blocked = set()
        self.leader_by_term = {}
        self.command_by_index = {}
        self.accepted_by_id = {}
        self.refused_by_id = {}
        self.voters_by_index = {}
        self.membership = (0, None)
        self.actions = []
        for replica_id in self.ids:
            self.start(replica_id)

    def now(self, host):
        return host.offset + host.rate * self.time

    def start(self, replica_id, *, offset=0.0, rate=1.0, may_found=True):
        host = self.host_by_id.setdefault(replica_id, Host(replica_id))
        host.offset = offset
        host.rate = rate
        host.commands = []
        host.applied_index = 0
        host.frozen_events = None
        host.replica = replica.Replica(
            replica_id=replica_id,
            initial_voters=replica_types.Voters(self.ids if may_found else ()),
            restored=host.disk.restored(),
            random=random.Random(self.random.random()),
            options=self.options,
        )
        self.post(replica_id, node.Started())

    def crash(self, replica_id, *, kept_writes=0):
        """Stop a process; the first ``kept_writes`` unsynced writes still reach the disk."""
        host = self.host_by_id[replica_id]
        for _ in range(min(kept_writes, len(host.disk.pending))):
            host.disk.sync_one()
        host.disk.pending = []
        host.queue.clear()
        host.replica = None
        host.wake_at = None

    def lose_disk(self, replica_id):
        self.crash(replica_id)
        self.host_by_id[replica_id].disk = Disk()

    def freeze(self, replica_id):
        host = self.host_by_id[replica_id]
        if host.frozen_events is None:
            host.frozen_events = []

    def thaw(self, replica_id):
        host = self.host_by_id[replica_id]
        events, host.frozen_events = host.frozen_events or [], None
        for event in events:
            self.post(replica_id, event)

    def post(self, replica_id, event):
        host = self.host_by_id[replica_id]
        if host.replica is None:
            return
        if host.frozen_events is not None:
            host.frozen_events.append(event)
            return
        if isinstance(event, node.TimeDue):
            host.wake_at = None
        is_nested = bool(host.queue)
        host.queue.extend(host.replica.handle(event, self.now(host)))
        while host.queue and not is_nested:
            action = host.queue[0]
            self.actions.append((replica_id, action))
            self.perform(host, action)
            host.queue.pop(0)
        self.check_leases()

    def perform(self, host, action):
        match action:
            case node.Send():
                self.check_synced(host, action.message)
                message = LINK_CODEC.decode(*LINK_CODEC.encode(action.message))
                assert message == action.message
                self.packets.append(Packet(host.replica_id, action.to, message))
            case node.Persist() | replica_types.SaveSnapshot():
                host.disk.pending.append(action)
            case node.Wake():
                host.wake_at = min(action.at, host.wake_at or action.at)
            case replica_types.Apply():
                self.apply(host, action)
            case replica_types.VotersChanged():
                self.on_voters_changed(host, action)
            case replica_types.RestoreSnapshot():
                self.restore(host, action)
            case replica_types.TakeSnapshot():
                state = msgspec.msgpack.encode(host.commands)
                assert action.index >= host.applied_index
                self.post(host.replica_id, replica_types.SnapshotTaken(action.index, state))
            case replica_types.RoleChanged(role=replica_types.Role.LEADER):
                self.check_leader(host, action.term)
            case replica_types.ProposalRefused():
                self.refused_by_id[action.proposal_id] = action

    def apply(self, host, action):
        assert action.index > host.applied_index
        known = self.command_by_index.setdefault(action.index, action.command)
        assert known == action.command, "two commands at one index"
        host.applied_index = action.index
        host.commands.append((action.index, action.command))
        self.check_prefix(host)
        if action.proposal_id:
            self.accepted_by_id[action.proposal_id] = action.index

    def on_voters_changed(self, host, action):
        if action.index > self.membership[0]:
            self.membership = (action.index, host.state.log.membership_at(action.index))
        if action.proposal_id:
            self.accepted_by_id[action.proposal_id] = action.index

    def restore(self, host, action):
        pairs = msgspec.msgpack.decode(action.state, type=list[tuple[int, bytes]])
        host.commands = pairs
        host.applied_index = action.index
        self.check_prefix(host)

    def check_prefix(self, host):
        expected = sorted(index for index in self.command_by_index if index <= host.applied_index)
        assert [index for index, _ in host.commands] == expected, "an applied command is missing"
        assert all(self.command_by_index[index] == value for index, value in host.commands)

    def check_leader(self, host, term):
        key = (host.replica_id, host.state.me.disk_id)
        assert self.leader_by_term.setdefault(term, key) == key, "two leaders in one term"
        log = host.state.log
        for index, command in self.command_by_index.items():
            if index > log.base_index:
                assert index <= log.last_index, "a leader lacks an applied command"
                assert log.entry(index).command == command, "a leader has another command"

    def check_leases(self):
        holders = [
            host.replica_id
            for host in self.host_by_id.values()
            if host.replica is not None and host.replica.holds_lease(self.now(host))
        ]
        assert len(holders) <= 1, f"two leases at once: {holders}"

    def check_synced(self, host, message):
        match message:
            case _replica_messages.VoteReply(granted=True, preliminary=False):
                self.check_vote(host, message.asked_term, message.candidate)
            case _replica_messages.VoteRequest(preliminary=False):
                self.check_vote(host, message.term, message.candidate)
            case _replica_messages.AppendReply(matched=True):
                assert message.match_index <= host.disk.last_index(), "unsynced entries confirmed"

    def check_vote(self, host, term, candidate):
        record = _replica_records.TermRecord(term, candidate)
        assert record in host.disk.decoded(), "a vote was sent before its sync"

    def can_pass(self, sender, to):
        if sender in self.isolated or to in self.isolated:
            return False
        return (sender, to) not in self.blocked

    def deliver(self, packet):
        if self.can_pass(packet.sender, packet.to) and packet.to in self.host_by_id:
            self.post(packet.to, node.MessageReceived(packet.sender, packet.message))

    def sync(self, host):
        while host.disk.pending and not host.is_disk_slow and host.replica is not None:
            self.post(host.replica_id, node.Synced(host.disk.sync_one()))

    def step(self, seconds=STEP_SECONDS):
        """Advance the time, deliver the packets in flight and sync the disks."""
        self.time += seconds
        self.check_leases()
        packets, self.packets = self.packets, []
        for packet in packets:
            self.deliver(packet)
        for host in list(self.host_by_id.values()):
            self.sync(host)
            is_due = host.wake_at is not None and host.wake_at <= self.now(host)
            if host.replica is not None and is_due:
                self.post(host.replica_id, node.TimeDue())

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def run_until(self, condition, *, seconds=60):
        for _ in range(round(seconds / STEP_SECONDS)):
            if condition():
                return
            self.step()
        assert condition(), "the condition was not met in time"

    def leader(self):
        """Return the leader of the latest term, None if there is no leader."""
        leaders = [host for host in self.host_by_id.values() if host.is_leader]
        return max(leaders, key=lambda host: host.replica.status.term, default=None)

    def wait_for_leader(self):
        """Run until a leader holds its lease, and return it."""
        self.run_until(lambda: self.lease_holder() is not None)
        return self.lease_holder()

    def lease_holder(self):
        for host in self.host_by_id.values():
            if host.replica is not None and host.replica.holds_lease(self.now(host)):
                return host
        return None

    def propose(self, replica_id, proposal_id, command=b""):
        event = replica_types.Propose(proposal_id, command or proposal_id.encode())
        self.post(replica_id, event)

    def accept(self, proposal_id):
        """Propose to the leader, with retries, until accepted; leaders may step down meanwhile."""
        for attempt in range(20):
            attempt_id = f"{proposal_id}, attempt {attempt}" if attempt else proposal_id
            self.propose(self.wait_for_leader().replica_id, attempt_id, proposal_id.encode())
            self.run_until(lambda made=attempt_id: self.is_answered(made))
            if attempt_id in self.accepted_by_id:
                return self.accepted_by_id[attempt_id]
        raise AssertionError("no leader accepted the proposal")

    def is_answered(self, proposal_id):
        return proposal_id in self.accepted_by_id or proposal_id in self.refused_by_id

    def is_voting(self, replica_id):
        """Say whether a replica on its current disk is a voter in the committed membership."""
        host = self.host_by_id[replica_id]
        membership = self.membership[1]
        if membership is None or host.replica is None:
            return False
        return host.state.me in membership.voters
