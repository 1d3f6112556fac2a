"""Builds the record of a finished request: the last filter of the request pipeline."""

from __future__ import annotations

from medlarfork import errors, request
from medlarfork.declared import configuration
from medlarfork.entry import entry_flow, entry_types

CALLER_GONE_STATUS = 499
"""Status recorded for a request whose caller disconnected."""

CALLER_GONE_CODE = "caller_gone"


def refused(
    answer: entry_types.Answer, error: errors.MedlarError, revision: int
) -> entry_types.Record:
    """Return the record of a request that was refused before classification and admission."""
    return entry_types.Record(
        request_id=answer.request_id,
        account="",
        class_name="",
        service="",
        outcome=answer.outcome,
        status=answer.status,
        code=str(error.code),
        queued_s=0.0,
        first_token_s=None,
        whole_s=0.0,
        in_target=None,
        tokens=0,
        attempts=0,
        revision=revision,
    )


def ended(
    flow: entry_flow.Flow,
    now: float,
    *,
    outcome: request.Outcome,
    status: int,
    code: str = "",
) -> entry_types.Record:
    """Return the record of a request that has its final answer."""
    incoming = flow.request
    whole_s = now - incoming.arrived_at
    first_token_s = None
    if flow.first_byte_at is not None:
        first_token_s = flow.first_byte_at - incoming.arrived_at
    in_target = _in_target(flow.request_class, first_token_s, whole_s)
    if in_target is not None and (code or status >= 500):
        in_target = False
    return entry_types.Record(
        request_id=incoming.request_id,
        account=incoming.account,
        class_name=incoming.class_name,
        service=incoming.service,
        outcome=outcome,
        status=status,
        code=code,
        queued_s=whole_s if flow.queued_s is None else flow.queued_s,
        first_token_s=first_token_s,
        whole_s=whole_s,
        in_target=in_target,
        tokens=flow.tokens,
        attempts=flow.dispatches,
        revision=flow.revision,
        wasted=flow.wasted,
    )


def _in_target(
    request_class: configuration.RequestClass, first_token_s: float | None, whole_s: float
) -> bool | None:
    first_target_s = request_class.first_token_target_s
    whole_target_s = request_class.whole_target_s
    if first_target_s is None and whole_target_s is None:
        return None
    # An assembled answer reaches the caller in one piece when it is complete.
    first_s = whole_s if first_token_s is None else first_token_s
    in_first = first_target_s is None or first_s <= first_target_s
    return in_first and (whole_target_s is None or whole_s <= whole_target_s)
