"""Define the commands, replies, events and actions of fenced leases."""

from __future__ import annotations

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseVersion:
    """Identify one state of a lease in the log; every take, renewal and release changes it."""

    fence: int = 0
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeLease:
    """Command: become the holder if the lease is still as the taker has seen it.

    Attributes:
        name: The lease.
        holder: Identity of the taker, different for each start of a process.
        attempt: Grows with each proposal of the taker; the reply repeats it.
        duration_s: How long a take or renewal lasts, in seconds.
        seen: The state that the taker has waited out.
    """

    name: str
    holder: str
    attempt: int
    duration_s: float
    seen: LeaseVersion


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLease:
    """Command: keep the lease of ``fence`` for another duration."""

    name: str
    fence: int
    holder: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseLease:
    """Command: end the lease of ``fence``; its holder acts no more."""

    name: str
    fence: int
    holder: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answer a command with the lease as it is after it.

    Attributes:
        accepted: Whether the command had its effect.
        version: State after the command; ``version.fence`` is the taker's own if accepted.
        holder: Who holds it; empty if it was released or never taken.
        duration_s: Duration that the holder declared, in seconds.
    """

    accepted: bool
    version: LeaseVersion
    holder: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipWon:
    """Event: this process may propose from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Event: this process can't propose; a lease it holds ends at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Event: end the lease now, so that the next holder need not wait it out."""


@dataclasses.dataclass(frozen=True, slots=True)
class RaiseFence:
    """Event: go on with a higher fence, so that what was sent with the last one comes too late."""


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
    """Action: append a command to the replicated log; it may be lost, late or repeated."""

    command: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Acquired:
    """Action: this process holds the lease, and no older holder acts any more."""

    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Action: the lease of ``fence`` has ended."""

    fence: int
