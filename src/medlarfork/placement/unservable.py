"""Refuse the requests of one shard that no upstream may run, however long they wait. Pure.

It handles upstreams that reject most requests since others fill them: once each has rejected a
request, none that becomes free may run it. Its caller comes back sooner if it is told so at once.
While a replica has not heard of all upstreams yet, such a request waits for the others instead.
"""

from __future__ import annotations

import math

from medlarfork.placement import (
    placement_decision,
    refusals,
    request_starter,
    upstream_chooser,
    wait_queue,
)


class UnservableRequests:
    """Find and refuse the requests that no upstream may run; callers pass the time, in seconds."""

    def __init__(
        self,
        chooser: upstream_chooser.UpstreamChooser,
        queue: wait_queue.WaitQueue,
        starter: request_starter.RequestStarter,
        refused: refusals.Refusals,
    ) -> None:
        """Use the parts of a shard that know its upstreams, predict starts and refuse."""
        self._chooser = chooser
        self._queue = queue
        self._starter = starter
        self._refusals = refused
        self._has_new_upstreams = False
        self._complete_at = -math.inf

    def expect_upstreams(self, until: float) -> None:
        """Expect that upstreams which are not known yet announce themselves until a time."""
        self._complete_at = until

    def is_view_complete(self, now: float) -> bool:
        """Return whether all upstreams must be known, so that the known ones decide."""
        return now >= self._complete_at

    def use_upstreams(self) -> None:
        """Check the queued requests in the next pass, since the upstreams may have changed."""
        self._has_new_upstreams = True

    def refuse(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> placement_decision.Decision | None:
        """Refuse a request that no upstream may run; return None if one may, or is expected."""
        if not self.is_view_complete(now):
            return None
        if self._chooser.is_excluded_everywhere(waiting.request):
            retry = waiting.without_exclusions()
            wait_ms = self._starter.predicted_wait_ms(retry, now) if waiting.prefill_ms > 0 else 0.0
            closed_ms = self._chooser.closed_ms(retry, now)
            return self._refusals.refuse_excluded(waiting, wait_ms, closed_ms, now)
        if self._chooser.lacks_version(waiting.request):
            return self._refusals.refuse_version(waiting, now)
        return None

    def refuse_queued(self, now: float) -> list[placement_decision.Decision]:
        """Refuse and remove the queued requests that no upstream may run any more.

        A pass reads only the requests that may start: none while all upstreams are full.
        """
        answers: list[placement_decision.Decision] = []
        if not self._has_new_upstreams or not self.is_view_complete(now):
            return answers
        self._has_new_upstreams = False
        for waiting in self._queue.with_constraints():
            answer = self.refuse(waiting, now)
            if answer is not None:
                self._queue.remove(waiting.request.ticket_id)
                answers.append(answer)
        return answers
