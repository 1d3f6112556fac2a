"""Define the heartbeat between an entry host and control, which carries all that changes.

An entry host sends one heartbeat a second to the control leader (or to any replica while it
knows no leader). Only a leader that holds its lease answers with ``HeartbeatReply``, so a reply
proves that its revision was current when it was sent. Other replicas answer ``NotLeader``.
"""

from __future__ import annotations

import dataclasses

from medlarfork import member
from medlarfork.declared import configuration

HEARTBEAT_PERIOD_S = 1.0
"""Time between an entry host's heartbeats, in seconds."""

MEMBER_LEASE_S = 3.0
"""How long an entry host stays a member without a heartbeat, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Renew an entry host's lease and say what it has applied.

    Attributes:
        member: The sender.
        number: Grows with each heartbeat of an incarnation; the reply repeats it.
        revision: Configuration revision in force at the sender.
        view_version: Version of the view it holds.
        leaving: True in the last heartbeat before the process exits.
        inventory_digest: Digest of the notices of upstreams sent so far; see ``inventory``.
        out_of_service_version: Version of the list of upstreams out of service it has applied.
    """

    member: member.Member
    number: int
    revision: int
    view_version: tuple[int, int]
    leaving: bool = False
    inventory_digest: int = 0
    out_of_service_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionedConfiguration:
    """Carry one accepted configuration with its revision."""

    revision: int
    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Carry only the objects that changed since ``base_revision``, keyed as ``KIND/NAME``.

    ``changed`` holds each object encoded as JSON; ``removed`` lists keys.
    """

    base_revision: int
    revision: int
    changed: dict[str, bytes]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfService:
    """List the upstreams that get no new work while they are changed; higher versions count."""

    version: int = 0
    upstream_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """Carry only what changed among the entry hosts since the view ``base_version``.

    Attributes:
        changed: Members that joined or changed in more than their load.
        removed: Ids of members that left; the base need not hold them.
        load_by_id: New loads of members that changed in nothing else.
        member_count: Members of the resulting view; another count means a damaged base.
    """

    base_version: tuple[int, int]
    version: tuple[int, int]
    changed: tuple[member.Member, ...]
    removed: tuple[str, ...]
    load_by_id: dict[str, float]
    member_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer a heartbeat; absent parts have not changed.

    Attributes:
        number: The heartbeat's number.
        term: The leader's term.
        revision: The current accepted revision.
        whole: The whole configuration, if the sender's revision is unknown or too old.
        delta: The change since the sender's revision, if that is shorter.
        view: The current view, if the sender's is older and no delta can start from it.
        incarnation: The heartbeat's incarnation; a reply to an earlier one proves nothing now.
        out_of_service: The upstreams out of service, if the sender's list is older.
        view_delta: The change since the sender's view, if the leader remembers that one.
    """

    number: int
    term: int
    revision: int
    whole: RevisionedConfiguration | None = None
    delta: ConfigurationDelta | None = None
    view: member.View | None = None
    incarnation: int = 0
    out_of_service: OutOfService | None = None
    view_delta: ViewDelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Answer a message that only the leader may answer; ``leader_id`` is empty if unknown."""

    leader_id: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionNotice:
    """Tell an entry host at once that something newer exists; it then sends a heartbeat.

    A lost notice costs one heartbeat period.
    """

    revision: int
    view_version: tuple[int, int]
    out_of_service_version: int = 0
