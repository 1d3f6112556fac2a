"""Estimate which parts of prompts an engine still holds, from what was sent to it.

Engines let the least recently used parts yield and reuse a part only if all before it are held
too. What they report of this is late and has gaps, so the owner's own sends are the better source.
"""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

USABLE_SHARE = 0.7
"""Share of an engine's memory that is counted on for parts; running requests take the rest."""


class PromptCache:
    """Hold the parts sent to one engine, the least recently used first."""

    def __init__(self, memory_tokens: int) -> None:
        """Start with an empty engine."""
        self._limit_tokens = memory_tokens * USABLE_SHARE
        self._tokens_by_part: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._tokens = 0

    def use_memory(self, memory_tokens: int) -> None:
        """Take another size of the engine's memory."""
        self._limit_tokens = memory_tokens * USABLE_SHARE

    def cached_parts(
        self, parts: tuple[placement_messages.PromptPart, ...]
    ) -> tuple[placement_messages.PromptPart, ...]:
        """Return the parts of a prompt that the engine holds, from its beginning."""
        for place, part in enumerate(parts):
            if part.part_id not in self._tokens_by_part:
                return parts[:place]
        return parts

    def cached_tokens(self, parts: tuple[placement_messages.PromptPart, ...]) -> int:
        """Return how many tokens of a prompt the engine holds, from its beginning."""
        cached = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def missing_parts(self, parts: tuple[placement_messages.PromptPart, ...]) -> frozenset[str]:
        """Return the parts of a prompt that the engine has to read."""
        cached = len(self.cached_parts(parts))
        return frozenset(part.part_id for part in parts[cached:])

    def uncached_tokens(self, parts: tuple[placement_messages.PromptPart, ...]) -> int:
        """Return how many tokens of a prompt the engine has to read."""
        return sum(part.tokens for part in parts) - self.cached_tokens(parts)

    def missing_tokens(
        self, parts: tuple[placement_messages.PromptPart, ...], held_elsewhere: frozenset[str]
    ) -> int:
        """Return how many tokens the engine has to read that another engine holds."""
        missing = 0
        is_cached = True
        for part in parts:
            is_cached = is_cached and part.part_id in self._tokens_by_part
            if not is_cached and part.part_id in held_elsewhere:
                missing += part.tokens
        return missing

    def add(self, parts: tuple[placement_messages.PromptPart, ...]) -> None:
        """Note that a prompt was sent; later parts yield before the ones they build on."""
        for part in reversed(parts):
            self._tokens -= self._tokens_by_part.pop(part.part_id, 0)
            self._tokens_by_part[part.part_id] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self._limit_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget everything, as after a restart of the engine."""
        self._tokens_by_part.clear()
        self._tokens = 0
