"""Number a replica's disk writes and hold back the messages that depend on them."""

from __future__ import annotations

import collections
from typing import Any

from medlarfork import node
from medlarfork.replica import _replica_records, replica_types

MAX_HELD_MESSAGES = 512
"""Maximum number of messages held back; older ones are dropped, as a network might drop them."""


class ReplicaDisk:
    """Turn records into ``Persist`` actions and track what is synced.

    Each record has a sequence number. Writes are performed in order, so a synced write implies
    that all earlier ones are synced too.

    Attributes:
        written: Sequence number of the last record.
        synced: Sequence number up to which everything is on disk.
    """

    def __init__(self, *, max_in_flight: int) -> None:
        """Start with nothing written."""
        self.written = 0
        self.synced = 0
        self._max_in_flight = max_in_flight
        self._token = 0
        self._unflushed: list[bytes] = []
        self._in_flight: collections.deque[tuple[int, int]] = collections.deque()
        self._held: collections.deque[tuple[int, node.Send]] = collections.deque()

    def write(self, record: Any) -> int:
        """Queue a record and return its sequence number."""
        self._unflushed.append(_replica_records.RECORD_CODEC.pack(record))
        self.written += 1
        return self.written

    def save_snapshot(
        self, index: int, snapshot: bytes, records: list[Any]
    ) -> replica_types.SaveSnapshot:
        """Return the action that replaces the journal by a snapshot and these records."""
        packed = tuple(_replica_records.RECORD_CODEC.pack(record) for record in records)
        self._unflushed.clear()
        self.written += 1
        return replica_types.SaveSnapshot(index, snapshot, packed, self._next_token())

    def flush(self) -> tuple[node.Persist, ...]:
        """Return the write of the queued records, unless too many writes are in flight."""
        if not self._unflushed or len(self._in_flight) >= self._max_in_flight:
            return ()
        records = tuple(self._unflushed)
        self._unflushed.clear()
        return (node.Persist(records, self._next_token()),)

    def on_synced(self, token: int) -> None:
        """Record that a write, and so every earlier one, is on disk."""
        while self._in_flight and self._in_flight[0][0] <= token:
            self.synced = self._in_flight.popleft()[1]

    def hold(self, send: node.Send, sequence: int) -> None:
        """Hold back a message until a write is synced."""
        self._held.append((sequence, send))
        if len(self._held) > MAX_HELD_MESSAGES:
            self._held.popleft()

    def release(self) -> list[node.Send]:
        """Remove and return the messages whose writes are synced."""
        ready = [send for sequence, send in self._held if sequence <= self.synced]
        if ready:
            self._held = collections.deque(item for item in self._held if item[0] > self.synced)
        return ready

    def drop_held(self) -> None:
        """Discard the messages held back; they belong to a term that is over."""
        self._held.clear()

    def _next_token(self) -> int:
        self._token += 1
        self._in_flight.append((self._token, self.written))
        return self._token
