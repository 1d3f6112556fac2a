"""Define what entry hosts and the replica that leads say to each other about usage."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Hold what one entry host counted in one window; each count only grows."""

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTold:
    """Tell the leader what an entry host counted; repeated until it is confirmed.

    Attributes:
        boot: Names the start of the entry host, whose counts begin anew with each.
        sequence: Grows with each message of that start.
        open_window: The window that the entry host counts in now; earlier ones are complete.
        windows: All windows whose counts grew since what was confirmed.
        ledger: Who confirmed that (see ``UsageReceipt``); 0 if these are all windows there are.
    """

    boot: int
    sequence: int
    open_window: int
    windows: tuple[WindowCounts, ...]
    ledger: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReceipt:
    """Confirm that a leader has all that an entry host told up to a message.

    Attributes:
        boot: The start of the entry host.
        sequence: The message.
        ledger: Names the start of the replica that leads, which knows nothing from before it.
    """

    boot: int
    sequence: int
    ledger: int


USAGE_MESSAGES: tuple[type, ...] = (UsageTold, UsageReceipt)
"""Every message class of this module, for the codec of the links."""
