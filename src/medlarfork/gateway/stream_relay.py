"""Relays the streams of a request's attempts to its caller, and holds what it has not read yet.

As long as the caller reads without delay, each event is written at once by the task that received
it. Otherwise the rest is held and a second task writes it, while the first one continues to read
from the upstream as far as the budget allows (see ``stream_budget``).
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from medlarfork import errors, logs, timeouts
from medlarfork.gateway import request_types
from medlarfork.http import event_framer, http_client, http_server
from medlarfork.placement import placement_messages

if TYPE_CHECKING:
    from medlarfork.gateway import stream_budget
    from medlarfork.http import answer_budget

    Budget = stream_budget.StreamBudget["CallerBuffer"]

BLOCK_BYTES = 64 * 1024
"""Size of the blocks in which held bytes are written and released, in bytes: the largest read."""

MIN_EVENTS = 4
"""Minimum number of events for a summary; fewer give no representative median."""

MAX_GAPS = 256
"""Number of gaps stored for one stream, the first ones; bounds memory."""

_log = logging.getLogger(__name__)

StallTimeout = Callable[[], float | None]
"""Returns the time without an event after which a stream has stalled, in seconds; None for no
limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Continuation:
    """What a stalled stream goes on with.

    Attributes:
        response: The stalled response, or that of another upstream.
        events: The next events of the stalled response, empty for its end; None if they are still
            to be read.
    """

    response: http_client.Response
    events: bytes | None = None


OnStall = Callable[[http_client.Response], Awaitable[Continuation]]
"""Called with a response that has stalled, which stays open unless another one replaces it."""


class GapRecorder:
    """Collects the inter-event gaps of one attempt."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._event_at = 0.0
        self._longest_ms = 0.0
        self._gaps_ms: list[float] = []

    @property
    def has_event(self) -> bool:
        """Return whether an event of this attempt has been passed on."""
        return self._event_at > 0.0

    def record_event(self, now: float) -> float:
        """Record an event passed on at a monotonic time; return the gap before it in ms."""
        gap_ms = (now - self._event_at) * 1000.0 if self._event_at else 0.0
        if self._event_at and len(self._gaps_ms) < MAX_GAPS:
            self._gaps_ms.append(gap_ms)
        self._longest_ms = max(self._longest_ms, gap_ms)
        self._event_at = now
        return gap_ms

    def summary(self) -> placement_messages.InterEventGaps | None:
        """Return the median and the longest gap; None if there were too few events."""
        if len(self._gaps_ms) < MIN_EVENTS - 1:
            return None
        return placement_messages.InterEventGaps(_median(self._gaps_ms), self._longest_ms)


class CallerBuffer:
    """Writes a streamed response to its caller, and holds what the caller has not read yet.

    One task uses it. Without a budget it holds nothing, and a write waits for the caller.
    """

    def __init__(self, exchange: http_server.Exchange, budget: Budget | None, request: str) -> None:
        """Create a buffer that holds nothing; ``request`` names its stream in the log."""
        self._exchange = exchange
        self._budget = budget
        self._request = request
        # The writing task uses the first block; bytes are added to the others only.
        self._blocks: collections.deque[bytearray] = collections.deque()
        self._writer: curio.Task | None = None
        self._failure: errors.CallerDisconnectedError | None = None
        self._source: http_client.Response | None = None
        self._changed = curio.Event()
        self._is_slow = False

    @property
    def is_holding(self) -> bool:
        """Return whether anything is held."""
        return bool(self._blocks)

    def read_from(self, response: http_client.Response | None) -> None:
        """Set the response that is closed when the caller can't be written to."""
        self._source = response

    async def send(self, data: bytes) -> None:
        """Write a part of the response, or hold it.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        self.check()
        if self._budget is None:
            await self._exchange.send(data)
            return
        encoded = self._exchange.encode(data)
        sent = 0 if self._blocks else self._exchange.send_now(encoded)
        if sent < len(encoded):
            self._hold(self._budget, memoryview(encoded)[sent:])
            if self._writer is None:
                self._writer = await curio.spawn(self._write, self._budget, daemon=True)

    async def wait_room(self) -> None:
        """Wait until the budget allows to read on.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        if not self._blocks or self._budget is None:
            return
        while not self._budget.may_read(self):
            self._log_slow(self._budget)
            await self._wait_change()
        # Without this, an upstream that sends fast would keep all other tasks from running.
        await curio.sleep(0)

    async def drain(self) -> None:
        """Wait until nothing is held.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        while self._blocks:
            await self._wait_change()
        self.check()

    async def close(self) -> None:
        """End the writing task, and release what is held."""
        self._source = None
        writer, self._writer = self._writer, None
        try:
            if writer is not None:
                await writer.cancel()
        finally:
            await self._release_all()

    async def wake(self) -> None:
        """Wake up the task that waits for a change."""
        await self._changed.set()

    def check(self) -> None:
        """Raise the error with which writing failed, if it has.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        if self._failure is not None:
            raise self._failure

    def _hold(self, budget: Budget, data: memoryview) -> None:
        budget.hold(self, len(data))
        if len(self._blocks) < 2 or len(self._blocks[-1]) + len(data) > BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data

    async def _write(self, budget: Budget) -> None:
        """Write what is held, and end once nothing is."""
        try:
            while self._blocks:
                await self._exchange.send_encoded(self._blocks[0])
                if not self._blocks:
                    break  # Closed while this task was already about to run.
                size = len(self._blocks.popleft())
                for stream in budget.release(self, size):
                    await stream.wake()
                await self._changed.set()
        except errors.CallerDisconnectedError as error:
            self._failure = error
            # The other task may wait for the upstream, which must not go on with its work.
            if self._source is not None:
                await self._source.close()
            await self._changed.set()
        self._writer = None

    async def _wait_change(self) -> None:
        self.check()
        self._changed.clear()
        await self._changed.wait()
        self.check()

    async def _release_all(self) -> None:
        self._blocks.clear()
        if self._budget is not None:
            for stream in self._budget.release_all(self):
                await stream.wake()

    def _log_slow(self, budget: Budget) -> None:
        if not self._is_slow:
            self._is_slow = True
            logs.event(
                _log,
                "reader_slow",
                request=self._request or None,
                stream_bytes=budget.held_for(self),
                held_bytes=budget.held_bytes,
            )


class StreamRelay:
    """Passes on the events of one request's streams, each once it is complete.

    Attributes:
        waiting_since: Time of the last event, or of the request's arrival, in monotonic seconds.
        added_headers: Headers that the caller gets besides those of the upstream.
    """

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        trace: request_types.Trace,
        budget: Budget | None,
        open_answer: request_types.OpenAnswer,
    ) -> None:
        """Create the relay; nothing is sent yet.

        Args:
            admitted: The request.
            trace: The data of its log line.
            budget: Bytes that are held for callers; None to wait for each write.
            open_answer: Opens the lease of a large answer that is read completely, or of a large
                incomplete event.
        """
        self.waiting_since = admitted.started_at
        self.added_headers: dict[str, str] = {}
        self._exchange = admitted.exchange
        self._trace = trace
        self._budget = budget
        self._framer = event_framer.EventFramer(admitted.metadata.last_event_id)
        self._gaps = GapRecorder()
        self._has_bytes = False
        self._quiet_since = admitted.started_at
        self._buffer = CallerBuffer(admitted.exchange, budget, admitted.metadata.attempt_id)
        self._open_answer = open_answer
        self._lease: answer_budget.AnswerLease | None = None
        self._response: http_client.Response | None = None
        self._whole_bytes = 0

    @property
    def is_holding(self) -> bool:
        """Return whether the caller has not read all that was received."""
        return self._buffer.is_holding

    @property
    def has_event(self) -> bool:
        """Return whether an event of this attempt has arrived."""
        return self._gaps.has_event

    @property
    def has_bytes(self) -> bool:
        """Return whether an event of this attempt has arrived, or bytes that complete none."""
        return self._has_bytes

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event that was passed on or is held; empty for none."""
        return self._framer.last_id

    @property
    def can_resume(self) -> bool:
        """Return whether another upstream can go on where this stream ends."""
        return not self._framer.has_split

    @property
    def may_end(self) -> bool:
        """Return whether the stream would be complete if it ended here."""
        return not self._framer.is_inside_event

    def begin_attempt(self) -> None:
        """Record the gaps of another attempt."""
        self._gaps = GapRecorder()
        self._has_bytes = False

    def gap_summary(self) -> placement_messages.InterEventGaps | None:
        """Return the gaps of this attempt; None if there were too few events."""
        return self._gaps.summary()

    async def relay(
        self,
        response: http_client.Response,
        *,
        on_start: Callable[[], None],
        stall_timeout_s: StallTimeout = lambda: None,
        on_stall: OnStall | None = None,
    ) -> None:
        """Pass on the events of a response until the upstream has sent all of it.

        Args:
            response: The response of this attempt.
            on_start: Called before the caller gets the head of its response.
            stall_timeout_s: Called before each read.
            on_stall: Called when there was no event for that time.

        Raises:
            errors.UpstreamError: The stream is broken.
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        # Writing may have failed between two attempts, when there was no response to close.
        self._buffer.check()
        self._read_from(response)
        self._quiet_since = time.monotonic()
        try:
            while True:
                events = await self._next_part(response, self._left_s(stall_timeout_s()))
                if events is None and self._has_stalled(stall_timeout_s()) and on_stall is not None:
                    continuation = await on_stall(response)
                    self._quiet_since = time.monotonic()
                    if continuation.response is not response:
                        response = self._replace(continuation.response)
                    events = continuation.events
                if events is None:
                    continue
                if not events:
                    break
                await self._begin(response, on_start)
                self._record_event()
                await self._buffer.send(events)
                await self._buffer.wait_room()
            self._check_end(response)
        except errors.UpstreamError:
            try:
                # A failed write has closed the response, so its error is the cause of this one.
                self._buffer.check()
                self._check_lease()
                raise
            finally:
                self._discard_partial_event()
        finally:
            self._read_from(None)
        await self._begin(response, on_start)

    async def next_events(self, response: http_client.Response) -> bytes:
        """Return the next events, empty at the end; a cancelled call loses nothing.

        Raises:
            errors.UpstreamError: The stream is broken.
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        while (events := await self._take(await response.await_chunk())) is None:
            continue
        return events

    async def finish(self) -> None:
        """Write the rest of a complete stream, and end the caller's response.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        await self._buffer.send(self._framer.pending)
        await self._buffer.drain()
        await self._exchange.finish()

    async def drain(self) -> None:
        """Deliver what is held of a stream that can't be completed.

        Raises:
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        await self._buffer.drain()
        if self._budget is not None and self._exchange.started:
            # The reset that cuts the response would discard what the system has not sent yet.
            await self._exchange.wait_received()

    async def close(self) -> None:
        """End the writing task, and release what is held."""
        self._close_lease()
        self._whole_bytes = 0
        await self._buffer.close()

    async def read_whole(
        self, response: http_client.Response, pace: http_client.Pace | None = None
    ) -> bytes:
        """Return the body of a response, which counts as held until ``close``.

        Args:
            response: The response.
            pace: How fast its body has to arrive; None for any pace.

        Raises:
            errors.UpstreamError: The body is truncated, too large or too slow.
        """
        self._response = response
        try:
            body = await response.read(self._hold_part, pace=pace)
            if self._lease is not None:
                self._lease.complete()
            return body
        except errors.UpstreamError:
            try:
                self._check_lease()
                raise
            finally:
                await self.close()
        finally:
            self._response = None

    def _hold_part(self, size: int) -> None:
        """Count a part of a body that is read completely.

        Raises:
            errors.UpstreamError: There is no memory for it.
        """
        self._whole_bytes += size
        if self._budget is not None:
            self._budget.hold(self._buffer, size)
        self._resize_lease(self._whole_bytes)

    def _resize_lease(self, size: int) -> None:
        """Record how much of an answer is held until it is complete, in bytes.

        Raises:
            errors.UpstreamError: There is no memory for it.
        """
        if self._lease is None:
            if size <= BLOCK_BYTES:
                return
            self._lease = self._open_answer(self._end_response)
        self._lease.resize(size)

    def _check_lease(self) -> None:
        """Raise the error of an answer that was ended to make room.

        Raises:
            errors.UpstreamError: It was.
        """
        if self._lease is not None:
            self._lease.check()

    def _close_lease(self) -> None:
        if self._lease is not None:
            self._lease.close()
            self._lease = None

    def _end_response(self) -> None:
        """End the response that is read, to make room for others."""
        if self._response is not None:
            self._response.expire()

    def _read_from(self, response: http_client.Response | None) -> None:
        self._response = response
        self._buffer.read_from(response)

    def _left_s(self, stall_timeout_s: float | None) -> float | None:
        """Return the time until the stream has stalled; None for no limit."""
        if stall_timeout_s is None:
            return None
        return max(self._quiet_since + stall_timeout_s - time.monotonic(), 0.0)

    def _has_stalled(self, stall_timeout_s: float | None) -> bool:
        """Return whether there was no event for long, though bytes may have arrived."""
        return self._left_s(stall_timeout_s) == 0.0

    async def _next_part(
        self, response: http_client.Response, left_s: float | None
    ) -> bytes | None:
        """Return the next events, empty at the end; None if none is complete, or in time.

        Raises:
            errors.UpstreamError: The stream is broken.
            errors.CallerDisconnectedError: The caller is gone, or has stopped reading.
        """
        if left_s is None:
            return await self._take(await response.next_chunk())
        chunk = await timeouts.call_until(left_s, response.await_chunk)
        return None if chunk is None else await self._take(chunk)

    async def _take(self, chunk: bytes) -> bytes | None:
        """Return the events that a part of the stream completes; None for none, empty at its end.

        Comments show no progress. They are passed on at once, unless no event has been: the first
        one decides which upstream's head the caller gets.
        """
        if not chunk:
            return b""
        if not self._has_bytes:
            self._has_bytes = True
            if not self._exchange.started:
                # Until then its upstream may have read a long prompt.
                self._quiet_since = time.monotonic()
        passed = self._framer.feed(chunk)
        self._resize_lease(self._framer.pending_bytes)
        if self._framer.has_new_event:
            return passed
        if passed and self._exchange.started:
            await self._buffer.send(passed)
            await self._buffer.wait_room()
        return None

    async def _begin(self, response: http_client.Response, on_start: Callable[[], None]) -> None:
        """Write the head of the caller's response, unless it has been written."""
        if self._exchange.started:
            return
        on_start()
        headers = {
            name: value for name, value in response.headers.items() if name != "content-length"
        }
        await self._exchange.begin(response.status, headers | self.added_headers)

    def _replace(self, response: http_client.Response) -> http_client.Response:
        """Go on with the response of another upstream, after the last complete event."""
        self._discard_partial_event()
        self.begin_attempt()
        self._read_from(response)
        return response

    def _discard_partial_event(self) -> None:
        self._trace.partial_bytes = self._framer.pending_bytes
        self._framer.discard_pending()
        self._close_lease()

    def _check_end(self, response: http_client.Response) -> None:
        """Raise an error if the stream that has ended is not complete.

        A regular close without any event can't be told from one before the first event.
        """
        is_empty = not (response.framed or self._framer.has_events or self._exchange.started)
        if self._framer.is_inside_event or is_empty:
            raise errors.UpstreamError(
                "The upstream's stream ended within an event or before the first one.",
                remedy="Check whether the upstream ends its streams before they are complete.",
            )

    def _record_event(self) -> None:
        """Record the time of an event that is passed on, and the longest gap."""
        self.waiting_since = self._quiet_since = time.monotonic()
        gap_ms = self._gaps.record_event(self.waiting_since)
        self._trace.max_gap_ms = max(self._trace.max_gap_ms, gap_ms)


def _median(values: list[float]) -> float:
    """Return the median; the standard library's costs an entry host five modules at start-up."""
    ordered = sorted(values)
    count = len(ordered)
    return (ordered[(count - 1) // 2] + ordered[count // 2]) / 2.0
