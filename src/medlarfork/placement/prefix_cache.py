"""Estimate which parts of prompts an engine still holds, from what was sent to it.

Engines let the least recently used parts yield and reuse a part only if all before it are held
too. What they report of this is late and has gaps, so the owner's own sends are the better source.
"""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

USABLE_SHARE = 0.7
"""Share of an engine's memory that is counted on for parts; running requests take the rest."""


class PrefixCache:
    """Hold the parts sent to one engine, the least recently used first."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with an empty engine."""
        self._limit_tokens = memory_tokens * USABLE_SHARE
        self._tokens_by_segment: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def set_memory(self, memory_tokens: int) -> None:
        """Take another size of the engine's memory."""
        self._limit_tokens = memory_tokens * USABLE_SHARE

    def cached_segments(
        self, segments: tuple[placement_messages.PromptSegment, ...]
    ) -> tuple[placement_messages.PromptSegment, ...]:
        """Return the parts of a prompt that the engine holds, from its beginning."""
        for place, segment in enumerate(segments):
            if segment.part_id not in self._tokens_by_segment:
                return segments[:place]
        return segments

    def cached_tokens(self, segments: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return how many tokens of a prompt the engine holds, from its beginning."""
        cached = 0
        for segment in segments:
            if segment.part_id not in self._tokens_by_segment:
                break
            cached += segment.tokens
        return cached

    def uncached_segments(
        self, segments: tuple[placement_messages.PromptSegment, ...]
    ) -> frozenset[str]:
        """Return the parts of a prompt that the engine has to read."""
        cached = len(self.cached_segments(segments))
        return frozenset(segment.part_id for segment in segments[cached:])

    def uncached_tokens(self, segments: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return how many tokens of a prompt the engine has to read."""
        return sum(segment.tokens for segment in segments) - self.cached_tokens(segments)

    def recomputed_tokens(
        self,
        segments: tuple[placement_messages.PromptSegment, ...],
        cached_elsewhere: frozenset[str],
    ) -> int:
        """Return how many tokens the engine has to read that another engine holds."""
        missing = 0
        is_cached = True
        for segment in segments:
            is_cached = is_cached and segment.part_id in self._tokens_by_segment
            if not is_cached and segment.part_id in cached_elsewhere:
                missing += segment.tokens
        return missing

    def add(self, segments: tuple[placement_messages.PromptSegment, ...]) -> None:
        """Note that a prompt was sent; later parts yield before the ones they build on."""
        for segment in reversed(segments):
            self._tokens -= self._tokens_by_segment.pop(segment.part_id, 0)
            self._tokens_by_segment[segment.part_id] = segment.tokens
            self._tokens += segment.tokens
        while self._tokens > self._limit_tokens and self._tokens_by_segment:
            _, tokens = self._tokens_by_segment.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
        self._tokens_by_segment.clear()
        self._tokens = 0
