"""Commands, replies, events and actions of fenced leases."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseVersion:
    """Version of a lease in the log; every take, renewal and release changes it."""

    fence: int = 0
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeLease:
    """Command: acquire the lease if its version is still the one that the taker has seen.

    Attributes:
        name: Name of the lease.
        holder: Identity of the taker, unique for each start of a process.
        attempt: Increases with each proposal of the taker; matches the reply to the proposal.
        duration_s: How long a take or renewal lasts, in seconds.
        seen: The version whose duration the taker has waited for.
    """

    name: str
    holder: str
    attempt: int
    duration_s: float
    seen: LeaseVersion


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Command: extend the lease of ``fence`` by its duration."""

    name: str
    fence: int
    holder: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Command: release the lease of ``fence``; its holder has stopped acting."""

    name: str
    fence: int
    holder: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """Reply to a command: the state of the lease after it.

    Attributes:
        accepted: Whether the command was applied.
        version: Version after the command; if accepted, ``version.fence`` is the taker's fence.
        holder: Current holder; empty if the lease was released or never taken.
        duration_s: Duration that the holder requested, in seconds.
    """

    accepted: bool
    version: LeaseVersion
    holder: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipWon:
    """Event: this process leads the log and can propose commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Event: this process can no longer propose; a lease that it holds ends at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Event: release the lease now, so that the next holder need not wait for it to expire."""


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseFence:
    """Event: continue with a higher fence, so that calls still in flight are refused as stale."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeCommitted:
    """Event: a ``TakeLease`` of this holder was applied."""

    attempt: int
    reply: LeaseReply


@dataclasses.dataclass(frozen=True, slots=True)
class RenewCommitted:
    """Event: a ``RenewLease`` of this holder was applied."""

    attempt: int
    reply: LeaseReply


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Action: append a command to the replicated log; may be lost, delayed or duplicated."""

    command: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """Action: this process holds the lease, and no earlier holder acts any more."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Action: the lease of ``fence`` has ended."""

    fence: int
