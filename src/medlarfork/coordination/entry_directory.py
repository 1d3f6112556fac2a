"""Directory of ready entry hosts for callers, from the hosts' own status messages."""

from __future__ import annotations

import dataclasses

from medlarfork import rendezvous
from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    entry_weights,
    status_period,
)

SILENCE_TIMEOUT_S = 1.5
"""Silence after which an entry host is not listed any more, in seconds: about four of its periodic
messages, and at least two and a half in large fleets."""

RETENTION_S = 20.0
"""How long an entry host counts for shared budgets after its last message, in seconds: twice the
budget window, so that a host that returns has used its share only once."""

MAX_RELAY_HOSTS = 8
"""Relay hosts named to a host without upstreams; enough to spread its load and survive losses."""

PHASES = 1024
"""Number of distinct offsets between the cycles of replicas."""


@dataclasses.dataclass(frozen=True, slots=True)
class _LastStatus:
    status: coordination_messages.EntryStatus
    at: float
    ready: entry_weights.ReadyHost


class EntryDirectory:
    """Entry hosts by their last status. Pure: no I/O, no clock."""

    def __init__(self, *, ttl_s: float, replica_id: str = "") -> None:
        """Start empty.

        Args:
            ttl_s: How long callers cache an answer, in seconds.
            replica_id: Determines the offset of this replica's cycle. Callers ask the replica that
                is nearest to them, so different offsets spread the load of a host over time.
        """
        self._ttl_s = ttl_s
        self._offset = rendezvous.shard(replica_id, PHASES) / PHASES
        self._last_by_id: dict[str, _LastStatus] = {}

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts that share budgets."""
        return len(self._last_by_id)

    @property
    def period_s(self) -> float:
        """Return the interval of status messages in both directions, in seconds."""
        return status_period.period_s(self.host_count)

    @property
    def _silence_s(self) -> float:
        return max(SILENCE_TIMEOUT_S, status_period.DIRECTORY_PERIODS * self.period_s)

    def status_by_id(self, now: float) -> dict[str, coordination_messages.EntryStatus]:
        """Return the status of each entry host that has been heard recently."""
        oldest = now - self._silence_s
        return {
            entry_id: last.status
            for entry_id, last in self._last_by_id.items()
            if last.at >= oldest
        }

    def record_status(
        self, entry_id: str, status: coordination_messages.EntryStatus, now: float
    ) -> None:
        """Record an entry host's status."""
        last = self._last_by_id.get(entry_id)
        # Hosts that state no size report a utilisation of 0.
        is_overloaded = coordination_messages.is_overloaded(
            status.utilisation, before=last is not None and last.ready.is_overloaded
        )
        ready = entry_weights.ReadyHost(
            entry_id,
            status.address,
            status.zone,
            status.capacity,
            status.utilisation,
            is_overloaded,
        )
        self._last_by_id[entry_id] = _LastStatus(status, now, ready)
        for other_id, last in tuple(self._last_by_id.items()):
            if last.at < now - RETENTION_S:
                del self._last_by_id[other_id]

    def find(self, zone: str, now: float) -> coordinator_types.Reply:
        """Return ready entry hosts: those in the caller's zone if there are enough."""
        hosts = self.hosts(now)
        if not hosts:
            return coordinator_types.Unavailable("No entry host is known to be ready.")
        addresses = entry_weights.select(hosts, zone, self.phase(now))
        return coordinator_types.EntriesFound(addresses, self._ttl_s)

    def hosts(self, now: float) -> tuple[entry_weights.ReadyHost, ...]:
        """Return the ready entry hosts: those that reach upstreams, or all if none does."""
        ready = self._ready(now)
        connected = tuple(last.ready for last in ready if not last.status.is_cut_off)
        return connected or tuple(last.ready for last in ready)

    def relay_hosts(self, entry_id: str, now: float) -> tuple[str, ...]:
        """Return the addresses of hosts that serve the requests of one without upstreams.

        Hosts of the same data centre come first; the order differs for each host that asks.
        """
        asking = self._last_by_id.get(entry_id)
        zone = "" if asking is None else asking.status.zone
        last_by_id = {
            last.ready.entry_id: last
            for last in self._ready(now)
            if last.status.relay and not last.status.unreachable and not last.ready.is_overloaded
        }
        last_by_id.pop(entry_id, None)
        ranked = rendezvous.rank(entry_id, last_by_id)
        nearest = sorted(ranked, key=lambda other_id: last_by_id[other_id].status.zone != zone)
        return tuple(last_by_id[other_id].status.relay for other_id in nearest[:MAX_RELAY_HOSTS])

    def _ready(self, now: float) -> tuple[_LastStatus, ...]:
        oldest = now - self._silence_s
        return tuple(
            last for last in self._last_by_id.values() if last.status.is_ready and last.at >= oldest
        )

    def phase(self, now: float) -> float:
        """Return the position in the cycle of answers, from 0 to 1."""
        return (now / entry_weights.CYCLE_S + self._offset) % 1.0

    def list_hosts(self, now: float) -> coordinator_types.EntryHostsFound:
        """Return the entry hosts heard recently, with their weights, for operators."""
        ready = self.hosts(now)
        shares_by_zone = {
            zone: entry_weights.share_by_id(ready, zone) for zone in {host.zone for host in ready}
        }
        hosts = tuple(
            coordinator_types.EntryHost(
                entry_id=entry_id,
                address=status.address,
                zone=status.zone,
                is_ready=status.is_ready,
                is_overloaded=self._last_by_id[entry_id].ready.is_overloaded,
                capacity=status.capacity,
                utilisation=round(status.utilisation, 3),
                unreachable=status.unreachable,
                weight=round(shares_by_zone.get(status.zone, {}).get(entry_id, 0.0), 4),
            )
            for entry_id, status in sorted(self.status_by_id(now).items())
        )
        return coordinator_types.EntryHostsFound(hosts)
