"""Foresee how much reading falls between two events of the streams beside it: pure.

The load that this answers: prompts that come one after the other to an engine with streams. An
event takes as many steps as it holds tokens, and each step may read one more prompt. None of them
finds any reading ahead when it comes, and together they make the pause as long as all of them.
Where an engine has had some steps without reading, a new event has begun and the count starts anew.
"""

from __future__ import annotations

import collections
import math

MIN_STEP_MS = 0.1
"""Shortest time of a step that is reckoned with, in milliseconds; shorter ones are errors."""


class StepWindow:
    """Follow the steps that an engine is believed to take, as far back as one event reaches."""

    def __init__(self) -> None:
        """Start with an engine that reads nothing."""
        self._step_ms = MIN_STEP_MS
        self._chunk_ms = math.inf
        self._prefill_by_step: collections.deque[float] = collections.deque(maxlen=0)
        self._pending_ms = 0.0
        self._ends_at = -math.inf

    def configure(self, event_tokens: int, step_ms: float, chunk_ms: float) -> None:
        """Take what is believed of the engine.

        Args:
            event_tokens: Tokens in an event of a stream, each of a step.
            step_ms: Time of a step besides reading.
            chunk_ms: Longest reading of one step.
        """
        self._step_ms = max(step_ms, MIN_STEP_MS)
        self._chunk_ms = chunk_ms
        before = max(event_tokens - 1, 0)
        if before != self._prefill_by_step.maxlen:
            self._prefill_by_step = collections.deque(self._prefill_by_step, maxlen=before)

    def add(self, prefill_ms: float, now: float) -> None:
        """Have the engine read a prompt from now on, as soon as its step has ended."""
        self._advance(now)
        self._pending_ms += prefill_ms
        self._advance(now)

    def concurrent_prefill_ms(self, now: float) -> float:
        """Return the reading that a stream's event may hold already if more is read from now on."""
        self._advance(now)
        return sum(self._prefill_by_step) + self._pending_ms

    def _advance(self, now: float) -> None:
        while self._ends_at <= now:
            if self._pending_ms <= 0.0:
                self._idle(now)
                return
            prefill_ms = min(self._pending_ms, self._chunk_ms)
            self._pending_ms -= prefill_ms
            self._prefill_by_step.append(prefill_ms)
            begins_at = max(self._ends_at, now) if self._ends_at == -math.inf else self._ends_at
            self._ends_at = begins_at + (prefill_ms + self._step_ms) / 1000.0

    def _idle(self, now: float) -> None:
        """Take the steps without reading until now."""
        if self._ends_at > -math.inf:
            steps = int((now - self._ends_at) * 1000.0 / self._step_ms)
            self._prefill_by_step.extend([0.0] * min(steps, self._prefill_by_step.maxlen or 0))
        self._ends_at = now
