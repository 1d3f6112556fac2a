"""The state that the classes of a pool share."""

from __future__ import annotations

import random

from medlarfork.pool import (
    _account_limiter,
    _crash_guard,
    _failover,
    _floor,
    _preemption,
    _queue_set,
    _reserve,
    _running_set,
    _timers,
    _upstream_set,
    _wait_forecast,
    pool_options,
)


class PoolState:
    """Hold the components of one pool; each maintains its own invariants."""

    def __init__(self, options: pool_options.PoolOptions, generator: random.Random) -> None:
        """Create empty components."""
        self.queues = _queue_set.QueueSet(late_last=options.late_last)
        self.running = _running_set.RunningSet()
        self.upstreams = _upstream_set.UpstreamSet(options)
        self.accounts = _account_limiter.AccountLimiter()
        self.floor = _floor.Floor()
        self.reserve = _reserve.Reserve(options.withhold_deviations, options.withhold_max_share)
        self.forecast = _wait_forecast.WaitForecast(options, generator)
        self.preemption = _preemption.Preemption(options)
        self.failover = _failover.Failover(options)
        self.timers = _timers.Timers()
        self.crash_guard = _crash_guard.CrashGuard()
