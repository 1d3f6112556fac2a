"""Incremental parser and encoder of server-sent events."""

from __future__ import annotations

import dataclasses
import re

from medlarfork import errors

DONE = "[DONE]"
"""Data of the event that ends a stream of the OpenAI API."""

_LINE_END = re.compile(rb"\r\n?|\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_MAX_EVENT_BYTES = 1 << 20
"""Default maximum size of an event, in bytes."""

_PLAIN_EVENT = re.compile(rb"(?:id: ([^\r\n]+)\n)?data: ([^\r\n]*)\n\n")
"""An event exactly as ``encode`` writes it, which is the form that most engines send."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Server-sent event.

    Attributes:
        data: The event's data, with lines joined by line feeds.
        id: The event's id; empty if it has none.
        plain: The received bytes if they equal what ``encode`` would write; else empty.
    """

    data: str
    id: str = ""
    plain: bytes = dataclasses.field(default=b"", compare=False, repr=False)


class EventParser:
    """Incremental parser of an event stream; buffers at most one event."""

    def __init__(self, *, event_bytes: int = _MAX_EVENT_BYTES) -> None:
        """Create a parser at the start of a stream.

        Args:
            event_bytes: Maximum size of an event, in bytes.
        """
        self._event_bytes = event_bytes
        self._buffer = bytearray()
        self._scanned = 0
        self._data: list[str] = []
        self._id = ""
        self._event_size = 0
        self._has_field = False
        self._is_first_line = True
        self._ended_with_return = False

    @property
    def pending(self) -> bool:
        """Return whether an incomplete event is buffered, lost if the stream ended here."""
        return bool(self._has_field or self._buffer not in (b"", _BYTE_ORDER_MARK))

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event, in bytes."""
        return self._event_size + len(self._buffer)

    def feed(self, data: bytes) -> tuple[Event, ...]:
        """Return the events that these bytes complete.

        Raises:
            errors.UpstreamError: An event is too large or not UTF-8.
        """
        events: list[Event] = []
        if not self._event_size and not self._buffer:
            data = data[self._parse_plain(data, events) :]
            if not data:
                return tuple(events)
        self._buffer += data
        self._skip_line_feed()
        start = 0
        while (found := _LINE_END.search(self._buffer, max(start, self._scanned))) is not None:
            event = self._parse_line(bytes(self._buffer[start : found.start()]))
            if event is not None:
                events.append(event)
            start = found.end()
            self._ended_with_return = found[0] == b"\r" and start == len(self._buffer)
        del self._buffer[:start]
        self._scanned = len(self._buffer)
        self._check_size(self._event_size + len(self._buffer))
        return tuple(events)

    def _skip_line_feed(self) -> None:
        """Drop the second half of a CRLF whose first half has ended a line already."""
        if not (self._ended_with_return and self._buffer):
            return
        self._ended_with_return = False
        if self._buffer.startswith(b"\n"):
            del self._buffer[:1]

    def _parse_plain(self, data: bytes, events: list[Event]) -> int:
        """Append the plain events at the start of ``data``, and return the offset of their end."""
        end = 0
        while (found := _PLAIN_EVENT.match(data, end)) is not None:
            plain = found[0]
            self._is_first_line = False
            if len(plain) > self._event_bytes:
                break  # The general parser counts the size exactly.
            events.append(Event(_decode(found[2]), _decode(found[1] or b""), plain))
            end += len(plain)
        return end

    def _parse_line(self, line: bytes) -> Event | None:
        if self._is_first_line:
            self._is_first_line = False
            line = line.removeprefix(_BYTE_ORDER_MARK)
        if not line:
            return self._finish_event()
        self._event_size += len(line)
        self._check_size(self._event_size)
        name, _, value = _decode(line).partition(":")
        value = value.removeprefix(" ")
        self._has_field = self._has_field or bool(name)
        if name == "data":
            self._data.append(value)
        elif name == "id":
            self._id = value
        return None

    def _finish_event(self) -> Event | None:
        data, event_id = self._data, self._id
        self._data, self._id, self._event_size = [], "", 0
        self._has_field = False
        return Event("\n".join(data), event_id) if data else None

    def _check_size(self, size: int) -> None:
        if size > self._event_bytes:
            raise errors.UpstreamError(
                f"The upstream sent an event of more than {self._event_bytes} bytes.",
                remedy="Check the event stream of the upstream.",
            )


def _decode(line: bytes) -> str:
    try:
        return line.decode()
    except UnicodeDecodeError as error:
        raise errors.UpstreamError(
            "The upstream sent an event that is not UTF-8.",
            remedy="Check the event stream of the upstream.",
        ) from error


def encode(data: str, event_id: str = "") -> bytes:
    """Return the encoded event; its data must have no line breaks."""
    head = f"id: {event_id}\n" if event_id else ""
    return f"{head}data: {data}\n\n".encode()
