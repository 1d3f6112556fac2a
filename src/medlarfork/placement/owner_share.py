"""Work out which part of an upstream's rate limit an owner of placement may use: pure.

A limit holds for all hosts together, while for some time after a replica is lost, cut off or
started again, some entry hosts ask one owner and some another. An owner uses the part of those
entry hosts that may be asking it, so that two owners together keep to the whole.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages

TAKEOVER_S = 3.0
"""Time after an owner was first asked in which entry hosts that have not asked it count as those of
another owner, in seconds: all have chosen anew by then."""


@dataclasses.dataclass(slots=True)
class _Asked:
    """Hold who asks for a shard."""

    since: float
    chosen: set[str] = dataclasses.field(default_factory=set)
    others: set[str] = dataclasses.field(default_factory=set)


class OwnerShare:
    """Keep which entry hosts ask here, and which ask another owner."""

    def __init__(self) -> None:
        """Start unasked, with no entry host known."""
        self._asked_by_shard: dict[placement_messages.Shard, _Asked] = {}
        self._entry_ids: frozenset[str] = frozenset()
        self._most_entries = 0

    def use_entries(self, entry_ids: frozenset[str], most: int) -> None:
        """Take which entry hosts are there now, and the most of them in the last seconds."""
        self._entry_ids = entry_ids
        self._most_entries = most

    def note_chosen(
        self, shard: placement_messages.Shard, entry_id: str, *, is_chosen: bool, now: float
    ) -> None:
        """Take an entry host's word on whether it asks here for a shard."""
        asked = self._asked_by_shard.setdefault(shard, _Asked(now))
        added, removed = (asked.chosen, asked.others) if is_chosen else (asked.others, asked.chosen)
        added.add(entry_id)
        removed.discard(entry_id)

    def forget(self, shard: placement_messages.Shard) -> None:
        """Drop what is known of a shard that nobody asks for."""
        self._asked_by_shard.pop(shard, None)

    def share(self, shard: placement_messages.Shard, now: float) -> float:
        """Return the part of each limit that may be used for a shard, above 0 and at most 1."""
        asked = self._asked_by_shard.get(shard)
        if asked is None or not self._entry_ids:
            return 1.0
        own = self._entry_ids - asked.others
        if now < asked.since + TAKEOVER_S:
            own &= asked.chosen
        count = max(len(own), 1)
        return count / max(self._most_entries, count)
