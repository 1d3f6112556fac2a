"""Relative times of the upstreams of one shard, once one of them reports momentary slowdowns. Pure.

It handles urgent streams beside long prompts on engines that differ in speed and share their
machines with other workloads. Each engine gets its own factor, and the gaps of streams are planned
for the slow moments that they are likely to meet. Until an upstream reports a slowdown, machines
count as not shared: every factor is 1 and nothing that upstreams report is used.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses

from medlarfork.placement import (
    engine_estimator,
    placement_cost,
    placement_messages,
    reported_load,
    upstream_load,
    upstream_speed,
)

PLANNED_QUANTILE = 0.95
"""Quantile of the reported slowdowns that gaps are planned for. Streams live two to three times as
long as a slow moment lasts, so one in six meets a slowdown that 5 in 100 moments have."""

SAMPLE_PERIOD_S = 0.3
"""Shortest interval between two reports of one upstream that count in the quantile, in seconds:
half a slow moment. Otherwise upstreams with many requests would count for more."""

MAX_REPORTS = 512
"""Reports that the quantile is computed from: 13 s of 12 upstreams."""

REPORT_RETENTION_S = 60.0
"""Age at which reports no longer count in the quantile, in seconds."""

MAX_ADOPTED = 64
"""Factors from earlier owners that are kept for upstreams that are not known yet; shards have at
most 12."""

MIN_SHORT_SAMPLES = 5
"""Short prompts needed before upstreams are compared by them."""

MAX_SHORT_SAMPLES = 48
"""Times of short prompts that are kept: some seconds of a few engines, so that a change shows."""

MAX_GAP_PREFILL_MS = placement_cost.LONG_PREFILL_MS
"""Prefill beside a stream up to which its gaps are those of the engine alone, in milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSummary:
    """What the owner knows of one upstream, for operators.

    Attributes:
        factor: Its relative time; 1 is usual.
        samples: Samples that the factor is learnt from.
        slowdown: Its momentary slowdown now; 1 is usual.
        trust: How far latencies confirm the slowdowns that it reports; 0 to 1.
        running: Runs that the owner knows of.
        unknown_runs: Runs that the owner does not know of, discounted with their report's age.
        reported: What it reported last; None if it has reported nothing.
        report_age_s: Age of that report, in seconds; None without a report.
        slow_for_s: Time since its factor became slow, in seconds; None if it is not.
    """

    factor: float
    samples: int
    slowdown: float
    trust: float
    running: int
    unknown_runs: float
    reported: reported_load.ReportedLoad | None
    report_age_s: float | None
    slow_for_s: float | None


class ShardSpeeds:
    """Feed the estimates of a shard and return relative times; callers pass the time, in seconds.

    Attributes:
        is_active: Whether machines are known to be shared.
        planned_slowdown: The slowdown that gaps are planned for.
    """

    def __init__(
        self,
        estimator: engine_estimator.EngineEstimator,
        load_by_id: dict[str, upstream_load.UpstreamLoad],
    ) -> None:
        """Start inactive.

        Args:
            estimator: Estimates the usual times of the service.
            load_by_id: The upstreams of the shard, which the caller updates.
        """
        self.is_active = False
        self.planned_slowdown = 1.0
        self._estimator = estimator
        self._load_by_id = load_by_id
        self._reports: collections.deque[tuple[float, float]] = collections.deque()
        self._slowdowns_in_order: list[float] = []
        self._median = 1.0
        self._short_times: collections.deque[float] = collections.deque(maxlen=MAX_SHORT_SAMPLES)
        self._adopted_by_id: dict[str, tuple[float, float]] = {}

    def relative_time(
        self, load: upstream_load.UpstreamLoad, now: float
    ) -> placement_cost.RelativeTime | None:
        """Return the relative time of an upstream; None while inactive."""
        if not self.is_active:
            return None
        slowdown = load.speed.slowdown(now)
        planned = max(self.planned_slowdown, slowdown)
        factor = load.speed.factor
        return placement_cost.RelativeTime(
            prefill=factor * slowdown,
            gap=factor * planned,
            moment=planned / slowdown,
            unknown_runs=load.speed.unknown_runs(now),
        )

    def gap_time(self, load: upstream_load.UpstreamLoad) -> float:
        """Return how much longer than usual the gaps are that streams there are planned for."""
        return load.speed.factor * self.planned_slowdown if self.is_active else 1.0

    def adopt(
        self,
        speeds: tuple[placement_messages.UpstreamSpeed, ...],
        now: float,
    ) -> None:
        """Start from the factors that an earlier owner told an entry host."""
        for speed in speeds:
            load = self._load_by_id.get(speed.upstream_id)
            if load is not None:
                self._adopt_factor(load, speed.factor, now)
                continue
            # Entry hosts state the latest factors last; the earliest are of ended upstreams.
            self._adopted_by_id.pop(speed.upstream_id, None)
            self._adopted_by_id[speed.upstream_id] = (speed.factor, now)
            if len(self._adopted_by_id) > MAX_ADOPTED:
                del self._adopted_by_id[next(iter(self._adopted_by_id))]

    def add_upstream(self, load: upstream_load.UpstreamLoad) -> None:
        """Apply the factor that was adopted before the upstream was known, if any."""
        adopted = self._adopted_by_id.pop(load.announcement.upstream_id, None)
        if adopted is not None:
            self._adopt_factor(load, *adopted)

    def _adopt_factor(self, load: upstream_load.UpstreamLoad, factor: float, now: float) -> None:
        load.speed.adopt(factor, now)
        # Only upstreams of a service that reports slowdowns have other factors than 1.
        self.is_active |= load.speed.factor != 1.0

    def record_report(
        self,
        load: upstream_load.UpstreamLoad,
        report: reported_load.ReportedLoad | None,
        now: float,
    ) -> None:
        """Record what an upstream reported, while the run that it came with still counts there."""
        if report is None:
            return
        self.is_active |= report.slowdown is not None
        if not self.is_active:
            return
        own_runs, slots = len(load.run_by_ticket), load.announcement.slots
        slowdown = load.speed.record_report(report, own_runs, slots, now)
        for run in load.run_by_ticket.values():
            if run.has_started:
                if slowdown > run.max_slowdown:
                    run.max_slowdown = slowdown
                if slowdown < run.min_slowdown:
                    run.min_slowdown = slowdown
        if report.slowdown is not None and now - load.speed.sampled_at >= SAMPLE_PERIOD_S:
            load.speed.sampled_at = now
            if len(self._reports) >= MAX_REPORTS:
                self._remove_oldest_report()
            self._reports.append((now, slowdown))
            bisect.insort(self._slowdowns_in_order, slowdown)
            self._plan()
            self._compare_usual_reports(now)

    def _compare_usual_reports(self, now: float) -> None:
        """Compare what the upstreams usually report."""
        speeds = [load.speed for load in self._load_by_id.values()]
        usual = sorted([item.usual_report for item in speeds if item.usual_report is not None])
        for item in speeds:
            if item.usual_report is not None:
                item.set_usual_reference(usual[(len(usual) - 1) // 2], now)

    def record_first_event(
        self,
        load: upstream_load.UpstreamLoad,
        run: upstream_load.Run,
        message: placement_messages.FirstEvent,
        now: float,
    ) -> None:
        """Learn from the time to first event of a run that has just started."""
        self.record_report(load, message.load, now)
        if not self.is_active:
            if run.is_rate_sample:
                self._estimator.observe_first_event(run.prefill_tokens, message.after_ms)
            return
        run.slowdown = None if message.load is None else load.speed.stated_slowdown
        if not run.is_rate_sample:
            return
        estimator, speed, tokens = self._estimator, load.speed, run.prefill_tokens
        slowdown = speed.slowdown(now)
        prefill_ms = message.after_ms - estimator.fixed_ms
        if tokens < engine_estimator.MIN_RATE_TOKENS:
            self._observe_short(speed, run, message.after_ms, now)
        elif estimator.has_measured and prefill_ms > 0:
            token_ms, usual_ms = prefill_ms / tokens, 1.0 / estimator.tokens_per_ms
            speed.check_report(run.slowdown, token_ms / usual_ms)
            kind = upstream_speed.SampleKind.LONG_PREFILL
            self._observe(speed, kind, (token_ms, usual_ms, slowdown), now)
        estimator.observe_first_event(tokens, message.after_ms, speed.factor * slowdown)

    def _observe_short(
        self,
        speed: upstream_speed.UpstreamSpeed,
        run: upstream_load.Run,
        after_ms: float,
        now: float,
    ) -> None:
        """Learn from a short prompt: streams on an engine are measured before the first one ends.

        The steps before a first event outweigh the prefill, and the estimate of the service does
        not contain all of them. So times are compared with those of short prompts elsewhere.
        """
        if not run.prefill_tokens or after_ms <= 0:
            return
        estimator = self._estimator
        predicted_ms = estimator.fixed_ms + run.prefill_tokens / estimator.tokens_per_ms
        time = after_ms / predicted_ms
        slowdown = speed.slowdown(now)
        self._short_times.append(time / slowdown / speed.factor)
        if len(self._short_times) < MIN_SHORT_SAMPLES:
            return
        usual = upstream_speed.quantile(self._short_times, upstream_speed.TYPICAL_QUANTILE)
        speed.check_report(run.slowdown, time / usual)
        kind = upstream_speed.SampleKind.SHORT_PREFILL
        self._observe(speed, kind, (time, usual, slowdown), now)

    def _observe(
        self,
        speed: upstream_speed.UpstreamSpeed,
        kind: upstream_speed.SampleKind,
        sample: tuple[float, float, float],
        now: float,
    ) -> None:
        """Record a sample (value, usual value, slowdown), and compare the upstreams again.

        The service's estimate is made from samples divided by the factors, so both could drift
        together. Factors relative to the median upstream can't.
        """
        speed.observe(kind, *sample)
        measured = [load.speed for load in self._load_by_id.values() if load.speed.is_measured]
        learnt = sorted([item.learnt for item in measured])
        median = learnt[(len(learnt) - 1) // 2]
        # The factors of the others change only with the median.
        for item in measured if median != self._median else (speed,):
            item.set_reference(median, now)
        self._median = median

    def record_end(
        self,
        load: upstream_load.UpstreamLoad,
        message: placement_messages.RunEnded,
        now: float,
    ) -> None:
        """Record the report of a run that ends without a first event.

        A stream's report came with its first event, and is too old when the stream ends.
        """
        run = load.run_by_ticket.get(message.ticket_id)
        if run is not None and not run.has_started:
            self.record_report(load, message.load, now)

    def record_gaps(
        self,
        load: upstream_load.UpstreamLoad,
        run: upstream_load.Run,
        gaps: placement_messages.InterEventGaps,
        event_tokens: int,
        now: float,
    ) -> None:
        """Learn from the inter-event gaps of a complete stream."""
        estimator, speed = self._estimator, load.speed
        prefill_ms = run.max_concurrent_prefill_ms
        if not self.is_active:
            estimator.observe_gaps(gaps, prefill_ms, event_tokens)
            return
        # Without a recent report the upstream may have been as usual for most of the stream.
        slowdown = min(run.min_slowdown, speed.slowdown(now))
        if estimator.has_measured_gaps and prefill_ms <= MAX_GAP_PREFILL_MS:
            usual_ms = estimator.step_ms * event_tokens
            kind = upstream_speed.SampleKind.GAP
            self._observe(speed, kind, (gaps.usual_ms, usual_ms, slowdown), now)
        estimator.observe_gaps(
            gaps,
            prefill_ms,
            event_tokens,
            speed.factor * slowdown,
            speed.factor * max(run.max_slowdown, slowdown),
        )

    def forget_old(self, now: float) -> None:
        """Remove reports and adopted factors that are too old; called every second."""
        for upstream_id, (_, adopted_at) in tuple(self._adopted_by_id.items()):
            if now - adopted_at > REPORT_RETENTION_S:
                del self._adopted_by_id[upstream_id]
        if not self.is_active:
            return
        while self._reports and now - self._reports[0][0] > REPORT_RETENTION_S:
            self._remove_oldest_report()
        self._plan()

    def summary(self, load: upstream_load.UpstreamLoad, now: float) -> UpstreamSummary:
        """Return the state of an upstream, for operators."""
        speed = load.speed
        # Metrics are rendered in a thread, meanwhile the factor may fall.
        slow_since = speed.slow_since
        return UpstreamSummary(
            factor=speed.factor,
            samples=speed.samples,
            slowdown=speed.slowdown(now),
            trust=speed.trust,
            running=len(load.run_by_ticket),
            unknown_runs=speed.unknown_runs(now),
            reported=speed.report,
            report_age_s=None if speed.report is None else now - speed.reported_at,
            slow_for_s=None if slow_since is None else now - slow_since,
        )

    def _remove_oldest_report(self) -> None:
        _, slowdown = self._reports.popleft()
        del self._slowdowns_in_order[bisect.bisect_left(self._slowdowns_in_order, slowdown)]

    def _plan(self) -> None:
        in_order = self._slowdowns_in_order
        self.planned_slowdown = (
            in_order[int(PLANNED_QUANTILE * (len(in_order) - 1))] if in_order else 1.0
        )
