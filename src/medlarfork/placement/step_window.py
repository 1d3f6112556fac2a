"""Predict how much prefill falls between two events of the streams on an engine. Pure.

It handles prompts that arrive one after the other at an engine with streams. An event takes as many
steps as it has tokens, and each step may prefill another prompt. None of the prompts finds a
backlog when it arrives, yet together they make the gap as long as all of them. After some steps
without prefill a new event has started, and the count restarts.
"""

from __future__ import annotations

import collections
import math

MIN_STEP_MS = 0.1
"""Shortest step time that is assumed, in milliseconds; shorter estimates are errors."""


class StepWindow:
    """Simulate the steps of an engine, as far back as one event reaches."""

    def __init__(self) -> None:
        """Start with an engine without prefill."""
        self._step_ms = MIN_STEP_MS
        self._chunk_ms = math.inf
        self._prefill_by_step: collections.deque[float] = collections.deque(maxlen=0)
        self._pending_ms = 0.0
        self._ends_at = -math.inf

    def configure(self, event_tokens: int, step_ms: float, chunk_ms: float) -> None:
        """Set the current estimates of the engine.

        Args:
            event_tokens: Tokens in an event of a stream, one per step.
            step_ms: Duration of a step without prefill, in milliseconds.
            chunk_ms: Longest prefill in one step, in milliseconds.
        """
        self._step_ms = max(step_ms, MIN_STEP_MS)
        self._chunk_ms = chunk_ms
        earlier_steps = max(event_tokens - 1, 0)
        if earlier_steps != self._prefill_by_step.maxlen:
            self._prefill_by_step = collections.deque(self._prefill_by_step, maxlen=earlier_steps)

    def add(self, prefill_ms: float, now: float) -> None:
        """Add the prefill of a prompt, which starts when the current step ends."""
        self._advance(now)
        self._pending_ms += prefill_ms
        self._advance(now)

    def concurrent_prefill_ms(self, now: float) -> float:
        """Return the prefill that a stream's event may already include if more starts now."""
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
            starts_at = max(self._ends_at, now) if self._ends_at == -math.inf else self._ends_at
            self._ends_at = starts_at + (prefill_ms + self._step_ms) / 1000.0

    def _idle(self, now: float) -> None:
        """Simulate the steps without prefill until now."""
        if self._ends_at > -math.inf:
            steps = int((now - self._ends_at) * 1000.0 / self._step_ms)
            self._prefill_by_step.extend([0.0] * min(steps, self._prefill_by_step.maxlen or 0))
        self._ends_at = now
