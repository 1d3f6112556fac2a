"""Read backpressure signals in upstreams' answers, and share them with the replicas.

What it reads it tells all replicas, and hears from them what other entry hosts read.
"""

from __future__ import annotations

import functools
import logging
import time
from collections.abc import Callable, Mapping

from medlarfork import logs
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages, upstream_signals
from medlarfork.gateway import entry_session, replica_reporter, request_header_names

_log = logging.getLogger(__name__)

REJECTION_STATUSES = (429, 503)
"""Statuses with which an upstream turns a request away; their ``Retry-After`` asks for a pause."""

MAX_LOGGED_UPSTREAMS = 10_000
"""Upstreams whose latest signals are remembered, for the log."""


class BackpressureTracker:
    """Keep what each upstream last said to this entry host, and what others heard.

    Attributes:
        gate: Says when an upstream may get a request that is placed here, without an owner.
    """

    def __init__(
        self,
        entry_id: str,
        names: request_header_names.RequestHeaderNames,
        session: entry_session.EntrySession,
        send: Callable[[str, signal_messages.SignalReport], bool],
    ) -> None:
        """Wire what it uses.

        Args:
            entry_id: Names this entry host.
            names: The headers in which upstreams speak.
            session: Knows replicas and upstreams.
            send: Sends a message to a replica.
        """
        self._entry_id = entry_id
        self._session = session
        self._names = names
        self._signals_by_upstream: dict[str, upstream_signals.UpstreamSignals] = {}
        self._ledger = signal_ledger.SignalLedger()
        self.gate = send_gate.SendGate(self._ledger)
        report = functools.partial(self._ledger.report, entry_id=entry_id)
        self._news = replica_reporter.ReplicaReporter(
            session, send, report, retell_s=signal_messages.RESEND_WINDOW_S
        )

    @property
    def limited(self) -> int:
        """Return how many upstreams are known to name a rate limit."""
        return self._ledger.limited

    def record_response(
        self,
        upstream_id: str,
        status: int,
        headers: Mapping[str, str],
        *,
        sent_at: float,
        attempt_id: str,
    ) -> None:
        """Take the head of an answer; what it changes is logged, and told to the replicas.

        Args:
            upstream_id: The incarnation that answered.
            status: Its status.
            headers: Its headers, by names in lower case.
            sent_at: When its request was sent, in monotonic seconds.
            attempt_id: The caller's id of the attempt.
        """
        is_turned_away = status in REJECTION_STATUSES
        told = upstream_signals.parse(
            headers.get(self._names.rate_limit, ""),
            headers.get(self._names.leaving, ""),
            headers.get("retry-after", "") if is_turned_away else "",
        )
        now = _now()
        is_news = False
        # A rejection may come from a part of the upstream that knows nothing of its limit.
        is_rejected = is_turned_away or self._names.not_executed in headers
        if told.rate_limit is not None or not is_rejected:
            is_news = self._ledger.record_response(
                upstream_id, told.rate_limit, sent_at=sent_at, now=now
            )
        is_news |= self._ledger.record_backoff(upstream_id, self._entry_id, now + told.pause_s, now)
        if told.is_leaving:
            is_news |= self._ledger.record_leaving(upstream_id, now)
        if is_news:
            self._news.tell((upstream_id,), now)
        self._log_change(upstream_id, status, told, attempt_id)

    def may_send(self, upstream_id: str) -> bool:
        """Return whether an upstream still takes a request that was placed on it.

        Limits are kept where requests are placed.
        """
        if self._ledger.is_leaving(upstream_id):
            return False
        return self._ledger.backoff_until(upstream_id, self._entry_id) <= _now()

    def remaining_backoff_ms(self, service: str) -> float:
        """Return how long all upstreams of a service want no request from here, in milliseconds."""
        now = _now()
        waits_s = (
            self.gate.wait_s(upstream_id, self._entry_id, now)
            for upstream_id, item in self._session.upstream_by_id.items()
            if item.service == service and not self._ledger.is_leaving(upstream_id)
        )
        return 1000.0 * min(waits_s, default=0.0)

    def take(self, report: signal_messages.SignalReport) -> None:
        """Take what a replica tells; answer with what this host knows better."""
        now = _now()
        merged = self._ledger.merge(report, now)
        for upstream_id in merged.changed:
            logs.event(
                _log,
                "upstream_limit",
                upstream=upstream_id,
                rate_limit=self._ledger.rate(upstream_id),
            )
        if merged.outdated:
            self._news.tell(merged.outdated, now)

    def sync_if_restarted(self, replica_id: str, up_s: float) -> None:
        """Tell a replica that has started, or that was not heard before, all that is known."""
        self._news.sync_if_restarted(replica_id, up_s, self._ledger.known(), _now())

    def send_known_signals(self, replica_id: str) -> None:
        """Tell a replica that becomes an owner of placement all that is known, if anything is."""
        self._news.send_snapshot(replica_id, self._ledger.known(), _now())

    def on_time(self) -> None:
        """Tell again what is new, and forget what is old; called with each status."""
        now = _now()
        self._news.resend(now)
        self._ledger.tidy(now)
        self.gate.evict_unlimited()

    def _log_change(
        self,
        upstream_id: str,
        status: int,
        told: upstream_signals.UpstreamSignals,
        attempt_id: str,
    ) -> None:
        before = self._signals_by_upstream.get(upstream_id, upstream_signals.UpstreamSignals())
        if told == before and not told.pause_s:
            return
        self._signals_by_upstream[upstream_id] = told
        if len(self._signals_by_upstream) > MAX_LOGGED_UPSTREAMS:
            del self._signals_by_upstream[next(iter(self._signals_by_upstream))]
        logs.event(
            _log,
            "upstream_signals",
            upstream=upstream_id,
            request=attempt_id or None,
            status=status,
            rate_limit=told.rate_limit,
            limit_before=before.rate_limit,
            leaving=told.is_leaving or None,
            pause_s=told.pause_s or None,
        )


def _now() -> float:
    return time.monotonic()
