"""State of one upstream at the placement owner: its runs, prefill backlog and failures."""

from __future__ import annotations

import dataclasses
import math

from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, prefix_cache, step_window, upstream_speed

INITIAL_BACKOFF_S = 0.5
"""Backoff after a first failure before an upstream is probed, in seconds."""

MAX_BACKOFF_S = 8.0
"""Longest failure backoff, in seconds; it doubles with each consecutive failure."""

STUCK_S = 0.4
"""How long a first event may be overdue before its upstream counts as stuck, in seconds: more
than any step and network latency, and less than callers with the shortest targets wait."""

STUCK_FACTOR = 3.0
"""The same as a multiple of the prefill time, for engines that prefill several prompts at once."""

LOST_RUN_GRACE_S = 2.0
"""Time after a caller's deadline at which its run counts as ended, in seconds: the report of its
end was lost, and its slot would never be released."""

ABSENT_RETENTION_S = 15.0
"""How long an absent upstream is remembered, in seconds: longer than a running one is unheard
during a network partition, plus the time in which replicas hear of it again."""

MEMORY_SHARE = 0.95
"""Share of an engine's memory that running requests may fill. Beyond it the engine preempts some
of them and recomputes them later; the rest covers answers longer than announced."""

RAISE_S = 5.0
"""Time without a rejection after which an upstream that had rejected for want of room gets one run
more at once, in seconds."""

FAILURE_WEIGHT = 0.12
"""Weight of the latest run in the failure rate: about the last eight runs count."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request that was placed on an upstream and has not ended.

    Attributes:
        entry_id: The entry host that sent it.
        request: The placement request.
        prefill_tokens: Uncached prompt tokens that the upstream has to prefill.
        prefill_ms: Predicted duration of that prefill, in milliseconds.
        is_rate_sample: Whether its time to first event measures the prefill rate: no other prefill
            was pending when it was placed, and no prefix was fetched.
        has_started: Whether its first event was reported.
        uncached_segments: Prompt segments that the upstream has to compute for this request.
        deadline: When its caller gives up, in seconds.
        max_concurrent_prefill_ms: Largest prefill backlog at any time while it streamed.
        slowdown: The momentary slowdown that its upstream reported with its first event; None if it
            reported none.
        max_slowdown: Largest slowdown that its upstream reported while it streamed.
        min_slowdown: Smallest slowdown that its upstream reported while it streamed.
        started_at: When it was placed, in seconds.
        charged_slot_ms: Upstream time charged to its account for its slot, in milliseconds; 0 if
            nothing was charged.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    prefill_tokens: int
    prefill_ms: float
    is_rate_sample: bool
    has_started: bool = False
    uncached_segments: frozenset[str] = frozenset()
    deadline: float = math.inf
    max_concurrent_prefill_ms: float = 0.0
    slowdown: float | None = None
    max_slowdown: float = 1.0
    min_slowdown: float = math.inf
    started_at: float = 0.0
    charged_slot_ms: float = 0.0

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache tokens that it may fill."""
        return self.request.memory_tokens


class UpstreamLoad:
    """Track one upstream's runs and predict its prefill. Pure: no I/O, no clock.

    Attributes:
        announcement: The upstream's latest announcement.
        cache: Estimate of the prompt segments that it holds.
        steps: Simulation of its steps.
        run_by_ticket: Requests that were placed there and have not ended.
        streams_by_gap_ms: Number of streams there, by their longest allowed gap.
        is_present: Whether it may be used now.
        speed: Estimate of its relative time, and what it reported.
    """

    def __init__(self, announcement: upstream_types.Announcement, memory_tokens: int) -> None:
        """Start with an upstream without runs."""
        self.announcement = announcement
        self.cache = prefix_cache.PrefixCache(memory_tokens)
        self.steps = step_window.StepWindow()
        self.speed = upstream_speed.UpstreamSpeed()
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
        self._max_runs = math.inf
        self._max_runs_at = -math.inf

    @property
    def is_full(self) -> bool:
        """Return whether it gets no more requests now: no slot is free, or a probe runs there."""
        if self._is_probing and self._probe_ticket in self.run_by_ticket:
            return True
        return len(self.run_by_ticket) >= min(self.announcement.slots, self._max_runs)

    def limit_runs(self, now: float) -> None:
        """Limit the runs to those left after it has rejected one for want of room."""
        self._max_runs = max(1, min(self._max_runs, len(self.run_by_ticket)))
        self._max_runs_at = now

    def is_filled(self, unknown_runs: float) -> bool:
        """Return whether runs that the owner does not know of take the last slots.

        Without own runs they never do: a false report must not block an upstream.
        """
        own_runs = len(self.run_by_ticket)
        return own_runs > 0 and own_runs + int(unknown_runs) >= self.announcement.slots

    def set_memory(self, memory_tokens: int) -> None:
        """Change the size of the engine's memory."""
        self._memory_tokens = memory_tokens
        self.cache.set_memory(memory_tokens)

    def has_memory_for(self, tokens: int) -> bool:
        """Return whether a request with so many tokens fits beside the running ones.

        A request that would run alone is always accepted, and so is one without a prompt, which
        fills no memory.
        """
        if not self.run_by_ticket or not tokens:
            return True
        return self._running_tokens + tokens <= MEMORY_SHARE * self._memory_tokens

    def end_overdue(self, now: float) -> tuple[str, ...]:
        """End the runs whose end was never reported; return their tickets."""
        overdue = tuple(
            ticket_id
            for ticket_id, run in self.run_by_ticket.items()
            if now > run.deadline + LOST_RUN_GRACE_S
        )
        for ticket_id in overdue:
            self.end(ticket_id, placement_messages.RunEnd.CANCELLED, now)
        return overdue

    def end_entry(self, entry_id: str, now: float) -> None:
        """End the runs of a lost entry host."""
        for ticket_id, run in tuple(self.run_by_ticket.items()):
            if run.entry_id == entry_id:
                self.end(ticket_id, placement_messages.RunEnd.CANCELLED, now)

    def is_gone(self, now: float) -> bool:
        """Return whether it has been absent for long without runs; called every second."""
        if self.is_present:
            self._absent_since = math.inf
            return False
        self._absent_since = min(self._absent_since, now)
        return not self.run_by_ticket and now - self._absent_since > ABSENT_RETENTION_S

    def is_backing_off(self, now: float) -> bool:
        """Return whether it is in failure backoff, or seems stuck."""
        return now < self._backoff_until or self._is_stuck(now)

    def _is_stuck(self, now: float) -> bool:
        """Return whether the current prefill is far behind its predicted time."""
        if not self._prefilling_by_ticket:
            return False
        first = next(iter(self._prefilling_by_ticket.values()))
        allowed_s = STUCK_S + STUCK_FACTOR * first.prefill_ms / 1000.0
        return now - self._prefill_since > allowed_s

    def has_tight_stream(self, tight_gap_ms: float) -> bool:
        """Return whether a stream runs there that allows no gap above ``tight_gap_ms``."""
        return any(gap_ms <= tight_gap_ms for gap_ms in self.streams_by_gap_ms)

    def tight_stream_count(self, tight_gap_ms: float) -> int:
        """Return the number of streams there that allow no gap above ``tight_gap_ms``."""
        streams = self.streams_by_gap_ms.items()
        return sum(count for gap_ms, count in streams if gap_ms <= tight_gap_ms)

    def backlog_ms(self, now: float) -> float:
        """Return the prefill backlog: that of the runs whose first event has not been reported.

        The current prefill is reduced by at most its own duration, however long ago it started, so
        that an upstream that is slow or stuck does not seem free.
        """
        if not self._prefilling_by_ticket:
            return 0.0
        prefilling = iter(self._prefilling_by_ticket.values())
        first_ms = next(prefilling).prefill_ms
        left_ms = max(0.0, first_ms - (now - self._prefill_since) * 1000.0)
        return left_ms + sum(run.prefill_ms for run in prefilling)

    def concurrent_prefill_ms(self, now: float) -> float:
        """Return the prefill that one event of a stream there may include before more is placed."""
        return max(self.backlog_ms(now), self.steps.concurrent_prefill_ms(now))

    def cooldown_ms(self, now: float) -> float:
        """Return how long the streams there are still to run without long prefill."""
        return max(0.0, self._cooldown_until - now) * 1000.0

    def add(self, run: Run, now: float) -> None:
        """Add a run."""
        self.run_by_ticket[run.request.ticket_id] = run
        self._probe_ticket = run.request.ticket_id
        self._running_tokens += run.memory_tokens
        self._count_stream(run, 1)
        if not run.has_started and run.prefill_ms > 0:
            if not self._prefilling_by_ticket:
                self._prefill_since = now
            self._prefilling_by_ticket[run.request.ticket_id] = run
            run.uncached_segments = self.cache.uncached_segments(run.request.parts)
            self._update_concurrent_prefill(now)
            self.steps.add(run.prefill_ms, now)
        self.cache.add(run.request.parts)

    def fetchable_tokens(self, segments: tuple[placement_messages.PromptSegment, ...]) -> int:
        """Return the length of the prefix that others can fetch now: prefill of it has ended."""
        cached = self.cache.cached_segments(segments)
        if not cached:
            return 0
        prefilling = [
            run.uncached_segments
            for run in self._prefilling_by_ticket.values()
            if run.uncached_segments
        ]
        tokens = 0
        for segment in cached:
            if any(segment.part_id in uncached_segments for uncached_segments in prefilling):
                break
            tokens += segment.tokens
        return tokens

    def record_first_event(self, ticket_id: str, cooldown_ms: float, now: float) -> Run | None:
        """Record a run's first event; return the run unless it had started before."""
        run = self.run_by_ticket.get(ticket_id)
        if run is None or run.has_started:
            return None
        run.has_started = True
        self._is_probing = False
        self._end_prefill(ticket_id, now)
        self._cooldown_until = max(self._cooldown_until, now + cooldown_ms / 1000.0)
        return run

    def _end_prefill(self, ticket_id: str, now: float) -> None:
        if self._prefilling_by_ticket.pop(ticket_id, None) is not None:
            self._prefill_since = now

    def end(self, ticket_id: str, end: placement_messages.RunEnd, now: float) -> Run | None:
        """Remove a run and record how it ended; return it if it ran there."""
        run = self.run_by_ticket.pop(ticket_id, None)
        if run is None:
            return None
        self._running_tokens -= run.memory_tokens
        self._count_stream(run, -1)
        self._end_prefill(ticket_id, now)
        match end:
            case placement_messages.RunEnd.COMPLETE:
                if now >= self._max_runs_at + RAISE_S:
                    self._max_runs += 1
                    self._max_runs_at = now
                self._is_probing = False
                self._failures_in_a_row = 0
                self.failure_rate -= FAILURE_WEIGHT * self.failure_rate
            case placement_messages.RunEnd.FAILED:
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
                self._failures_in_a_row += 1
                if self._failures_in_a_row >= 3:
                    self._back_off(now)
            case placement_messages.RunEnd.BROKEN:
                # Each entry host may hold several connections to a crashed upstream and loses one
                # request per connection: 95 in one day in which upstreams crashed in turn.
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)
                self._start_probe(now, backs_off=self._failures_in_a_row > 0)
            case placement_messages.RunEnd.UNREACHABLE:
                self.cache.clear()
                self._start_probe(now, backs_off=True)
            case placement_messages.RunEnd.REJECTED:
                self._backoff_until = max(self._backoff_until, now + INITIAL_BACKOFF_S / 2)
        return run

    def _update_concurrent_prefill(self, now: float) -> None:
        """Update the largest prefill backlog beside each running stream, which explains gaps."""
        backlog_ms = self.backlog_ms(now)
        for run in self.run_by_ticket.values():
            if run.has_started and run.max_concurrent_prefill_ms < backlog_ms:
                run.max_concurrent_prefill_ms = backlog_ms

    def _count_stream(self, run: Run, change: int) -> None:
        """Update the number of streams by gap, which is read for each upstream and placement."""
        gap_ms = run.request.gap_ms
        if gap_ms <= 0:
            return
        count = self.streams_by_gap_ms.get(gap_ms, 0) + change
        self.streams_by_gap_ms[gap_ms] = count
        if not count:
            del self.streams_by_gap_ms[gap_ms]

    def _start_probe(self, now: float, *, backs_off: bool) -> None:
        """Probe an upstream that lost a connection with one request before others follow.

        Otherwise everything that was queued during a backoff would be sent there when it ends, and
        be lost together. One lost response causes no backoff: where one in twenty is lost, at three
        requests a second on each upstream, backoffs of half a second would make a fifteenth of the
        upstreams unavailable.
        """
        self._failures_in_a_row += 1
        self._is_probing = True
        self._probe_ticket = ""
        if backs_off:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        backoff_s = INITIAL_BACKOFF_S * 2.0 ** (self._failures_in_a_row - 1)
        self._backoff_until = now + min(backoff_s, MAX_BACKOFF_S)
