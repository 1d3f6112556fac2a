"""Budget for the bytes that the connections of a process hold of what their clients send.

The load it handles: crowds of clients that send bodies up to their last byte, heads of many short
fields or requests ahead, and then wait, on hosts of 160 to 440 MB.

Where a read finds no room, requests that are still arriving are evicted, those first that have made
no progress for longest. A complete request keeps its bytes until it is answered; such requests may
take only a share, so that there is always a request to evict.

Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable

READ_BYTES = 64 * 1024
"""Room that a read needs, in bytes: the most that it returns."""

SERVED_SHARE = 0.75
"""Share of the budget that complete requests may take."""

SMALL_SERVED_SHARE = 0.85
"""The same for small requests, which are served when large ones have taken their share."""

SMALL_BYTES = 64 * 1024
"""Bytes up to which a request is small."""

MIN_EVICTED_BYTES = 4 * 1024
"""Bytes below which a connection isn't evicted: it would make hardly any room."""

PROGRESS_BYTES = 4 * 1024
"""Bytes that count as progress: single bytes now and then don't."""


class Holding:
    """What one connection holds.

    Attributes:
        size: Bytes that it holds.
        is_evicted: Whether its request was evicted; it holds its bytes until they are released.
    """

    __slots__ = ("_evict", "is_evicted", "is_served", "received", "size")

    def __init__(self, evict: Callable[[], None]) -> None:
        """Start with nothing; ``evict`` is called once, to end the request that arrives."""
        self._evict = evict
        self.is_evicted = False
        self.is_served = False
        self.received = 0
        self.size = 0

    def evict(self) -> None:
        """End the request that arrives."""
        self.is_evicted = True
        self._evict()


class ReceiveBudget:
    """The bytes that all connections of a process hold together.

    Attributes:
        limit_bytes: Limit of what they hold.
        held_bytes: What they hold now.
        served_bytes: What complete requests hold of it.
        evictions: Requests evicted so far.
        arriving: Requests of which the head has arrived, but not the whole body.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.served_bytes = 0
        self.evictions = 0
        self.arriving = 0
        self._leaving_bytes = 0
        # In the order of their last progress.
        self._evictable: dict[Holding, None] = {}

    @property
    def has_room(self) -> bool:
        """Return whether there is room for a read."""
        return self.held_bytes + READ_BYTES <= self.limit_bytes

    def make_room(self) -> bool:
        """Return whether there is room for a read; evict requests as long as there will be none."""
        while self.held_bytes - self._leaving_bytes + READ_BYTES > self.limit_bytes:
            holding = next(iter(self._evictable), None)
            if holding is None:
                break
            self.evict(holding)
        return self.has_room

    def evict(self, holding: Holding) -> None:
        """End the request that arrives on a connection, which then releases what it holds."""
        if holding.is_evicted or holding.is_served:
            return
        self._evictable.pop(holding, None)
        self._leaving_bytes += holding.size
        self.evictions += 1
        holding.evict()

    def resize(self, holding: Holding, size: int) -> None:
        """Record how much a connection holds now, in bytes."""
        change = size - holding.size
        holding.size = size
        self.held_bytes += change
        if holding.is_served:
            self.served_bytes += change
        elif holding.is_evicted:
            self._leaving_bytes += change
        elif size < MIN_EVICTED_BYTES:
            self._evictable.pop(holding, None)
        elif holding not in self._evictable:
            self._evictable[holding] = None

    def record_received(self, holding: Holding, size: int) -> bool:
        """Record the size of what has arrived in bytes; return whether it made progress."""
        holding.received += size
        if holding.received < PROGRESS_BYTES:
            return False
        holding.received = 0
        if self._evictable.pop(holding, self) is not self:
            self._evictable[holding] = None
        return True

    def try_serve(self, holding: Holding) -> bool:
        """Keep the bytes of a complete request until ``end_serving``, if its share allows that.

        One request is always allowed. One that was evicted meanwhile is not.
        """
        if holding.is_served or holding.is_evicted:
            return holding.is_served
        share = SMALL_SERVED_SHARE if holding.size <= SMALL_BYTES else SERVED_SHARE
        if self.served_bytes and self.served_bytes + holding.size > share * self.limit_bytes:
            return False
        self._evictable.pop(holding, None)
        holding.is_served = True
        self.served_bytes += holding.size
        return True

    def end_serving(self, holding: Holding) -> None:
        """Record that the request is answered, or that its caller is slow to read the answer."""
        if holding.is_served:
            holding.is_served = False
            self.served_bytes -= holding.size
            self.resize(holding, holding.size)

    def release(self, holding: Holding) -> None:
        """Record that a connection holds nothing any more."""
        self.end_serving(holding)
        self.resize(holding, 0)
