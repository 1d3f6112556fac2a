"""Log events of placement decisions, with the inputs of each decision."""

from __future__ import annotations

from typing import Any

from medlarfork.coordination import coordinator_types
from medlarfork.placement import placement_decision, placement_messages


def log_event(answer: placement_decision.Decision) -> coordinator_types.LogEvent:
    """Return the log event of a decision."""
    match answer.message:
        case placement_messages.Placed(ticket_id, upstream_id):
            fields = {
                "ticket": ticket_id,
                "upstream": upstream_id,
                **_input_fields(answer.decision_inputs),
                "promise": "kept" if answer.is_returning else None,
            }
            return coordinator_types.LogEvent("placed", fields)
        case placement_messages.PlaceRefused(ticket_id, retry_after_ms, why, _, is_promise):
            promise = "missed" if answer.is_returning else "given" if is_promise else None
            fields = {
                "ticket": ticket_id,
                "account": answer.account or None,
                "retry_ms": retry_after_ms,
                "why": why,
                "promise": promise,
            }
            return coordinator_types.LogEvent("placement_refused", fields)
        case placement_messages.Busy(ticket_id, begins_ms):
            fields = {"ticket": ticket_id, "begins_ms": round(begins_ms)}
            return coordinator_types.LogEvent("placement_busy", fields)
        case placement_messages.Queued(ticket_id):
            return coordinator_types.LogEvent("placement_queued", {"ticket": ticket_id})


def _input_fields(inputs: placement_decision.DecisionInputs | None) -> dict[str, Any]:
    if inputs is None:
        return {}
    return {
        "waited_ms": round(inputs.waited_ms),
        "backlog_ms": round(inputs.cost.backlog_ms),
        "read_ms": round(inputs.cost.prefill_ms),
        "read_tokens": inputs.cost.prefill_tokens,
        "again_tokens": inputs.cost.recomputed_tokens or None,
        "harm": round(inputs.cost.harm, 2),
        "cost": round(inputs.cost.total, 3),
        "fetch_from": inputs.cost.fetch_from or None,
        "running": inputs.running,
        "candidates": inputs.candidates,
        "tokens_per_ms": round(inputs.tokens_per_ms, 1),
        "pause_ms": round(inputs.max_gap_ms),
        "speed": None if inputs.speed is None else round(inputs.speed, 2),
        "slowdown": None if inputs.slowdown is None else round(inputs.slowdown, 2),
    }
