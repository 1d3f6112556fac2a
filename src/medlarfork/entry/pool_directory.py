"""Directory of the upstreams whose pools this entry host owns or is the standby of, with leases.

Every entry host accepts announcements and forwards them to the owner and the standby of the
upstream's pool; only those two store them.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

from medlarfork import member, node, upstream
from medlarfork.declared import configuration
from medlarfork.entry import _timer_heap, entry_types
from medlarfork.pool import ownership, pool_events

_MAX_TRACKED = 20_000
"""Maximum number of upstreams whose last announcement is tracked; the oldest is evicted first."""

_MAX_ADDRESSES = 6
"""Maximum number of entry hosts listed in the reply to an announcement."""

_PERIODS_PER_LEASE = 3
"""Announcement periods per lease: a lease survives the loss of two announcements."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToPool:
    """Action: pass an event to a pool, if it runs here."""

    pool: str
    event: pool_events.UpstreamUp | pool_events.UpstreamChanged | pool_events.UpstreamGone


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLease:
    """Lease of an upstream in use.

    Attributes:
        announcement: The upstream's newest announcement.
        announced_at: When that announcement was received.
        pool: The pool that the upstream belongs to.
        conflicts: Further services whose selectors match; the first one declared gets the upstream.
    """

    announcement: upstream.Announcement
    announced_at: float
    pool: str
    conflicts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastAnnouncement:
    """Order of an upstream's newest announcement; kept after its lease ends."""

    incarnation: int
    sequence: int
    left: bool


class PoolDirectory:
    """Orders announcements, keeps leases and notifies pools of changes."""

    def __init__(self, entry_id: str) -> None:
        """Start empty and without a configuration."""
        self._entry_id = entry_id
        self._declared = configuration.Configuration()
        self._pool_ownership = ownership.Ownership(entry_id, self._declared, member.View())
        self._lease_by_id: dict[str, UpstreamLease] = {}
        self._last_by_id: collections.OrderedDict[str, _LastAnnouncement] = (
            collections.OrderedDict()
        )
        self._timers = _timer_heap.TimerHeap[str]()

    def __len__(self) -> int:
        """Return the number of upstreams in use."""
        return len(self._lease_by_id)

    @property
    def leases(self) -> tuple[UpstreamLease, ...]:
        """Return the upstreams in use."""
        return tuple(self._lease_by_id.values())

    def in_pool(self, pool: str) -> tuple[UpstreamLease, ...]:
        """Return the upstreams of a pool."""
        return tuple(lease for lease in self._lease_by_id.values() if lease.pool == pool)

    def wake_at(self) -> float:
        """Return when the next lease ends."""
        return self._timers.earliest()

    def apply(
        self, declared: configuration.Configuration, pool_ownership: ownership.Ownership, now: float
    ) -> tuple[Any, ...]:
        """Apply a configuration and a view: move upstreams and notify their new owners."""
        before, self._pool_ownership = self._pool_ownership, pool_ownership
        self._declared = declared
        actions: list[Any] = []
        for upstream_id, lease in tuple(self._lease_by_id.items()):
            pool, conflicts = self._match(lease.announcement)
            if (
                pool != lease.pool
                or conflicts != lease.conflicts
                or not pool_ownership.serves(pool)
            ):
                actions += self._update_lease(lease.announcement, lease.announced_at, now)
            known = before.serving_hosts(lease.pool) if pool == lease.pool else ()
            new = [item for item in pool_ownership.serving_hosts(pool) if item not in known]
            actions += self._forward(lease.announcement, new, now - lease.announced_at)
            if upstream_id in self._lease_by_id:
                self._timers.set(upstream_id, lease.announced_at + declared.engine_lease_s)
        return tuple(actions)

    def handle_announcement(
        self, announcement: upstream.Announcement, now: float
    ) -> tuple[Any, ...]:
        """Handle an announcement that an upstream sent to this host."""
        if not self._record_if_newer(announcement):
            return ()
        pool, _ = self._match(announcement)
        serving_hosts = self._pool_ownership.serving_hosts(pool)
        return (
            *self._store(announcement, now, now),
            *self._forward(announcement, serving_hosts, 0.0),
        )

    def handle_forwarded(self, message: entry_types.UpstreamSeen, now: float) -> tuple[Any, ...]:
        """Handle an announcement that another entry host forwarded."""
        age_s = max(message.age_s, 0.0)
        if age_s >= self._declared.engine_lease_s or not self._record_if_newer(
            message.announcement
        ):
            return ()
        return tuple(self._store(message.announcement, now - age_s, now))

    def expire(self, now: float) -> tuple[Any, ...]:
        """Remove the upstreams whose lease has expired."""
        actions: list[Any] = []
        while (upstream_id := self._timers.pop_due(now)) is not None:
            actions += self._drop(upstream_id)
        return tuple(actions)

    def reply(
        self, announcement: upstream.Announcement, view: member.View
    ) -> upstream.AnnouncementReply:
        """Return where the upstream should send its next announcements, and how often."""
        pool, _ = self._match(announcement)
        first = self._pool_ownership.owners(pool)
        others = (item.entry_id for item in view.members if item.entry_id not in first)
        addresses = tuple(_addresses((*first, *others), view))[:_MAX_ADDRESSES]
        lease_s = self._declared.engine_lease_s
        return upstream.AnnouncementReply(addresses, lease_s / _PERIODS_PER_LEASE, lease_s)

    def _record_if_newer(self, announcement: upstream.Announcement) -> bool:
        """Record the announcement and return True, unless it is stale.

        It is stale if a newer one is known, or if its incarnation has left.
        """
        last = self._last_by_id.get(announcement.upstream_id)
        leaving = announcement.state is upstream.UpstreamState.LEAVING
        left = leaving
        if last is not None:
            if announcement.incarnation < last.incarnation:
                return False
            if announcement.incarnation == last.incarnation:
                if announcement.sequence <= last.sequence or (last.left and not leaving):
                    return False
                left = left or last.left
        self._last_by_id[announcement.upstream_id] = _LastAnnouncement(
            announcement.incarnation, announcement.sequence, left
        )
        self._last_by_id.move_to_end(announcement.upstream_id)
        if len(self._last_by_id) > _MAX_TRACKED:
            self._last_by_id.popitem(last=False)
        return True

    def _store(
        self, announcement: upstream.Announcement, announced_at: float, now: float
    ) -> Iterator[Any]:
        yield from self._update_lease(announcement, announced_at, now)
        if announcement.upstream_id in self._lease_by_id:
            lease_s = self._declared.engine_lease_s
            self._timers.set(announcement.upstream_id, announced_at + lease_s)

    def _update_lease(
        self, announcement: upstream.Announcement, announced_at: float, now: float
    ) -> list[ToPool]:
        """Update the upstream's lease and return the events for its old and new pool."""
        upstream_id = announcement.upstream_id
        pool, conflicts = self._match(announcement)
        old = self._lease_by_id.get(upstream_id)
        if not self._pool_ownership.serves(pool):
            return self._drop(upstream_id)
        if old is None and announcement.state is upstream.UpstreamState.LEAVING:
            return []
        moved = [] if old is None or old.pool == pool else self._drop(upstream_id)
        self._lease_by_id[upstream_id] = UpstreamLease(announcement, announced_at, pool, conflicts)
        if old is not None and old.pool == pool:
            return [ToPool(pool, pool_events.UpstreamChanged(announcement, now - announced_at))]
        return [*moved, ToPool(pool, pool_events.UpstreamUp(announcement, now - announced_at))]

    def _drop(self, upstream_id: str) -> list[ToPool]:
        lease = self._lease_by_id.pop(upstream_id, None)
        self._timers.clear(upstream_id)
        if lease is None:
            return []
        return [ToPool(lease.pool, pool_events.UpstreamGone(upstream_id))]

    def _forward(
        self, announcement: upstream.Announcement, serving_hosts: Iterable[str], age_s: float
    ) -> Iterator[node.Send]:
        for entry_id in serving_hosts:
            if entry_id != self._entry_id:
                yield node.Send(entry_id, entry_types.UpstreamSeen(announcement, age_s))

    def _match(self, announcement: upstream.Announcement) -> tuple[str, tuple[str, ...]]:
        """Return the upstream's pool and the conflicting services.

        The pool is empty if no service selects the upstream.
        """
        declared = self._declared
        selecting = [
            service
            for service, selector in zip(declared.services, declared.service_selectors, strict=True)
            if selector.matches(announcement.labels)
        ]
        if not selecting:
            return "", ()
        pool = ownership.pool_of_upstream(selecting[0], announcement.upstream_id)
        return pool, tuple(service.name for service in selecting[1:])


def _addresses(entry_ids: Iterable[str], view: member.View) -> Iterator[str]:
    for entry_id in entry_ids:
        known = view.member_by_id.get(entry_id)
        if known is not None and known.http_address:
            yield known.http_address
