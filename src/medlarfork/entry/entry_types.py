"""Events and actions of the entry host's node.

The node also handles ``node.Started``, ``node.MessageReceived`` and ``node.TimeDue`` and
returns ``node.Send`` and ``node.Wake``. Its messages are defined in ``ticket``, ``claim``,
``heartbeat`` and ``UpstreamSeen``.

The body of a caller's request and the bytes of its answer stay with the connection (module
``entry_program``). The node gets the raw request once, and then only the inputs of its decisions.
"""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import claim, request, upstream


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """A caller's request, as received.

    Attributes:
        request_id: UUIDv7 made by the entry host; unique across connections, hosts and restarts.
            It is also the idempotency key of a request that carries none.
        method: HTTP method in upper case.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
        body: The complete body.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a caller's request has been received completely."""

    raw: RawRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """Event: the caller closed its connection before its answer ended."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: the first body byte of an attempt's answer was relayed to the caller."""

    attempt_id: str


class AttemptResult(enum.StrEnum):
    """Result of an attempt at an upstream.

    COMPLETE: the upstream ended its answer; the connection holds the complete answer.
    REFUSED: the upstream refused before executing (429, or ``Medlar-Outcome: not_run``).
    NOT_SENT: no byte of the request was sent, for example because the connection was refused.
    CUT_OFF: the same, while connecting to another upstream failed too: this host may have lost its
        links, so it shows nothing about the upstream.
    BROKEN: it failed after bytes were sent: cancelled, reset, malformed or timed out.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    CUT_OFF = "cut_off"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt has ended; follows every ``Dispatch``, also a cancelled one, exactly once.

    Attributes:
        attempt_id: The attempt.
        result: Result of the attempt.
        status: The upstream's HTTP status; 0 if none was received.
        tokens: Output tokens of the answer so far, over all attempts of the request.
        relayed: Whether any byte of an answer has reached the caller.
        resumable: Whether the stream carried its offset so far, so that it can be resumed.
        answer: The answer to store for duplicates of a complete, not-repeatable request.
        error: Description of the error; empty if there was none.
        pause_s: Backoff (Retry-After) of an upstream that refused the request, in seconds.
    """

    attempt_id: str
    result: AttemptResult
    status: int = 0
    tokens: int = 0
    relayed: bool = False
    resumable: bool = False
    answer: claim.StoredAnswer | None = None
    error: str = ""
    pause_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReceived:
    """Event: an upstream sent an announcement over HTTP; ``AnnouncementAnswered`` follows."""

    call_id: str
    announcement: upstream.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: the process received a request to stop gracefully (SIGTERM)."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSeen:
    """Message between entry hosts: an announcement forwarded to a pool's owner or standby.

    ``age_s`` is the time since it was received, so that forwarding does not prolong the lease.
    """

    announcement: upstream.Announcement
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send the request to an upstream and report ``AttemptEnded`` once.

    Attributes:
        request_id: The request; its body and caller belong to the connection.
        attempt_id: Unique id; bytes of any other attempt are discarded.
        upstream_id: The upstream.
        address: ``http://IP:PORT``.
        resume_offset: Tokens that the caller already has; the upstream must confirm this offset.
        timeout_s: Timeout of the attempt, in seconds.
        assemble: True to request a stream although the caller wants a single answer, so that the
            answer can be preempted and resumed.
        key: Idempotency key to forward to the upstream and to return to the caller; empty for a
            repeatable request.
        tier: Priority to send to the upstream.
    """

    request_id: str
    attempt_id: str
    upstream_id: str
    address: str
    resume_offset: int = 0
    timeout_s: float = 600.0
    assemble: bool = False
    key: str = ""
    tier: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReachabilityChanged:
    """Event: this host has lost its links to all recent upstreams, or has them back."""

    is_cut_off: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: close the attempt's upstream connection; bytes that still arrive are dropped."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Action: send the caller an answer of the entry host; nothing has been relayed to it yet.

    ``headers`` holds the headers other than content type, request id and outcome.
    """

    request_id: str
    status: int
    outcome: request.Outcome
    body: bytes
    content_type: str = "application/json"
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FinishRelay:
    """Action: end a relayed answer; if it is not ``complete``, abort it so that this shows."""

    request_id: str
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementAnswered:
    """Action: answer an upstream's announcement."""

    call_id: str
    reply: upstream.AnnouncementReply


@dataclasses.dataclass(frozen=True, slots=True)
class WastedTokens:
    """Number of tokens computed and not delivered, with the cause."""

    cause: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Action: count and log a finished request; the last step of the request pipeline.

    Attributes:
        status: HTTP status sent to the caller; 499 if the caller had closed its connection.
        code: Error code; empty for a completed answer.
        queued_s: Time from arrival to the first dispatch.
        first_token_s: Time from arrival to the first byte; None if there was none.
        whole_s: Time from arrival to the end.
        in_target: Whether the class's targets were met; None if it has none.
        attempts: Number of dispatches.
        revision: Configuration revision that the request was classified under.
    """

    request_id: str
    account: str
    class_name: str
    service: str
    outcome: request.Outcome
    status: int
    code: str
    queued_s: float
    first_token_s: float | None
    whole_s: float
    in_target: bool | None
    tokens: int
    attempts: int
    revision: int
    wasted: tuple[WastedTokens, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Action: log that a revision is in force here."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """Action: nothing is in progress or owned here any more; the process may exit."""
