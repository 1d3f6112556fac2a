"""Messages between entry hosts and the owner of a pool about one request.

Each service's upstreams form one or more pools (``service.shards``). A pool is owned by one
entry host, the first in rendezvous order among the serving ones. An entry host that holds a
request sends the owner a ticket; the owner grants it one slot at one upstream; the entry host
then calls the upstream itself and releases the slot afterwards. The request's body does not leave
the entry host before the grant, so a refused ticket has provably not run. All durations are in
seconds; no clock reading is sent between hosts.
"""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Request a slot from the pool's owner.

    Attributes:
        ticket_id: The request id followed by the attempt number; never reused.
        entry_id: The entry host that holds the request and receives the grant.
        pool: Pool name, as ``SERVICE/SHARD``.
        tier: Priority; 1 is the highest.
        waited_s: How long the request has waited so far.
        time_left_s: Time until its deadline.
        target_left_s: Time until its target is missed; None if it has no target.
        resume_offset: Tokens already received, if this resumes a broken or preempted stream.
        avoid: Upstreams to avoid for this request while any other is usable.
        repeat_key: Key that the caller's repeats of the request share (see
            ``quarantine.crash_subject``); may be empty.
        version: The only software version that may run it, because it began the stream; None if any
            may.
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
    version: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """Confirm to the holder that a ticket is queued; it then resends the ticket less often."""

    ticket_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Report to a new owner a ticket that an earlier owner granted and that still runs."""

    ticket: Ticket
    upstream_id: str
    running_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Withdraw a ticket that has not been granted yet, or whose grant crosses this message."""

    ticket_id: str
    pool: str


class ReleaseCause(enum.StrEnum):
    """Why a granted slot was released.

    BROKEN: the connection was lost after the request was sent; the upstream may have crashed.
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
    """Release a granted slot and report the outcome.

    Attributes:
        first_token_s: Time from dispatch to the first body byte; None if there was none.
        whole_s: Time from dispatch to the end.
        tokens: Output tokens received.
        pause_s: Backoff that the upstream asked for when it refused the request, in seconds.
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
    """Confirm a release, even of an unknown ticket; the holder stops resending it."""

    ticket_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Grant a ticket one slot at one upstream.

    Attributes:
        version: The upstream's software version; None if the owner does not state it.
    """

    ticket_id: str
    entry_id: str
    pool: str
    upstream_id: str
    address: str
    fence: int = 0
    version: str | None = None


class ShedReason(enum.StrEnum):
    """Why a ticket was refused; no part of its request has run."""

    ACCOUNT_LIMIT = "account_limit"
    ENDS_UPSTREAMS = "ends_upstreams"
    HOPELESS = "hopeless"
    NO_UPSTREAM = "no_upstream"
    NOT_OWNER = "not_owner"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Refuse a ticket; ``retry_after_s`` is estimated from the drain rate of the queue."""

    ticket_id: str
    entry_id: str
    pool: str
    reason: ShedReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Request the holder to cancel a granted stream, keep its output, and queue again to resume it.

    Attributes:
        stalled: Whether its upstream is lost. Repeatable requests are then recalled even if they
            are not preemptible, to be resumed or restarted at another upstream.
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
