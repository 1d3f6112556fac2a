"""Estimates of engines, compared with engines that are simulated step by step."""

import dataclasses
import random

import pytest

from medlarfork.placement import engine_estimator, placement_messages

EVENTS = 40
STREAMS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Simulate steps that each produce a token of a stream and prefill a chunk of a prompt."""

    tokens_per_ms: float
    chunk_tokens: int
    step_ms: float
    event_tokens: int
    first_ms: float = 2.0

    def first_event_ms(self, tokens):
        return self.first_ms + self.event_tokens * self.step_ms + tokens / self.tokens_per_ms

    def gaps(self, uncached_tokens, starts_at_step):
        """Return the inter-event gaps of a stream that meets this prefill at one of its steps."""
        steps_ms = []
        for number in range(EVENTS * self.event_tokens):
            read = min(self.chunk_tokens, uncached_tokens) if number >= starts_at_step else 0
            uncached_tokens -= read
            steps_ms.append(self.step_ms + read / self.tokens_per_ms)
        ends = range(0, len(steps_ms), self.event_tokens)
        return [sum(steps_ms[at : at + self.event_tokens]) for at in ends]


ENGINES = (
    Engine(41.4, 4096, 4.63, 4),
    Engine(64.2, 2048, 4.23, 5),
    Engine(140.0, 2048, 2.2, 8, first_ms=53.0),
    Engine(12.0, 512, 20.0, 1),
)


@pytest.fixture(params=ENGINES, ids=lambda engine: f"{engine.tokens_per_ms:g}")
def engine(request):
    return request.param


def observe(engine, estimator, *, prompts=60, streams=STREAMS, delayed=0.3, seed=1):
    """Feed an estimator what callers of an engine see; some runs have unexplained delays."""
    draw = random.Random(seed)
    for _ in range(prompts):
        for tokens in (
            draw.randrange(20, engine_estimator.MAX_FIXED_TOKENS),
            draw.randrange(1500, 12_000),
        ):
            late_ms = draw.uniform(20.0, 400.0) if draw.random() < delayed else 0.0
            estimator.observe_first_event(
                tokens, engine.first_event_ms(tokens) + late_ms + draw.uniform(2.0, 4.0)
            )
    for _ in range(streams):
        uncached = draw.choice((0, 3000, 40_000))
        gaps = sorted(engine.gaps(uncached, draw.randrange(EVENTS * engine.event_tokens // 2)))
        seen = placement_messages.InterEventGaps(gaps[len(gaps) // 2], gaps[-1])
        estimator.observe_gaps(seen, uncached / estimator.tokens_per_ms, engine.event_tokens)


def test_engines_are_estimated_from_caller_latencies(engine):
    estimator = engine_estimator.EngineEstimator()
    observe(engine, estimator)
    assert estimator.tokens_per_ms == pytest.approx(engine.tokens_per_ms, rel=0.15)
    assert estimator.step_ms == pytest.approx(engine.step_ms, rel=0.1)
    longest_ms = engine.event_tokens * (engine.step_ms + engine.chunk_tokens / engine.tokens_per_ms)
    assert estimator.max_gap_ms(engine.event_tokens) == pytest.approx(longest_ms, rel=0.2)


def test_an_unknown_engine_is_assumed_to_be_slow(engine):
    estimator = engine_estimator.EngineEstimator()
    assert not estimator.has_measured
    if engine.tokens_per_ms > 40.0:
        longest_ms = engine.chunk_tokens / engine.tokens_per_ms + engine.step_ms
        assert estimator.max_gap_ms(1) > longest_ms


def test_a_longer_gap_than_predicted_raises_the_estimate(engine):
    estimator = engine_estimator.EngineEstimator()
    observe(engine, estimator)
    before_ms = estimator.max_gap_ms(engine.event_tokens)
    for _ in range(60):
        seen = placement_messages.InterEventGaps(
            engine.event_tokens * engine.step_ms, before_ms * 2.0
        )
        estimator.observe_gaps(seen, 0.0, engine.event_tokens)
    assert estimator.max_gap_ms(engine.event_tokens) > before_ms * 1.5


def test_a_new_owner_starts_from_the_previous_estimate(engine):
    before, after = engine_estimator.EngineEstimator(), engine_estimator.EngineEstimator()
    observe(engine, before)
    after.adopt(before.estimate)
    assert after.estimate == before.estimate
    observe(dataclasses.replace(engine, tokens_per_ms=engine.tokens_per_ms * 2.0), after)
    after.adopt(before.estimate)
    assert after.tokens_per_ms == pytest.approx(engine.tokens_per_ms * 2.0, rel=0.15)
