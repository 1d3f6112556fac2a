"""Answer operators: put a version of the routing in the log, and read the newest one back."""

from __future__ import annotations

import dataclasses
from typing import Any

from medlarfork.coordination import coordinator_types, routing_state
from medlarfork.replica import replica_types

PUT_LIMIT_S = 3.0
"""How long a change may wait for a majority before its caller is told to ask again, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenPut:
    operation_id: int
    until: float


class RoutingManager:
    """Turn operators' operations into proposals and replies; pure."""

    def __init__(self, replica_id: str, state: routing_state.RoutingState) -> None:
        """Work on the state that the log's commands are applied to."""
        self._replica_id = replica_id
        self._state = state
        self._put_by_proposal: dict[str, _OpenPut] = {}
        self._proposals = 0

    def put(
        self,
        operation_id: int,
        operation: coordinator_types.PutRouting,
        *,
        holds_lease: bool,
        now: float,
    ) -> tuple[Any, ...]:
        """Answer at once what changes nothing, or return the proposal to the log."""
        if holds_lease and operation.version <= self._state.current.version:
            return (coordinator_types.OperationDone(operation_id, coordinator_types.Accepted()),)
        self._proposals += 1
        proposal_id = f"{self._replica_id}-{self._proposals}"
        self._put_by_proposal[proposal_id] = _OpenPut(operation_id, now + PUT_LIMIT_S)
        command = routing_state.pack(operation.version, operation.body)
        return (replica_types.Propose(proposal_id, command),)

    def get(self, *, holds_lease: bool) -> coordinator_types.Reply:
        """Return the newest accepted version; only a leader that is sure of it may say."""
        if not holds_lease:
            return coordinator_types.Unavailable("This replica is not sure that it leads.")
        current = self._state.current
        if current.version == 0:
            return coordinator_types.Unavailable("No version of the routing was accepted yet.")
        return coordinator_types.RoutingFound(current.version, current.body)

    def on_applied(self, proposal_id: str) -> tuple[Any, ...]:
        """Acknowledge a change that is committed."""
        return self._finish(proposal_id, coordinator_types.Accepted())

    def on_refused(self, proposal_id: str, leader_id: str) -> tuple[Any, ...]:
        """Tell the operator that the log did not take a change."""
        reply: coordinator_types.Reply = coordinator_types.Unavailable("Leadership changed.")
        if leader_id and leader_id != self._replica_id:
            reply = coordinator_types.AskLeader(leader_id)
        return self._finish(proposal_id, reply)

    def expire(self, now: float) -> tuple[Any, ...]:
        """Give up waiting for a majority; the change may still be committed later."""
        late = [
            proposal_id for proposal_id, put in self._put_by_proposal.items() if put.until <= now
        ]
        actions: list[Any] = []
        for proposal_id in late:
            reply = coordinator_types.Unavailable("No majority confirmed the change in time.")
            actions += self._finish(proposal_id, reply)
        return tuple(actions)

    def _finish(self, proposal_id: str, reply: coordinator_types.Reply) -> tuple[Any, ...]:
        put = self._put_by_proposal.pop(proposal_id, None)
        if put is None:
            return ()
        return (coordinator_types.OperationDone(put.operation_id, reply),)
