"""Decide when the upstreams of one shard may get a request, by their signals: pure.

The load that this answers: all engines that a request may use are at their rate limits or want a
pause. Those that wait use up the limits first; who comes after them and would begin too late is
told so at once, with the time at which an engine takes it.
"""

from __future__ import annotations

from collections.abc import Iterable

from medlarfork.backpressure import send_gate
from medlarfork.placement import upstream_load, wait_queue


class ShardGate:
    """Ask a gate that shards of one replica share; the time is handed in, in seconds.

    Attributes:
        share: The part of each limit that may be used here.
    """

    def __init__(self, gate: send_gate.SendGate, queue: wait_queue.WaitQueue) -> None:
        """Use a gate, and the requests that wait."""
        self._gate = gate
        self._queue = queue
        self.share = 1.0

    @property
    def is_unrestricted(self) -> bool:
        """Return whether no upstream asks for anything."""
        return self._gate.is_unrestricted

    def is_open(self, load: upstream_load.UpstreamLoad, entry_id: str, now: float) -> bool:
        """Return whether an upstream may get a request of an entry host now."""
        return self._gate.is_unrestricted or self._wait_s(load, entry_id, now) <= 0

    def record_send(self, load: upstream_load.UpstreamLoad, now: float) -> None:
        """Count a request that is placed."""
        self._gate.record_send(load.announcement.upstream_id, now, self.share)

    def closed_ms(
        self,
        waiting: wait_queue.WaitingRequest,
        allowed: Iterable[upstream_load.UpstreamLoad],
        now: float,
    ) -> float:
        """Return how long none of some upstreams takes a request, in milliseconds; 0 if one does.

        Those that wait and go before it use up the limits first.
        """
        paused_s: list[float] = []
        limited_s: list[float] = []
        rates: list[float] = []
        for load in allowed:
            wait_s = self._wait_s(load, waiting.entry_id, now)
            if wait_s <= 0:
                return 0.0
            rate = self._gate.rate(load.announcement.upstream_id, self.share)
            if rate is None:
                paused_s.append(wait_s)
            else:
                limited_s.append(wait_s)
                rates.append(rate)
        if rates:
            paused_s.append(min(limited_s) + self._queue.count_before(waiting) / sum(rates))
        return min(paused_s, default=0.0) * 1000.0

    def _wait_s(self, load: upstream_load.UpstreamLoad, entry_id: str, now: float) -> float:
        return self._gate.wait_s(load.announcement.upstream_id, entry_id, now, self.share)
