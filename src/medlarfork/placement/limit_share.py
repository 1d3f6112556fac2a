"""Compute which part of an upstream's rate limit a placement owner may use. Pure.

A limit applies to all entry hosts together. For some time after a replica is lost, cut off or
restarted, some entry hosts ask one owner and some another. Each owner uses the part of the entry
hosts that may be asking it, so that two owners together stay within the limit.
"""

from __future__ import annotations

from medlarfork.placement import placement_messages

TAKEOVER_S = 3.0
"""Time after an owner's first request in which entry hosts that have not asked it count towards
another owner, in seconds. By then all hosts have chosen their owner again."""


class LimitShare:
    """Track which entry hosts ask this owner and which ask another one."""

    def __init__(self) -> None:
        """Start without requests or known entry hosts."""
        self._first_asked_at_by_shard: dict[placement_messages.Shard, float] = {}
        self._chosen_by_shard: dict[placement_messages.Shard, set[str]] = {}
        self._left_by_shard: dict[placement_messages.Shard, set[str]] = {}
        self._entry_ids: frozenset[str] = frozenset()
        self._max_entries = 0

    def use_entries(self, entry_ids: frozenset[str], max_entries: int) -> None:
        """Set the current entry hosts, and their highest number in the last seconds."""
        self._entry_ids = entry_ids
        self._max_entries = max_entries

    def record_choice(
        self, shard: placement_messages.Shard, entry_id: str, *, is_chosen: bool, now: float
    ) -> None:
        """Record whether an entry host asks this owner for a shard."""
        self._first_asked_at_by_shard.setdefault(shard, now)
        chosen = self._chosen_by_shard.setdefault(shard, set())
        left = self._left_by_shard.setdefault(shard, set())
        added, removed = (chosen, left) if is_chosen else (left, chosen)
        added.add(entry_id)
        removed.discard(entry_id)

    def evict(self, shard: placement_messages.Shard) -> None:
        """Remove the state of a shard that no entry host asks for."""
        for known_by_shard in (
            self._first_asked_at_by_shard,
            self._chosen_by_shard,
            self._left_by_shard,
        ):
            known_by_shard.pop(shard, None)

    def share(self, shard: placement_messages.Shard, now: float) -> float:
        """Return the fraction of each limit that may be used for a shard, above 0 and at most 1."""
        first_asked_at = self._first_asked_at_by_shard.get(shard)
        if first_asked_at is None or not self._entry_ids:
            return 1.0
        own = self._entry_ids - self._left_by_shard[shard]
        if now < first_asked_at + TAKEOVER_S:
            own &= self._chosen_by_shard[shard]
        count = max(len(own), 1)
        return count / max(self._max_entries, count)
