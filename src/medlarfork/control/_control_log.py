"""Connects a replica's log to the replicated state: proposes commands and applies them."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator
from typing import Any, Protocol

from medlarfork.control import _log_clock, replicated_state
from medlarfork.replica import replica, replica_types


class LogReplica(Protocol):
    """Interface of the replicated log; implemented by ``replica.Replica``."""

    @property
    def status(self) -> replica.ReplicaStatus:
        """Return the status for operators."""
        ...

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event and return the actions, in order."""
        ...

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can lead at this time."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A command was applied; ``proposal_id`` is only set on the replica that proposed it."""

    proposal_id: str
    term: int
    reply: Any
    command: bytes = b""


class ControlLog:
    """Proposes commands, and applies committed ones to the state.

    Attributes:
        role: The last role that the replica reported.
        term: The term of that role.
        leader_id: The known leader; empty if unknown.
    """

    def __init__(
        self,
        replica_id: str,
        log_replica: LogReplica,
        state: replicated_state.ReplicatedState,
    ) -> None:
        """Connect a replica and a state, both empty or restored."""
        self.replica_id = replica_id
        self.state = state
        self.role = replica_types.Role.FOLLOWER
        self.term = 0
        self.leader_id = ""
        self._replica = log_replica
        self._events: collections.deque[Any] = collections.deque()
        self._proposals = 0
        self._clock = _log_clock.LogClock()

    @property
    def is_leader(self) -> bool:
        """Return whether the replica leads, as far as it knows."""
        return self.role is replica_types.Role.LEADER

    @property
    def other_leader_id(self) -> str:
        """Return the other replica that leads; empty if this one is a leader, which can't know."""
        return "" if self.is_leader else self.leader_id

    @property
    def status(self) -> replica.ReplicaStatus:
        """Return the replica's status."""
        return self._replica.status

    def holds_lease(self, now: float) -> bool:
        """Return whether no other replica can lead at this time."""
        return self.is_leader and self._replica.holds_lease(now)

    def set_wall_clock(self, replica_id: str, unix_ms: int, now: float) -> None:
        """Record a replica's wall-clock time at a local monotonic time."""
        self._clock.set(replica_id, unix_ms, now)

    def has_agreed_time(self, now: float) -> bool:
        """Return whether enough wall clocks are known to agree on a time for commands."""
        return self._agreed_ms(now) is not None

    def unix_ms(self, now: float) -> int:
        """Return the time for a command, never earlier than that of an applied one."""
        return max(self._agreed_ms(now) or 0, self.state.log_time_ms)

    def enqueue(self, event: Any) -> None:
        """Queue an event for ``run``."""
        self._events.append(event)

    def propose(self, command: replicated_state.Command, proposal_id: str = "") -> str:
        """Queue a command for ``run`` and return the id of its proposal."""
        proposal_id = proposal_id or self.new_proposal_id()
        packed = replicated_state.COMMANDS.pack(command)
        self.enqueue(replica_types.Propose(proposal_id, packed))
        return proposal_id

    def new_proposal_id(self) -> str:
        """Return an id that is unique in this process."""
        self._proposals += 1
        return f"{self.replica_id}-{self._proposals}"

    def run(self, now: float) -> Iterator[Any]:
        """Pass queued events to the replica and yield the remaining actions, in order.

        Each event is passed on only after the actions of the previous one: otherwise a later record
        could reach the journal before an earlier one. The result holds ``Applied``, the replica's
        ``RoleChanged`` and ``ProposalRefused``, and actions for the caller to perform.
        """
        while self._events:
            for action in self._replica.handle(self._events.popleft(), now):
                yield from self._perform(action)

    def _agreed_ms(self, now: float) -> int | None:
        membership = self.status.voters
        voters = (self.replica_id,) if membership is None else membership.voters
        return self._clock.unix_ms(voters, now)

    def _perform(self, action: Any) -> Iterator[Any]:
        match action:
            case replica_types.Apply(_, term, command, proposal_id):
                reply = self.state.apply(command) if command else None
                yield Applied(proposal_id, term, reply, command)
            case replica_types.VotersChanged(_, _, proposal_id):
                yield Applied(proposal_id, self.term, None)
            case replica_types.RoleChanged(role, term, leader_id):
                self.role, self.term, self.leader_id = role, term, leader_id
                yield action
            case replica_types.RestoreSnapshot(_, state):
                self.state.restore(state)
            case replica_types.TakeSnapshot(index):
                self.enqueue(replica_types.SnapshotTaken(index, self.state.encode()))
            case _:
                yield action
