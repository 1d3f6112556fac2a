"""HTTP/1.1 server under curio, with limits on what callers may use."""

from __future__ import annotations

import contextlib
import heapq
import logging
import socket
import time
from typing import TYPE_CHECKING

import curio
from curio import traps

from medlarfork import errors, timeouts, vital_tasks
from medlarfork.http import (
    _http_connection,
    _http_exchange,
    _http_limits,
    _http_stream,
    listener,
)

if TYPE_CHECKING:
    from medlarfork.http import input_gate

Exchange = _http_exchange.Exchange
RequestHead = _http_exchange.RequestHead
HttpLimits = _http_limits.HttpLimits
Handler = _http_connection.Handler
FaultReporter = _http_connection.FaultReporter

_MAX_REFUSALS = 64
"""Connections beyond the limit that get an error response at the same time; more are reset."""

_ACCEPT_RETRY_S = 0.1
"""Delay before accepting again after an error, such as no free descriptors, in seconds."""

_LAST_REFUSALS_S = 0.1
"""Time for the refusals of incomplete requests when the server closes, in seconds."""

_MAX_SWEEP_PERIOD_S = 0.25
"""Maximum interval between checks of deadlines, and so their maximum delay, in seconds."""

_MIN_SWEEP_PERIOD_S = 0.01
"""Minimum interval between checks of deadlines, in seconds."""

PATIENCE_S = 0.5
"""Time without progress after which a connection may be closed for a new one, in seconds."""

MAX_EVICTED = 16
"""Connections that are closed at once when there are too many: finding them takes a while."""

_MAX_ACCEPTED = 32
"""Connections that are accepted before other tasks run."""

_log = logging.getLogger(__name__)


def _log_fault(head: RequestHead, error: Exception) -> None:
    _log.error("handler failed: %s %s", head.method, head.path, exc_info=error)


class HttpServer:
    """HTTP server that passes each request to a handler."""

    def __init__(
        self,
        handler: Handler,
        *,
        host: str,
        port: int,
        limits: HttpLimits = HttpLimits(),  # noqa: B008 - frozen
        report: FaultReporter = _log_fault,
        listening: socket.socket | None = None,
        gate: input_gate.InputGate | None = None,
    ) -> None:
        """Create the server; ``start`` makes it listen.

        Args:
            handler: Handles one exchange by writing its response.
            host: IP address to listen on.
            port: TCP port; 0 lets the system choose.
            limits: Limits on what callers may use.
            report: Receives the unexpected exceptions of the handler.
            listening: Socket that already listens at the address (see ``listener``).
            gate: What all servers of a process share; None for one of its own.
        """
        self._gate = _make_gate() if gate is None else gate
        self._handler = handler
        self._listening = listening
        self._host = host
        self._port = port
        self._limits = limits
        self._report = report
        self._listener: socket.socket | None = None
        self._acceptor: curio.Task | None = None
        self._task_by_connection: dict[_http_connection.Connection, curio.Task] = {}
        self._refusal_by_connection: dict[_http_connection.Connection, curio.Task] = {}
        self._evicted: set[_http_connection.Connection] = set()
        self._exchanges = 0
        self._all_closed = curio.Event()
        self._sweeper = _http_stream.Sweeper(_sweep_period(limits), self._gate.report_evictions)

    @property
    def address(self) -> str:
        """Return ``http://IP:PORT`` with the actual port."""
        host = f"[{self._host}]" if ":" in self._host else self._host
        return f"http://{host}:{self._port}"

    @property
    def connections(self) -> int:
        """Return the number of connections being served."""
        return len(self._task_by_connection)

    @property
    def exchanges(self) -> int:
        """Return the number of requests in progress."""
        return self._exchanges

    async def start(self) -> None:
        """Start to listen and to accept connections.

        Raises:
            errors.SettingsError: If the address can't be listened on.
        """
        listening = self._listening or listener.open_at(self._host, self._port)
        self._port = listening.getsockname()[1]
        self._listener = listening
        await self._sweeper.start()
        self._acceptor = await vital_tasks.spawn(self._accept, listening)

    async def close(self, *, within_s: float) -> None:
        """Stop accepting, let exchanges in progress finish, and cancel those that remain.

        Requests that are incomplete at the end are refused.

        Args:
            within_s: Grace period for the exchanges, in seconds.
        """
        await self._stop_accepting()
        for connection in list(self._task_by_connection):
            await connection.close_when_done()
        await self._wait_closed(within_s)
        for connection in self._task_by_connection:
            connection.stop_receiving()
        if any(connection.stream.interrupted for connection in self._task_by_connection):
            await self._wait_closed(_LAST_REFUSALS_S)
        left = [*self._task_by_connection.values(), *self._refusal_by_connection.values()]
        for task in left:
            await task.cancel()
        await self._sweeper.close()

    async def _wait_closed(self, within_s: float) -> None:
        """Wait until all connections have ended, or until the time is over."""
        until = time.monotonic() + within_s
        while self._task_by_connection and time.monotonic() < until:
            self._all_closed.clear()
            await timeouts.call_until(until - time.monotonic(), self._all_closed.wait)

    async def _stop_accepting(self) -> None:
        if self._acceptor is not None:
            await self._acceptor.cancel()
            self._acceptor = None
        if self._listener is None:
            return
        # Connections in the backlog look established to their callers, and closing the listener
        # would reset them.
        with contextlib.suppress(OSError):
            while await self._accept_one(self._listener):
                pass
        self._listener.close()
        self._listener = None

    async def _accept(self, listening: socket.socket) -> None:
        accepted = 0
        while True:
            try:
                while await self._accept_one(listening):
                    accepted += 1
                    if accepted % _MAX_ACCEPTED == 0:
                        await curio.sleep(0)
                await traps._read_wait(listening)
            except OSError as error:
                _log.error("can't accept: %s", error)
                await curio.sleep(_ACCEPT_RETRY_S)

    async def _accept_one(self, listening: socket.socket) -> bool:
        """Accept a connection from the backlog; return whether there may be more.

        Raises:
            OSError: If the system has no free descriptor.
        """
        try:
            accepted, _ = listening.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionError:
            return True  # The caller disconnected before it was accepted.
        await self._take(accepted)
        return True

    async def _take(self, accepted: socket.socket) -> None:
        """Serve a new connection, or refuse it if there are too many."""
        try:
            stream = _http_stream.Stream(
                accepted,
                stall_s=self._limits.stall_s,
                unacknowledged_s=self._limits.unacknowledged_s,
            )
        except OSError:
            accepted.close()
            return
        connection = _http_connection.Connection(
            stream,
            handler=self._handle,
            limits=self._limits,
            report=self._report,
            gate=self._gate,
        )
        if self._is_full and not self._evict_connections():
            await self._refuse(connection)
            return
        task = await curio.spawn(self._serve, connection, daemon=True)
        self._task_by_connection[connection] = task

    @property
    def _is_full(self) -> bool:
        open_connections = len(self._task_by_connection) - len(self._evicted)
        return open_connections >= self._limits.connections

    def _evict_connections(self) -> bool:
        """Close connections that make no progress or send ahead; return whether there were any.

        Requests that stand still go first, then connections that wait for another request.
        """
        before = time.monotonic() - PATIENCE_S
        idle = [
            connection
            for connection in self._task_by_connection
            if connection not in self._evicted
            and (connection.waiting_since < before or connection.is_ahead)
        ]
        found = heapq.nsmallest(
            MAX_EVICTED, idle, key=lambda connection: (connection.is_used, connection.waiting_since)
        )
        for connection in found:
            connection.evict()
        self._evicted.update(found)
        return bool(found)

    async def _serve(self, connection: _http_connection.Connection) -> None:
        self._sweeper.add(connection.stream)
        try:
            await connection.serve()
        finally:
            self._sweeper.discard(connection.stream)
            self._task_by_connection.pop(connection, None)
            self._evicted.discard(connection)
            if not self._task_by_connection:
                await self._all_closed.set()

    async def _handle(self, exchange: Exchange) -> None:
        self._exchanges += 1
        try:
            await self._handler(exchange)
        finally:
            self._exchanges -= 1

    async def _refuse(self, connection: _http_connection.Connection) -> None:
        if len(self._refusal_by_connection) >= _MAX_REFUSALS:
            await connection.stream.reset()
            return
        task = await curio.spawn(self._run_refusal, connection, daemon=True)
        self._refusal_by_connection[connection] = task

    async def _run_refusal(self, connection: _http_connection.Connection) -> None:
        error = errors.HttpLimitError(
            f"This host already serves its limit of {self._limits.connections} connections.",
            remedy="Use another entry host, or try again later.",
            code=errors.Code.OVERLOADED,
        )
        self._sweeper.add(connection.stream)
        try:
            with contextlib.suppress(OSError, errors.HttpLimitError):
                await connection.refuse(503, error)
        finally:
            self._sweeper.discard(connection.stream)
            self._refusal_by_connection.pop(connection, None)
            await connection.stream.close()


def create_server(
    handler: Handler,
    address: str,
    limits: HttpLimits = HttpLimits(),  # noqa: B008 - frozen
    listening: socket.socket | None = None,
    gate: input_gate.InputGate | None = None,
) -> HttpServer:
    """Return a server for an address of the form ``IP:PORT``, as in settings."""
    host, _, port = address.rpartition(":")
    return HttpServer(
        handler, host=host, port=int(port), limits=limits, listening=listening, gate=gate
    )


def _make_gate() -> input_gate.InputGate:
    # Imported here, so that the host listens before this is loaded.
    from medlarfork.http import input_gate

    return input_gate.InputGate()


def _sweep_period(limits: HttpLimits) -> float:
    min_timeout_s = min(
        limits.header_s, limits.body_s, limits.idle_s, limits.stall_s, limits.linger_s
    )
    return min(max(min_timeout_s / 4, _MIN_SWEEP_PERIOD_S), _MAX_SWEEP_PERIOD_S)
