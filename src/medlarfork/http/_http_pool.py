"""Connection pool of the HTTP client."""

from __future__ import annotations

import collections
import dataclasses
import enum
import errno
import functools
import math
import os
import socket
import time
from typing import Protocol

import curio
from curio import traps

from medlarfork import errors, timeouts
from medlarfork.http import _http_response, _http_stream

_SWEEP_PERIOD_S = 0.25
"""Interval at which deadlines of connections are checked, in seconds: half of the margin by which
idle connections are closed before their upstream closes them. Each check wakes the process."""


RECONNECT_S = 0.4
"""Time after which an attempt to connect that got no answer is made anew, in seconds: the kernel
sends a lost packet again after a second or more, and an answer takes far less."""

MIN_CONNECT_S = 0.2
"""Timeout below which an attempt to connect shows nothing about its address, in seconds: the
request was close to its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of the HTTP client.

    Attributes:
        connections: Maximum number of open connections, idle ones included.
        idle_per_address: Maximum number of idle connections to one address.
        idle_s: How long an idle connection is kept, in seconds.
        connect_s: Timeout for connecting, in seconds.
        exchange_s: Timeout to the end of a response for requests without their own, in seconds.
        header_bytes: Maximum size of a response head.
        head_s: Timeout for a response head, from its first byte, in seconds.
        interim_responses: Maximum number of interim (1xx) responses before the final one.
        body_bytes: Maximum size of a body that ``Response.read`` returns.
        unacknowledged_s: Timeout for unacknowledged data (TCP_USER_TIMEOUT), in seconds; 0 for
            the system's default.
    """

    connections: int = 4096
    idle_per_address: int = 64
    idle_s: float = 30.0
    connect_s: float = 2.0
    exchange_s: float = 600.0
    header_bytes: int = 32 * 1024
    head_s: float = 5.0
    interim_responses: int = 8
    body_bytes: int = 32 * 1024 * 1024
    unacknowledged_s: float = 0.0


class Reachability(enum.StrEnum):
    """Result of an attempt to connect to an address.

    A refusal means that no process listens on the port: it has ended or was never started.
    Silence says nothing about the process, since a network partition looks the same.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


class ConnectionObserver(Protocol):
    """Is told what a client's connections show about the reachability of addresses."""

    def on_connected(self, address: str) -> None:
        """Handle an accepted connection."""

    def on_connect_failed(self, address: str, *, is_refusal: bool = False) -> None:
        """Handle a connection that was refused, or an attempt that got no answer."""

    def on_received(self) -> None:
        """Handle bytes that arrived on any connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    """Idle connection, since when it is idle, and when it expires."""

    connection: _http_response.ClientConnection
    idle_since: float
    expires_at: float


class ConnectionPool:
    """Opens connections, keeps reusable ones and closes those that are dead or expired."""

    def __init__(self, limits: ClientLimits, observer: ConnectionObserver | None = None) -> None:
        """Create an empty pool."""
        self._limits = limits
        self._observer = observer
        self._idle_by_address: dict[str, collections.deque[_Idle]] = {}
        self._open: set[_http_response.ClientConnection] = set()
        self._opening = 0
        self._closed = False
        self._connect = _connect
        self._sweeper = _http_stream.Sweeper(_SWEEP_PERIOD_S, self._close_expired)

    @property
    def connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return len(self._open)

    @property
    def idle_connections(self) -> int:
        """Return the number of idle connections."""
        return sum(len(kept) for kept in self._idle_by_address.values())

    async def start(self) -> None:
        """Start the task that enforces deadlines."""
        self._closed = False
        await self._sweeper.start()

    async def close(self) -> None:
        """Close idle connections and abort exchanges; connections returned later are closed."""
        self._closed = True
        await self._sweeper.close()
        idle_by_address = self._idle_by_address
        self._idle_by_address = {}
        for kept in idle_by_address.values():
            for idle in kept:
                await idle.connection.close()
        for connection in self._open:
            connection.stream.expire()

    async def take(
        self, address: str, deadline_at: float, max_idle_s: float = math.inf
    ) -> _http_response.ClientConnection:
        """Return a live connection that was idle for at most ``max_idle_s``, or else a new one.

        Raises:
            errors.RequestNotSentError: If no connection can be opened.
        """
        kept = self._idle_by_address.get(address)
        while kept:
            idle = kept.pop()
            connection = idle.connection
            if not kept:
                self._idle_by_address.pop(address, None)
            is_stale = time.monotonic() - idle.idle_since > max_idle_s
            if not is_stale and not connection.stream.is_dead():
                return connection
            await connection.close()
            if is_stale:
                break  # The others have been idle for longer; this one makes room for a new one.
        return await self.open_new(address, deadline_at)

    async def reach(self, address: str, within_s: float) -> Reachability:
        """Probe an address by connecting to it; the connection is kept for reuse."""
        try:
            connection = await self.open_new(address, time.monotonic() + within_s)
        except errors.RequestNotSentError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reachability.REFUSES if refused else Reachability.SILENT
        await self.keep(connection)
        return Reachability.ACCEPTS

    async def keep(self, connection: _http_response.ClientConnection) -> None:
        """Return a reusable connection to the pool."""
        kept = self._idle_by_address.setdefault(connection.address, collections.deque())
        if self._closed or len(kept) >= self._limits.idle_per_address:
            if not kept:
                del self._idle_by_address[connection.address]
            await connection.close()
            return
        idle_s = min(self._limits.idle_s, connection.idle_s)
        if idle_s <= 0:
            await connection.close()
            return
        now = time.monotonic()
        kept.append(_Idle(connection, now, now + idle_s))

    def remove(self, connection: _http_response.ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self._open.discard(connection)
        self._sweeper.discard(connection.stream)

    def record_received(self) -> None:
        """Record that bytes have arrived on a connection."""
        if self._observer is not None:
            self._observer.on_received()

    async def open_new(self, address: str, deadline_at: float) -> _http_response.ClientConnection:
        """Return a new connection.

        Raises:
            errors.RequestNotSentError: If it can't be opened.
        """
        if len(self._open) + self._opening >= self._limits.connections:
            await self._close_one_idle()
        if len(self._open) + self._opening >= self._limits.connections:
            raise errors.RequestNotSentError(
                f"All {self._limits.connections} connections to upstreams are in use.",
                remedy="Send fewer concurrent requests, or raise the limit.",
                code=errors.Code.OVERLOADED,
            )
        within_s = min(self._limits.connect_s, deadline_at - time.monotonic())
        self._opening += 1
        try:
            connected = await self._connect(address, within_s)
        except errors.RequestNotSentError as error:
            is_timeout = isinstance(error.__cause__, curio.TaskTimeout)
            if self._observer is not None and not (is_timeout and within_s < MIN_CONNECT_S):
                is_refusal = isinstance(error.__cause__, ConnectionRefusedError)
                self._observer.on_connect_failed(address, is_refusal=is_refusal)
            raise
        finally:
            self._opening -= 1
        if self._observer is not None:
            self._observer.on_connected(address)
        stream = _http_stream.Stream(connected, unacknowledged_s=self._limits.unacknowledged_s)
        connection = _http_response.ClientConnection(
            address,
            stream,
            self,
            header_bytes=self._limits.header_bytes,
            head_s=self._limits.head_s,
            interim_responses=self._limits.interim_responses,
            body_bytes=self._limits.body_bytes,
        )
        self._open.add(connection)
        self._sweeper.add(stream)
        return connection

    async def _close_one_idle(self) -> None:
        """Close one idle connection to make room for a new one."""
        for address, kept in self._idle_by_address.items():
            oldest = kept.popleft()
            if not kept:
                del self._idle_by_address[address]
            await oldest.connection.close()
            return

    async def _close_expired(self) -> None:
        now = time.monotonic()
        for address in list(self._idle_by_address):
            kept = self._idle_by_address.get(address)
            while kept and kept[0].expires_at <= now:
                await kept.popleft().connection.close()
            if kept is not None and not kept:
                self._idle_by_address.pop(address, None)


@functools.lru_cache(maxsize=16384)
def _parse_address(address: str) -> tuple[socket.AddressFamily, str, int]:
    host, _, port = address.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not port.isdecimal():
        raise errors.RequestNotSentError(
            f"{address!r} is not a valid address.", remedy="Use the form http://IP:PORT."
        )
    if host.startswith("["):
        return socket.AF_INET6, host.strip("[]"), int(port)
    return socket.AF_INET, host, int(port)


async def _connect(address: str, within_s: float) -> socket.socket:
    """Return a connected socket.

    Raises:
        errors.RequestNotSentError: If the connection is refused or times out.
    """
    try:
        return await timeouts.call_with_timeout(within_s, _connect_patiently, address)
    except curio.TaskTimeout as error:
        raise _not_connected(address, f"no answer within {within_s:.3g} s") from error
    except (OSError, OverflowError) as error:
        raise _not_connected(address, str(error)) from error


async def _connect_patiently(address: str) -> socket.socket:
    """Connect, once more if the opening packet seems to be lost."""
    connect = functools.partial(_connect_socket, *_parse_address(address))
    return await timeouts.call_until(RECONNECT_S, connect) or await connect()


async def _connect_socket(family: socket.AddressFamily, host: str, port: int) -> socket.socket:
    connecting = socket.socket(family, socket.SOCK_STREAM)
    connecting.setblocking(False)
    try:
        code = connecting.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            await traps._write_wait(connecting)
            code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except BaseException:
        await traps._io_release(connecting)
        connecting.close()
        raise
    return connecting


def _not_connected(address: str, why: str) -> errors.RequestNotSentError:
    return errors.RequestNotSentError(
        f"Can't connect to {address}: {why}.",
        remedy="Check that the upstream is running and reachable from this host.",
    )
