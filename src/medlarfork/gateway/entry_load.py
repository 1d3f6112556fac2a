"""Load of an entry host relative to its size, and which requests it refuses when overloaded.

The load it handles: callers use an answer of the directory for up to 6 s after the host has left
it, and hosts of 0.387 cores and 160 MB get bursts that are meant for larger ones. The number of
requests in progress is bounded by memory at any time. When processor, event loop or descriptors
have been overloaded for ``SUSTAINED_S``, the host refuses as many requests as it can't carry,
those of the lowest tiers first.

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.coordination import coordination_messages
from medlarfork.gateway import gateway_settings

REFERENCE_CORES = 1.0
"""Processor cores of the reference host, whose capacity is 1."""

REFERENCE_LINK_MBPS = 10.0
"""Link of the reference host, in megabits per second: about what a core of an entry host serves."""

FULL_LAG_S = 0.1
"""Mean lag of the event loop that counts as full utilisation, in seconds: an event of a stream
waits for the loop when it is received and when it is passed on, and the smallest allowed gap of
urgent streams is 200 ms."""

BASE_MB = 80.0
"""Memory that the process takes without requests, in megabytes: the interpreter with all modules,
routing, metrics, and buffers of links."""

REQUEST_BYTES = 160_000
"""Memory of one request in progress, in bytes, with a body of usual size, its buffers and tasks."""

CONNECTIONS_SHARE = 0.75
"""Share of the descriptors that connections of callers may take. Upstreams, links and files need
the others: without them, requests that are already admitted fail."""

CONNECTIONS_MEMORY_SHARE = 0.2
"""Share of the memory for requests that connections without a request may take."""

CONNECTION_BYTES = 12_000
"""Memory of a connection without a request, in bytes."""

MIN_REQUESTS_MB = 10.0
"""Least memory for requests, in megabytes, if the stated memory is too small."""

MIN_REQUESTS = 16
"""Requests in progress that are always allowed, if the stated memory is too small."""

TIER_RESERVE = 0.02
"""Share of the bound on requests in progress that each tier leaves to all higher ones."""

MAX_RESERVE = 0.1
"""Maximum of these reserves together: no request is refused before the host counts as overloaded
and is left out of directory answers. The smallest hosts have room for 500 requests, so the lowest
tier has room for the 400 that a starting host holds."""

AVERAGING_S = 1.0
"""Time constant of the averages of processor share and lag, in seconds: pauses of tenths of a
second don't count as an overload."""

MAX_SAMPLE = 2.0
"""Maximum of one sample, so that a single long pause is forgotten within two seconds."""

WARM_UP_S = 10.0
"""Time after the start in which processor and lag don't count, in seconds. After a restart of all
processes requests are late for two seconds, and the requests held meanwhile take several more."""

SUSTAINED_S = 4.0
"""Duration of an overload before requests are refused for it, in seconds. Within it callers that
keep an answer for 2 s have left, if other hosts have room: 2 s for the answer and up to 0.8 s for
the status. Bursts that are over sooner delay requests, but refuse none."""

TARGET = 0.8
"""Utilisation that refusing aims for: between the bounds of the overloaded state."""

MAX_CUT = 0.1
"""Maximum decrease of the admitted share per sample: the averages follow it with a delay."""

RECOVERY = 0.05
"""Increase of the admitted share per sample when utilisation is below the target."""

MIN_ADMITTED = 0.25
"""Minimum admitted share: part of the processor time is not caused by requests."""

COUNT_DECAY = 0.8
"""Factor per sample on the counts of arrivals by tier, which then cover about 2.5 s."""

LOWEST_TIER = 15
"""Tiers below it count as this one, which bounds the table of arrivals."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What was measured over an interval.

    Attributes:
        elapsed_s: Length of the interval, in seconds.
        processor_s: Processor time that the process used in it, in seconds.
        lag_s: Mean delay of the event loop in it, in seconds.
        descriptors: File descriptors open at its end.
        requests: Requests in progress at its end.
    """

    elapsed_s: float
    processor_s: float
    lag_s: float
    descriptors: int
    requests: int


def states_size(settings: gateway_settings.GatewaySettings) -> bool:
    """Return whether the settings state any size of the host."""
    sizes = (settings.cores, settings.memory_mb, settings.max_descriptors, settings.link_mbps)
    return any(size > 0 for size in sizes)


def max_connections(settings: gateway_settings.GatewaySettings, usual: int) -> int:
    """Return the bound on connections of callers: the usual one, or less on a small host."""
    bounds = [usual]
    if settings.max_descriptors > 0:
        bounds.append(int(CONNECTIONS_SHARE * settings.max_descriptors))
    if settings.memory_mb > 0:
        for_requests = max(settings.memory_mb - BASE_MB, MIN_REQUESTS_MB) * 1e6
        bounds.append(int(CONNECTIONS_MEMORY_SHARE * for_requests / CONNECTION_BYTES))
    return min(bounds)


class EntryLoad:
    """Utilisation of one entry host, and its admission of requests.

    Attributes:
        capacity: Capacity relative to the reference host; 0 if not stated.
        utilisation: Highest utilisation of its resources; 1 is full.
        cause: The resource with the highest utilisation.
        is_overloaded: Whether the host is overloaded.
    """

    def __init__(self, settings: gateway_settings.GatewaySettings, now: float) -> None:
        """Start with the sizes in the settings; one that is not stated has no effect."""
        self._cores = settings.cores
        self._max_descriptors = settings.max_descriptors
        self._max_requests = _max_requests(settings.memory_mb)
        self._started_at = now
        self._processor = 0.0
        self._lag = 0.0
        self._strained_since = math.inf
        self._is_strained = False
        self._admitted_share = 1.0
        self._arrivals_by_tier = [0.0] * (LOWEST_TIER + 1)
        self._credit_by_tier = [0.0] * (LOWEST_TIER + 1)
        self.capacity = _capacity(settings)
        self.utilisation = 0.0
        self.cause = ""
        self.is_overloaded = False

    def record(self, sample: Sample, now: float) -> bool:
        """Record a sample, and return whether the host's overloaded state changed."""
        self._average(sample, now)
        use_by_cause = {"processor": self._processor}
        if self._max_descriptors:
            use_by_cause["descriptors"] = sample.descriptors / self._max_descriptors
        # Refusing requests does not end a lag that other processes on the machine cause.
        self._adjust_admission(max(use_by_cause.values()), now)
        use_by_cause["lag"] = self._lag
        if self._max_requests:
            use_by_cause["requests"] = sample.requests / self._max_requests
        self.cause = max(use_by_cause, key=lambda cause: use_by_cause[cause])
        self.utilisation = use_by_cause[self.cause]
        before = self.is_overloaded
        self.is_overloaded = coordination_messages.is_overloaded(self.utilisation, before=before)
        return self.is_overloaded != before

    def must_check(self, requests: int) -> bool:
        """Return whether the next request needs ``refusal_cause``, which needs its tier."""
        is_near_bound = self._max_requests and requests > self._max_requests * (1.0 - MAX_RESERVE)
        return bool(is_near_bound) or self._is_strained or self._admitted_share < 1.0

    def is_full(self, tier: int, requests: int) -> bool:
        """Return whether the requests in progress leave no room for one of a tier among them."""
        reserve = min(TIER_RESERVE * min(max(tier, 0), LOWEST_TIER), MAX_RESERVE)
        return bool(self._max_requests) and requests > self._max_requests * (1.0 - reserve)

    def refusal_cause(self, tier: int, requests: int) -> str | None:
        """Return why a request is refused; None if it is admitted.

        Args:
            tier: Its tier; 0 is the highest.
            requests: Requests in progress, including this one.
        """
        tier = min(max(tier, 0), LOWEST_TIER)
        if self.is_full(tier, requests):
            return "requests"
        self._arrivals_by_tier[tier] += 1.0
        if self._admitted_share >= 1.0:
            return None
        self._credit_by_tier[tier] += self._refused_share(tier)
        if self._credit_by_tier[tier] < 1.0:
            return None
        self._credit_by_tier[tier] -= 1.0
        return "overload"

    def _average(self, sample: Sample, now: float) -> None:
        if now - self._started_at < WARM_UP_S:
            return
        weight = 1.0 - math.exp(-sample.elapsed_s / AVERAGING_S)
        if self._cores > 0 and sample.elapsed_s > 0:
            share = min(sample.processor_s / sample.elapsed_s / self._cores, MAX_SAMPLE)
            self._processor += weight * (share - self._processor)
        lag = min(sample.lag_s / FULL_LAG_S, MAX_SAMPLE)
        self._lag += weight * (lag - self._lag)

    def _adjust_admission(self, strain: float, now: float) -> None:
        """Adjust the share of requests that is admitted, once an overload has lasted."""
        was_strained = self._is_strained
        self._is_strained = coordination_messages.is_overloaded(strain, before=was_strained)
        if self._is_strained and not was_strained:
            self._strained_since = now
        if not self._is_strained and self._admitted_share >= 1.0:
            self._arrivals_by_tier = [0.0] * len(self._arrivals_by_tier)
            self._credit_by_tier = [0.0] * len(self._credit_by_tier)
            return
        self._arrivals_by_tier = [count * COUNT_DECAY for count in self._arrivals_by_tier]
        is_sustained = self._is_strained and now - self._strained_since >= SUSTAINED_S
        if strain > TARGET and is_sustained:
            factor = max(TARGET / strain, 1.0 - MAX_CUT)
            self._admitted_share = max(MIN_ADMITTED, self._admitted_share * factor)
        elif strain <= TARGET or not self._is_strained:
            self._admitted_share = min(1.0, self._admitted_share + RECOVERY)

    def _refused_share(self, tier: int) -> float:
        """Return the share of a tier's requests to refuse: all of a tier before any of a higher."""
        arrivals = self._arrivals_by_tier
        excess = (1.0 - self._admitted_share) * sum(arrivals) - sum(arrivals[tier + 1 :])
        return min(max(excess / arrivals[tier], 0.0), 1.0)


def _capacity(settings: gateway_settings.GatewaySettings) -> float:
    capacities = (
        settings.cores / REFERENCE_CORES,
        settings.link_mbps / REFERENCE_LINK_MBPS,
    )
    return min((capacity for capacity in capacities if capacity > 0), default=0.0)


def _max_requests(memory_mb: float) -> int:
    """Return the bound on requests in progress; 0 for none."""
    if memory_mb <= 0:
        return 0
    return max(int((memory_mb - BASE_MB) * 1e6 / REQUEST_BYTES), MIN_REQUESTS)
