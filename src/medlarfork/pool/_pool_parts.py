"""Build the parts that the classes of a pool share."""

from __future__ import annotations

import random

from medlarfork.pool import (
    _account_share,
    _crash_guard,
    _floor,
    _outlook,
    _preemption,
    _queue_set,
    _reserve,
    _running_set,
    _stall,
    _timers,
    _upstream_set,
    pool_options,
)


class PoolParts:
    """Hold the state of one pool; each part keeps its own invariants."""

    def __init__(self, options: pool_options.PoolOptions, generator: random.Random) -> None:
        """Create empty parts."""
        self.queues = _queue_set.QueueSet(late_last=options.late_last)
        self.running = _running_set.RunningSet()
        self.upstreams = _upstream_set.UpstreamSet(options)
        self.accounts = _account_share.AccountShare()
        self.floor = _floor.Floor()
        self.reserve = _reserve.Reserve(options.withhold_deviations, options.withhold_max_share)
        self.outlook = _outlook.Outlook(options, generator)
        self.preemption = _preemption.Preemption(options)
        self.stall = _stall.Stall(options)
        self.timers = _timers.Timers()
        self.crashes = _crash_guard.CrashGuard()
