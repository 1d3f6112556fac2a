"""Define the events and actions of the entry host's node.

Besides these the node takes ``node.Started``, ``node.MessageReceived`` and ``node.TimeDue`` and
returns ``node.Send`` and ``node.Wake``. Messages are those of ``ticket``, ``claim``,
``heartbeat`` and ``UpstreamSeen``.

The body of a caller's request and the bytes of its answer stay with the connection (module
``entry_program``); the node sees the raw request once and then only what decisions need.
"""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import claim, request, upstream


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """Hold a caller's request as it came off the connection.

    Attributes:
        request_id: Made by the entry host as a UUIDv7; unique over connections, hosts and
            restarts. It also serves as the idempotency key of a caller that gave none.
        method: HTTP method in upper case.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
        body: The whole body.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a caller's request has been read whole."""

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
    """Say how an attempt at an upstream ended.

    COMPLETE: the upstream's own end was seen; the whole answer is with the connection.
    REFUSED: the upstream refused before executing (429, or ``Medlar-Outcome: not_run``).
    NOT_SENT: no byte of the request left, as when the connection was refused.
    BROKEN: it failed after bytes had left: cut, reset, malformed or timed out.
    """

    COMPLETE = "complete"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt is over; follows every ``Dispatch``, also a cancelled one, exactly once.

    Attributes:
        attempt_id: The attempt.
        result: How it ended.
        status: The upstream's HTTP status; 0 if none was seen.
        tokens: Output tokens of the whole answer so far, over all attempts of the request.
        relayed: Whether any byte of an answer has reached the caller.
        resumable: Whether the stream so far carried proof of its offset, so that it can resume.
        answer: For a complete, not-repeatable request: what to keep for duplicates.
        error: What went wrong, in plain words; empty if nothing did.
        pause_s: How long the upstream, which refused it, wants no further request, in seconds.
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
    """Event: an upstream announced itself here over HTTP; ``AnnouncementAnswered`` follows."""

    call_id: str
    announcement: upstream.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: the process was told to stop gracefully (SIGTERM)."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSeen:
    """Message between entry hosts: an announcement passed on to a pool's owner or standby.

    ``age_s`` is how long ago it was heard, so that passing it on does not prolong the lease.
    """

    announcement: upstream.Announcement
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Action: send the request to an upstream and report ``AttemptEnded`` once.

    Attributes:
        request_id: The request; its body and caller are with the connection.
        attempt_id: Unique; bytes of any other attempt are discarded.
        upstream_id: The upstream.
        address: ``http://IP:PORT``.
        resume_offset: Tokens the caller has already; the upstream must prove it goes on there.
        timeout_s: When to give the attempt up, in seconds from now.
        assemble: True to ask for a stream although the caller wants a whole answer, so that the
            answer can be paused and resumed.
        key: Idempotency key to pass on to the upstream and to return to the caller; empty for a
            repeatable request.
        tier: Priority to tell the upstream.
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
class CancelAttempt:
    """Action: cut the attempt's upstream connection; nothing it still sends is relayed."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Action: answer the caller from here; nothing has been relayed to it yet.

    ``headers`` holds what goes beyond content type, request id and outcome.
    """

    request_id: str
    status: int
    outcome: request.Outcome
    body: bytes
    content_type: str = "application/json"
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class FinishRelay:
    """Action: end a relayed answer: whole if ``complete``, else cut so that it can't look whole."""

    request_id: str
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementAnswered:
    """Action: answer an upstream's announcement."""

    call_id: str
    reply: upstream.AnnouncementReply


@dataclasses.dataclass(frozen=True, slots=True)
class WastedTokens:
    """Count tokens computed and not delivered, by cause."""

    cause: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Action: count and log one finished request; the last filter of the line.

    Attributes:
        status: HTTP status given to the caller; 499 if it had gone.
        code: Error code; empty for a completed answer.
        queued_s: From arrival to the first dispatch.
        first_token_s: From arrival to the first byte; None if there was none.
        whole_s: From arrival to the end.
        in_target: Whether the class's targets were met; None if it has none.
        attempts: Dispatches made.
        revision: Configuration revision it was decided under.
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
