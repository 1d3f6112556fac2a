"""Server side of one HTTP/1.1 connection: reads requests one after the other."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio
import h11

from medlarfork import errors
from medlarfork.http import _http_exchange, _http_limits, _http_messages, _http_stream

if TYPE_CHECKING:
    from medlarfork.http import input_gate

Handler = Callable[[_http_exchange.Exchange], Awaitable[None]]
"""Handles one exchange by writing its response."""

FaultReporter = Callable[[_http_exchange.RequestHead, Exception], None]
"""Receives the unexpected exceptions of handlers."""

_NO_HEAD = _http_exchange.RequestHead("", "", "", {})
"""Placeholder for a request head that could not be read."""


class Connection:
    """Reads requests from one connection and passes each to the handler.

    Attributes:
        stream: The connection's socket.
        busy: Whether a request is being read or answered.
        closing: Whether the connection closes after the request in progress.
    """

    __slots__ = (
        "_exchange",
        "_h11",
        "_handler",
        "_input",
        "_limits",
        "_report",
        "busy",
        "closing",
        "stream",
    )

    def __init__(
        self,
        stream: _http_stream.Stream,
        *,
        handler: Handler,
        limits: _http_limits.HttpLimits,
        report: FaultReporter,
        gate: input_gate.InputGate,
    ) -> None:
        """Wrap an accepted stream; ``serve`` runs the connection."""
        self.stream = stream
        self.busy = False
        self.closing = False
        self._handler = handler
        self._limits = limits
        self._report = report
        self._exchange: _http_exchange.Exchange | None = None
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._input = gate.open_input(stream, self._h11)

    async def close_when_done(self) -> None:
        """Close after the request in progress or one that has arrived, else at once.

        Nothing is read after the decision: a request that arrives later is certain not to run.
        """
        self.closing = True
        if self._exchange is not None:
            self._exchange.close_after()
        elif not self.busy and not self.stream.is_dead():
            await self.stream.close()

    def stop_receiving(self) -> None:
        """Refuse a request that has not arrived completely; others go on."""
        if self.busy and not self._is_request_read():
            self.stream.interrupt_reading()

    async def serve(self) -> None:
        """Serve requests until either side ends the connection, then close the stream."""
        must_reset = True
        try:
            while await self._serve_one():
                pass
            must_reset = False
        except (OSError, errors.HttpLimitError):
            pass  # The caller has disconnected or was refused; there is nothing to send.
        except curio.CancelledError:
            # Without an answer in progress there is none that could look complete.
            must_reset = self._exchange is not None and not self._exchange.finished
            raise
        finally:
            self._input.close()
            if must_reset:
                await self.stream.reset()
            else:
                await self.stream.close()

    async def refuse(self, status: int, error: errors.MedlarError) -> None:
        """Respond with an error to input that did not become an exchange."""
        exchange = self._make_exchange(_NO_HEAD)
        await exchange.refuse(status, error)
        await self._linger()

    async def _serve_one(self) -> bool:
        """Serve one request and return whether the connection can be reused."""
        head = await self._receive_head()
        if head is None:
            return False
        exchange = self._make_exchange(head)
        if self.closing:
            exchange.close_after()
        self._exchange = exchange
        await self._answer(exchange)
        self._exchange = None
        if exchange.aborted:
            raise ConnectionAbortedError("the response was aborted")
        if self._input.is_evicted:
            return False
        if not self._is_reusable() or (self.closing and not self._has_input()):
            await self._linger()
            return False
        self._h11.start_next_cycle()
        return True

    @property
    def waiting_since(self) -> float:
        """Return since when its next request makes no progress; infinite if one is served."""
        return self._input.waiting_since

    @property
    def is_ahead(self) -> bool:
        """Return whether its client sent the next request before it got its last answer."""
        return self._input.is_ahead and self._input.is_arriving

    @property
    def is_used(self) -> bool:
        """Return whether it has brought complete requests, and no part of another one."""
        return self._input.requests > 0 and not self.busy

    def evict(self) -> None:
        """End the request that arrives, or the wait for one, and close."""
        self._input.evict()

    def _has_input(self) -> bool:
        """Return whether a further request, or a part of it, or the caller's end has arrived."""
        return bool(self._h11.trailing_data[0]) or self.stream.is_dead()

    def _is_request_read(self) -> bool:
        return self._exchange is not None and self._h11.their_state is not h11.SEND_BODY

    def _is_reusable(self) -> bool:
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    def _make_exchange(self, head: _http_exchange.RequestHead) -> _http_exchange.Exchange:
        return _http_exchange.Exchange(head, self._h11, self.stream, self._limits, self._input)

    async def _receive_head(self) -> _http_exchange.RequestHead | None:
        """Return the next head; None if the connection ended or the request was refused."""
        event = await self._read_head()
        return None if event is None else await self._check_head(event)

    async def _read_head(self) -> h11.Request | None:
        """Return the next request; None if the connection ended or the request was refused."""
        await self._input.begin_request()
        if self._input.is_evicted:
            return None
        self.busy = self._input.buffered_bytes > 0
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
            data = await self._input.receive_head()
            if not data:
                await self._refuse_slow_head()
                return None
            if not self.busy:
                self.busy = True
                self.stream.arm(self._limits.header_s)

    async def _refuse_slow_head(self) -> None:
        """Respond if only a part of the head arrived in time, or before the server stopped.

        Otherwise the caller closed the connection or was idle, and there is nothing to answer.
        """
        if self._input.is_evicted:
            if self.busy:
                await self._make_exchange(_NO_HEAD).refuse_evicted()
            return
        if self.busy and self.stream.interrupted:
            await self.refuse(503, _http_exchange.stopping())
            return
        if not (self.busy and self.stream.expired):
            return
        error = errors.HttpLimitError(
            f"The request head did not arrive within {self._limits.header_s:g} s.",
            remedy="Send the complete head at once.",
            code=errors.Code.REQUEST_TIMEOUT,
        )
        await self.refuse(408, error)

    async def _refuse_head(self, cause: h11.RemoteProtocolError) -> None:
        if cause.error_status_hint == 431:
            await self._refuse_large_head()
            return
        error = errors.HttpLimitError(
            f"The request is not valid HTTP/1.1: {cause}.",
            remedy="Correct the request line, headers or framing.",
        )
        await self.refuse(400, error)

    async def _refuse_large_head(self) -> None:
        error = errors.HttpLimitError(
            f"The request head exceeds {self._limits.header_bytes} bytes"
            f" or {self._limits.header_count} header lines.",
            remedy="Send fewer or shorter headers.",
            code=errors.Code.HEADER_TOO_LARGE,
        )
        await self.refuse(431, error)

    async def _check_head(self, event: h11.Request) -> _http_exchange.RequestHead | None:
        """Return the parsed head; None if the request was refused."""
        lines = event.headers
        size = len(event.target) + sum(len(name) + len(value) + 4 for name, value in lines)
        if size > self._limits.header_bytes or len(lines) > self._limits.header_count:
            await self._refuse_large_head()
            return None
        if len(event.target) > self._limits.target_bytes:
            error = errors.HttpLimitError(
                f"The request target is longer than {self._limits.target_bytes} bytes.",
                remedy="Send a shorter path or query.",
                code=errors.Code.HEADER_TOO_LARGE,
            )
            await self.refuse(414, error)
            return None
        self._input.hold_head(size, len(lines))
        headers = _http_messages.decode_headers(lines)
        problem = _find_violation(event, headers)
        if problem:
            await self.refuse(400, errors.HttpLimitError(problem, remedy="Correct the request."))
            return None
        path, _, query = event.target.decode("latin-1").partition("?")
        method = event.method.decode("latin-1")
        return _http_exchange.RequestHead(method, path, query, headers)

    async def _answer(self, exchange: _http_exchange.Exchange) -> None:
        """Run the handler and make sure that the exchange is finished afterwards."""
        try:
            await self._handler(exchange)
        except errors.HttpLimitError:
            if not exchange.finished:
                await exchange.abort()  # The caller is gone, or its response can't be completed.
        except Exception as error:
            self._report(exchange.head, error)
        if exchange.finished:
            return
        if exchange.started or self._h11.our_state is not h11.SEND_RESPONSE:
            await exchange.abort()
            return
        fault = errors.MedlarError(
            "The request failed with an internal error.",
            remedy="Search this host's log for the error at the time of the request.",
            code=errors.Code.UNCERTAIN,
        )
        headers = _http_messages.error_headers(_http_messages.MAY_HAVE_RUN)
        await exchange.respond(500, headers, _http_messages.error_body(fault, 500))

    async def _linger(self) -> None:
        """Wait until the caller closes, discarding what it sends.

        Closing a socket with unread bytes sends a reset, which could destroy the last response.
        """
        self.stream.end_writing()
        self._input.end()
        self.stream.arm(self._limits.linger_s)
        skipped = 0
        # A caller may read the response only once it has written its whole body.
        while skipped <= self._limits.body_bytes:
            data = await self.stream.receive()
            if not data and not self.stream.expired:
                return
            if not data:
                break
            skipped += len(data)
        if skipped:
            # A caller whose window is closed would not notice the end before its next byte.
            await self.stream.reset()


def _find_violation(event: h11.Request, headers: dict[str, str]) -> str:
    """Return why a head that h11 accepts is refused; empty if it is valid."""
    if "transfer-encoding" in headers and "content-length" in headers:
        # Conflicting framing headers allow request smuggling.
        return "The request has both Content-Length and Transfer-Encoding."
    if event.method == b"CONNECT":
        return "The method CONNECT is not supported."
    if not event.target.startswith(b"/") and event.target != b"*":
        return "The request target must be a path."
    return ""
