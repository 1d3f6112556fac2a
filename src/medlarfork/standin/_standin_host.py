"""HTTP server, announcements and graceful stop of a stand-in."""

from __future__ import annotations

import contextlib
import functools
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio
import msgspec

from medlarfork import _stop_signal, errors, timeouts, upstream
from medlarfork.http import header_names, http_server
from medlarfork.standin import _standin_faults, _standin_openai, announcer

_JSON = {"Content-Type": "application/json"}
_NOT_RUN = _JSON | {header_names.RETRY_AFTER: "1", header_names.OUTCOME: "not_run"}
_IDLE_POLL_S = 0.02
"""Interval at which a graceful stop checks for work in progress, in seconds."""


class StandinHost:
    """Parts that all stand-ins share.

    Attributes:
        stopping: Whether a graceful stop has started, so that new work is refused.
        busy: Number of requests in progress.
    """

    def __init__(
        self,
        answer: http_server.Handler,
        *,
        host: str,
        port: int,
        drain_s: float,
    ) -> None:
        """Create the server; ``drain_s`` is the timeout of a graceful stop, in seconds."""
        self.stopping = False
        self.busy = 0
        self._drain_s = drain_s
        self._server = http_server.HttpServer(answer, host=host, port=port)
        self._announcer: announcer.Announcer | None = None

    @property
    def address(self) -> str:
        """Return ``http://IP:PORT`` with the actual port."""
        return self._server.address

    @property
    def incarnation(self) -> int:
        """Return the incarnation that is announced; 0 before the start."""
        return 0 if self._announcer is None else self._announcer.incarnation

    async def start(
        self,
        *,
        entries: Iterable[str],
        key: str,
        describe: Callable[[], upstream.Announcement],
    ) -> None:
        """Listen, then announce."""
        await self._server.start()
        self._announcer = announcer.Announcer(seeds=entries, key=key, describe=describe)
        await self._announcer.start()

    async def stop(self) -> None:
        """Refuse new work, announce the leave, finish requests in progress, then close."""
        self.stopping = True
        if self._announcer is not None:
            await self._announcer.leave()
        with contextlib.suppress(curio.TaskTimeout):
            async with timeouts.timeout_after(self._drain_s):
                while self.busy:
                    await curio.sleep(_IDLE_POLL_S)
        await self.close()

    async def close(self) -> None:
        """Close immediately."""
        if self._announcer is not None:
            await self._announcer.close()
            self._announcer = None
        await self._server.close(within_s=0.0)

    @contextlib.contextmanager
    def working(self) -> Any:
        """Count a request as in progress."""
        self.busy += 1
        try:
            yield
        finally:
            self.busy -= 1


async def serve_until_signal(
    start: Callable[[], Awaitable[None]], host: StandinHost, name: str
) -> None:
    """Run a stand-in until SIGTERM or SIGINT, then stop it gracefully."""
    stop_signal = _stop_signal.StopSignal()
    stop_signal.start()
    await start()
    print(f"event=listening name={name} address={host.address}", flush=True)
    await stop_signal.wait()
    await host.stop()
    stop_signal.close()
    print(f"event=stopped name={name}", flush=True)


async def run_until_disconnect(
    exchange: http_server.Exchange, work: Callable[[], Awaitable[None]]
) -> None:
    """Run work until it ends, or cancel it when the caller disconnects."""
    async with curio.TaskGroup(wait=any) as group:
        worker = await group.spawn(_ignore_disconnect, work)
        await group.spawn(exchange.wait_caller_gone)
    if worker is group.completed:
        _ = worker.result


async def _ignore_disconnect(work: Callable[[], Awaitable[None]]) -> None:
    """Run work; a caller that disconnects during a write does not fail the task."""
    with contextlib.suppress(errors.CallerDisconnectedError):
        await work()


async def respond(exchange: http_server.Exchange, value: Any, status: int = 200) -> None:
    """Respond with JSON."""
    await exchange.respond(status, _JSON, msgspec.json.encode(value))


async def respond_error(
    exchange: http_server.Exchange, status: int, problem: str, code: errors.Code
) -> None:
    """Respond with an error."""
    await respond(exchange, _error_body(problem, code), status)


async def respond_faults(
    exchange: http_server.Exchange, switches: _standin_faults.FaultSwitches, body: bytes
) -> None:
    """Change the active faults and respond with the new ones."""
    try:
        switches.switch(body)
    except errors.UpstreamError as error:
        await respond_error(exchange, 400, str(error), error.code)
    else:
        await respond(exchange, switches.faults)


async def refuse(exchange: http_server.Exchange) -> None:
    """Refuse a request that has not run."""
    body = msgspec.json.encode(
        _error_body("This upstream accepts no new work.", errors.Code.DRAINING)
    )
    await exchange.respond(503, _NOT_RUN, body)


def _error_body(problem: str, code: errors.Code) -> _standin_openai.ErrorBody:
    return _standin_openai.ErrorBody(_standin_openai.Problem(problem, "standin_error", code.value))


def to_int(text: str, default: int) -> int:
    """Return the number in a header value, or the default if it is not a number."""
    return int(text) if text.isascii() and text.isdigit() else default


@functools.cache
def started_at() -> int:
    """Return the time of this process's first response, in seconds since 1970."""
    return int(time.time())
