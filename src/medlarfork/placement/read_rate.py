"""Learn how fast the engines of a service read prompts, from the time to their first events.

Operators don't declare it. A first event comes after the prompt was read and one step; of the runs
that nothing else delayed, the fastest tell the rate.
"""

from __future__ import annotations

DEFAULT_TOKENS_PER_MS = 80.0
"""Rate assumed until it was measured: between those of the engines that were measured (64, 140)."""

LEAST_TOKENS = 1500
"""Prompts with fewer tokens to read tell too little: the step outweighs the reading."""

FIXED_MS = 12.0
"""Time to a first event besides reading: links, one step and the engine's own work, measured."""

_LEARN_SHARE = 0.1
"""Weight of a new measurement. With more weight on faster ones, long prompts were let in beside
streams that they then made late: runs that others delay tell how long those delays are."""

STEP_MS = 4.0
"""Time of a step besides reading, in milliseconds: engines that were measured take 2.2 and 4.2."""

_BOUNDS = (10.0, 1000.0)
"""Rates outside are measuring errors, in tokens a millisecond."""


CHUNK_TOKENS = 2048
"""Prompt tokens that an engine reads in one step, which decides how long the step takes; engines
don't tell, and this is what those that were measured read."""


class ReadRate:
    """Hold one service's rate."""

    def __init__(self) -> None:
        """Start from the default."""
        self.tokens_per_ms = DEFAULT_TOKENS_PER_MS

    def pause_ms(self, event_tokens: int) -> float:
        """Return the longest pause in a stream while prompts are read beside it.

        It is that of an event whose every token is produced in a step that reads a chunk.
        """
        return event_tokens * (CHUNK_TOKENS / self.tokens_per_ms + STEP_MS)

    def learn(self, tokens: int, after_ms: float) -> None:
        """Take a run whose reading began at once."""
        if tokens < LEAST_TOKENS or after_ms <= FIXED_MS:
            return
        seen = min(max(tokens / (after_ms - FIXED_MS), _BOUNDS[0]), _BOUNDS[1])
        self.tokens_per_ms += _LEARN_SHARE * (seen - self.tokens_per_ms)
