"""History of views on the leader, from which deltas for entry hosts are computed."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork import heartbeat, member
from medlarfork.control import _member_leases

MAX_CHANGES = 256
"""Maximum past versions that a delta can start from; an older one requires the full view.

Views are at least 0.1 s apart, so this covers several lost heartbeats under the highest load.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Entry hosts that differ between a version and the next one."""

    base_version: tuple[int, int]
    entry_ids: frozenset[str]
    load_changed_ids: frozenset[str]


class ViewHistory:
    """Computes the delta from each past version once; most entry hosts need the same one."""

    def __init__(self, view: member.View) -> None:
        """Start with the first view of a leadership."""
        self._view = view
        self._changes: collections.deque[_Change] = collections.deque(maxlen=MAX_CHANGES)
        self._delta_by_base: dict[tuple[int, int], heartbeat.ViewDelta | None] = {}

    def record(self, published: _member_leases.Publication) -> None:
        """Record the next view."""
        entry_ids = frozenset(item.entry_id for item in (*published.joined, *published.left))
        load_changed_ids = frozenset(published.load_changed_ids)
        self._changes.append(_Change(self._view.version, entry_ids, load_changed_ids))
        self._view = published.view
        self._delta_by_base.clear()

    def since(self, base_version: tuple[int, int]) -> heartbeat.ViewDelta | None:
        """Return the delta from a version to the newest; None to send the full view."""
        if base_version not in self._delta_by_base:
            if not any(change.base_version == base_version for change in self._changes):
                return None
            self._delta_by_base[base_version] = self._make(base_version)
        return self._delta_by_base[base_version]

    def _make(self, base_version: tuple[int, int]) -> heartbeat.ViewDelta | None:
        entry_ids: set[str] = set()
        load_changed_ids: set[str] = set()
        for change in reversed(self._changes):
            entry_ids |= change.entry_ids
            load_changed_ids |= change.load_changed_ids
            if change.base_version == base_version:
                break
        by_id = self._view.member_by_id
        changed = tuple(by_id[entry_id] for entry_id in sorted(entry_ids & by_id.keys()))
        if len(changed) >= len(by_id):
            return None
        load_changed_ids = (load_changed_ids & by_id.keys()) - entry_ids
        return heartbeat.ViewDelta(
            base_version,
            self._view.version,
            changed,
            tuple(sorted(entry_ids - by_id.keys())),
            {entry_id: by_id[entry_id].load for entry_id in sorted(load_changed_ids)},
            len(by_id),
        )
