"""Keep the upstreams whose pools this entry host owns or stands by for, under leases.

Every entry host takes announcements and passes them on to the owner and the standby of the
upstream's pool; only those two keep them.
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
"""Upstreams whose last announcement's number is remembered; the longest silent go first."""

_MAX_ADDRESSES = 6
"""Entry hosts named to an upstream."""

_PERIODS_PER_LEASE = 3
"""Announcements that fit into one lease, so that two of them may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToPool:
    """Action: hand an event to a pool, if it runs here."""

    pool: str
    event: pool_events.UpstreamUp | pool_events.UpstreamChanged | pool_events.UpstreamGone


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLease:
    """Hold one upstream in use.

    Attributes:
        announcement: Its newest announcement.
        heard_at: When that was heard.
        pool: The pool it belongs to.
        conflicts: Further services whose selectors match it; the first declared one has it.
    """

    announcement: upstream.Announcement
    heard_at: float
    pool: str
    conflicts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _LastHeard:
    """Remember the newest announcement of an upstream, also after its lease."""

    incarnation: int
    sequence: int
    left: bool


class PoolDirectory:
    """Order announcements, keep leases and tell pools what changes."""

    def __init__(self, entry_id: str) -> None:
        """Start empty and without a configuration."""
        self._entry_id = entry_id
        self._declared = configuration.Configuration()
        self._owned = ownership.Ownership(entry_id, self._declared, member.View())
        self._lease_by_id: dict[str, UpstreamLease] = {}
        self._last_by_id: collections.OrderedDict[str, _LastHeard] = collections.OrderedDict()
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
        self, declared: configuration.Configuration, owned: ownership.Ownership, now: float
    ) -> tuple[Any, ...]:
        """Put a configuration and a view in force: move upstreams, and tell their new owners."""
        before, self._owned = self._owned, owned
        self._declared = declared
        actions: list[Any] = []
        for upstream_id, lease in tuple(self._lease_by_id.items()):
            pool, conflicts = self._match(lease.announcement)
            if pool != lease.pool or conflicts != lease.conflicts or not owned.serves(pool):
                actions += self._placed(lease.announcement, lease.heard_at, now)
            known = before.serving_hosts(lease.pool) if pool == lease.pool else ()
            new = [item for item in owned.serving_hosts(pool) if item not in known]
            actions += self._pass_on(lease.announcement, new, now - lease.heard_at)
            if upstream_id in self._lease_by_id:
                self._timers.set(upstream_id, lease.heard_at + declared.engine_lease_s)
        return tuple(actions)

    def handle_announcement(
        self, announcement: upstream.Announcement, now: float
    ) -> tuple[Any, ...]:
        """Take an announcement that an upstream made here."""
        if not self._is_news(announcement):
            return ()
        pool, _ = self._match(announcement)
        serving_hosts = self._owned.serving_hosts(pool)
        return (
            *self._keep(announcement, now, now),
            *self._pass_on(announcement, serving_hosts, 0.0),
        )

    def handle_forwarded(self, message: entry_types.UpstreamSeen, now: float) -> tuple[Any, ...]:
        """Take an announcement that another entry host passed on."""
        age_s = max(message.age_s, 0.0)
        if age_s >= self._declared.engine_lease_s or not self._is_news(message.announcement):
            return ()
        return tuple(self._keep(message.announcement, now - age_s, now))

    def expire(self, now: float) -> tuple[Any, ...]:
        """Drop the upstreams that have been silent for the lease."""
        actions: list[Any] = []
        while (upstream_id := self._timers.pop_due(now)) is not None:
            actions += self._drop(upstream_id)
        return tuple(actions)

    def reply(
        self, announcement: upstream.Announcement, view: member.View
    ) -> upstream.AnnouncementReply:
        """Return where the upstream should announce itself next, and how often."""
        pool, _ = self._match(announcement)
        first = self._owned.owners(pool)
        others = (item.entry_id for item in view.members if item.entry_id not in first)
        addresses = tuple(_addresses((*first, *others), view))[:_MAX_ADDRESSES]
        lease_s = self._declared.engine_lease_s
        return upstream.AnnouncementReply(addresses, lease_s / _PERIODS_PER_LEASE, lease_s)

    def _is_news(self, announcement: upstream.Announcement) -> bool:
        """Remember the announcement, unless a newer one or its incarnation's end is known."""
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
        self._last_by_id[announcement.upstream_id] = _LastHeard(
            announcement.incarnation, announcement.sequence, left
        )
        self._last_by_id.move_to_end(announcement.upstream_id)
        if len(self._last_by_id) > _MAX_TRACKED:
            self._last_by_id.popitem(last=False)
        return True

    def _keep(
        self, announcement: upstream.Announcement, heard_at: float, now: float
    ) -> Iterator[Any]:
        yield from self._placed(announcement, heard_at, now)
        if announcement.upstream_id in self._lease_by_id:
            lease_s = self._declared.engine_lease_s
            self._timers.set(announcement.upstream_id, heard_at + lease_s)

    def _placed(
        self, announcement: upstream.Announcement, heard_at: float, now: float
    ) -> list[ToPool]:
        """Note where the upstream belongs now, and return what its old and new pool hear."""
        upstream_id = announcement.upstream_id
        pool, conflicts = self._match(announcement)
        old = self._lease_by_id.get(upstream_id)
        if not self._owned.serves(pool):
            return self._drop(upstream_id)
        if old is None and announcement.state is upstream.UpstreamState.LEAVING:
            return []
        moved = [] if old is None or old.pool == pool else self._drop(upstream_id)
        self._lease_by_id[upstream_id] = UpstreamLease(announcement, heard_at, pool, conflicts)
        if old is not None and old.pool == pool:
            return [ToPool(pool, pool_events.UpstreamChanged(announcement, now - heard_at))]
        return [*moved, ToPool(pool, pool_events.UpstreamUp(announcement, now - heard_at))]

    def _drop(self, upstream_id: str) -> list[ToPool]:
        lease = self._lease_by_id.pop(upstream_id, None)
        self._timers.clear(upstream_id)
        if lease is None:
            return []
        return [ToPool(lease.pool, pool_events.UpstreamGone(upstream_id))]

    def _pass_on(
        self, announcement: upstream.Announcement, serving_hosts: Iterable[str], age_s: float
    ) -> Iterator[node.Send]:
        for entry_id in serving_hosts:
            if entry_id != self._entry_id:
                yield node.Send(entry_id, entry_types.UpstreamSeen(announcement, age_s))

    def _match(self, announcement: upstream.Announcement) -> tuple[str, tuple[str, ...]]:
        """Return the upstream's pool, empty if no service selects it, and other such services."""
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
