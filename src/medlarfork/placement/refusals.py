"""Refuse requests of one shard, with a scheduled retry where possible. Pure: no I/O, no clock.

It handles bursts whose requests can't all be served in time, from callers with client accounts.
Callers that are refused while they have time left retry at a scheduled time, and then go before new
requests. Without accounts, refusals state only a forecast of the wait, and nothing is measured.
"""

from __future__ import annotations

from collections.abc import Iterable

from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    account_shares,
    admission_policy,
    placement_decision,
    placement_messages,
    retry_schedule,
    start_forecast,
    start_rate,
    wait_queue,
)
from medlarfork.routes import routing


class Refusals:
    """Measure the rate of a shard, and refuse and recognise requests by it; callers pass the time.

    Attributes:
        retries: The scheduled retries.
    """

    def __init__(
        self, queue: wait_queue.WaitQueue, shares: account_shares.AccountShares | None = None
    ) -> None:
        """Start as a plain service without upstreams.

        Args:
            queue: The queued requests.
            shares: The upstream time charged to accounts; None to start without charges.
        """
        self._queue = queue
        self._shares = shares or account_shares.AccountShares()
        self._rate = start_rate.StartRate()
        self._starts = start_forecast.StartForecast(self._rate, queue)
        self.retries = retry_schedule.RetrySchedule(self._rate)

    def use_engine(self, engine: routing.EngineSpec | None) -> None:
        """Apply the engine facts of the routing; None for plain services."""
        self._starts.is_plain = engine is None

    def use_upstreams(self, announcements: Iterable[upstream_types.Announcement]) -> None:
        """Set the upstreams that may be used now."""
        self._starts.slots = sum(announcement.slots for announcement in announcements)

    def claim(self, request: placement_messages.PlaceRequest, now: float) -> float | None:
        """Return the scheduled time of a retry that arrives at its time; None for new requests."""
        self._rate.is_active |= bool(request.account)
        return self.retries.claim(request, now)

    def record_queue(self, now: float) -> None:
        """Record whether requests are queued, after each change of that."""
        self._rate.advance(now, is_waiting=bool(self._queue))

    def record_end(self, tier: int, ended: placement_messages.RunEnded, now: float) -> None:
        """Count the end of a run."""
        self._rate.record_end(tier, ended, now)

    def begin_pass(self, now: float) -> bool:
        """Begin a pass over the queue; return whether it has to read the entire queue."""
        return self._starts.begin_pass(now)

    def is_hopeless(self, waiting: wait_queue.WaitingRequest) -> bool:
        """Return whether the next request in a pass over the queue could never start in time."""
        return self._starts.is_hopeless(waiting)

    def can_not_end(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether a new request would not end in time even if it started now."""
        return self._starts.can_not_end(waiting, now)

    def is_hopeless_at_end(self, waiting: wait_queue.WaitingRequest, now: float) -> bool:
        """Return whether a new request could never start in time if it were queued."""
        return self._starts.is_hopeless_at_end(waiting, now)

    def refuse_early(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> placement_decision.Decision:
        """Refuse a request of a plain service that could not start in time."""
        wait_ms = max(self._starts.wait_ms(waiting, now), admission_policy.MIN_RETRY_MS)
        return self.refuse(waiting, f"its predicted wait is about {wait_ms:.0f} ms", wait_ms, now)

    def refuse(
        self,
        waiting: wait_queue.WaitingRequest,
        why: str,
        retry_after_ms: float,
        now: float,
        closed_ms: float = 0.0,
    ) -> placement_decision.Decision:
        """Refuse a request for overload, with a scheduled retry if there is a place for it.

        Args:
            waiting: The request.
            why: The reason, as a phrase for people.
            retry_after_ms: Retry time without a schedule, in milliseconds.
            now: The time in seconds.
            closed_ms: Time until backpressure signals admit it, in milliseconds; there is no
                scheduled retry if they admit it nowhere now.
        """
        promised_ms = self.retries.assign(waiting, now) if closed_ms <= 0 else None
        excess = self._shares.record_refusal(waiting.request.account, now)
        refused = placement_messages.PlaceRefused(
            waiting.request.ticket_id,
            max(retry_after_ms, closed_ms) if promised_ms is None else promised_ms,
            f"{why}; {excess}" if excess else why,
            is_promise=promised_ms is not None,
        )
        return self._decide(waiting, refused)

    def refuse_closed(
        self, waiting: wait_queue.WaitingRequest, closed_ms: float, now: float
    ) -> placement_decision.Decision:
        """Refuse a request that backpressure signals admit nowhere, which is no overload."""
        why = f"every upstream is rate-limited or in backoff for about {closed_ms:.0f} ms"
        retry_ms = max(closed_ms, admission_policy.MIN_RETRY_MS)
        cause = placement_messages.RefusalCause.CLOSED
        ticket_id = waiting.request.ticket_id
        self._shares.record_refusal(waiting.request.account, now)
        refused = placement_messages.PlaceRefused(ticket_id, retry_ms, why, cause)
        return self._decide(waiting, refused)

    def refuse_excluded(
        self, waiting: wait_queue.WaitingRequest, wait_ms: float, closed_ms: float, now: float
    ) -> placement_decision.Decision:
        """Refuse a request that all upstreams which could run it have failed.

        Waiting for a free slot would not help it, while a retry may use all upstreams. Its place in
        the schedule of retries would be unused if another shard runs it.

        Args:
            waiting: The request.
            wait_ms: Predicted wait of its retry for queued prefill, in milliseconds.
            closed_ms: Time until backpressure signals admit its retry, in milliseconds.
            now: The time in seconds.
        """
        retry_ms = max(wait_ms, closed_ms, self._starts.wait_ms(waiting, now))
        has_place = closed_ms <= 0 and waiting.request.target_shard.count == 1
        promised_ms = self.retries.assign(waiting, now) if has_place else None
        self._shares.record_refusal(waiting.request.account, now)
        refused = placement_messages.PlaceRefused(
            waiting.request.ticket_id,
            max(retry_ms, admission_policy.MIN_RETRY_MS) if promised_ms is None else promised_ms,
            "every upstream that may run it has failed it",
            placement_messages.RefusalCause.EXCLUDED,
            is_promise=promised_ms is not None,
        )
        return self._decide(waiting, refused)

    def refuse_version(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> placement_decision.Decision:
        """Refuse a request whose version no upstream of the shard has, which is no overload."""
        why = f"no upstream of the stream's version {waiting.request.version!r} may run it"
        cause = placement_messages.RefusalCause.VERSION
        ticket_id = waiting.request.ticket_id
        self._shares.record_refusal(waiting.request.account, now)
        retry_ms = admission_policy.MIN_RETRY_MS
        refused = placement_messages.PlaceRefused(ticket_id, retry_ms, why, cause)
        return self._decide(waiting, refused)

    def _decide(
        self, waiting: wait_queue.WaitingRequest, refused: placement_messages.PlaceRefused
    ) -> placement_decision.Decision:
        self.retries.record_end(waiting, is_started=False)
        return placement_decision.Decision(
            waiting.entry_id,
            refused,
            account=waiting.request.account,
            is_returning=waiting.is_returning,
        )
