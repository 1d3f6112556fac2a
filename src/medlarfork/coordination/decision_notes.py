"""Describe the decisions of placement for the log, each with what it rests on."""

from __future__ import annotations

from typing import Any

from medlarfork.coordination import coordinator_types
from medlarfork.placement import placement_answer, placement_messages


def noted(answer: placement_answer.Answer) -> coordinator_types.Noted:
    """Return the log line of a decision."""
    match answer.message:
        case placement_messages.Placed(ticket_id, upstream_id):
            fields = {"ticket": ticket_id, "upstream": upstream_id, **_grounds(answer.grounds)}
            return coordinator_types.Noted("placed", fields)
        case placement_messages.PlaceRefused(ticket_id, retry_after_ms, why):
            fields = {"ticket": ticket_id, "retry_ms": retry_after_ms, "why": why}
            return coordinator_types.Noted("placement_refused", fields)
        case placement_messages.Busy(ticket_id, begins_ms):
            fields = {"ticket": ticket_id, "begins_ms": round(begins_ms)}
            return coordinator_types.Noted("placement_busy", fields)
        case placement_messages.Queued(ticket_id):
            return coordinator_types.Noted("placement_queued", {"ticket": ticket_id})


def _grounds(grounds: placement_answer.Grounds | None) -> dict[str, Any]:
    if grounds is None:
        return {}
    return {
        "waited_ms": round(grounds.waited_ms),
        "backlog_ms": round(grounds.cost.wait_ms),
        "read_ms": round(grounds.cost.read_ms),
        "read_tokens": grounds.cost.read_tokens,
        "again_tokens": grounds.cost.again_tokens or None,
        "harm": round(grounds.cost.harm, 2),
        "cost": round(grounds.cost.total, 3),
        "fetch_from": grounds.cost.fetch_from or None,
        "running": grounds.running,
        "candidates": grounds.candidates,
        "tokens_per_ms": round(grounds.tokens_per_ms, 1),
        "pause_ms": round(grounds.pause_ms),
    }
