"""The request pipeline of an entry host: from placement to the final answer.

place → send → relay; after a failed attempt back to *place*, if the retry rules allow it. While
this host reaches no upstream of the service, forward → relay instead.
"""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING, Any

import h11

from medlarfork import errors
from medlarfork.coordination import upstream_types
from medlarfork.gateway import (
    attempt_sender,
    request_placer,
    request_types,
    retry_policy,
    stopping,
    stream_binding,
    stream_relay,
    upstream_call,
)
from medlarfork.http import _http_messages, event_framer, http_client
from medlarfork.placement import local_choice, placement_messages

if TYPE_CHECKING:
    from medlarfork.gateway import attempt_failover, final_response, request_retries

DEADLINE_MARGIN_MS = 20.0
"""Time before the caller's own deadline at which a final answer is sent, in milliseconds: covers
the latency of the answer."""

LINK_VERDICT_S = 0.5
"""Time for probes to show whether this host has lost its links, in seconds: two unanswered ones."""

RELAY_HOSTS_S = 0.5
"""Time for replicas to name relay hosts before a request is refused, in seconds: a round trip, also
to a replica that is busy."""


class RequestPipeline:
    """Serves one admitted request; ``serve`` returns when its answer has ended.

    Attributes:
        trace: The data of its log line.
        admitted: The request; a stream that goes on keeps to the service that began it.
    """

    def __init__(
        self, admitted: request_types.AdmittedRequest, shared: request_types.SharedContext
    ) -> None:
        """Create the pipeline; nothing is sent yet."""
        self.trace = request_types.Trace()
        self.admitted = admitted
        self._shared = shared
        self._binding = stream_binding.StreamBinding(admitted, shared)
        self._placer = request_placer.RequestPlacer(admitted, shared, self._binding, self.trace)
        self._sender = attempt_sender.AttemptSender(admitted, shared)
        self._progress = retry_policy.Progress(runs=admitted.prior_runs)
        self._excluded: list[str] = []
        self._excluded_relays: list[str] = []
        self._is_refused_by_relays = False
        self._is_unreached = False
        self._retry_after_ms = local_choice.RETRY_MS
        self._sends = 0
        self._retries: request_retries.RequestRetries | None = None
        self._stream = stream_relay.StreamRelay(
            admitted, self.trace, shared.budget, shared.open_answer
        )
        self._sent_at = 0.0
        self._broken_runs = 0
        self._runner = ""
        self._running_at: upstream_types.Announcement | None = None
        self._response: http_client.Response | None = None
        self._finished_failover: attempt_failover.AttemptFailover | None = None

    async def serve(self) -> None:
        """Place, send and relay until there is a final answer.

        A partial answer that can't be completed is left open: the calling code aborts the
        connection once no other task waits for its end.

        Raises:
            errors.CallerDisconnectedError: The caller has disconnected.
        """
        try:
            if await self._bind_stream():
                await self._serve()
        finally:
            await self._stream.close()
            if self._retries is not None:
                self._retries.close()

    async def _serve(self) -> None:
        while True:
            relay_host = await self._choose_relay_host()
            if relay_host:
                if await self._forward(relay_host):
                    return
                continue
            if self._is_unreachable and (self.admitted.is_relayed or self._is_refused_by_relays):
                # A host that forwarded the request tries another relay host.
                await self._give_up()
                return
            self._sent_at = 0.0
            self._placer.patience_since = self._stream.waiting_since
            placed = await self._placer.place(self._excluded)
            if isinstance(placed, placement_messages.PlaceRefused):
                self._retry_after_ms = placed.retry_after_ms
                self.trace.reasons.append(placed.why)
                if await self._has_lost_links():
                    continue
                await self._give_up()
                return
            if self._is_unreachable and await self._choose_relay_host():
                # The links were lost while the request waited for placement.
                self.end_ticket(placement_messages.RunEnd.NOT_SENT)
                continue
            self._runner = placed.upstream_id
            upstream = self._shared.session.find_upstream(placed.upstream_id)
            if upstream is None:
                end: placement_messages.RunEnd | None = placement_messages.RunEnd.UNREACHABLE
                self.trace.reasons.append(f"{placed.upstream_id}: not in this host's view")
                self.end_ticket(placement_messages.RunEnd.NOT_SENT)
            elif not self._can_finish:
                self.end_ticket(placement_messages.RunEnd.NOT_SENT)
                await self._refuse_as_stopping()
                return
            else:
                end = await self._run(upstream, placed.fetch_from)
                self._running_at = None
                self._is_unreached |= end is placement_messages.RunEnd.UNREACHABLE
            if end is None:
                return
            if end is placement_messages.RunEnd.NOT_SENT:
                self._excluded.append(placed.upstream_id)
                continue
            self._progress = self._progress.after(end)
            is_rejected = end is placement_messages.RunEnd.REJECTED
            # An upstream that asked for a backoff may get the request after it; until then nothing
            # is placed there.
            if not is_rejected or self._shared.backpressure.may_send(self._runner):
                self._excluded.append(self._runner)
            if not await self._may_retry(end, self._runner):
                remaining_backoff_ms = self._shared.backpressure.remaining_backoff_ms(
                    self.admitted.service
                )
                self._retry_after_ms = max(self._retry_after_ms, remaining_backoff_ms)
                if await self._has_lost_links():
                    continue
                await self._give_up()
                return

    async def _bind_stream(self) -> bool:
        """Bind a request that goes on with a stream; refuse it and return False if it can't be."""
        why = await self._binding.bind()
        if why:
            self.trace.reasons.append(why)
            self._placer.refusal_code = errors.Code.STREAM_VERSION
            await self._give_up()
            return False
        origin = self._binding.origin
        if origin is not None and origin.service != self.admitted.service:
            self.admitted = dataclasses.replace(self.admitted, service=origin.service)
            self._placer = request_placer.RequestPlacer(
                self.admitted, self._shared, self._binding, self.trace
            )
            self._sender = attempt_sender.AttemptSender(self.admitted, self._shared)
        return True

    @property
    def _is_unreachable(self) -> bool:
        """Return whether this host reaches no upstream of the service."""
        return self._shared.tracking.reachability.is_unreachable(self.admitted.service)

    async def _choose_relay_host(self) -> str:
        """Return the relay host to forward the request to; empty to place it here."""
        if self.admitted.is_relayed or not self._is_unreachable:
            return ""
        return await self._shared.relaying.choose(self._excluded_relays)

    async def _has_lost_links(self) -> bool:
        """Return whether a request that no upstream has run can be forwarded instead of refused.

        Refusals take less time than the host needs to find that it reaches no upstream, and to be
        told of relay hosts.
        """
        may_forward = self._is_unreached and not (self._progress.runs or self.admitted.is_relayed)
        if not may_forward or self._left_ms < retry_policy.MIN_ATTEMPT_MS:
            return False
        tracking = self._shared.tracking
        if not await tracking.wait_verdict(self.admitted.service, LINK_VERDICT_S):
            return False
        return await self._shared.relaying.wait_usable(self._excluded_relays, RELAY_HOSTS_S)

    async def _forward(self, relay_host: str) -> bool:
        """Forward the request; return whether its caller has the final answer."""
        # Imported only while this host reaches no upstream: it makes the start-up slower.
        from medlarfork.gateway import request_forwarder

        self._excluded_relays.append(relay_host)
        self._record_send()
        self._sent_at = time.monotonic()
        forwarder = request_forwarder.RequestForwarder(
            self.admitted, self._shared, self._stream, self.trace, self._binding
        )
        match await forwarder.forward(relay_host, self._progress, self._record_forwarded_start):
            case request_forwarder.Answered():
                return True
            case request_forwarder.NotRun(retry_after_ms, is_rejected):
                self._sent_at = 0.0
                if retry_after_ms is not None:
                    self._is_refused_by_relays = True
                    self._retry_after_ms = retry_after_ms
                if is_rejected:
                    # Other relay hosts would send it to the same upstreams.
                    await self._give_up()
                return is_rejected
        self._progress = self._progress.after(placement_messages.RunEnd.BROKEN)
        self._sends += 1
        if await self._may_retry(placement_messages.RunEnd.BROKEN, relay_host):
            return False
        await self._give_up()
        return True

    def _record_forwarded_start(self) -> None:
        self.trace.first_event_ms = self._since_start_ms()
        self._progress = dataclasses.replace(self._progress, response_started=True)

    async def time_out(self) -> None:
        """Send the final answer at the deadline."""
        self.trace.result = request_types.Result.TIMED_OUT
        self._record_abandoned_run()
        if self._sent_at:
            self._progress = self._progress.after(placement_messages.RunEnd.CANCELLED)
        await self._finish_without_answer(in_time=False)

    async def cut(self) -> None:
        """Send the final answer when the host stops: 503 only if no upstream has the request."""
        self.trace.reasons.append("this entry host is stopping")
        self._placer.refusal_code = errors.Code.DRAINING
        await self.time_out()

    def record_caller_gone(self) -> None:
        """Record that the caller has disconnected."""
        self._record_abandoned_run()
        self.trace.result = request_types.Result.CALLER_GONE
        self.trace.status = request_types.CALLER_GONE_STATUS

    def end_ticket(self, end: placement_messages.RunEnd) -> None:
        """Report to the owner that the current attempt has ended."""
        is_complete = end is placement_messages.RunEnd.COMPLETE
        self._placer.end_ticket(
            end,
            self._sent_at,
            gaps=self._stream.gap_summary() if is_complete else None,
            load=self._sender.load if self._sent_at else None,
        )

    @property
    def _left_ms(self) -> float:
        return (self.admitted.deadline_at - time.monotonic()) * 1000.0

    async def _may_retry(self, end: placement_messages.RunEnd, upstream_id: str) -> bool:
        """Check the retry rules, and the retry budget once an upstream has received the request."""
        if not retry_policy.may_retry(self.admitted.route, self._progress, self._left_ms):
            return False
        if not self._binding.may_go_on:
            self.trace.reasons.append(stream_binding.UNKNOWN_ORIGIN)
            return False
        if not self._stream.can_resume:
            self.trace.reasons.append("a part of an event has been passed on")
            return False
        if await self._shared.crashes.is_suspect(
            self.admitted.crash_keys, upstream_id, self._broken_runs
        ):
            self.trace.reasons.append("upstreams crashed while running it")
            return False
        if self._sends == 0:
            return True
        return self._budgeted_retries().allow_next()

    def _budgeted_retries(self) -> request_retries.RequestRetries:
        if self._retries is None:
            # Imported with the first failed attempt: it makes the start-up slower.
            from medlarfork.gateway import request_retries

            self._retries = request_retries.RequestRetries(
                self._shared.budgets,
                self.admitted.service,
                self.trace,
                "the retry budget is exhausted",
            )
        return self._retries

    def _record_send(self) -> None:
        if self._retries is not None:
            self._retries.record_send()

    def _record_abandoned_run(self) -> None:
        """Record an abandoned run: an upstream that lost power does not reset its connections."""
        if self._running_at is not None:
            self._shared.crashes.record_abandoned_run(
                self.admitted.crash_keys, self._running_at, has_begun=self._stream.has_event
            )
            self._running_at = None

    def _record_failed_send(self, end: placement_messages.RunEnd) -> None:
        """Count a send that reached its upstream; drop the upstream from the trace if unsent."""
        match end:
            case placement_messages.RunEnd.NOT_SENT:
                self.trace.upstreams.pop()
                self.trace.versions.pop()
            case placement_messages.RunEnd.UNREACHABLE:
                pass
            case _:
                self._sends += 1

    async def _record_failed_run(self, *, is_timeout: bool) -> None:
        """Record the current run as broken, or as abandoned: silence is no sign of a crash."""
        upstream = self._running_at
        if is_timeout or upstream is None:
            self._record_abandoned_run()
            return
        self._broken_runs += 1
        await self._shared.crashes.handle_broken_run(
            self.admitted, upstream, has_begun=self._stream.has_event, sent_at=self._sent_at
        )

    @property
    def _can_finish(self) -> bool:
        """Return whether this host would not cut a run that begins now.

        A stream that its caller is receiving goes on as far as it gets.
        """
        return self._progress.response_started or self._shared.runs.can_finish(
            self.admitted.route.name,
            self.admitted.deadline_at,
            time.monotonic(),
            expected_tokens=self.admitted.metadata.expected_tokens,
        )

    async def _refuse_as_stopping(self) -> None:
        self.trace.reasons.append("this entry host is stopping")
        self._placer.refusal_code = errors.Code.DRAINING
        self._retry_after_ms = stopping.RETRY_AFTER_S * 1000.0
        await self._give_up()

    async def _run(
        self, upstream: upstream_types.Announcement, fetch_from: str
    ) -> placement_messages.RunEnd | None:
        """Run one attempt, and record how long it takes."""
        route, runs = self.admitted.route.name, self._shared.runs
        number = runs.begin(route, time.monotonic())
        is_answered = False
        try:
            end = await self._attempt(upstream, fetch_from)
            is_answered = end is None
            return end
        finally:
            runs.end(
                route,
                number,
                time.monotonic(),
                is_answered=is_answered,
                expected_tokens=self.admitted.metadata.expected_tokens,
            )

    async def _attempt(
        self, upstream: upstream_types.Announcement, fetch_from: str
    ) -> placement_messages.RunEnd | None:
        """Run one attempt; return how it failed, or None if the caller has its answer."""
        self.trace.upstreams.append(upstream.upstream_id)
        self.trace.versions.append(upstream.version or "?")
        self._running_at = upstream
        self._sent_at = time.monotonic()
        self._stream.begin_attempt()
        await self._shared.tracking.begin_attempt(self._placer.ticket_id)
        sent = await self._sender.send(
            upstream,
            fetch_from=fetch_from,
            last_event_id=self._stream.last_event_id,
            left_ms=self._left_ms,
            version=self._binding.version,
            on_send=self._record_send,
            on_silence=self._handle_silence if self._may_fail_over else None,
        )
        if self._finished_failover is not None:
            sent = await self._adopt_first()
        if isinstance(sent, upstream_call.Failure):
            self._record_failed_send(sent.end)
            self.trace.reasons.append(f"{upstream.upstream_id}: {sent.why}")
            if sent.end is placement_messages.RunEnd.BROKEN:
                await self._record_failed_run(is_timeout=sent.is_timeout)
            self.end_ticket(self._sender.reported_end(sent.end))
            if sent.end in retry_policy.NOT_RUN:
                self._sent_at = 0.0
            return sent.end
        self._sends += 1
        self._response = sent
        if sent.skipped:
            self.trace.reasons.append(f"{self._runner}: {self._describe(sent)}")
        self.trace.framing = sent.framing.value
        self.trace.partial_bytes = 0
        try:
            if self._running_at is upstream:
                self._binding.check_incarnation(upstream)
            end = await self._relay(sent)
        except errors.UpstreamError as error:
            self.trace.reasons.append(f"{self._runner}: {error}")
            await self._record_failed_run(is_timeout=_is_timeout(error))
            end = placement_messages.RunEnd.FAILED
        finally:
            # Without this the upstream goes on with the work of a cancelled or failed relay.
            await self._response.close()
        self.end_ticket(end or placement_messages.RunEnd.COMPLETE)
        return end

    async def _relay(self, response: http_client.Response) -> placement_messages.RunEnd | None:
        if response.status < 300 and event_framer.can_be_framed(response.headers):
            await self._relay_stream(response)
            return None
        if self._progress.response_started:
            await response.discard()
            raise upstream_call.not_resumed(response.status)
        return await self._relay_buffered(response)

    async def _relay_buffered(
        self, response: http_client.Response
    ) -> placement_messages.RunEnd | None:
        """Read an answer completely, then pass it on, so that no truncated answer is started."""
        body = await self._stream.read_whole(response)
        self._shared.crashes.record_completed_run(self.admitted.crash_keys)
        if retry_policy.is_failure(response.status) and self._may_retry_failure():
            self.trace.reasons.append(f"{self._runner}: {self._describe(response)}")
            await self._stream.close()
            return placement_messages.RunEnd.FAILED
        self.trace.first_event_ms = self._since_start_ms()
        await self._final_response().pass_on(response, body)
        return None

    def _describe(self, response: http_client.Response) -> str:
        return upstream_call.describe(response, self._shared.names)

    def _may_retry_failure(self) -> bool:
        """Return whether an upstream's error status is retried instead of being passed on."""
        after = self._progress.after(placement_messages.RunEnd.FAILED)
        if not retry_policy.may_retry(self.admitted.route, after, self._left_ms):
            return False
        return self._budgeted_retries().has_room()

    async def _relay_stream(self, response: http_client.Response) -> None:
        """Pass on events as they arrive, each once it is complete."""
        await self._stream.relay(
            response,
            on_start=self._record_start,
            stall_timeout_s=self._stall_timeout_s,
            on_stall=self._handle_stall,
        )
        self._shared.crashes.record_completed_run(self.admitted.crash_keys)
        if self._stream.is_holding:
            # The upstream is free; only the delivery goes on.
            self._running_at = None
            self.end_ticket(placement_messages.RunEnd.COMPLETE)
        await self._stream.finish()
        self._finish(request_types.Result.ANSWERED, response.status)

    @property
    def _may_fail_over(self) -> bool:
        """Return whether the rules allow a further attempt beside the current one."""
        after = self._progress.after(placement_messages.RunEnd.FAILED)
        return retry_policy.may_retry(self.admitted.route, after, self._left_ms)

    def _stall_timeout_s(self) -> float | None:
        """Return the stall timeout if another upstream may resume the stream."""
        # A prompt may take long, but an upstream that has read it sends complete events.
        has_begun = self._progress.response_started or self._stream.has_bytes
        is_resumable = has_begun and self._stream.can_resume
        # A relay host fails over itself.
        is_relayed = self._running_at is None
        if is_relayed or not (is_resumable and self._may_fail_over):
            return None
        return retry_policy.stall_timeout_s(self.admitted.route)

    async def _handle_stall(self, response: http_client.Response) -> stream_relay.Continuation:
        """Go on with the stalled response, or with that of an upstream that has taken over."""
        from medlarfork.gateway import attempt_failover

        # Only another stream can replace this one, also before its first event.
        failover = self._make_failover(dataclasses.replace(self._progress, response_started=True))
        source = attempt_failover.Input(
            lambda: self._stream.next_events(response),
            lambda events: bool(events) or self._stream.may_end,
            response.close,
        )
        events = await self._run_failover(failover, source)
        if failover.successor is None:
            return stream_relay.Continuation(response, events)
        await response.close()
        await self._adopt(failover)
        return stream_relay.Continuation(failover.successor.response)

    async def _handle_silence(self, read_head: http_client.ReadHead) -> Any:
        """Return the head of the response if it arrives before another upstream answers.

        Raises:
            errors.RequestSupersededError: Another upstream has answered.
        """
        from medlarfork.gateway import attempt_failover

        failover = self._make_failover(self._progress)
        source = attempt_failover.Input(read_head, self._is_answer)
        head = await self._run_failover(failover, source)
        if failover.successor is None:
            return head
        self._finished_failover = failover
        raise errors.RequestSupersededError(
            "Another upstream has answered.", remedy="Use its response."
        )

    def _is_answer(self, head: h11.Response) -> bool:
        """Return whether a response answers the request: its own, no rejection and no failure."""
        headers = _http_messages.decode_headers(head.headers)
        is_rejection = upstream_call.is_rejection(head.status_code, headers, self._shared.names)
        attempt_id = self.admitted.metadata.attempt_id
        is_foreign = headers.get(self._shared.names.attempt_id, attempt_id) != attempt_id
        is_failure = retry_policy.is_failure(head.status_code)
        return not (is_failure or is_rejection or is_foreign)

    def _make_failover(self, progress: retry_policy.Progress) -> attempt_failover.AttemptFailover:
        # Imported only while an upstream is silent: it makes the start-up slower.
        from medlarfork.gateway import attempt_failover

        silent = attempt_failover.SilentAttempt(
            self._runner,
            self._stream.last_event_id,
            self._stream.waiting_since,
            tuple(self._excluded),
            is_counted=self._sender.is_counted,
            broken_runs=self._broken_runs,
        )
        return attempt_failover.AttemptFailover(
            self.admitted, self._shared, self._binding, self.trace, progress, silent
        )

    async def _run_failover(
        self, failover: attempt_failover.AttemptFailover, source: attempt_failover.Input
    ) -> Any:
        try:
            return await failover.run(source)
        finally:
            if failover.is_released:
                self._record_abandoned_run()
            self._broken_runs = failover.broken_runs
            self._progress = dataclasses.replace(
                failover.progress, response_started=self._progress.response_started
            )
            self._sends += failover.sends
            self._excluded = failover.excluded

    async def _adopt_first(self) -> http_client.Response:
        """Return the response of the upstream that answered instead of a silent one."""
        failover, self._finished_failover = self._finished_failover, None
        self.trace.reasons.append(f"{self._runner}: did not acknowledge the request")
        await self._adopt(failover)
        return failover.successor.response

    async def _adopt(self, failover: attempt_failover.AttemptFailover) -> None:
        """Replace the silent attempt by its successor."""
        successor = failover.successor
        is_silent = failover.failure is None or _is_timeout(failover.failure)
        await self._record_failed_run(is_timeout=is_silent)
        self.end_ticket(placement_messages.RunEnd.FAILED)
        self._progress = self._progress.after(placement_messages.RunEnd.FAILED)
        self._response = successor.response
        self._placer = successor.placer
        self._sender = successor.sender
        self._sent_at = successor.sent_at
        self._running_at = successor.upstream
        if successor.upstream is None:
            self._excluded_relays.append(successor.name)
            self._binding.begin_forwarded(successor.origin)
        self._runner = successor.name

    def _record_start(self) -> None:
        after_ms = (time.monotonic() - self._sent_at) * 1000.0
        self._shared.owner.report_first_event(self._placer.ticket_id, after_ms, self._sender.load)
        self._sender.count_started()
        self._binding.begin(self._running_at)
        self._stream.added_headers = self._binding.relay_headers()
        self.trace.first_event_ms = self._since_start_ms()
        self._progress = dataclasses.replace(self._progress, response_started=True)

    async def _give_up(self) -> None:
        result = request_types.Result
        self.trace.result = result.FAILED if self._progress.runs else result.REFUSED
        await self._stream.drain()
        await self._finish_without_answer(in_time=self._left_ms > 0)

    async def _finish_without_answer(self, *, in_time: bool) -> None:
        await self._final_response().fail(
            self._progress,
            in_time=in_time,
            retry_after_ms=self._retry_after_ms,
            refusal_code=self._placer.refusal_code,
            is_rejected=self._sends > 0,
        )

    def _final_response(self) -> final_response.FinalResponse:
        # Imported with the first answer that is no stream: it makes the start-up slower.
        from medlarfork.gateway import final_response

        return final_response.FinalResponse(self.admitted, self._shared, self.trace)

    def _finish(self, result: request_types.Result, status: int) -> None:
        self.trace.result = result
        self.trace.status = status

    def _since_start_ms(self) -> float:
        return (time.monotonic() - self.admitted.started_at) * 1000.0


def _is_timeout(error: errors.UpstreamError) -> bool:
    """Return whether an attempt failed since its upstream was silent."""
    return error.code is errors.Code.REQUEST_TIMEOUT
