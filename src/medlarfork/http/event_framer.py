"""Frames a server-sent event stream, so that a broken one can resume after a complete event.

A line ends with LF, CRLF or CR, and an event with an empty line. A stream that ends between two
events may be complete; one that ends within an event is broken, whatever delimits its body.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from medlarfork import errors

MEDIA_TYPE = "text/event-stream"
"""Content type of an event stream."""

MAX_PENDING_BYTES = 1 << 20
"""Largest event that is buffered until it is complete; larger ones are passed on in pieces."""

MAX_EVENT_BYTES = 8 << 20
"""Bytes without a complete event after which a stream is broken, comments included: its upstream
may send such bytes without end."""

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"

_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_EVENT_END_BYTES = 4
"""Size of the longest sequence that ends an event."""

_ID_LINE = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|[\r\n])id: ?([^\r\n]*)")

_LF_ID_LINE = re.compile(rb"(?:^|\n)id: ?([^\n]*)")
"""The same for lines that end with LF, which nearly all upstreams send; it is faster."""

_NO_FIELDS = re.compile(rb"(?:\xef\xbb\xbf)?(?:(?::[^\r\n]*+)?+[\r\n])*+")
"""Bytes that are no part of an event: a byte-order mark, comments and empty lines. Quantifiers that
could backtrack would keep a state for each line, far larger than the line."""


def is_event_stream(headers: Mapping[str, str]) -> bool:
    """Return whether a response is an event stream, by its headers with lower-case names."""
    media_type = headers.get("content-type", "").partition(";")[0]
    return media_type.strip().lower() == MEDIA_TYPE


def can_be_framed(headers: Mapping[str, str]) -> bool:
    """Return whether a response is an event stream whose events no content coding hides."""
    coding = headers.get("content-encoding", "identity").strip().lower()
    return is_event_stream(headers) and coding == "identity"


class EventFramer:
    """Buffers the bytes of an incomplete event.

    Attributes:
        last_id: The id of the last event that was passed on; empty for none.
        has_events: Whether a complete event was passed on.
        has_new_event: Whether the bytes that ``feed`` returned last are more than comments.
        has_split: Whether an event was too large to be buffered and was passed on in pieces, so
            that no other upstream can resume the stream.
    """

    def __init__(self, last_id: str = "") -> None:
        """Start at the beginning of a stream, or after the event ``last_id``."""
        self.last_id = last_id
        self.has_events = False
        self.has_new_event = False
        self.has_split = False
        self._pending = bytearray()
        self._split_tail = b""
        self._bytes_since_event = 0

    @property
    def pending(self) -> bytes:
        """Return the bytes that follow the last complete event and were not passed on."""
        return bytes(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Return the size of what is buffered, in bytes."""
        return len(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Return whether the stream would be broken if it ended here."""
        return bool(self._split_tail) or not _NO_FIELDS.fullmatch(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        Raises:
            errors.UpstreamError: No event has been complete for too many bytes.
        """
        self.has_new_event = False
        if _EVENT_END.search(self._tail + data) is None:
            return self._hold(data)
        passed = len(self._split_tail)
        data = self._split_tail + self._pending + data
        is_plain = b"\r" not in data and not data.startswith(_BYTE_ORDER_MARK)
        end = data.rfind(b"\n\n") + 2 if is_plain else _last_event_end(data)
        if end < 2:
            self._pending.clear()
            return self._hold(data[passed:])
        complete, self._pending = data[passed:end], bytearray(data[end:])
        self._split_tail = b""
        self._record_events(complete)
        ids = (_LF_ID_LINE if is_plain else _ID_LINE).findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    def discard_pending(self) -> None:
        """Discard the incomplete event of a broken stream; the rest will not arrive."""
        self._pending.clear()
        self._bytes_since_event = 0

    @property
    def _tail(self) -> bytes:
        """Return the bytes before the next ones that may belong to the end of an event."""
        return bytes(self._pending[1 - _EVENT_END_BYTES :]) or self._split_tail

    def _record_events(self, complete: bytes) -> None:
        if _NO_FIELDS.fullmatch(complete):
            self._record_other_bytes(len(complete))
            return
        self.has_events = self.has_new_event = True
        self._bytes_since_event = 0

    def _record_other_bytes(self, size: int) -> None:
        self._bytes_since_event += size
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise errors.UpstreamError(
                f"The upstream sent {MAX_EVENT_BYTES} bytes without a complete event.",
                remedy="Check the event stream of the upstream.",
            )

    def _drop_comments(self) -> None:
        """Drop the whole lines that are buffered if all of them are comments."""
        end = max(self._pending.rfind(b"\n"), self._pending.rfind(b"\r")) + 1
        if not self._split_tail and _NO_FIELDS.fullmatch(self._pending, 0, end):
            del self._pending[:end]

    def _hold(self, data: bytes) -> bytes:
        """Buffer a part of an event, or return it if it is too large."""
        self._record_other_bytes(len(data))
        self._pending += data
        if len(self._pending) > MAX_PENDING_BYTES:
            self._drop_comments()
        if len(self._pending) <= MAX_PENDING_BYTES:
            return b""
        part, self._pending = bytes(self._pending), bytearray()
        self.has_split = self.has_new_event = True
        self._split_tail = part[1 - _EVENT_END_BYTES :]
        return part


def _last_event_end(data: bytes) -> int:
    """Return the offset behind the last complete event; 0 if there is none."""
    return max((found.end() for found in _EVENT_END.finditer(data)), default=0)
