"""Send HTTP/1.1 requests under curio over pooled connections."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Mapping

import h11

from medlarfork import errors
from medlarfork.http import _http_messages, _http_pool, _http_response

Response = _http_response.Response
ClientLimits = _http_pool.ClientLimits
Reachability = _http_pool.Reachability

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
"""Methods whose requests state a length even if it is 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Outgoing:
    """Hold a request that is ready to be written."""

    address: str
    head: h11.Request
    body: bytes


class HttpClient:
    """Send requests, reusing connections that were left whole.

    A request is never sent twice: a connection that fails after a byte was written is reported.
    """

    def __init__(self, *, limits: ClientLimits = ClientLimits()) -> None:  # noqa: B008 - frozen
        """Make a client; ``start`` must be awaited before the first request."""
        self._limits = limits
        self._pool = _http_pool.ConnectionPool(limits)

    @property
    def connections(self) -> int:
        """Return the number of open connections, idle ones included."""
        return self._pool.connections

    @property
    def idle_connections(self) -> int:
        """Return the number of connections kept for reuse."""
        return self._pool.idle_connections

    async def start(self) -> None:
        """Start the task that keeps deadlines."""
        await self._pool.start()

    async def close(self) -> None:
        """Close idle connections and end exchanges in progress."""
        await self._pool.close()

    async def reach(self, address: str, *, within_s: float) -> Reachability:
        """Say whether anybody listens at ``http://IP:PORT``, in ``within_s`` seconds at most."""
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
        may_send: Callable[[], bool] | None = None,
    ) -> Response:
        """Send a request and return its answer once the head of that is in.

        Args:
            address: ``http://IP:PORT``.
            method: HTTP method.
            target: Path, with the query if any.
            headers: Headers; those that concern the connection are set here.
            body: The whole body.
            timeout_s: Time to the end of the answer's body, in seconds.
            may_send: Asked once there is a connection, which can take as long as a lost packet.

        Raises:
            errors.RequestWithdrawnError: If ``may_send`` said no; no byte of the request left.
            errors.RequestNotSentError: If no byte of the request left.
            errors.UpstreamError: If the exchange failed after that.
        """
        outgoing = _prepare(address, method, target, headers, body)
        deadline_at = time.monotonic() + (timeout_s or self._limits.exchange_s)
        connection = await self._pool.take(address, deadline_at)
        if may_send is not None and not may_send():
            await self._pool.keep(connection)
            raise errors.RequestWithdrawnError(
                "The request was withdrawn before it was sent.",
                remedy="Send it elsewhere.",
            )
        try:
            return await connection.exchange(outgoing.head, outgoing.body, deadline_at)
        except BaseException:
            await connection.reset()
            raise


def _prepare(
    address: str, method: str, target: str, headers: Mapping[str, str], body: bytes
) -> _Outgoing:
    """Build a request.

    Raises:
        errors.RequestNotSentError: If it can't be expressed in HTTP/1.1.
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
            f"The request can't be expressed in HTTP/1.1: {error}.",
            remedy="Correct its method, target or headers.",
            code=errors.Code.BAD_REQUEST,
        ) from error
    return _Outgoing(address, head, body)


def _host(headers: Mapping[str, str], address: str) -> bytes:
    for name, value in headers.items():
        if name.lower() == "host":
            return value.encode("latin-1")
    return address.removeprefix("http://").encode("latin-1")
