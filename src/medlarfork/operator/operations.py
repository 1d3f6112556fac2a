"""Define operators' requests to control and the replies, which travel as JSON over HTTP."""

from __future__ import annotations

import dataclasses

from medlarfork import errors, member
from medlarfork.control import replicated_state
from medlarfork.declared import configuration
from medlarfork.orders import order_types

HISTORY_LIMIT = 100
"""Changes listed if a request names no number."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyChange:
    """Replace the configuration, if ``base_revision`` is still the current one.

    Resending the same change is safe: it gets its first answer.

    Attributes:
        change_id: UUIDv7 made by the operator's program, one for each change.
        base_revision: The revision that the change was made from.
        configuration: The whole new configuration.
        operator: Name of the authenticated operator; whatever a caller wrote is overwritten.
    """

    change_id: str
    base_revision: int
    configuration: configuration.Configuration
    operator: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GetConfiguration:
    """Ask for the configuration of a revision; None asks for the current one."""

    revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Ask for the last accepted changes."""

    limit: int = HISTORY_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatus:
    """Ask how control stands; any replica answers this for itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetMembers:
    """Ask for the entry hosts with the revisions they confirmed."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetUpstreams:
    """Ask which of these upstreams entry hosts report at the moment."""

    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GetInForce:
    """Ask which entry hosts have confirmed a revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Add or remove one control replica; exactly one of the two is named."""

    add: str = ""
    remove: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AskSubState:
    """Hand a command to a registered part of the replicated state."""

    name: str
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GetOrders:
    """Ask what engines should hold, which orders are in progress, and what waits."""


Request = (
    ApplyChange
    | GetConfiguration
    | GetHistory
    | GetStatus
    | GetMembers
    | GetUpstreams
    | GetInForce
    | ChangeVoters
    | AskSubState
    | GetOrders
)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """Say that a change was accepted as a revision; a resent one gets the same reply."""

    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """Hand over a configuration."""

    revision: int
    current_revision: int
    configuration: configuration.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReply:
    """List accepted changes, newest first."""

    changes: tuple[replicated_state.ChangeRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """Describe an entry host and the last revision that it confirmed.

    ``heard`` is False until it has sent this leader a heartbeat.
    """

    member: member.Member
    revision: int
    heard: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MembersReply:
    """List the entry hosts that hold a lease; ``revision`` is control's current one."""

    view_version: tuple[int, int]
    members: tuple[MemberStatus, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """Say how one control replica stands.

    Attributes:
        has_lease: Whether it leads and may answer reads and accept changes.
        log_time_ms: The time that retention goes by, in Unix milliseconds.
    """

    replica_id: str
    role: str
    term: int
    leader_id: str
    has_lease: bool
    commit_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    revision: int
    claims: int
    log_time_ms: int
    members: tuple[MemberStatus, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceReply:
    """Say where a revision is in force.

    Attributes:
        confirmed: Entry hosts that have it or a later one of this log in force.
        waiting: Entry hosts that hold a lease and have not confirmed it.
        lost: Entry hosts that lost their lease within the last minutes before confirming it.
        ahead: Those of ``waiting`` whose revision is above control's current one. They keep the
            configuration of an earlier log until they are restarted.
    """

    revision: int
    confirmed: tuple[str, ...]
    waiting: tuple[str, ...]
    lost: tuple[str, ...]
    ahead: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class KnownUpstreams:
    """List those of the upstreams asked about that entry hosts report at the moment."""

    upstream_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VotersChanged:
    """Say that a change of replicas was committed."""

    add: str
    remove: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubStateReply:
    """Hand over the reply of a registered part of the replicated state."""

    name: str
    reply: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersReply:
    """List the orders to engines and what they come from.

    Attributes:
        revision: Revision of the last accepted declaration; the base of the next.
        fence: Fence of the last holder of the lease under which engines are ordered.
        desired: The declarations in force.
        in_progress: Orders whose result is not known yet.
        waiting: Engines that wait for something before their next order.
        out_of_service: Engines that get no new work.
        history: The last finished orders, oldest first.
    """

    revision: int
    fence: int
    desired: tuple[order_types.Declared, ...]
    in_progress: tuple[order_types.Order, ...]
    waiting: tuple[order_types.Waiting, ...]
    out_of_service: tuple[str, ...]
    history: tuple[order_types.FinishedOrder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request.

    Attributes:
        code: The error's stable kind.
        message: What is wrong.
        remedy: What the operator can do.
        leader_id: For ``not_leader``: who leads, if known.
        leader_address: HTTP address of the leader, if known.
        winner: For a conflict: the change that was accepted instead.
        revision: The current revision, where it matters.
        findings: What is wrong with a configuration, one text each.
    """

    code: errors.Code
    message: str
    remedy: str
    leader_id: str = ""
    leader_address: str = ""
    winner: replicated_state.ChangeRecord | None = None
    revision: int = 0
    findings: tuple[str, ...] = ()


Reply = (
    ChangeAccepted
    | ConfigurationReply
    | HistoryReply
    | MembersReply
    | StatusReply
    | InForceReply
    | KnownUpstreams
    | VotersChanged
    | SubStateReply
    | OrdersReply
    | Refused
)
