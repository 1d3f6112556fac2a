"""Keep connections to upstreams for reuse, within bounds."""

from __future__ import annotations

import collections
import dataclasses
import enum
import errno
import functools
import os
import socket
import time

import curio
from curio import traps

from medlarfork import errors
from medlarfork.http import _http_response, _http_stream

_SWEEP_PERIOD_S = 0.25
"""How often deadlines of connections are checked, in seconds: half of the time by which idle ones
are closed before their upstream does. Each check wakes the process."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bound what upstreams may use.

    Attributes:
        connections: Connections open at once, idle ones included.
        idle_per_address: Connections kept for reuse to one address.
        idle_s: How long a connection is kept for reuse, in seconds.
        connect_s: Time to connect, in seconds.
        exchange_s: Time to the end of an answer where the request names none, in seconds.
        header_bytes: Length of an answer's head.
        body_bytes: Length of a body that ``Response.read`` collects.
        unacknowledged_s: Time after which a connection is given up whose peer acknowledges
            nothing, in seconds; 0 leaves that to the system.
    """

    connections: int = 4096
    idle_per_address: int = 64
    idle_s: float = 30.0
    connect_s: float = 2.0
    exchange_s: float = 600.0
    header_bytes: int = 32 * 1024
    body_bytes: int = 32 * 1024 * 1024
    unacknowledged_s: float = 0.0


class Reachability(enum.StrEnum):
    """Say what an attempt to connect to an address met.

    A port that refuses has nobody who listens: its process has ended, or never began. Silence
    tells nothing of the process, since a cut looks the same.
    """

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    """Hold a connection until it is reused or has been idle for too long."""

    connection: _http_response.ClientConnection
    expires_at: float


class ConnectionPool:
    """Open connections, keep those that end whole, and drop what is dead or old."""

    def __init__(self, limits: ClientLimits) -> None:
        """Make an empty pool."""
        self._limits = limits
        self._idle_by_address: dict[str, collections.deque[_Idle]] = {}
        self._open: set[_http_response.ClientConnection] = set()
        self._opening = 0
        self._closed = False
        self._sweeper = _http_stream.Sweeper(_SWEEP_PERIOD_S, self._close_expired)

    @property
    def connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return len(self._open)

    @property
    def idle_connections(self) -> int:
        """Return the number of connections kept for reuse."""
        return sum(len(kept) for kept in self._idle_by_address.values())

    async def start(self) -> None:
        """Start the task that keeps deadlines."""
        self._closed = False
        await self._sweeper.start()

    async def close(self) -> None:
        """Close idle connections, end exchanges in progress, and keep none from now on."""
        self._closed = True
        await self._sweeper.close()
        idle_by_address = self._idle_by_address
        self._idle_by_address = {}
        for kept in idle_by_address.values():
            for idle in kept:
                await idle.connection.close()
        for connection in self._open:
            connection.stream.expire()

    async def take(self, address: str, deadline_at: float) -> _http_response.ClientConnection:
        """Return an idle connection that is alive, or a new one.

        Raises:
            errors.RequestNotSentError: If there is none and none can be opened.
        """
        kept = self._idle_by_address.get(address)
        while kept:
            connection = kept.pop().connection
            if not kept:
                self._idle_by_address.pop(address, None)
            if not connection.stream.is_dead():
                return connection
            await connection.close()
        return await self._open_new(address, deadline_at)

    async def reach(self, address: str, within_s: float) -> Reachability:
        """Connect to an address and say what that met; the connection is kept for reuse."""
        try:
            connection = await self._open_new(address, time.monotonic() + within_s)
        except errors.RequestNotSentError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reachability.REFUSES if refused else Reachability.SILENT
        await self.keep(connection)
        return Reachability.ACCEPTS

    async def keep(self, connection: _http_response.ClientConnection) -> None:
        """Take a connection back that can carry another request."""
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
        kept.append(_Idle(connection, time.monotonic() + idle_s))

    def remove(self, connection: _http_response.ClientConnection) -> None:
        """Stop counting a connection that has been closed."""
        self._open.discard(connection)
        self._sweeper.discard(connection.stream)

    async def _open_new(self, address: str, deadline_at: float) -> _http_response.ClientConnection:
        if len(self._open) + self._opening >= self._limits.connections:
            await self._close_one_idle()
        if len(self._open) + self._opening >= self._limits.connections:
            raise errors.RequestNotSentError(
                f"All {self._limits.connections} connections to upstreams are in use.",
                remedy="Send fewer requests at once, or raise the limit.",
                code=errors.Code.OVERLOADED,
            )
        within_s = min(self._limits.connect_s, deadline_at - time.monotonic())
        self._opening += 1
        try:
            connected = await _connect(address, within_s)
        finally:
            self._opening -= 1
        stream = _http_stream.Stream(connected, unacknowledged_s=self._limits.unacknowledged_s)
        connection = _http_response.ClientConnection(
            address,
            stream,
            self,
            header_bytes=self._limits.header_bytes,
            body_bytes=self._limits.body_bytes,
        )
        self._open.add(connection)
        self._sweeper.add(stream)
        return connection

    async def _close_one_idle(self) -> None:
        """Make room by closing a connection that nobody uses."""
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
            f"{address!r} is not an address.", remedy="Give it as http://IP:PORT."
        )
    if host.startswith("["):
        return socket.AF_INET6, host.strip("[]"), int(port)
    return socket.AF_INET, host, int(port)


async def _connect(address: str, within_s: float) -> socket.socket:
    """Return a connected socket.

    Raises:
        errors.RequestNotSentError: If the address refuses or doesn't answer in time.
    """
    try:
        return await curio.timeout_after(within_s, _connect_socket, *_parse_address(address))
    except curio.TaskTimeout as error:
        raise _not_connected(address, f"no answer within {within_s:.3g} s") from error
    except (OSError, OverflowError) as error:
        raise _not_connected(address, str(error)) from error


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
        remedy="See whether the upstream runs and can be reached from this host.",
    )
