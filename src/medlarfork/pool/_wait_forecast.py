"""Foresee how long a ticket will wait and run, from what the pool has measured."""

from __future__ import annotations

import math
import random

from medlarfork import ticket
from medlarfork.pool import _pool_ticket, _rate_meter, _service_time, pool_options

_HOPELESS = 0.5
"""Share of requests that are shorter than the time which a hopeless ticket still has."""
_USUAL = 0.25
"""Share of requests that are shorter than the time which an on-time ticket still has."""
_HIGH = 0.9
"""Share of requests that are shorter than the time left once a ticket has become urgent."""
_UNKNOWN = (0.0, 0.0, 0.0)
"""Usual, median and long service time while too little is known."""
_FAST_S = 10.0
"""Window that notices a change of the drain rate, in seconds."""
_SLOW_S = 60.0
"""Window that outlives a lull, in seconds."""
_FREED_S = 2.0
"""Window of the rate at which slots are freed, in seconds."""
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 60.0
_JITTER = 0.2
"""Share by which retry times are spread, so that refused callers don't return together."""


class WaitForecast:
    """Measure service times and drain rates, and judge tickets by them."""

    def __init__(self, options: pool_options.PoolOptions, generator: random.Random) -> None:
        """Create an outlook that knows nothing."""
        self._options = options
        self._random = generator
        self._lengths = _service_time.ServiceTimeEstimate()
        self._drained = _rate_meter.RateMeter(_FAST_S)
        self._drained_by_tier: dict[int, tuple[_rate_meter.RateMeter, ...]] = {}
        self._freed = _rate_meter.RateMeter(_FREED_S)

    def released(self, item: ticket.Ticket, release: ticket.Release, now: float) -> None:
        """Count a freed slot and learn from a whole answer's time."""
        self._freed.add(now)
        if release.cause not in (ticket.ReleaseCause.FINISHED, ticket.ReleaseCause.TIMED_OUT):
            return
        rates = self._drained_by_tier.get(item.tier)
        if rates is None:
            rates = (_rate_meter.RateMeter(_FAST_S), _rate_meter.RateMeter(_SLOW_S))
            self._drained_by_tier[item.tier] = rates
        for rate in (self._drained, *rates):
            rate.add(now)
        if item.resume_offset == 0:
            self._lengths.add(item.class_name, item.account, release.whole_s)

    def drain_per_s(self, now: float) -> float:
        """Return how many tickets finish a second."""
        return self._drained.per_s(now)

    def freed_per_s(self, now: float) -> float:
        """Return how many slots are freed a second."""
        return self._freed.per_s(now)

    def slot_s(self, item: ticket.Ticket) -> float:
        """Return the mean time that such a ticket holds a slot; 1 while unknown."""
        mean = self._lengths.mean(item.class_name, item.account)
        return 1.0 if mean is None else mean

    def wait_s(self, tier: int, ahead: int, now: float) -> float:
        """Return how long ``ahead`` tickets of a tier take to start; 0 while unknown."""
        if not ahead:
            return 0.0
        rates = self._drained_by_tier.get(tier, ())
        per_s = max((rate.per_s(now) for rate in rates), default=0.0)
        return ahead / per_s if per_s > 0 else 0.0

    def retry_after_s(self, tier: int, queued: int, now: float) -> float:
        """Return when a refused ticket of a tier may find room."""
        wait_s = self.wait_s(tier, queued + 1, now)
        return self.spread_s(wait_s if wait_s > 0 else 1.0)

    def spread_s(self, wait_s: float) -> float:
        """Return a time to wait within bounds, spread over callers."""
        spread = 1.0 + _JITTER * self._random.random()
        return min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s) * spread)

    def set_times(self, entry: _pool_ticket.QueuedTicket) -> None:
        """Work out when a ticket must start to meet its target or deadline, and its place."""
        item = entry.ticket
        usual_s, median_s, high_s = self._service_s(item)
        entry.latest_start = entry.target_at - usual_s
        entry.urgent_at = entry.target_at - high_s
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

    def is_hopeless(self, entry: _pool_ticket.QueuedTicket, queued: int, now: float) -> bool:
        """Return whether an arriving ticket can't be answered in time."""
        wait_s = self.wait_s(entry.ticket.tier, queued, now) if self._options.shed_hopeless else 0
        return now + wait_s >= entry.hopeless_at

    def _service_s(self, item: ticket.Ticket) -> tuple[float, ...]:
        if item.resume_offset > 0 or math.isinf(item.time_left_s):
            return _UNKNOWN
        shares = (_USUAL, _HOPELESS, _HIGH)
        return self._lengths.quantiles(item.class_name, item.account, shares) or _UNKNOWN
