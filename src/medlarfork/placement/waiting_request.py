"""A request that waits for an upstream, with the times that decide its place in the queue."""

from __future__ import annotations

import dataclasses
import math

from medlarfork.placement import placement_messages

ANSWER_LATENCY_MS = 100.0
"""How long before its caller leaves a queued request is refused, in milliseconds: the latency of
the answer over two links."""

URGENT_RUNS = 2.0
"""Time before its latest useful start from which a late request without a prompt goes first again,
in expected times of its run: that start does not allow for the run, and slots become free only as
other runs end."""

SortKey = tuple[int, float, bool, float, str]
"""Sort key of queued requests; their ticket is the last element."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A queued request.

    Attributes:
        entry_id: The entry host that sent it.
        request: The placement request.
        queued_at: When it arrived, in seconds.
        prefill_ms: Its prefill on the engine that held its longest prefix on arrival, in
            milliseconds.
        decode_ms: How long its answer takes after the first event, in milliseconds.
        virtual_ms: The virtual time of its tier on arrival (see ``account_shares``).
        promised_at: The scheduled time of its retry, in seconds; None unless it is a retry that
            arrived at that time.
    """

    entry_id: str
    request: placement_messages.PlaceRequest
    queued_at: float
    prefill_ms: float = 0.0
    decode_ms: float = 0.0
    virtual_ms: float = 0.0
    promised_at: float | None = None

    @property
    def is_returning(self) -> bool:
        """Return whether it goes before new requests of its kind."""
        return self.promised_at is not None

    @property
    def deadline(self) -> float:
        """Return when its caller gives up, in seconds."""
        return self.queued_at + self.request.left_ms / 1000.0

    @property
    def answer_by(self) -> float:
        """Return when it is answered at the latest if it has not started: before its caller leaves.

        A caller that leaves is lost; one that gets a retry delay comes back.
        """
        wait_ms = max(0.0, self.request.max_wait_ms - ANSWER_LATENCY_MS)
        return self.queued_at + wait_ms / 1000.0

    @property
    def latest_start(self) -> float:
        """Return the latest start, in seconds, that is still of use to its caller.

        From it, the request ends before its caller gives up, and has an event before the caller
        leaves.
        """
        latest_to_end = self.deadline - (self.prefill_ms + self.decode_ms) / 1000.0
        return min(latest_to_end, self.answer_by - self.prefill_ms / 1000.0)

    def without_exclusions(self) -> WaitingRequest:
        """Return the request as its caller sends it again: no upstream has failed it yet."""
        return dataclasses.replace(self, request=self.request.without_exclusions())

    def is_late(self, now: float, run_ms: float = 0.0) -> bool:
        """Return whether it goes after requests that can still be on time.

        A request with a prompt does so when it has waited beyond its target. One without does so
        only where routes declare accounts, and as soon as it can't end within its target: with the
        oldest first until then, each would start just too late.

        Args:
            now: The time in seconds.
            run_ms: The expected time of its run, in milliseconds.
        """
        return self.late_after_ms(run_ms) <= (now - self.queued_at) * 1000.0

    def late_after_ms(self, run_ms: float) -> float:
        """Return after which wait it is late, in milliseconds.

        Runs that take longer than half of the target do not count further, so that short waits
        never make a request late.
        """
        target_ms = self.request.target_ms
        if target_ms <= 0:
            return math.inf
        if self.request.parts:
            return target_ms
        if not self.request.account:
            return math.inf
        return target_ms - min(run_ms, target_ms / 2.0)

    def is_urgent(self, now: float, run_ms: float) -> bool:
        """Return whether a late request without a prompt goes first because its caller leaves soon.

        Args:
            now: The time in seconds.
            run_ms: The expected time of its run, in milliseconds.
        """
        return not self.request.parts and self.latest_start - now < urgent_s(run_ms)

    @property
    def kind(self) -> tuple[int, float]:
        """Return the group of requests with about the same prospects."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> SortKey:
        """Return the sort key: tier, then target, then scheduled retries, then age.

        Sorted by due time instead, overdue long prompts would go before every short one.
        """
        request = self.request
        is_new = self.promised_at is None
        return request.tier, request.target_ms, is_new, self.queued_at, request.ticket_id


def urgent_s(run_ms: float) -> float:
    """Return how long before its latest useful start a late request goes first, in seconds."""
    return URGENT_RUNS * run_ms / 1000.0
