"""Place the requests of one shard: start them on an upstream, queue them, or refuse them."""

from __future__ import annotations

import math

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    account_shares,
    admission_policy,
    placement_decision,
    placement_messages,
    refusals,
    request_starter,
    retry_schedule,
    shard_speeds,
    spillover,
    unservable,
    upstream_chooser,
    upstream_load,
    wait_forecast,
    wait_queue,
)
from medlarfork.routes import routing

PASS_PERIOD_S = 0.01
"""Shortest interval between two passes over the queue, in seconds: a small part of any target.
Without it each run that ends costs a pass, and an owner that falls behind never recovers: the
reports of ended runs that it has not read yet make engines look full, so more requests are
queued."""

COMPARISONS_PER_PASS = 24
"""Upstreams compared for the requests of one kind in one pass. Together with the period it
limits the processor time of an owner whose engines are all busy. An owner that answers late
leaves entry hosts to fill engines without it, and these then preempt more urgent requests."""

MIN_TRIES = 2
"""Requests of one kind that are tried in each pass, however many upstreams there are."""


class ShardOwner:
    """Decide for the requests of one shard. Pure: callers pass the time."""

    def __init__(self, gate: send_gate.SendGate | None = None) -> None:
        """Start without upstreams, as a plain service.

        Args:
            gate: Paces requests to upstreams; None if no upstream sends backpressure signals.
        """
        self._shares = account_shares.AccountShares()
        self._queue = wait_queue.WaitQueue(self._shares)
        shared = gate or send_gate.SendGate(signal_ledger.SignalLedger())
        self._chooser = upstream_chooser.UpstreamChooser(shared, self._queue)
        self.estimator = self._chooser.estimator
        self.load_by_id = self._chooser.load_by_id
        self.gate = self._chooser.gate
        self._speeds = self._chooser.speeds
        self._forecast = wait_forecast.WaitForecast(self._queue)
        self._busy_shards = spillover.BusyShards()
        self._refusals = refusals.Refusals(self._queue, self._shares)
        self.retries = self._refusals.retries
        self._starter = request_starter.RequestStarter(
            self._chooser, self._shares, self._forecast, self.retries
        )
        self._unservable = unservable.UnservableRequests(
            self._chooser, self._queue, self._starter, self._refusals
        )
        self._passed_at = -math.inf
        self.offered_prefill_ms = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return sum(len(load.run_by_ticket) for load in self.load_by_id.values())

    def use_engine(self, engine: routing.EngineSpec | None) -> None:
        """Apply the engine facts of the routing; None for plain services."""
        self._chooser.use_engine(engine)
        self._refusals.use_engine(engine)

    def use_upstreams(self, announcements: dict[str, upstream_types.Announcement]) -> None:
        """Set the upstreams that may be used now; runs on others continue to their ends."""
        self._chooser.use_upstreams(announcements)
        self._unservable.use_upstreams()
        self._shares.use_slots([announcement.slots for announcement in announcements.values()])
        self._refusals.use_upstreams(announcements.values())

    def expect_upstreams(self, until: float) -> None:
        """Queue requests until then that no known upstream may run, as others may announce."""
        self._unservable.expect_upstreams(until)

    def account_states(self, now: float) -> tuple[account_shares.AccountState, ...]:
        """Return the state of each account with requests now or in the last 10 s."""
        return self._shares.states(self._queue.count_by_account(), now)

    def retry_state(self, now: float) -> retry_schedule.RetryState:
        """Return the numbers of scheduled retries that are outstanding, kept and missed."""
        return self.retries.state(now)

    def place(
        self, entry_id: str, request: placement_messages.PlaceRequest, now: float
    ) -> tuple[placement_decision.Decision, ...]:
        """Start a request, queue it, send it to another shard, or refuse it.

        If an entry host that chose its owner again repeats a request, it gets the same answer
        again.
        """
        known = self._known_answer(request.ticket_id)
        if known is not None:
            return (placement_decision.Decision(entry_id, known),)
        self._busy_shards.record(request, now)
        waiting = wait_queue.WaitingRequest(
            entry_id,
            request,
            now,
            self._chooser.min_prefill_ms(request),
            admission_policy.decode_ms(request, self.estimator.step_ms),
            self._shares.virtual_ms(request.tier),
            self._refusals.claim(request, now),
        )
        refused = self._unservable.refuse(waiting, now)
        if refused is not None:
            return (refused,)
        self.offered_prefill_ms += waiting.prefill_ms
        # Without a prefill the wait can't be predicted from that of the requests before it.
        if self._starter.is_deferrable(request) and waiting.prefill_ms > 0:
            predicted_ms = self._starter.predicted_wait_ms(waiting, now)
            if admission_policy.is_hopeless(
                request, predicted_ms, waiting.prefill_ms, waiting.decode_ms
            ):
                if self._busy_shards.may_ask(request, now):
                    return (self._busy(waiting, predicted_ms + waiting.prefill_ms),)
                why = f"its predicted wait is about {predicted_ms:.0f} ms"
                after_ms = admission_policy.retry_after_ms(request, predicted_ms)
                return (self._refusals.refuse(waiting, why, after_ms, now),)
        closed_ms = self._chooser.closed_ms(waiting, now)
        if self._is_closed_too_long(waiting, closed_ms, now):
            return (self._reject_closed(waiting, closed_ms, now),)
        if self._refusals.can_not_end(waiting, now):
            return (self._refusals.refuse_early(waiting, now),)
        started, may_start = self._start_preceding(waiting, now)
        answer = self._starter.try_start(waiting, now) if may_start else None
        if answer is not None:
            return (*started, answer)
        if self._busy_shards.may_ask(request, now):
            start_ms = max(self._starter.predicted_start_ms(waiting, now), closed_ms)
            if start_ms >= spillover.max_start_ms(request, self.estimator.tokens_per_ms):
                return (*started, self._busy(waiting, start_ms))
        return (*started, *self._enqueue(waiting, now))

    def _start_preceding(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> tuple[list[placement_decision.Decision], bool]:
        """Give slots that are free since the last pass to the requests that precede a new one.

        Returns:
            The answers to these, and whether the new one may start now. It may not while more
            urgent kinds, which the next pass serves first, are queued before requests that precede
            it, or before a request of a plain service with an account.
        """
        answers: list[placement_decision.Decision] = []
        request = waiting.request
        is_ordered = bool(request.account) and not request.parts
        while not self._chooser.is_full:
            first = self._queue.first_before(waiting, now)
            is_preceded = is_ordered or first is not None
            if is_preceded and self._queue.has_more_urgent(waiting.kind):
                return answers, False
            answer = None if first is None else self._starter.try_start(first, now)
            if answer is None:
                return answers, first is None or not self._queue.holds_back_others(first)
            self._queue.remove(answer.message.ticket_id)
            self._refusals.record_queue(now)
            answers.append(answer)
        return answers, True

    def _enqueue(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> tuple[placement_decision.Decision, ...]:
        """Queue a request. If the queue is full, refuse it, or another one in its place."""
        if self._refusals.is_hopeless_at_end(waiting, now):
            return (self._refusals.refuse_early(waiting, now),)
        answers: tuple[placement_decision.Decision, ...] = ()
        if self._queue.is_full:
            refused, why = self._queue.displace(waiting)
            answers = (self._refusals.refuse(refused, why, admission_policy.MIN_RETRY_MS, now),)
            if refused is waiting:
                return answers
        self._forecast.record_queued(now)
        self._queue.add(waiting)
        self._refusals.record_queue(now)
        queued = placement_messages.Queued(waiting.request.ticket_id)
        return (*answers, placement_decision.Decision(waiting.entry_id, queued))

    def _known_answer(self, ticket_id: str) -> placement_messages.Answer | None:
        """Return the answer to a request that is already queued or running."""
        if ticket_id in self._queue:
            return placement_messages.Queued(ticket_id)
        for upstream_id, load in self.load_by_id.items():
            if ticket_id in load.run_by_ticket:
                return placement_messages.Placed(ticket_id, upstream_id, speed=load.speed.factor)
        return None

    def on_first_event(self, message: placement_messages.FirstEvent, now: float) -> None:
        """Record a first event, and learn from the time that it took."""
        for load in self.load_by_id.values():
            run = load.run_by_ticket.get(message.ticket_id)
            if run is None:
                continue
            started_run = load.record_first_event(
                message.ticket_id, admission_policy.prefill_cooldown_ms(run.prefill_ms), now
            )
            if started_run is not None:
                self._speeds.record_first_event(load, started_run, message, now)

    def on_ended(
        self, message: placement_messages.RunEnded, now: float
    ) -> tuple[placement_decision.Decision, ...]:
        """Release the slot of a run that ended, or remove a withdrawn request from the queue."""
        self._queue.remove(message.ticket_id)
        self._refusals.record_queue(now)
        for load in self.load_by_id.values():
            if message.ticket_id not in load.run_by_ticket:
                continue
            self._speeds.record_end(load, message, now)
            run = load.end(message.ticket_id, message.end, now)
            if run is None:
                continue
            is_rejected = message.end is placement_messages.RunEnd.REJECTED
            if is_rejected and self.gate.is_closed_to_all(load, now):
                load.limit_runs(now)
            self._refusals.record_end(run.request.tier, message, now)
            self._shares.record_end(run, message.end, now)
            if message.pauses is not None:
                event_tokens = self._chooser.event_tokens
                self._speeds.record_gaps(load, run, message.pauses, event_tokens, now)
        return self.serve_due(now)

    def serve_due(self, now: float) -> tuple[placement_decision.Decision, ...]:
        """Start queued requests that can start, unless the last pass was just now."""
        if now < self._passed_at + PASS_PERIOD_S:
            return self._serve_returning(now)
        return self.serve_waiting(now)

    def _serve_returning(self, now: float) -> tuple[placement_decision.Decision, ...]:
        """Start the first queued request if it is a scheduled retry; new ones may not overtake it.

        Its slot would otherwise be idle until the next pass.
        """
        first = self._queue.first_returning(now)
        answer = None if first is None else self._starter.try_start(first, now)
        if first is None or answer is None:
            return ()
        self._queue.remove(first.request.ticket_id)
        self._refusals.record_queue(now)
        return (answer,)

    def on_still_running(
        self, entry_id: str, message: placement_messages.StillRunning, now: float
    ) -> None:
        """Add a run that an earlier owner placed."""
        load = self.load_by_id.get(message.upstream_id)
        if load is None or message.request.ticket_id in load.run_by_ticket:
            return
        prefill_tokens = load.cache.uncached_tokens(message.request.parts)
        run = upstream_load.Run(
            entry_id,
            message.request,
            prefill_tokens,
            prefill_tokens / self.estimator.tokens_per_ms * load.speed.factor,
            is_rate_sample=False,
            has_started=message.has_begun,
            deadline=now + message.request.left_ms / 1000.0,
        )
        load.add(run, now)

    def adopt_speeds(
        self, speeds: tuple[placement_messages.UpstreamSpeed, ...], now: float
    ) -> None:
        """Start from the relative times that an earlier owner told an entry host."""
        self._speeds.adopt(speeds, now)

    def upstreams(self, now: float) -> dict[str, shard_speeds.UpstreamSummary]:
        """Return the state of each upstream by incarnation, for operators."""
        # Metrics are rendered in a thread, so this takes an atomic copy.
        loads = list(self.load_by_id.items())
        return {upstream_id: self._speeds.summary(load, now) for upstream_id, load in loads}

    def release_entry(self, entry_id: str, now: float) -> tuple[placement_decision.Decision, ...]:
        """Release everything of a lost entry host, whose upstream connections are gone with it."""
        self._queue.remove_entry(entry_id)
        for load in self.load_by_id.values():
            load.end_entry(entry_id, now)
        return self.serve_waiting(now)

    def end_overdue(self, now: float) -> tuple[str, ...]:
        """End the runs whose end was never reported; return their tickets.

        Upstreams that have been absent for long are evicted too.
        """
        self._shares.evict_idle(now)
        overdue = tuple(
            ticket_id for load in self.load_by_id.values() for ticket_id in load.end_overdue(now)
        )
        self._chooser.evict_absent(now)
        self._speeds.forget_old(now)
        return overdue

    def serve_waiting(self, now: float) -> tuple[placement_decision.Decision, ...]:
        """Start queued requests that can start: the highest tier first, then the shortest target.

        Of each kind only the first ones are tried in a pass: what delays these delays the ones
        behind them too. Those that need a version delay only others that need it, so they are
        counted apart.
        """
        self._passed_at = now
        is_counting = self._refusals.begin_pass(now)
        tries_left: dict[tuple[account_shares.Kind, str | None], int] = {}
        max_tries = max(MIN_TRIES, COMPARISONS_PER_PASS // max(len(self._chooser.present), 1))
        answers = self._unservable.refuse_queued(now)
        for waiting in self._queue.in_order(
            now,
            lambda kind: is_counting
            or (tries_left.get((kind, None), max_tries) > 0 and not self._chooser.is_full),
        ):
            counted = waiting.kind, waiting.request.version
            left = tries_left.get(counted, max_tries)
            answer = self._serve(waiting, now, may_try=left > 0)
            if answer is None:
                tries_left[counted] = left - 1
                continue
            self._queue.remove(waiting.request.ticket_id)
            answers.append(answer)
        self._refusals.record_queue(now)
        return tuple(answers)

    def _serve(
        self, waiting: wait_queue.WaitingRequest, now: float, *, may_try: bool
    ) -> placement_decision.Decision | None:
        """Return the answer to a queued request, or None if it stays in the queue."""
        why = "it could not start in time"
        retry_ms = admission_policy.overloaded_retry_ms(waiting.request)
        if waiting.answer_by <= now:
            closed_ms = self._chooser.closed_ms(waiting, now)
            return self._refusals.refuse(waiting, why, retry_ms, now, closed_ms)
        answer = self._starter.try_start(waiting, now) if may_try else None
        if answer is not None:
            return answer
        if may_try:
            closed_ms = self._chooser.closed_ms(waiting, now)
            if self._is_closed_too_long(waiting, closed_ms, now):
                return self._reject_closed(waiting, closed_ms, now)
        if self._refusals.is_hopeless(waiting):
            return self._refusals.refuse_early(waiting, now)
        is_too_late = self._is_too_late(waiting, now)
        return self._refusals.refuse(waiting, why, retry_ms, now) if is_too_late else None

    def _is_closed_too_long(
        self, waiting: wait_queue.WaitingRequest, closed_ms: float, now: float
    ) -> bool:
        is_too_long = closed_ms > 0 and now + closed_ms / 1000.0 > waiting.latest_start
        return is_too_long and self._unservable.is_view_complete(now)

    def _reject_closed(
        self, waiting: wait_queue.WaitingRequest, closed_ms: float, now: float
    ) -> placement_decision.Decision:
        """Send a request that no upstream accepts in time to another shard, or refuse it."""
        if self._busy_shards.may_ask(waiting.request, now):
            return self._busy(waiting, closed_ms)
        # Its caller's retry may use the upstreams that have failed it, too.
        retry_closed_ms = self._chooser.closed_ms(waiting.without_exclusions(), now)
        return self._refusals.refuse_closed(waiting, min(closed_ms, retry_closed_ms), now)

    def _is_too_late(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether a late request would be of no use to its caller any more."""
        is_late = waiting.is_late(now) and self._starter.is_deferrable(waiting.request)
        return is_late and waiting.latest_start <= now

    def _busy(
        self, waiting: wait_queue.WaitingRequest, start_ms: float
    ) -> placement_decision.Decision:
        self.retries.restore(waiting)
        busy = placement_messages.Busy(waiting.request.ticket_id, start_ms)
        return placement_decision.Decision(waiting.entry_id, busy)
