"""Operations, replies, events and actions of a coordinator."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.coordination import upstream_types
from medlarfork.duties import duty_types, engine_autoscaler
from medlarfork.placement import owner
from medlarfork.quarantine import crash_messages


@dataclasses.dataclass(frozen=True, slots=True)
class PutRouting:
    """Operation: put a validated version of the routing in force, if it is the highest so far."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GetRouting:
    """Operation: read the newest accepted version of the routing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Operation: an upstream announces itself."""

    announcement: upstream_types.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Operation: an upstream leaves permanently."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FindEntries:
    """Operation: a caller in a zone looks up entry hosts."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListCrashCases:
    """Operation: list the requests that crashed several upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class LiftCrashCase:
    """Operation: release a crash-inducing request from quarantine."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListDuties:
    """Operation: return the holder and the state of the singleton duties."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListEntryHosts:
    """Operation: list the entry hosts with their weights in directory answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListPlacement:
    """Operation: return the state of the shards that this replica places requests for."""


Operation = (
    PutRouting
    | GetRouting
    | Announce
    | Withdraw
    | FindEntries
    | ListCrashCases
    | LiftCrashCase
    | ListDuties
    | ListEntryHosts
    | ListPlacement
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Reply: done, and durable where the operation requires it."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskLeader:
    """Reply: only the leader can do this."""

    leader_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Reply: temporarily unavailable; the operation may be retried, here or at another replica."""

    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingFound:
    """Reply: the newest accepted version, as the operator sent it."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesFound:
    """Reply: entry hosts to use, and how long to cache this answer, in seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCasesFound:
    """Reply: the requests that crashed several upstreams."""

    cases: tuple[crash_messages.CrashCase, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageWindow:
    """One usage window: the number of requests started in it, and whether it was reported."""

    window: int
    requests: int
    is_reported: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DutiesFound:
    """Reply: what a replica knows of the singleton duties.

    Attributes:
        holder: Last holder of the duties according to the log: a replica and its boot id.
        fence: The fencing token of that holder.
        is_holder: Whether the replying replica may act now.
        usage: The windows whose counts are fixed, newest last.
        calls: Calls to the platform in progress.
        needs: Engines that services needed at the last evaluation, if this replica orders them.
    """

    holder: str
    fence: int
    is_holder: bool
    usage: tuple[UsageWindow, ...]
    calls: tuple[duty_types.PlatformCall, ...]
    needs: tuple[engine_autoscaler.Need, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host that was heard recently, as the replying replica sees it.

    Attributes:
        entry_id: Its id.
        address: ``IP:PORT`` that callers connect to.
        zone: Its data centre.
        is_ready: Whether it accepts requests from callers.
        is_overloaded: Whether it is left out of answers while others of its data centre are not.
        capacity: Its stated relative capacity; 0 if not stated.
        utilisation: Fraction of the capacity in use.
        weight: Share of the answers for its own data centre that contain it.
        unreachable: Services of which it reaches no upstream.
    """

    entry_id: str
    address: str
    zone: str
    is_ready: bool
    is_overloaded: bool
    capacity: float
    utilisation: float
    weight: float
    unreachable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHostsFound:
    """Reply: the entry hosts that the replying replica knows."""

    hosts: tuple[EntryHost, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementFound:
    """Reply: the shards that the replying replica owns."""

    shards: tuple[owner.ShardSummary, ...]


Reply = (
    Accepted
    | AskLeader
    | Unavailable
    | RoutingFound
    | EntriesFound
    | CrashCasesFound
    | DutiesFound
    | EntryHostsFound
    | PlacementFound
)


@dataclasses.dataclass(frozen=True, slots=True)
class OperationReceived:
    """Event: an operation was received; ``operation_id`` is assigned by the receiver."""

    operation_id: int
    operation: Operation


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Event: the list of seeds in the settings changed."""

    seeds: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WallTime:
    """Event: the host's wall-clock time, in Unix seconds, at a time of the coordinator's clock."""

    wall_s: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDone:
    """Action: reply to an operation."""

    operation_id: int
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectReplica:
    """Action: connect to another replica, if not connected."""

    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Action: log a change of the known state; ``fields`` are its inputs."""

    event: str
    fields: dict[str, Any]
