"""Remember which shared parts of prompts some engine of a service has read lately: pure."""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

REUSE_WINDOW_S = 10.0
"""How long a part that was read counts as held by an engine, in seconds: within it, reading the
part elsewhere is waste."""

MAX_SEGMENTS = 50_000
"""Parts of prompts whose last reading is remembered, which bounds memory to a few megabytes."""


class RecentPrefixes:
    """Hold when each shared part was read last."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self._computed_at_by_segment: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, segments: tuple[placement_messages.PromptSegment, ...], now: float) -> None:
        """Note that a prompt is read; its last part is its own and is not remembered."""
        for segment in segments[:-1]:
            self._computed_at_by_segment[segment.part_id] = now
            self._computed_at_by_segment.move_to_end(segment.part_id)
        while len(self._computed_at_by_segment) > MAX_SEGMENTS:
            self._computed_at_by_segment.popitem(last=False)

    def recently_computed(
        self, segments: tuple[placement_messages.PromptSegment, ...], now: float
    ) -> frozenset[str]:
        """Return the shared parts of a prompt that were read within ``REUSE_WINDOW_S``."""
        oldest = now - REUSE_WINDOW_S
        return frozenset(
            segment.part_id
            for segment in segments[:-1]
            if self._computed_at_by_segment.get(segment.part_id, oldest) > oldest
        )
