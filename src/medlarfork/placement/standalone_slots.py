"""Divide the slots of each upstream among entry hosts that place without an owner. Pure.

It handles up to 400 entry hosts that see the same upstreams but not each other's runs. If each of
them placed by its own runs alone, they would send several times what the slots hold. So a host uses
its expected share of the slots, and more only where a recent report shows free slots.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math
import re
from collections.abc import Collection, Container
from typing import Any

from medlarfork import rendezvous
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, reported_load

STEPS = (0.6180339887498949, 0.41421356237309515, 0.7320508075688772, 0.23606797749978969)
"""Distances on the unit circle between names that differ by 1 in their last number, in the one
before it, and so on: fractions of the golden ratio and of the roots of 2, 3 and 5. Their multiples
are spread evenly for any number of names, so the rounded shares of an upstream add up to its slots.
With independent random positions, the standard deviation of the sum is 3.1 of 12 slots at 62
hosts."""

MAX_DIGITS = 9
"""Last digits of a number in a name that count: products of longer ones lose their fraction."""

REPORT_LIFETIME_S = 1.0
"""Age at which a report of load no longer counts, in seconds: calls take about as long."""

FREE_SHARE = 0.5
"""Part of the reported free slots that all hosts together use beyond their shares. Several hosts
read the same report, and each may have started requests since."""

RATE_WINDOW_S = 4.0
"""Window over which ended runs are counted, in seconds: several runs of a usual call, and within
the time for which callers wait."""

MAX_COUNTED_ENDS = 2000
"""Maximum number of ended runs that are counted for a service: hundreds a second in the window."""

MIN_RATE_ENDS = 4
"""Ended runs in the window below which they show no rate."""

MIN_RATE_SPAN_S = 0.25
"""Shortest time over which ended runs are counted, in seconds: runs that started together also end
together."""

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the mean time of runs: some tens of runs determine it."""

MIN_RUN_S = 0.1
"""Time that a run is assumed to take at least, in seconds: the latency of an answer over two links.
Runs that were never measured count with it."""

MAX_CLASSES = 1000
"""Maximum number of request classes or services whose times are kept; a routing has some tens."""

_NUMBER = re.compile(r"[0-9]+")


_RequestClass = tuple[str, int, float]
"""Service, tier and target: requests with about the same run times."""


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What one host may use of one upstream.

    Attributes:
        share: Its expected part of the slots, not rounded.
        slots: Its concurrent runs at most.
        report_age_s: Age of the report that counted, in seconds; None if none did.
    """

    share: float
    slots: int
    report_age_s: float | None = None


@dataclasses.dataclass(slots=True)
class _Report:
    """The last reported load of an upstream; the time in seconds."""

    load: reported_load.ReportedLoad
    reported_at: float
    started_since: int = 0


class StandaloneSlots:
    """The own runs of one entry host, and what it may use of each upstream.

    No clock: times are arguments, in seconds.

    Attributes:
        runs_by_upstream: Number of this host's own runs, whoever placed them.
    """

    def __init__(self, entry_id: str) -> None:
        """Start without runs and reports.

        Args:
            entry_id: This entry host; its position among the others follows from it.
        """
        self._entry_id = entry_id
        self._entry_position = _position(entry_id)
        self._position_by_name: dict[str, float] = {}
        self._report_by_upstream: dict[str, _Report] = {}
        self._tokens_by_upstream: collections.Counter[str] = collections.Counter()
        self._memory_by_service: dict[str, int] = {}
        self.runs_by_upstream: dict[str, int] = {}

    @property
    def reports(self) -> int:
        """Return how many upstreams have a report, recent or not."""
        return len(self._report_by_upstream)

    def use_engines(self, memory_by_service: dict[str, int]) -> None:
        """Use the declared memory of the services' engines, in tokens."""
        self._memory_by_service = memory_by_service

    def record_load(self, upstream_id: str, load: reported_load.ReportedLoad, now: float) -> None:
        """Record a report of an upstream in view; it replaces the previous one."""
        self._report_by_upstream[upstream_id] = _Report(load, now)

    def record_start(self, upstream_id: str, request: placement_messages.PlaceRequest) -> None:
        """Count a run of this host that starts, which the last report can't include."""
        self.runs_by_upstream[upstream_id] = self.runs_by_upstream.get(upstream_id, 0) + 1
        self._tokens_by_upstream[upstream_id] += request.memory_tokens
        report = self._report_by_upstream.get(upstream_id)
        if report is not None:
            report.started_since += 1

    def record_end(self, upstream_id: str, request: placement_messages.PlaceRequest) -> None:
        """Count the end of a run."""
        left = self.runs_by_upstream.get(upstream_id, 1) - 1
        self.runs_by_upstream[upstream_id] = left
        self._tokens_by_upstream[upstream_id] -= request.memory_tokens
        if left <= 0:
            del self.runs_by_upstream[upstream_id]
            del self._tokens_by_upstream[upstream_id]

    def own_tokens(self, upstream_id: str) -> int:
        """Return the tokens that this host's runs at an engine may fill."""
        return self._tokens_by_upstream.get(upstream_id, 0)

    def retain(self, upstreams: tuple[upstream_types.Announcement, ...]) -> None:
        """Forget the reports of all upstreams but these."""
        ids = {item.upstream_id for item in upstreams}
        names = {item.own_name for item in upstreams}
        for upstream_id in self._report_by_upstream.keys() - ids:
            del self._report_by_upstream[upstream_id]
        for name in self._position_by_name.keys() - names:
            del self._position_by_name[name]

    def usable(
        self,
        upstreams: tuple[upstream_types.Announcement, ...],
        open_ids: Container[str],
        entry_hosts: int,
        now: float,
    ) -> tuple[dict[str, int], bool]:
        """Return the limits of own runs where one may start, and whether only one may in total.

        A host without a slot at any upstream may use one slot at one of them, the first in its own
        order; otherwise its callers would never be served.

        Args:
            upstreams: The upstreams of one service.
            open_ids: Those that accept a request now.
            entry_hosts: Number of entry hosts, at least 1.
            now: The time in seconds.
        """
        runs = self.runs_by_upstream
        limit_by_id = {item.upstream_id: self._limit(item, entry_hosts, now) for item in upstreams}
        if any(limit_by_id.values()):
            usable = {
                key: limit
                for key, limit in limit_by_id.items()
                if limit > runs.get(key, 0) and key in open_ids
            }
            return usable, False
        return dict.fromkeys(self.single(limit_by_id, open_ids), 1), True

    def shared_ids(
        self, upstreams: tuple[upstream_types.Announcement, ...], entry_hosts: int, now: float
    ) -> set[str]:
        """Return the upstreams where this host may have runs."""
        return {item.upstream_id for item in upstreams if self._limit(item, entry_hosts, now) > 0}

    def single(self, ids: Collection[str], open_ids: Container[str]) -> tuple[str, ...]:
        """Return where one run may start, in this host's order; none if it has one at any of them.

        Args:
            ids: Upstreams where this host has no share.
            open_ids: Those that accept a request now.
        """
        if any(key in self.runs_by_upstream for key in ids):
            return ()
        return rendezvous.rank(self._entry_id, [key for key in ids if key in open_ids])

    def is_full(self, upstream: upstream_types.Announcement, now: float) -> bool:
        """Return whether a recent report shows no free slot."""
        report = self._recent_report(upstream.upstream_id, now)
        return report is not None and _free(upstream, report.load) <= 0

    def fits(
        self, upstream_id: str, request: placement_messages.PlaceRequest, entry_hosts: int
    ) -> bool:
        """Return whether a request fits into this host's share of an engine's memory.

        The first request always fits.
        """
        memory_tokens = self._memory_by_service.get(request.service, 0)
        own_tokens = self.own_tokens(upstream_id)
        if not memory_tokens or not own_tokens:
            return True
        return own_tokens + request.memory_tokens <= memory_tokens / entry_hosts

    def allowance(
        self, upstream: upstream_types.Announcement, entry_hosts: int, now: float
    ) -> Allowance:
        """Return what this host may use of an upstream.

        The whole part of the share is granted. The position of host and upstream on the unit circle
        decides whether the fraction is rounded up, for as many hosts as the fraction says.

        Args:
            upstream: The upstream, with its announced slots.
            entry_hosts: Number of entry hosts, at least 1.
            now: The time in seconds.
        """
        share = upstream.slots / entry_hosts
        slots = self._limit(upstream, entry_hosts, now)
        report = self._recent_report(upstream.upstream_id, now)
        if report is None:
            return Allowance(share, slots)
        return Allowance(share, slots, now - report.reported_at)

    def _limit(self, upstream: upstream_types.Announcement, entry_hosts: int, now: float) -> int:
        """Return how many runs this host may have at an upstream."""
        amount = upstream.slots / entry_hosts
        report = self._recent_report(upstream.upstream_id, now)
        if report is not None:
            free_share = FREE_SHARE * _free(upstream, report.load) / entry_hosts
            amount += max(0.0, free_share - report.started_since)
        slots = math.ceil(amount - self._position(upstream.own_name))
        return min(max(slots, 0), upstream.slots)

    def _recent_report(self, upstream_id: str, now: float) -> _Report | None:
        report = self._report_by_upstream.get(upstream_id)
        if report is None or now - report.reported_at >= REPORT_LIFETIME_S:
            return None
        return report

    def _position(self, upstream_name: str) -> float:
        """Return the position of this host at an upstream, from 0 to below 1."""
        position = self._position_by_name.get(upstream_name)
        if position is None:
            position = (self._entry_position + _position(upstream_name)) % 1.0
            self._position_by_name[upstream_name] = position
        return position


@dataclasses.dataclass(slots=True)
class _Mean:
    """An exponentially weighted mean and mean deviation, in milliseconds."""

    mean_ms: float
    deviation_ms: float = 0.0

    def add(self, sample_ms: float) -> None:
        error_ms = sample_ms - self.mean_ms
        self.mean_ms += SAMPLE_WEIGHT * error_ms
        self.deviation_ms += SAMPLE_WEIGHT * (abs(error_ms) - self.deviation_ms)


class RunTimes:
    """How long the runs of this host take, by request class, and how fast they end, by service."""

    def __init__(self) -> None:
        """Start without samples."""
        self._run_by_class: dict[_RequestClass, _Mean] = {}
        self._first_by_class: dict[_RequestClass, _Mean] = {}
        self._run_by_service: dict[str, _Mean] = {}
        self._ends_by_service: dict[str, collections.deque[float]] = {}

    def record_first_event(self, request: placement_messages.PlaceRequest, after_ms: float) -> None:
        """Record the time to the first event of a stream."""
        _add(self._first_by_class, _class_of(request), after_ms)

    def record_end(
        self,
        request: placement_messages.PlaceRequest,
        end: placement_messages.RunEnd,
        after_ms: float,
        now: float,
    ) -> None:
        """Record the end of a run; only the times of complete ones count."""
        if end is not placement_messages.RunEnd.COMPLETE:
            return
        _add(self._run_by_class, _class_of(request), after_ms)
        _add(self._run_by_service, request.service, after_ms)
        ends = self._ends_by_service.setdefault(
            request.service, collections.deque(maxlen=MAX_COUNTED_ENDS)
        )
        if len(self._ends_by_service) > MAX_CLASSES:
            del self._ends_by_service[next(iter(self._ends_by_service))]
        ends.append(now)
        _drop_before(ends, now - RATE_WINDOW_S)

    def latest_start_at(
        self, request: placement_messages.PlaceRequest, deadline_at: float, first_by_at: float
    ) -> float:
        """Return when a request has to start to end, and to have its first event, in time."""
        kind = _class_of(request)
        return min(
            deadline_at - _expected_s(self._run_by_class.get(kind)),
            first_by_at - _expected_s(self._first_by_class.get(kind)),
        )

    def ends_per_s(self, service: str, running: int, now: float) -> float:
        """Return how many runs of a service end in a second; 0 if unknown.

        The ends counted in the last seconds are few if demand was low until now. So the rate is at
        least that of the runs in progress, by their mean time.
        """
        ends = self._ends_by_service.get(service)
        mean = self._run_by_service.get(service)
        if ends is None or mean is None:
            return 0.0
        _drop_before(ends, now - RATE_WINDOW_S)
        counted = 0.0
        if len(ends) >= MIN_RATE_ENDS:
            counted = len(ends) / max(now - ends[0], MIN_RATE_SPAN_S)
        return max(counted, 1000.0 * running / max(mean.mean_ms, 1.0))


def _free(upstream: upstream_types.Announcement, load: reported_load.ReportedLoad) -> int:
    """Return the reported free slots; negative if requests wait there."""
    return min(load.slots, upstream.slots) - load.running - load.waiting


def _position(name: str) -> float:
    """Return a position on the unit circle: names that differ in a number are steps apart.

    The rest of the name gives the start, by a hash; so do numbers beyond the last few.
    """
    found = list(_NUMBER.finditer(name))[-len(STEPS) :]
    start = found[0].start() if found else len(name)
    rest = name[:start] + _NUMBER.sub("#", name[start:])
    digest = hashlib.blake2b(rest.encode(), digest_size=8).digest()
    numbers = (int(match.group()[-MAX_DIGITS:]) for match in reversed(found))
    steps = sum(number * step for number, step in zip(numbers, STEPS, strict=False))
    return (int.from_bytes(digest, "big") / 2**64 + steps) % 1.0


def _class_of(request: placement_messages.PlaceRequest) -> _RequestClass:
    return request.service, request.tier, request.target_ms


def _add(mean_by_key: dict[Any, _Mean], key: Any, sample_ms: float) -> None:
    """Add a sample to the mean of a key; the oldest key is dropped if there are too many."""
    mean = mean_by_key.get(key)
    if mean is not None:
        mean.add(sample_ms)
        return
    mean_by_key[key] = _Mean(sample_ms)
    if len(mean_by_key) > MAX_CLASSES:
        del mean_by_key[next(iter(mean_by_key))]


def _expected_s(mean: _Mean | None) -> float:
    """Return the time that a run of this mean needs, in seconds."""
    if mean is None:
        return MIN_RUN_S
    return max(MIN_RUN_S, (mean.mean_ms + mean.deviation_ms) / 1000.0)


def _drop_before(ends: collections.deque[float], oldest: float) -> None:
    while ends and ends[0] < oldest:
        ends.popleft()
