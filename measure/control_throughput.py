"""Measure control: commits and claims a second with real syncs, and a heartbeat's cost.

Three control nodes run in one process with a journal each; messages between them are handed over
directly. Syncs run in a thread for each journal, as three hosts would sync at the same time.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import itertools
import pathlib
import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from medlarfork import claim, heartbeat, member, node, uuid7
from medlarfork.control import control, control_types, replicated_state
from medlarfork.declared import configuration
from medlarfork.entry import view_delta
from medlarfork.links import wire
from medlarfork.operator import operations
from medlarfork.orders import lease_table, lease_types
from medlarfork.replica import journal, replica, replica_types

REPLICA_IDS = ("c1", "c2", "c3")
OUTSTANDING = (1, 16, 64)
"""Requests that wait at the same time; what waits together may share a sync."""

MEMBERS = (10, 100, 390)
CELL_S = 1.2
IDLE_S = 0.002
"""Pause while there is nothing to do, in seconds."""

ROUNDS = 20
ACCOUNTS = 220
CLAIMS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Throughput:
    """Hold the requests a second that were answered with so many outstanding."""

    kind: str
    outstanding: int
    per_second: float
    syncs_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Hold the leader's processor time for one heartbeat, in microseconds.

    ``decide_us`` is the node alone; ``whole_us`` adds decoding and encoding. The first is the
    median of ``ROUNDS`` rounds, ``spread_us`` the distance between its quartiles.
    """

    members: int
    decide_us: float
    spread_us: float
    whole_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold all results."""

    throughput: tuple[Throughput, ...]
    heartbeats: tuple[HeartbeatCost, ...]
    bytes_per_claim: float
    snapshot_ms: float


class Trio:
    """Run three control nodes until they are closed."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Open the journals and start the nodes."""
        self.syncs = 0
        self.answered = 0
        self._events: collections.deque[tuple[str, Any]] = collections.deque()
        self._syncs: dict[concurrent.futures.Future[None], tuple[str, int]] = {}
        self._wake_by_id = dict.fromkeys(REPLICA_IDS, 0.0)
        self._journal_by_id = {name: journal.Journal(folder / name) for name in REPLICA_IDS}
        self._pool_by_id = {
            name: concurrent.futures.ThreadPoolExecutor(max_workers=1) for name in REPLICA_IDS
        }
        self.node_by_id = {name: self._node(name) for name in REPLICA_IDS}
        for name in REPLICA_IDS:
            self.post(name, node.Started())
            self.post(name, control_types.WallClock(time.time_ns() // 1_000_000))

    def close(self) -> None:
        """Wait for the syncs under way and close the journals."""
        for name in REPLICA_IDS:
            self._pool_by_id[name].shutdown()
            self._journal_by_id[name].close()

    def post(self, name: str, event: Any) -> None:
        """Let an event wait for its node."""
        self._events.append((name, event))

    def leader(self) -> str:
        """Run until a replica leads and return its id."""
        while True:
            for name, driven in self.node_by_id.items():
                if driven.status(time.monotonic()).has_lease:
                    return name
            self.step()

    def step(self) -> None:
        """Handle what waits, or wait a little for a sync."""
        now = time.monotonic()
        for name, wake in self._wake_by_id.items():
            if wake <= now:
                self._wake_by_id[name] = now + 0.05
                self.post(name, node.TimeDue())
        if not self._events and not self._syncs:
            time.sleep(IDLE_S)
        if not self._events and self._syncs:
            done, _ = concurrent.futures.wait(self._syncs, 0.01, concurrent.futures.FIRST_COMPLETED)
            for future in done:
                future.result()
                name, token = self._syncs.pop(future)
                self.post(name, node.Synced(token))
        for _ in range(len(self._events)):
            name, event = self._events.popleft()
            for action in self.node_by_id[name].handle(event, time.monotonic()):
                self._perform(name, action)

    def _node(self, name: str) -> control.ControlNode:
        part = replica.Replica(
            replica_id=name,
            initial_voters=replica_types.Voters(REPLICA_IDS),
            restored=self._journal_by_id[name].start(),
            random=random.Random(name),
        )
        return control.ControlNode(
            replica_id=name,
            replica=part,
            state=replicated_state.ReplicatedState(sub_states=(lease_table.LeaseTable(),)),
            check=lambda whole: (),
            http_address_by_replica_id=dict.fromkeys(REPLICA_IDS, ""),
        )

    def _perform(self, name: str, action: Any) -> None:
        match action:
            case node.Send(to, message):
                if to in self.node_by_id:
                    self.post(to, node.MessageReceived(name, message))
                elif isinstance(message, claim.ClaimReply):
                    self.answered += message.verdict is claim.Verdict.GRANTED
            case node.Wake(at):
                self._wake_by_id[name] = min(self._wake_by_id[name], at)
            case node.Persist(records, token):
                write = self._journal_by_id[name].append_and_sync
                self._sync(name, token, write, records)
            case replica_types.SaveSnapshot(_, snapshot, records, token):
                save = self._journal_by_id[name].save_snapshot
                self._sync(name, token, save, snapshot, records)
            case control_types.OperatorAnswered(_, reply):
                self.answered += not isinstance(reply, operations.Refused)

    def _sync(self, name: str, token: int, write: Callable[..., None], *values: Any) -> None:
        future = self._pool_by_id[name].submit(write, *values)
        self._syncs[future] = (name, token)
        self.syncs += 1


_NUMBERS = itertools.count(1)


def _lease(number: int) -> tuple[Any, ...]:
    seen = lease_types.LeaseVersion()
    take = lease_types.TakeLease("measured", f"holder-{number}", number, 1.0, seen)
    request = operations.AskSubState("leases", lease_table.COMMANDS.pack(take))
    return (control_types.OperatorRequested(str(number), request),)


def _claim(number: int) -> tuple[Any, ...]:
    return (node.MessageReceived("e1", _claim_request(number)),)


def _claim_request(number: int) -> claim.ClaimRequest:
    key = uuid7.make(time.time_ns() // 1_000_000, number.to_bytes(uuid7.RANDOM_BYTES, "big"))
    holder = claim.Holder("e1", 1, f"request-{number}")
    return claim.ClaimRequest(claim.ClaimKey("account-1", key), holder, "0" * 64)


def _measure_throughput(
    trio: Trio, kind: str, make: Callable[[int], tuple[Any, ...]], outstanding: int
) -> Throughput:
    leader = trio.leader()
    asked = trio.answered = trio.syncs = 0
    begun = time.monotonic()
    while time.monotonic() < begun + CELL_S:
        while asked < trio.answered + outstanding:
            asked += 1
            for event in make(next(_NUMBERS)):
                trio.post(leader, event)
        trio.step()
    seconds = time.monotonic() - begun
    result = Throughput(kind, outstanding, trio.answered / seconds, trio.syncs / seconds)
    while trio.answered < asked:
        trio.step()
    return result


def _measure_all_throughput() -> tuple[Throughput, ...]:
    with tempfile.TemporaryDirectory() as folder:
        trio = Trio(pathlib.Path(folder))
        cells = tuple(
            _measure_throughput(trio, kind, make, outstanding)
            for kind, make in (("commits", _lease), ("claims", _claim))
            for outstanding in OUTSTANDING
        )
        trio.close()
    return cells


class _SoleReplica:
    """Lead alone and commit at once, so that only the node's own work is measured."""

    def __init__(self) -> None:
        """Start with an empty log."""
        self._index = 0
        self.status = replica.ReplicaStatus(replica_types.Role.LEADER, 1, "c1", 0, 0, 0, None, True)

    def holds_lease(self, now: float) -> bool:
        """Return True: nobody else could lead."""
        return True

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Commit a proposal at once."""
        match event:
            case node.Started():
                return (replica_types.RoleChanged(replica_types.Role.LEADER, 1, "c1"),)
            case replica_types.Propose(proposal_id, command):
                self._index += 1
                return (replica_types.Apply(self._index, 1, command, proposal_id),)
            case _:
                return ()


def _sole_leader() -> control.ControlNode:
    leader = control.ControlNode(
        replica_id="c1",
        replica=_SoleReplica(),
        state=replicated_state.ReplicatedState(),
        check=lambda whole: (),
        http_address_by_replica_id={"c1": ""},
    )
    leader.handle(control_types.WallClock(time.time_ns() // 1_000_000), 0.0)
    leader.handle(node.Started(), 0.0)
    accounts = tuple(configuration.Account(f"account-{i}") for i in range(ACCOUNTS))
    whole = configuration.Configuration(accounts=accounts)
    change_id = uuid7.make(time.time_ns() // 1_000_000, bytes(uuid7.RANDOM_BYTES))
    change = operations.ApplyChange(change_id, 0, whole, "measure")
    leader.handle(control_types.OperatorRequested("1", change), 0.0)
    return leader


def _beat(entry_id: str, number: int, view: member.View, load: float) -> heartbeat.Heartbeat:
    sender = member.Member(
        entry_id=entry_id,
        incarnation=1,
        state=member.MemberState.SERVING,
        link_address="tcp://127.0.0.1:1",
        http_address="http://127.0.0.1:1",
        load=load,
    )
    return heartbeat.Heartbeat(sender, number, 1, view.version)


def _measure_heartbeats(members: int) -> HeartbeatCost:
    """Measure rounds in which nothing changes: what control does all day."""
    leader = _sole_leader()
    codec = wire.make_codec()
    ids = [f"e{i}" for i in range(members)]
    view = member.View()
    decided: list[float] = []
    encoded_s = 0.0
    for number in range(1, ROUNDS + 4):
        spent = 0.0
        for position, entry_id in enumerate(ids):
            now = number + position / members
            encoded = codec.pack(_beat(entry_id, number, view, 0.5))
            begun = time.process_time()
            event = node.MessageReceived(entry_id, codec.unpack(encoded))
            handed = time.process_time()
            actions = leader.handle(event, now)
            handled = time.process_time()
            for action in actions:
                if isinstance(action, node.Send):
                    codec.encode(action.message)
            ended = time.process_time()
            spent += handled - handed
            if number > 3:
                encoded_s += ended - handled + handed - begun
            view = _newest_view(actions, view)
        if number > 3:
            decided.append(spent / members * 1e6)
    decided.sort()
    median = decided[len(decided) // 2]
    spread = decided[len(decided) * 3 // 4] - decided[len(decided) // 4]
    whole = median + encoded_s / ROUNDS / members * 1e6
    return HeartbeatCost(members, median, spread, whole)


def _newest_view(actions: tuple[Any, ...], view: member.View) -> member.View:
    for action in actions:
        if isinstance(action, node.Send) and isinstance(action.message, heartbeat.HeartbeatReply):
            delta = action.message.view_delta
            changed = None if delta is None else view_delta.apply(view, delta)
            view = action.message.view or changed or view
    return view


def _measure_claims() -> tuple[float, float]:
    """Return the bytes that a claim takes in memory, and a snapshot's milliseconds."""
    state = replicated_state.ReplicatedState()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(0, CLAIMS, 100):
        operations_ = tuple(
            replicated_state.ClaimOperation(request=_claim_request(number + i)) for i in range(100)
        )
        batch = replicated_state.ClaimBatch(time.time_ns() // 1_000_000, operations_)
        state.apply(replicated_state.COMMANDS.pack(batch))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    begun = time.process_time()
    state.encode()
    return (after - before) / CLAIMS, (time.process_time() - begun) * 1e3


def main() -> None:
    """Run all measurements and print a table, then JSON."""
    cells = _measure_all_throughput()
    costs = [_measure_heartbeats(members) for members in MEMBERS]
    bytes_per_claim, snapshot_ms = _measure_claims()
    report = Report(cells, tuple(costs), bytes_per_claim, snapshot_ms)
    print(f"{'kind':10} {'outstanding':>12} {'per second':>12} {'syncs/s':>10}")
    for cell in report.throughput:
        print(
            f"{cell.kind:10} {cell.outstanding:12} {cell.per_second:12.0f} "
            f"{cell.syncs_per_second:10.0f}"
        )
    print(f"\n{'members':>10} {'decide us':>10} {'spread us':>10} {'with codec us':>14}")
    for cost in report.heartbeats:
        print(
            f"{cost.members:10} {cost.decide_us:10.1f} {cost.spread_us:10.1f} {cost.whole_us:14.1f}"
        )
    print(f"\nbytes per claim {bytes_per_claim:.0f}; snapshot of {CLAIMS} claims ", end="")
    print(f"{snapshot_ms:.0f} ms")
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")


if __name__ == "__main__":
    main()
