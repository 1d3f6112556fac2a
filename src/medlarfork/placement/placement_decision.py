"""Define what the owner of placement answers, with what the answer rests on."""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_cost, placement_messages


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionInputs:
    """Hold what a placement rests on, for the log.

    Attributes:
        waited_ms: How long the request waited with the owner, in milliseconds.
        cost: What it costs where it was placed.
        running: Requests that run there already.
        candidates: Upstreams that were compared.
        tokens_per_ms: The rate of reading that was reckoned with.
        max_gap_ms: The longest pause of a stream beside reading that was reckoned with.
    """

    waited_ms: float
    cost: placement_cost.Cost
    running: int
    candidates: int
    tokens_per_ms: float
    max_gap_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Tell an entry host what was decided.

    Attributes:
        entry_id: Who asked.
        message: The decision.
        decision_inputs: What a placement rests on; None for the other answers.
    """

    entry_id: str
    message: placement_messages.Answer
    decision_inputs: DecisionInputs | None = None
