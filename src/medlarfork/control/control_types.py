"""Define the events and actions of the control node.

Besides these the node takes ``node.Started``, ``node.MessageReceived``, ``node.TimeDue`` and
``node.Synced`` and returns ``node.Send``, ``node.Wake``, ``node.Persist`` and
``replica_types.SaveSnapshot``. Messages are those of the replica, ``heartbeat`` and ``claim``.
"""

from __future__ import annotations

import dataclasses

from medlarfork.operator import operations


@dataclasses.dataclass(frozen=True, slots=True)
class WallClock:
    """Event: tell the wall-clock time; retention goes by it. Due at start and every second."""

    unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequested:
    """Event: an authenticated operator asks something; ``OperatorAnswered`` follows once."""

    call_id: str
    request: operations.Request


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Event: the process was told to stop gracefully (SIGTERM); ``Stopped`` follows once."""


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorAnswered:
    """Action: answer an operator's call."""

    call_id: str
    reply: operations.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Action: leadership was handed over and no call is in progress; the process may exit."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Action: log that another replica leads, or none (``leader_id`` empty)."""

    leader_id: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderReady:
    """Action: log that this replica leads and has applied all that was committed before."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeApplied:
    """Action: log that a change of configuration was committed."""

    revision: int
    change_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewPublished:
    """Action: log that a view was published, and who joined and left since the one before."""

    version: tuple[int, int]
    joined: tuple[str, ...]
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MessageRejected:
    """Action: log a message that its sender had no right to send."""

    sender: str
    kind: str
