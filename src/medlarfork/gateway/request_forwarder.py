"""Forwards one request to relay hosts, and passes their answer on to the caller."""

from __future__ import annotations

import dataclasses
import functools
import time
from collections.abc import Callable

from medlarfork import errors
from medlarfork.gateway import (
    final_response,
    relay_client,
    request_types,
    retry_policy,
    stream_binding,
    stream_relay,
    upstream_call,
)
from medlarfork.http import event_framer, http_client
from medlarfork.placement import placement_messages
from medlarfork.resumption import stream_origin

BODY_PACE = http_client.Pace(grace_s=1.0, bytes_per_s=64 * 1024)
"""How fast a relay host has to send a body if another one may get the request: it sends one only
once it is complete, and the slowest link between data centres carries several times as much."""

STALL_FACTOR = 2.0
"""Stall timeout of a relay host's stream, as a multiple of that of an upstream's: a relay host that
is sound fails a stalled stream over to another upstream first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The caller has got the final answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The relay host did not run the request.

    Attributes:
        retry_after_ms: When the caller may come back, as the relay host states; None if it could
            not be reached.
        is_rejected: Whether upstreams have rejected the request there.
    """

    retry_after_ms: float | None = None
    is_rejected: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The connection to the relay host broke; the request may have run."""


ForwardEnd = Answered | NotRun | Broken


class RequestForwarder:
    """Forwards one request; the relay host applies the retry rules to what it sends."""

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        shared: request_types.SharedContext,
        stream: stream_relay.StreamRelay,
        trace: request_types.Trace,
        binding: stream_binding.StreamBinding,
    ) -> None:
        """Create a forwarder; nothing is sent yet."""
        self._admitted = admitted
        self._shared = shared
        self._stream = stream
        self._trace = trace
        self._binding = binding
        self._final = final_response.FinalResponse(admitted, shared, trace)

    async def forward(
        self, relay_host: str, progress: retry_policy.Progress, on_start: Callable[[], None]
    ) -> ForwardEnd:
        """Forward the request to a relay host.

        Args:
            relay_host: ``IP:PORT`` of the relay host.
            progress: The attempts so far.
            on_start: Called before the caller gets the head of its response.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        self._trace.relays.append(relay_host)
        self._stream.begin_attempt()
        sent = await self._shared.relaying.send(
            relay_host,
            self._admitted,
            self._shared.names,
            left_ms=(self._admitted.deadline_at - time.monotonic()) * 1000.0,
            last_event_id=self._stream.last_event_id,
            origin=self._binding.origin,
            runs=progress.runs,
        )
        match sent:
            case relay_client.Refused(retry_after_ms, why, is_rejected):
                self._trace.reasons.append(f"{relay_host}: {why}")
                return NotRun(retry_after_ms, is_rejected)
            case upstream_call.Failure(end, why):
                self._trace.reasons.append(f"{relay_host}: {why}")
                is_unreached = end is placement_messages.RunEnd.UNREACHABLE
                return NotRun() if is_unreached else Broken()
        origin = stream_origin.from_header(sent.headers.pop(self._shared.names.origin, ""))
        try:
            await self._relay(sent, progress, functools.partial(self._begin, origin, on_start))
        except errors.UpstreamError as error:
            self._trace.reasons.append(f"{relay_host}: {error}")
            return Broken()
        finally:
            # Without this the relay host goes on with the work of a cancelled or failed relay.
            await sent.close()
        return Answered()

    def _begin(
        self, origin: stream_origin.StreamOrigin | None, on_start: Callable[[], None]
    ) -> None:
        """Bind the request to what the relay host states about its stream."""
        self._binding.begin_forwarded(origin)
        on_start()

    async def _relay(
        self,
        response: http_client.Response,
        progress: retry_policy.Progress,
        on_start: Callable[[], None],
    ) -> None:
        self._trace.framing = response.framing.value
        if response.status < 300 and event_framer.can_be_framed(response.headers):
            may_retry = await self._may_retry(progress)
            await self._stream.relay(
                response,
                on_start=on_start,
                stall_timeout_s=functools.partial(self._stall_timeout_s, may_retry=may_retry),
                on_stall=_fail_stalled,
            )
            await self._stream.finish()
            self._trace.result = request_types.Result.ANSWERED
            self._trace.status = response.status
            return
        if progress.response_started:
            await response.discard()
            raise upstream_call.not_resumed(response.status)
        pace = BODY_PACE if await self._may_retry(progress) else None
        body = await self._stream.read_whole(response, pace)
        took_s = time.monotonic() - self._admitted.started_at
        self._trace.first_event_ms = took_s * 1000.0
        await self._final.pass_on(response, body)

    def _stall_timeout_s(self, *, may_retry: bool) -> float | None:
        """Return the stall timeout if another relay host may resume the stream."""
        can_resume = self._stream.can_resume and self._binding.may_go_on
        if not (may_retry and self._stream.has_bytes and can_resume):
            return None
        return STALL_FACTOR * retry_policy.stall_timeout_s(self._admitted.route)

    async def _may_retry(self, progress: retry_policy.Progress) -> bool:
        """Return whether another relay host may get the request, should this one fail."""
        after = progress.after(placement_messages.RunEnd.BROKEN)
        left_ms = (self._admitted.deadline_at - time.monotonic()) * 1000.0
        may_repeat = retry_policy.may_retry(self._admitted.route, after, left_ms)
        return may_repeat and bool(await self._shared.relaying.choose(self._trace.relays))


async def _fail_stalled(response: http_client.Response) -> stream_relay.Continuation:
    raise errors.UpstreamError(
        "The relay host's stream brought no event for long.",
        remedy="Check the relay host; the stream goes on at another one if it may be resumed.",
        code=errors.Code.REQUEST_TIMEOUT,
    )
