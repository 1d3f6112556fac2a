"""Floors: the share of slot time guaranteed to each tier while it has tickets queued."""

from __future__ import annotations

import math
from collections.abc import Mapping

_MAX_CREDIT_S = 1.0
"""Maximum credit for an unused floor, in slot-seconds."""
_MAX_DEBT_S = 30.0
"""Maximum debt for use beyond the floor, in slot-seconds."""


class Floor:
    """Account for the slot time that each tier is guaranteed and uses.

    A tier is credited with its floor share of all slots and debited for the slots it uses. A tier
    with positive credit may start a ticket even while higher tiers have tickets queued.
    """

    def __init__(self) -> None:
        """Start without any floor shares."""
        self._share_by_tier: dict[int, float] = {}
        self._credit_by_tier: dict[int, float] = {}
        self._advanced_at = 0.0
        self._slots = 0
        self._floor_slots_by_tier: dict[int, float] = {}

    def set_shares(self, share_by_tier: Mapping[int, float]) -> None:
        """Replace the floor shares; if they add up to more than 1, they are scaled down to 1."""
        divisor = max(1.0, sum(share_by_tier.values()))
        self._share_by_tier = {tier: share / divisor for tier, share in share_by_tier.items()}
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
        """Update the credits for the time since the last call, with the counts during that time."""
        elapsed = max(0.0, now - self._advanced_at)
        self._advanced_at = now
        if slots != self._slots:
            self._set_slots(slots)
        for tier, credit in self._credit_by_tier.items():
            running = running_by_tier.get(tier, 0)
            # Only a tier with tickets queued accrues credit; others only pay off their debt.
            max_credit = _MAX_CREDIT_S if tier in queued_by_tier else 0.0
            if not running and credit == max_credit:
                continue
            floor_slots = self._floor_slots_by_tier[tier]
            used = min(running, math.ceil(floor_slots))
            updated = credit + (floor_slots - used) * elapsed
            self._credit_by_tier[tier] = min(max_credit, max(-_MAX_DEBT_S, updated))

    def slots(self, tier: int) -> float:
        """Return the tier's floor as a number of slots."""
        return self._floor_slots_by_tier.get(tier, 0.0)

    def most_entitled_tier(
        self, running_by_tier: Mapping[int, int], queued_by_tier: Mapping[int, int]
    ) -> int | None:
        """Return the tier with the most credit that has tickets queued and runs below its floor."""
        entitled = [
            (credit, tier)
            for tier, credit in self._credit_by_tier.items()
            if credit > 0 and tier in queued_by_tier
            if running_by_tier.get(tier, 0) < math.ceil(self.slots(tier))
        ]
        return max(entitled)[1] if entitled else None

    def _set_slots(self, slots: int) -> None:
        self._slots = slots
        self._floor_slots_by_tier = {
            tier: share * slots for tier, share in self._share_by_tier.items()
        }
