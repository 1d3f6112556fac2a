"""Keep the upstreams that announce themselves: who may take requests, and who never again.

An incarnation that left stays known as gone for ``REMEMBER_GONE_S``, so that an announcement that
a network kept back for long can't bring it back or displace its successor at the same address.
"""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import upstream_types

REMEMBER_GONE_S = 300.0
"""How long an incarnation that left is remembered, in seconds; far beyond what a network delays."""

MISSED_ANNOUNCEMENTS = 3.5
"""Periods without an announcement after which an upstream counts as silent: three may be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    announcement: upstream_types.Announcement
    heard_at: float


class UpstreamRegistry:
    """Turn announcements into changes of the view; pure, the time is handed in."""

    def __init__(self, *, announce_period_s: float) -> None:
        """Start empty; ``announce_period_s`` is how often upstreams announce themselves."""
        self._silent_after_s = MISSED_ANNOUNCEMENTS * announce_period_s
        self._known_by_id: dict[str, _Known] = {}
        self._silent_by_id: dict[str, _Known] = {}
        self._id_by_address: dict[str, str] = {}
        self._gone_until_by_id: dict[str, float] = {}

    @property
    def present(self) -> tuple[upstream_types.Announcement, ...]:
        """Return the upstreams that may take requests."""
        return tuple(known.announcement for known in self._known_by_id.values())

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
            return upstream_types.ViewChange()
        if announcement.is_leaving:
            return self.withdraw(upstream_id, now)
        known = self._known_by_id.get(upstream_id) or self._silent_by_id.get(upstream_id)
        if known is not None and announcement.sequence < known.announcement.sequence:
            return upstream_types.ViewChange()
        left = self._displace(announcement, now)
        is_known = upstream_id in self._known_by_id
        self._silent_by_id.pop(upstream_id, None)
        self._known_by_id[upstream_id] = _Known(announcement, now)
        self._id_by_address[announcement.address] = upstream_id
        if is_known and known is not None and _same_for_requests(known.announcement, announcement):
            return upstream_types.ViewChange(left=left)
        return upstream_types.ViewChange((announcement,), left)

    def withdraw(self, upstream_id: str, now: float) -> upstream_types.ViewChange:
        """Note that an incarnation left for good."""
        is_new = upstream_id not in self._gone_until_by_id
        self._gone_until_by_id[upstream_id] = now + REMEMBER_GONE_S
        self._silent_by_id.pop(upstream_id, None)
        self._forget(upstream_id)
        return upstream_types.ViewChange(left=(upstream_id,) if is_new else ())

    def take_silent(self, now: float) -> upstream_types.ViewChange:
        """Drop upstreams that fell silent; unlike those that left, they may come back."""
        oldest = now - self._silent_after_s
        silent = tuple(
            upstream_id
            for upstream_id, known in self._known_by_id.items()
            if known.heard_at < oldest
        )
        for upstream_id in silent:
            self._silent_by_id[upstream_id] = self._known_by_id[upstream_id]
            self._forget(upstream_id)
        self._expire(now)
        return upstream_types.ViewChange(silent=silent)

    def _expire(self, now: float) -> None:
        """Drop what is remembered of incarnations whose last messages must have arrived."""
        for upstream_id, until in tuple(self._gone_until_by_id.items()):
            if until <= now:
                del self._gone_until_by_id[upstream_id]
        for upstream_id, known in tuple(self._silent_by_id.items()):
            if known.heard_at + REMEMBER_GONE_S <= now:
                del self._silent_by_id[upstream_id]

    def _displace(self, announcement: upstream_types.Announcement, now: float) -> tuple[str, ...]:
        """End the incarnations that held the address before, since two can't serve on one."""
        before = [
            upstream_id
            for upstream_id, known in self._silent_by_id.items()
            if known.announcement.address == announcement.address
        ]
        holder = self._id_by_address.get(announcement.address)
        if holder is not None:
            before.append(holder)
        left: tuple[str, ...] = ()
        for upstream_id in before:
            if upstream_id != announcement.upstream_id:
                left += self.withdraw(upstream_id, now).left
        return left

    def _forget(self, upstream_id: str) -> None:
        known = self._known_by_id.pop(upstream_id, None)
        if known is None:
            return
        if self._id_by_address.get(known.announcement.address) == upstream_id:
            del self._id_by_address[known.announcement.address]


def _same_for_requests(
    older: upstream_types.Announcement, newer: upstream_types.Announcement
) -> bool:
    """Say whether two announcements of one incarnation differ in nothing that requests need."""
    return dataclasses.replace(older, sequence=0, slow_for_ms=0.0) == dataclasses.replace(
        newer, sequence=0, slow_for_ms=0.0
    )
