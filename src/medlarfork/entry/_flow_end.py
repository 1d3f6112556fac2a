"""Final steps of a request: its last answer, the settlement of its claim and its record."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork import claim, errors, request
from medlarfork.entry import entry_flow, entry_types
from medlarfork.filters import answers, deduplicate, record


def complete(
    flow: entry_flow.Flow, ended: entry_types.AttemptEnded, holder: claim.Holder, now: float
) -> entry_flow.Step:
    """End with the complete answer, which the caller's connection holds.

    The caller does not wait until control has recorded the claim as finished. The claim is durable
    since before the dispatch: if this host is lost now, a duplicate gets ``may_have_run`` and is
    never dispatched.
    """
    incoming = flow.request
    outcome = request.Outcome.COMPLETED
    effects: list[Any] = [entry_types.FinishRelay(incoming.request_id, complete=True)]
    if flow.claimed:
        stored = deduplicate.answer_to_store(incoming, ended)
        finish = claim.ClaimFinish(deduplicate.key_of(incoming), holder, stored)
        effects.append(entry_flow.SettleClaim(finish))
    effects.append(record.ended(flow, now, outcome=outcome, status=ended.status or 200))
    return entry_flow.Step(None, tuple(effects))


def replay(flow: entry_flow.Flow, stored: claim.StoredAnswer, now: float) -> entry_flow.Step:
    """End with the stored answer of the first run of the request."""
    answer = answers.replay(flow.request.request_id, stored)
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
    """End without a complete answer.

    An answer that was partly relayed is aborted, so that the caller can't take it for complete.
    """
    incoming = flow.request
    outcome = outcome or outcome_of(flow)
    final: Any = entry_types.FinishRelay(incoming.request_id, complete=False)
    flow = count_waste(flow, "cut", flow.tokens)
    if not flow.relayed:
        headers = error.headers
        final = answers.refusal(
            incoming.request_id, error, status=error.status, outcome=outcome, headers=headers
        )
        final = _with_key(flow, final)
    finished = record.ended(flow, now, outcome=outcome, status=error.status, code=str(error.code))
    return entry_flow.Step(None, (final, *settle_claim(flow, holder), finished))


def caller_gone(flow: entry_flow.Flow, holder: claim.Holder, now: float) -> entry_flow.Step:
    """End without an answer, because the caller has closed its connection."""
    flow = count_waste(flow, "caller_gone", flow.tokens)
    finished = record.ended(
        flow,
        now,
        outcome=outcome_of(flow),
        status=record.CALLER_GONE_STATUS,
        code=record.CALLER_GONE_CODE,
    )
    return entry_flow.Step(None, (*settle_claim(flow, holder), finished))


def settle_claim(flow: entry_flow.Flow, holder: claim.Holder) -> tuple[entry_flow.SettleClaim, ...]:
    """Return the settlement of the claim of a request that has no complete answer."""
    if not flow.claimed:
        return ()
    key = deduplicate.key_of(flow.request)
    if flow.uncertain:
        return (entry_flow.SettleClaim(claim.ClaimFinish(key, holder, None)),)
    return (entry_flow.SettleClaim(claim.ClaimAbandon(key, holder)),)


def outcome_of(flow: entry_flow.Flow) -> request.Outcome:
    """Return the outcome of a request without a complete answer and without a running attempt."""
    return request.Outcome.MAY_HAVE_RUN if flow.uncertain else request.Outcome.NOT_RUN


def count_waste(flow: entry_flow.Flow, cause: str, tokens: int) -> entry_flow.Flow:
    """Return the flow with tokens counted as wasted: computed and not delivered."""
    if not tokens:
        return flow
    wasted = (*flow.wasted, entry_types.WastedTokens(cause, tokens))
    return dataclasses.replace(flow, wasted=wasted)


def _with_key(flow: entry_flow.Flow, answer: entry_types.Answer) -> entry_types.Answer:
    headers = {**answer.headers, **deduplicate.headers(flow.request)}
    return dataclasses.replace(answer, headers=headers)
