"""Fails a silent attempt over to another upstream, and keeps its run until that one begins.

A silent upstream often goes on, while another one may be full or refuse. Whichever sends first
answers the request, or goes on with its stream; the other run is cancelled.
"""

from __future__ import annotations

import dataclasses
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from medlarfork import errors, logs
from medlarfork.coordination import upstream_types
from medlarfork.gateway import (
    attempt_sender,
    relay_client,
    request_placer,
    request_retries,
    request_types,
    retry_policy,
    stream_binding,
    upstream_call,
)
from medlarfork.http import event_framer, http_client
from medlarfork.placement import placement_messages
from medlarfork.resumption import stream_origin

_log = logging.getLogger(__name__)

RELEASE_S = 0.3
"""How long a stalled stream is kept beside an upstream that has got the request to go on with it,
in seconds: longer than a rejection takes, and short enough that both do little of the same work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Successor:
    """An attempt whose response goes on with the stream.

    Attributes:
        name: The id of the upstream, or the address of the relay host, that runs it.
        response: Its response; only the head has been read.
        placer: Holds its placement ticket.
        sender: Sent it.
        upstream: Runs it; None if a relay host does.
        sent_at: When it was sent, in monotonic seconds.
        origin: What began its stream, as a relay host states; None if unknown.
    """

    name: str
    response: http_client.Response
    placer: request_placer.RequestPlacer
    sender: attempt_sender.AttemptSender
    upstream: upstream_types.Announcement | None
    sent_at: float
    origin: stream_origin.StreamOrigin | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SilentAttempt:
    """An attempt whose upstream has sent nothing for a while.

    Attributes:
        upstream_id: The upstream that runs it.
        last_event_id: The last event that was passed on; empty for none.
        since: When that event was passed on, or the request arrived, in monotonic seconds.
        excluded: Upstreams that failed the request.
        is_counted: Whether the request has been counted for its client account.
        broken_runs: Number of the request's broken runs so far.
    """

    upstream_id: str
    last_event_id: str
    since: float
    excluded: tuple[str, ...]
    is_counted: bool
    broken_runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Input:
    """Access to what a silent attempt sends.

    Attributes:
        read: Reads the next part; a cancelled call loses nothing and can be repeated.
        is_answer: Returns whether a part answers the request; it does not if it is a rejection, an
            error, or the end of an incomplete stream.
        release: Cancels the silent attempt, before another one goes on with its stream; None if
            both may run.
    """

    read: Callable[[], Awaitable[Any]]
    is_answer: Callable[[Any], bool]
    release: Callable[[], Awaitable[None]] | None = None


class AttemptFailover:
    """One search for another upstream, while an attempt is silent.

    Attributes:
        progress: The attempts of the request, without the silent one.
        sends: Attempts that this search sent to an upstream or a relay host.
        excluded: Upstreams that failed the request, with those that failed in this search.
        successor: The attempt that has begun to answer instead; None for none.
        failure: How the silent attempt has broken meanwhile; None if it has not.
        is_released: Whether the silent attempt was cancelled.
        broken_runs: Number of the request's broken runs, with those of this search.
    """

    def __init__(
        self,
        admitted: request_types.AdmittedRequest,
        shared: request_types.SharedContext,
        binding: stream_binding.StreamBinding,
        trace: request_types.Trace,
        progress: retry_policy.Progress,
        silent: SilentAttempt,
    ) -> None:
        """Create the search; nothing is placed or sent yet."""
        self.progress = progress
        self.sends = 0
        self.excluded = [*silent.excluded, silent.upstream_id]
        self.successor: Successor | None = None
        self._admitted = admitted
        self._shared = shared
        self._binding = binding
        self._trace = trace
        self._silent = silent
        self._placer = request_placer.RequestPlacer(admitted, shared, binding, trace)
        self._placer.patience_since = silent.since
        self._sender = attempt_sender.AttemptSender(admitted, shared, is_counted=silent.is_counted)
        self._retries = request_retries.RequestRetries(
            shared.budgets,
            admitted.service,
            trace,
            "no failover: the retry budget is exhausted",
        )
        self.failure: errors.UpstreamError | None = None
        self.is_released = False
        self.broken_runs = silent.broken_runs
        self._broken_at = silent.upstream_id
        self._answer: Any = None
        self._other_input: Any = None
        self._is_sent = curio.Event()
        self._has_ended = curio.Event()

    async def run(self, source: Input) -> Any:
        """Wait until the silent attempt sends again, or the search has ended.

        Args:
            source: The silent attempt, whose connection stays open.

        Returns:
            What was read; None if nothing was. There is a successor only then.

        Raises:
            errors.UpstreamError: The silent attempt has broken, and there is no successor.
        """
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._search)
                await group.spawn(self._read, source)
                if source.release is not None:
                    await group.spawn(self._release_when_taken, source.release)
        except BaseException:
            await self._abandon_successor()
            raise
        if self._answer is not None or group.exception is not None:
            await self._abandon_successor()
        if group.exception is not None:
            raise group.exception
        self._log_outcome()
        if self.successor is not None:
            return None
        if self.failure is not None:
            raise self.failure
        return self._other_input if self._answer is None else self._answer

    @property
    def _left_ms(self) -> float:
        return (self._admitted.deadline_at - time.monotonic()) * 1000.0

    async def _read(self, source: Input) -> None:
        """Read the next part; if the silent attempt has failed, leave it to the search."""
        try:
            received = await source.read()
        except errors.UpstreamError as error:
            self.failure = error
        else:
            if source.is_answer(received):
                self._answer = received
                return
            self._other_input = received
        await self._has_ended.wait()

    async def _release_when_taken(self, release: Callable[[], Awaitable[None]]) -> None:
        """Cancel the silent attempt once another upstream has taken the stream.

        Both would go on with it otherwise until the head of the other response arrives, which may
        take as long as its prompt is read. An upstream that is full rejects the request sooner.
        """
        while True:
            await self._is_sent.wait()
            sends = self.sends
            await curio.sleep(RELEASE_S)
            if self._is_sent.is_set() and self.sends == sends:
                break
        self.is_released = True
        await release()
        await self._has_ended.wait()

    async def _search(self) -> None:
        """Send the request to other upstreams until one begins, or the rules allow no more."""
        try:
            while self.successor is None and await self._may_send_again():
                if not await self._try_next():
                    return
        finally:
            self._retries.close()
            if self.successor is None:
                self._placer.end_ticket(placement_messages.RunEnd.CANCELLED)
            await self._has_ended.set()

    async def _may_send_again(self) -> bool:
        """Check the retry rules; the silent run counts as an attempt that may have run."""
        after = self.progress.after(placement_messages.RunEnd.FAILED)
        if not retry_policy.may_retry(self._admitted.route, after, self._left_ms):
            return False
        if not self._binding.may_go_on:
            return False
        crashes, keys = self._shared.crashes, self._admitted.crash_keys
        return not await crashes.is_suspect(keys, self._broken_at, self.broken_runs)

    async def _try_next(self) -> bool:
        """Place and send one attempt; return False if no other one has a chance."""
        if self._shared.tracking.reachability.is_unreachable(self._admitted.service):
            return await self._try_relay_host()
        placed = await self._placer.place(self.excluded)
        if isinstance(placed, placement_messages.PlaceRefused):
            self._trace.reasons.append(f"no failover: {placed.why}")
            return False
        upstream = self._shared.session.find_upstream(placed.upstream_id)
        if upstream is not None and not self._retries.allow_next():
            return False
        self.excluded.append(placed.upstream_id)
        if upstream is None:
            self._placer.end_ticket(placement_messages.RunEnd.NOT_SENT)
            return True
        await self._attempt(upstream, placed.fetch_from)
        return True

    async def _attempt(self, upstream: upstream_types.Announcement, fetch_from: str) -> None:
        """Send the request to an upstream, and keep its response if it answers the request."""
        sent_at = time.monotonic()
        end: placement_messages.RunEnd | None = placement_messages.RunEnd.CANCELLED
        await self._shared.tracking.begin_attempt(self._placer.ticket_id)
        await self._is_sent.set()
        try:
            sent = await self._sender.send(
                upstream,
                fetch_from=fetch_from,
                last_event_id=self._silent.last_event_id,
                left_ms=self._left_ms,
                version=self._binding.version,
                on_send=self._retries.record_send,
            )
            end, why = await self._check(sent, upstream)
        finally:
            self._is_sent.clear()
            self._record_send(end, upstream)
        if isinstance(sent, http_client.Response) and end is None:
            self.successor = Successor(
                upstream.upstream_id, sent, self._placer, self._sender, upstream, sent_at
            )
            return
        self._trace.reasons.append(f"{upstream.upstream_id}: {why}")
        self._placer.end_ticket(self._sender.reported_end(end), sent_at, load=self._sender.load)
        if end is placement_messages.RunEnd.BROKEN:
            await self._record_broken_run(upstream, sent_at, is_timeout=sent.is_timeout)

    async def _record_broken_run(
        self, upstream: upstream_types.Announcement, sent_at: float, *, is_timeout: bool
    ) -> None:
        crashes = self._shared.crashes
        if is_timeout:
            crashes.record_abandoned_run(self._admitted.crash_keys, upstream)
            return
        self.broken_runs += 1
        self._broken_at = upstream.upstream_id
        await crashes.handle_broken_run(self._admitted, upstream, sent_at=sent_at)

    async def _check(
        self,
        sent: http_client.Response | upstream_call.Failure,
        upstream: upstream_types.Announcement,
    ) -> tuple[placement_messages.RunEnd | None, str]:
        """Return how an attempt failed, and why; None if its response answers the request."""
        if isinstance(sent, upstream_call.Failure):
            return sent.end, sent.why
        try:
            self._binding.check_incarnation(upstream)
        except errors.UpstreamError as error:
            await sent.close()
            return placement_messages.RunEnd.FAILED, str(error)
        return await self._check_response(sent)

    async def _check_response(
        self, response: http_client.Response
    ) -> tuple[placement_messages.RunEnd | None, str]:
        """Return the same for the response of an upstream or a relay host."""
        is_stream = response.status < 300 and event_framer.can_be_framed(response.headers)
        is_failure = retry_policy.is_failure(response.status)
        if is_stream or not (is_failure or self.progress.response_started):
            return None, ""
        await response.close()
        why = upstream_call.describe(response, self._shared.names)
        return placement_messages.RunEnd.FAILED, why

    def _record_send(
        self, end: placement_messages.RunEnd | None, upstream: upstream_types.Announcement
    ) -> None:
        """Count an attempt; one that was cancelled may have run."""
        if end is placement_messages.RunEnd.NOT_SENT:
            return
        self._trace.upstreams.append(upstream.upstream_id)
        self._trace.versions.append(upstream.version or "?")
        if end is not placement_messages.RunEnd.UNREACHABLE:
            self.sends += 1
        if end is not None:
            self.progress = self.progress.after(end)

    async def _try_relay_host(self) -> bool:
        """Forward the request to a relay host, since this host reaches no upstream itself."""
        relay_host = await self._shared.relaying.choose(self._trace.relays)
        if self._admitted.is_relayed or not relay_host or not self._retries.allow_next():
            return False
        self._retries.record_send()
        self._trace.relays.append(relay_host)
        sent_at = time.monotonic()
        end: placement_messages.RunEnd | None = placement_messages.RunEnd.CANCELLED
        try:
            sent = await self._shared.relaying.send(
                relay_host,
                self._admitted,
                self._shared.names,
                left_ms=self._left_ms,
                last_event_id=self._silent.last_event_id,
                origin=self._binding.origin,
                runs=self.progress.runs + 1,
            )
            end, why = await self._check_forwarded(sent)
        finally:
            if end not in retry_policy.NOT_RUN:
                self.sends += 1
                self.progress = self.progress if end is None else self.progress.after(end)
        if end is None:
            origin = stream_origin.from_header(sent.headers.pop(self._shared.names.origin, ""))
            self.successor = Successor(
                relay_host, sent, self._placer, self._sender, None, sent_at, origin
            )
        else:
            self._trace.reasons.append(f"{relay_host}: {why}")
        # Other relay hosts would send it to the same upstreams.
        return not (isinstance(sent, relay_client.Refused) and sent.is_rejected)

    async def _check_forwarded(
        self, sent: http_client.Response | upstream_call.Failure | relay_client.Refused
    ) -> tuple[placement_messages.RunEnd | None, str]:
        match sent:
            case relay_client.Refused(_, why):
                return placement_messages.RunEnd.REJECTED, why
            case upstream_call.Failure(end, why):
                return end, why
            case _:
                return await self._check_response(sent)

    async def _abandon_successor(self) -> None:
        """Cancel the successor, since the silent attempt goes on or nobody waits."""
        if self.successor is None:
            return
        successor, self.successor = self.successor, None
        self.progress = self.progress.after(placement_messages.RunEnd.CANCELLED)
        successor.placer.end_ticket(placement_messages.RunEnd.CANCELLED, successor.sent_at)
        await successor.response.close()

    def _log_outcome(self) -> None:
        if self.successor is not None:
            outcome = "failed_over"
        elif self._answer is not None:
            outcome = "went_on"
        elif self.failure is not None or self._other_input is not None:
            outcome = "failed"
        else:
            outcome = "waiting"
        logs.event(
            _log,
            "upstream_silent",
            request=self._admitted.metadata.attempt_id or None,
            upstream=self._silent.upstream_id,
            after_event=self._silent.last_event_id or None,
            silent_ms=round((time.monotonic() - self._silent.since) * 1000.0),
            sends=self.sends or None,
            released=self.is_released or None,
            outcome=outcome,
        )
