"""Keep what the owner of placement knows of one upstream: its runs, its reading, its failures."""

from __future__ import annotations

import dataclasses
import math

from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, prefix_cache, step_window

INITIAL_BACKOFF_S = 0.5
"""Pause after a first failure before an upstream is tried again, in seconds."""

MAX_BACKOFF_S = 8.0
"""Longest such pause, in seconds; pauses double with each failure in a row."""

STUCK_S = 0.4
"""Time by which a first event may be late before its upstream counts as standing still, in
seconds: more than any step and way take, and less than callers of the shortest targets wait."""

STUCK_FACTOR = 3.0
"""The same as a multiple of the reading's own time, for engines that read several at once."""

LOST_RUN_GRACE_S = 2.0
"""Time after a request's caller has given up at which its run counts as ended, in seconds: the
report of its end was lost, and the slot would be taken forever."""

ABSENT_RETENTION_S = 15.0
"""How long an upstream that is not there is remembered, in seconds: longer than one that runs is
not heard of in a cut, with the time that replicas take to hear of it again."""

MEMORY_SHARE = 0.95
"""Share of an engine's memory that running requests may fill. Beyond it the engine stops some of
them and reads them again later; the rest covers answers that are longer than announced."""

FAILURE_WEIGHT = 0.12
"""Weight of the latest end in the share of failures: about the last eight runs count."""


@dataclasses.dataclass(slots=True)
class Run:
    """Hold a request that was sent to an upstream.

    Attributes:
        entry_id: The entry host that sent it.
        request: What was asked.
        prefill_tokens: Prompt tokens that the upstream has to read.
        prefill_ms: How long that takes, in milliseconds.
        is_rate_sample: Whether its first event tells the rate: no other reading was under way when it
            was placed, and nothing was fetched.
        has_begun: Whether its first event came.
        uncached_segments: Parts of its prompt that the upstream held only once it had read them for it.
        deadline: When its caller gives up, in seconds.
        max_concurrent_prefill_ms: The most reading that was ahead at one time while it produced events.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    prefill_tokens: int
    prefill_ms: float
    is_rate_sample: bool
    has_begun: bool = False
    uncached_segments: frozenset[str] = frozenset()
    deadline: float = math.inf
    max_concurrent_prefill_ms: float = 0.0

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that it may fill of its engine's memory."""
        return self.request.memory_tokens


class UpstreamLoad:
    """Count one upstream's runs and foresee its reading; pure.

    Attributes:
        announcement: What the upstream said of itself.
        cache: Parts of prompts that it holds.
        steps: The steps that it is believed to take.
        run_by_ticket: Requests that were placed there and have not ended.
        streams_by_gap_ms: How many streams run there, by the longest pause that they allow.
        is_present: Whether it may be used now.
    """

    def __init__(self, announcement: upstream_types.Announcement, memory_tokens: int) -> None:
        """Start with an upstream that nothing was placed on."""
        self.announcement = announcement
        self.cache = prefix_cache.PrefixCache(memory_tokens)
        self.steps = step_window.StepWindow()
        self.run_by_ticket: dict[str, Run] = {}
        self.is_present = True
        self._absent_since = math.inf
        self._memory_tokens = memory_tokens
        self._running_tokens = 0
        self.streams_by_gap_ms: dict[float, int] = {}
        self._prefilling_by_ticket: dict[str, Run] = {}
        self._prefill_since = 0.0
        self._cooldown_until = 0.0
        self.failure_rate = 0.0
        self._failures_in_a_row = 0
        self._backoff_until = 0.0
        self._is_probing = False
        self._probe_ticket = ""

    @property
    def is_full(self) -> bool:
        """Return whether it gets no further request: all slots are taken, or one tries it."""
        if self._is_probing and self._probe_ticket in self.run_by_ticket:
            return True
        return len(self.run_by_ticket) >= self.announcement.slots

    def set_memory(self, memory_tokens: int) -> None:
        """Take another size of the engine's memory."""
        self._memory_tokens = memory_tokens
        self.cache.set_memory(memory_tokens)

    def has_memory_for(self, tokens: int) -> bool:
        """Return whether a request with so many tokens fits beside those that run there.

        Alone each is let through, and so is one without a prompt, which fills none.
        """
        if not self.run_by_ticket or not tokens:
            return True
        return self._running_tokens + tokens <= MEMORY_SHARE * self._memory_tokens

    def end_overdue(self, now: float) -> tuple[str, ...]:
        """Take off the runs whose end was never reported; return their tickets."""
        overdue = tuple(
            ticket_id
            for ticket_id, run in self.run_by_ticket.items()
            if now > run.deadline + LOST_RUN_GRACE_S
        )
        for ticket_id in overdue:
            self.end(ticket_id, placement_messages.RunEnd.CANCELLED, now)
        return overdue

    def is_gone(self, now: float) -> bool:
        """Return whether it has been absent for long and nothing runs there; asked every second."""
        if self.is_present:
            self._absent_since = math.inf
            return False
        self._absent_since = min(self._absent_since, now)
        return not self.run_by_ticket and now - self._absent_since > ABSENT_RETENTION_S

    def is_backing_off(self, now: float) -> bool:
        """Return whether it failed lately, or seems to stand still, and is given time."""
        return now < self._backoff_until or self._is_stuck(now)

    def _is_stuck(self, now: float) -> bool:
        """Return whether the prompt that is being read is far behind its time."""
        if not self._prefilling_by_ticket:
            return False
        first = next(iter(self._prefilling_by_ticket.values()))
        allowed_s = STUCK_S + STUCK_FACTOR * first.prefill_ms / 1000.0
        return now - self._prefill_since > allowed_s

    def has_tight_stream(self, tight_gap_ms: float) -> bool:
        """Return whether a stream runs there that allows no pause above ``tight_gap_ms``."""
        return any(gap_ms <= tight_gap_ms for gap_ms in self.streams_by_gap_ms)

    def tight_stream_count(self, tight_gap_ms: float) -> int:
        """Return how many streams run there that allow no pause above ``tight_gap_ms``."""
        streams = self.streams_by_gap_ms.items()
        return sum(count for gap_ms, count in streams if gap_ms <= tight_gap_ms)

    def backlog_ms(self, now: float) -> float:
        """Return how much reading is ahead there, by the runs whose first event has not come.

        Of the prompt that is being read, no more than its own time is taken off however long ago
        it began: an upstream that is slow, or stands still, is not thought to be free.
        """
        if not self._prefilling_by_ticket:
            return 0.0
        unread = iter(self._prefilling_by_ticket.values())
        first_ms = next(unread).prefill_ms
        left_ms = max(0.0, first_ms - (now - self._prefill_since) * 1000.0)
        return left_ms + sum(run.prefill_ms for run in unread)

    def concurrent_prefill_ms(self, now: float) -> float:
        """Return how much reading one event of a stream there may hold before more is placed."""
        return max(self.backlog_ms(now), self.steps.concurrent_prefill_ms(now))

    def cooldown_ms(self, now: float) -> float:
        """Return for how long the streams there are to be left without long reading."""
        return max(0.0, self._cooldown_until - now) * 1000.0

    def add(self, run: Run, now: float) -> None:
        """Place a run."""
        self.run_by_ticket[run.request.ticket_id] = run
        self._probe_ticket = run.request.ticket_id
        self._running_tokens += run.memory_tokens
        self._count_stream(run, 1)
        if not run.has_begun and run.prefill_ms > 0:
            if not self._prefilling_by_ticket:
                self._prefill_since = now
            self._prefilling_by_ticket[run.request.ticket_id] = run
            run.uncached_segments = self.cache.uncached_segments(run.request.parts)
            self._update_concurrent_prefill(now)
            self.steps.add(run.prefill_ms, now)
        self.cache.add(run.request.parts)

    def fetchable_tokens(self, parts: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return how much of a prompt others can fetch there now: what was read to its end."""
        cached = self.cache.cached_segments(parts)
        if not cached:
            return 0
        unread = [
            run.uncached_segments
            for run in self._prefilling_by_ticket.values()
            if run.uncached_segments
        ]
        tokens = 0
        for part in cached:
            if any(part.part_id in uncached_segments for uncached_segments in unread):
                break
            tokens += part.tokens
        return tokens

    def record_first_event(self, ticket_id: str, cooldown_ms: float, now: float) -> Run | None:
        """Note a run's first event; return the run if it is its first one."""
        run = self.run_by_ticket.get(ticket_id)
        if run is None or run.has_begun:
            return None
        run.has_begun = True
        self._is_probing = False
        self._end_prefill(ticket_id, now)
        self._cooldown_until = max(self._cooldown_until, now + cooldown_ms / 1000.0)
        return run

    def _end_prefill(self, ticket_id: str, now: float) -> None:
        if self._prefilling_by_ticket.pop(ticket_id, None) is not None:
            self._prefill_since = now

    def end(self, ticket_id: str, end: placement_messages.RunEnd, now: float) -> Run | None:
        """Take a run off, and judge the upstream by how it ended; return it if it ran there."""
        run = self.run_by_ticket.pop(ticket_id, None)
        if run is None:
            return None
        self._running_tokens -= run.memory_tokens
        self._count_stream(run, -1)
        self._end_prefill(ticket_id, now)
        match end:
            case placement_messages.RunEnd.COMPLETE:
                self._is_probing = False
                self._failures_in_a_row = 0
                self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
            case placement_messages.RunEnd.FAILED:
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
                self._failures_in_a_row += 1
                if self._failures_in_a_row >= 3:
                    self._back_off(now)
            case placement_messages.RunEnd.BROKEN:
                # Each entry host has connections to an upstream that crashed, and loses a request
                # with each that it uses: 95 of a day with upstreams that crash by turns.
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
                self._start_probe(now, backs_off=self._failures_in_a_row > 0)
            case placement_messages.RunEnd.UNREACHABLE:
                self.cache.clear()
                self._start_probe(now, backs_off=True)
            case placement_messages.RunEnd.REJECTED:
                self._backoff_until = max(self._backoff_until, now + INITIAL_BACKOFF_S / 2)
        return run

    def _update_concurrent_prefill(self, now: float) -> None:
        """Note for the streams there how much reading is ahead: it tells what their pauses hold."""
        backlog_ms = self.backlog_ms(now)
        for run in self.run_by_ticket.values():
            if run.has_begun and run.max_concurrent_prefill_ms < backlog_ms:
                run.max_concurrent_prefill_ms = backlog_ms

    def _count_stream(self, run: Run, change: int) -> None:
        """Keep the count by pauses: harm is reckoned for each upstream and each placement."""
        gap_ms = run.request.gap_ms
        if gap_ms <= 0:
            return
        count = self.streams_by_gap_ms.get(gap_ms, 0) + change
        self.streams_by_gap_ms[gap_ms] = count
        if not count:
            del self.streams_by_gap_ms[gap_ms]

    def _start_probe(self, now: float, *, backs_off: bool) -> None:
        """Try an upstream that lost a connection with one request before others follow.

        What waited during a pause would all be sent there when it ends, and be lost together. A
        single lost answer is no reason for a pause: where one in twenty is lost, at three requests
        a second each, pauses of half a second would take a fifteenth of the upstreams away.
        """
        self._failures_in_a_row += 1
        self._is_probing = True
        self._probe_ticket = ""
        if backs_off:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        pause_s = INITIAL_BACKOFF_S * 2.0 ** (self._failures_in_a_row - 1)
        self._backoff_until = now + min(pause_s, MAX_BACKOFF_S)
