"""Directory of ready entry hosts for callers, from the hosts' own status messages."""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import coordination_messages, coordinator_types, status_period

SILENCE_TIMEOUT_S = 1.5
"""Silence after which an entry host is not listed any more, in seconds: about four of its periodic
messages, and at least two and a half in large fleets."""

RETENTION_S = 20.0
"""How long an entry host counts for shared budgets after its last message, in seconds: twice the
budget window, so that a host that returns has used its share only once."""

MIN_LOCAL_HOSTS = 2
"""Ready entry hosts in the caller's zone that suffice. With fewer, hosts of all zones are listed,
so that a caller still has an alternative if one host is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class _LastStatus:
    status: coordination_messages.EntryStatus
    at: float


class EntryDirectory:
    """Entry hosts by their last status. Pure: no I/O, no clock."""

    def __init__(self, *, ttl_s: float) -> None:
        """Start empty; callers cache an answer for ``ttl_s`` seconds."""
        self._ttl_s = ttl_s
        self._last_by_id: dict[str, _LastStatus] = {}

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts that share budgets."""
        return len(self._last_by_id)

    @property
    def period_s(self) -> float:
        """Return the interval of status messages in both directions, in seconds."""
        return status_period.period_s(self.host_count)

    def status_by_id(self, now: float) -> dict[str, coordination_messages.EntryStatus]:
        """Return the status of each entry host that has been heard recently."""
        oldest = now - max(SILENCE_TIMEOUT_S, status_period.DIRECTORY_PERIODS * self.period_s)
        return {
            entry_id: last.status
            for entry_id, last in self._last_by_id.items()
            if last.at >= oldest
        }

    def record_status(
        self, entry_id: str, status: coordination_messages.EntryStatus, now: float
    ) -> None:
        """Record an entry host's status."""
        self._last_by_id[entry_id] = _LastStatus(status, now)
        for other_id, last in tuple(self._last_by_id.items()):
            if last.at < now - RETENTION_S:
                del self._last_by_id[other_id]

    def find(self, zone: str, now: float) -> coordinator_types.Reply:
        """Return the ready entry hosts: those in the caller's zone if there are enough."""
        ready = [status for status in self.status_by_id(now).values() if status.is_ready]
        if not ready:
            return coordinator_types.Unavailable("No entry host is known to be ready.")
        near = [status.address for status in ready if status.zone == zone]
        addresses = near if len(near) >= MIN_LOCAL_HOSTS else [status.address for status in ready]
        return coordinator_types.EntriesFound(tuple(sorted(addresses)), self._ttl_s)
