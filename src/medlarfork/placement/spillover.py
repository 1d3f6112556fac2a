"""Decide when a request is better served by another shard of a service's upstreams: pure.

The load that this answers: a burst of requests about few matters. All requests about one matter
meet at the few engines that have read it, so that it is read once. These engines were full, and
refused or kept waiting 130 requests of a day, while the busiest engine of the service had twice the
mean load and others had slots and no reading. A request that would wait there asks one other
shard, the same one for its matter each time: reading the matter there once more costs less than a
request that is late.
"""

from __future__ import annotations

from medlarfork.placement import placement_messages

CHEAP_RECOMPUTE_TOKENS = 1000
"""Shared tokens up to which reading them again is cheaper than any wait, a few steps of an engine:
such a request spills as soon as it can't start."""

SPILL_SHARE = 0.5
"""Share of its target that a request with a longer shared part waits for the engines that hold it.
Foreseen waits are off by up to a half, so beyond it the request may be late there."""

SPILL_RECOMPUTE_FACTOR = 4.0
"""How many times the reading of its shared part a request has to gain by going elsewhere, besides.
Where all shards are full, that reading delays all that wait there, and the request gains
nothing."""

BUSY_RETENTION_S = 0.3
"""How long a shard that was found busy is not asked for another request, in seconds: a few
requests end in it. Where all are full, each request would else be three questions."""

UNKNOWN_START_MS = 1e9
"""Stands for a wait that nothing foresees."""


def max_start_ms(request: placement_messages.PlaceRequest, tokens_per_ms: float) -> float:
    """Return how late a request may begin before another shard is asked, in milliseconds.

    Args:
        request: The request.
        tokens_per_ms: How fast engines read.
    """
    gain_ms = SPILL_RECOMPUTE_FACTOR * shared_tokens(request) / tokens_per_ms
    if request.begins_within_ms > 0:
        return request.begins_within_ms - gain_ms
    if shared_tokens(request) <= CHEAP_RECOMPUTE_TOKENS:
        return 0.0
    return SPILL_SHARE * request.target_ms + gain_ms


def shared_tokens(request: placement_messages.PlaceRequest) -> int:
    """Return the tokens of a prompt that other requests share: all but its last part."""
    return sum(part.tokens for part in request.parts[:-1])


class BusyShards:
    """Remember which other shards were found busy lately; pure."""

    def __init__(self) -> None:
        """Start with none."""
        self._until_by_shard: dict[placement_messages.Shard, float] = {}

    def record(self, request: placement_messages.PlaceRequest, now: float) -> None:
        """Take what a request tells of the shard that it asked before it came back."""
        if request.busy_shard is not None:
            self._until_by_shard[request.busy_shard] = now + BUSY_RETENTION_S

    def may_ask(self, request: placement_messages.PlaceRequest, now: float) -> bool:
        """Say whether a request may ask another shard; one that was sent here goes back."""
        if request.begins_within_ms > 0:
            return True
        other = request.other_shard
        return other is not None and now >= self._until_by_shard.get(other, now)
