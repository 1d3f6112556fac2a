"""Measure the slopes that docs/CAPACITY.md extrapolates: state, messages and time by size.

Nodes run in this process and nothing is sent; links and sockets are measured by other parts. Run
``python -m measure.capacity``.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from measure import star_traffic
from medlarfork import heartbeat, member, node, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.entry import entry, entry_options, entry_types
from medlarfork.links import wire

HOSTS = (9, 100, 390)
"""Entry hosts of the view; the last is the size to design for."""

UPSTREAMS = (17, 170)
"""Upstreams owned by one entry host; 6,700 engines over 390 hosts are 17."""

ACCOUNTS = 220
MODELS = 23
SHARDS = 10
"""Pools of each model: 291 engines a model are 29 a pool."""

VIEW_CHANGES_A_DAY = 1_200
"""A join and a loss for each host that fails or is restarted or replaced on an ordinary day."""

REVISIONS_A_DAY = 5_600
_DAY_S = 86_400
_REPEATS = 200
_SELF = "entry-000"
_CONTROL = "control-1"


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Hold one figure at one size."""

    what: str
    size: int
    figure: float
    unit: str


def main() -> tuple[Slope, ...]:
    """Measure and print."""
    slopes = (
        *_message_sizes(),
        *_view_slopes(),
        *_star_slopes(),
        *_upstream_slopes(),
        *_configuration_slopes(),
    )
    for slope in slopes:
        print(f"{slope.what:58} {slope.size:6} {slope.figure:12.1f} {slope.unit}")
    return slopes


class _Host:
    """Drive one entry node through its door, playing control."""

    def __init__(self, declared: configuration.Configuration, hosts: int) -> None:
        options = entry_options.EntryNodeOptions(
            entry_id=_SELF, incarnation=1, control_ids=(_CONTROL,)
        )
        self.node = entry.EntryNode(options=options, random=random.Random(1))
        self.now = 0.0
        self._members = tuple(_member(number) for number in range(hosts))
        self._sequence = itertools.count(1)
        started = self.node.handle(node.Started(), self.now)
        self.answer(started, declared=declared, view=member.View((1, 1), self._members))

    def answer(self, actions: tuple[Any, ...], **news: Any) -> None:
        """Answer the heartbeat among the actions."""
        declared = news.pop("declared", None)
        whole = heartbeat.RevisionedConfiguration(1, declared) if declared is not None else None
        for action in actions:
            match action:
                case node.Send(message=heartbeat.Heartbeat(number=number)):
                    reply = heartbeat.HeartbeatReply(number, 1, 1, whole=whole, **news)
                    self.node.handle(node.MessageReceived(_CONTROL, reply), self.now)

    def beat(self) -> None:
        """Let one heartbeat period pass."""
        self.now += heartbeat.HEARTBEAT_PERIOD_S
        self.answer(self.node.handle(node.TimeDue(), self.now))

    def announce(self, number: int) -> None:
        """Announce an upstream of one of the models."""
        seen = upstream.Announcement(
            f"engine-{number:04d}",
            1,
            next(self._sequence),
            upstream.UpstreamState.READY,
            f"http://10.0.0.1:{number + 1}",
            labels={"service": f"model-{number % MODELS}"},
            slots=8,
        )
        self.node.handle(entry_types.UpstreamSeen(seen), self.now)
        self.node.handle(node.MessageReceived(_SELF, entry_types.UpstreamSeen(seen)), self.now)


def _declared() -> configuration.Configuration:
    return configuration.Configuration(
        accounts=tuple(
            configuration.Account(f"account-{number}", (f"{number:064x}",), {"group": "g"})
            for number in range(ACCOUNTS)
        ),
        classes=tuple(
            configuration.RequestClass(f"class-{tier}", tier, f"group=g, tier={tier}")
            for tier in range(1, 5)
        ),
        services=tuple(
            configuration.Service(
                f"model-{number}",
                configuration.ServiceKind.MODEL,
                f"service=model-{number}",
                (f"model-{number}",),
                shards=SHARDS,
            )
            for number in range(MODELS)
        ),
    )


def _member(number: int) -> member.Member:
    return member.Member(
        f"entry-{number:03d}",
        1_764_700_000_000,
        member.MemberState.SERVING,
        f"tcp://10.1.{number // 250}.{number % 250}:7001",
        f"http://10.1.{number // 250}.{number % 250}:8080",
        f"region-1-dc-{number % 12}",
        0.4321,
    )


def _message_sizes() -> list[Slope]:
    codec = wire.make_codec()
    asked = ticket.Ticket(
        "01a237e9-c1a9-7a5b-91bd-f2ecf9bda443/1", _SELF, "model-1/3", "account-7", "chat", 2, 0, 9
    )
    granted = ticket.Grant(asked.ticket_id, _SELF, asked.pool, "engine-0001", "http://10.0.0.1:80")
    released = ticket.Release(asked.ticket_id, asked.pool, ticket.ReleaseCause.FINISHED, 0.2, 1.5)
    messages = (
        heartbeat.Heartbeat(_member(17), 123_456, 5_600, (41, 1_234)),
        heartbeat.HeartbeatReply(123_456, 41, 5_600),
        asked,
        ticket.Queued(asked.ticket_id, asked.pool),
        granted,
        released,
        ticket.Released(asked.ticket_id, asked.pool),
    )
    sizes = [
        Slope(f"message {type(item).__name__}", 1, sum(map(len, codec.encode(item))), "bytes")
        for item in messages
    ]
    seen = upstream.Announcement(
        "engine-r1-dc03-0123",
        1_764_700_000_000,
        123_456,
        upstream.UpstreamState.READY,
        "http://10.2.17.33:8000",
        labels={"service": "model-17", "pool": "a"},
        data_centre="region-1-dc-3",
        slots=8,
        models=("model-17",),
        role="mixed",
        load=upstream.Load(5, 2, 0.73, 0.4),
    )
    reply = upstream.AnnouncementReply(
        ("http://10.1.0.17:8080", "http://10.1.1.140:8080", "http://10.1.0.3:8080"), 1.0, 3.0
    )
    return sizes + [
        Slope(f"JSON of {type(item).__name__}", 1, len(msgspec.json.encode(item)), "bytes")
        for item in (seen, reply)
    ]


def _view_slopes() -> list[Slope]:
    declared = _declared()
    slopes = []
    for hosts in HOSTS:
        used, host = _memory(lambda count=hosts: _Host(declared, count))
        slopes.append(Slope("entry node: memory with a view of hosts", hosts, used / 1024, "KiB"))
        slopes.append(Slope("entry node: time a heartbeat", hosts, _time_us(host.beat), "us"))
        changes = itertools.cycle((hosts - 1, hosts))
        versions = itertools.count(2)

        def _change(host: _Host = host, changes: Any = changes, versions: Any = versions) -> None:
            members = tuple(_member(number) for number in range(next(changes)))
            host.now += heartbeat.HEARTBEAT_PERIOD_S
            view = member.View((1, next(versions)), members)
            host.answer(host.node.handle(node.TimeDue(), host.now), view=view)

        took = _time_us(_change, repeats=10)
        slopes.append(Slope("entry node: time a change of the view", hosts, took, "us"))
        took = _time_us(_delta_step(host, hosts), repeats=20)
        slopes.append(Slope("entry node: time a view delta, 230 pools", hosts, took, "us"))
    return slopes


def _delta_step(host: _Host, hosts: int) -> Callable[[], None]:
    """Return a step in which the last entry host leaves or joins by a view delta."""
    members = tuple(_member(number) for number in range(hosts))
    host.now += heartbeat.HEARTBEAT_PERIOD_S
    whole = member.View((2, 0), members)
    host.answer(host.node.handle(node.TimeDue(), host.now), view=whole)
    counts = itertools.cycle((hosts - 1, hosts))
    versions = itertools.count(1)

    def _step() -> None:
        version, count = next(versions), next(counts)
        joined, left = members[hosts - 1 : count], members[count:]
        removed = tuple(item.entry_id for item in left)
        delta = heartbeat.ViewDelta(
            (2, version - 1), (2, version), joined, removed, {}, member_count=count
        )
        host.now += heartbeat.HEARTBEAT_PERIOD_S
        host.answer(host.node.handle(node.TimeDue(), host.now), view_delta=delta)
        assert host.node.view.version == delta.version

    return _step


def _star_slopes() -> list[Slope]:
    """Measure what an entry host sends to control and hears from it."""
    slopes = []
    for hosts in HOSTS:
        quiet, join, loss, loads, revision = star_traffic.measure(hosts)
        base = quiet.total / quiet.seconds

        def _extra(case: star_traffic.Traffic, base: float = base) -> float:
            return case.total - base * case.seconds

        views = (_extra(join) + _extra(loss)) / 2 * VIEW_CHANGES_A_DAY / _DAY_S
        revisions = _extra(revision) * REVISIONS_A_DAY / _DAY_S
        slopes += [
            Slope("entry host and control: heartbeats", hosts, base, "bytes/s"),
            Slope("entry host and control: 1,200 views a day", hosts, views, "bytes/s"),
            Slope("entry host and control: 5,600 revisions a day", hosts, revisions, "bytes/s"),
            Slope(
                "entry host and control: drifting loads",
                hosts,
                _extra(loads) / loads.seconds,
                "bytes/s",
            ),
        ]
    return slopes


def _upstream_slopes() -> list[Slope]:
    slopes = []
    for count in UPSTREAMS:
        host = _Host(_declared(), 1)

        def _announce_all(host: _Host = host, count: int = count) -> None:
            for number in range(count):
                host.announce(number)

        used, _ = _memory(_announce_all)
        slopes.append(Slope("pool owner: memory an upstream", count, used / count / 1024, "KiB"))
        took = _time_us(_announce_all, repeats=20) / count
        slopes.append(Slope("pool owner: time an announcement", count, took, "us"))
    return slopes


def _configuration_slopes() -> list[Slope]:
    codec = wire.make_codec()
    declared = _declared()
    whole = heartbeat.HeartbeatReply(1, 1, 1, whole=heartbeat.RevisionedConfiguration(1, declared))
    name, body = codec.encode(whole)
    size = len(name) + len(body)
    took = _time_us(lambda: codec.decode(name, body), repeats=20)
    return [
        Slope("configuration: whole, accounts", ACCOUNTS, size / 1024, "KiB"),
        Slope("configuration: time to decode it whole", ACCOUNTS, took, "us"),
    ]


def _memory(build: Callable[[], Any]) -> tuple[float, Any]:
    """Return the bytes that building something leaves allocated, and what was built."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, built


def _time_us(step: Callable[[], Any], *, repeats: int = _REPEATS) -> float:
    """Return the median processor time of a step, in microseconds."""
    times = []
    for _ in range(repeats):
        began = time.process_time_ns()
        step()
        times.append((time.process_time_ns() - began) / 1000)
    return statistics.median(times)


if __name__ == "__main__":
    main()
