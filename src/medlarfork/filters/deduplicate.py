"""Deduplicates non-repeatable requests: maps the verdict of a claim to the next step.

A non-repeatable request is identified by client account and idempotency key. It may be dispatched
only with a claim that control has granted. Any other verdict is final, or means that another
request with the key is in progress and the claim has to be retried.
"""

from __future__ import annotations

import dataclasses

from medlarfork import claim, errors, request, uuid7
from medlarfork.declared import configuration
from medlarfork.entry import entry_types
from medlarfork.filters import answers
from medlarfork.http import header_names

_FINAL_FOR_HOLDER = frozenset(
    {
        claim.Verdict.DONE,
        claim.Verdict.ALREADY_RAN,
        claim.Verdict.HOLDER_LOST,
        claim.Verdict.KEY_EXPIRED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """The claim is granted: the request may be dispatched once."""


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another request with the same key is in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request has completed: replay the stored answer."""

    answer: claim.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused with an error.

    Attributes:
        error: The error to answer with.
        outcome: What is known about the request that the key identifies.
        abandon: Whether a copy of the claim request could still be granted later.
    """

    error: errors.RequestRefusedError
    outcome: request.Outcome
    abandon: bool


Decision = Proceed | InProgress | Replay | Refuse


def check_key(declared: configuration.Configuration, incoming: request.Request) -> None:
    """Check the caller's idempotency key, if it gave one.

    Raises:
        errors.RequestRefusedError: The key has no timestamp, but the configuration requires one.
    """
    if not incoming.key_given or declared.allow_undated_keys:
        return
    if uuid7.time_ms(incoming.key) is None:
        raise errors.RequestRefusedError(
            "The Idempotency-Key contains no timestamp.",
            remedy="Send a UUIDv7 as the key.",
            code=errors.Code.KEY_EXPIRED,
            status=422,
        )


def key_of(incoming: request.Request) -> claim.ClaimKey:
    """Return the key that identifies a non-repeatable request."""
    return claim.ClaimKey(incoming.account, incoming.key)


def decide(reply: claim.ClaimReply) -> Decision:
    """Return the decision for a claim's verdict."""
    match reply.verdict:
        case claim.Verdict.GRANTED:
            return Proceed()
        case claim.Verdict.RUNNING:
            return InProgress()
        case claim.Verdict.DONE if reply.answer is not None and reply.answer.kept:
            return Replay(reply.answer)
        case claim.Verdict.DONE:
            return _refuse(claim.Verdict.ALREADY_RAN)
        case verdict:
            return _refuse(verdict)


def control_unavailable(*, contended: bool) -> Refuse:
    """Return the refusal for a claim to which control does not reply.

    Args:
        contended: Whether control stated before that another request holds the key; that one may
            have run, although this one has not.
    """
    if contended:
        return still_running()
    return _refuse(claim.Verdict.NO_QUORUM)


def still_running() -> Refuse:
    """Return the refusal for a request whose duplicate has not finished in time."""
    error = errors.RequestRefusedError(
        "Another request with this Idempotency-Key is still in progress.",
        remedy="Send it again later with the same key to get its answer.",
        code=errors.Code.UNCERTAIN,
        status=409,
        headers=answers.retry_after(1.0),
    )
    return Refuse(error, request.Outcome.MAY_HAVE_RUN, abandon=True)


def no_quorum_error() -> errors.RequestRefusedError:
    """Return the error for a non-repeatable request whose claim control can't record now."""
    return errors.RequestRefusedError(
        "Non-repeatable requests can't be recorded at the moment.",
        remedy="Send it again later with the same key.",
        code=errors.Code.NO_QUORUM,
        status=503,
        headers=answers.retry_after(2.0),
    )


def headers(incoming: request.Request) -> dict[str, str]:
    """Return the header with the key under which the request ran."""
    return {header_names.KEY: incoming.key} if incoming.key else {}


def answer_to_store(
    incoming: request.Request, ended: entry_types.AttemptEnded
) -> claim.StoredAnswer | None:
    """Return what to store of a complete answer; None for a repeatable request."""
    if incoming.repeatable:
        return None
    return ended.answer or claim.StoredAnswer(ended.status, "", b"", kept=False)


def _refuse(verdict: claim.Verdict) -> Refuse:
    outcome = request.Outcome.NOT_RUN
    if verdict in (claim.Verdict.ALREADY_RAN, claim.Verdict.HOLDER_LOST):
        outcome = request.Outcome.MAY_HAVE_RUN
    return Refuse(_error(verdict), outcome, abandon=verdict not in _FINAL_FOR_HOLDER)


def _error(verdict: claim.Verdict) -> errors.RequestRefusedError:
    match verdict:
        case claim.Verdict.ALREADY_RAN:
            problem = "The request with this Idempotency-Key ran; its answer is no longer stored."
            remedy = "Read the result from the service; don't send the request with a new key."
            code, status = errors.Code.ALREADY_RAN, 409
        case claim.Verdict.HOLDER_LOST:
            problem = "The request with this Idempotency-Key may have run; its host was lost."
            remedy = "Check whether it took effect before you send it with a new key."
            code, status = errors.Code.UNCERTAIN, 409
        case claim.Verdict.KEY_EXPIRED:
            problem = "The timestamp in the Idempotency-Key is outside the accepted range."
            remedy = "Check whether the request took effect before you send it with a new key."
            code, status = errors.Code.KEY_EXPIRED, 422
        case claim.Verdict.KEY_REUSED:
            problem = "The Idempotency-Key was used with another request."
            remedy = "Send a new key with each new request."
            code, status = errors.Code.KEY_REUSED, 422
        case claim.Verdict.FULL:
            problem = "No more non-repeatable requests can be recorded at the moment."
            remedy = "Send it again later with the same key."
            code, status = errors.Code.OVERLOADED, 503
        case _:
            return no_quorum_error()
    retry = answers.retry_after(2.0) if status == 503 else None
    return errors.RequestRefusedError(
        problem, remedy=remedy, code=code, status=status, headers=retry
    )
