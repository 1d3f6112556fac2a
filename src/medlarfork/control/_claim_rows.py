"""Compact storage of claims: a digest of the key and one packed row for each."""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import heapq
from collections.abc import Iterator

from medlarfork import claim

DIGEST_BYTES = 15
"""Size of a key's digest and of a row; a ``bytes`` object of 16 bytes takes 16 bytes more."""

_BODY_BYTES = 6
"""Size of a body's digest. A caller that forges a collision only deceives itself."""

_EXPIRY = slice(0, 6)
_ACCOUNT = slice(6, 8)
_STATE = 8
_BODY = slice(9, 15)


class State(enum.IntEnum):
    """Progress of a claim."""

    RUNNING = 0
    MAY_HAVE_RUN = 1
    RAN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """Data kept of a claim until it expires; ``account`` is a number."""

    expires_at_ms: int
    account: int
    state: State
    body: bytes

    def pack(self) -> bytes:
        """Encode the row into bytes of a fixed size."""
        expiry = self.expires_at_ms.to_bytes(6, "big")
        return expiry + self.account.to_bytes(2, "big") + bytes((self.state,)) + self.body


def unpack(packed: bytes) -> ClaimRow:
    """Decode a packed row."""
    expires_at_ms = int.from_bytes(packed[_EXPIRY], "big")
    account = int.from_bytes(packed[_ACCOUNT], "big")
    return ClaimRow(expires_at_ms, account, State(packed[_STATE]), packed[_BODY])


def key_digest(key: claim.ClaimKey) -> bytes:
    """Return the digest that identifies a key."""
    text = f"{len(key.account)}:{key.account}{key.key}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def body_digest(body_sha256: str) -> bytes:
    """Return the digest that identifies a body among those of one key."""
    return hashlib.blake2b(body_sha256.encode(), digest_size=_BODY_BYTES).digest()


class ClaimRows:
    """Rows by digest of the key, with an index by time of expiry.

    The index has one bucket per time step, so a claim takes one list item instead of an entry of
    its own in a heap. Rows of a step are found once the complete step has passed.
    """

    def __init__(self, *, step_ms: int) -> None:
        """Start empty."""
        self._step_ms = step_ms
        self._row_by_digest: dict[bytes, bytes] = {}
        self._digests_by_step: dict[int, list[bytes]] = {}
        self._steps: list[int] = []

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._row_by_digest)

    def get(self, digest: bytes) -> ClaimRow | None:
        """Return the row of a digest, if there is one."""
        packed = self._row_by_digest.get(digest)
        return None if packed is None else unpack(packed)

    def add(self, digest: bytes, row: ClaimRow) -> None:
        """Add a row for a digest that has none."""
        self._row_by_digest[digest] = row.pack()
        self._index(digest, row.expires_at_ms)

    def set_state(self, digest: bytes, state: State) -> None:
        """Change a row's state."""
        packed = self._row_by_digest[digest]
        self._row_by_digest[digest] = packed[:_STATE] + bytes((state,)) + packed[_STATE + 1 :]

    def remove(self, digest: bytes) -> None:
        """Remove a row."""
        del self._row_by_digest[digest]

    def expired(self, now_ms: int) -> Iterator[tuple[bytes, ClaimRow]]:
        """Yield expired rows; each must be removed before the next is requested.

        Within a step the order is the reverse of insertion, also after a snapshot: replicas that
        stop after the same number have removed the same rows.
        """
        while self._steps and (self._steps[0] + 1) * self._step_ms <= now_ms + 1:
            step = self._steps[0]
            digests = self._digests_by_step[step]
            while digests:
                digest = digests.pop()
                row = self.get(digest)
                # A claim that was abandoned and granted again is listed twice.
                if row is not None and row.expires_at_ms // self._step_ms == step:
                    yield digest, row
            del self._digests_by_step[step]
            heapq.heappop(self._steps)

    def pack(self) -> tuple[bytes, bytes]:
        """Return all digests and all rows, in the order of insertion."""
        return b"".join(self._row_by_digest), b"".join(self._row_by_digest.values())

    def restore(self, digests: bytes, rows: bytes) -> collections.Counter[int]:
        """Add all rows that ``pack`` returned, and return the number of rows of each account."""
        count_by_account: collections.Counter[bytes] = collections.Counter()
        for start in range(0, len(digests), DIGEST_BYTES):
            digest = digests[start : start + DIGEST_BYTES]
            packed = rows[start : start + DIGEST_BYTES]
            self._row_by_digest[digest] = packed
            self._index(digest, int.from_bytes(packed[_EXPIRY], "big"))
            count_by_account[packed[_ACCOUNT]] += 1
        counts = count_by_account.items()
        return collections.Counter({int.from_bytes(key, "big"): count for key, count in counts})

    def _index(self, digest: bytes, expires_at_ms: int) -> None:
        step = expires_at_ms // self._step_ms
        digests = self._digests_by_step.get(step)
        if digests is None:
            digests = self._digests_by_step[step] = []
            heapq.heappush(self._steps, step)
        digests.append(digest)
