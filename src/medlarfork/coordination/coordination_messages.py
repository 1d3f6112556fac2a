"""Messages between control replicas and entry hosts of a routed deployment.

Any message may be lost, delayed, duplicated or reordered.
"""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import status_period, upstream_types

OVERLOADED_FROM = 0.9
"""Utilisation from which an entry host counts as overloaded."""

OVERLOADED_UNTIL = 0.7
"""Utilisation below which an overloaded host no longer counts as overloaded. The gap keeps a host
from returning to the directory as soon as the first callers have left it."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry host, sent to a replica periodically and at each change.

    Attributes:
        address: ``IP:PORT`` that callers connect to.
        zone: The data centre of the entry host.
        is_ready: Whether it accepts requests from callers.
        routing_version: The version of the routing in force there.
        view_boot: The boot id of the replica whose view the entry host holds; 0 for none.
        view_sequence: The last change of that view that it applied.
        capacity: Relative capacity of the entry host, from its settings; 0 if not stated.
        utilisation: Fraction of that capacity in use; above 1 if it can't carry its load.
        relay: ``IP:PORT`` where it serves requests that other entry hosts forward; empty for none.
        unreachable: Services of which it reaches no upstream.
        is_cut_off: Whether it reaches no upstream of any service.
    """

    address: str
    zone: str
    is_ready: bool
    routing_version: int
    view_boot: int
    view_sequence: int
    capacity: float = 0.0
    utilisation: float = 0.0
    relay: str = ""
    unreachable: tuple[str, ...] = ()
    is_cut_off: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayHosts:
    """Entry hosts that serve requests for one that reaches no upstream of some service.

    Attributes:
        addresses: ``IP:PORT`` of each.
    """

    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status of a replica, sent periodically to an entry host.

    Attributes:
        leader_id: The leader that the replica knows, empty for none.
        term: The term of that leader.
        members: All replicas of the log, so that entry hosts can connect to new ones; empty if
            unchanged since an earlier status.
        entry_hosts: Number of entry hosts heard recently, among which shared budgets are divided.
        up_s: Uptime of the replica, in seconds.
        period_s: Time until its next status, in seconds (see ``status_period``).
        wall_s: Its wall-clock time, in Unix seconds; 0 if unknown.
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
    """A version of the routing for an entry host.

    Attributes:
        version: Version number assigned by the operator.
        packed_body: The body that the operator sent, compressed with zlib.
    """

    version: int
    packed_body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ViewPush:
    """A change of a replica's view of the upstreams, for an entry host.

    Attributes:
        boot: Identifies the start of the replica; sequence numbers restart with each.
        sequence: Increases by one with each change.
        change: The change; a full view does not depend on earlier ones.
    """

    boot: int
    sequence: int
    change: upstream_types.ViewChange


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaHello:
    """Announces a running replica to another one.

    Attributes:
        known: Replicas that the sender knows, for the receiver to connect to.
        wants_upstreams: Whether the sender has just started and knows no upstreams yet.
    """

    known: tuple[str, ...]
    wants_upstreams: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGossip:
    """Announcements of upstreams, forwarded to another replica.

    Attributes:
        heard: Announcements received from upstreams directly, or all that are present.
        left: Incarnations that left.
        token: Echoed in the ``GossipReceipt``; 0 if none is needed.
        is_whole: Whether this is everything that the sender knows.
    """

    heard: tuple[upstream_types.Announcement, ...]
    left: tuple[str, ...]
    token: int = 0
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReceipt:
    """Confirms that an ``UpstreamGossip`` was applied and forwarded to the entry hosts."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitQuery:
    """Asks the leader up to which index the log is committed.

    Attributes:
        boot: Identifies the start of the sender.
        number: Identifies the query.
    """

    boot: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFound:
    """Answers a ``CommitQuery``, whose ``boot`` and ``number`` it repeats; only the leader does."""

    boot: int
    number: int
    index: int


COORDINATION_MESSAGES: tuple[type, ...] = (
    EntryStatus,
    RelayHosts,
    ReplicaStatus,
    RoutingPush,
    ViewPush,
    ReplicaHello,
    UpstreamGossip,
    GossipReceipt,
    CommitQuery,
    CommitFound,
)
"""All message classes of this module, for the codec of the links."""


def is_overloaded(utilisation: float, *, before: bool) -> bool:
    """Return whether a host with this utilisation is overloaded, given whether it was before."""
    return utilisation >= (OVERLOADED_UNTIL if before else OVERLOADED_FROM)
