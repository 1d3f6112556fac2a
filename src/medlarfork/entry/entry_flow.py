"""States, events and effects of a request's flow through an entry host.

A request is ``Claiming`` (only if it is not repeatable), ``Waiting``, ``Running`` or ``Stopping``;
a request without a state has its final answer. Module ``flow_machine`` holds the transitions.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from medlarfork import claim, request, ticket
from medlarfork.declared import configuration
from medlarfork.entry import entry_types


@dataclasses.dataclass(frozen=True, slots=True)
class Claiming:
    """State: control has not decided on the claim yet, and nothing was sent to an upstream.

    Attributes:
        last_reply_at: When control last replied; before that, when the claim was first requested.
        ask_at: When to send the next claim request.
        contended: Whether control replied that another request holds the key.
    """

    last_reply_at: float
    ask_at: float
    contended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """State: a ticket is queued, and no slot has been granted.

    Attributes:
        ticket_id: The ticket of the next attempt.
        pool: The pool where it is queued.
        owner: The entry host that the ticket was last sent to; only its grant is accepted.
        unanswered_since: When the first ticket that the owner has not answered was sent; None if
            it has answered.
        resend_at: When to send the ticket again.
    """

    ticket_id: str
    pool: str
    owner: str
    unanswered_since: float | None
    resend_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """State: an attempt is running at an upstream.

    Attributes:
        ticket_id: Id of the ticket and of the attempt.
        owner: The entry host to release the slot to.
        first_byte_at: When the first byte of the answer was relayed; None if none was.
        version: The upstream's software version; None if it is not known.
    """

    ticket_id: str
    pool: str
    owner: str
    upstream_id: str
    started_at: float
    first_byte_at: float | None = None
    version: str | None = None


class StopCause(enum.StrEnum):
    """Reason for cancelling an attempt."""

    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    DRAINED = "drained"


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """State: an attempt was cancelled and has not ended yet."""

    running: Running
    cause: StopCause


State = Claiming | Waiting | Running | Stopping


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """A request in progress.

    Attributes:
        request: The request.
        request_class: Its class in the configuration revision it was classified under.
        revision: That revision.
        body_bytes: Size of its body, as counted at admission.
        state: Its current state.
        attempt: Number of the last ticket.
        dispatches: Number of attempts dispatched.
        retries: Attempts beyond the first, not counting those after a preemption.
        avoid: Upstreams that failed or refused the request.
        claimed: Whether a claim is held, or may still be granted, and has to be settled.
        uncertain: Whether an ended attempt may have run.
        relayed: Whether any byte of an answer has reached the caller.
        tokens: Tokens of the answer after which a stream can be resumed.
        version: Software version of the upstream that began the stream; None if none has begun, or
            if it is not known.
        stream_pool: The pool in which the stream began; empty for none.
    """

    request: request.Request
    request_class: configuration.RequestClass
    revision: int
    body_bytes: int
    state: State
    attempt: int = 0
    dispatches: int = 0
    retries: int = 0
    avoid: tuple[str, ...] = ()
    claimed: bool = False
    uncertain: bool = False
    relayed: bool = False
    tokens: int = 0
    version: str | None = None
    stream_pool: str = ""
    queued_s: float | None = None
    first_byte_at: float | None = None
    wasted: tuple[entry_types.WastedTokens, ...] = ()

    @property
    def has_unknown_version(self) -> bool:
        """Return whether a stream has begun at an upstream whose version is not known."""
        return self.tokens > 0 and self.version is None

    @property
    def resumable(self) -> bool:
        """Return whether an attempt may be preempted and resumed later."""
        return self.request.preemptible and self.request.repeatable and bool(self.request.model)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message about a ticket from the pool's owner, which may be this entry host."""

    sender: str
    message: ticket.Grant | ticket.Shed | ticket.Preempt | ticket.Queued


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Event: the flow's timer is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Event: the owners of pools may have changed.

    Attributes:
        restarted: Entry hosts that have lost the tickets sent to them before.
    """

    restarted: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Event: the entry host stops now; attempts still running are cancelled."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToOwner:
    """Effect: send a message to a pool's owner, which may be this entry host."""

    owner: str
    message: ticket.Ticket | ticket.Withdraw | ticket.Running


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Effect: release a slot to a pool's owner; the release is resent until it is confirmed."""

    owner: str
    release: ticket.Release


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaimRequest:
    """Effect: send a claim request to the control leader."""

    claim_request: claim.ClaimRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SettleClaim:
    """Effect: report the outcome of a claim to control; resent until control confirms it."""

    message: claim.ClaimFinish | claim.ClaimAbandon


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one event: the flow, or None if the request has ended, and the effects."""

    flow: Flow | None
    effects: tuple[Any, ...] = ()


def ticket_id(request_id: str, attempt: int) -> str:
    """Return the id of the ticket for an attempt of a request."""
    return f"{request_id}.{attempt}"


def request_id_of(ticket_id: str) -> str:
    """Return the id of the request that a ticket belongs to."""
    return ticket_id.rpartition(".")[0]


def wake_at(flow: Flow) -> float:
    """Return when the flow's timer is due."""
    deadline_at = flow.request.deadline_at
    match flow.state:
        case Claiming(ask_at=ask_at):
            return min(ask_at, deadline_at)
        case Waiting(resend_at=resend_at):
            return min(resend_at, deadline_at)
        case Running():
            return deadline_at
        case Stopping():
            return float("inf")
