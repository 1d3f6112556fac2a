"""HTTP/1.1 client under curio with pooled connections."""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Callable, Mapping

import h11

from medlarfork import errors
from medlarfork.http import _http_messages, _http_pool, _http_response

Response = _http_response.Response
ClientLimits = _http_pool.ClientLimits
Pace = _http_response.Pace
ReadHead = _http_response.ReadHead
SilenceWatch = _http_response.SilenceWatch
Reachability = _http_pool.Reachability
ConnectionObserver = _http_pool.ConnectionObserver

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose requests always have a Content-Length, even of 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Outgoing:
    """Request that is ready to be written."""

    address: str
    head: h11.Request
    body: bytes


class HttpClient:
    """HTTP client that reuses connections.

    It never retries a request: a failure after the first byte was written is raised to the caller.
    """

    def __init__(
        self,
        *,
        limits: ClientLimits = ClientLimits(),  # noqa: B008 - frozen
        observer: ConnectionObserver | None = None,
    ) -> None:
        """Create a client; ``start`` must be awaited before the first request."""
        self._limits = limits
        self._pool = _http_pool.ConnectionPool(limits, observer)

    @property
    def connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return self._pool.connections

    @property
    def idle_connections(self) -> int:
        """Return the number of idle connections."""
        return self._pool.idle_connections

    async def start(self) -> None:
        """Start the task that enforces deadlines."""
        await self._pool.start()

    async def close(self) -> None:
        """Close idle connections and abort exchanges in progress."""
        await self._pool.close()

    async def reach(self, address: str, *, within_s: float) -> Reachability:
        """Probe whether a process listens at ``http://IP:PORT``, with a timeout in seconds."""
        return await self._pool.reach(address, within_s)

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        timeout_s: float | None = None,
        unacknowledged_s: float | None = None,
        may_send: Callable[[], bool] | None = None,
        silence: SilenceWatch | None = None,
        request_id: str | None = None,
        max_idle_s: float = math.inf,
    ) -> Response:
        """Send a request and return the response once its head has arrived.

        Args:
            address: ``http://IP:PORT``.
            method: HTTP method.
            target: Path with the query, if any.
            headers: Headers; hop-by-hop headers are replaced by the client's own.
            body: The complete body.
            timeout_s: Timeout to the end of the response body, in seconds.
            unacknowledged_s: Timeout for unacknowledged data, in seconds; None for the client's.
            may_send: Called once connected, just before sending; False withdraws the request.
                Connecting takes long if a packet is lost, so the request may be obsolete by then.
            silence: What to do while the upstream does not acknowledge the request.
            request_id: Id that tells its response from others on the connection; empty if it has
                none, which takes a new connection; None if responses are not told apart.
            max_idle_s: How long a connection that is reused may have been idle, in seconds.

        Raises:
            errors.RequestWithdrawnError: If ``may_send`` returned False; no byte was sent.
            errors.RequestNotSentError: If no byte of the request was sent.
            errors.RequestSupersededError: If ``silence`` ended the exchange.
            errors.UpstreamError: If the exchange failed after that.
        """
        outgoing = _prepare(address, method, target, headers, body)
        deadline_at = time.monotonic() + (timeout_s or self._limits.exchange_s)
        connection = await self._take(address, deadline_at, request_id, max_idle_s)
        if may_send is not None and not may_send():
            await self._pool.keep(connection)
            raise errors.RequestWithdrawnError(
                "The request was withdrawn before it was sent.",
                remedy="Send it to another upstream.",
            )
        limit_s = self._limits.unacknowledged_s if unacknowledged_s is None else unacknowledged_s
        head, body = outgoing.head, outgoing.body
        try:
            connection.stream.limit_unacknowledged(limit_s)
            return await connection.exchange(
                head, body, deadline_at, silence=silence, request_id=request_id or ""
            )
        except BaseException:
            await connection.reset()
            raise

    async def _take(
        self, address: str, deadline_at: float, request_id: str | None, max_idle_s: float
    ) -> _http_response.ClientConnection:
        """Return a connection on which no late response can be taken for that of the request.

        An id that is used again would not tell the response from a copy of the earlier one.
        """
        if request_id == "":
            return await self._pool.open_new(address, deadline_at)
        connection = await self._pool.take(address, deadline_at, max_idle_s)
        while request_id is not None and not connection.may_carry(request_id):
            await connection.close()
            connection = await self._pool.take(address, deadline_at, max_idle_s)
        return connection


def _prepare(
    address: str, method: str, target: str, headers: Mapping[str, str], body: bytes
) -> _Outgoing:
    """Build a request.

    Raises:
        errors.RequestNotSentError: If it is not valid in HTTP/1.1.
    """
    try:
        lines = [
            line
            for line in _http_messages.encode_headers(headers)
            if line[0].lower() not in (b"content-length", b"expect", b"host")
        ]
        lines.append((b"Host", _host(headers, address)))
        if body or method in _BODY_METHODS:
            lines.append((b"Content-Length", b"%d" % len(body)))
        head = h11.Request(method=method, target=target, headers=lines)
    except (h11.LocalProtocolError, UnicodeError) as error:
        raise errors.RequestNotSentError(
            f"The request is not valid HTTP/1.1: {error}.",
            remedy="Correct its method, target or headers.",
            code=errors.Code.BAD_REQUEST,
        ) from error
    return _Outgoing(address, head, body)


def _host(headers: Mapping[str, str], address: str) -> bytes:
    for name, value in headers.items():
        if name.lower() == "host":
            return value.encode("latin-1")
    return address.removeprefix("http://").encode("latin-1")
