"""Reports changes to all replicas, resends them for a while, and syncs restarted replicas."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from medlarfork.gateway import entry_session

MakeReport = Callable[[tuple[str, ...], float], Any]
"""Builds the message with the known state of some keys at a given time."""

MAX_SILENCE_SHARE = 0.6
"""Silence of a replica, as a share of the time for which a change is resent, after which it may
have missed every copy: the last one may be sent a status period before that time is over."""


class ReplicaReporter:
    """Tracks recently changed keys. No clock: times are arguments, in seconds."""

    def __init__(
        self,
        session: entry_session.EntrySession,
        send: Callable[[str, Any], Any],
        make_report: MakeReport,
        *,
        resend_s: float,
    ) -> None:
        """Create a reporter without pending changes.

        Args:
            session: Lists the replicas.
            send: Sends a message to a replica.
            report: Makes a message.
            resend_s: How long a change is resent, in seconds.
        """
        self._session = session
        self._send = send
        self._make_report = make_report
        self._resend_s = resend_s
        self._changed_at_by_key: dict[str, float] = {}
        self._up_s_by_replica: dict[str, float] = {}
        self._heard_at_by_replica: dict[str, float] = {}

    def report(self, keys: tuple[str, ...], now: float) -> None:
        """Send the state of changed keys to all replicas, now and for a while with each resend."""
        self._changed_at_by_key.update(dict.fromkeys(keys, now))
        self._send_all(keys, now)

    def resend(self, now: float) -> None:
        """Resend recent changes; called with each status."""
        for key, at in tuple(self._changed_at_by_key.items()):
            if at < now - self._resend_s:
                del self._changed_at_by_key[key]
        self._send_all(tuple(self._changed_at_by_key), now)

    def sync_if_restarted(
        self, replica_id: str, up_s: float, known: tuple[str, ...], now: float
    ) -> None:
        """Send all known state to a replica that has restarted, was silent for long, or is new.

        A silent link is closed, so a replica may have missed all repetitions of a change.

        Args:
            replica_id: The replica.
            up_s: Its uptime as it states it, in seconds.
            known: All known keys.
            now: The time in seconds.
        """
        previous_up_s = self._up_s_by_replica.get(replica_id)
        self._up_s_by_replica[replica_id] = up_s
        silent_s = now - self._heard_at_by_replica.get(replica_id, now)
        self._heard_at_by_replica[replica_id] = now
        was_silent = silent_s > MAX_SILENCE_SHARE * self._resend_s
        if previous_up_s is None or up_s < previous_up_s or was_silent:
            self.send_snapshot(replica_id, known, now)

    def send_snapshot(self, replica_id: str, known: tuple[str, ...], now: float) -> None:
        """Send the state of all known keys to one replica."""
        if known:
            self._send(replica_id, self._make_report(known, now))

    def _send_all(self, keys: tuple[str, ...], now: float) -> None:
        if not keys:
            return
        report = self._make_report(keys, now)
        for replica_id in self._session.replicas:
            self._send(replica_id, report)
