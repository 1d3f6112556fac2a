"""Keep in the replicated log what duties rest on: the lease, its fence, and the counts of usage.

The counts of a window are fixed before they are first sent, so that every holder, for ever, sends
the same ones. Fences come from the log alone, so none is given twice.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.orders import lease_table, lease_types

RETAINED_WINDOWS = 48
"""Windows whose counts are kept: four minutes of 5 s windows, beyond which a platform that was away
is not told any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class FixUsage:
    """Command: from now on these are the counts of a window; the first ones stay."""

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """Command: the platform has a window's counts."""

    window: int


@dataclasses.dataclass(frozen=True, slots=True)
class FixedWindow:
    """Hold the counts of a window, and whether the platform has them."""

    count_by_account: dict[str, int]
    is_reported: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DutySnapshot:
    """Hold the whole state."""

    leases: bytes = b""
    usage_by_window: dict[int, FixedWindow] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseApplied:
    """Tell that a lease command took its place in the log."""

    command: lease_types.TakeLease | lease_types.RenewLease
    reply: lease_types.LeaseReply


COMMANDS: tuple[type, ...] = (
    lease_types.TakeLease,
    lease_types.RenewLease,
    FixUsage,
    UsageReported,
)
"""Every command class, for the codec of the log."""


class DutyState:
    """Apply commands in log order; deterministic.

    Attributes:
        usage_by_window: The windows whose counts are fixed.
    """

    def __init__(self) -> None:
        """Start without a holder and without windows."""
        self._leases = lease_table.LeaseTable()
        self.usage_by_window: dict[int, FixedWindow] = {}

    def fence(self, lease: str) -> int:
        """Return the highest fence that was given for a lease."""
        return self._leases.fence(lease)

    def holder(self, lease: str) -> str:
        """Return who took a lease last; empty if nobody ever did."""
        return self._leases.holder(lease)

    def apply(self, command: Any) -> Any:
        """Apply a committed command and return what came of it; None if it changed nothing."""
        match command:
            case lease_types.TakeLease() | lease_types.RenewLease():
                return LeaseApplied(command, self._leases.apply_command(command))
            case FixUsage(window, counts) if self.may_fix(window):
                self.usage_by_window[window] = FixedWindow(counts)
                self._forget_oldest()
                return command
            case UsageReported(window) if window in self.usage_by_window:
                fixed = self.usage_by_window[window]
                self.usage_by_window[window] = dataclasses.replace(fixed, is_reported=True)
                return command
        return None

    def may_fix(self, window: int) -> bool:
        """Return whether a window's counts are still open: neither fixed nor long past."""
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

    def _forget_oldest(self) -> None:
        oldest = max(self.usage_by_window) - RETAINED_WINDOWS
        for window in [window for window in self.usage_by_window if window <= oldest]:
            del self.usage_by_window[window]
