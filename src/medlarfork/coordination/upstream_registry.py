"""Keep the upstreams that announce themselves: who may take requests, and who never again.

An upstream that is started again, under its name or another one, is a new incarnation: what is
believed of the one before is void, and an older start never takes the place of a newer one.

An incarnation that left stays known as gone for ``GONE_RETENTION_S``, so that an announcement that
a network kept back for long can't bring it back or displace its successor at the same address.
"""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.coordination import upstream_types

GONE_RETENTION_S = 300.0
"""How long an incarnation that left is remembered, in seconds; far beyond what a network delays."""

SILENCE_PERIODS = 3.5
"""Periods without an announcement after which an upstream counts as silent: three may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    announcement: upstream_types.Announcement
    heard_at: float
    is_silent: bool = False


class UpstreamRegistry:
    """Turn announcements into changes of the view; pure, the time is handed in."""

    def __init__(self, *, announce_period_s: float) -> None:
        """Start empty; ``announce_period_s`` is how often upstreams announce themselves."""
        self._silent_after_s = SILENCE_PERIODS * announce_period_s
        self._known_by_id: dict[str, _Known] = {}
        self._ids_by_address: dict[str, set[str]] = collections.defaultdict(set)
        self._ids_by_name: dict[str, set[str]] = collections.defaultdict(set)
        self._gone_until_by_id: dict[str, float] = {}

    @property
    def present(self) -> tuple[upstream_types.Announcement, ...]:
        """Return the upstreams that may take requests."""
        known = self._known_by_id.values()
        return tuple(item.announcement for item in known if not item.is_silent)

    def whole(self) -> upstream_types.ViewChange:
        """Return all that is known, for a process that knows nothing."""
        return upstream_types.ViewChange(
            self.present, left=tuple(self._gone_until_by_id), is_whole=True
        )

    def announce(
        self, announcement: upstream_types.Announcement, now: float
    ) -> upstream_types.ViewChange:
        """Take an announcement and return what it changes for those that hold the view."""
        upstream_id = announcement.upstream_id
        if upstream_id in self._gone_until_by_id:
            # One that goes on announcing itself is remembered for as long.
            self._gone_until_by_id[upstream_id] = now + GONE_RETENTION_S
            return upstream_types.ViewChange()
        if announcement.is_leaving:
            return self.withdraw(upstream_id, now)
        known = self._known_by_id.get(upstream_id)
        if known is not None and announcement.sequence < known.announcement.sequence:
            return upstream_types.ViewChange()
        rivals = self._rivals(announcement)
        if any(announcement.is_outdated_by(rival) for rival in rivals):
            return upstream_types.ViewChange()
        left: tuple[str, ...] = ()
        for rival in rivals:
            left += self._end(rival.upstream_id, now)
        self._remember(announcement, now)
        is_known = known is not None and not known.is_silent
        if is_known and known is not None and _same_for_requests(known.announcement, announcement):
            return upstream_types.ViewChange(left=left)
        return upstream_types.ViewChange((announcement,), left)

    def withdraw(self, upstream_id: str, now: float) -> upstream_types.ViewChange:
        """Note that an incarnation left for good; by a name alone, each start of that name."""
        named = sorted(self._ids_by_name.get(upstream_id, ()))
        left: tuple[str, ...] = ()
        for ended in dict.fromkeys((*named, upstream_id)):
            left += self._end(ended, now)
        return upstream_types.ViewChange(left=left)

    def mark_silent(self, now: float, *, allowed_s: float = 0.0) -> upstream_types.ViewChange:
        """Drop upstreams that fell silent; unlike those that left, they may come back.

        Args:
            now: The time in seconds.
            allowed_s: How much longer than usual an upstream may be silent, in seconds.
        """
        oldest = now - self._silent_after_s - allowed_s
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
        """Drop what is remembered of incarnations whose last messages must have arrived."""
        for upstream_id, until in tuple(self._gone_until_by_id.items()):
            if until <= now:
                del self._gone_until_by_id[upstream_id]
        for upstream_id, known in tuple(self._known_by_id.items()):
            if known.is_silent and known.heard_at + GONE_RETENTION_S <= now:
                self._forget(upstream_id)

    def _rivals(
        self, announcement: upstream_types.Announcement
    ) -> tuple[upstream_types.Announcement, ...]:
        """Return the other incarnations at its address or of its name, of which one can serve."""
        at_address = self._ids_by_address.get(announcement.address, set())
        named = self._ids_by_name.get(announcement.own_name, set())
        rivals = (at_address | named) - {announcement.upstream_id}
        return tuple(self._known_by_id[rival].announcement for rival in sorted(rivals))

    def _remember(self, announcement: upstream_types.Announcement, now: float) -> None:
        upstream_id = announcement.upstream_id
        before = self._known_by_id.get(upstream_id)
        if before is not None and before.announcement.address != announcement.address:
            self._forget(upstream_id)
        self._known_by_id[upstream_id] = _Known(announcement, now)
        self._ids_by_address[announcement.address].add(upstream_id)
        self._ids_by_name[announcement.own_name].add(upstream_id)

    def _end(self, upstream_id: str, now: float) -> tuple[str, ...]:
        """Remember that an incarnation is gone; return it if that is new."""
        is_new = upstream_id not in self._gone_until_by_id
        self._gone_until_by_id[upstream_id] = now + GONE_RETENTION_S
        self._forget(upstream_id)
        return (upstream_id,) if is_new else ()

    def _forget(self, upstream_id: str) -> None:
        known = self._known_by_id.pop(upstream_id, None)
        if known is None:
            return
        _drop(self._ids_by_address, known.announcement.address, upstream_id)
        _drop(self._ids_by_name, known.announcement.own_name, upstream_id)


def _drop(ids_by_key: dict[str, set[str]], key: str, upstream_id: str) -> None:
    ids_by_key[key].discard(upstream_id)
    if not ids_by_key[key]:
        del ids_by_key[key]


def _same_for_requests(
    older: upstream_types.Announcement, newer: upstream_types.Announcement
) -> bool:
    """Say whether two announcements of one incarnation differ in nothing that requests need."""
    return dataclasses.replace(older, sequence=0, slow_for_ms=0.0) == dataclasses.replace(
        newer, sequence=0, slow_for_ms=0.0
    )
