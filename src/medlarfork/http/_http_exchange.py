"""One HTTP exchange on the server side: the request and the writing of its response."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import curio
import h11

from medlarfork import errors
from medlarfork.http import _http_framing, _http_limits, _http_messages, _http_stream

if TYPE_CHECKING:
    from medlarfork.http import _http_input

_PIPELINE_LIMIT_BYTES = 16 * 1024
"""Maximum bytes of pipelined requests buffered while a response is in progress."""

_EVICTED_RETRY_AFTER_S = 0.3
"""Time in ``Retry-After`` of an evicted request, in seconds: other hosts mostly have room."""

_JOINED_BYTES = 64 * 1024
"""Bodies up to this size are written together with their heads."""

_PEER_POLL_S = 0.25
"""Interval at which the TCP state is polled once that buffer is full, in seconds."""

_BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose responses never have a body."""


OnPart = Callable[[int], None]
"""Called with the size of a part of a body, in bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers of a request.

    Attributes:
        method: HTTP method as sent.
        path: Path without the query.
        query: Query string without the question mark.
        headers: Header values by lower-case name.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]

    @property
    def target(self) -> str:
        """Return the path with the query, if any."""
        return f"{self.path}?{self.query}" if self.query else self.path


class Exchange:
    """One request and its response; valid until the handler returns.

    Every method that writes raises ``errors.CallerDisconnectedError`` once the caller is gone.

    Attributes:
        head: The request line and headers.
        started: Whether the response has been started.
        finished: Whether the response is complete or aborted.
        aborted: Whether the connection was reset.
    """

    __slots__ = (
        "_closing",
        "_h11",
        "_input",
        "_limits",
        "_stream",
        "aborted",
        "finished",
        "head",
        "started",
    )

    def __init__(
        self,
        head: RequestHead,
        connection: h11.Connection,
        stream: _http_stream.Stream,
        limits: _http_limits.HttpLimits,
        received: _http_input.Input,
    ) -> None:
        """Create the exchange of a request that was received on a connection."""
        self.head = head
        self.started = False
        self.finished = False
        self.aborted = False
        self._h11 = connection
        self._stream = stream
        self._limits = limits
        self._input = received
        self._closing = False

    def close_after(self) -> None:
        """Close the connection after this response instead of keeping it alive."""
        self._closing = True

    async def read_body(self, on_part: OnPart | None = None) -> bytes:
        """Return the complete body of the request.

        Args:
            on_part: Called with the size of each part that has arrived, in bytes; what it raises
                ends the reading.

        Raises:
            errors.HttpLimitError: If the body is too large, malformed or too slow; the error
                response has been sent already.
            errors.CallerDisconnectedError: If the caller disconnected before its body was complete.
        """
        if self._h11.their_state is h11.DONE:
            await self._require_room()
            return b""
        declared = int(self.head.headers.get("content-length", "0"))
        if declared > self._limits.body_bytes:
            await self._refuse_large_body()
        if self._h11.they_are_waiting_for_100_continue:
            await self._send_continue()
        self._stream.arm(self._limits.body_s)
        with self._input.arriving():
            body = await self._collect_body(on_part)
        self._stream.disarm()
        await self._require_room()
        return body

    async def respond(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Write a complete response with its Content-Length."""
        lines = _http_messages.encode_headers(headers)
        if status not in _BODILESS_STATUSES:
            lines = [line for line in lines if line[0].lower() != b"content-length"]
            lines.append((b"Content-Length", b"%d" % len(body)))
        data = self._start(status, lines)
        if body and self._has_body(status):
            content = self._h11.send(h11.Data(data=body))
            if len(content) > _JOINED_BYTES:
                await self._write(data)
                data = content
            else:
                data += content
        data += self._h11.send(h11.EndOfMessage())
        await self._write_answer(data)
        self.finished = True

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write the head of a streamed response: chunked unless ``headers`` have a length."""
        await self._write(self._start(status, _http_messages.encode_headers(headers)))

    async def send(self, data: bytes) -> None:
        """Write a part of a streamed response without buffering; wait if the caller is slow."""
        if not data or self.head.method == "HEAD":
            return
        await self._write(self._h11.send(h11.Data(data=data)))

    def encode(self, data: bytes) -> bytes:
        """Return the bytes that write a part of a streamed response, for the methods below."""
        if not data or self.head.method == "HEAD":
            return b""
        return self._h11.send(h11.Data(data=data)) or b""

    def send_now(self, encoded: bytes) -> int:
        """Write as much as possible without waiting, and return the number of bytes written."""
        if self.aborted:
            raise _caller_gone()
        try:
            return self._stream.send_now(encoded)
        except OSError as error:
            raise _caller_gone() from error

    async def send_encoded(self, encoded: bytes | bytearray) -> None:
        """Write the rest of encoded parts; wait if the caller is slow."""
        await self._write(encoded)

    async def wait_received(self) -> None:
        """Wait until the caller's system has received all that ``abort`` would discard."""
        try:
            await self._stream.wait_acknowledged()
        except OSError as error:
            raise _caller_gone() from error

    async def finish(self) -> None:
        """Complete a streamed response."""
        await self._write(self._h11.send(h11.EndOfMessage()))
        self.finished = True

    async def abort(self) -> None:
        """Reset the connection, so that a partial response can't be taken for a complete one."""
        if self.aborted:
            return
        self.finished = True
        self.aborted = True
        await self._stream.reset()

    async def wait_caller_gone(self) -> None:
        """Return when the caller has closed or reset its connection, or has stopped reading.

        Run this in its own task after ``read_body`` and cancel it before the handler returns.
        Bytes of pipelined requests are kept. A caller that shuts down only its sending side counts
        as disconnected.
        """
        while (kept := self._input.buffered_bytes) < _PIPELINE_LIMIT_BYTES:
            try:
                data = await self._input.receive(_PIPELINE_LIMIT_BYTES - kept)
            except OSError:
                return
            if not data and self._stream.interrupted:
                break  # This host ended the reading, so its end says nothing about the caller.
            if not data:
                return
        # The rest stays unread, most often because the buffer is full. A close that the full
        # receive window holds back is noticed when the response is written.
        while not self._stream.is_closed_by_peer():
            await curio.sleep(_PEER_POLL_S)

    async def refuse(self, status: int, error: errors.MedlarError) -> None:
        """Respond with an error and the outcome ``not_run``, and close the connection.

        A response that has started already is aborted instead.
        """
        if self.started:
            await self.abort()
            return
        self.close_after()
        headers = _http_messages.error_headers(_http_messages.NOT_RUN)
        await self.respond(status, headers, _http_messages.error_body(error, status))

    async def refuse_evicted(self) -> None:
        """Refuse a request that was evicted, without waiting for a caller that doesn't read."""
        if self.started:
            await self.abort()
            return
        self.close_after()
        error = evicted()
        lines = _http_messages.encode_headers(_http_messages.error_headers(_http_messages.NOT_RUN))
        lines.append((b"Retry-After", b"%.3f" % _EVICTED_RETRY_AFTER_S))
        body = _http_messages.error_body(error, 503)
        lines.append((b"Content-Length", b"%d" % len(body)))
        data = self._start(503, lines)
        if self._has_body(503):
            data += self._h11.send(h11.Data(data=body))
        self.finished = True
        with contextlib.suppress(OSError):
            self._stream.send_now(data)

    def _has_body(self, status: int) -> bool:
        return self.head.method != "HEAD" and status not in _BODILESS_STATUSES

    def _start(self, status: int, lines: _http_messages.RawHeaders) -> bytes:
        """Return the bytes of the response head."""
        if self._closing or not self._is_body_read():
            lines.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=status, headers=lines, reason=_http_messages.reason_phrase(status)
        )
        data = self._h11.send(response)
        self.started = True
        return data

    def _is_body_read(self) -> bool:
        """Return whether the request body is read, after discarding what is buffered of it."""
        while self._h11.their_state is h11.SEND_BODY:
            if self._h11.they_are_waiting_for_100_continue:
                return False
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                return False
            if event is h11.NEED_DATA:
                return False
        return self._h11.their_state is h11.DONE

    async def _collect_body(self, on_part: OnPart | None) -> bytes:
        body = bytearray()
        framing = _http_framing.FramingBudget()
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(str(error))
            if event is h11.NEED_DATA:
                if framing.is_exceeded:
                    await self._refuse_malformed("too many bytes of it are no content")
                self._input.hold_body(body.__sizeof__())
                data = await self._receive_body()
                framing.record_received(len(data))
            elif isinstance(event, h11.Data):
                body += event.data
                framing.record_content(len(event.data))
                if on_part is not None:
                    on_part(len(event.data))
                if len(body) > self._limits.body_bytes:
                    await self._refuse_large_body()
                await self._input.step()
            elif isinstance(event, h11.EndOfMessage):
                self._input.hold_body(len(body))
                return bytes(body)

    async def _receive_body(self) -> bytes:
        try:
            data = await self._input.receive()
        except OSError as error:
            raise _caller_gone() from error
        if data:
            return data
        if self._input.is_evicted:
            await self.refuse_evicted()
            raise evicted()
        if self._stream.interrupted:
            await self.refuse(503, stopping())
            raise stopping()
        if not self._stream.expired:
            raise _caller_gone()
        limit = errors.HttpLimitError(
            f"The body did not arrive within {self._limits.body_s:g} s.",
            remedy="Send the body faster, or send a smaller one.",
            code=errors.Code.REQUEST_TIMEOUT,
        )
        await self.refuse(408, limit)
        raise limit

    async def _require_room(self) -> None:
        """Keep the room of a complete request until it is answered, or refuse the request."""
        if self._input.try_serve():
            return
        await self.refuse_evicted()
        raise evicted()

    async def _refuse_large_body(self) -> None:
        limit = errors.HttpLimitError(
            f"The body is larger than {self._limits.body_bytes} bytes.",
            remedy="Send a smaller body, or ask the operators to raise the limit.",
            code=errors.Code.BODY_TOO_LARGE,
        )
        await self.refuse(413, limit)
        raise limit

    async def _refuse_malformed(self, cause: str) -> None:
        limit = errors.HttpLimitError(
            f"The body is not valid HTTP/1.1: {cause}.",
            remedy="Correct the framing of the body.",
        )
        await self.refuse(400, limit)
        raise limit

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
        await self._write(self._h11.send(response))

    async def _write_answer(self, data: bytes) -> None:
        """Write a whole answer, which takes room while its caller is slow to read it."""
        if self.aborted:
            raise _caller_gone()
        try:
            with self._input.answering(len(data)):
                await self._stream.send(data)
        except OSError as error:
            raise _caller_gone() from error

    async def _write(self, data: bytes | bytearray) -> None:
        if self.aborted:
            raise _caller_gone()
        try:
            await self._stream.send(data)
        except OSError as error:
            raise _caller_gone() from error


def stopping() -> errors.HttpLimitError:
    """Return the error of a request that is incomplete when the server stops."""
    return errors.HttpLimitError(
        "This host is stopping, and the request has not arrived completely.",
        remedy="Use another entry host.",
        code=errors.Code.DRAINING,
    )


def evicted() -> errors.HttpLimitError:
    """Return the error of a request for which there is no room."""
    return errors.HttpLimitError(
        "This host has no memory for the request now.",
        remedy="Use another entry host, or retry after the time in Retry-After.",
        code=errors.Code.OVERLOADED,
    )


def _caller_gone() -> errors.CallerDisconnectedError:
    return errors.CallerDisconnectedError(
        "The caller closed its connection or stopped reading.",
        remedy="No action is needed; the caller may retry its request.",
    )
