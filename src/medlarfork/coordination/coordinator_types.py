"""Define the operations, replies, events and actions of a coordinator."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.coordination import upstream_types
from medlarfork.duties import duty_types, engine_autoscaler
from medlarfork.quarantine import crash_messages


@dataclasses.dataclass(frozen=True, slots=True)
class PutRouting:
    """Operation: put a checked version of the routing in force, if it is the highest yet."""

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
    """Operation: an upstream leaves for good."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FindEntries:
    """Operation: a caller in a zone asks which entry hosts to use."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListCrashCases:
    """Operation: list the requests under which several upstreams ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class LiftCrashCase:
    """Operation: let a request run again under which upstreams ended."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListDuties:
    """Operation: tell who has the singleton duties, and what is done of them."""


Operation = (
    PutRouting
    | GetRouting
    | Announce
    | Withdraw
    | FindEntries
    | ListCrashCases
    | LiftCrashCase
    | ListDuties
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Reply: done, and durable where that was asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskLeader:
    """Reply: only the leader can do this."""

    leader_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Reply: not now; the same operation may be sent again, here or elsewhere."""

    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingFound:
    """Reply: the newest accepted version, as the operator sent it."""

    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesFound:
    """Reply: entry hosts to use, and for how long to keep this answer, in seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCasesFound:
    """Reply: the requests under which several upstreams ended."""

    cases: tuple[crash_messages.CrashCase, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageWindow:
    """Hold one window of usage: how many requests began in it, and whether that is reported."""

    window: int
    requests: int
    is_reported: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DutiesFound:
    """Reply: what a replica knows of the singleton duties.

    Attributes:
        holder: Who took the duties last, as the log says: a replica and its start.
        fence: The fence of that holder.
        is_holder: Whether the replica that answers may act now.
        usage: The windows whose counts are fixed, the newest last.
        calls: Calls to the platform that have not ended.
        needs: Engines that services were last found to need, where this replica orders them.
    """

    holder: str
    fence: int
    is_holder: bool
    usage: tuple[UsageWindow, ...]
    calls: tuple[duty_types.PlatformCall, ...]
    needs: tuple[engine_autoscaler.Need, ...]


Reply = (
    Accepted | AskLeader | Unavailable | RoutingFound | EntriesFound | CrashCasesFound | DutiesFound
)


@dataclasses.dataclass(frozen=True, slots=True)
class OperationReceived:
    """Event: an operation came in; ``operation_id`` is the receiver's own."""

    operation_id: int
    operation: Operation


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """Event: the settings name other replicas to start from."""

    seeds: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WallTime:
    """Event: the host's time of day, in Unix seconds, at a time of the coordinator's clock."""

    wall_s: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class OperationDone:
    """Action: answer an operation."""

    operation_id: int
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectReplica:
    """Action: open a link to another replica, if there is none."""

    replica_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Action: log what changed in the coordinator's beliefs; ``fields`` are its inputs."""

    event: str
    fields: dict[str, Any]
