"""Foresee how long a request that comes now would wait, by the reading ahead of it: pure.

The load that this answers: more long prompts than the engines can read. Callers that would be
answered too late to be of use are told so at once, while coming back later is still of use.
"""

from __future__ import annotations

import math

from medlarfork.placement import admission_policy, drain_rate, wait_queue


class WaitForecast:
    """Measure how fast those that wait are started, and divide what waits by it."""

    def __init__(self, queue: wait_queue.WaitQueue) -> None:
        """Start with nothing measured; ``queue`` holds the requests that wait."""
        self._queue = queue
        self._drain = drain_rate.DrainRate()
        self._waits_since = math.inf

    def record_queue_start(self, now: float) -> None:
        """Note that a request waits where none did."""
        self._waits_since = now

    def record_start(self, prefill_ms: float, now: float) -> None:
        """Count the reading of a request that starts, in milliseconds."""
        self._drain.record_start(prefill_ms, now)

    def wait_ms(
        self,
        waiting: wait_queue.WaitingRequest,
        *,
        unconstrained_engines: int,
        backlog_ms: float,
        now: float,
    ) -> float:
        """Return how long a request that comes now would wait, in milliseconds.

        That is what waits and goes before it, and then the engine that has least to read. If that
        makes it late, all that waits goes before it.

        Args:
            waiting: The request.
            unconstrained_engines: Engines without streams that reading makes late.
            backlog_ms: The least reading ahead at an engine.
            now: The time in seconds.
        """
        drained = self._drained_per_ms(unconstrained_engines, now)
        before_ms = self._queue.prefill_ms_before(waiting, now)
        wait_ms = before_ms / drained + backlog_ms
        if wait_ms <= admission_policy.HOPELESS_SHARE * waiting.request.target_ms:
            return wait_ms
        return admission_policy.OVERTAKEN_FACTOR * self._queue.prefill_ms / drained + backlog_ms

    def _drained_per_ms(self, unconstrained_engines: int, now: float) -> float:
        """Return how much reading of those that wait starts in a millisecond.

        Once some have waited for as long as is measured, it is what was seen: slots and the
        streams of others may hold it far below what the engines could read. Before, it is what
        engines without tight streams can read.
        """
        if self._queue and now - self._waits_since >= drain_rate.WINDOW_S:
            return self._drain.per_ms(now)
        return admission_policy.PREFILL_SHARE * max(unconstrained_engines, 1)
