"""Configure the order planner."""

from __future__ import annotations

import dataclasses

from medlarfork.orders import weight_load_scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Configure the planner; all times in seconds.

    Attributes:
        store: The weight store's limits.
        max_order_s: Longest time from sending an order until it can't be carried out any more.
        answer_timeout_s: How long to wait for an order's answer; under ``max_order_s``.
        read_timeout_s: How long to wait for an engine's state.
        poll_s: Time between reads while something is open, and before a fruitless repeat.
        retry_s: Time after which an unanswered board command is proposed again.
        drain_s: Longest wait for an engine out of service to finish its requests.
        reads_per_second: Rate at which all engines are read after a change of holder or
            declaration.
        drift: Largest difference of a clock's rate from true time, as a share.
    """

    store: weight_load_scheduler.WeightStoreSettings
    max_order_s: float = 600.0
    answer_timeout_s: float = 540.0
    read_timeout_s: float = 5.0
    poll_s: float = 2.0
    retry_s: float = 1.0
    drain_s: float = 120.0
    reads_per_second: float = 200.0
    drift: float = 0.01

    @property
    def order_expiry_s(self) -> float:
        """Return what a clock must measure for ``max_order_s`` to have passed for sure."""
        return self.max_order_s * (1 + self.drift)
