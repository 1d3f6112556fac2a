"""Work out which part of an upstream's rate limit an owner of placement may use: pure.

A limit holds for all hosts together, while for some time after a replica is lost, cut off or
started again, some entry hosts ask one owner and some another. An owner uses the part of those
entry hosts that may be asking it, so that two owners together keep to the whole.
"""

from __future__ import annotations

from medlarfork.placement import placement_messages

TAKEOVER_S = 3.0
"""Time after an owner was first asked in which entry hosts that have not asked it count as those of
another owner, in seconds: all have chosen anew by then."""


class LimitShare:
    """Keep which entry hosts ask here, and which ask another owner."""

    def __init__(self) -> None:
        """Start unasked, with no entry host known."""
        self._asked_since_by_shard: dict[placement_messages.Shard, float] = {}
        self._chosen_by_shard: dict[placement_messages.Shard, set[str]] = {}
        self._left_by_shard: dict[placement_messages.Shard, set[str]] = {}
        self._entry_ids: frozenset[str] = frozenset()
        self._max_entries = 0

    def use_entries(self, entry_ids: frozenset[str], max_entries: int) -> None:
        """Take which entry hosts are there now, and the most of them in the last seconds."""
        self._entry_ids = entry_ids
        self._max_entries = max_entries

    def record_choice(
        self, shard: placement_messages.Shard, entry_id: str, *, is_chosen: bool, now: float
    ) -> None:
        """Take an entry host's word on whether it asks here for a shard."""
        self._asked_since_by_shard.setdefault(shard, now)
        chosen = self._chosen_by_shard.setdefault(shard, set())
        left = self._left_by_shard.setdefault(shard, set())
        added, removed = (chosen, left) if is_chosen else (left, chosen)
        added.add(entry_id)
        removed.discard(entry_id)

    def evict(self, shard: placement_messages.Shard) -> None:
        """Drop what is known of a shard that nobody asks for."""
        for known_by_shard in (
            self._asked_since_by_shard,
            self._chosen_by_shard,
            self._left_by_shard,
        ):
            known_by_shard.pop(shard, None)

    def share(self, shard: placement_messages.Shard, now: float) -> float:
        """Return the part of each limit that may be used for a shard, above 0 and at most 1."""
        since = self._asked_since_by_shard.get(shard)
        if since is None or not self._entry_ids:
            return 1.0
        own = self._entry_ids - self._left_by_shard[shard]
        if now < since + TAKEOVER_S:
            own &= self._chosen_by_shard[shard]
        count = max(len(own), 1)
        return count / max(self._max_entries, count)
