"""Keep which entry hosts are ready, as their own messages tell, and name them to callers."""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import coordination_messages, coordinator_types, status_period

SILENCE_TIMEOUT_S = 1.5
"""Silence after which an entry host is not named any more, in seconds: about four of its periodic
messages, and in large fleets at least two and a half."""

RETENTION_S = 20.0
"""How long an entry host counts for shared budgets after its last message, in seconds: twice the
window over which the budgets are kept, so that a host that is back has used its share only once."""

MIN_LOCAL_HOSTS = 2
"""Ready entry hosts in the caller's own zone that suffice; with fewer, all zones are named, so
that the loss of one host leaves the caller another to try."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    status: coordination_messages.EntryStatus
    at: float


class EntryDirectory:
    """Answer which entry hosts a caller should use; pure."""

    def __init__(self, *, ttl_s: float) -> None:
        """Start empty; callers keep an answer for ``ttl_s`` seconds."""
        self._ttl_s = ttl_s
        self._heard_by_id: dict[str, _Heard] = {}

    @property
    def hosts(self) -> int:
        """Return how many entry hosts share budgets."""
        return len(self._heard_by_id)

    @property
    def period_s(self) -> float:
        """Return how often hosts are told of this replica, and tell of themselves, in seconds."""
        return status_period.period_s(self.hosts)

    def status_by_id(self, now: float) -> dict[str, coordination_messages.EntryStatus]:
        """Return the entry hosts that were heard of lately."""
        oldest = now - max(SILENCE_TIMEOUT_S, status_period.DIRECTORY_PERIODS * self.period_s)
        return {
            entry_id: heard.status
            for entry_id, heard in self._heard_by_id.items()
            if heard.at >= oldest
        }

    def hear(self, entry_id: str, status: coordination_messages.EntryStatus, now: float) -> None:
        """Take an entry host's own word."""
        self._heard_by_id[entry_id] = _Heard(status, now)
        for other_id, heard in tuple(self._heard_by_id.items()):
            if heard.at < now - RETENTION_S:
                del self._heard_by_id[other_id]

    def find(self, zone: str, now: float) -> coordinator_types.Reply:
        """Return the ready entry hosts: those near the caller if there are enough."""
        ready = [status for status in self.status_by_id(now).values() if status.is_ready]
        if not ready:
            return coordinator_types.Unavailable("No entry host is known to be ready.")
        near = [status.address for status in ready if status.zone == zone]
        addresses = near if len(near) >= MIN_LOCAL_HOSTS else [status.address for status in ready]
        return coordinator_types.EntriesFound(tuple(sorted(addresses)), self._ttl_s)
