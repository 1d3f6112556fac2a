"""Define one request's way through an entry host: frozen states, events and effects.

The states of a request are ``Claiming`` (not-repeatable ones only), ``Waiting``, ``Running`` and
``Stopping``; a request without a state has its final answer. Module ``flow_machine`` holds the
transitions.
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
    """Wait for control to decide on the claim; nothing has left for an upstream.

    Attributes:
        heard_at: When control last answered, or when it was first asked.
        ask_at: When to ask (again).
        contended: Whether control said that another request holds the key.
    """

    heard_at: float
    ask_at: float
    contended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """Wait for a slot.

    Attributes:
        ticket_id: The ticket of the next attempt.
        pool: Where it queues.
        owner: The entry host that was asked last; only its grant counts.
        asked_at: When the owner was first asked without having answered since; None if it
            answered.
        resend_at: When to send the ticket again.
    """

    ticket_id: str
    pool: str
    owner: str
    asked_at: float | None
    resend_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Run one attempt.

    Attributes:
        ticket_id: Its ticket, and the attempt's id.
        owner: The entry host that the slot goes back to.
        first_byte_at: When the first byte of its answer was relayed; None if none was.
    """

    ticket_id: str
    pool: str
    owner: str
    upstream_id: str
    started_at: float
    first_byte_at: float | None = None


class StopCause(enum.StrEnum):
    """Say why an attempt was cancelled."""

    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    DRAINED = "drained"


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """Wait for the end of an attempt that was cancelled."""

    running: Running
    cause: StopCause


State = Claiming | Waiting | Running | Stopping


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Hold one request in progress.

    Attributes:
        asked: The request.
        request_class: Its class as of the revision it was classified under.
        revision: That revision.
        body_bytes: Size of its body, as counted at admission.
        state: Where it stands.
        attempt: Number of the last ticket.
        dispatches: Attempts dispatched.
        retries: Attempts beyond the first, those after a preemption aside.
        avoid: Upstreams that failed or refused it.
        claimed: Whether a claim is held, or may yet be granted, that has to be settled.
        uncertain: Whether an ended attempt may have run.
        relayed: Whether any byte of an answer has reached the caller.
        tokens: Tokens of the answer that can be resumed.
    """

    asked: request.Request
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
    queued_s: float | None = None
    first_byte_at: float | None = None
    wasted: tuple[entry_types.WastedTokens, ...] = ()

    @property
    def resumable(self) -> bool:
        """Return whether an attempt of it may be preempted."""
        return self.asked.preemptible and self.asked.repeatable and bool(self.asked.model)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: another entry host, or this one as the pool's owner, said something of a ticket."""

    sender: str
    message: ticket.Grant | ticket.Shed | ticket.Preempt | ticket.Queued


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """Event: the flow's timer has come."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Event: owners may have changed.

    Attributes:
        restarted: Entry hosts that have lost what they were told before.
    """

    restarted: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Event: the entry host must stop now."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendToOwner:
    """Effect: send a message to a pool's owner, which may be this entry host."""

    owner: str
    message: ticket.Ticket | ticket.Withdraw | ticket.Running


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Effect: send a release to a pool's owner until it is confirmed."""

    owner: str
    release: ticket.Release


@dataclasses.dataclass(frozen=True, slots=True)
class SendClaimRequest:
    """Effect: send a claim request to the control leader."""

    claim_request: claim.ClaimRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SettleClaim:
    """Effect: tell control what became of a claim until it confirms."""

    message: claim.ClaimFinish | claim.ClaimAbandon


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Hold the result of one event: the flow, or None if it has ended, and the effects."""

    flow: Flow | None
    effects: tuple[Any, ...] = ()


def ticket_id(request_id: str, attempt: int) -> str:
    """Return the id of a request's ticket for one attempt."""
    return f"{request_id}.{attempt}"


def request_id_of(ticket_id: str) -> str:
    """Return the id of the request that a ticket belongs to."""
    return ticket_id.rpartition(".")[0]


def wake_at(flow: Flow) -> float:
    """Return when the flow next needs ``TimerDue``."""
    deadline_at = flow.asked.deadline_at
    match flow.state:
        case Claiming(ask_at=ask_at):
            return min(ask_at, deadline_at)
        case Waiting(resend_at=resend_at):
            return min(resend_at, deadline_at)
        case Running():
            return deadline_at
        case Stopping():
            return float("inf")
