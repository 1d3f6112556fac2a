"""Split an encoded snapshot into chunks and reassemble it."""

from __future__ import annotations

import hashlib

from medlarfork.replica import _replica_messages

DIGEST_BYTES = 16
"""Size of the digest that identifies a snapshot and verifies that it arrived complete."""


def digest_of(data: bytes) -> bytes:
    """Return the digest of an encoded snapshot."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class SnapshotTransfer:
    """Send the chunks of one snapshot, one at a time.

    The transfer keeps its own snapshot, so a newer one taken meanwhile does not restart it.
    """

    def __init__(self, index: int, data: bytes, *, chunk_bytes: int) -> None:
        """Start at the first chunk."""
        self.index = index
        self.digest = digest_of(data)
        self.sent_at = 0.0
        self._data = data
        self._chunk_bytes = chunk_bytes
        self._offset = 0

    @property
    def has_started(self) -> bool:
        """Say whether the follower holds a part of it, which a newer snapshot would discard."""
        return self._offset > 0

    def chunk(self, term: int, now: float) -> _replica_messages.SnapshotChunk:
        """Return the chunk that the follower needs next."""
        self.sent_at = now
        piece = self._data[self._offset : self._offset + self._chunk_bytes]
        return _replica_messages.SnapshotChunk(
            term, self.index, self.digest, len(self._data), self._offset, piece, now
        )

    def advance(self, reply: _replica_messages.SnapshotChunkReply) -> bool:
        """Move to the chunk that the follower asks for; False if there is nothing to send.

        The offset may go back if the follower has restarted; a reply to an earlier chunk is
        ignored.
        """
        is_late = reply.sent_at < self.sent_at
        if reply.digest != self.digest or is_late or reply.next_offset == self._offset:
            return False
        self._offset = reply.next_offset
        return True


class SnapshotReceiver:
    """Reassemble the chunks of one snapshot; a chunk of another one discards them.

    Chunks of the same snapshot from another leader continue it, since the digest is the same.
    """

    def __init__(self) -> None:
        """Start without chunks."""
        self._digest = b""
        self._data = bytearray()

    def accept(self, chunk: _replica_messages.SnapshotChunk) -> int:
        """Append a chunk if it is the next one, and return the next offset needed."""
        if chunk.digest != self._digest:
            self._digest = chunk.digest
            self._data = bytearray()
        if chunk.offset == len(self._data):
            self._data += chunk.data
        return len(self._data)

    def pop_complete(self, chunk: _replica_messages.SnapshotChunk) -> bytes | None:
        """Return the snapshot once it is complete and verified, and drop its data here."""
        if chunk.digest != self._digest or len(self._data) < chunk.total_bytes:
            return None
        data = bytes(self._data)
        self._digest = b""
        self._data = bytearray()
        return data if digest_of(data) == chunk.digest else None
