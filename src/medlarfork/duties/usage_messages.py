"""Usage messages between entry hosts and the leader."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Counts of one entry host in one window; each count only increases."""

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTold:
    """Usage report of an entry host to the leader; resent until it is confirmed.

    Attributes:
        boot: Identifies the start of the entry host; counts restart at zero with each.
        sequence: Increases with each message of that start.
        open_window: The first window that may still change; earlier ones are complete.
        windows: All windows whose counts increased since the last confirmed message.
        ledger: The ``UsageReceipt.ledger`` that confirmed it; 0 if the message has all windows.
    """

    boot: int
    sequence: int
    open_window: int
    windows: tuple[WindowCounts, ...]
    ledger: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReceipt:
    """Confirmation that the leader has received an entry host's counts up to a message.

    Attributes:
        boot: Identifies the start of the entry host.
        sequence: Sequence number of the message.
        ledger: Identifies the start of the leading replica, which has no counts from before it.
    """

    boot: int
    sequence: int
    ledger: int


USAGE_MESSAGES: tuple[type, ...] = (UsageTold, UsageReceipt)
"""All message classes of this module, for the codec of the links."""
