"""Define the single event interface of every node and node part: one event in, actions out.

A node is pure: no I/O, no clock, no randomness of its own. The time is an argument (monotonic
seconds), and a seeded random generator is passed to the constructor. The caller, such as
``runner``, performs the actions in order. Parts of a node have the same interface, so that each
can be used standalone.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """Event: the node has started; always its first event."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """Event: a message from another process arrived; the link has authenticated the sender."""

    sender: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class TimeDue:
    """Event: a time requested with ``Wake`` has come; early or extra events are harmless."""


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """Event: the write of the ``Persist`` action with this token is on disk."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to another process.

    The message may be lost, delayed, duplicated or reordered.
    """

    to: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Action: request ``TimeDue`` at a monotonic time; only the earliest pending one matters."""

    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Action: append records to the journal and sync it; ``Synced(token)`` follows.

    Records are encoded bytes. Several ``Persist`` actions may share one sync.
    """

    records: tuple[bytes, ...]
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Action: report that a part of the node failed; its other parts go on."""

    part: str
    cause: Exception


class Node(Protocol):
    """Handles one event at a time and returns the resulting actions."""

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        ...
