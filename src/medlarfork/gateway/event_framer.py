"""Cut a stream of events at their ends, so that a broken stream can go on after a whole event."""

from __future__ import annotations

import re

_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

MAX_PENDING_BYTES = 1 << 20
"""Longest event that is kept back until it is whole; longer ones are passed on as they come."""


class EventFramer:
    """Hold back the bytes of an event that is not whole yet.

    Attributes:
        last_id: The id of the last event that was passed on; empty for none.
        events: Whole events that were passed on.
    """

    def __init__(self, last_id: str = "") -> None:
        """Start at the beginning of a stream."""
        self.last_id = last_id
        self.events = 0
        self._pending = b""

    @property
    def pending(self) -> bytes:
        """Return the bytes of an event that has begun and not ended."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last whole event."""
        data = self._pending + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            if len(data) > MAX_PENDING_BYTES:
                self._pending = b""
                return data
            self._pending = data
            return b""
        whole, self._pending = data[:end], data[end:]
        self.events += whole.count(b"\n\n")
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    def discard_pending(self) -> None:
        """Forget an event that was cut; its upstream will not send the rest."""
        self._pending = b""
