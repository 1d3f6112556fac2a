"""Decide when the upstreams of one shard may get a request, by their backpressure. Pure.

It handles a shard in which every usable engine is at its rate limit or in backoff. Queued requests
use up the limits first; a new one that would start too late is refused immediately, with the time
at which an engine accepts it.
"""

from __future__ import annotations

from collections.abc import Iterable

from medlarfork.backpressure import send_gate
from medlarfork.placement import upstream_load, wait_queue


class ShardGate:
    """Apply the gate that the shards of one replica share; callers pass the time, in seconds.

    Attributes:
        share: Fraction of each rate limit that may be used here.
    """

    def __init__(self, gate: send_gate.SendGate, queue: wait_queue.WaitQueue) -> None:
        """Use a gate and the queue of the shard."""
        self._gate = gate
        self._queue = queue
        self.share = 1.0

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no upstream has sent any signal."""
        return self._gate.is_unrestricted

    def is_open(self, load: upstream_load.UpstreamLoad, entry_id: str, now: float) -> bool:
        """Return whether an upstream may get a request of an entry host now."""
        return self._gate.is_unrestricted or self._wait_s(load, entry_id, now) <= 0

    def is_closed_to_all(self, load: upstream_load.UpstreamLoad, now: float) -> bool:
        """Return whether an upstream gets nothing from any host, since it rejected a request."""
        return self._gate.is_closed_to_all(load.announcement.upstream_id, now)

    def record_send(self, load: upstream_load.UpstreamLoad, now: float) -> None:
        """Count a placed request against the limit."""
        self._gate.record_send(load.announcement.upstream_id, now, self.share)

    def closed_ms(
        self,
        waiting: wait_queue.WaitingRequest,
        allowed: Iterable[upstream_load.UpstreamLoad],
        now: float,
    ) -> float:
        """Return the time until one of some upstreams accepts a request, in milliseconds.

        It is 0 if one accepts it now. Queued requests that go before it use up the limits first.
        """
        waits_s: list[float] = []
        rate_limited_s: list[float] = []
        rates: list[float] = []
        for load in allowed:
            wait_s = self._wait_s(load, waiting.entry_id, now)
            if wait_s <= 0:
                return 0.0
            rate = self._gate.rate(load.announcement.upstream_id, self.share)
            if rate is None:
                waits_s.append(wait_s)
            else:
                rate_limited_s.append(wait_s)
                rates.append(rate)
        if rates:
            waits_s.append(min(rate_limited_s) + self._queue.count_before(waiting) / sum(rates))
        return min(waits_s, default=0.0) * 1000.0

    def _wait_s(self, load: upstream_load.UpstreamLoad, entry_id: str, now: float) -> float:
        return self._gate.wait_s(load.announcement.upstream_id, entry_id, now, self.share)
