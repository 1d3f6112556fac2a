"""A replica's log in memory, with the index up to which it is on disk."""

from __future__ import annotations

from medlarfork.replica import _replica_records


class ReplicaLog:
    """Hold the entries after a base index.

    Each entry has the sequence number of the disk write that holds it. A later entry always has
    a later write, so the synced part of the log is a prefix.

    Attributes:
        base_index: The index before the first entry held in memory.
        durable_index: The last index of the synced prefix.
    """

    def __init__(self, snapshot: _replica_records.SnapshotRecord | None) -> None:
        """Start empty, after the snapshot if there is one."""
        self.base_index = 0
        self.durable_index = 0
        self._base_term = 0
        self._base_sequence = 0
        self._base_membership: _replica_records.Membership | None = None
        self._entries: list[_replica_records.Entry] = []
        self._sequences: list[int] = []
        self._membership_indexes: list[int] = []
        if snapshot is not None:
            self.restart_from(snapshot, sequence=0)
            self.durable_index = snapshot.index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> _replica_records.Membership | None:
        """Return the latest membership in the log, committed or not."""
        return self.membership_at(self.last_index)

    @property
    def membership_index(self) -> int:
        """Return the index of the latest membership entry, or the base index."""
        return self._membership_indexes[-1] if self._membership_indexes else self.base_index

    def membership_at(self, index: int) -> _replica_records.Membership | None:
        """Return the membership as of an index."""
        for at in reversed(self._membership_indexes):
            if at <= index:
                return self.entry(at).membership
        return self._base_membership

    def entry(self, index: int) -> _replica_records.Entry:
        """Return the entry at an index after the base."""
        return self._entries[index - self.base_index - 1]

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is compacted or beyond the log's end."""
        if index == self.base_index:
            return self._base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entry(index).term

    def sequence_at(self, index: int) -> int:
        """Return the sequence number of the disk write that holds an index."""
        if index <= self.base_index:
            return self._base_sequence
        return self._sequences[index - self.base_index - 1]

    def entries_from(
        self, index: int, *, count: int, size_bytes: int
    ) -> tuple[_replica_records.Entry, ...]:
        """Return up to ``count`` entries, starting at an index.

        The first one is returned even if its command exceeds ``size_bytes``.
        """
        start = index - self.base_index - 1
        batch: list[_replica_records.Entry] = []
        for entry in self._entries[start : start + count]:
            size_bytes -= len(entry.command)
            if batch and size_bytes < 0:
                break
            batch.append(entry)
        return tuple(batch)

    def entries_after(self, index: int) -> list[_replica_records.Entry]:
        """Return every entry after an index."""
        return self._entries[max(0, index - self.base_index) :]

    def append(self, entry: _replica_records.Entry, sequence: int) -> None:
        """Append the entry that follows the last one."""
        self._entries.append(entry)
        self._sequences.append(sequence)
        if entry.membership is not None:
            self._membership_indexes.append(entry.index)

    def truncate_from(self, index: int) -> None:
        """Remove the entries at an index and above."""
        kept = index - self.base_index - 1
        del self._entries[kept:]
        del self._sequences[kept:]
        while self._membership_indexes and self._membership_indexes[-1] >= index:
            self._membership_indexes.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def sync_up_to(self, sequence: int) -> None:
        """Advance ``durable_index``: every write up to this one is on disk."""
        if self.durable_index < self.base_index and self._base_sequence <= sequence:
            self.durable_index = self.base_index
        if self.durable_index < self.base_index:
            return
        while self.durable_index < self.last_index:
            if self.sequence_at(self.durable_index + 1) > sequence:
                return
            self.durable_index += 1

    def compact(self, index: int) -> None:
        """Remove the entries up to an index, which a snapshot covers."""
        if index <= self.base_index:
            return
        membership = self.membership_at(index)
        term = self.term_at(index)
        sequence = self.sequence_at(index)
        dropped = index - self.base_index
        del self._entries[:dropped]
        del self._sequences[:dropped]
        self._membership_indexes = [at for at in self._membership_indexes if at > index]
        self.base_index = index
        self._base_term = term or 0
        self._base_sequence = sequence
        self._base_membership = membership

    def restart_from(self, snapshot: _replica_records.SnapshotRecord, sequence: int) -> None:
        """Remove all entries and continue after a snapshot that the given write makes durable."""
        self._entries.clear()
        self._sequences.clear()
        self._membership_indexes.clear()
        self.base_index = snapshot.index
        self.durable_index = 0
        self._base_term = snapshot.term
        self._base_sequence = sequence
        self._base_membership = snapshot.membership
