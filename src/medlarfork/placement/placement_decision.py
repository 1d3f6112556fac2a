"""Decisions of a placement owner, with the inputs that they depend on."""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_cost, placement_messages


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionInputs:
    """The inputs of a placement, for the log.

    Attributes:
        waited_ms: How long the request was queued at the owner, in milliseconds.
        cost: Its cost on the upstream where it was placed.
        running: Requests that already ran there.
        candidates: Number of upstreams that could be used.
        tokens_per_ms: The assumed prefill rate.
        max_gap_ms: The assumed longest inter-event gap of a stream during prefill.
        speed: The upstream's relative time factor; None unless its service reports slowdowns.
        slowdown: The upstream's momentary slowdown; None as above.
    """

    waited_ms: float
    cost: placement_cost.Cost
    running: int
    candidates: int
    tokens_per_ms: float
    max_gap_ms: float = 0.0
    speed: float | None = None
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An answer of the owner, with its recipient.

    Attributes:
        entry_id: The entry host that asked.
        message: The answer.
        decision_inputs: What a placement depends on; None for the other answers.
        account: The client account of a refused request; empty for other answers.
        is_returning: Whether the request is a scheduled retry that arrived at its time.
    """

    entry_id: str
    message: placement_messages.Answer
    decision_inputs: DecisionInputs | None = None
    account: str = ""
    is_returning: bool = False
