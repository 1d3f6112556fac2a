"""Remember on the leader what changed between views, to tell entry hosts only that."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork import heartbeat, member
from medlarfork.control import _member_leases

MAX_CHANGES = 256
"""Past versions that a delta can start from; a host that holds an older one gets the whole view.

Views are at least 0.1 s apart, so this covers several lost heartbeats in the busiest times.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Hold which entry hosts differ between a version and the next one."""

    base_version: tuple[int, int]
    entry_ids: frozenset[str]
    moved_ids: frozenset[str]


class ViewHistory:
    """Make the delta from each past version once; most entry hosts ask for the same one."""

    def __init__(self, view: member.View) -> None:
        """Start with the first view of a leadership."""
        self._view = view
        self._changes: collections.deque[_Change] = collections.deque(maxlen=MAX_CHANGES)
        self._delta_by_base: dict[tuple[int, int], heartbeat.ViewDelta | None] = {}

    def note(self, published: _member_leases.Publication) -> None:
        """Take the next view."""
        entry_ids = frozenset(item.entry_id for item in (*published.joined, *published.left))
        moved_ids = frozenset(published.moved_ids)
        self._changes.append(_Change(self._view.version, entry_ids, moved_ids))
        self._view = published.view
        self._delta_by_base.clear()

    def since(self, base_version: tuple[int, int]) -> heartbeat.ViewDelta | None:
        """Return the delta from a version to the newest; None if the whole is to be sent."""
        if base_version not in self._delta_by_base:
            if not any(change.base_version == base_version for change in self._changes):
                return None
            self._delta_by_base[base_version] = self._make(base_version)
        return self._delta_by_base[base_version]

    def _make(self, base_version: tuple[int, int]) -> heartbeat.ViewDelta | None:
        entry_ids: set[str] = set()
        moved_ids: set[str] = set()
        for change in reversed(self._changes):
            entry_ids |= change.entry_ids
            moved_ids |= change.moved_ids
            if change.base_version == base_version:
                break
        by_id = self._view.member_by_id
        changed = tuple(by_id[entry_id] for entry_id in sorted(entry_ids & by_id.keys()))
        if len(changed) >= len(by_id):
            return None
        moved_ids = (moved_ids & by_id.keys()) - entry_ids
        return heartbeat.ViewDelta(
            base_version,
            self._view.version,
            changed,
            tuple(sorted(entry_ids - by_id.keys())),
            {entry_id: by_id[entry_id].load for entry_id in sorted(moved_ids)},
            len(by_id),
        )
