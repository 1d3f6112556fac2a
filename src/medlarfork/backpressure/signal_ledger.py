"""Mergeable state of the upstreams' backpressure signals. Pure: no I/O, no clock.

Without it, entry hosts would keep loading an overloaded upstream because only one of them, or none,
has read its signal. Entry hosts and replicas each keep a ledger and exchange reports. For each
limit the latest observation wins, and of equally old ones the lowest limit, so ledgers that merged
the same reports agree, in any order.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.backpressure import signal_messages

SAME_RATE_TOLERANCE = 0.05
"""Relative difference up to which two limits count as equal. Otherwise an upstream that states a
slightly different rate with each response would cause a message to every replica each time."""

ENDED_LIMIT_RETENTION_S = 30.0
"""How long an ended limit is remembered, in seconds, so that a delayed report does not revive
it. Longer than any message latency."""

LIMIT_RETENTION_S = 600.0
"""How long a limit is kept without a new report, in seconds. By then its upstream has gone, or
is probed at the limit and states it again."""

SETTLE_S = 0.25
"""Margin in seconds: a response without a limit ends a known limit only if its request was sent
at least this long after the limit was observed. It exceeds the latency of a report, whose age
counts from its arrival."""

REFRESH_S = 60.0
"""Interval after which an unchanged limit counts as an update again, in seconds. It fits several
times into ``LIMIT_RETENTION_S``, after which ledgers that receive only updates would evict the
limit."""

MAX_LIMITS = 10_000
"""Upstreams whose limits are kept, about 2 MB; the oldest are evicted first."""

LEAVING_RETENTION_S = 600.0
"""How long a leaving upstream is remembered, in seconds: far longer than it keeps running."""

ALL_HOSTS = ""
"""Entry host id of a backoff that holds for all entry hosts."""

REJECTION_BACKOFF_S = 1.0
"""Backoff of all hosts after a rejection by an upstream that limits them, in seconds: it counts all
within a second, and hosts do not know those of each other."""

MAX_BACKOFFS = 50_000
"""Backoffs that are kept, about 13 MB: all entry hosts of a large fleet rejected by a hundred
upstreams. Those that end first are evicted first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Limit:
    """The latest observation of an upstream's limit.

    Attributes:
        rate: Requests a second; None once the limit has ended.
        at: When it was observed, in seconds of the local clock.
        updated_rate: The rate at the last update, which other ledgers know.
        since: When this ledger first recorded the limit.
        changed_at: When this ledger recorded the last update.
    """

    rate: float | None
    at: float
    updated_rate: float | None
    since: float
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """The effect of merging a report.

    Attributes:
        changed: Upstreams whose limit the report changed.
        paused: Upstreams whose backoff for all hosts the report extended.
        outdated: Upstreams for which this ledger has a later and different limit.
    """

    changed: tuple[str, ...] = ()
    paused: tuple[str, ...] = ()
    outdated: tuple[str, ...] = ()


class SignalLedger:
    """Keep the latest signals; callers pass the time, in seconds of one local clock."""

    def __init__(self) -> None:
        """Start without any signal."""
        self._limit_by_upstream: dict[str, _Limit] = {}
        self._backoff_until_by_pair: dict[tuple[str, str], float] = {}
        self._leaving_since_by_upstream: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream has sent any signal."""
        return not (
            self._limit_by_upstream
            or self._backoff_until_by_pair
            or self._leaving_since_by_upstream
        )

    @property
    def limited(self) -> int:
        """Return the number of upstreams with a rate limit."""
        return sum(limit.rate is not None for limit in self._limit_by_upstream.values())

    def rate(self, upstream_id: str) -> float | None:
        """Return an upstream's limit for all hosts, in requests a second; None for no limit."""
        limit = self._limit_by_upstream.get(upstream_id)
        return None if limit is None else limit.rate

    def limited_since(self, upstream_id: str) -> float:
        """Return when this ledger first recorded the current limit of an upstream, in seconds."""
        return self._limit_by_upstream[upstream_id].since

    def record_response(
        self, upstream_id: str, rate: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Record the limit in a response, or its absence; return whether that is an update.

        A response without a limit ends a known limit only if its request was sent some time after
        the limit was observed, since responses on different connections overtake each other.

        Args:
            upstream_id: The incarnation that responded.
            rate: The limit that the response states; None if it states none.
            sent_at: When the request was sent, in seconds.
            now: The time in seconds.
        """
        if rate is None and upstream_id not in self._limit_by_upstream:
            return False
        return self._update_limit(
            upstream_id, rate, sent_at - SETTLE_S if rate is None else now, now
        )

    def backoff_until(self, upstream_id: str, entry_id: str) -> float:
        """Return when an upstream's backoff for an entry host ends, in seconds."""
        until_by_pair = self._backoff_until_by_pair
        return max(
            until_by_pair.get((upstream_id, entry_id), -math.inf),
            until_by_pair.get((upstream_id, ALL_HOSTS), -math.inf),
        )

    def record_backoff(self, upstream_id: str, entry_id: str, until: float, now: float) -> bool:
        """Record a backoff requested from an entry host; return whether that is an update."""
        pair = upstream_id, entry_id
        if until <= max(now, self._backoff_until_by_pair.get(pair, now)):
            return False
        self._backoff_until_by_pair[pair] = until
        if len(self._backoff_until_by_pair) > MAX_BACKOFFS:
            first = min(self._backoff_until_by_pair, key=self._backoff_until_by_pair.__getitem__)
            del self._backoff_until_by_pair[first]
        return True

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream reported that it is leaving, which is final for it."""
        return upstream_id in self._leaving_since_by_upstream

    def record_leaving(self, upstream_id: str, now: float) -> bool:
        """Record that an upstream is leaving; return whether that is an update."""
        if self.is_leaving(upstream_id):
            return False
        self._leaving_since_by_upstream[upstream_id] = now
        return True

    def merge(self, report: signal_messages.SignalReport, now: float) -> MergeResult:
        """Merge a report from another ledger."""
        changed: list[str] = []
        outdated: list[str] = []
        for limit in report.limits:
            at = now - limit.ago_s
            if self._update_limit(limit.upstream_id, limit.rate, at, now):
                changed.append(limit.upstream_id)
            elif not _is_same(self.rate(limit.upstream_id), limit.rate):
                outdated.append(limit.upstream_id)
        paused: list[str] = []
        for backoff in report.pauses:
            until = now + backoff.left_s
            is_new = self.record_backoff(backoff.upstream_id, backoff.entry_id, until, now)
            if is_new and backoff.entry_id == ALL_HOSTS:
                paused.append(backoff.upstream_id)
        for upstream_id in report.leaving:
            self.record_leaving(upstream_id, now)
        return MergeResult(tuple(changed), tuple(paused), tuple(outdated))

    def changed_since(self, at: float) -> tuple[str, ...]:
        """Return the upstreams whose limit changed since a time."""
        known = self._limit_by_upstream.items()
        return tuple(upstream_id for upstream_id, limit in known if limit.changed_at >= at)

    def known(self) -> tuple[str, ...]:
        """Return all upstreams with any signal."""
        backing_off = (upstream_id for upstream_id, _ in self._backoff_until_by_pair)
        leaving = self._leaving_since_by_upstream
        return tuple(dict.fromkeys((*self._limit_by_upstream, *backing_off, *leaving)))

    def report(
        self, upstream_ids: tuple[str, ...], now: float, *, entry_id: str = ""
    ) -> signal_messages.SignalReport:
        """Build a report on some upstreams for another ledger.

        Args:
            upstream_ids: The upstreams.
            now: The time in seconds.
            entry_id: The entry host whose backoffs are included, beside those for all hosts; empty
                for none.
        """
        named = (
            (upstream_id, self._limit_by_upstream.get(upstream_id)) for upstream_id in upstream_ids
        )
        limits = tuple(
            signal_messages.RateLimit(upstream_id, limit.rate, max(0.0, now - limit.at))
            for upstream_id, limit in named
            if limit is not None
        )
        backoffs = tuple(
            signal_messages.Backoff(upstream_id, host_id, until - now)
            for upstream_id in upstream_ids
            for host_id in dict.fromkeys((entry_id, ALL_HOSTS))
            if (until := self._backoff_until_by_pair.get((upstream_id, host_id), now)) > now
        )
        leaving = tuple(filter(self.is_leaving, upstream_ids))
        return signal_messages.SignalReport(limits, backoffs, leaving)

    def whole(self, now: float) -> signal_messages.SignalReport:
        """Build a complete report, including the backoffs of all entry hosts."""
        report = self.report(self.known(), now)
        backoffs = tuple(
            signal_messages.Backoff(upstream_id, entry_id, until - now)
            for (upstream_id, entry_id), until in self._backoff_until_by_pair.items()
            if until > now
        )
        return dataclasses.replace(report, pauses=backoffs)

    def tidy(self, now: float) -> None:
        """Evict expired signals."""
        for upstream_id, limit in tuple(self._limit_by_upstream.items()):
            kept_s = ENDED_LIMIT_RETENTION_S if limit.rate is None else LIMIT_RETENTION_S
            if max(limit.at, limit.changed_at) + kept_s < now:
                del self._limit_by_upstream[upstream_id]
        for pair, until in tuple(self._backoff_until_by_pair.items()):
            if until <= now:
                del self._backoff_until_by_pair[pair]
        for upstream_id, since in tuple(self._leaving_since_by_upstream.items()):
            if since + LEAVING_RETENTION_S < now:
                del self._leaving_since_by_upstream[upstream_id]

    def _update_limit(self, upstream_id: str, rate: float | None, at: float, now: float) -> bool:
        known = self._limit_by_upstream.get(upstream_id)
        if known is not None and _precedence(rate, at) <= _precedence(known.rate, known.at):
            return False
        is_fresh = known is not None and now < known.changed_at + REFRESH_S
        if known is not None and is_fresh and _is_same(known.updated_rate, rate):
            self._limit_by_upstream[upstream_id] = dataclasses.replace(known, rate=rate, at=at)
            return False
        was_limited = known is not None and known.rate is not None
        since = known.since if known is not None and was_limited else now
        self._limit_by_upstream[upstream_id] = _Limit(rate, at, rate, since, now)
        if len(self._limit_by_upstream) > MAX_LIMITS:
            oldest = min(self._limit_by_upstream, key=lambda name: self._limit_by_upstream[name].at)
            del self._limit_by_upstream[oldest]
        return True


def _precedence(rate: float | None, at: float) -> tuple[float, float]:
    """Return the rank of an observation: the highest of those that a ledger merged holds."""
    return at, -math.inf if rate is None else -rate


def _is_same(known: float | None, rate: float | None) -> bool:
    if known is None or rate is None:
        return known is rate
    return abs(rate - known) <= SAME_RATE_TOLERANCE * known
