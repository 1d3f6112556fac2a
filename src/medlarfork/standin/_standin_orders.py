"""Weights and role of a stand-in engine, as set by orders."""

from __future__ import annotations

import collections

from medlarfork import errors
from medlarfork.orders import order_protocol, order_types

_MAX_ORDERS = 1_000
"""Maximum number of orders whose ids and counts are kept."""


class EngineOrders:
    """Executes orders; with fencing checks, it refuses outdated orders and repeats none.

    Without fencing checks, it represents an engine that keeps no record of its orders.

    Attributes:
        role: Current role.
        highest_fence: Highest fencing number seen.
        executing: Id of the order that was started last, until it ends; empty if none.
        executions: Number of executions by order id.
    """

    def __init__(self, *, models: tuple[str, ...], role: str, checks_fence: bool) -> None:
        """Start with the models and the role of the settings."""
        self._version_by_name = dict.fromkeys(models, "")
        self._checks_fence = checks_fence
        self.role = role
        self.highest_fence = 0
        self.executing = ""
        self.executions: collections.OrderedDict[str, int] = collections.OrderedDict()

    @property
    def order_ids(self) -> tuple[str, ...]:
        """Return the recorded ids of accepted orders, oldest first."""
        return tuple(self.executions) if self._checks_fence else ()

    @property
    def models(self) -> tuple[str, ...]:
        """Return the names of the loaded models and adapters."""
        return tuple(self._version_by_name)

    @property
    def weights(self) -> tuple[order_types.LoadedWeights, ...]:
        """Return the loaded weights with their versions."""
        loaded = self._version_by_name.items()
        return tuple(order_types.LoadedWeights(name, version) for name, version in loaded)

    def start(self, order: order_protocol.EngineOrder) -> bool:
        """Start an order; return False for a duplicate, which is not executed again.

        Raises:
            errors.UpstreamError: Its fence is lower than one seen before.
        """
        self._check(order)
        if order.order_id in self.order_ids:
            return False
        self.executing = order.order_id
        self.executions[order.order_id] = self.executions.get(order.order_id, 0) + 1
        if len(self.executions) > _MAX_ORDERS:
            self.executions.popitem(last=False)
        return True

    def finish(self, order: order_protocol.EngineOrder) -> None:
        """Apply the effect of an order.

        Raises:
            errors.UpstreamError: A newer lease holder has sent an order since it was started.
        """
        if self.executing == order.order_id:
            self.executing = ""
        self._check(order)
        if isinstance(order, order_protocol.ChangeRole):
            self.role = order.role
        else:
            self._version_by_name[order.name] = order.version

    def _check(self, order: order_protocol.EngineOrder) -> None:
        if self._checks_fence and order.fence < self.highest_fence:
            raise errors.UpstreamError(
                f"Fencing number {order.fence} is lower than {self.highest_fence}.",
                remedy="Send no more orders under this lease; a newer holder has taken over.",
                code=errors.Code.STALE_FENCE,
            )
        self.highest_fence = max(self.highest_fence, order.fence)
