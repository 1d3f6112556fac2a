"""Hold where the order planner stands with one engine, and judge its orders by its state."""

from __future__ import annotations

import enum

from medlarfork.orders import order_types

MAX_REPEATS = 6
"""After how many fruitless repeats of one action the wait between them grows no more."""


class Phase(enum.Enum):
    """Name what the planner does next with an engine at its ``due`` time.

    UNREAD: read its state.
    READING: give the read up.
    IDLE: nothing, or decide again if ``due`` is finite.
    QUEUED: nothing; the weight store decides when its load starts.
    MARKING: propose again to take it out of or back into service.
    DRAINING: go on as if it had drained.
    RECORDING: propose again to record its order.
    SENT: take its order's result as unknown.
    RESOLVING: propose again to record its order's result.
    """

    UNREAD = enum.auto()
    READING = enum.auto()
    IDLE = enum.auto()
    QUEUED = enum.auto()
    MARKING = enum.auto()
    DRAINING = enum.auto()
    RECORDING = enum.auto()
    SENT = enum.auto()
    RESOLVING = enum.auto()


_REASON_BY_PHASE = {
    Phase.UNREAD: "its state has to be read",
    Phase.READING: "its state is being read",
    Phase.QUEUED: "the weight store has no free lane",
    Phase.MARKING: "the log has to take it out of service or put it back",
    Phase.DRAINING: "its running requests have to finish",
    Phase.RECORDING: "the log has to record the order",
    Phase.RESOLVING: "the log has to record the result",
}
"""What operators are told of an engine that waits."""


class EngineProgress:
    """Hold the mutable progress with one engine.

    Attributes:
        order: Its order in progress, if any.
        result: The result being recorded while RESOLVING.
        settled_at: Monotonic time from which its order can't be carried out any more.
        first_read_at: Monotonic time before which it isn't read, for older holders' orders.
        read_number: Number of the last read, repeated by the answer.
        drained: Whether it runs no requests since it was taken out of service.
        mark_number: Number of the last proposal of MARKING; older ones are ignored.
        marking_in: Whether MARKING puts it back into service.
        wanted: The weights it waits for while QUEUED.
        last_action: The action of the last order.
        repeats: How often that action has been ordered in a row.
        retry_at: Monotonic time before which that action isn't ordered again.
    """

    def __init__(self, upstream_id: str) -> None:
        """Start unread."""
        self.upstream_id = upstream_id
        self.phase = Phase.UNREAD
        self.order: order_types.Order | None = None
        self.result = order_types.OrderResult.UNKNOWN
        self.settled_at = 0.0
        self.first_read_at = 0.0
        self.read_number = 0
        self.drained = False
        self.marking_in = False
        self.mark_number = 0
        self.wanted: order_types.Weights | None = None
        self.last_action: order_types.OrderAction | None = None
        self.repeats = 0
        self.retry_at = 0.0

    def waiting(self, now: float) -> order_types.Waiting | None:
        """Return what it waits for; None if it needs nothing or carries an order out."""
        reason = _REASON_BY_PHASE.get(self.phase)
        if self.phase is Phase.UNREAD and now < self.first_read_at:
            reason = "an order of an older holder may still be under way"
        elif self.phase is Phase.IDLE and self.last_action is not None and now < self.retry_at:
            reason = "its last order had no effect; it is repeated later"
        if reason is None:
            return None
        wanted = self.wanted if self.phase is Phase.QUEUED else None
        held = None if wanted is None else order_types.LoadedWeights(wanted.name, wanted.version)
        return order_types.Waiting(self.upstream_id, reason, held)

    def note_ordered(self, action: order_types.OrderAction) -> None:
        """Count how often the action was ordered in a row."""
        self.repeats = self.repeats + 1 if self.last_action == action else 0
        self.last_action = action

    def note_ended(self, now: float, wait_s: float) -> None:
        """Set when the action may be ordered again, later with each repeat."""
        self.retry_at = now + wait_s * 2 ** min(self.repeats, MAX_REPEATS)

    def is_held_back(self, action: order_types.OrderAction, now: float) -> bool:
        """Return whether the action was ordered in vain and has to wait still."""
        return self.last_action == action and now < self.retry_at


def has_effect(action: order_types.OrderAction, state: order_types.EngineState) -> bool:
    """Return whether an engine's state shows what an action asks for."""
    match action:
        case order_types.LoadWeights(weights):
            return order_types.LoadedWeights(weights.name, weights.version) in state.weights
        case order_types.ChangeRole(role):
            return state.role == role


def judge(
    order: order_types.Order, state: order_types.EngineState, *, settled: bool
) -> order_types.OrderResult | None:
    """Return how an order of unknown result ended by the engine's state; None if still open.

    Args:
        order: The order in progress.
        state: The engine's state, read after the order was sent.
        settled: Whether so much time has passed that it can't be carried out any more.
    """
    if state.executing == order.order_id:
        return None
    if has_effect(order.action, state):
        return order_types.OrderResult.DONE
    if settled or order.order_id in state.order_ids:
        return order_types.OrderResult.FAILED
    return None
