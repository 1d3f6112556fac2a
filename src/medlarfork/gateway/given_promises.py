"""Remembers the scheduled retry times that callers got through this entry host."""

from __future__ import annotations

import dataclasses
import heapq

from medlarfork.placement import placement_messages

MAX_GIVEN = 2000
"""Promises that are remembered at the same time: as many as an owner keeps for a shard."""

RETENTION_S = 2.0
"""How long a promise is remembered after its time, in seconds: owners recognise the request as long
as that."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Given:
    """A promise, ordered by its time."""

    due_at: float
    service: str
    retry_key: str
    tier: int


class GivenPromises:
    """Keeps promises for a new owner of a shard, which does not know them. Pure."""

    def __init__(self) -> None:
        """Start without promises."""
        self._heap: list[_Given] = []

    def record(
        self,
        request: placement_messages.PlaceRequest,
        refused: placement_messages.PlaceRefused,
        now: float,
    ) -> None:
        """Remember the promise of a refusal, if it has one; the time is in seconds."""
        if not refused.is_promise:
            return
        self._drop_old(now)
        if len(self._heap) < MAX_GIVEN:
            due_at = now + refused.retry_after_ms / 1000.0
            given = _Given(due_at, request.service, request.retry_key, request.tier)
            heapq.heappush(self._heap, given)

    def of_service(self, service: str, now: float) -> tuple[placement_messages.RetryPromise, ...]:
        """Return the promises of a service that are still outstanding, the first due first."""
        self._drop_old(now)
        return tuple(
            placement_messages.RetryPromise(
                given.retry_key, given.tier, (given.due_at - now) * 1000.0
            )
            for given in sorted(self._heap)
            if given.service == service
        )

    def _drop_old(self, now: float) -> None:
        while self._heap and self._heap[0].due_at < now - RETENTION_S:
            heapq.heappop(self._heap)
