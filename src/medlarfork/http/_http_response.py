"""Client side of one HTTP/1.1 connection: sends requests and detects truncated responses."""

from __future__ import annotations

import collections
import dataclasses
import math
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import curio
import h11

from medlarfork import errors, timeouts
from medlarfork.http import _http_framing, _http_messages, _http_stream

_MAX_DISCARDED_BYTES = 16 * 1024
"""Maximum size of an unneeded body that is read to keep its connection, in bytes: more costs more
than a new connection."""

_DISCARD_S = 0.05
"""Time for an unneeded body to arrive completely, in seconds: it is sent along with its head, and
its request waits meanwhile."""

_JOINED_BYTES = 64 * 1024
"""Bytes of a body that are written together with the head."""

_MAX_EARLIER_IDS = 16
"""Earlier requests on a connection whose responses are recognised in late copies."""

_MAX_FAILED_IDS = 64
"""Error responses after which a connection is closed: the ids of their requests are kept."""


_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""Begin of a response. Within a head it shows that another response was cut off in front of it."""

_MAX_STATUS = 599
"""Greatest status that HTTP defines; the parser accepts all of three digits from 100 on."""

_BOTH_DONE = {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
"""States of the parser after a complete exchange on a connection that stays open."""


class Pool(Protocol):
    """Interface of the connection pool, as a connection uses it."""

    async def keep(self, connection: ClientConnection) -> None:
        """Return a reusable connection to the pool."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""

    def record_received(self) -> None:
        """Record that bytes have arrived on a connection."""


ReadHead = Callable[[], Awaitable[h11.Response]]
"""Reads the head of a response; a cancelled call loses nothing and can be repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceWatch:
    """What to do while an upstream does not acknowledge a request, or never completes its head.

    Attributes:
        period_s: Interval of the checks, in seconds.
        on_silence: Called while data is unacknowledged, or bytes have arrived but no head; returns
            the head if it has arrived meanwhile, else None to wait on, or raises
            ``errors.RequestSupersededError``.
    """

    period_s: float
    on_silence: Callable[[ReadHead], Awaitable[h11.Response | None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How fast a body has to arrive.

    Attributes:
        grace_s: Time from the first read on in which nothing has to arrive, in seconds.
        bytes_per_s: Least bytes per second after that, on average.
    """

    grace_s: float
    bytes_per_s: float


class ClientConnection:
    """Client connection to one upstream; carries one exchange at a time.

    Attributes:
        address: ``http://IP:PORT`` of the upstream.
        stream: The connection's socket.
        body_bytes: Maximum size of a response body that is read into memory, in bytes.
        closed: Whether the connection has been closed.
        exchanges: Number of requests sent.
        idle_s: Idle timeout from the upstream's Keep-Alive header, less a margin, in seconds;
            infinite if it sent none.
        may_reuse: Whether the connection may return to the pool.
    """

    __slots__ = (
        "_broken",
        "_deadline_at",
        "_earlier_ids",
        "_failed_ids",
        "_framing",
        "_h11",
        "_head_s",
        "_interim_left",
        "_interim_responses",
        "_is_sent",
        "_last_id",
        "_may_skip",
        "_pool",
        "_needs_data",
        "address",
        "body_bytes",
        "closed",
        "exchanges",
        "idle_s",
        "may_reuse",
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
        head_s: float = math.inf,
        interim_responses: int = 0,
    ) -> None:
        """Wrap an open stream (see ``ClientLimits`` for the limits)."""
        self.address = address
        self.stream = stream
        self.body_bytes = body_bytes
        self.closed = False
        self.exchanges = 0
        self.idle_s = math.inf
        self.may_reuse = True
        self._pool = pool
        self._broken = False
        self._deadline_at = math.inf
        self._head_s = head_s
        self._interim_responses = self._interim_left = interim_responses
        self._is_sent = True
        self._last_id = ""
        self._earlier_ids: collections.deque[str] = collections.deque(maxlen=_MAX_EARLIER_IDS)
        self._may_skip = True
        self._failed_ids: tuple[str, ...] = ()
        self._framing = _http_framing.FramingBudget()
        self._needs_data = True  # Whether h11 needs more bytes before its next event.
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=header_bytes)

    def may_carry(self, request_id: str) -> bool:
        """Return whether no copy of a response with this id may arrive, late.

        The id of an earlier request would not tell the response from such a copy.
        """
        return request_id != self._last_id and not self.has_carried(request_id)

    def has_carried(self, request_id: str) -> bool:
        """Return whether this is the id of an earlier request, whose response may be copied."""
        return request_id in self._earlier_ids or request_id in self._failed_ids

    async def exchange(
        self,
        head: h11.Request,
        body: bytes,
        deadline_at: float,
        silence: SilenceWatch | None = None,
        request_id: str = "",
    ) -> Response:
        """Send a request and return the response once its head has arrived.

        Args:
            head: The head of the request.
            body: Its complete body.
            deadline_at: Monotonic time at which the exchange times out, in seconds.
            silence: What to do while the upstream is silent; None to wait.
            request_id: Id of the request; empty for none.

        Raises:
            errors.RequestNotSentError: If no byte of the request was sent.
            errors.UpstreamError: If the exchange failed after that.
        """
        self._deadline_at = self.stream.deadline_at = deadline_at
        data = self._h11.send(head)
        content = self._h11.send(h11.Data(data=body)) if body else b""
        content += self._h11.send(h11.EndOfMessage())
        self.exchanges += 1
        self._earlier_ids.append(self._last_id)
        self._last_id = request_id
        # The length that a response to HEAD states is not that of its body.
        self._may_skip = self._may_skip and head.method != b"HEAD"
        # A long body is written from where it is: copies of it would take the memory of others.
        self._begin_send(data + content[:_JOINED_BYTES], memoryview(content)[_JOINED_BYTES:])
        self._interim_left = self._interim_responses
        self._framing.restart()
        self._needs_data = True
        if silence is None:
            response = await self._finish_send_and_read_head()
        else:
            response = await self._watch_silence(silence)
        if request_id and response.status_code >= 400:
            self._failed_ids += (request_id,)
            self.may_reuse = len(self._failed_ids) < _MAX_FAILED_IDS
        return self._make_response(head, response)

    async def skip_response(self) -> Response | None:
        """Discard a response to another request, and return the next one once its head arrives.

        The connection is closed after it, since more such responses may come.

        Returns:
            The next response; None if the discarded one is too long or hides where the next begins.

        Raises:
            errors.UpstreamError: The connection failed.
        """
        self.may_reuse = False
        is_short = await self._skip_body()
        if not (is_short and self._may_skip) or self._h11.states != _BOTH_DONE:
            return None
        self._h11.start_next_cycle()
        # The parser accepts a response only to a request; these bytes are not sent.
        head = h11.Request(method="GET", target="/", headers=[("Host", "")])
        self._h11.send(head)
        self._h11.send(h11.EndOfMessage())
        self._needs_data = False
        return self._make_response(head, await self._read_head())

    @property
    def has_failed_write(self) -> bool:
        """Return whether the connection failed before all of the request was written."""
        return self._broken

    async def next_event(self, on_part: Callable[[], None] = lambda: None) -> h11.Event:
        """Return the next event of the response.

        Args:
            on_part: Called when bytes have arrived, before they are parsed.

        Raises:
            errors.UpstreamError: If the connection ends or violates the protocol first.
        """
        while True:
            event = self.buffered_event()
            if event is not None:
                return event
            if self._framing.is_exceeded:
                raise self.failure("it sends too many bytes that are no content")
            self._feed(await self._receive())
            on_part()

    def buffered_event(self) -> h11.Event | None:
        """Return the next event that can be parsed from bytes already received, if any."""
        if self._needs_data:
            return None
        try:
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise self.failure(f"connection closed or invalid HTTP/1.1 ({error})") from error
        self._needs_data = event is h11.NEED_DATA
        return None if self._needs_data else event

    def record_content(self, size: int) -> None:
        """Record the size of a part of the body."""
        self._framing.record_content(size)

    async def release(self) -> None:
        """Return the connection to the pool after a complete response, or close it."""
        if self.closed:
            return
        reusable = (
            self.may_reuse
            and not self._broken
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if self._h11.trailing_data[0]:
            await self.reset()  # The upstream may go on sending.
            return
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
        """Reset the connection, so that the upstream stops processing the request."""
        if not self.closed:
            self.closed = True
            self._pool.remove(self)
            await self.stream.reset()

    async def _skip_body(self) -> bool:
        """Discard a body; return False if it is too long."""
        size = 0
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise self.failure("connection closed during the response")
            self.record_content(len(event.data))
            size += len(event.data)
            if size > _MAX_DISCARDED_BYTES:
                return False
        return True

    def _make_response(self, head: h11.Request, response: h11.Response) -> Response:
        self.stream.deadline_at = self._deadline_at
        headers = _http_messages.decode_headers(response.headers)
        framing = _http_framing.framing_of(head, response, headers)
        self._framing.restart()
        self.idle_s = _http_framing.idle_s(headers.get("keep-alive", ""))
        length = _http_framing.declared_bytes(head, response, headers)
        return Response(self, response.status_code, headers, framing, length)

    def limit_body(self, until: float) -> None:
        """Time the exchange out at a monotonic time in seconds, if that is before its deadline."""
        self.stream.deadline_at = min(self._deadline_at, until)

    def failure(self, why: str) -> errors.UpstreamError:
        """Return the error for an exchange that failed after its request was sent."""
        return errors.UpstreamError(
            f"The exchange with {self.address} failed: {why}.",
            remedy="The request may have run; retry it only if it is safe to repeat.",
        )

    async def _watch_silence(self, silence: SilenceWatch) -> h11.Response:
        """Return the head of the response; act while the request is not acknowledged.

        A sound upstream may take long until it answers, but it sends its head in one piece.
        """
        read_head = self._finish_send_and_read_head
        while True:
            response = await timeouts.call_until(silence.period_s, read_head)
            is_silent = self.stream.has_unacknowledged or self._framing.has_bytes
            if response is None and is_silent:
                response = await silence.on_silence(read_head)
            if response is not None:
                return response

    async def _finish_send_and_read_head(self) -> h11.Response:
        await self._finish_send()
        return await self._read_head()

    def _begin_send(self, data: bytes, more: memoryview) -> None:
        """Write what can be written without waiting of the first bytes and those behind them."""
        try:
            sent = self.stream.send_now(data)
        except OSError as error:
            raise errors.RequestNotSentError(
                f"{self.address} closed the connection before the request was sent: {error}.",
                remedy="Retry the request, with the same upstream or another one.",
            ) from error
        self._is_sent = sent == len(data) and not more
        if not self._is_sent:
            self.stream.hold_unsent(memoryview(data)[sent:], more)

    async def _finish_send(self) -> None:
        if self._is_sent:
            return
        try:
            await self.stream.send(b"")
            self._is_sent = True
        except TimeoutError as error:
            raise self._timed_out() from error
        except OSError:
            self._broken = True  # The upstream may have responded before reading everything.

    async def _read_head(self) -> h11.Response:
        while True:
            event = await self.next_event(self._limit_head)
            self._check_is_one_head(event)
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    raise self.failure(f"{event.status_code} is no status of HTTP")
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise self.failure("connection closed before a response")
            if not self._interim_left:
                raise self.failure("too many interim responses")
            self._interim_left -= 1
            self.stream.deadline_at = self._deadline_at

    def _check_is_one_head(self, event: h11.Event) -> None:
        """Refuse a head that joins a response that was cut off to the one behind it."""
        if not isinstance(event, h11.Response | h11.InformationalResponse):
            return
        texts = (event.reason, *(value for _, value in event.headers))
        if any(_STATUS_LINE.search(text) for text in texts):
            raise self.failure("a response that was cut off came before the next one")

    def _limit_head(self) -> None:
        """Limit the time of a head from its first byte on."""
        if self.stream.deadline_at == self._deadline_at:
            head_at = time.monotonic() + self._head_s
            self.stream.deadline_at = min(self._deadline_at, head_at)

    async def _receive(self) -> bytes:
        try:
            data = await self.stream.receive()
        except TimeoutError as error:
            raise self._timed_out() from error
        except OSError as error:
            raise self.failure(str(error)) from error
        if self.stream.expired:
            raise self._timed_out()
        if data:
            self._pool.record_received()
        return data

    def _feed(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._framing.record_received(len(data))
        self._needs_data = False

    def _timed_out(self) -> errors.UpstreamError:
        return errors.UpstreamError(
            f"The exchange with {self.address} timed out.",
            remedy="The request may have run; retry it only if it is safe to repeat.",
            code=errors.Code.REQUEST_TIMEOUT,
        )


class Response:
    """Response whose head has arrived; ``close`` it unless the body is read to its end.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        framing: What delimits the body.
        complete: Whether the end of the body has been received.
        skipped: Number of responses to other requests that came before it in this exchange.
    """

    __slots__ = (
        "_connection",
        "_declared_bytes",
        "_has_more",
        "complete",
        "framing",
        "headers",
        "skipped",
        "status",
    )

    def __init__(
        self,
        connection: ClientConnection,
        status: int,
        headers: dict[str, str],
        framing: _http_framing.Framing,
        declared_bytes: int,
    ) -> None:
        """Wrap the response that arrives on a connection."""
        self._connection = connection
        self._declared_bytes = declared_bytes
        self._has_more = False  # Whether chunks that were received are still to be parsed.
        self.status = status
        self.headers = headers
        self.framing = framing
        self.complete = False
        self.skipped = 0

    @property
    def framed(self) -> bool:
        """Return whether the headers delimit the body; otherwise it ends with the connection."""
        return self.framing is not _http_framing.Framing.CLOSE

    @property
    def exchange_number(self) -> int:
        """Return the number of its exchange on its connection; the first one is 1."""
        return self._connection.exchanges

    async def read(
        self, on_part: Callable[[int], None] | None = None, *, pace: Pace | None = None
    ) -> bytes:
        """Return the complete body.

        Args:
            on_part: Called with the size of each part that has arrived, in bytes.
            pace: How fast it has to arrive; None for any pace.

        Raises:
            errors.UpstreamError: If the body is truncated, too slow, or exceeds the size limit.
        """
        parts: list[bytes] = []
        size = 0
        await self._check_size(self._declared_bytes)
        began_at = time.monotonic()
        while True:
            if pace is not None:
                until = began_at + pace.grace_s + size / pace.bytes_per_s
                self._connection.limit_body(until)
            if not (part := await self.next_chunk()):
                break
            parts.append(part)
            size += len(part)
            if on_part is not None:
                on_part(len(part))
            await self._check_size(size)
        return b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they arrive.

        Raises:
            errors.UpstreamError: If the connection ends before the body is complete.
        """
        while part := await self.next_chunk():
            yield part

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body; empty once the body is complete.

        Raises:
            errors.UpstreamError: If the connection ends before the body is complete.
        """
        try:
            return await self.await_chunk()
        except BaseException:
            await self._connection.reset()
            raise

    async def await_chunk(self) -> bytes:
        """Return the same as ``next_chunk``; a cancelled call loses nothing and can be repeated.

        Raises:
            errors.UpstreamError: If the connection ends before the body is complete.
        """
        if self.complete:
            return b""
        try:
            return await self._next_chunk()
        except errors.UpstreamError:
            await self._connection.reset()
            raise

    def expire(self) -> None:
        """End the body early; any task may call this, and the one that reads gets a time-out."""
        self._connection.stream.expire()

    def end_reuse(self) -> None:
        """Close the connection after this response instead of returning it to the pool."""
        self._connection.may_reuse = False

    async def discard(self) -> None:
        """Read a short body that is not needed, so that the connection can be reused, else reset.

        Bounded in bytes and time: an upstream may send a body without end.
        """
        is_short = self._declared_bytes <= _MAX_DISCARDED_BYTES
        try:
            if self.framed and is_short:
                await timeouts.call_until(_DISCARD_S, self._read_unneeded)
        except errors.UpstreamError:
            return  # The failed read has reset the connection.
        finally:
            await self.close()

    def is_late_copy(self, request_id: str) -> bool:
        """Return whether it may copy the response to an earlier request, whose id it returns."""
        return self._connection.has_carried(request_id)

    async def skip(self) -> Response | None:
        """Return the next response on the connection instead of this one, which is discarded.

        Returns:
            The next response; None if this one is not delimited or too long, and is to be closed.

        Raises:
            errors.UpstreamError: The connection failed.
        """
        if not self.framed:
            return None
        try:
            following = await self._connection.skip_response()
        except BaseException:
            await self._connection.reset()
            raise
        if following is not None:
            following.skipped = self.skipped + 1
        return following

    async def close(self) -> None:
        """Reset the connection if the body was not read to its end."""
        if not self.complete:
            await self._connection.reset()

    async def _check_size(self, size: int) -> None:
        limit = self._connection.body_bytes
        if size > limit and not self.complete:
            await self._connection.reset()
        if size > limit:
            raise errors.UpstreamError(
                f"The response body is larger than {limit} bytes.",
                remedy="Raise the limit, or request a smaller response.",
            )

    async def _read_unneeded(self) -> None:
        size = 0
        while size <= _MAX_DISCARDED_BYTES and (part := await self.await_chunk()):
            size += len(part)

    async def _next_chunk(self) -> bytes:
        """Join the chunks of one read, so that the caller can forward them in one write."""
        if self._has_more:
            await curio.sleep(0)
            self._has_more = False
        event: h11.Event | None = await self._connection.next_event()
        parts: list[bytes] = []
        while isinstance(event, h11.Data):
            parts.append(event.data)
            self._connection.record_content(len(event.data))
            if len(parts) >= _http_framing.MAX_JOINED_CHUNKS:
                self._has_more = True
                break
            event = self._connection.buffered_event()
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            self.complete = True
            await self._connection.release()
        elif event is not None and not self._has_more:
            raise self._connection.failure("connection closed during the response")
        return b"".join(parts)

    def _check_end(self) -> None:
        """Reject an end of connection that can't be told from a failure."""
        if self.framed:
            return
        if "close" not in self.headers.get("connection", "").lower():
            raise self._connection.failure(
                "response has neither Content-Length, chunked encoding nor Connection: close"
            )
        if self._connection.has_failed_write:
            # The write consumed the error of a reset, which the system reports only once.
            raise self._connection.failure("connection failed while the request was written")
