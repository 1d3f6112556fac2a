"""Tell replicas what an entry host found, again for a while, and all of it to new ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from medlarfork.gateway import entry_session

Report = Callable[[tuple[str, ...], float], Any]
"""Makes the message that tells what is known of some keys at a time."""


class ReplicaReporter:
    """Remember what was found lately; the time is handed in, in seconds."""

    def __init__(
        self,
        session: entry_session.EntrySession,
        send: Callable[[str, Any], Any],
        report: Report,
        *,
        retell_s: float,
    ) -> None:
        """Use what is known of replicas, a link to send by, and a maker of messages.

        Args:
            session: Names the replicas.
            send: Sends a message to a replica.
            report: Makes a message.
            retell_s: How long news are told again, in seconds.
        """
        self._session = session
        self._send = send
        self._report = report
        self._retell_s = retell_s
        self._found_at_by_key: dict[str, float] = {}
        self._up_s_by_replica: dict[str, float] = {}

    def tell(self, keys: tuple[str, ...], now: float) -> None:
        """Tell all replicas what is known of some keys, and for a while again."""
        self._found_at_by_key.update(dict.fromkeys(keys, now))
        self._send_all(keys, now)

    def resend(self, now: float) -> None:
        """Tell again what is new; called with each status."""
        for key, at in tuple(self._found_at_by_key.items()):
            if at < now - self._retell_s:
                del self._found_at_by_key[key]
        self._send_all(tuple(self._found_at_by_key), now)

    def sync_if_restarted(
        self, replica_id: str, up_s: float, known: tuple[str, ...], now: float
    ) -> None:
        """Tell a replica that has started, or that was not heard before, all that is known.

        Args:
            replica_id: The replica.
            up_s: How long it says that it has run, in seconds.
            known: All keys.
            now: The time in seconds.
        """
        before_s = self._up_s_by_replica.get(replica_id)
        self._up_s_by_replica[replica_id] = up_s
        if before_s is None or up_s < before_s:
            self.send_snapshot(replica_id, known, now)

    def send_snapshot(self, replica_id: str, known: tuple[str, ...], now: float) -> None:
        """Tell one replica all that is known."""
        if known:
            self._send(replica_id, self._report(known, now))

    def _send_all(self, keys: tuple[str, ...], now: float) -> None:
        if not keys:
            return
        report = self._report(keys, now)
        for replica_id in self._session.replicas:
            self._send(replica_id, report)
