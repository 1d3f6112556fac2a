"""State of one placement request of an entry host, from its arrival to the end of its run."""

from __future__ import annotations

import dataclasses
import math
import time

import curio

from medlarfork.placement import placement_messages, standalone_queue

MIN_START_MS = 1.0
"""Minimum start time sent to the second shard, in milliseconds; 0 marks a request to the first."""

TRIAL_REPLY_S = 1.5
"""Time for owners to reply to a trial, in seconds: one that is lost is skipped well within it, and
the next one can grant the trial."""


@dataclasses.dataclass(slots=True)
class Ticket:
    """The state of one placement request.

    Attributes:
        request: The request as it was last sent.
        owner_id: The replica that it was sent to; empty for none.
        owner_generation: The client's count of owner changes when it was sent.
        is_queued: Whether it waits in the owner's queue.
        has_started: Whether its first event has arrived.
        answer: The owner's answer; None while it is pending.
        changed: Set when the ticket's state has changed.
        closed_ms_by_shard: Retry times of shards without an upstream that accepts requests.
        arrived_at: When it was created, in monotonic seconds.
        timed_at: When the times left in the request were true, in monotonic seconds.
        waiting: Its place in this host's own queue; None if it is not there.
        silent_owner_id: The owner that had not replied when it joined that queue; empty for none.
    """

    request: placement_messages.PlaceRequest
    owner_id: str = ""
    owner_generation: int = 0
    is_queued: bool = False
    has_started: bool = False
    answer: (
        placement_messages.Placed | placement_messages.PlaceRefused | placement_messages.Busy | None
    ) = None
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)
    closed_ms_by_shard: dict[placement_messages.Shard, float] = dataclasses.field(
        default_factory=dict
    )
    arrived_at: float = dataclasses.field(default_factory=time.monotonic)
    timed_at: float = dataclasses.field(default_factory=time.monotonic)
    waiting: standalone_queue.Waiting | None = None
    silent_owner_id: str = ""

    @property
    def is_closed(self) -> bool:
        """Return whether it was refused because no upstream of the shard may run it now."""
        refused = self.answer
        return isinstance(refused, placement_messages.PlaceRefused) and refused.cause in (
            placement_messages.RefusalCause.CLOSED,
            placement_messages.RefusalCause.EXCLUDED,
            placement_messages.RefusalCause.VERSION,
        )

    def awaits_trial(self, now: float) -> bool:
        """Return whether it needs a trial, which only an owner grants, and may wait for one."""
        return bool(self.request.trial_key) and now < self.arrived_at + TRIAL_REPLY_S

    def try_open_shard(self, shards: tuple[placement_messages.Shard, ...]) -> bool:
        """Select a shard that has not refused the request; return False if all have.

        The refusal then states when the first of them accepts requests again.
        """
        refused = self.answer
        if not isinstance(refused, placement_messages.PlaceRefused):
            return False
        closed = self.closed_ms_by_shard
        closed[self.request.target_shard] = refused.retry_after_ms
        left = [shard for shard in shards if shard not in closed]
        if not left or self.request.trial_key:
            self.answer = dataclasses.replace(refused, retry_after_ms=min(closed.values()))
            return False
        self.request = dataclasses.replace(
            self.request, shard=left[0], other_shard=None, begins_within_ms=0.0, busy_shard=None
        )
        self._reset_answer()
        return True

    def try_other_shard(self, start_ms: float) -> None:
        """Select the other shard: first the second choice, and then the first one again.

        Args:
            start_ms: Estimated start time at the shard that was asked.
        """
        request = self.request
        was_first = request.begins_within_ms == 0
        self.request = dataclasses.replace(
            request,
            shard=request.other_shard,
            other_shard=request.shard if was_first else None,
            begins_within_ms=max(start_ms, MIN_START_MS) if was_first else 0.0,
            busy_shard=None if was_first else request.shard,
        )
        self._reset_answer()

    @property
    def first_by_at(self) -> float:
        """Return when the caller leaves if no event has arrived; infinite for its deadline."""
        first_left_ms = self.request.first_left_ms
        return self.timed_at + first_left_ms / 1000.0 if first_left_ms else math.inf

    def leave_local_queue(self, now: float) -> None:
        """Leave this host's own queue, to ask an owner with the times that are left."""
        request = self.request
        waited_ms = (now - self.timed_at) * 1000.0
        first_left_ms = request.first_left_ms and max(1.0, request.first_left_ms - waited_ms)
        self.request = dataclasses.replace(
            request, left_ms=request.left_ms - waited_ms, first_left_ms=first_left_ms
        )
        self.timed_at = now
        self.waiting = None

    def _reset_answer(self) -> None:
        """Reset owner and answer, because another shard is asked next."""
        self.owner_id = ""
        self.answer = None
        self.is_queued = False
