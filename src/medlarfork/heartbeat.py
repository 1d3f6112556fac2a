"""Define the heartbeat messages between entry hosts and control, which also carry state updates.

An entry host sends one heartbeat per second to the control leader (or to any replica while it
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
    """Renew an entry host's lease and report which versions it has applied.

    Attributes:
        member: The sender.
        number: Increases with each heartbeat of an incarnation; the reply echoes it.
        revision: Configuration revision in effect at the sender.
        view_version: Version of the view that the sender has applied.
        leaving: True in the last heartbeat before the process exits.
        inventory_digest: Digest of the upstream notices sent so far; see ``inventory``.
        out_of_service_version: Version of the ``OutOfService`` list that the sender has applied.
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
    """An accepted configuration with its revision."""

    revision: int
    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The objects that changed since ``base_revision``, keyed as ``KIND/NAME``.

    ``changed`` holds each object encoded as JSON; ``removed`` lists keys.
    """

    base_revision: int
    revision: int
    changed: dict[str, bytes]
    removed: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfService:
    """The upstreams that get no new requests while they are changed; the highest version counts."""

    version: int = 0
    upstream_ids: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ViewDelta:
    """The changes of the entry hosts' view since ``base_version``.

    Attributes:
        changed: Members that joined or whose fields other than the load changed.
        removed: Ids of members that left; the base view need not contain them.
        load_by_id: New loads of members of which only the load changed.
        member_count: Number of members of the resulting view; a mismatch means that the base
            view is wrong.
    """

    base_version: tuple[int, int]
    version: tuple[int, int]
    changed: tuple[member.Member, ...]
    removed: tuple[str, ...]
    load_by_id: dict[str, float]
    member_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer a heartbeat; fields that are None have not changed.

    Attributes:
        number: The heartbeat's number.
        term: The leader's term.
        revision: The current accepted revision.
        whole: The complete configuration, if the sender's revision is unknown or too old.
        delta: The change since the sender's revision, if that is smaller.
        view: The current view, if the sender's is older and no delta can be computed from it.
        incarnation: The heartbeat's incarnation; a reply to an earlier one is not a valid proof.
        out_of_service: The upstreams out of service, if the sender's list is older.
        view_delta: The change since the sender's view, if the leader still stores that view.
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
    """Reply of a replica that does not lead; ``leader_id`` is empty if unknown."""

    leader_id: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionNotice:
    """Notify an entry host of newer versions, so that it sends a heartbeat at once.

    A lost notice delays the update by one heartbeat period.
    """

    revision: int
    view_version: tuple[int, int]
    out_of_service_version: int = 0
