"""Decide when to take a snapshot of the state machine, and compact the log afterwards."""

from __future__ import annotations

from medlarfork.replica import _replica_records, _replica_state, replica_types


class Compaction:
    """Request snapshots of the state machine, one at a time."""

    def __init__(self, state: _replica_state.ReplicaState) -> None:
        """Start with no request pending."""
        self._state = state
        self._is_requested = False
        self._saved_by_sequence = 0

    def request_if_due(self) -> None:
        """Request a snapshot if enough entries were applied since the last one.

        The last one must be synced before.
        """
        state = self._state
        if self._is_requested or self._saved_by_sequence > state.disk.synced:
            return
        snapshot_index = 0 if state.snapshot is None else state.snapshot.index
        if state.applied_index - snapshot_index >= state.options.snapshot_every_entries:
            self._is_requested = True
            state.actions.append(replica_types.TakeSnapshot(state.applied_index))

    def on_snapshot_taken(self, event: replica_types.SnapshotTaken) -> None:
        """Save the snapshot, unless a later one has arrived from the leader meanwhile."""
        state = self._state
        self._is_requested = False
        is_old = state.snapshot is not None and event.index <= state.snapshot.index
        if is_old or event.index > state.applied_index:
            return
        snapshot = _replica_records.SnapshotRecord(
            index=event.index,
            term=state.log.term_at(event.index) or 0,
            membership=state.log.membership_at(event.index),
            state=event.state,
        )
        state.save_snapshot(snapshot, _replica_records.RECORD_CODEC.pack(snapshot))
        self._saved_by_sequence = state.disk.written
        state.log.compact(event.index - state.options.trailing_entries)
