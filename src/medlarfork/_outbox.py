"""Resend messages until their receipt is confirmed."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from collections.abc import Hashable
from typing import Any

_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 4.0
_DUE_PER_CALL = 256
"""Most messages resent in one call, so that the work of one event is bounded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Letter:
    """Hold one unconfirmed message.

    Attributes:
        to: The receiver; empty for whoever leads control at the time of sending.
        tries: How often it has been sent.
        give_up_at: When to stop resending it, in monotonic seconds.
    """

    to: str
    message: Any
    tries: int
    give_up_at: float


class Outbox:
    """Keep a bounded number of unconfirmed messages; the oldest is dropped beyond that."""

    def __init__(self, *, limit: int, patience_s: float) -> None:
        """Start empty; each message is resent for at most ``patience_s`` seconds."""
        self._limit = limit
        self._patience_s = patience_s
        self._letter_by_key: collections.OrderedDict[Hashable, Letter] = collections.OrderedDict()
        self._due: list[tuple[float, int, Hashable]] = []
        self._pushed = 0
        self.dropped = 0

    def __len__(self) -> int:
        """Return the number of unconfirmed messages."""
        return len(self._letter_by_key)

    def __contains__(self, key: Hashable) -> bool:
        """Return whether a message is unconfirmed."""
        return key in self._letter_by_key

    def put(self, key: Hashable, to: str, message: Any, now: float) -> None:
        """Keep a message that has just been sent for the first time."""
        self._letter_by_key.pop(key, None)
        self._letter_by_key[key] = Letter(to, message, 1, now + self._patience_s)
        self._push(now + _FIRST_PAUSE_S, key)
        while len(self._letter_by_key) > self._limit:
            self._letter_by_key.popitem(last=False)
            self.dropped += 1

    def confirm(self, key: Hashable) -> None:
        """Forget a message that was confirmed."""
        self._letter_by_key.pop(key, None)

    def take_due(self, now: float) -> tuple[Letter, ...]:
        """Return the messages to send again now; call again while ``earliest`` has passed."""
        due: list[Letter] = []
        while self.earliest() <= now and len(due) < _DUE_PER_CALL:
            _, _, key = heapq.heappop(self._due)
            letter = self._letter_by_key[key]
            if now >= letter.give_up_at:
                del self._letter_by_key[key]
                self.dropped += 1
                continue
            due.append(letter)
            self._letter_by_key[key] = dataclasses.replace(letter, tries=letter.tries + 1)
            pause_s = min(_FIRST_PAUSE_S * 2**letter.tries, _LONGEST_PAUSE_S)
            self._push(now + pause_s, key)
        return tuple(due)

    def earliest(self) -> float:
        """Return when the next message is due; infinite if there is none."""
        while self._due and self._due[0][2] not in self._letter_by_key:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else float("inf")

    def _push(self, at: float, key: Hashable) -> None:
        self._pushed += 1
        heapq.heappush(self._due, (at, self._pushed, key))
