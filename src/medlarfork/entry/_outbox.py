"""Outbox that resends messages until their receipt is confirmed."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Hashable
from typing import Any

from medlarfork.entry import _timer_heap

_INITIAL_DELAY_S = 0.5
"""Delay before a message is first resent, in seconds; it doubles with each resend."""

_MAX_DELAY_S = 4.0
"""Maximum delay between resends, in seconds."""

_MAX_DUE_PER_CALL = 256
"""Maximum number of messages resent in one call; it bounds the work of one event."""


@dataclasses.dataclass(frozen=True, slots=True)
class PendingMessage:
    """An unconfirmed message.

    Attributes:
        to: The receiver; empty for the control leader at the time of sending.
        tries: Number of times it has been sent.
        give_up_at: When to stop resending it, in monotonic seconds.
    """

    to: str
    message: Any
    tries: int
    give_up_at: float


class Outbox:
    """Holds a bounded number of unconfirmed messages; beyond the limit the oldest is dropped."""

    def __init__(self, *, limit: int, timeout_s: float) -> None:
        """Start empty; each message is resent for at most ``timeout_s`` seconds."""
        self._limit = limit
        self._timeout_s = timeout_s
        self._pending_by_key: collections.OrderedDict[Hashable, PendingMessage] = (
            collections.OrderedDict()
        )
        self._timers = _timer_heap.TimerHeap[Hashable]()
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of unconfirmed messages."""
        return len(self._pending_by_key)

    def __contains__(self, key: Hashable) -> bool:
        """Return whether a message is unconfirmed."""
        return key in self._pending_by_key

    def put(self, key: Hashable, to: str, message: Any, now: float) -> None:
        """Store a message that has just been sent for the first time."""
        self._pending_by_key.pop(key, None)
        self._pending_by_key[key] = PendingMessage(to, message, 1, now + self._timeout_s)
        self._timers.set(key, now + _INITIAL_DELAY_S)
        while len(self._pending_by_key) > self._limit:
            self._drop(next(iter(self._pending_by_key)))

    def confirm(self, key: Hashable) -> None:
        """Remove a message that was confirmed."""
        self._pending_by_key.pop(key, None)
        self._timers.clear(key)

    def collect_due(self, now: float) -> tuple[PendingMessage, ...]:
        """Return the messages to resend now; call it again while ``earliest`` has passed."""
        due: list[PendingMessage] = []
        while len(due) < _MAX_DUE_PER_CALL and (key := self._timers.pop_due(now)) is not None:
            pending = self._pending_by_key[key]
            if now >= pending.give_up_at:
                self._drop(key)
                continue
            due.append(pending)
            self._pending_by_key[key] = dataclasses.replace(pending, tries=pending.tries + 1)
            delay_s = min(_INITIAL_DELAY_S * 2**pending.tries, _MAX_DELAY_S)
            self._timers.set(key, now + delay_s)
        return tuple(due)

    def earliest(self) -> float:
        """Return when the next message is due; infinite if there is none."""
        return self._timers.earliest()

    def _drop(self, key: Hashable) -> None:
        del self._pending_by_key[key]
        self._timers.clear(key)
        self.dropped += 1
