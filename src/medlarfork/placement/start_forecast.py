"""Predict which queued requests of a plain service can't start in time. Pure: no I/O, no clock.

It handles a burst at a plain service, whose requests have no prompt that would tell how long they
take. A request far back in the queue was held until its caller was about to leave, and was refused
only then, with no time left for a retry. The number of requests that start before it, and the rate
at which runs end, show this seconds earlier.

A refusal is wrong if the service becomes faster meanwhile. The forecast therefore assumes the most
favourable rate, and requests that will be gone before their turn do not count.
"""

from __future__ import annotations

import math

from medlarfork.placement import start_rate, wait_queue

RATE_MARGIN = 2.0
"""Factor on the rate of starts: a service that becomes twice as fast within a burst would still
have refused nobody in vain."""

COUNT_PERIOD_S = 0.1
"""Shortest interval between two counts of the queue, in seconds: a small part of any wait that is
refused early. Counting the requests in each pass costs a third of the processor time of a pass."""

MAX_AGE_S = 0.3
"""Age from which a count is not used for new requests, in seconds: a few periods."""


class StartForecast:
    """Count the requests that start before each queued one; callers pass the time.

    Attributes:
        is_plain: Whether the service has no engines that prefill prompts.
        slots: Slots of all upstreams of the shard that may be used.
    """

    def __init__(self, rate: start_rate.StartRate, queue: wait_queue.WaitQueue) -> None:
        """Start without a prediction.

        Args:
            rate: The measured rate of the shard.
            queue: The queued requests.
        """
        self.is_plain = True
        self.slots = 0
        self._rate = rate
        self._queue = queue
        self._counted_at = -math.inf
        self._is_counting = False
        self._max_per_s: float | None = None
        self._min_run_s = 0.0
        self._starts = 0
        self._starts_by_kind: dict[tuple[int, float], int] = {}

    def begin_pass(self, now: float) -> bool:
        """Begin a pass over the queue, in its order.

        Returns:
            Whether the queue is counted in this pass, which then has to read it entirely.
        """
        self._is_counting = False
        if now < self._counted_at + COUNT_PERIOD_S:
            return False
        self._counted_at = now
        self._starts = 0
        self._starts_by_kind.clear()
        self._max_per_s = self._favourable_per_s()
        self._min_run_s = self._rate.shortest_run_s
        self._is_counting = self._max_per_s is not None
        return self._is_counting

    def is_hopeless(self, waiting: wait_queue.WaitingRequest) -> bool:
        """Return whether the next queued request of a pass, which can't start now, never will."""
        if not self._is_counting:
            return False
        if not self._may_start(waiting, self._starts):
            return bool(waiting.request.account) and not waiting.request.parts
        self._starts += 1
        self._starts_by_kind[waiting.kind] = self._starts
        return False

    def is_hopeless_at_end(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether a new request would never start if it were queued."""
        if not self._may_predict(waiting, now) or waiting.is_returning:
            return False
        # The last place of its kind is known; the fair order of accounts takes longer to compute.
        if self._may_start(waiting, self._starts_up_to(waiting)):
            return False
        return not self._may_start(waiting, self._starts_before(waiting, now))

    def can_not_end(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether a new request would not end in time even if it started now."""
        return self._may_predict(waiting, now) and now + self._min_run_s > waiting.deadline

    def _may_predict(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether the last count applies to a new request."""
        if self._max_per_s is None or now - self._counted_at > MAX_AGE_S:
            return False
        return bool(waiting.request.account) and not waiting.request.parts

    def wait_ms(self, waiting: wait_queue.WaitingRequest, now: float) -> float:
        """Return how long a new request would wait at the measured rate, in milliseconds."""
        per_s = self._rate.total_per_s
        return self._starts_before(waiting, now) / per_s * 1000.0 if per_s else 0.0

    def _starts_up_to(self, waiting: wait_queue.WaitingRequest) -> int:
        """Return how many requests of the last count start before the last one of a kind."""
        kinds = self._starts_by_kind.items()
        return max((starts for kind, starts in kinds if kind <= waiting.kind), default=0)

    def _starts_before(self, waiting: wait_queue.WaitingRequest, now: float) -> int:
        """Return how many requests start before a new one, by its place in its kind."""
        kinds = self._starts_by_kind.items()
        more_urgent = max((starts for kind, starts in kinds if kind < waiting.kind), default=0)
        in_kind = self._queue.count_before_in_kind(waiting, now)
        return min(self._starts_up_to(waiting), more_urgent + in_kind)

    def _may_start(self, waiting: wait_queue.WaitingRequest, starts_before: int) -> bool:
        """Return whether a request starts in time to end before its caller leaves."""
        assert self._max_per_s is not None
        latest_start = min(waiting.answer_by, waiting.deadline - self._min_run_s)
        return self._counted_at + starts_before / self._max_per_s <= latest_start

    def _favourable_per_s(self) -> float | None:
        """Return the highest rate of starts to expect, in requests per second; None if unknown.

        The measured rate is too low while some upstreams are in failure backoff or rate-limited, so
        it counts only if it is above the rate of slots that are always in use.
        """
        run_s = self._rate.run_s
        if not self.is_plain or not self._rate.is_measured or run_s is None:
            return None
        return RATE_MARGIN * max(self._rate.total_per_s, self.slots / run_s)
