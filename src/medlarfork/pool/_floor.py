"""Keep each tier's floor: the slot time it is sure of while it has work queued."""

from __future__ import annotations

import math
from collections.abc import Mapping

_MAX_CREDIT_S = 1.0
"""How much unused floor a tier may save up, in seconds of one slot."""
_MAX_DEBT_S = 30.0
"""How much use beyond its floor is held against a tier, in seconds of one slot."""


class Floor:
    """Count slot time earned and used by each tier.

    A tier earns its share of all slots and pays for the slots it uses. With credit left it may
    start next, whatever is queued above it.
    """

    def __init__(self) -> None:
        """Create counters without any shares."""
        self._share_by_tier: dict[int, float] = {}
        self._credit_by_tier: dict[int, float] = {}
        self._advanced = 0.0
        self._slots = 0
        self._earned_by_tier: dict[int, float] = {}

    def set_shares(self, share_by_tier: Mapping[int, float]) -> None:
        """Replace the shares; together they never exceed the whole."""
        total = max(1.0, sum(share_by_tier.values()))
        self._share_by_tier = {tier: share / total for tier, share in share_by_tier.items()}
        credits = self._credit_by_tier
        self._credit_by_tier = {tier: credits.get(tier, 0.0) for tier in share_by_tier}
        self._set_slots(self._slots)

    def advance(
        self,
        now: float,
        slots: int,
        running_by_tier: Mapping[int, int],
        queued_by_tier: Mapping[int, int],
    ) -> None:
        """Count the time since the last call, during which the given numbers held."""
        elapsed = max(0.0, now - self._advanced)
        self._advanced = now
        if slots != self._slots:
            self._set_slots(slots)
        for tier, credit in self._credit_by_tier.items():
            running = running_by_tier.get(tier, 0)
            # Only a tier with work queued saves up; one without just pays off its debt.
            most = _MAX_CREDIT_S if tier in queued_by_tier else 0.0
            if not running and credit == most:
                continue
            earned = self._earned_by_tier[tier]
            used = min(running, math.ceil(earned))
            changed = credit + (earned - used) * elapsed
            self._credit_by_tier[tier] = min(most, max(-_MAX_DEBT_S, changed))

    def slots(self, tier: int) -> float:
        """Return the tier's floor in slots."""
        return self._earned_by_tier.get(tier, 0.0)

    def entitled(
        self, running_by_tier: Mapping[int, int], queued_by_tier: Mapping[int, int]
    ) -> int | None:
        """Return the tier whose floor is owed most and that has tickets queued, if any."""
        owed = [
            (credit, tier)
            for tier, credit in self._credit_by_tier.items()
            if credit > 0 and tier in queued_by_tier
            if running_by_tier.get(tier, 0) < math.ceil(self.slots(tier))
        ]
        return max(owed)[1] if owed else None

    def _set_slots(self, slots: int) -> None:
        self._slots = slots
        self._earned_by_tier = {tier: share * slots for tier, share in self._share_by_tier.items()}
