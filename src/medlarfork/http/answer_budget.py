"""Budget for the bytes of answers that a process holds as a whole.

The load it handles: upstreams that send bytes without end, and bursts of answers of megabytes, on
hosts of 160 to 440 MB. Answers that are no event streams are read completely before they are passed
on, and events until they are complete.

Where there is no room, the largest answer that is still arriving ends: an endless one outgrows
those of other requests. Complete answers keep their bytes until their callers have them.

Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable

from medlarfork import errors

MEMORY_SHARE = 0.15
"""Share of the memory that answers may take; what clients send, and what is held for those that
read slowly, may take most of the rest."""

DEFAULT_BYTES = 256 << 20
"""Limit of a process whose memory is not stated, in bytes."""

MIN_BYTES = 4 << 20
"""Least limit, in bytes, if the stated memory is too small."""

FREE_BYTES = 64 * 1024
"""Size up to which an answer is part of the usual memory of a request and does not count, in
bytes."""


class AnswerBudget:
    """The bytes of all answers that one process holds as a whole.

    Attributes:
        limit_bytes: Limit of what they take; a single answer may exceed it.
        held_bytes: What they take now.
        evictions: Answers that were ended so far because there was no room.
    """

    def __init__(self, memory_mb: float = 0.0, base_mb: float = 0.0) -> None:
        """Derive the limit from the memory that the process may use.

        Args:
            memory_mb: That memory, in megabytes; 0 if not stated.
            base_mb: What the process takes of it without requests, in megabytes.
        """
        self.limit_bytes = DEFAULT_BYTES
        if memory_mb > 0:
            self.limit_bytes = max(int(MEMORY_SHARE * (memory_mb - base_mb) * 1e6), MIN_BYTES)
        self.held_bytes = 0
        self.evictions = 0
        self._leaving_bytes = 0
        self._arriving: dict[AnswerLease, None] = {}

    def resize(self, lease: AnswerLease, size: int) -> None:
        """Record the size that counts of an answer; end others, or itself, until there is room."""
        change = size - lease.size
        lease.size = size
        self.held_bytes += change
        if lease.is_evicted:
            self._leaving_bytes += change
        elif change > 0:
            self._arriving[lease] = None
            self._make_room()
        elif not size:
            self._arriving.pop(lease, None)

    def complete(self, lease: AnswerLease) -> None:
        """Record that an answer has arrived completely, so that it is not ended any more."""
        self._arriving.pop(lease, None)

    def _make_room(self) -> None:
        while self.held_bytes - self._leaving_bytes > self.limit_bytes and self._arriving:
            largest = max(self._arriving, key=lambda lease: lease.size)
            if largest.size == self.held_bytes - self._leaving_bytes:
                return  # The only one.
            del self._arriving[largest]
            self._leaving_bytes += largest.size
            self.evictions += 1
            largest.evict()

    def forget(self, lease: AnswerLease) -> None:
        """Give back what an answer takes."""
        self.resize(lease, 0)
        lease.is_evicted = False


class AnswerLease:
    """What the answer of one request takes of the budget; ``close`` gives it back.

    Attributes:
        size: Bytes that count.
        is_evicted: Whether the answer was ended to make room; it counts until ``close``.
    """

    def __init__(self, budget: AnswerBudget, end: Callable[[], None]) -> None:
        """Start with nothing; ``end`` is called to end the answer while it arrives."""
        self.size = 0
        self.is_evicted = False
        self._budget = budget
        self._end = end

    def resize(self, size: int) -> None:
        """Record the size of what has arrived, in bytes.

        Raises:
            errors.UpstreamError: The answer was ended.
        """
        counted = max(size - FREE_BYTES, 0)
        if counted != self.size:
            self._budget.resize(self, counted)
        self.check()

    def check(self) -> None:
        """Check that the answer was not ended.

        Raises:
            errors.UpstreamError: It was.
        """
        if self.is_evicted:
            raise errors.UpstreamError(
                f"There was no memory for more than {self.size + FREE_BYTES} bytes of the answer.",
                remedy="Check whether the upstream ends its answers; request smaller ones.",
            )

    def complete(self) -> None:
        """Record that the answer has arrived completely."""
        self._budget.complete(self)

    def evict(self) -> None:
        """End the answer; called by the budget."""
        self.is_evicted = True
        self._end()

    def close(self) -> None:
        """Give back what the answer takes."""
        self._budget.forget(self)
