"""Tracks backpressure signals in upstreams' responses, and shares them with the replicas.

Signals read here are reported to all replicas, which report the signals read by other entry hosts.
"""

from __future__ import annotations

import functools
import logging
import time
from collections.abc import Callable, Mapping

from medlarfork import logs
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages, upstream_signals
from medlarfork.gateway import (
    entry_session,
    replica_reporter,
    request_header_names,
    upstream_call,
)

_log = logging.getLogger(__name__)

REJECTION_STATUSES = (429, 503)
"""Statuses with which an upstream rejects a request; their ``Retry-After`` asks for a backoff."""

MAX_LOGGED_UPSTREAMS = 10_000
"""Number of upstreams whose latest signals are kept, to log only changes."""


class BackpressureTracker:
    """The backpressure signals of upstreams, as read here and reported by replicas.

    Attributes:
        gate: Decides when an upstream may get a request that this host places without an owner.
    """

    def __init__(
        self,
        entry_id: str,
        names: request_header_names.RequestHeaderNames,
        session: entry_session.EntrySession,
        send: Callable[[str, signal_messages.SignalReport], bool],
    ) -> None:
        """Create a tracker without signals.

        Args:
            entry_id: Id of this entry host.
            names: Names of the headers that carry signals.
            session: Lists replicas and upstreams.
            send: Sends a message to a replica.
        """
        self._entry_id = entry_id
        self._session = session
        self._names = names
        self._signals_by_upstream: dict[str, upstream_signals.UpstreamSignals] = {}
        self._ledger = signal_ledger.SignalLedger()
        self.gate = send_gate.SendGate(self._ledger)
        report = functools.partial(self._ledger.report, entry_id=entry_id)
        self._reporter = replica_reporter.ReplicaReporter(
            session, send, report, resend_s=signal_messages.RESEND_WINDOW_S
        )

    @property
    def limited(self) -> int:
        """Return how many upstreams have a known rate limit."""
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
        """Record the signals in a response's head; log changes and report them to the replicas.

        Args:
            upstream_id: The incarnation that responded.
            status: The response's status.
            headers: The response's headers, by lower-case name.
            sent_at: When the request was sent, in monotonic seconds.
            attempt_id: The caller's id of the attempt.
        """
        has_rejection_status = status in REJECTION_STATUSES
        signals = upstream_signals.parse(
            headers.get(self._names.rate_limit, ""),
            headers.get(self._names.leaving, ""),
            headers.get("retry-after", "") if has_rejection_status else "",
            headers.get(self._names.max_rejections, ""),
        )
        now = _now()
        is_changed = False
        # A rejection may come from a component of the upstream that does not know its rate limit.
        was_rejected = has_rejection_status or upstream_call.is_rejection(
            status, headers, self._names
        )
        if signals.rate_limit is not None or not was_rejected:
            is_changed = self._ledger.record_response(
                upstream_id, signals.rate_limit, sent_at=sent_at, now=now
            )
        is_changed |= self._ledger.record_backoff(
            upstream_id, self._entry_id, now + signals.pause_s, now
        )
        if was_rejected and signals.max_rejections is not None:
            until = now + signal_ledger.REJECTION_BACKOFF_S
            is_changed |= self._ledger.record_backoff(
                upstream_id, signal_ledger.ALL_HOSTS, until, now
            )
        if signals.is_leaving:
            is_changed |= self._ledger.record_leaving(upstream_id, now)
        if is_changed:
            self._reporter.report((upstream_id,), now)
        self._log_change(upstream_id, status, signals, attempt_id)

    def may_send(self, upstream_id: str) -> bool:
        """Return whether an upstream still accepts a request that was placed on it.

        Rate limits are not checked here: they are enforced where requests are placed.
        """
        if self._ledger.is_leaving(upstream_id):
            return False
        return self._ledger.backoff_until(upstream_id, self._entry_id) <= _now()

    def remaining_backoff_ms(self, service: str) -> float:
        """Return the time until any upstream of a service accepts requests from here, in ms."""
        now = _now()
        waits_s = (
            self.gate.wait_s(upstream_id, self._entry_id, now)
            for upstream_id, item in self._session.upstream_by_id.items()
            if item.service == service and not self._ledger.is_leaving(upstream_id)
        )
        return 1000.0 * min(waits_s, default=0.0)

    def apply_report(self, report: signal_messages.SignalReport) -> None:
        """Merge a replica's report; reply with signals of which this host knows a newer state."""
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
            self._reporter.report(merged.outdated, now)

    def sync_if_restarted(self, replica_id: str, up_s: float) -> None:
        """Send all known signals to a replica that has restarted or was not known before."""
        self._reporter.sync_if_restarted(replica_id, up_s, self._ledger.known(), _now())

    def send_known_signals(self, replica_id: str) -> None:
        """Send all known signals, if any, to a replica that becomes an owner of placement."""
        self._reporter.send_snapshot(replica_id, self._ledger.known(), _now())

    def on_tick(self) -> None:
        """Resend recent changes and evict expired signals; called with each status."""
        now = _now()
        self._reporter.resend(now)
        self._ledger.tidy(now)
        self.gate.evict_unlimited()

    def _log_change(
        self,
        upstream_id: str,
        status: int,
        signals: upstream_signals.UpstreamSignals,
        attempt_id: str,
    ) -> None:
        previous = self._signals_by_upstream.get(upstream_id, upstream_signals.UpstreamSignals())
        if signals == previous and not signals.pause_s:
            return
        self._signals_by_upstream[upstream_id] = signals
        if len(self._signals_by_upstream) > MAX_LOGGED_UPSTREAMS:
            del self._signals_by_upstream[next(iter(self._signals_by_upstream))]
        logs.event(
            _log,
            "upstream_signals",
            upstream=upstream_id,
            request=attempt_id or None,
            status=status,
            rate_limit=signals.rate_limit,
            limit_before=previous.rate_limit,
            leaving=signals.is_leaving or None,
            pause_s=signals.pause_s or None,
            max_rejections=signals.max_rejections,
        )


def _now() -> float:
    return time.monotonic()
