"""Operators' writes and reads of the routing in the replicated log."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.coordination import coordinator_types, routing_state
from medlarfork.replica import replica_types

PUT_TIMEOUT_S = 3.0
"""How long a change may wait for a majority before its caller has to retry, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingPut:
    operation_id: int
    deadline: float


class RoutingManager:
    """Turns operators' operations into proposals and replies. Pure: no I/O, no clock."""

    def __init__(self, replica_id: str, state: routing_state.RoutingState) -> None:
        """Use the state to which the log's commands are applied."""
        self._replica_id = replica_id
        self._state = state
        self._put_by_proposal: dict[str, _PendingPut] = {}
        self._proposals = 0

    def put(
        self,
        operation_id: int,
        operation: coordinator_types.PutRouting,
        *,
        holds_lease: bool,
        now: float,
    ) -> tuple[Any, ...]:
        """Accept a version that changes nothing at once, or return the proposal to the log."""
        if holds_lease and operation.version <= self._state.current.version:
            return (coordinator_types.OperationDone(operation_id, coordinator_types.Accepted()),)
        self._proposals += 1
        proposal_id = f"{self._replica_id}-{self._proposals}"
        self._put_by_proposal[proposal_id] = _PendingPut(operation_id, now + PUT_TIMEOUT_S)
        command = routing_state.pack(operation.version, operation.body)
        return (replica_types.Propose(proposal_id, command),)

    def get(self, *, holds_lease: bool) -> coordinator_types.Reply:
        """Return the newest accepted version, if this replica is sure to lead."""
        if not holds_lease:
            return coordinator_types.Unavailable(
                "This replica can't confirm that it is the leader."
            )
        current = self._state.current
        if current.version == 0:
            return coordinator_types.Unavailable("No version of the routing has been accepted yet.")
        return coordinator_types.RoutingFound(current.version, current.body)

    def on_applied(self, proposal_id: str) -> tuple[Any, ...]:
        """Acknowledge a change that is committed."""
        return self._complete(proposal_id, coordinator_types.Accepted())

    def on_refused(self, proposal_id: str, leader_id: str) -> tuple[Any, ...]:
        """Reply that the log refused a change."""
        reply: coordinator_types.Reply = coordinator_types.Unavailable("Leadership changed.")
        if leader_id and leader_id != self._replica_id:
            reply = coordinator_types.AskLeader(leader_id)
        return self._complete(proposal_id, reply)

    def expire(self, now: float) -> tuple[Any, ...]:
        """Time out changes that wait for a majority; they may still be committed later."""
        expired = [
            proposal_id for proposal_id, put in self._put_by_proposal.items() if put.deadline <= now
        ]
        actions: list[Any] = []
        for proposal_id in expired:
            reply = coordinator_types.Unavailable("No majority confirmed the change in time.")
            actions += self._complete(proposal_id, reply)
        return tuple(actions)

    def _complete(self, proposal_id: str, reply: coordinator_types.Reply) -> tuple[Any, ...]:
        put = self._put_by_proposal.pop(proposal_id, None)
        if put is None:
            return ()
        return (coordinator_types.OperationDone(put.operation_id, reply),)
