"""Drive three control nodes on real replicas through faults, with operators and entry hosts.

Network, disks and time are in memory. Disks lose what was not synced; the network delays, drops,
repeats and reorders.
"""

import heapq
import itertools
import random

import hypothesis
from hypothesis import stateful, strategies

from medlarfork import claim, errors, heartbeat, member, node, uuid7
from medlarfork.control import control, control_types, replicated_state
from medlarfork.declared import configuration, configuration_delta
from medlarfork.operator import operations
from medlarfork.orders import lease_table, order_manager, orders, weight_load_scheduler
from medlarfork.replica import replica, replica_types
from medlarfork.settings import planner_settings

_REPLICA_IDS = ("c1", "c2", "c3")
_ENTRY_IDS = ("e1", "e2")
_OPTIONS = replica.ReplicaOptions(snapshot_every_entries=4, trailing_entries=1)
_ASKED = strategies.sampled_from(("", "", "", *_REPLICA_IDS))
"""Whom an operator asks; empty for the leader."""

_PLANNER = planner_settings.PlannerSettings(weight_load_scheduler.WeightStoreSettings(1e9))
_EPOCH_MS = 1_700_000_000_000


class _Disk:
    """Hold what is synced."""

    def __init__(self):
        self.records = ()
        self.snapshot = None

    def restored(self):
        fresh = not self.records and self.snapshot is None
        return replica_types.Restored(self.records, self.snapshot, fresh)

    def write(self, action):
        if isinstance(action, replica_types.SaveSnapshot):
            self.snapshot, self.records = action.snapshot, action.records
        else:
            self.records += action.records


class _Process:
    """Run one control node until it crashes."""

    def __init__(self, world, replica_id):
        self.world = world
        self.replica_id = replica_id
        self.disk = world.disk_by_id[replica_id]
        part = replica.Replica(
            replica_id=replica_id,
            initial_voters=replica_types.Voters(_REPLICA_IDS),
            restored=self.disk.restored(),
            random=random.Random(world.random.random()),
            options=_OPTIONS,
        )
        world.starts += 1
        self.holder = f"{replica_id}-{world.starts}"
        self.desk = order_manager.OrderManager(
            order_manager.OrderManagerOptions(self.holder, _PLANNER, lease_s=1.5),
            board=orders.OrderBoard(),
            table=lease_table.LeaseTable(),
        )
        sub_states = (self.desk.table, self.desk.board)
        self.node = control.ControlNode(
            replica_id=replica_id,
            replica=part,
            state=replicated_state.ReplicatedState(sub_states=sub_states),
            check=lambda whole: (),
            http_address_by_replica_id={name: f"http://{name}" for name in _REPLICA_IDS},
            desk=self.desk,
        )

    def post(self, event):
        if self.world.process_by_id.get(self.replica_id) is not self:
            return
        for action in self.node.handle(event, self.world.now):
            self.perform(action)
        self.world.check_holders()

    def perform(self, action):
        match action:
            case node.Send(to, message):
                self.world.send(self.replica_id, to, message)
            case node.Wake(at):
                self.world.at(at, lambda: self.post(node.TimeDue()))
            case node.Persist() | replica_types.SaveSnapshot():
                # One disk writes in order.
                self.world.disk_free_at[self.replica_id] = at = max(
                    self.world.now + 0.002, self.world.disk_free_at[self.replica_id]
                )
                self.world.at(at, lambda: self.sync(action))
            case control_types.OperatorAnswered(call_id, reply):
                self.world.answered(call_id, reply)

    def sync(self, action):
        if self.world.process_by_id.get(self.replica_id) is self:
            self.disk.write(action)
            self.post(node.Synced(action.token))


class _Entry:
    """Send heartbeats, follow the configuration and ask for claims, like an entry host."""

    def __init__(self, world, entry_id, incarnation):
        self.world = world
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.revisioned = heartbeat.RevisionedConfiguration(0, configuration.Configuration())
        self.view_version = (0, 0)
        self.number = 0
        self.revision_by_number = {}
        self.asked_by_key = {}
        self.granted = set()
        self.beat()

    @property
    def alive(self):
        return self.world.entry_by_id.get(self.entry_id, self) is self

    def beat(self):
        if not self.alive:
            return
        self.number += 1
        me = member.Member(
            self.entry_id, self.incarnation, member.MemberState.SERVING, "tcp://x", "http://x"
        )
        revision = self.revisioned.revision
        self.revision_by_number[self.number] = revision
        message = heartbeat.Heartbeat(me, self.number, revision, self.view_version)
        # Asking all replicas makes an old leader's answer as likely as can be.
        for replica_id in _REPLICA_IDS:
            self.world.send(self.entry_id, replica_id, message)
        self.world.at(self.world.now + heartbeat.HEARTBEAT_PERIOD_S, self.beat)

    def ask(self, key):
        holder = claim.Holder(self.entry_id, self.incarnation, f"{self.entry_id}-{key}")
        asked = claim.ClaimRequest(claim.ClaimKey("acc", key), holder, "body")
        self.asked_by_key[key] = asked
        self.broadcast(asked)

    def broadcast(self, message):
        for replica_id in _REPLICA_IDS:
            self.world.send(self.entry_id, replica_id, message)

    def receive(self, message):
        match message:
            case heartbeat.HeartbeatReply() if message.incarnation == self.incarnation:
                self.take_reply(message)
            case claim.ClaimReply(key, holder, claim.Verdict.GRANTED):
                # A holder of an earlier incarnation never dispatches.
                if holder.incarnation == self.incarnation:
                    self.world.granted(key, holder)
                    self.granted.add(key.key)

    def take_reply(self, reply):
        assert reply.revision >= self.revision_by_number[reply.number], "an older revision"
        if reply.view is not None:
            self.view_version = max(self.view_version, reply.view.version)
        after = reply.whole
        if reply.delta is not None and reply.delta.base_revision == self.revisioned.revision:
            after = configuration_delta.apply(self.revisioned, reply.delta)
        if after is not None and after.revision > self.revisioned.revision:
            self.world.in_force(after)
            self.revisioned = after


class _Simulation:
    """Hold the processes, the network, the time, and what was promised to anyone."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.events = []
        self.sequence = itertools.count()
        self.disk_by_id = {name: _Disk() for name in _REPLICA_IDS}
        self.disk_free_at = dict.fromkeys(_REPLICA_IDS, 0.0)
        self.process_by_id = {}
        self.clock_step_by_id = dict.fromkeys(_REPLICA_IDS, 0)
        self.entry_by_id = {}
        self.isolated = set()
        self.cut_off = set()
        self.faulty = True
        self.change_by_id = {}
        self.reply_by_change = {}
        self.change_by_revision = {}
        self.holder_by_key = {}
        self.holder_by_fence = {}
        self.starts = 0
        self.request_by_call = {}
        self.replies = 0
        for name in _REPLICA_IDS:
            self.start(name)
        for entry_id in _ENTRY_IDS:
            self.entry_by_id[entry_id] = _Entry(self, entry_id, 1)

    def start(self, name):
        self.process_by_id[name] = process = _Process(self, name)
        process.post(node.Started())
        self.read_clock(process)

    def read_clock(self, process):
        """Tell a process its wall clock each second, as long as it runs."""
        if self.process_by_id.get(process.replica_id) is not process:
            return
        step_ms = self.clock_step_by_id[process.replica_id]
        process.post(control_types.WallClock(int(_EPOCH_MS + self.now * 1000) + step_ms))
        self.at(self.now + 1.0, lambda: self.read_clock(process))

    def at(self, time, action):
        heapq.heappush(self.events, (time, next(self.sequence), action))

    def run(self, seconds):
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            time, _, action = heapq.heappop(self.events)
            self.now = max(self.now, time)
            action()
        self.now = until

    def send(self, sender, to, message):
        copies = self.random.choice((0, 1, 1, 1, 1, 1, 1, 1, 1, 2)) if self.faulty else 1
        for _ in range(copies):
            delay = self.random.uniform(0.001, 0.05 if self.faulty else 0.002)
            self.at(self.now + delay, lambda: self.deliver(sender, to, message))

    def deliver(self, sender, to, message):
        if sender in self.isolated or to in self.isolated:
            return
        # Entry hosts still reach a replica that only the others can't hear any more.
        if {sender, to} <= set(_REPLICA_IDS) and {sender, to} & self.cut_off:
            return
        if to in self.process_by_id:
            self.process_by_id[to].post(node.MessageReceived(sender, message))
        elif to in self.entry_by_id:
            self.entry_by_id[to].receive(message)

    def ask(self, name, request):
        name = name or self.leader()
        call_id = str(next(self.sequence))
        self.request_by_call[call_id] = request
        if name in self.process_by_id:
            self.process_by_id[name].post(control_types.OperatorRequested(call_id, request))
        self.run(0.02)

    def answered(self, call_id, reply):
        request = self.request_by_call.pop(call_id)
        final = (errors.Code.CHANGE_CONFLICT, errors.Code.CHANGE_TOO_OLD)
        if isinstance(reply, operations.Refused) and reply.code not in final:
            return
        self.replies += 1
        match request:
            case operations.ApplyChange(change_id):
                first = self.reply_by_change.setdefault(change_id, reply)
                assert reply == first, "another answer to the same change"
                if isinstance(reply, operations.ChangeAccepted):
                    winner = self.change_by_revision.setdefault(reply.revision, change_id)
                    assert winner == change_id, "two changes became one revision"
                    assert reply.revision == request.base_revision + 1

    def check_holders(self):
        """Check that one process may order engines, under a fence of its own, never a lower one."""
        acting = [p for p in self.process_by_id.values() if p.desk.lease.may_act(self.now)]
        assert len(acting) <= 1, "two holders may act"
        for process in acting:
            fence = process.desk.lease.fence
            assert self.holder_by_fence.setdefault(fence, process.holder) == process.holder
            assert fence == max(self.holder_by_fence), "an older holder acts"

    def in_force(self, revisioned):
        change_id = revisioned.configuration.name
        known = self.change_by_revision.setdefault(revisioned.revision, change_id)
        assert known == change_id, "a revision with another content"
        change = self.change_by_id[change_id]
        assert revisioned.configuration == change.configuration
        assert revisioned.revision == change.base_revision + 1

    def granted(self, key, holder):
        assert self.holder_by_key.setdefault(key.key, holder) == holder, "granted twice"

    def leader(self):
        found = []
        for process in self.process_by_id.values():
            call_id = "status"
            asked = control_types.OperatorRequested(call_id, operations.GetStatus())
            (answered,) = (
                action
                for action in process.node.handle(asked, self.now)
                if isinstance(action, control_types.OperatorAnswered)
            )
            if answered.reply.has_lease:
                found.append(process.replica_id)
        assert len(found) <= 1, "two leaders with a lease"
        return found[0] if found else ""


class ControlMachine(stateful.RuleBasedStateMachine):
    """Race operators and entry hosts while control hosts fail."""

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def found(self, seed):
        self.world = _Simulation(seed)
        self.lost_disk = False
        self.numbers = itertools.count()
        self.world.faulty = False
        for _ in range(40):
            self.world.run(0.5)
            if self.world.leader():
                break
        assert self.world.leader(), "no first leader"
        self.world.faulty = True

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.1, 1.0, 4.0)))
    def pass_time(self, seconds):
        self.world.run(seconds)
        self.world.leader()

    @stateful.rule(
        names=strategies.lists(_ASKED, min_size=1, max_size=3),
        behind=strategies.sampled_from((0, 0, 0, 1)),
        operators=strategies.integers(1, 3),
    )
    def change(self, names, behind, operators):
        base = max(0, max(self.world.change_by_revision, default=0) - behind)
        for operator in range(operators):
            number = next(self.numbers)
            unix_ms = int(_EPOCH_MS + self.world.now * 1000)
            tail = number.to_bytes(uuid7.RANDOM_BYTES, "big")
            change_id = uuid7.make(unix_ms, tail)
            accounts = tuple(configuration.Account(f"a{i}") for i in range(number % 7))
            whole = configuration.Configuration(name=change_id, accounts=accounts)
            change = operations.ApplyChange(change_id, base, whole, f"operator-{operator}")
            self.world.change_by_id[change_id] = change
            for name in names:
                self.world.ask(name, change)

    @stateful.precondition(lambda self: self.world.change_by_id)
    @stateful.rule(data=strategies.data(), name=_ASKED)
    def resend_a_change(self, data, name):
        change_id = data.draw(strategies.sampled_from(sorted(self.world.change_by_id)))
        self.world.ask(name, self.world.change_by_id[change_id])

    @stateful.rule(
        entry_ids=strategies.lists(strategies.sampled_from(_ENTRY_IDS), min_size=1, max_size=3),
        key=strategies.sampled_from("kl"),
        answer=strategies.sampled_from((None, claim.StoredAnswer(200, "", b"x"))),
        finish=strategies.booleans(),
    )
    def claim(self, entry_ids, key, answer, finish):
        entries = [self.world.entry_by_id[entry_id] for entry_id in entry_ids]
        for entry in entries:
            entry.ask(key)
        self.world.run(0.2)
        for entry in entries:
            asked = entry.asked_by_key[key]
            if finish and key in entry.granted:
                entry.broadcast(claim.ClaimFinish(asked.key, asked.holder, answer))
        self.world.run(0.1)

    @stateful.rule(entry_id=strategies.sampled_from(_ENTRY_IDS))
    def restart_an_entry_host(self, entry_id):
        incarnation = self.world.entry_by_id[entry_id].incarnation + 1
        del self.world.entry_by_id[entry_id]
        self.world.entry_by_id[entry_id] = _Entry(self.world, entry_id, incarnation)

    @stateful.rule()
    def wait_for_a_holder(self):
        self.world.run(2.0)
        self.world.check_holders()

    @stateful.rule(name=strategies.sampled_from(_REPLICA_IDS))
    def crash_or_restart(self, name):
        if name in self.world.process_by_id:
            del self.world.process_by_id[name]
        else:
            self.world.start(name)
        self.world.run(0.5)

    @stateful.rule()
    def crash_the_leader(self):
        self.world.process_by_id.pop(self.world.leader(), None)
        self.world.run(2.0)

    @stateful.precondition(lambda self: not self.lost_disk)
    @stateful.rule(name=strategies.sampled_from(_REPLICA_IDS))
    def lose_a_disk(self, name):
        self.lost_disk = True
        self.world.process_by_id.pop(name, None)
        self.world.disk_by_id[name] = _Disk()

    @stateful.rule(name=strategies.sampled_from((*_REPLICA_IDS, *_ENTRY_IDS)))
    def isolate_or_heal(self, name):
        self.world.isolated ^= {name}

    @stateful.rule(seconds=strategies.sampled_from((0.5, 1.0, 4.0)))
    def cut_off_the_leader_for_a_while(self, seconds):
        name = self.world.leader()
        self.world.cut_off.add(name)
        self.world.run(seconds)
        self.change([name, *_REPLICA_IDS], 0, 1)
        self.world.run(seconds)
        self.world.cut_off.clear()

    @stateful.rule()
    def restart_all(self):
        self.world.process_by_id.clear()
        for name in _REPLICA_IDS:
            self.world.start(name)
        self.world.run(4.0)

    @stateful.rule(
        name=strategies.sampled_from(_REPLICA_IDS),
        step_ms=strategies.sampled_from((-86_400_000, -5_000, 5_000)),
    )
    def step_a_clock(self, name, step_ms):
        """Step it from its next reading on; an earlier step is undone."""
        self.world.clock_step_by_id[name] = step_ms

    @stateful.rule(name=strategies.sampled_from(_REPLICA_IDS))
    def stop_gracefully(self, name):
        if name in self.world.process_by_id:
            self.world.process_by_id[name].post(control_types.StopRequested())
            self.world.run(1.0)
            self.world.process_by_id.pop(name, None)

    def teardown(self):
        """Heal everything: the next change must come into force on every entry host."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.isolated.clear()
        world.faulty = False
        for name in _REPLICA_IDS:
            if name not in world.process_by_id:
                world.start(name)
        before = max(world.change_by_revision, default=0)
        for _ in range(60):
            world.run(0.5)
            name = world.leader()
            if not name:
                continue
            revision = max(item.revisioned.revision for item in world.entry_by_id.values())
            before = max(before, max(world.change_by_revision, default=0), revision)
            self.change([name], 0, 1)
            world.run(2.5)
            in_force = {item.revisioned.revision for item in world.entry_by_id.values()}
            if in_force == {before + 1}:
                return
        raise AssertionError("no change came into force after all faults were healed")


ControlMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=50, deadline=None
)
test_control_survives_faults = ControlMachine.TestCase
