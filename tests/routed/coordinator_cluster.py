"""Simulation of coordinators in virtual time, with simulated links, disks and clocks.

At a power loss a real disk may keep any part of the writes since its last sync, a simulated one
keeps the first few: the journal's own tests show that recovery returns what is complete before the
first gap.
"""

import json
import random

from medlarfork import node
from medlarfork.coordination import (
    coordinator,
    coordinator_program,
    coordinator_types,
    operations_format,
)
from medlarfork.duties import duty_types
from medlarfork.replica import replica, replica_types
from tests import replica_cluster

STEP_S = 0.02
NO_DUTIES = duty_types.DutySettings()
PERIOD_S = 1.0


class Disk(replica_cluster.Disk):
    """Disk with synced and unsynced writes; a full disk syncs nothing."""

    def __init__(self):
        super().__init__()
        self.is_full = False


class Host:
    """One coordinator with its disk and its clock."""

    def __init__(self, replica_id):
        self.replica_id = replica_id
        self.disk = Disk()
        self.node = None
        self.wake_at = None
        self.suspended = None


class Cluster:
    """Coordinators, and the replies that operators and upstreams received."""

    def __init__(
        self,
        seeds=("a", "b", "c"),
        others=("d", "e"),
        seed=0,
        duties=NO_DUTIES,
        tolerated_losses=1,
    ):
        self.duties = duties
        self.tolerated_losses = tolerated_losses
        self.random = random.Random(seed)
        self.time = 100.0
        self.seeds = seeds
        self.host_by_id = {}
        self.packets = []
        self.cut = set()
        self.reply_by_operation = {}
        self.operations = 0
        self.acknowledged = 0
        self.sent_body_by_version = {}
        self.api_format = operations_format.OwnFormat(http_port=1)
        for replica_id in (*seeds, *others):
            self.start(replica_id, may_found=True)

    def start(self, replica_id, *, may_found=False, seeds=None):
        host = self.host_by_id.setdefault(replica_id, Host(replica_id))
        host.suspended = None
        seeds = seeds or self.seeds
        founders = seeds if may_found and replica_id in seeds else ()
        restored = host.disk.restored()
        log_replica = replica.Replica(
            replica_id=replica_id,
            initial_voters=replica_types.Voters(founders),
            restored=restored,
            random=random.Random(self.random.random()),
            options=coordinator_program.REPLICA_OPTIONS,
        )
        host.node = coordinator.Coordinator(
            replica_id=replica_id,
            boot=self.random.getrandbits(40) + 1,
            log_replica=log_replica,
            seeds=seeds,
            announce_period_s=PERIOD_S,
            ttl_s=2.0,
            decode=self.api_format.decode_routing,
            duties=self.duties,
            is_restarted=not restored.fresh,
            tolerated_losses=self.tolerated_losses,
        )
        self.post(replica_id, node.Started())

    def kill(self, replica_id, *, kept_writes=0):
        """Kill a process; the first ``kept_writes`` of its unsynced writes still reach the disk."""
        host = self.host_by_id[replica_id]
        for _ in range(min(kept_writes, len(host.disk.pending))):
            host.disk.sync_one()
        host.disk.pending = []
        host.node = None
        host.wake_at = None

    def wipe(self, replica_id):
        self.kill(replica_id)
        self.host_by_id[replica_id].disk = Disk()

    def remove(self, replica_id):
        """Remove a host permanently."""
        self.kill(replica_id)
        del self.host_by_id[replica_id]

    def suspend(self, replica_id):
        """Suspend a process; the clock advances, and its events are queued."""
        host = self.host_by_id[replica_id]
        if host.suspended is None:
            host.suspended = []

    def wake(self, replica_id):
        host = self.host_by_id[replica_id]
        events, host.suspended = host.suspended or [], None
        for event in events:
            self.post(replica_id, event)

    def post(self, replica_id, event):
        host = self.host_by_id.get(replica_id)
        if host is None or host.node is None:
            return
        if host.suspended is not None:
            host.suspended.append(event)
            return
        for action in host.node.handle(event, self.time):
            self.perform(host, action)

    def perform(self, host, action):
        match action:
            case node.Send(to, message):
                self.packets.append((host.replica_id, to, message))
            case node.Persist() | replica_types.SaveSnapshot():
                host.disk.pending.append(action)
            case node.Wake(at):
                host.wake_at = min(at, host.wake_at or at)
            case coordinator_types.OperationDone(operation_id, reply):
                self.reply_by_operation[operation_id] = reply

    def step(self):
        self.time += STEP_S
        packets, self.packets = self.packets, []
        for sender, to, message in packets:
            if not {(sender, to), sender, to} & self.cut:
                self.post(to, node.MessageReceived(sender, message))
        for host in tuple(self.host_by_id.values()):
            while host.node is not None and host.disk.pending and not host.disk.is_full:
                self.post(host.replica_id, node.Synced(host.disk.sync_one()))
            if host.node is not None and host.wake_at is not None and host.wake_at <= self.time:
                host.wake_at = None
                self.post(host.replica_id, node.TimeDue())

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def ask(self, replica_id, operation, *, within_s=2.0):
        """Return the reply to an operation, or None if there is none within the time."""
        self.operations += 1
        operation_id = self.operations
        self.post(replica_id, coordinator_types.OperationReceived(operation_id, operation))
        for _ in range(round(within_s / STEP_S)):
            if operation_id in self.reply_by_operation:
                break
            self.step()
        return self.reply_by_operation.get(operation_id)

    def ask_leader(self, replica_id, operation):
        """Send an operation to a replica, following up to two redirects to the leader."""
        reply = None
        for _ in range(3):
            reply = self.ask(replica_id, operation)
            if not isinstance(reply, coordinator_types.AskLeader):
                break
            replica_id = reply.leader_id
        return reply

    def put(self, replica_id, version, mark=""):
        """Put a version as operators do; the mark distinguishes contents of the same number."""
        body = json.dumps({"version": version, "accounts": [{"name": f"m{mark}"}]}).encode()
        bodies = self.sent_body_by_version.setdefault(version, [])
        bodies.append(body)
        reply = self.ask_leader(replica_id, coordinator_types.PutRouting(version, body))
        if isinstance(reply, coordinator_types.Accepted):
            self.acknowledged = max(self.acknowledged, version)
        return reply

    def read(self, replica_id):
        """Read the newest version, and check that no acknowledged version was lost."""
        known = self.acknowledged
        reply = self.ask_leader(replica_id, coordinator_types.GetRouting())
        if isinstance(reply, coordinator_types.RoutingFound):
            assert reply.version >= known, "an acknowledged version was lost"
            assert reply.body in self.sent_body_by_version[reply.version]
        return reply

    def until_read(self, seconds=30.0):
        """Run until reads through every replica return a version."""
        end_at = self.time + seconds
        while self.time < end_at:
            self.run(0.2)
            replies = [self.read(replica_id) for replica_id in tuple(self.host_by_id)]
            if all(isinstance(reply, coordinator_types.RoutingFound) for reply in replies):
                return replies[0]
        raise AssertionError(f"no answer to reads: {replies}")
