"""Agreement on the time of commands, so that no single wall clock decides what expires."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """A replica's wall-clock time, sent to the other replicas once a second."""

    unix_ms: int


class LogClock:
    """Median of the voters' wall clocks.

    The log's time never goes back, so a leader whose clock was far ahead would advance it
    permanently: claims and remembered change ids would expire at once, and keys that carry a time
    would be refused until real time caught up. While fewer than half of the clocks are wrong, the
    agreed time is never ahead of every correct one. It falls behind the correct ones only if some
    of them have not been heard since this process started and a wrong one is behind; nothing
    expires early then.

    Readings are stored as offsets from this process's monotonic clock. A delayed reading seems to
    be behind by its delay, never ahead.
    """

    def __init__(self) -> None:
        """Start without a reading."""
        self._offset_ms_by_replica: dict[str, float] = {}

    def set(self, replica_id: str, unix_ms: int, now: float) -> None:
        """Record a replica's wall-clock time at a monotonic time in seconds."""
        self._offset_ms_by_replica[replica_id] = unix_ms - now * 1000

    def unix_ms(self, voters: Collection[str], now: float) -> int | None:
        """Return the agreed time; None until a majority of the voters has sent its clock."""
        known = self._offset_ms_by_replica
        offsets = sorted(known[voter] for voter in voters if voter in known)
        minority = (len(voters) - 1) // 2
        if not voters or len(offsets) <= len(voters) // 2:
            return None
        # Up to a minority of clocks may be wrong and ahead: skip that many from the top.
        return int(offsets[len(offsets) - 1 - minority] + now * 1000)
