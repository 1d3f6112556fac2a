"""What arrives on one server connection, with the room and the processor time that it takes."""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Iterator

import curio
import h11

from medlarfork.http import _http_stream, receive_budget, turns

HEAD_READ_BYTES = 16 * 1024
"""Maximum bytes per read while no body is expected: requests sent ahead stay in the socket."""

FIELD_BYTES = 700
"""Memory that a parsed header line takes beside its text while its request is served, in bytes."""

ROOMLESS_ANSWER_BYTES = 4 * 1024
"""Answers below this size take no room of their own."""

ROOM_POLL_S = 0.002
"""Interval at which a read looks for room, in seconds: evicted requests end at once."""

MAX_STEPS = 64
"""Reads and chunks of one request after which the connection waits for its turn."""


class Input:
    """Feeds a connection's parser within the budget of its process, and with others in between.

    Attributes:
        is_ahead: Whether the client sent the next request before it got its last answer.
        waiting_since: Monotonic time since which nothing, or hardly anything, has arrived of the
            next request, in seconds; infinite while a complete request is served.
        requests: Complete requests so far.
    """

    __slots__ = (
        "_body_bytes",
        "_budget",
        "_head_bytes",
        "_holding",
        "_parser",
        "_steps",
        "_stream",
        "_turns",
        "is_ahead",
        "requests",
        "waiting_since",
    )

    def __init__(
        self,
        stream: _http_stream.Stream,
        parser: h11.Connection,
        budget: receive_budget.ReceiveBudget,
        own_turns: turns.Turns,
    ) -> None:
        """Create the input of an accepted connection."""
        self._stream = stream
        self._parser = parser
        self._budget = budget
        self._turns = own_turns
        self._holding = receive_budget.Holding(stream.evict)
        self.is_ahead = False
        self.requests = 0
        self.waiting_since = time.monotonic()
        self._head_bytes = 0
        self._body_bytes = 0
        self._steps = 0
        stream.room = self

    @property
    def is_free(self) -> bool:
        """Return whether there is room for a read."""
        return self._budget.has_room

    @property
    def is_evicted(self) -> bool:
        """Return whether the request that arrives was evicted."""
        return self._holding.is_evicted

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that have arrived and are not parsed."""
        return len(self._parser.trailing_data[0])

    async def begin_request(self) -> None:
        """Begin with the next request; one that was sent ahead waits for its turn."""
        self._budget.end_serving(self._holding)
        self._head_bytes = self._body_bytes = self._steps = 0
        self.waiting_since = time.monotonic()
        self._resize()
        self.is_ahead = self._holding.size > 0
        if self.is_ahead:
            await self._turns.wait()

    async def receive_head(self) -> bytes:
        """Read as ``receive`` does, but leave in the socket what is more than a usual head."""
        return await self.receive(HEAD_READ_BYTES)

    async def receive(self, size: int = _http_stream.READ_SIZE) -> bytes:
        """Read what has arrived into the parser, and return it; empty at the end of the stream.

        Raises:
            OSError: If the connection was reset, or the stream is closed.
        """
        await self.step()
        data = await self._stream.receive(size)
        if self.is_evicted:
            return b""
        if data:
            self._parser.receive_data(data)
            if self._budget.record_received(self._holding, len(data)) and self.is_arriving:
                self.waiting_since = time.monotonic()
            self._resize()
        return data

    @property
    def is_arriving(self) -> bool:
        """Return whether no complete request is served now."""
        return self.waiting_since < math.inf

    def evict(self) -> None:
        """End the request that arrives, or the wait for one."""
        self._budget.evict(self._holding)

    async def step(self) -> None:
        """Count a read or a chunk; wait for a turn when the request has taken many."""
        self._steps += 1
        if self._steps >= MAX_STEPS:
            self._steps = 0
            await self._turns.wait()

    @contextlib.contextmanager
    def arriving(self) -> Iterator[None]:
        """Count a request as arriving, while its body is received."""
        self._budget.arriving += 1
        try:
            yield
        finally:
            self._budget.arriving -= 1

    def hold_head(self, text_bytes: int, lines: int) -> None:
        """Hold the memory of a parsed head."""
        self._head_bytes = text_bytes + FIELD_BYTES * lines
        self._resize()

    def hold_body(self, size: int) -> None:
        """Hold the bytes of a body that have been parsed so far, or those of an answer."""
        self._body_bytes = size
        self._resize()

    def try_serve(self) -> bool:
        """Keep what is held until the request is answered; return whether there is room for it."""
        if not self._budget.try_serve(self._holding):
            return False
        self.waiting_since = math.inf
        self.requests += 1
        return True

    @contextlib.contextmanager
    def answering(self, size: int) -> Iterator[None]:
        """Hold an answer while it is written; a caller that is slow to read it may be evicted."""
        if size < ROOMLESS_ANSWER_BYTES:
            yield
            return
        self._budget.end_serving(self._holding)
        self.waiting_since = time.monotonic()
        self.hold_body(self._body_bytes + size)
        self._budget.make_room()
        try:
            yield
        finally:
            self.hold_body(self._body_bytes - size)

    def end(self) -> None:
        """Keep only what is not parsed: what arrives from now on is discarded."""
        self._stream.room = None
        self._budget.end_serving(self._holding)
        self._head_bytes = self._body_bytes = 0
        self._resize()

    def close(self) -> None:
        """Give back what is held."""
        self._budget.release(self._holding)

    def _resize(self) -> None:
        held = self.buffered_bytes + self._head_bytes + self._body_bytes
        self._budget.resize(self._holding, held)

    async def make(self) -> None:
        """Make room for a read, and wait until it is free or the stream is to end."""
        while not (self._budget.make_room() or self.is_evicted):
            if self._stream.closed or self._stream.expired or self._stream.interrupted:
                return
            await curio.sleep(ROOM_POLL_S)
