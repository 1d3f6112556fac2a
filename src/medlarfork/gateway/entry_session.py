"""Keep an entry host's session with the replicas: who owns placement, what is in force, upstreams.

The highest version of the routing that any replica sent is in force, and none goes back. The
replicas of the log are those that the latest term's leader names.
"""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from medlarfork import rendezvous
from medlarfork.coordination import (
    coordination_messages,
    status_period,
    upstream_types,
    upstream_view,
)
from medlarfork.placement import placement_messages, shard_choice

MIN_OWNER_UPTIME_SHARE = 0.5
"""Share of the longest time that a replica has run which another must have run to own placement:
after a restart of all they are equal, and one that was restarted alone does not take over back."""

JOIN_PERIOD_S = 0.08
"""How often a host tells of itself while it joins, in seconds: what is sent before a link is up is
lost, and would else be sent again only a period later, first to the replicas that the settings name
and then once more to the others, among them the leader."""

MAX_JOIN_S = 3.0
"""How long it joins at most, in seconds after its start; replicas that are down are not heard."""

STATUS_DUE_SHARE = 0.9
"""Share of a period after which all replicas are told again: timers fire a little early or late."""

REPLICA_TIMEOUT_S = 4.0
"""Silence after which a replica's view of the upstreams does not count any more, in seconds."""


@dataclasses.dataclass(slots=True)
class _Heard:
    at: float
    is_suspect: bool = False
    up_s: float = 0.0
    entry_hosts: int = 1
    period_s: float = status_period.MIN_PERIOD_S
    view_boot: int = 0
    view_sequence: int = 0


class EntrySession:
    """Take the replicas' messages; pure, the time is handed in."""

    def __init__(self, seeds: tuple[str, ...]) -> None:
        """Start with the replicas that the settings name."""
        self._replicas: dict[str, None] = dict.fromkeys(seeds)
        self._heard_by_id: dict[str, _Heard] = {}
        self._view = upstream_view.UpstreamView()
        self._sizes_by_service: dict[str, dict[placement_messages.Shard, int]] = {}
        self._all_due = -math.inf
        self._term = 0
        self._members: tuple[str, ...] = ()
        self.leader_id = ""
        self.routing_version = 0

    def status_period_s(self, up_s: float) -> float:
        """Return how long after one status the next one is sent, in seconds.

        Args:
            up_s: How long this host has run, in seconds.
        """
        knows_all = self.routing_version > 0 and self._heard_by_id.keys() >= self._replicas.keys()
        return JOIN_PERIOD_S if not knows_all and up_s <= MAX_JOIN_S else self._period_s

    def status_recipients(self, now: float) -> tuple[str, ...]:
        """Return the replicas to be told how this host is: all once in a period.

        While it joins, only those that were not heard yet are told more often: one replica that
        stands still must not cost a message to each of the others every time.
        """
        if now >= self._all_due:
            self._all_due = now + STATUS_DUE_SHARE * self._period_s
            return self.replicas
        return tuple(name for name in self._replicas if name not in self._heard_by_id)

    @property
    def _period_s(self) -> float:
        periods = (heard.period_s for heard in self._heard_by_id.values())
        return max(periods, default=status_period.MIN_PERIOD_S)

    @property
    def entry_hosts(self) -> int:
        """Return among how many entry hosts budgets and limits are divided, at least 1.

        The most that any replica tells: one that has just started has heard few.
        """
        return max((heard.entry_hosts for heard in self._heard_by_id.values()), default=1)

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return the replicas to be connected to."""
        return tuple(self._replicas)

    @property
    def has_view(self) -> bool:
        """Return whether any replica has told its view of the upstreams since the start."""
        return any(heard.view_boot for heard in self._heard_by_id.values())

    @property
    def upstream_by_id(self) -> dict[str, upstream_types.Announcement]:
        """Return the upstreams that may take requests."""
        return self._view.by_id

    def find_upstream(self, upstream_id: str) -> upstream_types.Announcement | None:
        """Return an upstream that may take requests now."""
        return self._view.by_id.get(upstream_id)

    def shards(
        self, service: str, key: str
    ) -> tuple[placement_messages.Shard, placement_messages.Shard | None]:
        """Return the shard that is to serve what a key names.

        With it comes the one to be asked while that one is busy, if there is another.
        """
        return shard_choice.choose(key, self._sizes(service), service)

    def service_shards(self, service: str) -> tuple[placement_messages.Shard, ...]:
        """Return all shards of a service that have upstreams."""
        return tuple(self._sizes(service))

    def resolve_shard(self, shard: placement_messages.Shard) -> placement_messages.Shard:
        """Return a shard by the number there are now; for one that is gone, another."""
        sizes = self._sizes(shard.service)
        count = next((known.count for known in sizes), 1)
        return placement_messages.Shard(shard.service, shard.index % count, count)

    def shard_of(self, upstream: upstream_types.Announcement) -> placement_messages.Shard:
        """Return the shard that an upstream belongs to."""
        first = self.resolve_shard(placement_messages.Shard(upstream.service))
        index = rendezvous.jump(upstream.upstream_id, first.count)
        return dataclasses.replace(first, index=index)

    def _sizes(self, service: str) -> dict[placement_messages.Shard, int]:
        sizes = self._sizes_by_service.get(service)
        if sizes is None:
            sizes = shard_choice.sizes(service, self._view.by_id.values())
            self._sizes_by_service[service] = sizes
        return sizes

    def owner(self, shard: placement_messages.Shard, now: float) -> str:
        """Return the replica that owns placement on a shard; empty if none speaks.

        Entry hosts agree on it without asking, by a hash over the replicas that speak.
        One that could not be asked is passed over until it speaks again.
        One that has just started knows nothing of what runs and what engines hold, so it is not
        chosen beside others that have run much longer. Nothing that must hold rests on there being
        one owner.
        """
        up_s_by_id = {
            replica_id: heard.up_s
            for replica_id, heard in self._heard_by_id.items()
            if now - heard.at <= status_period.OWNER_PERIODS * heard.period_s
            and not heard.is_suspect
        }
        least_up_s = MIN_OWNER_UPTIME_SHARE * max(up_s_by_id.values(), default=0.0)
        settled = sorted(name for name, up_s in up_s_by_id.items() if up_s >= least_up_s)
        owners = shard_choice.owners(shard.service, shard.count, tuple(settled))
        return owners[shard.index % shard.count] if owners else ""

    def mark_unreachable(self, replica_id: str) -> bool:
        """Pass a replica over to which there is no connection, until it speaks.

        Returns:
            Whether it was not passed over before.
        """
        heard = self._heard_by_id.get(replica_id)
        if heard is None or heard.is_suspect:
            return False
        heard.is_suspect = True
        return True

    def is_unresponsive(self, replica_id: str, now: float) -> bool:
        """Say whether a replica that did not answer says nothing else either.

        Requests that are placed without an owner overfill engines and make streams late, so it is
        passed over after little more than one of its periods.
        """
        heard = self._heard_by_id.get(replica_id)
        if heard is None:
            return False
        is_silent = now - heard.at > status_period.SUSPECT_PERIODS * heard.period_s
        return heard.is_suspect or is_silent

    def record_contact(self, replica_id: str, now: float) -> None:
        """Note that a replica said something."""
        heard = self._heard_by_id.setdefault(replica_id, _Heard(now))
        heard.at = now
        heard.is_suspect = False

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Look for further replicas."""
        self._replicas.update(dict.fromkeys(seeds))

    def take(self, replica_id: str, message: Any, now: float) -> None:
        """Take a replica's message other than a version of the routing."""
        self.record_contact(replica_id, now)
        heard = self._heard_by_id[replica_id]
        match message:
            case coordination_messages.ReplicaStatus():
                heard.up_s = message.up_s
                heard.entry_hosts = max(message.entry_hosts, 1)
                heard.period_s = message.period_s
                self._take_status(message)
            case coordination_messages.ViewPush(boot, sequence, change):
                self._take_view(replica_id, heard, boot, sequence, change)

    def accept_routing(self, replica_id: str, version: int, now: float) -> bool:
        """Say whether an offered version is newer than the one in force."""
        self.record_contact(replica_id, now)
        if version <= self.routing_version:
            return False
        self.routing_version = version
        return True

    def status_for(
        self, replica_id: str, *, address: str, zone: str, is_ready: bool
    ) -> coordination_messages.EntryStatus:
        """Return what a replica is to be told."""
        heard = self._heard_by_id.get(replica_id, _Heard(0.0))
        return coordination_messages.EntryStatus(
            address, zone, is_ready, self.routing_version, heard.view_boot, heard.view_sequence
        )

    def drop_silent_replicas(self, now: float) -> None:
        """Forget the views of replicas that fell silent, unless all did."""
        silent = [
            replica_id
            for replica_id, heard in self._heard_by_id.items()
            if now - heard.at > REPLICA_TIMEOUT_S
        ]
        if len(silent) == len(self._heard_by_id):
            return
        for replica_id in silent:
            del self._heard_by_id[replica_id]
            self._view.remove_replica(replica_id)
            self._sizes_by_service.clear()
            if self._members and replica_id not in self._members:
                self._replicas.pop(replica_id, None)

    def _take_status(self, status: coordination_messages.ReplicaStatus) -> None:
        self._replicas.update(dict.fromkeys(status.members))
        if status.term > self._term or (status.term == self._term and status.leader_id):
            self._term = status.term
            self._members = status.members or self._members
            self.leader_id = status.leader_id

    def _take_view(
        self,
        replica_id: str,
        heard: _Heard,
        boot: int,
        sequence: int,
        change: upstream_types.ViewChange,
    ) -> None:
        """Apply a change; one that does not follow the last is applied but not confirmed."""
        before = self._view.by_id
        self._view.apply(replica_id, change)
        if self._view.by_id is not before:
            self._sizes_by_service.clear()
        follows = heard.view_boot == boot and sequence == heard.view_sequence + 1
        if change.is_whole or follows:
            heard.view_boot = boot
            heard.view_sequence = sequence
