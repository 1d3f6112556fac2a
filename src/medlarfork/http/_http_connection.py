"""Serve the requests of one connection, one after the other."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import h11

from medlarfork import errors
from medlarfork.http import _http_exchange, _http_limits, _http_messages, _http_stream

Handler = Callable[[_http_exchange.Exchange], Awaitable[None]]
"""Answers one exchange."""

FaultReporter = Callable[[_http_exchange.RequestHead, Exception], None]
"""Is told of an exception that a handler did not expect."""

_LINGER_BYTES = 1024 * 1024
"""Most bytes skipped while waiting for a caller's end."""

_NO_HEAD = _http_exchange.RequestHead("", "", "", {})
"""Stands for a head that could not be read."""


class Connection:
    """Read requests off one connection and give each to the handler.

    Attributes:
        stream: The connection's socket.
        busy: Whether a request is being read or answered.
    """

    __slots__ = ("_exchange", "_h11", "_handler", "_limits", "_report", "busy", "closing", "stream")

    def __init__(
        self,
        stream: _http_stream.Stream,
        *,
        handler: Handler,
        limits: _http_limits.HttpLimits,
        report: FaultReporter,
    ) -> None:
        """Wire the connection; ``serve`` runs it."""
        self.stream = stream
        self.busy = False
        self.closing = False
        self._handler = handler
        self._limits = limits
        self._report = report
        self._exchange: _http_exchange.Exchange | None = None
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)

    def close_when_done(self) -> None:
        """Close after the request in progress, or at once if there is none."""
        self.closing = True
        if self._exchange is not None:
            self._exchange.close_after()
        elif not self.busy:
            self.stream.interrupt_reading()

    async def serve(self) -> None:
        """Serve until either side ends the connection; the stream is closed afterwards."""
        cut = True
        try:
            while await self._serve_one():
                pass
            cut = False
        except (OSError, errors.HttpLimitError):
            pass  # The caller is gone; nobody is left to be told.
        finally:
            if cut:
                await self.stream.cut()
            else:
                await self.stream.close()

    async def refuse(self, status: int, error: errors.MedlarError) -> None:
        """Answer what could not become an exchange."""
        exchange = self._make_exchange(_NO_HEAD)
        await exchange.refuse(status, error)
        await self._linger()

    async def _serve_one(self) -> bool:
        """Serve a request and return whether the connection can take another."""
        event = await self._read_head()
        if event is None:
            return False
        head = await self._check_head(event)
        if head is None:
            return False
        exchange = self._make_exchange(head)
        if self.closing:
            exchange.close_after()
        self._exchange = exchange
        await self._answer(exchange)
        self._exchange = None
        if exchange.aborted:
            raise ConnectionAbortedError("the answer was cut")
        if self.closing or not self._is_reusable():
            await self._linger()
            return False
        self._h11.start_next_cycle()
        return True

    def _is_reusable(self) -> bool:
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    def _make_exchange(self, head: _http_exchange.RequestHead) -> _http_exchange.Exchange:
        return _http_exchange.Exchange(head, self._h11, self.stream, self._limits)

    async def _read_head(self) -> h11.Request | None:
        """Return the next request; None if the connection ended or was refused."""
        self.busy = bool(self._h11.trailing_data[0])
        self.stream.arm(self._limits.header_s if self.busy else self._limits.idle_s)
        while True:
            try:
                event = self._h11.next_event() if self.busy else h11.NEED_DATA
            except h11.RemoteProtocolError as error:
                await self._refuse_head(error)
                return None
            if isinstance(event, h11.Request):
                self.stream.disarm()
                return event
            if event is not h11.NEED_DATA:
                return None
            data = await self.stream.receive()
            if not data:
                await self._refuse_slow_head()
                return None
            if not self.busy:
                self.busy = True
                self.stream.arm(self._limits.header_s)
            self._h11.receive_data(data)

    async def _refuse_slow_head(self) -> None:
        """Answer a caller that sent only a part of a head in time; others have just gone."""
        if not (self.busy and self.stream.expired):
            return
        error = errors.HttpLimitError(
            f"The request's head did not arrive within {self._limits.header_s:g} s.",
            remedy="Send the whole head at once.",
            code=errors.Code.REQUEST_TIMEOUT,
        )
        await self.refuse(408, error)

    async def _refuse_head(self, cause: h11.RemoteProtocolError) -> None:
        if cause.error_status_hint == 431:
            await self._refuse_large_head()
            return
        error = errors.HttpLimitError(
            f"The request is not valid HTTP/1.1: {cause}.",
            remedy="Correct the request's line, headers or framing.",
        )
        await self.refuse(400, error)

    async def _refuse_large_head(self) -> None:
        error = errors.HttpLimitError(
            f"The request's head is larger than {self._limits.header_bytes} bytes"
            f" or {self._limits.header_count} lines.",
            remedy="Send fewer or shorter headers.",
            code=errors.Code.HEADER_TOO_LARGE,
        )
        await self.refuse(431, error)

    async def _check_head(self, event: h11.Request) -> _http_exchange.RequestHead | None:
        """Return the head; None if it has been refused."""
        lines = event.headers
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in lines)
        if size > self._limits.header_bytes or len(lines) > self._limits.header_count:
            await self._refuse_large_head()
            return None
        if len(event.target) > self._limits.target_bytes:
            error = errors.HttpLimitError(
                f"The request's target is longer than {self._limits.target_bytes} bytes.",
                remedy="Send a shorter path or query.",
                code=errors.Code.HEADER_TOO_LARGE,
            )
            await self.refuse(414, error)
            return None
        headers = _http_messages.decode_headers(lines)
        problem = _find_violation(event, headers)
        if problem:
            await self.refuse(400, errors.HttpLimitError(problem, remedy="Correct the request."))
            return None
        path, _, query = event.target.decode("latin-1").partition("?")
        method = event.method.decode("latin-1")
        return _http_exchange.RequestHead(method, path, query, headers)

    async def _answer(self, exchange: _http_exchange.Exchange) -> None:
        """Run the handler; whatever it does, the exchange has an end afterwards."""
        try:
            await self._handler(exchange)
        except errors.HttpLimitError:
            if not exchange.finished:
                await exchange.abort()  # Nobody is left to be answered.
        except Exception as error:
            self._report(exchange.head, error)
        if exchange.finished:
            return
        if exchange.started or self._h11.our_state is not h11.SEND_RESPONSE:
            await exchange.abort()
            return
        fault = errors.MedlarError(
            "The request met an internal error.",
            remedy="Look for the error in this host's log, by the time of the request.",
            code=errors.Code.UNCERTAIN,
        )
        headers = _http_messages.error_headers(_http_messages.MAY_HAVE_RUN)
        await exchange.respond(500, headers, _http_messages.error_body(fault, 500))

    async def _linger(self) -> None:
        """Wait for the caller's end: closing on unread bytes could destroy the last answer."""
        self.stream.end_writing()
        self.stream.arm(self._limits.linger_s)
        skipped = 0
        while skipped < _LINGER_BYTES:
            data = await self.stream.receive()
            if not data:
                return
            skipped += len(data)


def _find_violation(event: h11.Request, headers: dict[str, str]) -> str:
    """Return what is wrong with a head that h11 accepts; empty if nothing is."""
    if "transfer-encoding" in headers and "content-length" in headers:
        # Two framings in one message are how requests are smuggled past a router.
        return "The request has both Content-Length and Transfer-Encoding."
    if event.method == b"CONNECT":
        return "The method CONNECT is not supported."
    if not event.target.startswith(b"/") and event.target != b"*":
        return "The request's target must be a path."
    return ""
