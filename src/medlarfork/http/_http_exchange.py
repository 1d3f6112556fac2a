"""Hand one request of a connection to its handler, and write the answer."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import curio
import h11

from medlarfork import errors
from medlarfork.http import _http_limits, _http_messages, _http_stream

_PIPELINE_LIMIT_BYTES = 64 * 1024
"""Bytes of following requests kept while an answer is under way."""

_PEER_POLL_S = 0.25
"""How often a caller that has sent more than that is asked for its TCP state, in seconds."""

_BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers never have a body."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold what came before the body of a request.

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
        """Return the path, with the query if any."""
        return f"{self.path}?{self.query}" if self.query else self.path


class Exchange:
    """Read one request and write its answer; valid until the handler returns.

    Every method that writes raises ``errors.CallerDisconnectedError`` once the caller can't be reached.

    Attributes:
        head: The request's head.
        started: Whether any byte of an answer was given to the socket.
        finished: Whether the answer has ended, properly or cut.
        aborted: Whether the connection was cut.
    """

    __slots__ = (
        "_closing",
        "_h11",
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
    ) -> None:
        """Wire the exchange to its connection."""
        self.head = head
        self.started = False
        self.finished = False
        self.aborted = False
        self._h11 = connection
        self._stream = stream
        self._limits = limits
        self._closing = False

    def close_after(self) -> None:
        """Close the connection after this answer instead of keeping it alive."""
        self._closing = True

    async def read_body(self) -> bytes:
        """Return the whole body; a caller that breaks a limit has been answered already.

        Raises:
            errors.HttpLimitError: If the body is too large, malformed or too slow.
            errors.CallerGoneError: If the caller went before its body was whole.
        """
        if self._h11.their_state is h11.DONE:
            return b""
        declared = int(self.head.headers.get("content-length", "0"))
        if declared > self._limits.body_bytes:
            await self._refuse_large_body()
        if self._h11.they_are_waiting_for_100_continue:
            await self._send_continue()
        self._stream.arm(self._limits.body_s)
        body = await self._collect_body()
        self._stream.disarm()
        return body

    async def respond(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Write a whole answer with its length."""
        lines = _http_messages.encode_headers(headers)
        if status not in _BODILESS_STATUSES:
            lines = [line for line in lines if line[0].lower() != b"content-length"]
            lines.append((b"Content-Length", b"%d" % len(body)))
        data = self._start(status, lines)
        if body and self._has_body(status):
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        await self._write(data)
        self.finished = True

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write the head of a streamed answer: chunked, unless ``headers`` give the length."""
        await self._write(self._start(status, _http_messages.encode_headers(headers)))

    async def send(self, data: bytes) -> None:
        """Write a part of a streamed answer at once; wait while the caller reads slowly."""
        if not data or self.head.method == "HEAD":
            return
        await self._write(self._h11.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End a streamed answer properly."""
        await self._write(self._h11.send(h11.EndOfMessage()))
        self.finished = True

    async def abort(self) -> None:
        """Cut the connection, so that the answer can't look whole."""
        if self.aborted:
            return
        self.finished = True
        self.aborted = True
        await self._stream.reset()

    async def wait_caller_gone(self) -> None:
        """Return when the caller has closed its connection, reset it or stopped reading.

        Run this in a task of its own after ``read_body`` and cancel it before the handler returns.
        Bytes of a following request are kept. A caller that closes only its sending side counts
        as gone.
        """
        kept = len(self._h11.trailing_data[0])
        while kept < _PIPELINE_LIMIT_BYTES:
            try:
                data = await self._stream.receive()
            except OSError:
                return
            if not data:
                return
            self._h11.receive_data(data)
            kept += len(data)
        # What is left stays unread; an end that waits behind a full window shows when writing.
        while not self._stream.is_closed_by_peer():
            await curio.sleep(_PEER_POLL_S)

    async def refuse(self, status: int, error: errors.MedlarError) -> None:
        """Answer with an error that says that nothing was run, and close the connection."""
        if self.started:
            await self.abort()
            return
        self.close_after()
        headers = _http_messages.error_headers(_http_messages.NOT_RUN)
        await self.respond(status, headers, _http_messages.error_body(error, status))

    def _has_body(self, status: int) -> bool:
        return self.head.method != "HEAD" and status not in _BODILESS_STATUSES

    def _start(self, status: int, lines: _http_messages.RawHeaders) -> bytes:
        """Return the bytes of an answer's head."""
        if self._closing or not self._is_body_read():
            lines.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=status, headers=lines, reason=_http_messages.reason_phrase(status)
        )
        data = self._h11.send(response)
        self.started = True
        return data

    def _is_body_read(self) -> bool:
        """Return whether the request has ended; skip what is left of it in the buffer."""
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

    async def _collect_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(error)
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._receive_body())
            elif isinstance(event, h11.Data):
                parts.append(event.data)
                size += len(event.data)
                if size > self._limits.body_bytes:
                    await self._refuse_large_body()
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)

    async def _receive_body(self) -> bytes:
        try:
            data = await self._stream.receive()
        except OSError as error:
            raise _caller_gone() from error
        if data:
            return data
        if not self._stream.expired:
            raise _caller_gone()
        limit = errors.HttpLimitError(
            f"The body did not arrive within {self._limits.body_s:g} s.",
            remedy="Send the whole body faster, or send less.",
            code=errors.Code.REQUEST_TIMEOUT,
        )
        await self.refuse(408, limit)
        raise limit

    async def _refuse_large_body(self) -> None:
        limit = errors.HttpLimitError(
            f"The body is larger than {self._limits.body_bytes} bytes.",
            remedy="Send a smaller body, or ask the operators to raise the limit.",
            code=errors.Code.BODY_TOO_LARGE,
        )
        await self.refuse(413, limit)
        raise limit

    async def _refuse_malformed(self, cause: h11.RemoteProtocolError) -> None:
        limit = errors.HttpLimitError(
            f"The body is not valid HTTP/1.1: {cause}.",
            remedy="Correct the framing of the body.",
        )
        await self.refuse(400, limit)
        raise limit

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
        await self._write(self._h11.send(response))

    async def _write(self, data: bytes) -> None:
        if self.aborted:
            raise _caller_gone()
        try:
            await self._stream.send(data)
        except OSError as error:
            raise _caller_gone() from error


def _caller_gone() -> errors.CallerDisconnectedError:
    return errors.CallerDisconnectedError(
        "The caller closed its connection or stopped reading.",
        remedy="Nothing needs to be done here; the caller may send its request again.",
    )
