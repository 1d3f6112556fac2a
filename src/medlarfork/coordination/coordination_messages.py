"""Define the messages between control replicas and entry hosts of a routed deployment.

Any of them may be lost, late, repeated or reordered.
"""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import status_period, upstream_types


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Tell a replica how an entry host is, periodically and at each change.

    Attributes:
        address: ``IP:PORT`` that callers connect to.
        zone: The data centre of the entry host.
        is_ready: Whether callers may be sent to it.
        routing_version: The version of the routing in force there.
        view_boot: The replica's start whose view the entry host holds; 0 for none.
        view_sequence: The last change of that view that it took.
    """

    address: str
    zone: str
    is_ready: bool
    routing_version: int
    view_boot: int
    view_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Tell an entry host what a replica believes, periodically.

    Attributes:
        leader_id: The leader that the replica knows, empty for none.
        term: The term of that leader.
        members: All replicas of the log, so that entry hosts find those they don't know; empty
            where they were told before.
        entry_hosts: Most entry hosts heard of lately, among which shared budgets are divided.
        up_s: How long the replica has run, in seconds.
        period_s: Time until its next status, in seconds (see ``status_period``).
        wall_s: Its time of day, in Unix seconds; 0 if it does not say.
    """

    leader_id: str
    term: int
    members: tuple[str, ...]
    entry_hosts: int
    up_s: float = 0.0
    period_s: float = status_period.MIN_PERIOD_S
    wall_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingPush:
    """Give an entry host a version of the routing.

    Attributes:
        version: The operator's number.
        packed_body: The operator's body, compressed with zlib.
    """

    version: int
    packed_body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ViewPush:
    """Give an entry host a change of the view of the upstreams.

    Attributes:
        boot: Names the replica's start; its sequence numbers begin anew with each.
        sequence: Grows by one with each change.
        change: The change; a whole view needs no earlier one.
    """

    boot: int
    sequence: int
    change: upstream_types.ViewChange


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaHello:
    """Tell another replica that this one runs.

    Attributes:
        known: Replicas that the sender knows, to be connected to as well.
        wants_upstreams: Whether the sender has just started and knows no upstreams yet.
    """

    known: tuple[str, ...]
    wants_upstreams: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGossip:
    """Pass on announcements to another replica.

    Attributes:
        heard: Announcements heard from upstreams themselves, or all that are present.
        left: Incarnations that left.
        token: To be returned in a ``GossipReceipt``; 0 if none is needed.
        is_whole: Whether that is all that the sender knows.
    """

    heard: tuple[upstream_types.Announcement, ...]
    left: tuple[str, ...]
    token: int = 0
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReceipt:
    """Confirm that an ``UpstreamGossip`` was taken and passed on to the entry hosts."""

    token: int


COORDINATION_MESSAGES: tuple[type, ...] = (
    EntryStatus,
    ReplicaStatus,
    RoutingPush,
    ViewPush,
    ReplicaHello,
    UpstreamGossip,
    GossipReceipt,
)
"""Every message class of this module, for the codec of the links."""
