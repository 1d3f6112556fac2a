"""Judge one pool's upstreams by what its own requests saw: failures, slowness, recovery."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from medlarfork import ticket
from medlarfork.pool import pool_options

_SMOOTHING = 0.2
"""Weight of the newest observation in an upstream's slowness, by time per token."""
_SHORT_SMOOTHING = 0.05
"""The same for an answer judged as a whole; these differ much among themselves."""
_MAX_RATIO = 10.0
"""Largest slowness that one observation counts as."""
_REFERENCE_SMOOTHING = 0.05
"""Weight of the newest observation in a class's usual time."""
_ENOUGH = 5
"""Observations below which an upstream's slowness is not believed."""
_SOUND = 100
"""Observations after which earlier ejections no longer lengthen the next one."""
_MIN_PEERS = 3
"""Upstreams below which there is no median to compare with."""
_PROBES = 3
"""Good answers in a row that end probing."""
_MAX_EJECT_S = 120.0
"""Longest ejection, in seconds."""
_MAX_KINDS = 256
"""Classes, streamed and short, whose usual time is remembered."""
_MIN_TOKENS = 8
"""Tokens from which an answer is judged by its time per token."""
_SLOWED = 1.5
"""Slowness relative to the peers' median at which the concurrency limit shrinks."""
_SHRINK = 0.8
"""Factor by which it shrinks, at most once for each full set of answers."""


class UpstreamRecord:
    """Hold what is observed of one upstream."""

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
    """Eject upstreams that fail or straggle, and let them back by probing.

    Slowness is the time per token (per answer, where there are no tokens) relative to what the
    class usually takes in this pool, so that classes of different length compare.
    """

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Create an empty set of records."""
        self._options = options
        self._record_by_id: dict[str, UpstreamRecord] = {}
        self._usual_s_by_kind: dict[tuple[str, bool], float] = {}
        self._median = 0.0

    def add(self, upstream_id: str) -> None:
        """Start a fresh record."""
        self._record_by_id[upstream_id] = UpstreamRecord()

    def remove(self, upstream_id: str) -> None:
        """Forget an upstream."""
        self._record_by_id.pop(upstream_id, None)

    def record(self, upstream_id: str) -> UpstreamRecord | None:
        """Return an upstream's record, if it is known."""
        return self._record_by_id.get(upstream_id)

    def relative_slowness(self, upstream_id: str) -> float:
        """Return the slowness relative to the peers' median."""
        record = self._record_by_id.get(upstream_id)
        if record is None or not self._options.eject or self._median <= 0:
            return 1.0
        return record.slowness / self._median

    def burden(self, upstream_id: str) -> tuple[float, bool]:
        """Return the relative slowness, at least 1, and whether the upstream is probed."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return 1.0, False
        probing = record.ejected_until is None and record.probes_left > 0
        if not self._options.eject or self._median <= 0:
            return 1.0, probing
        return max(1.0, record.slowness / self._median), probing

    def ejected(self, upstream_id: str) -> bool:
        """Return whether an upstream gets no grants for now."""
        record = self._record_by_id.get(upstream_id)
        return record is not None and record.ejected_until is not None

    def ejected_until(self, upstream_id: str) -> float | None:
        """Return when an upstream's ejection ends; None if there is none."""
        record = self._record_by_id.get(upstream_id)
        return None if record is None else record.ejected_until

    def probing(self, upstream_id: str) -> bool:
        """Return whether an upstream is being tried with one request at a time."""
        record = self._record_by_id.get(upstream_id)
        return record is not None and record.ejected_until is None and record.probes_left > 0

    def limit(self, upstream_id: str, slots: int) -> int:
        """Return how many requests at once the upstream has shown to run well."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return slots
        if record.probes_left > 0:
            return 1
        return slots if record.limit is None else max(1, min(slots, int(record.limit)))

    def observe(
        self, upstream_id: str, class_name: str, release: ticket.Release, slots: int, now: float
    ) -> bool:
        """Learn from a release; return whether the upstream was ejected by it."""
        record = self._record_by_id.get(upstream_id)
        if record is None:
            return False
        match release.cause:
            case (
                ticket.ReleaseCause.FAILED
                | ticket.ReleaseCause.BROKEN
                | ticket.ReleaseCause.TIMED_OUT
            ):
                return self._failed(upstream_id, record, now)
            case ticket.ReleaseCause.REFUSED:
                self._shrink(record, slots)
            case ticket.ReleaseCause.FINISHED | ticket.ReleaseCause.PREEMPTED:
                return self._answered(upstream_id, record, class_name, release, slots, now)
        return False

    def end_ejections(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose ejection is over and that are probed from now on."""
        back = []
        for upstream_id, record in self._record_by_id.items():
            if record.ejected_until is not None and now >= record.ejected_until:
                record.ejected_until = None
                record.probes_left = _PROBES
                record.failures = 0
                back.append(upstream_id)
        return tuple(back)

    def update_median(self, upstream_ids: Iterable[str]) -> None:
        """Take the median slowness of the upstreams that have enough observations."""
        known = [self._record_by_id[upstream_id] for upstream_id in upstream_ids]
        values = [record.slowness for record in known if record.observations >= _ENOUGH]
        self._median = statistics.median(values) if len(values) >= _MIN_PEERS else 0.0

    def _failed(self, upstream_id: str, record: UpstreamRecord, now: float) -> bool:
        record.failures += 1
        if record.probes_left > 0 or record.failures >= self._options.eject_failures:
            return self._eject(upstream_id, record, now)
        return False

    def _answered(
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
        if record.observations == _SOUND:
            record.ejections = 0
        relative = self.relative_slowness(upstream_id)
        if record.probes_left > 0:
            return self._probed(upstream_id, record, ratio, now)
        if record.observations >= _ENOUGH and relative > self._options.eject_slowness:
            return self._eject(upstream_id, record, now)
        self._adapt(record, relative, slots)
        return False

    def _probed(self, upstream_id: str, record: UpstreamRecord, ratio: float, now: float) -> bool:
        if self._median > 0 and ratio / self._median > self._options.eject_slowness:
            return self._eject(upstream_id, record, now)
        record.probes_left -= 1
        if record.probes_left == 0:
            record.slowness = ratio
            record.observations = 0
            record.limit = None
        return False

    def _ratio(self, class_name: str, release: ticket.Release) -> float | None:
        """Return the time per token, or per short answer, relative to what is usual."""
        streamed = release.tokens >= _MIN_TOKENS
        if streamed:
            # The first token's time depends on the prompt, and on what a resumed stream redoes.
            decoding_s = release.whole_s - (release.first_token_s or 0.0)
            unit_s = decoding_s / (release.tokens - 1)
        elif release.cause == ticket.ReleaseCause.FINISHED:
            unit_s = release.whole_s
        else:
            return None
        key = (class_name, streamed)
        usual_s = self._usual_s_by_kind.get(key, unit_s)
        if len(self._usual_s_by_kind) < _MAX_KINDS or key in self._usual_s_by_kind:
            learnt = usual_s + _REFERENCE_SMOOTHING * (unit_s - usual_s)
            self._usual_s_by_kind[key] = learnt
        return min(_MAX_RATIO, unit_s / usual_s) if usual_s > 0 else 1.0

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
        ejected = sum(self.ejected(upstream_id) for upstream_id in self._record_by_id)
        most = int(len(self._record_by_id) * self._options.eject_max_share)
        return ejected < most

    def _adapt(self, record: UpstreamRecord, relative: float, slots: int) -> None:
        if not self._options.adapt_concurrency:
            return
        record.answers_until_shrink -= 1
        if record.limit is not None and relative <= _SLOWED:
            grown = record.limit + 1 / max(1.0, record.limit)
            record.limit = None if grown >= slots else grown
        elif relative > _SLOWED and record.answers_until_shrink <= 0:
            self._shrink(record, slots)

    def _shrink(self, record: UpstreamRecord, slots: int) -> None:
        if not self._options.adapt_concurrency:
            return
        limit = float(slots) if record.limit is None else record.limit
        record.limit = max(1.0, limit * _SHRINK)
        record.answers_until_shrink = int(record.limit)
