"""Estimate prefill rate, step time and chunk size of engines from the latencies callers observe.

Operators don't declare these, and engines differ by factors. An engine works in steps: each
produces one token of every stream and prefills a chunk of a prompt, if there is one. An event holds
several tokens. So three figures suffice for placement:

- the prefill rate, from the time to first event of runs that nothing else delayed;
- the step time, from the median inter-event gaps of streams;
- the chunk size, from the longest gaps of streams beside more prefill than fits into one gap.

Each is a quantile of the latest observations: a mean would follow runs that were delayed by
something unknown, or that hit segments assumed to be evicted.
"""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

DEFAULT_TOKENS_PER_MS = 40.0
"""Initial prefill rate: that of slow engines. With a rate that is too high, long prompts are
admitted beside streams that they then make late."""

DEFAULT_CHUNK_TOKENS = 4096
"""Initial chunk size: a large one, so that harm is not underestimated."""

DEFAULT_STEP_MS = 4.0
"""Initial step time without prefill, in milliseconds."""

MIN_RATE_TOKENS = 1500
"""Prompts with fewer uncached tokens don't measure the prefill rate: the step outweighs the
prefill."""

DEFAULT_FIXED_MS = 12.0
"""Initial time to first event without prefill, in milliseconds: links, one step and the engine's
overhead."""

MAX_FIXED_TOKENS = 300
"""Prompts with at most this many uncached tokens measure the time to first event without
prefill."""

_RATE_QUANTILE = 0.3
"""Quantile of the observed times per token, where 0 is the fastest."""

_FIXED_QUANTILE = 0.3
"""Quantile of the observed times to first event without prefill."""

_TYPICAL_GAP_QUANTILE = 0.25
"""Quantile of the observed median gaps: streams during prefill have longer ones."""

_LONGEST_GAP_QUANTILE = 0.8
"""Quantile of the observed longest gaps beside more prefill than fits into a gap: most streams
met only a part of that prefill and have shorter ones."""

_SATURATED_SHARE = 0.7
"""A longest gap below this share of the concurrent prefill shows that one gap does not hold all
of it; predicted prefill is off by a fifth."""

_MIN_SAMPLES = 5
"""Observations needed before a quantile is used."""

_MAX_SAMPLES = 48
"""Observations that are kept: some seconds of a few engines, so that a change shows."""

_RATE_BOUNDS = (4.0, 1000.0)
"""Rates outside are measuring errors, in tokens per millisecond."""

_CHUNK_BOUNDS = (256.0, 65536.0)
"""Chunk sizes outside are measuring errors, in tokens."""


class _Samples:
    """Keep the latest observations of one figure, and compute a quantile."""

    def __init__(self, quantile: float) -> None:
        """Start without observations."""
        self._quantile = quantile
        self._latest: collections.deque[float] = collections.deque(maxlen=_MAX_SAMPLES)

    def add(self, value: float) -> float | None:
        """Add an observation; return the quantile once there are enough."""
        self._latest.append(value)
        if len(self._latest) < _MIN_SAMPLES:
            return None
        in_order = sorted(self._latest)
        return in_order[int(self._quantile * (len(in_order) - 1))]


class EngineEstimator:
    """Estimates for one service's engines.

    Attributes:
        tokens_per_ms: Prompt tokens prefilled per millisecond.
        chunk_tokens: Prompt tokens that one step prefills.
        step_ms: Duration of a step without prefill, in milliseconds.
        fixed_ms: Time to first event without prefill, in milliseconds.
        has_measured: Whether the rate comes from this owner's own observations.
        has_measured_gaps: Whether the step time does.
    """

    def __init__(self) -> None:
        """Start from the defaults."""
        self.tokens_per_ms = DEFAULT_TOKENS_PER_MS
        self.chunk_tokens = float(DEFAULT_CHUNK_TOKENS)
        self.step_ms = DEFAULT_STEP_MS
        self.fixed_ms = DEFAULT_FIXED_MS
        self.has_measured = False
        self.has_measured_gaps = False
        self._ms_per_token = _Samples(_RATE_QUANTILE)
        self._fixed = _Samples(_FIXED_QUANTILE)
        self._typical_gap = _Samples(_TYPICAL_GAP_QUANTILE)
        self._longest_gap = _Samples(_LONGEST_GAP_QUANTILE)

    @property
    def estimate(self) -> placement_messages.EngineEstimate:
        """Return the current estimate, which entry hosts keep for the next owner."""
        return placement_messages.EngineEstimate(
            self.tokens_per_ms, self.chunk_tokens, self.step_ms, self.fixed_ms
        )

    def adopt(self, estimate: placement_messages.EngineEstimate) -> None:
        """Start from an earlier owner's estimate, unless this owner has measured the rate."""
        if self.has_measured:
            return
        self.tokens_per_ms = _within(estimate.tokens_per_ms, _RATE_BOUNDS)
        self.chunk_tokens = _within(estimate.chunk_tokens, _CHUNK_BOUNDS)
        self.step_ms = estimate.step_ms
        self.fixed_ms = estimate.fixed_ms

    @property
    def chunk_ms(self) -> float:
        """Return the longest prefill in one step, in milliseconds."""
        return self.chunk_tokens / self.tokens_per_ms

    def max_gap_ms(self, event_tokens: int) -> float:
        """Return the longest gap of a stream during prefill, in milliseconds.

        That is the gap before an event of which every token is produced in a step that prefills a
        chunk.
        """
        return event_tokens * (self.chunk_ms + self.step_ms)

    def observe_first_event(self, tokens: int, after_ms: float, relative_time: float = 1.0) -> None:
        """Record the time to first event of a run whose prefill started immediately.

        Args:
            tokens: Tokens that were prefilled.
            after_ms: The time to first event, in milliseconds.
            relative_time: How much longer work took there than is usual in the service.
        """
        if tokens <= MAX_FIXED_TOKENS:
            prefill_ms = tokens / self.tokens_per_ms * relative_time
            fixed_ms = self._fixed.add(max(0.0, after_ms - prefill_ms))
            self.fixed_ms = self.fixed_ms if fixed_ms is None else fixed_ms
            return
        if tokens < MIN_RATE_TOKENS or after_ms <= self.fixed_ms:
            return
        ms_per_token = self._ms_per_token.add((after_ms - self.fixed_ms) / tokens / relative_time)
        if ms_per_token is not None:
            self.tokens_per_ms = _within(1.0 / ms_per_token, _RATE_BOUNDS)
            self.has_measured = True

    def observe_gaps(
        self,
        gaps: placement_messages.InterEventGaps,
        concurrent_prefill_ms: float,
        event_tokens: int,
        relative_time: float = 1.0,
        longest_relative_time: float = 1.0,
    ) -> None:
        """Record the inter-event gaps of a complete stream.

        Args:
            gaps: The gaps that the entry host observed.
            concurrent_prefill_ms: Largest predicted prefill backlog beside the stream, in
                milliseconds.
            event_tokens: Tokens in an event.
            relative_time: How much longer work took there than is usual in the service.
            longest_relative_time: The same during the slowest moment of the stream.
        """
        usual_ms = self._typical_gap.add(gaps.usual_ms / relative_time)
        longest_gap_ms = gaps.longest_ms / longest_relative_time
        if usual_ms is not None:
            self.has_measured_gaps = True
            self.step_ms = usual_ms / event_tokens
        is_saturated = gaps.longest_ms < _SATURATED_SHARE * concurrent_prefill_ms
        if not is_saturated and longest_gap_ms <= self.max_gap_ms(event_tokens):
            return
        longest_ms = self._longest_gap.add(longest_gap_ms)
        if longest_ms is not None:
            prefill_ms = max(0.0, longest_ms / event_tokens - self.step_ms)
            self.chunk_tokens = _within(prefill_ms * self.tokens_per_ms, _CHUNK_BOUNDS)


def _within(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])
