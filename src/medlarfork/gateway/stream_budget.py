"""Budget for the bytes that an entry host holds for callers that read slowly.

The load it handles: callers that pause for seconds while their upstream continues to send, on hosts
of 160 to 440 MB. An upstream cuts off a response that stays unread for some seconds, so the host
reads on and holds what the caller has not read yet.

A stream's allowance is the smaller of the limit for each stream and the part of the host's limit
that is still free. While the host's limit is approached, the allowance falls below what the streams
hold that hold the most, so these pause first and the others continue.

Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from medlarfork.gateway import entry_load

HOST_SHARE = 0.2
"""Share of the memory for requests that held bytes may take. On the smallest hosts that is 16 MB of
80, so at least 400 of their 500 requests fit beside it."""

STREAMS_PER_HOST = 16
"""Limit for the host in units of the limit for one stream. The smallest hosts then hold 1 MB for a
stream: several times a long answer of tokens, and two seconds of their link."""

MIN_HOST_BYTES = 1 << 20
"""Least limit for the host, in bytes, if the stated memory is too small."""

StreamT = TypeVar("StreamT", bound=Hashable)


class StreamBudget(Generic[StreamT]):
    """The bytes that one entry host holds, and which streams may continue to read.

    Attributes:
        host_bytes: Limit for the host, in bytes.
        stream_bytes: Limit for each stream, in bytes.
        held_bytes: Bytes held now, for streams and for responses that are read whole.
    """

    def __init__(self, memory_mb: float) -> None:
        """Derive the limits from the memory that the host may use, in megabytes."""
        for_requests = (memory_mb - entry_load.BASE_MB) * 1e6
        self.host_bytes = max(int(HOST_SHARE * for_requests), MIN_HOST_BYTES)
        self.stream_bytes = self.host_bytes // STREAMS_PER_HOST
        self.held_bytes = 0
        self._held_by_stream: dict[StreamT, int] = {}
        self._paused: dict[StreamT, None] = {}

    @property
    def held_requests(self) -> int:
        """Return the number of requests in progress that would take as much memory."""
        return self.held_bytes // entry_load.REQUEST_BYTES

    def held_for(self, stream: StreamT) -> int:
        """Return the bytes held for a stream."""
        return self._held_by_stream.get(stream, 0)

    def hold(self, stream: StreamT, size: int) -> None:
        """Record bytes that were received for a stream, or for a response that is read whole."""
        self._held_by_stream[stream] = self.held_for(stream) + size
        self.held_bytes += size

    def may_read(self, stream: StreamT) -> bool:
        """Return whether a stream may read on.

        One that may not counts as paused until ``release`` or ``release_all`` returns it. A stream
        for which nothing is held may always read.
        """
        held = self.held_for(stream)
        if held == 0 or held < self._allowance():
            return True
        self._paused[stream] = None
        return False

    def release(self, stream: StreamT, size: int) -> list[StreamT]:
        """Record that bytes are no longer held; return the paused streams that may read on."""
        size = min(size, self.held_for(stream))
        if size:
            self.held_bytes -= size
            self._held_by_stream[stream] -= size
            if not self._held_by_stream[stream]:
                del self._held_by_stream[stream]
        return self._resume()

    def release_all(self, stream: StreamT) -> list[StreamT]:
        """Forget a stream that has ended; return the paused streams that may read on."""
        self._paused.pop(stream, None)
        return self.release(stream, self.held_for(stream))

    def _allowance(self) -> int:
        return min(self.stream_bytes, self.host_bytes - self.held_bytes)

    def _resume(self) -> list[StreamT]:
        """Remove the paused streams that may read on, and return them."""
        if not self._paused:
            return []
        allowance = self._allowance()
        resumed = [
            stream
            for stream in self._paused
            if self.held_for(stream) == 0 or self.held_for(stream) < allowance
        ]
        for stream in resumed:
            del self._paused[stream]
        return resumed
