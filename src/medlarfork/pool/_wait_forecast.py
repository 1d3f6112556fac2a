"""Forecast of queue waits and service times, from the pool's recent releases."""

from __future__ import annotations

import math
import random

from medlarfork import ticket
from medlarfork.pool import _pool_ticket, _rate_meter, _service_time, pool_options

_HOPELESS_QUANTILE = 0.5
"""Quantile of the service time that must fit before the deadline, else a ticket is hopeless."""
_LATEST_START_QUANTILE = 0.25
"""Quantile of the service time that must fit before the target, else a ticket is late."""
_URGENT_QUANTILE = 0.9
"""Quantile of the service time; a ticket whose target is no further away than this is urgent."""
_NO_ESTIMATE = (0.0, 0.0, 0.0)
"""Short, median and long service time while there is no estimate."""
_FAST_WINDOW_S = 10.0
"""Window of the drain rate that reacts to changes, in seconds."""
_SLOW_WINDOW_S = 60.0
"""Window of the drain rate that bridges short idle periods, in seconds."""
_FREED_WINDOW_S = 2.0
"""Window of the rate at which slots are freed, in seconds."""
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 60.0
_JITTER = 0.2
"""Largest fraction added to retry times at random, so that refused callers don't retry together."""


class WaitForecast:
    """Measure service times and drain rates, and derive each ticket's start times from them."""

    def __init__(self, options: pool_options.PoolOptions, generator: random.Random) -> None:
        """Start without measurements."""
        self._options = options
        self._random = generator
        self._service_times = _service_time.ServiceTimeEstimate()
        self._drain_rate = _rate_meter.RateMeter(_FAST_WINDOW_S)
        self._drain_rates_by_tier: dict[int, tuple[_rate_meter.RateMeter, ...]] = {}
        self._freed_rate = _rate_meter.RateMeter(_FREED_WINDOW_S)

    def record_release(self, item: ticket.Ticket, release: ticket.Release, now: float) -> None:
        """Count a freed slot, and record the service time if the run finished or timed out."""
        self._freed_rate.add(now)
        if release.cause not in (ticket.ReleaseCause.FINISHED, ticket.ReleaseCause.TIMED_OUT):
            return
        rates = self._drain_rates_by_tier.get(item.tier)
        if rates is None:
            rates = (_rate_meter.RateMeter(_FAST_WINDOW_S), _rate_meter.RateMeter(_SLOW_WINDOW_S))
            self._drain_rates_by_tier[item.tier] = rates
        for rate in (self._drain_rate, *rates):
            rate.add(now)
        if item.resume_offset == 0:
            self._service_times.add(item.class_name, item.account, release.whole_s)

    def drain_per_s(self, now: float) -> float:
        """Return how many tickets finish a second."""
        return self._drain_rate.per_s(now)

    def freed_per_s(self, now: float) -> float:
        """Return how many slots are freed a second."""
        return self._freed_rate.per_s(now)

    def mean_slot_s(self, item: ticket.Ticket) -> float:
        """Return the mean time in seconds that such a ticket holds a slot; 1 if unknown."""
        mean = self._service_times.mean(item.class_name, item.account)
        return 1.0 if mean is None else mean

    def wait_s(self, tier: int, ahead: int, now: float) -> float:
        """Return how many seconds ``ahead`` tickets of a tier take to start; 0 if unknown."""
        if not ahead:
            return 0.0
        rates = self._drain_rates_by_tier.get(tier, ())
        per_s = max((rate.per_s(now) for rate in rates), default=0.0)
        return ahead / per_s if per_s > 0 else 0.0

    def retry_after_s(self, tier: int, queued: int, now: float) -> float:
        """Return after how many seconds a refused ticket of a tier should be retried."""
        wait_s = self.wait_s(tier, queued + 1, now)
        return self.jittered_s(wait_s if wait_s > 0 else 1.0)

    def jittered_s(self, wait_s: float) -> float:
        """Return a retry time with random jitter, within the minimum and maximum."""
        factor = 1.0 + _JITTER * self._random.random()
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s) * factor)

    def set_start_times(self, entry: _pool_ticket.QueuedTicket) -> None:
        """Set when a ticket must start to meet its target or deadline, and its sort key."""
        item = entry.ticket
        short_s, median_s, long_s = self._service_s(item)
        entry.latest_start = entry.target_at - short_s
        entry.urgent_at = entry.target_at - long_s
        entry.hopeless_at = entry.expires_at
        if self._options.shed_hopeless:
            entry.hopeless_at -= median_s
        match self._options.order:
            case pool_options.TicketOrder.ARRIVAL:
                entry.order_key = entry.arrived
            case pool_options.TicketOrder.TARGET:
                entry.order_key = min(entry.target_at, entry.expires_at)
            case pool_options.TicketOrder.LAXITY:
                entry.order_key = min(entry.latest_start, entry.expires_at)

    def is_hopeless(self, entry: _pool_ticket.QueuedTicket, ahead: int, now: float) -> bool:
        """Return whether an arriving ticket can't finish before its deadline.

        ``ahead`` is the number of queued tickets that start before it.
        """
        wait_s = self.wait_s(entry.ticket.tier, ahead, now) if self._options.shed_hopeless else 0
        return now + wait_s >= entry.hopeless_at

    def _service_s(self, item: ticket.Ticket) -> tuple[float, ...]:
        if item.resume_offset > 0 or math.isinf(item.time_left_s):
            return _NO_ESTIMATE
        quantiles = (_LATEST_START_QUANTILE, _HOPELESS_QUANTILE, _URGENT_QUANTILE)
        return (
            self._service_times.quantiles(item.class_name, item.account, quantiles) or _NO_ESTIMATE
        )
