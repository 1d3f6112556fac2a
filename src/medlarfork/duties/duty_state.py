"""Replicated state of the duties: the lease with its fence, and the usage counts by window.

The counts of a window are fixed before they are first sent, so that every holder sends the same
counts. Fences are assigned only by the log, so none is used twice.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.orders import lease_table, lease_types

RETAINED_WINDOWS = 48
"""Number of windows whose counts are kept: four minutes of 5 s windows. A platform that was
unavailable for longer does not get the earlier counts."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixUsage:
    """Command: fix the counts of a window; later commands for the same window have no effect."""

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """Command: record that the platform has received a window's counts."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class FixedWindow:
    """Fixed counts of a window, and whether the platform has received them."""

    count_by_account: dict[str, int]
    is_reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DutySnapshot:
    """Complete state for a snapshot."""

    leases: bytes = b""
    usage_by_window: dict[int, FixedWindow] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseApplied:
    """Result of a committed lease command."""

    command: lease_types.TakeLease | lease_types.RenewLease
    reply: lease_types.LeaseReply


COMMANDS: tuple[type, ...] = (
    lease_types.TakeLease,
    lease_types.RenewLease,
    FixUsage,
    UsageReported,
)
"""All command classes, for the codec of the log."""


class DutyState:
    """Lease and usage windows, changed by commands in log order; deterministic.

    Attributes:
        usage_by_window: Windows whose counts are fixed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._leases = lease_table.LeaseTable()
        self.usage_by_window: dict[int, FixedWindow] = {}

    def fence(self, lease: str) -> int:
        """Return the highest fence of a lease; 0 if it was never held."""
        return self._leases.fence(lease)

    def holder(self, lease: str) -> str:
        """Return the last holder of a lease; empty if it was never held."""
        return self._leases.holder(lease)

    def apply(self, command: Any) -> Any:
        """Apply a committed command and return its result; None if it had no effect."""
        match command:
            case lease_types.TakeLease() | lease_types.RenewLease():
                return LeaseApplied(command, self._leases.apply_command(command))
            case FixUsage(window, counts) if self.may_fix(window):
                self.usage_by_window[window] = FixedWindow(counts)
                self._evict_oldest()
                return command
            case UsageReported(window) if window in self.usage_by_window:
                fixed = self.usage_by_window[window]
                self.usage_by_window[window] = dataclasses.replace(fixed, is_reported=True)
                return command
        return None

    def may_fix(self, window: int) -> bool:
        """Return whether a window can still be fixed: neither fixed already nor evicted."""
        if window in self.usage_by_window:
            return False
        return window > max(self.usage_by_window, default=window) - RETAINED_WINDOWS

    def snapshot(self) -> DutySnapshot:
        """Return the state for a snapshot."""
        return DutySnapshot(self._leases.encode(), dict(self.usage_by_window))

    def restore(self, snapshot: DutySnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self._leases.restore(snapshot.leases)
        self.usage_by_window = dict(snapshot.usage_by_window)

    def _evict_oldest(self) -> None:
        oldest = max(self.usage_by_window) - RETAINED_WINDOWS
        for window in [window for window in self.usage_by_window if window <= oldest]:
            del self.usage_by_window[window]
