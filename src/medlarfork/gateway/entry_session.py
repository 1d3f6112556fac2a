"""An entry host's session with the replicas: placement owners, routing version and upstreams.

The highest routing version that any replica has sent is in force; it never goes back. The members
of the replicated log are those that the leader of the latest term lists.

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection
from typing import TYPE_CHECKING, Any

from medlarfork import rendezvous
from medlarfork.coordination import (
    coordination_messages,
    status_period,
    upstream_types,
    upstream_view,
)
from medlarfork.placement import placement_messages, shard_choice

if TYPE_CHECKING:
    from medlarfork.gateway import host_count

MIN_OWNER_UPTIME_SHARE = 0.5
"""Minimum uptime of a placement owner, as a share of the longest uptime of any replica: after a
restart of all replicas they qualify equally, while one that restarted alone does not take ownership
back at once."""

JOIN_PERIOD_S = 0.08
"""Status period while a host joins, in seconds. A status sent before the link is up is lost; with
the usual period it would be resent a full period later, first to the seeds and then again to the
other replicas, among them the leader."""

MAX_JOIN_S = 3.0
"""Maximum duration of joining, in seconds after the start: replicas that are down never answer."""

STATUS_DUE_SHARE = 0.9
"""Share of a period after which the status is due again at all replicas: timers are inexact."""

REPLICA_TIMEOUT_S = 4.0
"""Silence after which a replica's view of the upstreams is dropped, in seconds."""


@dataclasses.dataclass(slots=True)
class _ReplicaState:
    """What is known about one replica; times in seconds."""

    heard_at: float
    is_unreachable: bool = False
    up_s: float = 0.0
    period_s: float = status_period.MIN_PERIOD_S
    view_boot: int = 0
    view_sequence: int = 0


class EntrySession:
    """The state that an entry host learns from replicas. No clock: times are arguments."""

    def __init__(self, seeds: tuple[str, ...]) -> None:
        """Start with the seeds as the only known replicas."""
        self._replicas: dict[str, None] = dict.fromkeys(seeds)
        self._state_by_replica: dict[str, _ReplicaState] = {}
        self._view = upstream_view.UpstreamView()
        self._sizes_by_service: dict[
            tuple[str, str | None], dict[placement_messages.Shard, int]
        ] = {}
        self._next_broadcast_at = -math.inf
        self._host_count: host_count.HostCount | None = None
        self._term = 0
        self._members: tuple[str, ...] = ()
        self.leader_id = ""
        self.routing_version = 0

    def status_period_s(self, up_s: float) -> float:
        """Return the time between two statuses, in seconds.

        Args:
            up_s: How long this host has run, in seconds.
        """
        knows_all = (
            self.routing_version > 0 and self._state_by_replica.keys() >= self._replicas.keys()
        )
        return JOIN_PERIOD_S if not knows_all and up_s <= MAX_JOIN_S else self._period_s

    def status_recipients(self, now: float) -> tuple[str, ...]:
        """Return the replicas that get a status now: all of them once per period.

        In between, while the host joins, only replicas that have not answered yet: one hanging
        replica must not cause a message to each of the others every time.
        """
        if now >= self._next_broadcast_at:
            self._next_broadcast_at = now + STATUS_DUE_SHARE * self._period_s
            return self.replicas
        return tuple(name for name in self._replicas if name not in self._state_by_replica)

    @property
    def _period_s(self) -> float:
        periods = (state.period_s for state in self._state_by_replica.values())
        return max(periods, default=status_period.MIN_PERIOD_S)

    @property
    def entry_hosts(self) -> int:
        """Return the number of entry hosts that share limits, at least 1 (see ``host_count``)."""
        return 1 if self._host_count is None else self._host_count.count

    def share(self, now: float) -> float:
        """Return this host's share of a common limit; 0 while it may not be counted."""
        return 0.0 if self._host_count is None else self._host_count.share(now)

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return the replicas to connect to."""
        return tuple(self._replicas)

    @property
    def has_view(self) -> bool:
        """Return whether any replica has sent its view of the upstreams since the start."""
        return any(state.view_boot for state in self._state_by_replica.values())

    @property
    def upstream_by_id(self) -> dict[str, upstream_types.Announcement]:
        """Return the upstreams that may get requests."""
        return self._view.by_id

    @property
    def addresses_by_service(self) -> dict[str, list[str]]:
        """Return the addresses of these upstreams."""
        addresses_by_service: dict[str, list[str]] = {}
        for upstream in self._view.by_id.values():
            addresses_by_service.setdefault(upstream.service, []).append(upstream.address)
        return addresses_by_service

    def find_upstream(self, upstream_id: str) -> upstream_types.Announcement | None:
        """Return an upstream if it may get requests now."""
        return self._view.by_id.get(upstream_id)

    def is_replaced(self, upstream: upstream_types.Announcement) -> bool:
        """Return whether another incarnation has taken an upstream's address or name."""
        present = self._view.by_id
        return upstream.upstream_id not in present and any(
            item.address == upstream.address or item.own_name == upstream.own_name
            for item in present.values()
        )

    def lacks_version(self, service: str, version: str, excluded: Collection[str]) -> bool:
        """Return whether no upstream of a version may get a request, as far as any is known.

        Args:
            service: The service.
            version: The version.
            excluded: Upstreams that are not to be used.
        """
        return self.has_view and not any(
            item.service == service and item.version == version and item.upstream_id not in excluded
            for item in self._view.by_id.values()
        )

    def shards(
        self, service: str, key: str, version: str | None = None
    ) -> tuple[placement_messages.Shard, placement_messages.Shard | None]:
        """Return the shard that serves an affinity key, and the one to ask while that is busy.

        The second is None if there is only one shard with upstreams of the version.
        """
        return shard_choice.choose(key, self._sizes(service, version), service)

    def service_shards(
        self, service: str, version: str | None = None
    ) -> tuple[placement_messages.Shard, ...]:
        """Return all shards of a service that have upstreams of a version, or any."""
        return tuple(self._sizes(service, version))

    def resolve_shard(self, shard: placement_messages.Shard) -> placement_messages.Shard:
        """Return a shard with the current shard count; an index beyond it wraps around."""
        sizes = self._sizes(shard.service)
        count = next((known.count for known in sizes), 1)
        return placement_messages.Shard(shard.service, shard.index % count, count)

    def shard_of(self, upstream: upstream_types.Announcement) -> placement_messages.Shard:
        """Return the current shard of an upstream."""
        first = self.resolve_shard(placement_messages.Shard(upstream.service))
        index = rendezvous.jump_hash(upstream.upstream_id, first.count)
        return dataclasses.replace(first, index=index)

    def _sizes(
        self, service: str, version: str | None = None
    ) -> dict[placement_messages.Shard, int]:
        sizes = self._sizes_by_service.get((service, version))
        if sizes is None:
            sizes = shard_choice.sizes(service, self._view.by_id.values(), version)
            self._sizes_by_service[service, version] = sizes
        return sizes

    def owner(self, shard: placement_messages.Shard, now: float) -> str:
        """Return the replica that owns placement on a shard; empty if no replica is alive.

        Entry hosts agree on it without coordination, by a hash over the live replicas. An
        unreachable replica is skipped until it sends a message again. A replica that has just
        started knows neither running requests nor cached prompts, so it is not chosen beside others
        with a much longer uptime. No correctness guarantee depends on there being one owner.
        """
        up_s_by_id = {
            replica_id: state.up_s
            for replica_id, state in self._state_by_replica.items()
            if now - state.heard_at <= status_period.OWNER_PERIODS * state.period_s
            and not state.is_unreachable
        }
        min_up_s = MIN_OWNER_UPTIME_SHARE * max(up_s_by_id.values(), default=0.0)
        settled = sorted(name for name, up_s in up_s_by_id.items() if up_s >= min_up_s)
        owners = shard_choice.owners(shard.service, shard.count, tuple(settled))
        return owners[shard.index % shard.count] if owners else ""

    def mark_unreachable(self, replica_id: str) -> bool:
        """Skip an unreachable replica as an owner until it sends a message.

        Returns:
            Whether it was not marked before.
        """
        state = self._state_by_replica.get(replica_id)
        if state is None or state.is_unreachable:
            return False
        state.is_unreachable = True
        return True

    def is_unresponsive(self, replica_id: str, now: float) -> bool:
        """Return whether a replica that did not reply has sent nothing else either.

        Requests placed without an owner overload engines and delay streams, so little more than one
        status period without a message is enough to skip the replica.
        """
        state = self._state_by_replica.get(replica_id)
        if state is None:
            return False
        is_silent = now - state.heard_at > status_period.SUSPECT_PERIODS * state.period_s
        return state.is_unreachable or is_silent

    def record_contact(self, replica_id: str, now: float) -> None:
        """Record that a replica has sent a message."""
        state = self._state_by_replica.setdefault(replica_id, _ReplicaState(now))
        state.heard_at = now
        state.is_unreachable = False

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add replicas to connect to."""
        self._replicas.update(dict.fromkeys(seeds))

    def apply_message(self, replica_id: str, message: Any, now: float) -> None:
        """Apply a replica's message other than a routing version."""
        self.record_contact(replica_id, now)
        state = self._state_by_replica[replica_id]
        match message:
            case coordination_messages.ReplicaStatus():
                state.up_s = message.up_s
                self._record_host_count(replica_id, message, now)
                state.period_s = message.period_s
                self._apply_status(message)
            case coordination_messages.ViewPush(boot, sequence, change):
                self._apply_view(replica_id, state, boot, sequence, change)

    def _record_host_count(
        self, replica_id: str, status: coordination_messages.ReplicaStatus, now: float
    ) -> None:
        if self._host_count is None:
            # Imported with the first status: it makes the start-up slower.
            from medlarfork.gateway import host_count

            self._host_count = host_count.HostCount()
        self._host_count.record(replica_id, status, now)

    def accept_routing(self, replica_id: str, version: int, now: float) -> bool:
        """Accept an offered routing version if it is newer than the one in force.

        Returns:
            Whether it was accepted.
        """
        self.record_contact(replica_id, now)
        if version <= self.routing_version:
            return False
        self.routing_version = version
        return True

    def status_for(
        self,
        replica_id: str,
        *,
        address: str,
        zone: str,
        is_ready: bool,
        capacity: float = 0.0,
        utilisation: float = 0.0,
        relay: str = "",
        unreachable: tuple[str, ...] = (),
        is_cut_off: bool = False,
    ) -> coordination_messages.EntryStatus:
        """Return the status message for a replica."""
        state = self._state_by_replica.get(replica_id, _ReplicaState(0.0))
        return coordination_messages.EntryStatus(
            address,
            zone,
            is_ready,
            self.routing_version,
            state.view_boot,
            state.view_sequence,
            capacity,
            utilisation,
            relay,
            unreachable,
            is_cut_off,
        )

    def drop_silent_replicas(self, now: float) -> None:
        """Drop the views of replicas that have timed out, unless all have."""
        silent = [
            replica_id
            for replica_id, state in self._state_by_replica.items()
            if now - state.heard_at > REPLICA_TIMEOUT_S
        ]
        if len(silent) == len(self._state_by_replica):
            return
        for replica_id in silent:
            del self._state_by_replica[replica_id]
            self._view.remove_replica(replica_id)
            self._sizes_by_service.clear()
            if self._members and replica_id not in self._members:
                self._replicas.pop(replica_id, None)

    def _apply_status(self, status: coordination_messages.ReplicaStatus) -> None:
        self._replicas.update(dict.fromkeys(status.members))
        if status.term > self._term or (status.term == self._term and status.leader_id):
            self._term = status.term
            self._members = status.members or self._members
            self.leader_id = status.leader_id

    def _apply_view(
        self,
        replica_id: str,
        state: _ReplicaState,
        boot: int,
        sequence: int,
        change: upstream_types.ViewChange,
    ) -> None:
        """Apply a view change; one after a gap in the sequence is applied but not confirmed."""
        previous = self._view.by_id
        self._view.apply(replica_id, change)
        if self._view.by_id is not previous:
            self._sizes_by_service.clear()
        follows = state.view_boot == boot and sequence == state.view_sequence + 1
        if change.is_whole or follows:
            state.view_boot = boot
            state.view_sequence = sequence
