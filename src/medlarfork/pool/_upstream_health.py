"""Outlier detection among one pool's upstreams, from the failures and slowness of its requests."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from medlarfork import ticket
from medlarfork.pool import pool_options

_SMOOTHING = 0.2
"""Weight of the newest observation in an upstream's slowness, for times per token."""
_SHORT_SMOOTHING = 0.05
"""Weight for the total time of a short answer, which varies more between requests."""
_MAX_RATIO = 10.0
"""Upper bound of the slowness of one observation."""
_BASELINE_SMOOTHING = 0.05
"""Weight of the newest observation in a class's baseline time."""
_MIN_OBSERVATIONS = 5
"""Observations below which an upstream's slowness is not used."""
_EJECTION_RESET_OBSERVATIONS = 100
"""Observations after which earlier ejections no longer lengthen the next one."""
_MIN_PEERS = 3
"""Upstreams with enough observations below which there is no median to compare with."""
_PROBES_REQUIRED = 3
"""Consecutive good answers that end probing."""
_MAX_EJECT_S = 120.0
"""Longest ejection, in seconds."""
_MAX_BASELINES = 256
"""Baseline times kept: one for streamed and one for short answers of each class."""
_MIN_TOKENS = 8
"""Tokens from which an answer counts as streamed and is measured by its time per token."""
_SHRINK_SLOWNESS = 1.5
"""Slowness relative to the peers' median at which the concurrency limit shrinks."""
_SHRINK_FACTOR = 0.8
"""Factor by which the concurrency limit shrinks, at most once per as many answers as the limit."""


class UpstreamRecord:
    """Hold the observations of one upstream.

    Attributes:
        slowness: Smoothed time per token or short answer, relative to its class's baseline.
        observations: Answers that slowness was computed from, since it was last reset.
        failures: Consecutive failures.
        ejections: Ejections that lengthen the next one.
        ejected_until: Monotonic time at which the ejection ends; None if not ejected.
        probes_left: Good answers still missing until probing ends.
        limit: Concurrency limit; None if it is not below the upstream's slots.
        answers_until_shrink: Answers to wait for before the limit may shrink again.
    """

    __slots__ = ("answers_until_shrink", "ejected_until", "ejections", "failures", "limit",
                 "observations", "probes_left", "slowness")  # fmt: skip

    def __init__(self) -> None:
        """Create a record without observations."""
        self.slowness = 1.0
        self.observations = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float | None = None
        self.probes_left = 0
        self.limit: float | None = None
        self.answers_until_shrink = 0


class UpstreamHealth:
    """Eject failing and slow upstreams, and readmit them by probing.

    Slowness is the time per token (per answer, if it has few tokens) relative to the baseline of
    the class in this pool, so that classes with answers of different length are comparable.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Start without upstreams."""
        self._options = options
        self._record_by_id: dict[str, UpstreamRecord] = {}
        self._baseline_s_by_kind: dict[tuple[str, bool], float] = {}
        self._median = 0.0

    def add(self, upstream_id: str) -> None:
        """Add an upstream, or reset its record."""
        self._record_by_id[upstream_id] = UpstreamRecord()

    def remove(self, upstream_id: str) -> None:
        """Remove an upstream."""
        self._record_by_id.pop(upstream_id, None)

    def record(self, upstream_id: str) -> UpstreamRecord | None:
        """Return an upstream's record; None if it is unknown."""
        return self._record_by_id.get(upstream_id)

    def relative_slowness(self, upstream_id: str) -> float:
        """Return the slowness relative to the peers' median; 1 if there is no median."""
        record = self._record_by_id.get(upstream_id)
        if record is None or not self._options.eject or self._median <= 0:
            return 1.0
        return record.slowness / self._median

    def cost_factors(self, upstream_id: str) -> tuple[float, bool]:
        """Return the relative slowness, at least 1, and whether the upstream is probing."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return 1.0, False
        probing = record.ejected_until is None and record.probes_left > 0
        if not self._options.eject or self._median <= 0:
            return 1.0, probing
        return max(1.0, record.slowness / self._median), probing

    def is_ejected(self, upstream_id: str) -> bool:
        """Return whether an upstream is ejected."""
        record = self._record_by_id.get(upstream_id)
        return record is not None and record.ejected_until is not None

    def ejected_until(self, upstream_id: str) -> float | None:
        """Return when an upstream's ejection ends; None if there is none."""
        record = self._record_by_id.get(upstream_id)
        return None if record is None else record.ejected_until

    def is_probing(self, upstream_id: str) -> bool:
        """Return whether an upstream is probed with one request at a time after an ejection."""
        record = self._record_by_id.get(upstream_id)
        return record is not None and record.ejected_until is None and record.probes_left > 0

    def concurrency_limit(self, upstream_id: str, slots: int) -> int:
        """Return how many concurrent requests the upstream may be given."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return slots
        if record.probes_left > 0:
            return 1
        return slots if record.limit is None else max(1, min(slots, int(record.limit)))

    def observe_release(
        self, upstream_id: str, class_name: str, release: ticket.Release, slots: int, now: float
    ) -> bool:
        """Update an upstream's record from a release; return whether that ejected the upstream."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return False
        match release.cause:
            case (
                ticket.ReleaseCause.FAILED
                | ticket.ReleaseCause.BROKEN
                | ticket.ReleaseCause.TIMED_OUT
            ):
                return self._record_failure(upstream_id, record, now)
            case ticket.ReleaseCause.REFUSED:
                self._shrink_limit(record, slots)
            case ticket.ReleaseCause.FINISHED | ticket.ReleaseCause.PREEMPTED:
                return self._record_answer(upstream_id, record, class_name, release, slots, now)
        return False

    def end_ejections(self, now: float) -> tuple[str, ...]:
        """End expired ejections and start probing; return the upstreams concerned."""
        returned = []
        for upstream_id, record in self._record_by_id.items():
            if record.ejected_until is not None and now >= record.ejected_until:
                record.ejected_until = None
                record.probes_left = _PROBES_REQUIRED
                record.failures = 0
                returned.append(upstream_id)
        return tuple(returned)

    def update_median(self, upstream_ids: Iterable[str]) -> None:
        """Recompute the median slowness over the upstreams that have enough observations."""
        records = [self._record_by_id[upstream_id] for upstream_id in upstream_ids]
        values = [record.slowness for record in records if record.observations >= _MIN_OBSERVATIONS]
        self._median = statistics.median(values) if len(values) >= _MIN_PEERS else 0.0

    def _record_failure(self, upstream_id: str, record: UpstreamRecord, now: float) -> bool:
        record.failures += 1
        if record.probes_left > 0 or record.failures >= self._options.eject_failures:
            return self._eject(upstream_id, record, now)
        return False

    def _record_answer(
        self,
        upstream_id: str,
        record: UpstreamRecord,
        class_name: str,
        release: ticket.Release,
        slots: int,
        now: float,
    ) -> bool:
        record.failures = 0
        ratio = self._ratio(class_name, release)
        if ratio is None:
            return False
        streamed = release.tokens >= _MIN_TOKENS
        weight = _SMOOTHING if streamed else _SHORT_SMOOTHING
        record.slowness += weight * (ratio - record.slowness)
        record.observations += 1
        if record.observations == _EJECTION_RESET_OBSERVATIONS:
            record.ejections = 0
        relative = self.relative_slowness(upstream_id)
        if record.probes_left > 0:
            return self._record_probe(upstream_id, record, ratio, now)
        if record.observations >= _MIN_OBSERVATIONS and relative > self._options.eject_slowness:
            return self._eject(upstream_id, record, now)
        self._adapt_limit(record, relative, slots)
        return False

    def _record_probe(
        self, upstream_id: str, record: UpstreamRecord, ratio: float, now: float
    ) -> bool:
        if self._median > 0 and ratio / self._median > self._options.eject_slowness:
            return self._eject(upstream_id, record, now)
        record.probes_left -= 1
        if record.probes_left == 0:
            record.slowness = ratio
            record.observations = 0
            record.limit = None
        return False

    def _ratio(self, class_name: str, release: ticket.Release) -> float | None:
        """Return the time per token or per short answer relative to the baseline, and update that.

        None if the release gives no comparable time.
        """
        streamed = release.tokens >= _MIN_TOKENS
        if streamed:
            # The time to the first token is left out: it depends on the prompt, and for a resumed
            # stream on the tokens that are prefilled again.
            decoding_s = release.whole_s - (release.first_token_s or 0.0)
            unit_s = decoding_s / (release.tokens - 1)
        elif release.cause == ticket.ReleaseCause.FINISHED:
            unit_s = release.whole_s
        else:
            return None
        key = (class_name, streamed)
        baseline_s = self._baseline_s_by_kind.get(key, unit_s)
        if len(self._baseline_s_by_kind) < _MAX_BASELINES or key in self._baseline_s_by_kind:
            updated_s = baseline_s + _BASELINE_SMOOTHING * (unit_s - baseline_s)
            self._baseline_s_by_kind[key] = updated_s
        return min(_MAX_RATIO, unit_s / baseline_s) if baseline_s > 0 else 1.0

    def _eject(self, upstream_id: str, record: UpstreamRecord, now: float) -> bool:
        if record.ejected_until is not None:
            return False
        if not self._options.eject or not self._may_eject():
            return False
        record.ejections += 1
        length_s = self._options.eject_s * 2.0 ** min(10, record.ejections - 1)
        record.ejected_until = now + min(_MAX_EJECT_S, length_s)
        record.failures = 0
        return True

    def _may_eject(self) -> bool:
        ejected = sum(self.is_ejected(upstream_id) for upstream_id in self._record_by_id)
        max_ejected = int(len(self._record_by_id) * self._options.eject_max_share)
        return ejected < max_ejected

    def _adapt_limit(self, record: UpstreamRecord, relative: float, slots: int) -> None:
        if not self._options.adapt_concurrency:
            return
        record.answers_until_shrink -= 1
        if record.limit is not None and relative <= _SHRINK_SLOWNESS:
            grown = record.limit + 1 / max(1.0, record.limit)
            record.limit = None if grown >= slots else grown
        elif relative > _SHRINK_SLOWNESS and record.answers_until_shrink <= 0:
            self._shrink_limit(record, slots)

    def _shrink_limit(self, record: UpstreamRecord, slots: int) -> None:
        if not self._options.adapt_concurrency:
            return
        limit = float(slots) if record.limit is None else record.limit
        record.limit = max(1.0, limit * _SHRINK_FACTOR)
        record.answers_until_shrink = int(record.limit)
