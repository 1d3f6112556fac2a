"""Decides whether a request is complete, retried or failed after an attempt has ended."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork import errors
from medlarfork.entry import entry_types
from medlarfork.filters import answers

_SERVICES_LIMIT = 1024
"""Maximum number of services with a budget; the least recently used one is evicted first."""


class RetryBudgets:
    """Limits retries to a share of each service's requests, so that they can't multiply load."""

    def __init__(self, *, share: float, burst: float) -> None:
        """Allow ``share`` retries for each request, and ``burst`` at once."""
        self._share = share
        self._burst = burst
        self._left_by_service: collections.OrderedDict[str, float] = collections.OrderedDict()

    def earn(self, service: str) -> None:
        """Count one request of the service."""
        left = self._left_by_service.pop(service, self._burst)
        self._left_by_service[service] = min(left + self._share, self._burst)
        if len(self._left_by_service) > _SERVICES_LIMIT:
            self._left_by_service.popitem(last=False)

    def spend(self, service: str) -> bool:
        """Take one retry of the service; return False if none is left."""
        left = self._left_by_service.get(service, self._burst)
        if left < 1.0:
            return False
        self._left_by_service[service] = left - 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """The decision inputs for an ended attempt.

    Attributes:
        event: How the attempt ended.
        relayed: Whether any byte of an answer has reached the caller.
        repeatable: Whether the request may run more than once.
        started: Whether bytes of this attempt were relayed.
    """

    event: entry_types.AttemptEnded
    relayed: bool
    repeatable: bool
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The answer is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requeue:
    """The request may be queued again.

    Attributes:
        resume_offset: Tokens to keep.
        discarded: Tokens that were computed but can't be used.
        ran: Whether the attempt may have run.
        otherwise: The error to answer with if it can't be queued again.
    """

    resume_offset: int
    discarded: int
    ran: bool
    otherwise: errors.RequestRefusedError


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The request has failed; it may have run."""

    error: errors.RequestRefusedError


Decision = Complete | Requeue | Fail


def decide(ended: EndedAttempt) -> Decision:
    """Return the decision for an ended attempt; budget and deadline are checked separately."""
    event = ended.event
    match event.result:
        case entry_types.AttemptResult.COMPLETE:
            return Complete()
        # Bytes of an answer contradict a refusal: then the request may have run.
        case (
            entry_types.AttemptResult.REFUSED
            | entry_types.AttemptResult.NOT_SENT
            | entry_types.AttemptResult.CUT_OFF
        ) if not ended.started:
            return Requeue(event.tokens, 0, False, answers.upstream_refused_error())
    error = answers.upstream_error(event.error)
    if not ended.repeatable:
        return Fail(error)
    if event.resumable:
        return Requeue(event.tokens, 0, True, error)
    if ended.relayed:
        return Fail(error)
    return Requeue(0, event.tokens, True, error)
