"""Number a replica's disk writes and hold back the messages that rest on them."""

from __future__ import annotations

import collections
from typing import Any

from medlarfork import node
from medlarfork.replica import _replica_records, replica_types

MAX_HELD_MESSAGES = 512
"""Messages held back at most; older ones are dropped as a network might drop them."""


class ReplicaDisk:
    """Turn records into ``Persist`` actions and know what is synced.

    Each record has a sequence number. Writes are performed in order, so a synced one covers all
    before it.

    Attributes:
        written: The sequence number of the last record.
        synced: The sequence number up to which everything is on disk.
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
        """Return the action that replaces everything on disk by a snapshot and these records."""
        packed = tuple(_replica_records.RECORD_CODEC.pack(record) for record in records)
        self._unflushed.clear()
        self.written += 1
        return replica_types.SaveSnapshot(index, snapshot, packed, self._next_token())

    def flush(self) -> tuple[node.Persist, ...]:
        """Return the write of what is queued, unless enough writes are under way."""
        if not self._unflushed or len(self._in_flight) >= self._max_in_flight:
            return ()
        records = tuple(self._unflushed)
        self._unflushed.clear()
        return (node.Persist(records, self._next_token()),)

    def on_synced(self, token: int) -> None:
        """Note that a write, and so every one before it, is on disk."""
        while self._in_flight and self._in_flight[0][0] <= token:
            self.synced = self._in_flight.popleft()[1]

    def hold(self, send: node.Send, sequence: int) -> None:
        """Keep a message until a write is synced."""
        self._held.append((sequence, send))
        if len(self._held) > MAX_HELD_MESSAGES:
            self._held.popleft()

    def release(self) -> list[node.Send]:
        """Return the messages whose writes are synced."""
        ready = [send for sequence, send in self._held if sequence <= self.synced]
        if ready:
            self._held = collections.deque(item for item in self._held if item[0] > self.synced)
        return ready

    def drop_held(self) -> None:
        """Forget held messages; they belong to a term that is over."""
        self._held.clear()

    def _next_token(self) -> int:
        self._token += 1
        self._in_flight.append((self._token, self.written))
        return self._token
