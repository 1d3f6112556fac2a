"""Follow a leader: append its entries and install its snapshots."""

from __future__ import annotations

from medlarfork.replica import (
    _replica_messages,
    _replica_records,
    _replica_snapshot,
    _replica_state,
    replica_types,
)


class Follower:
    """The follower's side of replication in the current term."""

    def __init__(self, state: _replica_state.ReplicaState) -> None:
        """Start without a leader."""
        self._state = state
        self._receiver = _replica_snapshot.SnapshotReceiver()
        self._verified_index = 0

    def on_new_term(self) -> None:
        """Reset the verified index: of another leader's log, only committed entries are known."""
        self._verified_index = self._state.commit_index

    def on_append(self, leader_id: str, request: _replica_messages.AppendRequest) -> None:
        """Handle entries, or a heartbeat, from the leader of the current term."""
        state = self._state
        previous = request.previous_index
        is_known_to_match = previous <= state.commit_index
        if not is_known_to_match and state.log.term_at(previous) != request.previous_term:
            self._reply(leader_id, request.sent_at, matched=False)
            return
        wrote = self._append_new(request.entries)
        end = previous + len(request.entries)
        self._verified_index = max(self._verified_index, end, state.commit_index)
        state.commit_up_to(min(request.commit_index, self._verified_index))
        if wrote:
            self._reply_when_synced(leader_id, request.sent_at)
        else:
            self._reply(leader_id, request.sent_at, matched=True)

    def on_chunk(self, leader_id: str, chunk: _replica_messages.SnapshotChunk) -> None:
        """Handle a chunk of a snapshot from the leader of the current term."""
        if chunk.index <= self._state.commit_index:
            self._reply(leader_id, chunk.sent_at, matched=True)
            return
        next_offset = self._receiver.accept(chunk)
        data = self._receiver.pop_complete(chunk)
        if data is not None:
            self._install(data)
            self._reply_when_synced(leader_id, chunk.sent_at)
            return
        reply = _replica_messages.SnapshotChunkReply(
            self._state.term, self._state.me, chunk.digest, next_offset, chunk.sent_at
        )
        self._state.send(leader_id, reply)

    def _append_new(self, entries: tuple[_replica_records.Entry, ...]) -> bool:
        """Append new entries, truncating conflicting ones; True if anything was written."""
        state = self._state
        wrote = False
        for entry in entries:
            if entry.index <= state.commit_index:
                continue
            if state.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= state.log.last_index:
                state.log.truncate_from(entry.index)
            state.append(entry)
            wrote = True
        return wrote

    def _install(self, data: bytes) -> None:
        """Replace the state by a snapshot; entries that match and follow it are kept."""
        state = self._state
        snapshot = _replica_records.RECORD_CODEC.unpack(data)
        kept = []
        if state.log.term_at(snapshot.index) == snapshot.term:
            kept = state.log.entries_after(snapshot.index)
        state.install(snapshot, data, kept)
        self._verified_index = max(self._verified_index, snapshot.index)
        state.actions.append(replica_types.RestoreSnapshot(snapshot.index, snapshot.state))

    def _reply(self, leader_id: str, sent_at: float, *, matched: bool) -> None:
        state = self._state
        durable = min(self._verified_index, state.log.durable_index)
        last = state.log.last_index if matched else self._retry_index()
        reply = _replica_messages.AppendReply(state.term, state.me, matched, durable, last, sent_at)
        state.send(leader_id, reply)

    def _retry_index(self) -> int:
        """Return the index after which the leader can retry; beyond it the logs may differ."""
        return self._verified_index

    def _reply_when_synced(self, leader_id: str, sent_at: float) -> None:
        state = self._state
        reply = _replica_messages.AppendReply(
            term=state.term,
            follower=state.me,
            matched=True,
            match_index=self._verified_index,
            last_index=state.log.last_index,
            sent_at=sent_at,
        )
        state.send(leader_id, reply, after=state.log.sequence_at(self._verified_index))
