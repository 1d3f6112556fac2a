"""Forwards requests to other entry hosts while this host reaches no upstream of their service."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection

import curio

from medlarfork import errors, timeouts
from medlarfork.gateway import (
    request_header_names,
    request_metadata,
    request_types,
    upstream_call,
)
from medlarfork.http import _http_messages, header_names, http_client
from medlarfork.placement import local_choice, placement_messages
from medlarfork.resumption import stream_origin

LIMITS = http_client.ClientLimits(
    connections=1024,
    connect_s=0.3,
    idle_s=5.0,
    head_s=1.0,
    interim_responses=0,
    unacknowledged_s=4.0,
)
"""Limits of connections to relay hosts, which are mostly in the same data centre, send each head in
one piece, and send no interim responses."""

HOSTS_WAIT_S = 0.1
"""How long a request waits for the first list of relay hosts, in seconds: a round trip to a replica
after a change of the status, and its work."""

MAX_FORWARDS = 3
"""Relay hosts that one request is forwarded to; each may be stopping, overloaded or cut off."""

_OUTCOME = header_names.OUTCOME.lower()
"""Header with which a relay host's HTTP server states that no handler got the request; entry hosts
remove it from upstreams' responses."""

_RAN_STATUSES = frozenset({502, 504})
"""Statuses of a relay host's own answers to requests that may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A relay host's answer to a request that it did not run.

    Attributes:
        retry_after_ms: When the caller may come back, as the relay host states; a short time if it
            states none.
        why: The reason, as a phrase for people.
        is_rejected: Whether upstreams have rejected the request; another relay host would send it
            to the same ones.
    """

    retry_after_ms: float
    why: str
    is_rejected: bool = False


class RelayClient:
    """Knows the relay hosts that replicas name, and sends requests to them."""

    def __init__(self) -> None:
        """Start without relay hosts."""
        self._client = http_client.HttpClient(limits=LIMITS)
        self._addresses: tuple[str, ...] = ()
        self._named = curio.Event()
        self._changed = curio.Event()
        self._random = random.Random()

    async def start(self) -> None:
        """Start the task that enforces deadlines."""
        await self._client.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def use_hosts(self, addresses: tuple[str, ...]) -> None:
        """Use the relay hosts that a replica has named last."""
        self._addresses = addresses
        await self._named.set()
        await self._changed.set()

    def forget_hosts(self) -> None:
        """Forget the relay hosts, once this host reaches all services again."""
        self._addresses = ()
        self._named.clear()

    async def choose(self, excluded: Collection[str]) -> str:
        """Return the address of a relay host; empty if there is none.

        Args:
            excluded: Relay hosts that have failed or refused this request.
        """
        if len(excluded) >= MAX_FORWARDS:
            return ""
        if not self._named.is_set():
            await timeouts.call_until(HOSTS_WAIT_S, self._named.wait)
        usable = self._usable(excluded)
        return self._random.choice(usable) if usable else ""

    async def wait_usable(self, excluded: Collection[str], within_s: float) -> bool:
        """Return whether there is a relay host to choose, once replicas have named one.

        Args:
            excluded: Relay hosts that have failed or refused this request.
            within_s: How long to wait at most, in seconds.
        """
        if len(excluded) >= MAX_FORWARDS:
            return False
        await timeouts.call_until(within_s, self._wait_named, excluded)
        return bool(self._usable(excluded))

    async def _wait_named(self, excluded: Collection[str]) -> None:
        while not self._usable(excluded):
            self._changed.clear()
            await self._changed.wait()

    def _usable(self, excluded: Collection[str]) -> list[str]:
        return [address for address in self._addresses if address not in excluded]

    async def send(
        self,
        address: str,
        admitted: request_types.AdmittedRequest,
        names: request_header_names.RequestHeaderNames,
        *,
        left_ms: float,
        last_event_id: str,
        origin: stream_origin.StreamOrigin | None,
        runs: int,
    ) -> http_client.Response | upstream_call.Failure | Refused:
        """Forward a request; return the response once its head has arrived.

        Args:
            address: ``IP:PORT`` of the relay host.
            admitted: The request.
            names: Names of the headers.
            left_ms: Time until the deadline, in milliseconds.
            last_event_id: The last event that the caller has received; empty for none.
            origin: What began the stream that it goes on with; None if it begins one.
            runs: Attempts that an upstream may have run already.
        """
        head = admitted.exchange.head
        headers = request_metadata.relay_headers(
            head.headers,
            names,
            left_ms=left_ms,
            last_event_id=last_event_id,
            origin=origin,
            runs=runs,
        )
        try:
            response = await self._client.request(
                f"http://{address}",
                head.method,
                head.target,
                headers,
                admitted.body,
                timeout_s=max(left_ms, 1.0) / 1000.0,
            )
        except errors.RequestNotSentError as error:
            return upstream_call.Failure(placement_messages.RunEnd.UNREACHABLE, str(error))
        except errors.UpstreamError as error:
            return upstream_call.Failure(placement_messages.RunEnd.BROKEN, str(error))
        own_answer = response.headers.pop(names.own_answer, None)
        if not _is_refusal(response, own_answer):
            return response
        await response.discard()
        is_rejected = own_answer == request_header_names.REJECTED
        return Refused(_retry_after_ms(response), f"status {response.status}", is_rejected)


def _is_refusal(response: http_client.Response, own_answer: str | None) -> bool:
    """Return whether a relay host states that the request did not run."""
    if own_answer is None:
        return response.headers.get(_OUTCOME) == _http_messages.NOT_RUN
    return response.status not in _RAN_STATUSES


def _retry_after_ms(response: http_client.Response) -> float:
    try:
        return max(0.0, float(response.headers["retry-after"])) * 1000.0
    except (KeyError, ValueError):
        return local_choice.RETRY_MS
