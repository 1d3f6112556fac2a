"""Predict how long a new request would wait, from the prefill queued before it. Pure.

It handles more long prompts than the engines can prefill. Callers whose answers would come too late
to be of use are refused immediately, while a retry is still useful.
"""

from __future__ import annotations

import math

from medlarfork.placement import admission_policy, drain_rate, wait_queue


class WaitForecast:
    """Divide the queued prefill by the measured drain rate."""

    def __init__(self, queue: wait_queue.WaitQueue) -> None:
        """Start without measurements; ``queue`` holds the queued requests."""
        self._queue = queue
        self._drain = drain_rate.DrainRate()
        self._queued_since = math.inf

    def record_queued(self, now: float) -> None:
        """Record that a request is about to be queued."""
        if not self._queue:
            self._queued_since = now

    def record_start(self, prefill_ms: float, now: float) -> None:
        """Count the prefill time of a request that starts, in milliseconds."""
        self._drain.record_start(prefill_ms, now)

    def wait_ms(
        self,
        waiting: wait_queue.WaitingRequest,
        *,
        unconstrained_engines: int,
        backlog_ms: float,
        now: float,
        usable_share: float = 1.0,
    ) -> float:
        """Return how long a new request would wait, in milliseconds.

        It waits for the requests queued before it, and then for the engine with the smallest
        backlog. If that makes it late, the entire queue goes before it, unless the shares of
        accounts order the requests of its kind: then only those that precede it by the shares.

        Args:
            waiting: The request.
            unconstrained_engines: Number of engines without streams that prefill makes late.
            backlog_ms: Smallest prefill backlog of an engine, in milliseconds.
            now: The time in seconds.
            usable_share: Share of the engines that may run it; below 1 if it needs a version.
        """
        drained_per_ms = self._drained_per_ms(unconstrained_engines, now)
        before_ms = self._queue.prefill_ms_before(waiting, now)
        if waiting.request.version is not None and usable_share > 0:
            same_ms = self._queue.prefill_ms_of_version(waiting.request.version)
            before_ms = max(before_ms, same_ms / usable_share)
        wait_ms = before_ms / drained_per_ms + backlog_ms
        if wait_ms <= admission_policy.HOPELESS_SHARE * waiting.request.target_ms:
            return wait_ms
        if not self._queue.is_fair(waiting.kind, waiting.request.account):
            before_ms = max(before_ms, self._queue.prefill_ms)
        return admission_policy.OVERTAKEN_FACTOR * before_ms / drained_per_ms + backlog_ms

    def _drained_per_ms(self, unconstrained_engines: int, now: float) -> float:
        """Return how much queued prefill starts per millisecond, in milliseconds.

        Once the queue has existed for the length of the window, this is the measured rate: slots
        and other streams may hold it far below what the engines could prefill. Before that, it is
        what engines without tight streams can prefill.
        """
        if self._queue and now - self._queued_since >= drain_rate.WINDOW_S:
            return self._drain.per_ms(now)
        return admission_policy.PREFILL_SHARE * max(unconstrained_engines, 1)
