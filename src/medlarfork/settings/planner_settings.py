"""Settings of the order planner."""

from __future__ import annotations

import dataclasses

from medlarfork.orders import weight_load_scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the order planner; all times in seconds.

    Attributes:
        store: The weight store's limits.
        max_order_s: Maximum time from sending an order until it can't be executed any more.
        answer_timeout_s: Timeout for an order's answer; less than ``max_order_s``.
        read_timeout_s: Timeout for reading an engine's state.
        poll_s: Interval between reads of an engine's state while an order is unfinished, and
            initial backoff before an order that had no effect is repeated.
        retry_s: Time after which an unanswered order-board command is proposed again.
        drain_s: Maximum time to wait for an engine out of service to finish its requests.
        reads_per_second: Rate at which the state of all engines is read after a change of the lease
            holder or of a declaration.
        drift: Maximum deviation of a clock's rate from true time, as a fraction.
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
        """Return the time on a drifting clock after which ``max_order_s`` has surely elapsed."""
        return self.max_order_s * (1 + self.drift)
