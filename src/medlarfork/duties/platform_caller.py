"""HTTP client for the calls of duties; each call runs in its own task."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import curio

from medlarfork import errors, logs
from medlarfork.duties import duty_types, platform_format
from medlarfork.http import http_client

_log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 3.0
"""Timeout of a call, in seconds; the platform may still execute the call later."""

_LIMITS = http_client.ClientLimits(body_bytes=64 * 1024)
"""Limits of calls; the platform answers with its status and a few fields."""

MayAct = Callable[[int], bool]
"""Returns whether this replica may act with a fence now."""

OnCallEnd = Callable[[duty_types.PlatformCalled], Awaitable[None]]
"""Called with the result of each call."""


class PlatformCaller:
    """Owns the connections to the platform and the tasks of its calls."""

    def __init__(
        self,
        address: str,
        *,
        api_format: platform_format.PlatformFormat,
        may_act: MayAct,
        on_call_end: OnCallEnd,
    ) -> None:
        """Create the caller; no connection is opened before ``start``."""
        self._address = f"http://{address}"
        self._speaks = api_format
        self._may_act = may_act
        self._on_call_end = on_call_end
        self._client = http_client.HttpClient(limits=_LIMITS)
        self._tasks: set[curio.Task] = set()

    @property
    def calls_in_progress(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._tasks)

    async def start(self) -> None:
        """Start the HTTP client."""
        await self._client.start()

    async def close(self) -> None:
        """Cancel calls in progress and close the connections."""
        for task in tuple(self._tasks):
            await task.cancel()
        await self._client.close()

    async def call(self, action: duty_types.CallPlatform) -> None:
        """Make a call in its own task."""
        self._tasks.add(await curio.spawn(self._run_call, action, daemon=True))

    async def _run_call(self, action: duty_types.CallPlatform) -> None:
        try:
            await self._on_call_end(
                duty_types.PlatformCalled(action.call_id, await self._send(action))
            )
        finally:
            self._tasks.discard(await curio.current_task())

    async def _send(self, action: duty_types.CallPlatform) -> duty_types.CallEnd:
        outgoing = self._speaks.encode(action.call, action.fence)
        # Checked right before sending: this process may have been suspended since the decision.
        if not self._may_act(action.fence):
            return duty_types.CallEnd.NOT_SENT
        try:
            response = await self._client.request(
                self._address,
                outgoing.method,
                outgoing.target,
                outgoing.headers,
                outgoing.body,
                timeout_s=CALL_TIMEOUT_S,
            )
            await response.read()
        except errors.RequestNotSentError as error:
            self._log_failure(action, error)
            return duty_types.CallEnd.NOT_SENT
        except errors.UpstreamError as error:
            self._log_failure(action, error)
            return duty_types.CallEnd.UNKNOWN
        return _end(response.status)

    def _log_failure(self, action: duty_types.CallPlatform, error: Exception) -> None:
        logs.event(
            _log, "platform_call_failed", call=action.call_id, fence=action.fence, cause=error
        )


def _end(status: int) -> duty_types.CallEnd:
    match status:
        case 200 | 201 | 202 | 204:
            return duty_types.CallEnd.DONE
        case 409:
            return duty_types.CallEnd.REFUSED
        case 429:
            return duty_types.CallEnd.THROTTLED
        case _:
            return duty_types.CallEnd.UNKNOWN
