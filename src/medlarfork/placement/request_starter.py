"""Start requests of one shard on their best upstream. Pure: no I/O, no clock.

It handles requests that may start now, new or queued: whether starting one harms more than waiting,
when one that waits would start, and what is recorded about one that starts.
"""

from __future__ import annotations

from medlarfork.placement import (
    account_shares,
    admission_policy,
    placement_decision,
    placement_messages,
    retry_schedule,
    spillover,
    upstream_chooser,
    upstream_load,
    wait_forecast,
    wait_queue,
)


class RequestStarter:
    """Start requests on the upstreams of a shard; callers pass the time, in seconds."""

    def __init__(
        self,
        chooser: upstream_chooser.UpstreamChooser,
        shares: account_shares.AccountShares,
        forecast: wait_forecast.WaitForecast,
        retries: retry_schedule.RetrySchedule,
    ) -> None:
        """Use the parts of a shard that choose an upstream and that count starts."""
        self._chooser = chooser
        self._shares = shares
        self._forecast = forecast
        self._retries = retries
        self._longest_target_ms = 0.0

    def is_deferrable(self, request: placement_messages.PlaceRequest) -> bool:
        """Return whether no kind of request seen so far has a longer target."""
        self._longest_target_ms = max(self._longest_target_ms, request.target_ms)
        return request.target_ms >= self._longest_target_ms

    def try_start(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> placement_decision.Decision | None:
        """Start a request if it may start now; otherwise return None."""
        request = waiting.request
        best = self._chooser.best(waiting, now)
        if best is None:
            return None
        waited_ms = (now - waiting.queued_at) * 1000.0
        slack_ms = admission_policy.slack_ms(request, best.cost.prefill_ms, waited_ms)
        if admission_policy.awaits_shared_prefill(best.cost, slack_ms):
            return None
        if self._chooser.has_tight_stream() and not admission_policy.may_start(
            best.cost, slack_ms, is_deferrable=self.is_deferrable(request)
        ):
            return None
        return self._start(waiting, best, now)

    def predicted_wait_ms(self, waiting: wait_queue.WaitingRequest, now: float) -> float:
        """Return how long a new request would wait, in milliseconds."""
        usable = self._chooser.usable(waiting.request)
        return self._forecast.wait_ms(
            waiting,
            unconstrained_engines=self._chooser.unconstrained_engines(),
            usable_share=len(usable) / max(len(self._chooser.present), 1),
            backlog_ms=min((load.backlog_ms(now) for load in usable), default=0.0),
            now=now,
        )

    def predicted_start_ms(self, waiting: wait_queue.WaitingRequest, now: float) -> float:
        """Return the predicted start of a request that can't start immediately, in milliseconds.

        Short requests wait for slots and for streams to end rather than for prefill, which can't be
        predicted.
        """
        if spillover.shared_tokens(waiting.request) <= spillover.CHEAP_RECOMPUTE_TOKENS:
            return spillover.UNKNOWN_START_MS
        return self.predicted_wait_ms(waiting, now) + waiting.prefill_ms

    def _start(
        self,
        waiting: wait_queue.WaitingRequest,
        choice: upstream_chooser.Choice,
        now: float,
    ) -> placement_decision.Decision:
        request, load, cost = waiting.request, choice.load, choice.cost
        if self.is_deferrable(request):
            self._forecast.record_start(waiting.prefill_ms, now)
        charged_slot_ms = self._shares.record_start(
            request, waiting.virtual_ms, cost.prefill_ms, now
        )
        run = upstream_load.Run(
            waiting.entry_id,
            request,
            cost.prefill_tokens,
            cost.prefill_ms,
            is_rate_sample=cost.backlog_ms <= 0.0 and not cost.fetch_from,
            deadline=waiting.deadline,
            started_at=now,
            charged_slot_ms=charged_slot_ms,
        )
        self._chooser.add(run, load, now)
        self._retries.record_end(waiting, is_started=True)
        placed = placement_messages.Placed(
            request.ticket_id,
            load.announcement.upstream_id,
            cost.fetch_from,
            self._chooser.estimator.estimate if self._chooser.estimator.has_measured else None,
            load.speed.factor,
        )
        shares_machines = self._chooser.speeds.is_active
        decision_inputs = placement_decision.DecisionInputs(
            waited_ms=(now - waiting.queued_at) * 1000.0,
            cost=cost,
            running=len(load.run_by_ticket) - 1,
            candidates=len(self._chooser.present),
            tokens_per_ms=self._chooser.estimator.tokens_per_ms,
            max_gap_ms=self._chooser.estimator.max_gap_ms(self._chooser.event_tokens),
            speed=load.speed.factor if shares_machines else None,
            slowdown=load.speed.slowdown(now) if shares_machines else None,
        )
        return placement_decision.Decision(
            waiting.entry_id, placed, decision_inputs, is_returning=waiting.is_returning
        )
