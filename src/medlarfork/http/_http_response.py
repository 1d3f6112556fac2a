"""Exchange one request for its answer on a connection, and tell whole answers from cut ones."""

from __future__ import annotations

import math
import re
from collections.abc import AsyncIterator
from typing import Protocol

import h11

from medlarfork import errors
from medlarfork.http import _http_messages, _http_stream

_MAX_INFORMATIONAL = 8
"""Informational answers accepted before the real one."""


_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})")
"""The time in a Keep-Alive header, in whole seconds."""

_IDLE_MARGIN_S = 0.5
"""How much sooner than its upstream an idle connection is closed: a request sent just before the
upstream closes would be lost, and can't always be sent again."""


class Pool(Protocol):
    """Take connections back."""

    async def keep(self, connection: ClientConnection) -> None:
        """Take a connection that can carry another request."""

    def remove(self, connection: ClientConnection) -> None:
        """Stop counting a connection that has been closed."""


class ClientConnection:
    """Carry one exchange at a time with one upstream.

    Attributes:
        address: ``http://IP:PORT`` of the upstream.
        stream: The connection's socket.
        body_bytes: Longest body that is collected, in bytes.
        closed: Whether the connection has been closed.
        idle_s: How long the upstream keeps it open between requests, as far as it said.
    """

    __slots__ = (
        "_broken",
        "_h11",
        "_pool",
        "_spent",
        "address",
        "body_bytes",
        "closed",
        "idle_s",
        "stream",
    )

    def __init__(
        self,
        address: str,
        stream: _http_stream.Stream,
        pool: Pool,
        *,
        header_bytes: int,
        body_bytes: int,
    ) -> None:
        """Wire a connection that is open."""
        self.address = address
        self.stream = stream
        self.body_bytes = body_bytes
        self.closed = False
        self.idle_s = math.inf
        self._pool = pool
        self._broken = False
        self._needs_data = True  # Whether h11 has nothing left to make an event of.
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)

    async def exchange(self, head: h11.Request, body: bytes, deadline_at: float) -> Response:
        """Send a request and return its answer once the head of that is in.

        Raises:
            errors.RequestNotSentError: If no byte of the request left.
            errors.UpstreamError: If the exchange failed after that.
        """
        self.stream.deadline_at = deadline_at
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        await self._send(data)
        self._needs_data = True
        response = await self._read_head()
        headers = _http_messages.decode_headers(response.headers)
        framed = _is_framed(head, response, headers)
        self.idle_s = _idle_s(headers.get("keep-alive", ""))
        return Response(self, response.status_code, headers, framed)

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            errors.UpstreamError: If the connection ends or breaks the protocol before it.
        """
        while True:
            event = self.buffered_event()
            if event is not None:
                return event
            self._feed(await self._receive())

    def buffered_event(self) -> h11.Event | None:
        """Return the next event that needs no further bytes, if any."""
        if self._needs_data:
            return None
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise self.failure(f"it ended or broke HTTP/1.1 ({error})") from error
        self._needs_data = event is h11.NEED_DATA
        return None if self._needs_data else event

    async def release(self) -> None:
        """Give the connection back after a whole answer, or close it if it can't be reused."""
        if self.closed:
            return
        reusable = (
            not self._broken
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )
        if not reusable or self.stream.expired:
            await self.close()
            return
        self.stream.disarm()
        self._h11.start_next_cycle()
        await self._pool.keep(self)

    async def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self.closed = True
            self._pool.remove(self)
            await self.stream.close()

    async def reset(self) -> None:
        """Reset the connection, so that the upstream stops its work."""
        if not self.closed:
            self.closed = True
            self._pool.remove(self)
            await self.stream.reset()

    def failure(self, why: str) -> errors.UpstreamError:
        """Return the error for an exchange that failed after its request was sent."""
        return errors.UpstreamError(
            f"The exchange with {self.address} failed: {why}.",
            remedy="The request may have run; repeat it only if that does no harm.",
        )

    async def _send(self, data: bytes) -> None:
        try:
            sent = self.stream.send_now(data)
        except OSError as error:
            raise errors.RequestNotSentError(
                f"{self.address} closed the connection before the request: {error}.",
                remedy="Send the request again, here or elsewhere.",
            ) from error
        try:
            if sent < len(data):
                await self.stream.send_rest(memoryview(data)[sent:])
        except TimeoutError as error:
            raise self._timed_out() from error
        except OSError:
            self._broken = True  # It may have answered before it had read everything.

    async def _read_head(self) -> h11.Response:
        for _ in range(_MAX_INFORMATIONAL):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self.failure("it ended before an answer")
        raise self.failure("it sent too many informational answers")

    async def _receive(self) -> bytes:
        try:
            data = await self.stream.receive()
        except OSError as error:
            raise self.failure(str(error)) from error
        if self.stream.expired:
            raise self._timed_out()
        return data

    def _feed(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._needs_data = False

    def _timed_out(self) -> errors.UpstreamError:
        return errors.UpstreamError(
            f"The exchange with {self.address} took too long.",
            remedy="The request may have run; repeat it only if that does no harm.",
            code=errors.Code.REQUEST_TIMEOUT,
        )


class Response:
    """Read an answer whose head is in; ``close`` it when it is not read to its end.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        framed: False if only the connection's end can tell where the body ends.
        complete: Whether the body's proper end has been seen.
    """

    __slots__ = ("_connection", "framed", "headers", "status", "whole")

    def __init__(
        self, connection: ClientConnection, status: int, headers: dict[str, str], framed: bool
    ) -> None:
        """Wire an answer to the connection it comes from."""
        self._connection = connection
        self.status = status
        self.headers = headers
        self.framed = framed
        self.complete = False

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            errors.UpstreamError: If the body is cut, or longer than the limit.
        """
        parts: list[bytes] = []
        size = 0
        while part := await self.next_chunk():
            parts.append(part)
            size += len(part)
            if size > self._connection.body_bytes:
                await self._connection.reset()
                raise errors.UpstreamError(
                    f"The answer is longer than {self._connection.body_bytes} bytes.",
                    remedy="Raise the limit, or ask the upstream for less.",
                )
        return b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they come.

        Raises:
            errors.UpstreamError: If the connection ends before the body's proper end.
        """
        while part := await self.next_chunk():
            yield part

    async def next_chunk(self) -> bytes:
        """Return the body's next bytes; none at all after its proper end.

        Raises:
            errors.UpstreamError: If the connection ends before that.
        """
        if self.complete:
            return b""
        try:
            return await self._next_chunk()
        except BaseException:
            await self._connection.reset()
            raise

    async def close(self) -> None:
        """Cut the connection if the body was not read to its end."""
        if not self.complete:
            await self._connection.reset()

    async def _next_chunk(self) -> bytes:
        """Join what one read brought, so that many small chunks cost one write further on."""
        event: h11.Event | None = await self._connection.next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            event = self._connection.buffered_event()
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            self.complete = True
            await self._connection.release()
        elif event is not None:
            raise self._connection.failure("it closed in the middle of its answer")
        return b"".join(parts)

    def _check_end(self) -> None:
        """Refuse an end that a failure would look the same as."""
        if not self.framed and "close" not in self.headers.get("connection", "").lower():
            raise self._connection.failure("its answer has neither a length nor a marked end")


def _idle_s(keep_alive: str) -> float:
    """Return how long an idle connection may be used, by the upstream's Keep-Alive header."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return math.inf
    return int(found[1]) - _IDLE_MARGIN_S


def _is_bodiless(head: h11.Request, response: h11.Response) -> bool:
    return head.method == b"HEAD" or response.status_code in (204, 304)


def _is_framed(head: h11.Request, response: h11.Response, headers: dict[str, str]) -> bool:
    if _is_bodiless(head, response):
        return True
    return "content-length" in headers or "transfer-encoding" in headers
