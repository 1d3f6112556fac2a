"""Keep what a stand-in engine was ordered to be: its models and its role."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import errors


class OrderAction(enum.StrEnum):
    """Name what an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order an engine to change.

    Attributes:
        fence: Fencing number of the lease under which the order is given.
        action: What to do.
        model: For models: which.
        role: For the role: which.
    """

    fence: int
    action: OrderAction
    model: str = ""
    role: str = ""


class OrderBook:
    """Apply orders and, if fencing is checked, refuse outdated ones.

    Attributes:
        role: Role now.
        highest_fence: Highest fencing number seen.
        applied: Orders applied.
    """

    def __init__(self, *, models: tuple[str, ...], role: str, checks_fence: bool) -> None:
        """Start with the models and the role of the settings."""
        self._models = dict.fromkeys(models)
        self._checks_fence = checks_fence
        self.role = role
        self.highest_fence = 0
        self.applied = 0

    @property
    def models(self) -> tuple[str, ...]:
        """Return the models loaded now."""
        return tuple(self._models)

    def check(self, order: Order) -> None:
        """Note an order's fencing number; call it when the order comes and before it takes effect.

        Raises:
            errors.UpstreamError: The number is lower than one seen before.
        """
        if self._checks_fence and order.fence < self.highest_fence:
            raise errors.UpstreamError(
                f"Fencing number {order.fence} is lower than {self.highest_fence}.",
                remedy="Give no more orders under this lease; a newer holder has taken over.",
                code=errors.Code.STALE_FENCE,
            )
        self.highest_fence = max(self.highest_fence, order.fence)

    def apply(self, order: Order) -> None:
        """Let an order take effect.

        Raises:
            errors.UpstreamError: As ``check``.
        """
        self.check(order)
        match order.action:
            case OrderAction.LOAD_MODEL:
                self._models[order.model] = None
            case OrderAction.UNLOAD_MODEL:
                self._models.pop(order.model, None)
            case OrderAction.SET_ROLE:
                self.role = order.role
        self.applied += 1
