"""Agree on the time that commands carry, so that no single wall clock decides what expires."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """Tell the other replicas a replica's wall-clock time, once a second."""

    unix_ms: int


class LogClock:
    """Take the middle of the wall clocks of the replicas that vote.

    The log's time never goes back, so a leader whose clock lay far ahead would move it there for
    good: claims and remembered change ids would expire at once, and keys that carry their time
    would be refused until real time caught up. While fewer than half of the clocks are wrong,
    the time taken is never ahead of every sound one. It falls behind the sound ones only if some
    of them have not been heard since this process started and a wrong one lies behind; nothing
    expires early then.

    Readings are kept as offsets from this process's monotonic clock. One that travelled long
    seems to lie behind by its delay, never ahead.
    """

    def __init__(self) -> None:
        """Start without a reading."""
        self._offset_ms_by_replica: dict[str, float] = {}

    def set(self, replica_id: str, unix_ms: int, now: float) -> None:
        """Note a replica's wall-clock time as of a monotonic time in seconds."""
        self._offset_ms_by_replica[replica_id] = unix_ms - now * 1000

    def unix_ms(self, voters: Collection[str], now: float) -> int | None:
        """Return the agreed time; None unless a majority of the voters has told its clock."""
        known = self._offset_ms_by_replica
        offsets = sorted(known[voter] for voter in voters if voter in known)
        minority = (len(voters) - 1) // 2
        if not voters or len(offsets) <= len(voters) // 2:
            return None
        # All that may be wrong could lie ahead: as many must not count from the top.
        return int(offsets[len(offsets) - 1 - minority] + now * 1000)
