"""Bootstrap a log whose replicas all have empty disks.

The initial voter with the lowest id is the founder. It asks every other one to bind its disk to
the founder's; a replica does so only once, with an empty disk, and replies after the sync. When
all have accepted, the founder writes the first membership, which lists every disk, as the first
entry of the log.

A single replica whose disk is not empty, or is bound to another founder, prevents the bootstrap
permanently. So a founder that lost its disk can't bootstrap a second log beside the existing one.
"""

from __future__ import annotations

import math

from medlarfork.replica import _replica_messages, _replica_records, _replica_state, replica_types

FIRST_INDEX = 1
"""Index of the first membership."""


class Bootstrap:
    """Send the founder's requests, and answer those of another founder."""

    def __init__(
        self, state: _replica_state.ReplicaState, initial_voters: replica_types.Voters
    ) -> None:
        """Prepare; no request is sent before ``on_due``."""
        self._state = state
        self._voter_ids = tuple(sorted(set(initial_voters.voters)))
        self._disk_by_id: dict[str, int] = {}
        self._request_due = -math.inf

    @property
    def due(self) -> float:
        """Return when ``on_due`` must be called, infinity if never."""
        return self._request_due if self._is_pending_founder() else math.inf

    def on_due(self) -> None:
        """Send requests to the other initial voters, and bootstrap the log if all accepted."""
        state = self._state
        if state.now < self.due:
            return
        self._request_due = state.now + state.options.election_timeout_min_s
        request = _replica_messages.FoundRequest(state.me.disk_id)
        for voter_id in self._voter_ids:
            if voter_id != state.me.replica_id:
                # No disk may be bound to an identity that a crash can still undo.
                state.send(voter_id, request, after=state.disk.written)
        self._bootstrap_if_unanimous()

    def on_request(self, sender: str, request: _replica_messages.FoundRequest) -> None:
        """Bind this disk to the founder if it is still unbound; accept if it is bound to it."""
        state = self._state
        if not self._voter_ids or sender != self._voter_ids[0] or not self._is_empty():
            return
        if state.founder_disk_id == 0:
            state.founder_disk_id = request.founder_disk_id
            state.disk.write(_replica_records.FounderRecord(request.founder_disk_id))
        if state.founder_disk_id != request.founder_disk_id:
            return
        reply = _replica_messages.FoundReply(request.founder_disk_id, state.me.disk_id)
        state.send(sender, reply, after=state.disk.written)

    def on_reply(self, sender: str, reply: _replica_messages.FoundReply) -> None:
        """Record an acceptance."""
        if reply.founder_disk_id != self._state.me.disk_id or not self._is_pending_founder():
            return
        self._disk_by_id[sender] = reply.disk_id
        self._bootstrap_if_unanimous()

    def _is_empty(self) -> bool:
        return self._state.membership is None and self._state.term == 0

    def _is_pending_founder(self) -> bool:
        is_founder = self._voter_ids[:1] == (self._state.me.replica_id,)
        return is_founder and self._is_empty()

    def _bootstrap_if_unanimous(self) -> None:
        state = self._state
        self._disk_by_id[state.me.replica_id] = state.me.disk_id
        if any(voter_id not in self._disk_by_id for voter_id in self._voter_ids):
            return
        voters = tuple(
            _replica_records.Member(voter_id, self._disk_by_id[voter_id])
            for voter_id in self._voter_ids
        )
        state.append(
            _replica_records.Entry(
                FIRST_INDEX,
                0,
                _replica_records.EntryKind.MEMBERSHIP,
                membership=_replica_records.Membership(voters),
            )
        )
