"""Keep what the owner of placement knows of one upstream: its runs, its reading, its failures."""

from __future__ import annotations

import dataclasses

from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, prompt_cache

FIRST_PAUSE_S = 0.5
"""Pause after a first failure before an upstream is tried again, in seconds."""

LONGEST_PAUSE_S = 8.0
"""Longest such pause, in seconds; pauses double with each failure in a row."""

FAILURE_MEMORY = 0.12
"""Weight of the latest end in the share of failures: about the last eight runs count."""


@dataclasses.dataclass(slots=True)
class Run:
    """Hold a request that was sent to an upstream.

    Attributes:
        entry_id: The entry host that sent it.
        request: What was asked.
        read_tokens: Prompt tokens that the upstream has to read.
        read_alone: Whether no other reading was under way when it was placed.
        has_begun: Whether its first event came.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    read_tokens: int
    read_alone: bool
    has_begun: bool = False


class UpstreamLoad:
    """Count one upstream's runs and foresee its reading; pure.

    Attributes:
        announcement: What the upstream said of itself.
        cache: Parts of prompts that it holds.
        run_by_ticket: Requests that were placed there and have not ended.
        read_until: When the reading placed there will be done, in monotonic seconds.
    """

    def __init__(self, announcement: upstream_types.Announcement, memory_tokens: int) -> None:
        """Start with an upstream that nothing was placed on."""
        self.announcement = announcement
        self.cache = prompt_cache.PromptCache(memory_tokens)
        self.run_by_ticket: dict[str, Run] = {}
        self.read_until = 0.0
        self.failed_share = 0.0
        self._failures_in_a_row = 0
        self._pause_until = 0.0

    @property
    def is_full(self) -> bool:
        """Return whether all its slots are taken."""
        return len(self.run_by_ticket) >= self.announcement.slots

    def is_pausing(self, now: float) -> bool:
        """Return whether it failed lately and is given time."""
        return now < self._pause_until

    def has_tight(self, tight_ms: float) -> bool:
        """Return whether a stream runs there that allows no pause above ``tight_ms``."""
        return any(0 < run.request.gap_ms <= tight_ms for run in self.run_by_ticket.values())

    def add(self, run: Run, read_ms: float, now: float) -> None:
        """Place a run."""
        self.run_by_ticket[run.request.ticket_id] = run
        self.read_until = max(self.read_until, now) + read_ms / 1000.0
        self.cache.add(run.request.parts)

    def end(self, ticket_id: str, end: placement_messages.RunEnd, now: float) -> None:
        """Take a run off, and judge the upstream by how it ended."""
        if self.run_by_ticket.pop(ticket_id, None) is None:
            return
        match end:
            case placement_messages.RunEnd.COMPLETE:
                self._failures_in_a_row = 0
                self.failed_share -= FAILURE_MEMORY * self.failed_share
            case placement_messages.RunEnd.FAILED:
                self.failed_share += FAILURE_MEMORY * (1.0 - self.failed_share)
                self._failures_in_a_row += 1
                if self._failures_in_a_row >= 3:
                    self._pause(now)
            case placement_messages.RunEnd.UNREACHABLE:
                self._failures_in_a_row += 1
                self.cache.clear()
                self._pause(now)
            case placement_messages.RunEnd.REJECTED:
                self._pause_until = max(self._pause_until, now + FIRST_PAUSE_S / 2)
        if not self.run_by_ticket:
            self.read_until = min(self.read_until, now)

    def _pause(self, now: float) -> None:
        pause_s = FIRST_PAUSE_S * 2.0 ** (self._failures_in_a_row - 1)
        self._pause_until = now + min(pause_s, LONGEST_PAUSE_S)
