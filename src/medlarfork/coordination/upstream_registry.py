"""Registry of announced upstreams on one replica, with those that have left.

An upstream that is restarted, under its name or another one, is a new incarnation: the state of the
previous one is discarded, and an older incarnation never replaces a newer one.

An incarnation that left is remembered for ``GONE_RETENTION_S``, so that an announcement that the
network delayed can't restore it or displace its successor at the same address.

An announcement for a service that the routing doesn't name never displaces an upstream of one that
it names: its sender may have the address or the name wrong, too.
"""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.coordination import upstream_types

GONE_RETENTION_S = 300.0
"""How long an incarnation that left is remembered, in seconds; far longer than network delays."""

SILENCE_PERIODS = 3.5
"""Announcement periods of silence after which an upstream counts as silent: three may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    announcement: upstream_types.Announcement
    heard_at: float
    is_silent: bool = False


class UpstreamRegistry:
    """Turns announcements into view changes. Pure: no I/O, no clock."""

    def __init__(self, *, announce_period_s: float) -> None:
        """Start empty; upstreams announce themselves every ``announce_period_s`` seconds."""
        self._silent_after_s = SILENCE_PERIODS * announce_period_s
        self._known_by_id: dict[str, _Known] = {}
        self._ids_by_address: dict[str, set[str]] = collections.defaultdict(set)
        self._ids_by_name: dict[str, set[str]] = collections.defaultdict(set)
        self._gone_until_by_id: dict[str, float] = {}
        self._services: frozenset[str] = frozenset()

    def use_services(self, names: frozenset[str]) -> None:
        """Use the names of the services in the current routing."""
        self._services = names

    @property
    def present(self) -> tuple[upstream_types.Announcement, ...]:
        """Return the upstreams that may take requests."""
        known = self._known_by_id.values()
        return tuple(item.announcement for item in known if not item.is_silent)

    def full_view(self) -> upstream_types.ViewChange:
        """Return the full view, for a process that knows nothing."""
        return upstream_types.ViewChange(
            self.present, left=tuple(self._gone_until_by_id), is_whole=True
        )

    def announce(
        self, announcement: upstream_types.Announcement, now: float
    ) -> upstream_types.ViewChange:
        """Apply an announcement and return the resulting view change."""
        upstream_id = announcement.upstream_id
        if upstream_id in self._gone_until_by_id:
            # If it continues to announce itself, it has to be remembered for longer.
            self._gone_until_by_id[upstream_id] = now + GONE_RETENTION_S
            return upstream_types.ViewChange()
        if self.is_misplaced(announcement):
            return upstream_types.ViewChange()
        if announcement.is_leaving:
            return self.withdraw(upstream_id, now)
        known = self._known_by_id.get(upstream_id)
        if known is not None:
            announcement = announcement.with_version_of(known.announcement)
        if known is not None and announcement.sequence < known.announcement.sequence:
            return upstream_types.ViewChange()
        conflicting = self._conflicting(announcement)
        if any(
            announcement.is_outdated_by(other)
            for other in conflicting
            if self._is_named(other) or not self._is_named(announcement)
        ):
            return upstream_types.ViewChange()
        left: tuple[str, ...] = ()
        for other in conflicting:
            left += self._mark_gone(other.upstream_id, now)
        self._store(announcement, now)
        is_known = known is not None and not known.is_silent
        if is_known and known is not None and _same_for_requests(known.announcement, announcement):
            return upstream_types.ViewChange(left=left)
        return upstream_types.ViewChange((announcement,), left)

    def is_misplaced(self, announcement: upstream_types.Announcement) -> bool:
        """Return whether it would displace an upstream of a named service, but is of none."""
        if self._is_named(announcement):
            return False
        known = self._known_by_id.get(announcement.upstream_id)
        return any(map(self._is_named, self._conflicting(announcement))) or (
            known is not None and self._is_named(known.announcement)
        )

    def _is_named(self, announcement: upstream_types.Announcement) -> bool:
        return announcement.service in self._services

    def withdraw(self, upstream_id: str, now: float) -> upstream_types.ViewChange:
        """Record that an incarnation left; a name alone refers to each of its incarnations."""
        named = sorted(self._ids_by_name.get(upstream_id, ()))
        left: tuple[str, ...] = ()
        for gone_id in dict.fromkeys((*named, upstream_id)):
            left += self._mark_gone(gone_id, now)
        return upstream_types.ViewChange(left=left)

    def mark_silent(self, now: float, *, extra_silence_s: float = 0.0) -> upstream_types.ViewChange:
        """Mark upstreams that fell silent; unlike those that left, they may return.

        Args:
            now: The time in seconds.
            extra_silence_s: Silence that is allowed beyond the usual one, in seconds.
        """
        oldest = now - self._silent_after_s - extra_silence_s
        silent = tuple(
            upstream_id
            for upstream_id, known in self._known_by_id.items()
            if known.heard_at < oldest and not known.is_silent
        )
        for upstream_id in silent:
            known = self._known_by_id[upstream_id]
            self._known_by_id[upstream_id] = dataclasses.replace(known, is_silent=True)
        self._expire(now)
        return upstream_types.ViewChange(silent=silent)

    def _expire(self, now: float) -> None:
        """Remove incarnations whose last messages must have arrived by now."""
        for upstream_id, until in tuple(self._gone_until_by_id.items()):
            if until <= now:
                del self._gone_until_by_id[upstream_id]
        for upstream_id, known in tuple(self._known_by_id.items()):
            if known.is_silent and known.heard_at + GONE_RETENTION_S <= now:
                self._remove(upstream_id)

    def _conflicting(
        self, announcement: upstream_types.Announcement
    ) -> tuple[upstream_types.Announcement, ...]:
        """Return other incarnations with its address or name; only one of them can serve."""
        at_address = self._ids_by_address.get(announcement.address, set())
        named = self._ids_by_name.get(announcement.own_name, set())
        conflicting = (at_address | named) - {announcement.upstream_id}
        return tuple(self._known_by_id[other].announcement for other in sorted(conflicting))

    def _store(self, announcement: upstream_types.Announcement, now: float) -> None:
        upstream_id = announcement.upstream_id
        before = self._known_by_id.get(upstream_id)
        if before is not None and before.announcement.address != announcement.address:
            self._remove(upstream_id)
        self._known_by_id[upstream_id] = _Known(announcement, now)
        self._ids_by_address[announcement.address].add(upstream_id)
        self._ids_by_name[announcement.own_name].add(upstream_id)

    def _mark_gone(self, upstream_id: str, now: float) -> tuple[str, ...]:
        """Record that an incarnation is gone; return it if that is new."""
        is_new = upstream_id not in self._gone_until_by_id
        self._gone_until_by_id[upstream_id] = now + GONE_RETENTION_S
        self._remove(upstream_id)
        return (upstream_id,) if is_new else ()

    def _remove(self, upstream_id: str) -> None:
        known = self._known_by_id.pop(upstream_id, None)
        if known is None:
            return
        _discard_id(self._ids_by_address, known.announcement.address, upstream_id)
        _discard_id(self._ids_by_name, known.announcement.own_name, upstream_id)


def _discard_id(ids_by_key: dict[str, set[str]], key: str, upstream_id: str) -> None:
    ids_by_key[key].discard(upstream_id)
    if not ids_by_key[key]:
        del ids_by_key[key]


def _same_for_requests(
    older: upstream_types.Announcement, newer: upstream_types.Announcement
) -> bool:
    """Return whether two announcements of an incarnation are equivalent for placing requests."""
    return dataclasses.replace(older, sequence=0, slow_for_ms=0.0) == dataclasses.replace(
        newer, sequence=0, slow_for_ms=0.0
    )
