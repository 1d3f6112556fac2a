"""Operators' operations that need all that was committed when they were asked. Pure.

A follower learns with the leader's next heartbeat what the log has committed. So a replica asks the
leader how far that is, and performs the operation once it has applied as much itself.
"""

from __future__ import annotations

import dataclasses
import itertools

from medlarfork import node
from medlarfork.coordination import coordination_messages, coordinator_types

READ_TIMEOUT_S = 3.0
"""How long an operation may wait for this before its caller has to retry, in seconds: enough for
an election."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    received: coordinator_types.OperationReceived
    deadline: float
    index: int | None = None


class ReadManager:
    """Operations that wait until this replica has applied what is committed."""

    def __init__(self, boot: int) -> None:
        """Start without operations; the boot id tells late replies to an earlier start apart."""
        self._boot = boot
        self._numbers = itertools.count(1)
        self._read_by_number: dict[int, _Read] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no operation waits."""
        return not self._read_by_number

    @property
    def waits_for_index(self) -> bool:
        """Return whether it is unknown for some operation how much is committed."""
        return any(read.index is None for read in self._read_by_number.values())

    def add(self, received: coordinator_types.OperationReceived, now: float) -> None:
        """Add an operation."""
        self._read_by_number[next(self._numbers)] = _Read(received, now + READ_TIMEOUT_S)

    def queries(self, leader_id: str) -> tuple[node.Send, ...]:
        """Return the queries to the leader, those without a reply so far again."""
        return tuple(
            node.Send(leader_id, coordination_messages.CommitQuery(self._boot, number))
            for number, read in self._read_by_number.items()
            if read.index is None
        )

    def confirm(self, reply: coordination_messages.CommitFound) -> None:
        """Handle the leader's reply to a query."""
        read = self._read_by_number.get(reply.number)
        if reply.boot == self._boot and read is not None:
            self._read_by_number[reply.number] = dataclasses.replace(read, index=reply.index)

    def confirm_all(self, commit_index: int) -> None:
        """Use the commit index of this replica, which leads."""
        for number, read in self._read_by_number.items():
            self._read_by_number[number] = dataclasses.replace(read, index=commit_index)

    def take_ready(self, applied_index: int) -> tuple[coordinator_types.OperationReceived, ...]:
        """Remove and return the operations that can be performed now."""
        ready = [
            number
            for number, read in self._read_by_number.items()
            if read.index is not None and read.index <= applied_index
        ]
        return tuple(self._read_by_number.pop(number).received for number in ready)

    def expire(self, now: float) -> tuple[coordinator_types.OperationDone, ...]:
        """Time out operations."""
        expired = [number for number, read in self._read_by_number.items() if read.deadline <= now]
        reply = coordinator_types.Unavailable("No leader confirmed in time what is committed.")
        return tuple(
            coordinator_types.OperationDone(
                self._read_by_number.pop(number).received.operation_id, reply
            )
            for number in expired
        )
