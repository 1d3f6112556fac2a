"""End a request: its final answer, the settlement of its claim and its record."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim, errors, request
from medlarfork.entry import entry_flow, entry_types
from medlarfork.filters import answers, deduplicate, record


def complete(
    flow: entry_flow.Flow, ended: entry_types.AttemptEnded, holder: claim.Holder, now: float
) -> entry_flow.Step:
    """End with the whole answer, which is with the connection.

    The caller does not wait until its claim is recorded as finished: the claim itself is durable
    since before the dispatch, so if this host is lost now, a duplicate learns that the request
    may have run and is never dispatched.
    """
    asked = flow.asked
    outcome = request.Outcome.COMPLETED
    effects: list[Any] = [entry_types.FinishRelay(asked.request_id, complete=True)]
    if flow.claimed:
        stored = deduplicate.answer_to_store(asked, ended)
        finish = claim.ClaimFinish(deduplicate.key_of(asked), holder, stored)
        effects.append(entry_flow.SettleClaim(finish))
    effects.append(record.ended(flow, now, outcome=outcome, status=ended.status or 200))
    return entry_flow.Step(None, tuple(effects))


def replay(flow: entry_flow.Flow, stored: claim.StoredAnswer, now: float) -> entry_flow.Step:
    """End with the answer that the request got when it ran the first time."""
    answer = answers.replay(flow.asked.request_id, stored)
    finished = record.ended(flow, now, outcome=answer.outcome, status=answer.status)
    return entry_flow.Step(None, (_with_key(flow, answer), finished))


def fail(
    flow: entry_flow.Flow,
    error: errors.RequestRefusedError,
    holder: claim.Holder,
    now: float,
    *,
    outcome: request.Outcome | None = None,
) -> entry_flow.Step:
    """End without a whole answer; what was relayed is cut so that it can't look whole."""
    asked = flow.asked
    outcome = outcome or outcome_of(flow)
    final: Any = entry_types.FinishRelay(asked.request_id, complete=False)
    flow = waste(flow, "cut", flow.tokens)
    if not flow.relayed:
        headers = error.headers
        final = answers.refusal(
            asked.request_id, error, status=error.status, outcome=outcome, headers=headers
        )
        final = _with_key(flow, final)
    finished = record.ended(flow, now, outcome=outcome, status=error.status, code=str(error.code))
    return entry_flow.Step(None, (final, *settle(flow, holder), finished))


def caller_gone(flow: entry_flow.Flow, holder: claim.Holder, now: float) -> entry_flow.Step:
    """End without an answer, since there is nobody to give it to."""
    flow = waste(flow, "caller_gone", flow.tokens)
    finished = record.ended(
        flow,
        now,
        outcome=outcome_of(flow),
        status=record.CALLER_GONE_STATUS,
        code=record.CALLER_GONE_CODE,
    )
    return entry_flow.Step(None, (*settle(flow, holder), finished))


def settle(flow: entry_flow.Flow, holder: claim.Holder) -> tuple[entry_flow.SettleClaim, ...]:
    """Return what to tell control of the claim of a request without a whole answer."""
    if not flow.claimed:
        return ()
    key = deduplicate.key_of(flow.asked)
    if flow.uncertain:
        return (entry_flow.SettleClaim(claim.ClaimFinish(key, holder, None)),)
    return (entry_flow.SettleClaim(claim.ClaimAbandon(key, holder)),)


def outcome_of(flow: entry_flow.Flow) -> request.Outcome:
    """Return what is known of a request that has no whole answer and no attempt running."""
    return request.Outcome.MAY_HAVE_RUN if flow.uncertain else request.Outcome.NOT_RUN


def waste(flow: entry_flow.Flow, cause: str, tokens: int) -> entry_flow.Flow:
    """Return the flow with tokens counted as computed in vain."""
    if not tokens:
        return flow
    wasted = (*flow.wasted, entry_types.WastedTokens(cause, tokens))
    return dataclasses.replace(flow, wasted=wasted)


def _with_key(flow: entry_flow.Flow, answer: entry_types.Answer) -> entry_types.Answer:
    headers = {**answer.headers, **deduplicate.headers(flow.asked)}
    return dataclasses.replace(answer, headers=headers)
