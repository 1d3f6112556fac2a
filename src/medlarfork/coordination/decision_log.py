"""Describe the decisions of placement for the log, each with what it rests on."""

from __future__ import annotations

from typing import Any

from medlarfork.coordination import coordinator_types
from medlarfork.placement import placement_decision, placement_messages


def log_event(answer: placement_decision.Decision) -> coordinator_types.LogEvent:
    """Return the log line of a decision."""
    match answer.message:
        case placement_messages.Placed(ticket_id, upstream_id):
            fields = {
                "ticket": ticket_id,
                "upstream": upstream_id,
                **_grounds(answer.decision_inputs),
            }
            return coordinator_types.LogEvent("placed", fields)
        case placement_messages.PlaceRefused(ticket_id, retry_after_ms, why):
            fields = {"ticket": ticket_id, "retry_ms": retry_after_ms, "why": why}
            return coordinator_types.LogEvent("placement_refused", fields)
        case placement_messages.Busy(ticket_id, begins_ms):
            fields = {"ticket": ticket_id, "begins_ms": round(begins_ms)}
            return coordinator_types.LogEvent("placement_busy", fields)
        case placement_messages.Queued(ticket_id):
            return coordinator_types.LogEvent("placement_queued", {"ticket": ticket_id})


def _grounds(decision_inputs: placement_decision.DecisionInputs | None) -> dict[str, Any]:
    if decision_inputs is None:
        return {}
    return {
        "waited_ms": round(decision_inputs.waited_ms),
        "backlog_ms": round(decision_inputs.cost.backlog_ms),
        "read_ms": round(decision_inputs.cost.prefill_ms),
        "read_tokens": decision_inputs.cost.prefill_tokens,
        "again_tokens": decision_inputs.cost.recomputed_tokens or None,
        "harm": round(decision_inputs.cost.harm, 2),
        "cost": round(decision_inputs.cost.total, 3),
        "fetch_from": decision_inputs.cost.fetch_from or None,
        "running": decision_inputs.running,
        "candidates": decision_inputs.candidates,
        "tokens_per_ms": round(decision_inputs.tokens_per_ms, 1),
        "pause_ms": round(decision_inputs.max_gap_ms),
    }
