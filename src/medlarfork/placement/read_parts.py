"""Remember which shared parts of prompts some engine of a service has read lately: pure."""

from __future__ import annotations

import collections

from medlarfork.placement import placement_messages

REUSE_S = 10.0
"""How long a part that was read counts as held by an engine, in seconds: within it, reading the
part elsewhere is waste."""

MOST_PARTS = 50_000
"""Parts of prompts whose last reading is remembered, which bounds memory to a few megabytes."""


class ReadParts:
    """Hold when each shared part was read last."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self._read_at_by_part: collections.OrderedDict[str, float] = collections.OrderedDict()

    def note(self, parts: tuple[placement_messages.PromptPart, ...], now: float) -> None:
        """Note that a prompt is read; its last part is its own and is not remembered."""
        for part in parts[:-1]:
            self._read_at_by_part[part.part_id] = now
            self._read_at_by_part.move_to_end(part.part_id)
        while len(self._read_at_by_part) > MOST_PARTS:
            self._read_at_by_part.popitem(last=False)

    def read_lately(
        self, parts: tuple[placement_messages.PromptPart, ...], now: float
    ) -> frozenset[str]:
        """Return the shared parts of a prompt that were read within ``REUSE_S``."""
        oldest = now - REUSE_S
        return frozenset(
            part.part_id
            for part in parts[:-1]
            if self._read_at_by_part.get(part.part_id, oldest) > oldest
        )
