"""Deduplicate not-repeatable requests: what a claim's verdict means for the caller.

A not-repeatable request is identified by client account and idempotency key. It may go on only
with a claim that control has granted; every other verdict is its final answer, or means asking
again.
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
    """Say that the claim is granted: the request may be dispatched once."""


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Say that another request with the same key is in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Give the stored answer once more."""

    answer: claim.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer with an error.

    Attributes:
        outcome: What is known of the request that the key identifies.
        abandon: Whether a copy of the claim request could still be granted later.
    """

    error: errors.RequestRefusedError
    outcome: request.Outcome
    abandon: bool


Decision = Proceed | InProgress | Replay | Refuse


def check_key(declared: configuration.Configuration, asked: request.Request) -> None:
    """Check the caller's idempotency key, if it gave one.

    Raises:
        errors.RequestRefusedError: The key carries no time although the configuration asks it.
    """
    if not asked.key_given or declared.allow_undated_keys:
        return
    if uuid7.time_ms(asked.key) is None:
        raise errors.RequestRefusedError(
            "The Idempotency-Key carries no time.",
            remedy="Send a UUIDv7 as the key.",
            code=errors.Code.KEY_EXPIRED,
            status=422,
        )


def key_of(asked: request.Request) -> claim.ClaimKey:
    """Return the key that identifies a not-repeatable request."""
    return claim.ClaimKey(asked.account, asked.key)


def decide(reply: claim.ClaimReply) -> Decision:
    """Return what a claim's verdict means."""
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
    """Return the refusal for a claim that control does not answer.

    Args:
        contended: Whether control said before that another request holds the key; that one may
            have run, although this one did not.
    """
    if contended:
        return still_running()
    return _refuse(claim.Verdict.NO_QUORUM)


def still_running() -> Refuse:
    """Return the refusal for a request whose duplicate has not ended in time."""
    error = errors.RequestRefusedError(
        "Another request with this Idempotency-Key is still in progress.",
        remedy="Send it again later with the same key to get its answer.",
        code=errors.Code.UNCERTAIN,
        status=409,
        headers=answers.retry_after(1.0),
    )
    return Refuse(error, request.Outcome.MAY_HAVE_RUN, abandon=True)


def no_quorum_error() -> errors.RequestRefusedError:
    """Return the error for a not-repeatable request while control can't record its claim."""
    return errors.RequestRefusedError(
        "Requests that must not run twice can't be recorded at the moment.",
        remedy="Send it again later with the same key.",
        code=errors.Code.NO_QUORUM,
        status=503,
        headers=answers.retry_after(2.0),
    )


def headers(asked: request.Request) -> dict[str, str]:
    """Return the header that tells the caller the key its request ran under."""
    return {header_names.KEY: asked.key} if asked.key else {}


def answer_to_store(
    asked: request.Request, ended: entry_types.AttemptEnded
) -> claim.StoredAnswer | None:
    """Return what to keep of a complete answer; None for a repeatable request."""
    if asked.repeatable:
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
            problem = "The request with this Idempotency-Key ran; its answer is no longer kept."
            remedy = "Read the result from the service; don't send the request with a new key."
            code, status = errors.Code.ALREADY_RAN, 409
        case claim.Verdict.HOLDER_LOST:
            problem = "The request with this Idempotency-Key may have run; its host was lost."
            remedy = "Check whether it took effect before you send it with a new key."
            code, status = errors.Code.UNCERTAIN, 409
        case claim.Verdict.KEY_EXPIRED:
            problem = "The time in the Idempotency-Key is out of the range that is remembered."
            remedy = "Check whether the request took effect before you send it with a new key."
            code, status = errors.Code.KEY_EXPIRED, 422
        case claim.Verdict.KEY_REUSED:
            problem = "The Idempotency-Key was used with another request."
            remedy = "Send a new key with each new request."
            code, status = errors.Code.KEY_REUSED, 422
        case claim.Verdict.FULL:
            problem = "No more requests that must not run twice can be recorded at the moment."
            remedy = "Send it again later with the same key."
            code, status = errors.Code.OVERLOADED, 503
        case _:
            return no_quorum_error()
    retry = answers.retry_after(2.0) if status == 503 else None
    return errors.RequestRefusedError(
        problem, remedy=remedy, code=code, status=status, headers=retry
    )
