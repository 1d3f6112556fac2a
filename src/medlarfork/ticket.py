"""Define what entry hosts and the owner of a pool say to each other about one request.

Each service's upstreams form one or more pools (``service.shards``). A pool is owned by one
entry host, the first in rendezvous order among the live ones. An entry host that holds a
request sends the owner a ticket; the owner grants it one slot at one upstream; the entry host
then calls the upstream itself and releases the slot afterwards. The request's body never leaves
the entry host before the grant, so a refused ticket is provably not run. All durations are in
seconds; no clock reading crosses hosts.
"""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Ask the pool's owner for a slot.

    Attributes:
        ticket_id: The request id followed by the attempt number; never reused.
        entry_id: The entry host that holds the request; grants go there.
        pool: Pool name, as ``SERVICE/SHARD``.
        tier: Priority; 1 is the highest.
        waited_s: How long the request has waited already.
        time_left_s: How long until the answer is of no use.
        target_left_s: How long until its target is missed; None if it has no target.
        resume_offset: Tokens received already, if this resumes a broken or preempted stream.
        avoid: Upstreams not to use again for this request, if any other will do.
        repeat_key: What the caller's repeats share (see ``quarantine.request_key``); may be empty.
    """

    ticket_id: str
    entry_id: str
    pool: str
    account: str
    class_name: str
    tier: int
    waited_s: float
    time_left_s: float
    target_left_s: float | None = None
    repeatable: bool = True
    preemptible: bool = False
    prefix: str = ""
    max_tokens: int | None = None
    resume_offset: int = 0
    avoid: tuple[str, ...] = ()
    repeat_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Confirm to the holder that a ticket is queued; it stops sending the ticket so often."""

    ticket_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Tell a new owner of a ticket that an earlier owner granted and that still runs."""

    ticket: Ticket
    upstream_id: str
    running_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Take back a ticket that has not been granted yet, or whose grant crosses this message."""

    ticket_id: str
    pool: str


class ReleaseCause(enum.StrEnum):
    """Say why a granted slot was given back.

    A broken one lost its connection after the request was sent: its upstream may have ended.
    """

    FINISHED = "finished"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give back a granted slot and say how it went.

    Attributes:
        first_token_s: From dispatch to the first body byte; None if there was none.
        whole_s: From dispatch to the end.
        tokens: Output tokens received.
        pause_s: How long the upstream, which refused it, wants no further request, in seconds.
    """

    ticket_id: str
    pool: str
    cause: ReleaseCause
    first_token_s: float | None = None
    whole_s: float = 0.0
    tokens: int = 0
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Confirm a release, also that of a ticket that is not known; the holder stops resending."""

    ticket_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Give a ticket one slot at one upstream."""

    ticket_id: str
    entry_id: str
    pool: str
    upstream_id: str
    address: str
    fence: int = 0


class ShedReason(enum.StrEnum):
    """Say why a ticket was refused for good; nothing of it has run."""

    ACCOUNT_LIMIT = "account_limit"
    ENDS_UPSTREAMS = "ends_upstreams"
    HOPELESS = "hopeless"
    NO_UPSTREAM = "no_upstream"
    NOT_OWNER = "not_owner"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Refuse a queued ticket; ``retry_after_s`` comes from the queue's measured drain rate."""

    ticket_id: str
    entry_id: str
    pool: str
    reason: ShedReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Ask the holder to cancel a granted stream, keep what it has, and queue to resume it.

    Attributes:
        stalled: Whether its upstream is gone. Then also a repeatable request that is not
            preemptible is asked for, to go on or to start again elsewhere.
    """

    ticket_id: str
    entry_id: str
    pool: str
    stalled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSummary:
    """Summarise a pool's load, so that entry hosts can choose between a service's pools."""

    pool: str
    upstreams: int
    slots: int
    running: int
    queued: int
    drain_per_s: float
