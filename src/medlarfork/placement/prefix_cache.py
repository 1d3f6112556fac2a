"""Estimate the prompt prefixes that an engine holds in its cache, from the requests sent to it.

Engines evict the least recently used segments, and reuse a segment only if all before it are held
too. Their own cache reports are late and incomplete, so the owner's placements are the better
source.
"""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

USABLE_SHARE = 0.7
"""Share of an engine's memory that is assumed to hold cached segments; running requests take the
rest."""


class PrefixCache:
    """LRU model of the prompt segments that one engine holds."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with an empty cache."""
        self._limit_tokens = memory_tokens * USABLE_SHARE
        self._tokens_by_segment: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def set_memory(self, memory_tokens: int) -> None:
        """Change the size of the engine's memory."""
        self._limit_tokens = memory_tokens * USABLE_SHARE

    def cached_segments(
        self, segments: tuple[placement_messages.PromptSegment, ...]
    ) -> tuple[placement_messages.PromptSegment, ...]:
        """Return the leading segments of a prompt that the engine holds."""
        for place, segment in enumerate(segments):
            if segment.part_id not in self._tokens_by_segment:
                return segments[:place]
        return segments

    def cached_tokens(self, segments: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return the length of the prefix of a prompt that the engine holds, in tokens."""
        cached = 0
        for segment in segments:
            if segment.part_id not in self._tokens_by_segment:
                break
            cached += segment.tokens
        return cached

    def uncached_segments(
        self, segments: tuple[placement_messages.PromptSegment, ...]
    ) -> frozenset[str]:
        """Return the ids of the segments of a prompt that the engine has to prefill."""
        cached = len(self.cached_segments(segments))
        return frozenset(segment.part_id for segment in segments[cached:])

    def uncached_tokens(self, segments: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return how many tokens of a prompt the engine has to prefill."""
        return sum(segment.tokens for segment in segments) - self.cached_tokens(segments)

    def recomputed_tokens(
        self,
        segments: tuple[placement_messages.PromptSegment, ...],
        cached_elsewhere: frozenset[str],
    ) -> int:
        """Return how many tokens the engine would prefill although another engine holds them."""
        missing = 0
        is_cached = True
        for segment in segments:
            is_cached = is_cached and segment.part_id in self._tokens_by_segment
            if not is_cached and segment.part_id in cached_elsewhere:
                missing += segment.tokens
        return missing

    def add(self, segments: tuple[placement_messages.PromptSegment, ...]) -> None:
        """Add a prompt; its later segments are evicted before the ones they build on."""
        for segment in reversed(segments):
            self._tokens -= self._tokens_by_segment.pop(segment.part_id, 0)
            self._tokens_by_segment[segment.part_id] = segment.tokens
            self._tokens += segment.tokens
        while self._tokens > self._limit_tokens and self._tokens_by_segment:
            _, tokens = self._tokens_by_segment.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Clear the cache, as after a restart of the engine."""
        self._tokens_by_segment.clear()
        self._tokens = 0
