"""Order progress of one engine, and the result of an order derived from the engine's state."""

from __future__ import annotations

import enum

from medlarfork.orders import order_types

MAX_BACKOFF_DOUBLINGS = 6
"""Number of repeats of one action after which its backoff stops doubling."""


class Phase(enum.Enum):
    """Phase of an engine; each line says what is done when the phase's timer expires.

    UNREAD: read its state.
    READING: treat the read as timed out.
    IDLE: read its state and plan again; without a timer, nothing is due.
    QUEUED: no timer; the load scheduler starts its load.
    SETTING_IN_SERVICE: propose the change of its service status again.
    DRAINING: treat it as drained.
    RECORDING_ORDER: propose again to record its order.
    SENT: treat its order's result as unknown.
    RECORDING_RESULT: propose again to record its order's result.
    """

    UNREAD = enum.auto()
    READING = enum.auto()
    IDLE = enum.auto()
    QUEUED = enum.auto()
    SETTING_IN_SERVICE = enum.auto()
    DRAINING = enum.auto()
    RECORDING_ORDER = enum.auto()
    SENT = enum.auto()
    RECORDING_RESULT = enum.auto()


_REASON_BY_PHASE = {
    Phase.UNREAD: "its state has not been read yet",
    Phase.READING: "its state is being read",
    Phase.QUEUED: "the weight store has no free lane",
    Phase.SETTING_IN_SERVICE: "the log has not committed the change of its service status yet",
    Phase.DRAINING: "its running requests have not finished yet",
    Phase.RECORDING_ORDER: "the log has not recorded the order yet",
    Phase.RECORDING_RESULT: "the log has not recorded the result yet",
}
"""Reasons for a wait, as shown to operators."""


class EngineProgress:
    """Mutable progress of one engine.

    Attributes:
        order: The order in progress, if any.
        result: The result to record while RECORDING_RESULT.
        order_expires_at: Monotonic time from which the order can't be executed any more.
        first_read_at: Monotonic time of the first read; until then, an order of an earlier holder
            may still be executed.
        read_number: Number of the last read, repeated in its answer.
        is_drained: Whether it has finished its requests since it was taken out of service.
        service_change_number: Number of the last proposed service change; older ones are ignored.
        target_in_service: Whether SETTING_IN_SERVICE returns it to service.
        queued_weights: The weights to load while QUEUED.
        last_action: Action of the last order.
        repeats: Consecutive repeats of that action.
        retry_at: Monotonic time at which the backoff of that action ends.
    """

    def __init__(self, upstream_id: str) -> None:
        """Start in phase UNREAD."""
        self.upstream_id = upstream_id
        self.phase = Phase.UNREAD
        self.order: order_types.Order | None = None
        self.result = order_types.OrderResult.UNKNOWN
        self.order_expires_at = 0.0
        self.first_read_at = 0.0
        self.read_number = 0
        self.is_drained = False
        self.target_in_service = False
        self.service_change_number = 0
        self.queued_weights: order_types.Weights | None = None
        self.last_action: order_types.OrderAction | None = None
        self.repeats = 0
        self.retry_at = 0.0

    def waiting(self, now: float) -> order_types.Waiting | None:
        """Return what it waits for; None if it is up to date or executes an order."""
        reason = _REASON_BY_PHASE.get(self.phase)
        if self.phase is Phase.UNREAD and now < self.first_read_at:
            reason = "an order of an earlier lease holder may still be in progress"
        elif self.phase is Phase.IDLE and self.last_action is not None and now < self.retry_at:
            reason = "its last order had no effect; it will be retried after a backoff"
        if reason is None:
            return None
        queued = self.queued_weights if self.phase is Phase.QUEUED else None
        weights = None if queued is None else order_types.LoadedWeights(queued.name, queued.version)
        return order_types.Waiting(self.upstream_id, reason, weights)

    def record_attempt(self, action: order_types.OrderAction) -> None:
        """Count consecutive orders of the same action."""
        self.repeats = self.repeats + 1 if self.last_action == action else 0
        self.last_action = action

    def start_backoff(self, now: float, wait_s: float) -> None:
        """Start the action's backoff, which doubles with each repeat."""
        self.retry_at = now + wait_s * 2 ** min(self.repeats, MAX_BACKOFF_DOUBLINGS)

    def is_backing_off(self, action: order_types.OrderAction, now: float) -> bool:
        """Return whether the action had no effect when ordered and its backoff has not ended."""
        return self.last_action == action and now < self.retry_at


def has_effect(action: order_types.OrderAction, state: order_types.EngineState) -> bool:
    """Return whether an engine's state shows the effect of an action."""
    match action:
        case order_types.LoadWeights(weights):
            return order_types.LoadedWeights(weights.name, weights.version) in state.weights
        case order_types.ChangeRole(role):
            return state.role == role


def result_from_state(
    order: order_types.Order, state: order_types.EngineState, *, has_expired: bool
) -> order_types.OrderResult | None:
    """Return the result of an unanswered order from the engine's state; None if still open.

    Args:
        order: The order in progress.
        state: The engine's state, read after the order was sent.
        has_expired: Whether enough time has passed that the order can't be executed any more.
    """
    if state.executing == order.order_id:
        return None
    if has_effect(order.action, state):
        return order_types.OrderResult.DONE
    if has_expired or order.order_id in state.order_ids:
        return order_types.OrderResult.FAILED
    return None
