"""Define the one door of every node and node part: an event goes in, actions come out.

A node is pure. It reads no clock, opens no socket and draws no randomness of its own: the time
is an argument (monotonic seconds) and a seeded generator is handed in at construction. Whatever
runs a node performs the actions in order. Parts inside a node have the same shape, so that each
can be embedded alone.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Tell a node that it runs from now on; always its first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """Hand over a message from another process; the link has authenticated the sender."""

    sender: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class TimeDue:
    """Tell a node that a time it asked for with ``Wake`` has come; early or extra ones are fine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """Tell a node that the write of a ``Persist`` action is on disk."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another process; it may be lost, late, repeated or reordered."""

    to: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Ask for ``TimeDue`` at a monotonic time; only the earliest outstanding one matters."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Append records to the journal and sync; ``Synced(token)`` follows.

    Records are encoded bytes. Several ``Persist`` actions may share one sync.
    """

    records: tuple[bytes, ...]
    token: int


class Node(Protocol):
    """Turn one event into actions."""

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        ...
