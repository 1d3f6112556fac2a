"""Events and actions of the control node.

The node also handles ``node.Started``, ``node.MessageReceived``, ``node.TimeDue`` and
``node.Synced`` and returns ``node.Send``, ``node.Wake``, ``node.Persist`` and
``replica_types.SaveSnapshot``. Messages are those of the replica, ``heartbeat`` and ``claim``.
"""

from __future__ import annotations

import dataclasses

from medlarfork.operator import operations


@dataclasses.dataclass(frozen=True, slots=True)
class WallClock:
    """Event: the wall-clock time, on which retention depends; due at start and every second."""

    unix_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRequested:
    """Event: a request of an authenticated operator; ``OperatorAnswered`` follows once."""

    call_id: str
    request: operations.Request


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Event: graceful stop of the process (SIGTERM); ``Stopped`` follows once."""


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
    """Action: log a change of the leader; ``leader_id`` is empty if there is none."""

    leader_id: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderReady:
    """Action: log that this replica leads and has applied everything committed before."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeApplied:
    """Action: log that a change of configuration was committed."""

    revision: int
    change_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewPublished:
    """Action: log a published view, with members that joined and left since the previous one."""

    version: tuple[int, int]
    joined: tuple[str, ...]
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MessageRejected:
    """Action: log a message that its sender was not authorized to send."""

    sender: str
    kind: str
