"""Decide what follows when an attempt at an upstream has ended."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork import errors
from medlarfork.entry import entry_types
from medlarfork.filters import answers

_SERVICES_LIMIT = 1024
"""Services whose budgets are remembered; the one idle for longest is forgotten first."""


class RetryBudgets:
    """Allow retries as a share of each service's requests, so that they can't multiply load."""

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
    """Gather what decides about an ended attempt.

    Attributes:
        event: How it ended.
        relayed: Whether any byte of an answer has reached the caller.
        repeatable: Whether the request may run more than once.
        started: Whether bytes of this very attempt were relayed.
    """

    event: entry_types.AttemptEnded
    relayed: bool
    repeatable: bool
    started: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Say that the whole answer is there."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requeue:
    """Say that the request may queue again.

    Attributes:
        resume_offset: Tokens to keep.
        discarded: Tokens computed in vain.
        ran: Whether the attempt may have run.
        otherwise: What to answer if it can't queue again.
    """

    resume_offset: int
    discarded: int
    ran: bool
    otherwise: errors.RequestRefusedError


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Say that the request can't go on; it may have run."""

    error: errors.RequestRefusedError


Decision = Complete | Requeue | Fail


def decide(ended: EndedAttempt) -> Decision:
    """Return what an ended attempt allows, budgets and deadline aside."""
    event = ended.event
    match event.result:
        case entry_types.AttemptResult.COMPLETE:
            return Complete()
        # Bytes of an answer contradict a refusal, so the request may have run after all.
        case (
            entry_types.AttemptResult.REFUSED | entry_types.AttemptResult.NOT_SENT
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
