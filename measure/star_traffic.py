"""Measure the bytes that control and an entry host exchange as entry hosts and loads change.

One control node and a session for each entry host run in virtual time; every message is encoded
and counted, and none is sent. Run ``python -m measure.star_traffic``.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable
from typing import Any

from medlarfork import heartbeat, member, node, uuid7
from medlarfork.control import control, control_types, replicated_state
from medlarfork.declared import configuration
from medlarfork.entry import control_session, entry_options
from medlarfork.links import wire
from medlarfork.operator import operations
from medlarfork.replica import replica, replica_types

HOSTS = (9, 100, 390)
"""Entry hosts; the last is the size to design for."""

ACCOUNTS = 220
CONTROL = "control-1"
DRIFT_S = 120
"""How long loads drift, in seconds."""

_STARTED_MS = 1_764_700_000_000
_SETTLE_S = 60
_CODEC = wire.make_codec()


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Hold the mean bytes that an entry host received while something happened.

    Attributes:
        largest_second: Most bytes that one entry host received in one second.
    """

    what: str
    hosts: int
    seconds: int
    replies: float
    notices: float
    sent: float
    largest_second: int

    @property
    def total(self) -> float:
        """Return the bytes that an entry host sent and received."""
        return self.replies + self.notices + self.sent


class Star:
    """Pass messages between one control node and its entry hosts, one round a second."""

    def __init__(self, hosts: int) -> None:
        """Start control and let every entry host join."""
        self._random = random.Random(1)
        self._leader = _sole_leader()
        self._now = 10.0
        self._incarnations = 0
        self.load_by_id: dict[str, float] = {}
        self.session_by_id: dict[str, control_session.ControlSession] = {}
        self.bytes_by_kind: collections.Counter[str] = collections.Counter()
        self._received_by_id: collections.Counter[str] = collections.Counter()
        self.largest_second = 0
        for number in range(hosts):
            self.join(number)
        self.run(_SETTLE_S)

    def join(self, number: int) -> None:
        """Start an entry host."""
        entry_id = f"entry-{number:03d}"
        self._incarnations += 1
        described = _member(number, _STARTED_MS + self._incarnations)
        self.load_by_id[entry_id] = 0.4321
        self.session_by_id[entry_id] = control_session.ControlSession(
            entry_options.EntryNodeOptions(entry_id, 1, control_ids=(CONTROL,)),
            generator=random.Random(number),
            member_now=lambda: dataclasses.replace(described, load=self.load_by_id[entry_id]),
        )

    def lose(self, number: int) -> None:
        """Let an entry host fall silent."""
        del self.session_by_id[f"entry-{number:03d}"]

    def run(self, seconds: int) -> None:
        """Let heartbeat periods pass."""
        for _ in range(seconds):
            for place, (entry_id, session) in enumerate(tuple(self.session_by_id.items())):
                now = self._now + place / len(self.session_by_id)
                self._send_all(entry_id, session.handle(node.TimeDue(), now), now)
                self._deliver(self._leader.handle(node.TimeDue(), now), now)
            self._now += heartbeat.HEARTBEAT_PERIOD_S
            self.largest_second = max((self.largest_second, *self._received_by_id.values()))
            self._received_by_id.clear()

    def drift(self, seconds: int, step: float) -> None:
        """Let each load move by up to a step each second."""
        for _ in range(seconds):
            for entry_id, load in self.load_by_id.items():
                moved = load + self._random.uniform(-step, step)
                self.load_by_id[entry_id] = min(max(moved, 0.0), 1.0)
            self.run(1)

    def change_configuration(self, number: int) -> None:
        """Let an operator change one account."""
        self._deliver(_apply(self._leader, number, self._now), self._now)
        self.run(1)

    @property
    def agree(self) -> bool:
        """Return whether every entry host holds the same view."""
        views = {session.view for session in self.session_by_id.values()}
        return len(views) == 1

    def _send_all(self, entry_id: str, actions: tuple[Any, ...], now: float) -> None:
        for action in actions:
            if isinstance(action, node.Send):
                self.bytes_by_kind["sent"] += _size(action.message)
                event = node.MessageReceived(entry_id, action.message)
                self._deliver(self._leader.handle(event, now), now)

    def _deliver(self, actions: tuple[Any, ...], now: float) -> None:
        for action in actions:
            session = self.session_by_id.get(action.to) if isinstance(action, node.Send) else None
            if session is None:
                continue
            size = _size(action.message)
            is_reply = isinstance(action.message, heartbeat.HeartbeatReply)
            self.bytes_by_kind["replies" if is_reply else "notices"] += size
            self._received_by_id[action.to] += size
            event = node.MessageReceived(CONTROL, action.message)
            self._send_all(action.to, session.handle(event, now), now)


class _SoleReplica:
    """Lead alone and commit at once."""

    def __init__(self) -> None:
        self._index = 0
        leader = replica_types.Role.LEADER
        voters = replica_types.Voters((CONTROL,))
        self.status = replica.ReplicaStatus(leader, 1, CONTROL, 0, 0, 0, voters, True)

    def holds_lease(self, now: float) -> bool:
        """Return True: nobody else could lead."""
        return True

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Commit a proposal at once."""
        match event:
            case node.Started():
                return (replica_types.RoleChanged(replica_types.Role.LEADER, 1, CONTROL),)
            case replica_types.Propose(proposal_id, command):
                self._index += 1
                return (replica_types.Apply(self._index, 1, command, proposal_id),)
            case _:
                return ()


def main() -> tuple[Traffic, ...]:
    """Measure and print."""
    measured = tuple(traffic for hosts in HOSTS for traffic in measure(hosts))
    for item in measured:
        print(
            f"{item.what:28} {item.hosts:4} hosts {item.seconds:4} s"
            f" replies {item.replies:9.0f} notices {item.notices:7.0f} sent {item.sent:7.0f}"
            f" largest second {item.largest_second:7}"
        )
    return measured


def measure(hosts: int) -> list[Traffic]:
    """Return the traffic of each kind of change at one number of entry hosts."""
    star = Star(hosts)
    cases = [
        ("no news", 60, lambda: star.run(60)),
        ("one join", 10, lambda: (star.join(hosts), star.run(10))),
        ("one loss", 10, lambda: (star.lose(hosts), star.run(10))),
        ("loads drift", DRIFT_S, lambda: star.drift(DRIFT_S, 0.1)),
        ("one change of configuration", 1, lambda: star.change_configuration(2)),
    ]
    return [_measure(star, what, seconds, step) for what, seconds, step in cases]


def _measure(star: Star, what: str, seconds: int, step: Callable[[], Any]) -> Traffic:
    star.bytes_by_kind.clear()
    star.largest_second = 0
    step()
    hosts = len(star.session_by_id)
    means = {kind: count / hosts for kind, count in star.bytes_by_kind.items()}
    return Traffic(
        what,
        hosts,
        seconds,
        means.get("replies", 0.0),
        means.get("notices", 0.0),
        means.get("sent", 0.0),
        star.largest_second,
    )


def _sole_leader() -> control.ControlNode:
    leader = control.ControlNode(
        replica_id=CONTROL,
        replica=_SoleReplica(),
        state=replicated_state.ReplicatedState(),
        check=lambda whole: (),
        http_address_by_replica_id={CONTROL: ""},
    )
    leader.handle(control_types.WallClock(_STARTED_MS), 0.0)
    leader.handle(node.Started(), 0.0)
    _apply(leader, 1, 0.0)
    return leader


def _apply(leader: control.ControlNode, number: int, now: float) -> tuple[Any, ...]:
    accounts = [configuration.Account(f"account-{place}") for place in range(ACCOUNTS)]
    accounts[0] = configuration.Account(f"account-{0}", labels={"number": str(number)})
    change_id = uuid7.make(_STARTED_MS + number, bytes(uuid7.RANDOM_BYTES))
    whole = configuration.Configuration(accounts=tuple(accounts))
    change = operations.ApplyChange(change_id, number - 1, whole, "measure")
    actions = leader.handle(control_types.OperatorRequested("1", change), now)
    replies = [item.reply for item in actions if isinstance(item, control_types.OperatorAnswered)]
    if not isinstance(replies[0], operations.ChangeAccepted):
        raise RuntimeError(f"control did not accept the change: {replies[0]}")
    return actions


def _member(number: int, incarnation: int) -> member.Member:
    return member.Member(
        f"entry-{number:03d}",
        incarnation,
        member.MemberState.SERVING,
        f"tcp://10.1.{number // 250}.{number % 250}:7001",
        f"http://10.1.{number // 250}.{number % 250}:8080",
        f"region-1-dc-{number % 12}",
        0.4321,
    )


def _size(message: Any) -> int:
    return sum(map(len, _CODEC.encode(message)))


if __name__ == "__main__":
    main()
