"""Remember which shared prompt segments an engine of a service computed recently. Pure."""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

REUSE_WINDOW_S = 10.0
"""How long a computed segment counts as held by an engine, in seconds: within it, computing the
segment on another engine is waste."""

MAX_SEGMENTS = 50_000
"""Segments whose last computation is remembered, which bounds memory to a few megabytes."""


class RecentPrefixes:
    """Keep the time at which each shared segment was last computed."""

    def __init__(self) -> None:
        """Start without segments."""
        self._computed_at_by_segment: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def record(self, segments: tuple[placement_messages.PromptSegment, ...], now: float) -> None:
        """Record the prefill of a prompt; its last segment is not shared and is left out."""
        for segment in segments[:-1]:
            self._computed_at_by_segment[segment.part_id] = now
            self._computed_at_by_segment.move_to_end(segment.part_id)
        while len(self._computed_at_by_segment) > MAX_SEGMENTS:
            self._computed_at_by_segment.popitem(last=False)

    def recently_computed(
        self, segments: tuple[placement_messages.PromptSegment, ...], now: float
    ) -> frozenset[str]:
        """Return the shared segments of a prompt that were computed within ``REUSE_WINDOW_S``."""
        oldest = now - REUSE_WINDOW_S
        return frozenset(
            segment.part_id
            for segment in segments[:-1]
            if self._computed_at_by_segment.get(segment.part_id, oldest) > oldest
        )
