"""Keep the backpressure signals of upstreams, as a mergeable state: pure.

The load that this answers: an upstream in need that all hosts go on using, since only one of them,
or none, has read its signal. Entry hosts and replicas keep a ledger each and exchange reports; of
each limit the latest one wins, so ledgers that merged the same reports agree, in whatever order.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.backpressure import signal_messages

SAME_RATE_TOLERANCE = 0.05
"""Share by which a limit may differ from the one known and pass for the same: an upstream that
names another fraction with each answer would else cost a message to each replica with each."""

ENDED_LIMIT_RETENTION_S = 30.0
"""How long a limit that has ended is remembered, in seconds, so that a late report of it does not
bring it back: longer than any message is under way."""

LIMIT_RETENTION_S = 600.0
"""How long a limit is kept that was not reported again, in seconds: its upstream is gone by then,
or is tried again at its limit and names it anew."""

SETTLE_S = 0.25
"""How much longer than since a limit was named a request must have been sent for its answer to end
the limit, in seconds: more than a report is under way, whose age is reckoned from its arrival."""

REFRESH_S = 60.0
"""Time after which a limit that is still named counts as news, in seconds: several times within
``LIMIT_RETENTION_S``, after which ledgers that only get news forget it."""

MAX_LIMITS = 10_000
"""Upstreams with a limit that are kept, about 2 MB; the oldest go first."""

LEAVING_RETENTION_S = 600.0
"""How long it is remembered that an upstream is leaving, in seconds: far longer than it stays."""

MAX_BACKOFFS = 50_000
"""Pauses that are kept, about 13 MB: all hosts of a large fleet turned away by a hundred upstreams.
Those that end first go first."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Limit:
    """Hold the latest report of an upstream's limit.

    Attributes:
        rate: Requests a second; None once it has ended.
        at: When it was observed, in seconds of the holder's clock.
        since: When this ledger learnt of the limit.
        changed_at: When this ledger took this report.
    """

    rate: float | None
    at: float
    since: float
    changed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class MergeResult:
    """Hold what a report changed.

    Attributes:
        changed: Upstreams whose limit it changed.
        outdated: Upstreams for which this ledger has a later and different limit.
    """

    changed: tuple[str, ...] = ()
    outdated: tuple[str, ...] = ()


class SignalLedger:
    """Keep the latest signals; the time is handed in, in seconds of a clock of the holder's own."""

    def __init__(self) -> None:
        """Start without any signal."""
        self._limit_by_upstream: dict[str, _Limit] = {}
        self._pause_until_by_pair: dict[tuple[str, str], float] = {}
        self._leaving_since_by_upstream: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream has signalled anything."""
        return not (
            self._limit_by_upstream or self._pause_until_by_pair or self._leaving_since_by_upstream
        )

    @property
    def limited(self) -> int:
        """Return how many upstreams name a limit."""
        return sum(limit.rate is not None for limit in self._limit_by_upstream.values())

    def rate(self, upstream_id: str) -> float | None:
        """Return how many requests a second an upstream takes from all hosts; None for no limit."""
        limit = self._limit_by_upstream.get(upstream_id)
        return None if limit is None else limit.rate

    def limited_since(self, upstream_id: str) -> float:
        """Return when this ledger learnt that an upstream has a limit, in seconds."""
        return self._limit_by_upstream[upstream_id].since

    def record_response(
        self, upstream_id: str, rate: float | None, *, sent_at: float, now: float
    ) -> bool:
        """Take the limit that an answer names, or that it names none; return whether that is news.

        An answer without a limit ends the one known only if its request was sent some time after
        that was named: answers on different connections overtake each other.

        Args:
            upstream_id: The incarnation that answered.
            rate: The limit that the answer names; None if it names none.
            sent_at: When the answer's request was sent, in seconds.
            now: The time in seconds.
        """
        if rate is None and upstream_id not in self._limit_by_upstream:
            return False
        return self._take(upstream_id, rate, sent_at - SETTLE_S if rate is None else now, now)

    def backoff_until(self, upstream_id: str, entry_id: str) -> float:
        """Return until when an upstream wants no request from an entry host, in seconds."""
        return self._pause_until_by_pair.get((upstream_id, entry_id), -math.inf)

    def record_backoff(self, upstream_id: str, entry_id: str, until: float, now: float) -> bool:
        """Note a pause that an upstream asked an entry host for; return whether that is news."""
        pair = upstream_id, entry_id
        if until <= max(now, self._pause_until_by_pair.get(pair, now)):
            return False
        self._pause_until_by_pair[pair] = until
        if len(self._pause_until_by_pair) > MAX_BACKOFFS:
            first = min(self._pause_until_by_pair, key=self._pause_until_by_pair.__getitem__)
            del self._pause_until_by_pair[first]
        return True

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream has said that it is leaving; that is final for it."""
        return upstream_id in self._leaving_since_by_upstream

    def record_leaving(self, upstream_id: str, now: float) -> bool:
        """Note that an upstream is leaving; return whether that is news."""
        if self.is_leaving(upstream_id):
            return False
        self._leaving_since_by_upstream[upstream_id] = now
        return True

    def merge(self, report: signal_messages.SignalReport, now: float) -> MergeResult:
        """Merge what another ledger reports."""
        changed: list[str] = []
        outdated: list[str] = []
        for limit in report.limits:
            at = now - limit.ago_s
            if self._take(limit.upstream_id, limit.rate, at, now):
                changed.append(limit.upstream_id)
            elif not _is_same(self.rate(limit.upstream_id), limit.rate):
                outdated.append(limit.upstream_id)
        for pause in report.pauses:
            self.record_backoff(pause.upstream_id, pause.entry_id, now + pause.left_s, now)
        for upstream_id in report.leaving:
            self.record_leaving(upstream_id, now)
        return MergeResult(tuple(changed), tuple(outdated))

    def changed_since(self, at: float) -> tuple[str, ...]:
        """Return the upstreams whose limit changed since a time."""
        known = self._limit_by_upstream.items()
        return tuple(upstream_id for upstream_id, limit in known if limit.changed_at >= at)

    def known(self) -> tuple[str, ...]:
        """Return all upstreams that have signalled anything."""
        paused = (upstream_id for upstream_id, _ in self._pause_until_by_pair)
        leaving = self._leaving_since_by_upstream
        return tuple(dict.fromkeys((*self._limit_by_upstream, *paused, *leaving)))

    def report(
        self, upstream_ids: tuple[str, ...], now: float, *, entry_id: str = ""
    ) -> signal_messages.SignalReport:
        """Return what is known of some upstreams, for another ledger.

        Args:
            upstream_ids: The upstreams.
            now: The time in seconds.
            entry_id: The entry host whose pauses are included; empty for none.
        """
        named = (
            (upstream_id, self._limit_by_upstream.get(upstream_id)) for upstream_id in upstream_ids
        )
        limits = tuple(
            signal_messages.RateLimit(upstream_id, limit.rate, max(0.0, now - limit.at))
            for upstream_id, limit in named
            if limit is not None
        )
        lefts = (
            (upstream_id, self.backoff_until(upstream_id, entry_id) - now)
            for upstream_id in upstream_ids
        )
        pauses = tuple(
            signal_messages.Backoff(upstream_id, entry_id, left_s)
            for upstream_id, left_s in lefts
            if left_s > 0
        )
        leaving = tuple(filter(self.is_leaving, upstream_ids))
        return signal_messages.SignalReport(limits, pauses, leaving)

    def whole(self, now: float) -> signal_messages.SignalReport:
        """Return everything, the pauses of all entry hosts included."""
        report = self.report(self.known(), now)
        pauses = tuple(
            signal_messages.Backoff(upstream_id, entry_id, until - now)
            for (upstream_id, entry_id), until in self._pause_until_by_pair.items()
            if until > now
        )
        return dataclasses.replace(report, pauses=pauses)

    def tidy(self, now: float) -> None:
        """Drop signals that have expired."""
        for upstream_id, limit in tuple(self._limit_by_upstream.items()):
            kept_s = ENDED_LIMIT_RETENTION_S if limit.rate is None else LIMIT_RETENTION_S
            if max(limit.at, limit.changed_at) + kept_s < now:
                del self._limit_by_upstream[upstream_id]
        for pair, until in tuple(self._pause_until_by_pair.items()):
            if until <= now:
                del self._pause_until_by_pair[pair]
        for upstream_id, since in tuple(self._leaving_since_by_upstream.items()):
            if since + LEAVING_RETENTION_S < now:
                del self._leaving_since_by_upstream[upstream_id]

    def _take(self, upstream_id: str, rate: float | None, at: float, now: float) -> bool:
        known = self._limit_by_upstream.get(upstream_id)
        if known is not None and at <= known.at:
            return False
        is_fresh = known is not None and now < known.changed_at + REFRESH_S
        if known is not None and is_fresh and _is_same(known.rate, rate):
            self._limit_by_upstream[upstream_id] = dataclasses.replace(known, at=at)
            return False
        was_limited = known is not None and known.rate is not None
        since = known.since if known is not None and was_limited else now
        self._limit_by_upstream[upstream_id] = _Limit(rate, at, since, now)
        if len(self._limit_by_upstream) > MAX_LIMITS:
            oldest = min(self._limit_by_upstream, key=lambda name: self._limit_by_upstream[name].at)
            del self._limit_by_upstream[oldest]
        return True


def _is_same(known: float | None, rate: float | None) -> bool:
    if known is None or rate is None:
        return known is rate
    return abs(rate - known) <= SAME_RATE_TOLERANCE * known
