"""Take one request from its placement to its final answer: the pipeline of an entry host.

place → send → relay, and from a failed attempt back to *place* where the rules allow it.
"""

from __future__ import annotations

import dataclasses
import time

import curio

from medlarfork import errors
from medlarfork.coordination import upstream_types
from medlarfork.gateway import (
    attempt_sender,
    event_framer,
    gap_recorder,
    request_types,
    retry_policy,
    upstream_call,
)
from medlarfork.http import _http_messages, http_client, sse
from medlarfork.placement import local_choice, placement_messages, shard_choice
from medlarfork.quarantine import crash_ledger

DEADLINE_MARGIN_MS = 20.0
"""How long before the caller's own deadline a final answer is sent, in milliseconds: its way."""

MAX_TRIAL_WAIT_S = 2.0
"""How long a request waits for the end of a trial of another one like it, in seconds: most runs end
within."""

MAX_TRIAL_WAIT_SHARE = 0.5
"""The same as a share of the time that its caller has left; it needs the rest to be answered."""

TRIAL_POLL_S = 0.1
"""How often it asks meanwhile, in seconds."""


class RequestPipeline:
    """Serve one admitted request; ``serve`` returns when its answer has ended."""

    def __init__(
        self, admitted: request_types.AdmittedRequest, tools: request_types.SharedContext
    ) -> None:
        """Prepare; nothing is sent yet."""
        self.trace = request_types.Trace()
        self._admitted = admitted
        self._tools = tools
        self._sender = attempt_sender.AttemptSender(admitted, tools)
        self._progress = retry_policy.Progress()
        self._excluded: list[str] = []
        self._retry_after_ms = local_choice.RETRY_MS
        self._sends = 0
        self._cutter = event_framer.EventFramer(admitted.facts.last_event_id)
        self._ticket_id = ""
        self._sent_at = 0.0
        self._pauses = gap_recorder.GapRecorder()
        self._waits_since = admitted.started_at
        self._refusal = errors.Code.OVERLOADED
        self._breaks = 0
        self._trial_until: float | None = None
        self._running_at: upstream_types.Announcement | None = None

    async def serve(self) -> None:
        """Place, send and relay until there is a final answer.

        An answer that can't be completed is left to the caller of this to cut, since another
        task may wait for the connection's end until then.

        Raises:
            errors.CallerGoneError: The caller can't be reached any more.
        """
        while True:
            placed = await self._place_allowed()
            if isinstance(placed, placement_messages.PlaceRefused):
                self._retry_after_ms = placed.retry_after_ms
                self.trace.reasons.append(placed.why)
                await self._give_up()
                return
            upstream = self._tools.find_upstream(placed.upstream_id)
            if upstream is None:
                end: placement_messages.RunEnd | None = placement_messages.RunEnd.UNREACHABLE
                self.trace.reasons.append(f"{placed.upstream_id}: not in this host's view")
            else:
                self._running_at = upstream
                end = await self._attempt(upstream, placed.fetch_from)
                self._running_at = None
            if end is None:
                return
            if end is placement_messages.RunEnd.NOT_SENT:
                self._excluded.append(placed.upstream_id)
                continue
            self._progress = self._progress.after(end)
            is_rejected = end is placement_messages.RunEnd.REJECTED
            # One that asked for a pause takes it afterwards; until then nothing is placed there.
            if not is_rejected or self._tools.backpressure.may_send(placed.upstream_id):
                self._excluded.append(placed.upstream_id)
            if not await self._may_try_again(end, placed.upstream_id):
                remaining_backoff_ms = self._tools.backpressure.remaining_backoff_ms(
                    self._admitted.service
                )
                self._retry_after_ms = max(self._retry_after_ms, remaining_backoff_ms)
                await self._give_up()
                return

    async def time_out(self) -> None:
        """Give the final answer at the deadline."""
        self.trace.result = request_types.Result.TIMED_OUT
        self._note_given_up()
        if self._sent_at:
            self._progress = self._progress.after(placement_messages.RunEnd.CANCELLED)
        await self._finish_without_answer(in_time=False)

    def record_caller_gone(self) -> None:
        """Note that there is nobody left to be answered."""
        self._note_given_up()
        self.trace.result = request_types.Result.CALLER_GONE
        self.trace.status = request_types.CALLER_GONE_STATUS

    def end_ticket(self, end: placement_messages.RunEnd) -> None:
        """Tell the owner that the attempt under way has ended."""
        if self._ticket_id:
            after_ms = (time.monotonic() - self._sent_at) * 1000.0 if self._sent_at else 0.0
            pauses = self._pauses.whole() if end is placement_messages.RunEnd.COMPLETE else None
            self._tools.owner.end(self._ticket_id, end, after_ms, pauses)
            self._ticket_id = ""

    @property
    def _left_ms(self) -> float:
        return (self._admitted.deadline_at - time.monotonic()) * 1000.0

    async def _place_allowed(
        self,
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        """Place the request as often as what is known of it changes while it waits."""
        crashes, key = self._tools.crashes, self._admitted.key
        while True:
            standing = crashes.standing(key)
            is_free = standing.verdict is crash_ledger.Verdict.FREE
            self._refusal = errors.Code.OVERLOADED if is_free else errors.Code.ENDS_UPSTREAMS
            if standing.verdict is crash_ledger.Verdict.HELD:
                return crash_ledger.refusal("", standing)
            is_trial = standing.verdict is crash_ledger.Verdict.TRIAL
            placed = await self._place(trial_key=key if is_trial else "")
            if isinstance(placed, placement_messages.PlaceRefused):
                is_busy = placed.cause is placement_messages.RefusalCause.TRIAL
                if is_busy and await self._wait_trial():
                    continue
                return placed
            match crashes.standing(key).verdict:
                case crash_ledger.Verdict.FREE:
                    return placed
                case crash_ledger.Verdict.TRIAL if is_trial:
                    return placed
            self.end_ticket(placement_messages.RunEnd.CANCELLED)

    async def _wait_trial(self) -> bool:
        """Wait while another request like it may be on trial; return False after long enough.

        A sound one is answered within its usual time, which lets all that wait go on.
        """
        now = time.monotonic()
        if self._trial_until is None:
            self._trial_until = now + min(
                MAX_TRIAL_WAIT_S, MAX_TRIAL_WAIT_SHARE * self._left_ms / 1000.0
            )
        if now >= self._trial_until:
            return False
        await curio.sleep(TRIAL_POLL_S)
        return True

    async def _place(
        self, *, trial_key: str
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        admitted = self._admitted
        self._sent_at = 0.0
        ticket_id = self._tools.owner.new_ticket_id()
        parts = admitted.facts.parts if admitted.route.has_prompt else ()
        matter = trial_key or shard_choice.affinity_key(parts) or ticket_id
        shard, other_shard = self._tools.shards(admitted.service, matter)
        request = placement_messages.PlaceRequest(
            ticket_id=ticket_id,
            service=admitted.service,
            tier=admitted.tier,
            left_ms=self._left_ms,
            target_ms=admitted.route.target_ms,
            gap_ms=admitted.route.gap_ms,
            parts=parts,
            output_tokens=admitted.facts.output_tokens,
            first_left_ms=self._first_left_ms(),
            zone=self._tools.zone,
            excluded=tuple(self._excluded),
            shard=shard,
            other_shard=None if trial_key else other_shard,
            trial_key=trial_key,
        )
        self._ticket_id = request.ticket_id
        self.trace.tickets.append(request.ticket_id)
        answer = await self._tools.owner.place(request)
        if isinstance(answer, placement_messages.PlaceRefused):
            self._ticket_id = ""
        if not self.trace.upstreams:
            self.trace.waited_ms = (time.monotonic() - admitted.started_at) * 1000.0
        return answer

    def _first_left_ms(self) -> float:
        """Return the time until the caller leaves for want of an event; 0 if it does not."""
        patience_ms = self._admitted.route.patience_ms
        if not patience_ms:
            return 0.0
        waited_ms = (time.monotonic() - self._waits_since) * 1000.0
        return max(1.0, patience_ms - waited_ms)

    async def _may_try_again(self, end: placement_messages.RunEnd, upstream_id: str) -> bool:
        """Ask the rules, and the budget once an upstream has seen the request."""
        if not retry_policy.may_retry(self._admitted.route, self._progress, self._left_ms):
            return False
        if await self._tools.crashes.is_suspect(self._admitted.key, upstream_id, self._breaks):
            self.trace.reasons.append("upstreams ended while they ran it")
            return False
        if self._sends == 0:
            return True
        budget = self._tools.budgets[self._admitted.service]
        if budget.take(time.monotonic(), entry_hosts=self._tools.entry_hosts):
            return True
        self.trace.reasons.append("the budget of repeats is used up")
        return False

    def _note_given_up(self) -> None:
        """Have an upstream watched that was at work: one without power breaks no connection."""
        if self._running_at is not None:
            self._tools.crashes.record_abandoned_run(self._admitted.key, self._running_at)
            self._running_at = None

    def _note_failure(self, end: placement_messages.RunEnd) -> None:
        """Count a send that reached its upstream; one that was withdrawn names none."""
        match end:
            case placement_messages.RunEnd.NOT_SENT:
                self.trace.upstreams.pop()
            case placement_messages.RunEnd.UNREACHABLE:
                pass
            case _:
                self._sends += 1

    async def _note_broken(self, upstream: upstream_types.Announcement) -> None:
        self._breaks += 1
        await self._tools.crashes.handle_broken_run(self._admitted, upstream)

    async def _attempt(
        self, upstream: upstream_types.Announcement, fetch_from: str
    ) -> placement_messages.RunEnd | None:
        """Carry out one attempt; return how it failed, or None if the caller has its answer."""
        self.trace.upstreams.append(upstream.upstream_id)
        self._sent_at = time.monotonic()
        self._pauses = gap_recorder.GapRecorder()
        sent = await self._sender.send(
            upstream,
            fetch_from=fetch_from,
            last_event_id=self._cutter.last_id,
            left_ms=self._left_ms,
        )
        if isinstance(sent, upstream_call.Failure):
            self._note_failure(sent.end)
            self.trace.reasons.append(f"{upstream.upstream_id}: {sent.why}")
            if sent.end is placement_messages.RunEnd.BROKEN:
                await self._note_broken(upstream)
            self.end_ticket(sent.end)
            return sent.end
        self._sends += 1
        try:
            end = await self._relay(sent)
        except errors.UpstreamError as error:
            self._cutter.discard_pending()
            self.trace.reasons.append(f"{upstream.upstream_id}: {error}")
            await self._note_broken(upstream)
            end = placement_messages.RunEnd.FAILED
        finally:
            # A cancelled or failed relay leaves the upstream at work unless it is told.
            await sent.close()
        self.end_ticket(end or placement_messages.RunEnd.COMPLETE)
        return end

    async def _relay(self, response: http_client.Response) -> placement_messages.RunEnd | None:
        is_stream = response.headers.get("content-type", "").startswith(sse.MEDIA_TYPE)
        if response.status < 300 and is_stream:
            await self._relay_stream(response)
            return None
        if self._progress.response_started:
            await response.read()
            raise errors.UpstreamError(
                f"The upstream answered {response.status} where a stream was to go on.",
                remedy="See whether the upstream can resume streams.",
            )
        return await self._relay_whole(response)

    async def _relay_whole(
        self, response: http_client.Response
    ) -> placement_messages.RunEnd | None:
        """Pass on an answer that is read whole first, so that a cut one is never begun."""
        body = await response.read()
        self._tools.crashes.record_completed_run(self._admitted.key)
        failed = response.status >= 500
        if failed and self._may_repeat_failure():
            self.trace.reasons.append(f"{self.trace.upstreams[-1]}: status {response.status}")
            return placement_messages.RunEnd.FAILED
        self.trace.first_event_ms = self._since_start_ms()
        await self._admitted.exchange.respond(response.status, response.headers, body)
        self._finish(request_types.Result.ANSWERED, response.status)
        return None

    def _may_repeat_failure(self) -> bool:
        """Say whether an upstream's own failure is kept from the caller and tried elsewhere."""
        after = self._progress.after(placement_messages.RunEnd.FAILED)
        if not retry_policy.may_retry(self._admitted.route, after, self._left_ms):
            return False
        budget = self._tools.budgets[self._admitted.service]
        return budget.has_room(time.monotonic(), entry_hosts=self._tools.entry_hosts)

    async def _relay_stream(self, response: http_client.Response) -> None:
        """Pass on events as they come, each only when it is whole."""
        exchange = self._admitted.exchange
        while chunk := await self._next_chunk(response):
            whole = self._cutter.feed(chunk)
            if not whole:
                continue
            if not self._progress.response_started:
                await self._begin_stream(response)
            self._note_event()
            await exchange.send(whole)
        self._tools.crashes.record_completed_run(self._admitted.key)
        if not self._progress.response_started:
            await self._begin_stream(response)
        await exchange.send(self._cutter.pending)
        await exchange.finish()
        self._finish(request_types.Result.ANSWERED, response.status)

    async def _next_chunk(self, response: http_client.Response) -> bytes:
        """Return the next bytes; give an upstream up that is silent, if another may go on.

        Raises:
            errors.UpstreamError: The stream is broken or silent.
        """
        after = self._progress.after(placement_messages.RunEnd.FAILED)
        may_go_on = retry_policy.may_retry(self._admitted.route, after, self._left_ms)
        if not (self._progress.response_started and may_go_on):
            return await response.next_chunk()
        silence_s = retry_policy.stall_timeout_s(self._admitted.route)
        try:
            return await curio.timeout_after(silence_s, response.next_chunk)
        except curio.TaskTimeout as error:
            raise errors.UpstreamError(
                f"The upstream was silent for {silence_s:.3g} s in the middle of a stream.",
                remedy="See whether the upstream runs and can be reached from this host.",
            ) from error

    def _note_event(self) -> None:
        """Note when events are passed on, and the longest pause between two."""
        self._waits_since = time.monotonic()
        pause_ms = self._pauses.note_event(self._waits_since)
        self.trace.longest_pause_ms = max(self.trace.longest_pause_ms, pause_ms)

    async def _begin_stream(self, response: http_client.Response) -> None:
        after_ms = (time.monotonic() - self._sent_at) * 1000.0
        self._tools.owner.report_first_event(self._ticket_id, after_ms)
        self._sender.count_started()
        self.trace.first_event_ms = self._since_start_ms()
        self._progress = dataclasses.replace(self._progress, response_started=True)
        headers = {
            name: value for name, value in response.headers.items() if name != "content-length"
        }
        await self._admitted.exchange.begin(response.status, headers)

    async def _give_up(self) -> None:
        result = request_types.Result
        self.trace.result = result.FAILED if self._progress.runs else result.REFUSED
        await self._finish_without_answer(in_time=self._left_ms > 0)

    async def _finish_without_answer(self, *, in_time: bool) -> None:
        """Tell the caller at once what is known; an answer that was begun can only be cut."""
        exchange = self._admitted.exchange
        if exchange.started:
            self.trace.result = request_types.Result.CUT
            return
        status = retry_policy.final_status(self._progress, in_time=in_time)
        self.trace.status = status
        headers = {"Content-Type": "application/json"}
        if status == 503:
            headers["Retry-After"] = f"{self._retry_after_ms / 1000.0:.3f}"
        reasons = "; ".join(self.trace.reasons) or "its time ran out"
        error = errors.MedlarError(
            f"The request got no answer: {reasons}.",
            remedy="Come back as Retry-After says." if status == 503 else "It may have run.",
            code=self._refusal if status == 503 else errors.Code.UNCERTAIN,
        )
        await exchange.respond(status, headers, _http_messages.error_body(error, status))

    def _finish(self, result: request_types.Result, status: int) -> None:
        self.trace.result = result
        self.trace.status = status

    def _since_start_ms(self) -> float:
        return (time.monotonic() - self._admitted.started_at) * 1000.0
