"""Frames a server-sent event stream, so that a broken one can resume after a complete event."""

from __future__ import annotations

import re

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

MAX_PENDING_BYTES = 1 << 20
"""Largest event that is buffered until it is complete; larger ones are passed on in pieces."""


class EventFramer:
    """Buffers the bytes of an incomplete event.

    Attributes:
        last_id: The id of the last event that was passed on; empty for none.
        events: Number of complete events that were passed on.
    """

    def __init__(self, last_id: str = "") -> None:
        """Start at the beginning of a stream, or after the event ``last_id``."""
        self.last_id = last_id
        self.events = 0
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        data = self._pending + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            if len(data) > MAX_PENDING_BYTES:
                self._pending = b""
                return data
            self._pending = data
            return b""
        complete, self._pending = data[:end], data[end:]
        self.events += complete.count(b"\n\n")
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_pending(self) -> None:
        """Discard the incomplete event of a broken stream; the rest will not arrive."""
        self._pending = b""
