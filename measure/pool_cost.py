"""Measure what a decision and a queued ticket cost as the queue grows.

Run as ``python -m measure.pool_cost [--quick] [--output=json]``.
"""

from __future__ import annotations

import dataclasses
import math
import random
import statistics
import sys
import time
import tracemalloc

import msgspec
from absl import flags

from medlarfork import ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_events

_FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Leave out the longest queue.", flag_values=_FLAGS)
flags.DEFINE_enum("output", "table", ["table", "json"], "What to print.", flag_values=_FLAGS)

_POOL = "lm/0"
_LENGTHS = (100, 1_000, 10_000, 100_000)
_ROUNDS = 2_000
"""Steady-state rounds timed at each length: one release, one grant, one new ticket."""
_BATCHES = 5
_UPSTREAMS = 6
_SLOTS = 8
_ACCOUNTS = 20
_CLASSES = tuple(
    configuration.RequestClass(f"tier-{tier}", tier, preemptible=tier > 2) for tier in range(1, 5)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold the cost at one queue length.

    Attributes:
        event_us: Median time of one event with its decisions, in microseconds.
        events_per_s: Events a second at that time.
        bytes_per_ticket: Memory that one queued ticket adds, its own message included.
    """

    queued: int
    event_us: float
    least_us: float
    most_us: float
    events_per_s: float
    bytes_per_ticket: float


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCost:
    """Hold the costs at all lengths and how they grow.

    Attributes:
        exponent: Slope of time against queue length, both as logarithms; 0 is constant.
        log_ratio: Growth of the time from the shortest to the longest queue, divided by the
            growth of the length's logarithm; at most 1 if time grows no faster than log n.
    """

    costs: tuple[Cost, ...]
    exponent: float
    log_ratio: float


class _Load:
    """Feed one pool with tickets of all tiers, with a fixed queue length."""

    def __init__(self, queued: int) -> None:
        options = pool.PoolOptions(max_queued=2 * queued + 1000)
        self._random = random.Random(queued)
        self._pool = pool.Pool(name=_POOL, entry_id="o", random=self._random, options=options)
        self._now = 0.0
        self._count = 0
        self._running: list[str] = []
        accounts = tuple(configuration.Account(f"account-{n}") for n in range(_ACCOUNTS))
        service = configuration.Service("lm", configuration.ServiceKind.MODEL, "")
        self.send(pool_events.PolicyChanged(_CLASSES, accounts, service))
        for number in range(_UPSTREAMS):
            self.send(pool_events.UpstreamUp(_announcement(number)))

    def send(self, event: object) -> None:
        """Hand over an event and note the grants."""
        for action in self._pool.handle(event, self._now):
            if isinstance(action, ticket.Grant):
                self._running.append(action.ticket_id)

    def ask(self) -> None:
        """Send a new ticket."""
        self._count += 1
        self._now += 0.001
        tier = self._random.randint(1, 4)
        self.send(
            ticket.Ticket(
                ticket_id=f"request-{self._count}/1",
                entry_id="entry-1",
                pool=_POOL,
                account=f"account-{self._random.randrange(_ACCOUNTS)}",
                class_name=f"tier-{tier}",
                tier=tier,
                waited_s=0.0,
                time_left_s=1e6,
                target_left_s=1e5 * self._random.random() + 1e4,
                preemptible=tier > 2,
            )
        )

    def release(self) -> None:
        """Release one running ticket."""
        place = self._random.randrange(len(self._running))
        ticket_id = self._running.pop(place)
        cause = ticket.ReleaseCause.FINISHED
        self.send(ticket.Release(ticket_id, _POOL, cause, 0.1, 1.0, 50))


def measure(*, quick: bool) -> PoolCost:
    """Measure every length."""
    lengths = _LENGTHS[:-1] if quick else _LENGTHS
    costs = tuple(_cost(length) for length in lengths)
    first, last = costs[0], costs[-1]
    growth = last.event_us / first.event_us
    log_growth = math.log(last.queued) / math.log(first.queued)
    exponent = math.log(growth) / math.log(last.queued / first.queued)
    return PoolCost(costs, exponent, growth / log_growth)


def table(result: PoolCost) -> str:
    """Return the result as text."""
    lines = [
        f"{cost.queued:>7} queued: {cost.event_us:6.1f} us an event "
        f"({cost.least_us:.1f} to {cost.most_us:.1f}), {cost.events_per_s:8.0f} events/s, "
        f"{cost.bytes_per_ticket:6.0f} bytes a ticket"
        for cost in result.costs
    ]
    lines.append(f"exponent {result.exponent:.3f}; growth relative to log n {result.log_ratio:.2f}")
    return "\n".join(lines)


def main(arguments: list[str]) -> int:
    """Print the result."""
    _FLAGS(arguments)
    result = measure(quick=_FLAGS.quick)
    if _FLAGS.output == "json":
        print(msgspec.json.format(msgspec.json.encode(result)).decode())
    else:
        print(table(result))
    return 0


def _cost(queued: int) -> Cost:
    bytes_per_ticket = _memory(queued)
    load = _Load(queued)
    for _ in range(queued + _UPSTREAMS * _SLOTS):
        load.ask()
    times = [_batch_us(load) for _ in range(_BATCHES)]
    median = statistics.median(times)
    return Cost(queued, median, min(times), max(times), 1e6 / median, bytes_per_ticket)


def _batch_us(load: _Load) -> float:
    begun = time.perf_counter()
    for _ in range(_ROUNDS):
        load.release()
        load.ask()
    return (time.perf_counter() - begun) / (2 * _ROUNDS) * 1e6


def _memory(queued: int) -> float:
    load = _Load(queued)
    for _ in range(_UPSTREAMS * _SLOTS):
        load.ask()
    tracemalloc.start()
    for _ in range(queued):
        load.ask()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / queued


def _announcement(number: int) -> upstream.Announcement:
    ready = upstream.UpstreamState.READY
    return upstream.Announcement(f"engine-{number}", 1, 1, ready, "http://x", slots=_SLOTS)


if __name__ == "__main__":
    sys.exit(main(sys.argv))
