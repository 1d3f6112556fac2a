"""Learn how the engines of a service read prompts and produce events, from what callers get.

Operators don't declare it, and engines differ by factors. An engine works in steps. A step produces
one token of each stream, and reads a chunk of a prompt if one is there; an event holds some tokens.
So three figures foresee all that placement asks:

- the rate of reading, from the time to first events of runs that nothing else delayed;
- the time of a step, from the usual pauses of streams;
- the chunk, from the longest pauses of streams beside more reading than one pause can hold.

Each is a quantile of the latest observations: a mean follows the runs that something unknown
delayed, or that found parts which were thought to be gone.
"""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

DEFAULT_TOKENS_PER_MS = 40.0
"""Rate assumed until it was learnt: one of slow engines. With a rate that is too high, long prompts
are let in beside streams that they then make late."""

DEFAULT_CHUNK_TOKENS = 4096
"""Chunk assumed until it was learnt: a large one, so that harm is not foreseen too low."""

DEFAULT_STEP_MS = 4.0
"""Time of a step besides reading assumed until it was learnt, in milliseconds."""

MIN_RATE_TOKENS = 1500
"""Prompts with fewer tokens to read tell too little of the rate: the step outweighs the reading."""

DEFAULT_FIXED_MS = 12.0
"""Time to a first event besides reading assumed until it was learnt, in milliseconds: links, one
step and the engine's own work."""

MAX_FIXED_TOKENS = 300
"""Prompts with at most so many tokens to read tell what a first event takes besides reading."""

_RATE_QUANTILE = 0.3
"""Place of the time a token among the observations, the fastest first."""

_FIXED_QUANTILE = 0.3
"""The same for the time to a first event besides reading."""

_TYPICAL_GAP_QUANTILE = 0.25
"""The same for usual pauses: streams beside reading have longer ones."""

_LONGEST_GAP_QUANTILE = 0.8
"""The same for the longest pauses beside more reading than a pause holds: some streams met only a
part of that reading, so most of them have shorter ones."""

_SATURATED_SHARE = 0.7
"""A pause below this share of the reading beside it shows that a pause does not hold all of it;
reading is foreseen with an error of a fifth."""

_MIN_SAMPLES = 5
"""Observations from which a quantile is taken."""

_MAX_SAMPLES = 48
"""Observations that are remembered: some seconds of a few engines, so that a change is seen."""

_RATE_BOUNDS = (4.0, 1000.0)
"""Rates outside are measuring errors, in tokens a millisecond."""

_CHUNK_BOUNDS = (256.0, 65536.0)
"""Chunks outside are measuring errors, in tokens."""


class _Samples:
    """Keep the latest observations of one figure, and a quantile of them."""

    def __init__(self, quantile: float) -> None:
        """Start with none."""
        self._quantile = quantile
        self._latest: collections.deque[float] = collections.deque(maxlen=_MAX_SAMPLES)

    def add(self, value: float) -> float | None:
        """Take an observation; return the quantile once there are enough."""
        self._latest.append(value)
        if len(self._latest) < _MIN_SAMPLES:
            return None
        in_order = sorted(self._latest)
        return in_order[int(self._quantile * (len(in_order) - 1))]


class EngineEstimator:
    """Hold what is believed of one service's engines.

    Attributes:
        tokens_per_ms: Prompt tokens read in a millisecond.
        chunk_tokens: Prompt tokens that one step reads.
        step_ms: Time of a step besides reading.
        fixed_ms: Time to a first event besides reading.
        has_measured: Whether the rate rests on observations of this owner.
    """

    def __init__(self) -> None:
        """Start from the defaults."""
        self.tokens_per_ms = DEFAULT_TOKENS_PER_MS
        self.chunk_tokens = float(DEFAULT_CHUNK_TOKENS)
        self.step_ms = DEFAULT_STEP_MS
        self.fixed_ms = DEFAULT_FIXED_MS
        self.has_measured = False
        self._ms_per_token = _Samples(_RATE_QUANTILE)
        self._fixed = _Samples(_FIXED_QUANTILE)
        self._usual = _Samples(_TYPICAL_GAP_QUANTILE)
        self._longest = _Samples(_LONGEST_GAP_QUANTILE)

    @property
    def estimate(self) -> placement_messages.EngineEstimate:
        """Return what is believed, to be kept by those who ask until there is another owner."""
        return placement_messages.EngineEstimate(
            self.tokens_per_ms, self.chunk_tokens, self.step_ms, self.fixed_ms
        )

    def adopt(self, estimate: placement_messages.EngineEstimate) -> None:
        """Start from what an earlier owner believed, unless this one has measured itself."""
        if self.has_measured:
            return
        self.tokens_per_ms = _within(estimate.tokens_per_ms, _RATE_BOUNDS)
        self.chunk_tokens = _within(estimate.chunk_tokens, _CHUNK_BOUNDS)
        self.step_ms = estimate.step_ms
        self.fixed_ms = estimate.fixed_ms

    @property
    def chunk_ms(self) -> float:
        """Return how long a step reads at most."""
        return self.chunk_tokens / self.tokens_per_ms

    def max_gap_ms(self, event_tokens: int) -> float:
        """Return the longest pause in a stream while prompts are read beside it.

        It is that of an event whose every token is produced in a step that reads a chunk.
        """
        return event_tokens * (self.chunk_ms + self.step_ms)

    def observe_first_event(self, tokens: int, after_ms: float) -> None:
        """Take the time to the first event of a run whose reading began at once."""
        if tokens <= MAX_FIXED_TOKENS:
            fixed_ms = self._fixed.add(max(0.0, after_ms - tokens / self.tokens_per_ms))
            self.fixed_ms = self.fixed_ms if fixed_ms is None else fixed_ms
            return
        if tokens < MIN_RATE_TOKENS or after_ms <= self.fixed_ms:
            return
        ms_per_token = self._ms_per_token.add((after_ms - self.fixed_ms) / tokens)
        if ms_per_token is not None:
            self.tokens_per_ms = _within(1.0 / ms_per_token, _RATE_BOUNDS)
            self.has_measured = True

    def observe_gaps(
        self,
        pauses: placement_messages.InterEventGaps,
        concurrent_prefill_ms: float,
        event_tokens: int,
    ) -> None:
        """Take the pauses of a whole stream.

        Args:
            pauses: What the entry host saw.
            concurrent_prefill_ms: The most reading that was foreseen beside it at one time.
            event_tokens: Tokens in an event.
        """
        usual_ms = self._usual.add(pauses.usual_ms)
        if usual_ms is not None:
            self.step_ms = usual_ms / event_tokens
        is_saturated = pauses.longest_ms < _SATURATED_SHARE * concurrent_prefill_ms
        if not is_saturated and pauses.longest_ms <= self.max_gap_ms(event_tokens):
            return
        longest_ms = self._longest.add(pauses.longest_ms)
        if longest_ms is not None:
            reading_ms = max(0.0, longest_ms / event_tokens - self.step_ms)
            self.chunk_tokens = _within(reading_ms * self.tokens_per_ms, _CHUNK_BOUNDS)


def _within(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])
