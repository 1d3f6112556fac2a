"""Estimate how much longer work takes on one upstream than is usual in its service. Pure.

It handles engines of one service that differ permanently in speed, and engines that other workloads
on their machines slow down for fractions of a second. Reports may contain both. What an upstream
usually reports, compared with the others, is the first guess of its permanent factor, which is then
learnt from the latencies of its own runs. What it reports beyond that is its momentary slowdown; it
counts only as far as those latencies don't contradict it.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Sequence

from medlarfork.placement import reported_load

FACTOR_BOUNDS = (0.25, 4.0)
"""Factors outside are measuring errors: machines of one service differ by less."""

PRIOR_SAMPLES = 3.0
"""Weight of the factor that an incarnation starts with, in samples."""

MIN_REPORTS = 4
"""Reports from which it is known what an upstream usually reports: three in a row may come from one
slow moment."""

MAX_SAMPLES = 24
"""Samples of each kind that are kept: some seconds of an engine, so that a change shows."""

TYPICAL_QUANTILE = 0.3
"""Quantile of the samples, near those that the service's estimate uses: runs that something unknown
delayed have higher ones."""

SLOWDOWN_DECAY_S = 0.6
"""Age at which a reported slowdown has no effect any more, in seconds: slow moments last about as
long."""

SLOWDOWN_BOUNDS = (1.0, 4.0)
"""Momentary slowdowns are limited to this range: slow moments take 2.5 times the usual time."""

DISTURBED_SLOWDOWN = 1.2
"""Reported slowdown from which latencies are compared with it."""

CONFIRMING_SHARE = 0.5
"""Share of a reported slowdown that latencies have to show to confirm it: the slow moment may cover
only a part of the run."""

TRUST_WEIGHT = 0.15
"""Weight of the latest comparison in the trust: about the last six count."""

UNKNOWN_RUN_DECAY_S = 2.0
"""Age at which unknown runs of a report no longer count, in seconds: streams of urgent callers last
one to two seconds."""

SLOW_FACTOR = 1.3
"""Factor from which operators see an upstream as slow: beyond the errors of the estimate."""


class SampleKind(enum.Enum):
    """What a sample measures; samples are only compared with those of the same kind."""

    LONG_PREFILL = "long_prefill"
    SHORT_PREFILL = "short_prefill"
    GAP = "gap"


class UpstreamSpeed:
    """Learn the relative time of one incarnation; callers pass the time, in seconds.

    Attributes:
        factor: How much longer work takes there than at the shard's median upstream, apart from
            momentary slowdowns.
        learnt: The same relative to the service's estimate.
        is_measured: Whether it is learnt from samples of this owner.
        trust: How far latencies confirm the reported slowdowns; 0 to 1.
        report: What it reported last; None if it has reported nothing.
        reported_at: When that report arrived.
        stated_slowdown: The momentary slowdown that this report states, whether it is trusted or
            not; None if it states none.
        usual_report: The slowdown that it usually reports; None until there are enough reports.
        sampled_at: When a report of it last counted in the shard's planned slowdown.
        slow_since: When its factor reached ``SLOW_FACTOR``; None if it is below.
    """

    def __init__(self) -> None:
        """Start as a usual upstream."""
        self.factor = 1.0
        self.learnt = 1.0
        self.is_measured = False
        self.trust = 1.0
        self.report: reported_load.ReportedLoad | None = None
        self.reported_at = -math.inf
        self.stated_slowdown: float | None = None
        self.usual_report: float | None = None
        self.sampled_at = -math.inf
        self.slow_since: float | None = None
        self._prior = 1.0
        self._adopted = 0
        self._slowdown = 1.0
        self._unknown_runs = 0
        self._reports: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self._learnt_by_kind: dict[SampleKind, tuple[int, float]] = {}
        self._samples_by_kind: dict[SampleKind, collections.deque[float]] = {
            kind: collections.deque(maxlen=MAX_SAMPLES) for kind in SampleKind
        }

    @property
    def samples(self) -> int:
        """Return the number of samples that the factor is learnt from."""
        return sum(len(samples) for samples in self._samples_by_kind.values())

    def adopt(self, factor: float, now: float) -> None:
        """Start from an earlier owner's factor, as the mean of what entry hosts were told."""
        if self.is_measured or not math.isfinite(factor):
            return
        self._adopted += 1
        self._prior += (_within(factor, FACTOR_BOUNDS) - self._prior) / self._adopted
        self.learnt = self._prior
        self.set_reference(1.0, now)

    def record_report(
        self, report: reported_load.ReportedLoad, own_runs: int, slots: int, now: float
    ) -> float:
        """Record a report; return the slowdown that it shows.

        Args:
            report: What the upstream reported.
            own_runs: Runs there that the owner knows of.
            slots: Its announced slots.
            now: The time in seconds.
        """
        self.report, self.reported_at = report, now
        self.stated_slowdown = self._compare_with_usual(report.slowdown)
        stated = 1.0 if self.stated_slowdown is None else self.stated_slowdown
        self._slowdown = 1.0 + self.trust * (stated - 1.0)
        # Without the bound, a false report would occupy all slots until it is old.
        self._unknown_runs = min(max(0, report.running + report.waiting - own_runs), slots)
        return self._slowdown

    def _compare_with_usual(self, reported: float | None) -> float | None:
        """Return a reported slowdown relative to what the upstream usually reports."""
        if reported is None:
            return None
        self._reports.append(reported)
        if len(self._reports) >= MIN_REPORTS:
            self.usual_report = quantile(self._reports, TYPICAL_QUANTILE)
        return _within(reported / (self.usual_report or 1.0), SLOWDOWN_BOUNDS)

    def set_usual_reference(self, median: float, now: float) -> None:
        """Start from what it usually reports, given the shard's median; learnt factors go before.

        A stale report does not make a slow upstream look usual then, and a new incarnation is known
        as slow before any of its streams has ended.
        """
        if self._adopted or self.usual_report is None:
            return
        prior = _within(self.usual_report / median, FACTOR_BOUNDS)
        if prior == self._prior:
            return
        self._prior = prior
        self._learn()
        if not self.is_measured:
            self.set_reference(1.0, now)

    def slowdown(self, now: float) -> float:
        """Return the momentary slowdown, which decays to 1 with the age of its report."""
        return 1.0 + (self._slowdown - 1.0) * _fresh_share(now - self.reported_at, SLOWDOWN_DECAY_S)

    def unknown_runs(self, now: float) -> float:
        """Return the runs that the owner does not know of, discounted with the report's age."""
        return self._unknown_runs * _fresh_share(now - self.reported_at, UNKNOWN_RUN_DECAY_S)

    def observe(self, kind: SampleKind, value: float, usual: float, slowdown: float) -> None:
        """Record a sample and learn from all kinds, weighted by their numbers.

        Args:
            kind: What it measures.
            value: The sample.
            usual: The service's usual value.
            slowdown: The momentary slowdown that the sample is divided by.
        """
        sample = value / slowdown
        if slowdown >= DISTURBED_SLOWDOWN:
            # A false slowdown must not make an upstream look faster than usual.
            sample = max(sample, min(value, usual))
        samples = self._samples_by_kind[kind]
        samples.append(sample)
        self.is_measured = True
        typical = quantile(samples, TYPICAL_QUANTILE)
        is_valid = typical > 0 and usual > 0
        self._learnt_by_kind[kind] = (
            (len(samples), math.log(typical / usual)) if is_valid else (0, 0.0)
        )
        self._learn()

    def _learn(self) -> None:
        weight, total = PRIOR_SAMPLES, PRIOR_SAMPLES * math.log(self._prior)
        for count, log_ratio in self._learnt_by_kind.values():
            weight += count
            total += count * log_ratio
        self.learnt = math.exp(total / weight)

    def check_report(self, slowdown: float | None, relative_time: float) -> None:
        """Compare the slowdown that a run was reported with to the time that it took.

        Args:
            slowdown: The momentary slowdown that was reported with the run; None if none was.
            relative_time: Time of the run relative to the service's usual time.
        """
        stated = 1.0 if slowdown is None else slowdown
        if stated < DISTURBED_SLOWDOWN:
            return
        # A factor below 1 may itself be due to division by a false slowdown.
        shown = relative_time / max(self.factor, 1.0) - 1.0
        confirmed = _within(shown / (CONFIRMING_SHARE * (stated - 1.0)), (0.0, 1.0))
        self.trust += TRUST_WEIGHT * (confirmed - self.trust)

    def set_reference(self, median: float, now: float) -> None:
        """Update the factor, given what was learnt of the shard's median upstream."""
        self.factor = _within(self.learnt / median, FACTOR_BOUNDS)
        if self.factor < SLOW_FACTOR:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now


def quantile(samples: Sequence[float], share: float) -> float:
    """Return the value that so large a share of the samples does not exceed; 0 without samples."""
    return sorted(samples)[int(share * (len(samples) - 1))] if samples else 0.0


def _fresh_share(age_s: float, decay_s: float) -> float:
    return max(0.0, 1.0 - max(0.0, age_s) / decay_s)


def _within(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])
