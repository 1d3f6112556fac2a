"""Decide when a request is better served by another shard of the service. Pure.

It handles a burst of requests with few affinity keys. All requests with one key meet at the few
engines that hold its prefix, so that it is computed once. Once these engines are full, they refuse
or delay requests (130 in one day's load) while other engines have free slots and no prefill
backlog, and the busiest engine has twice the mean load. So a request that would wait asks one other
shard, always the same one for its key: recomputing the prefix there costs less than a late request.
"""

from __future__ import annotations

from medlarfork.placement import placement_messages

CHEAP_RECOMPUTE_TOKENS = 1000
"""Shared tokens up to which recomputing them, in a few steps of an engine, is cheaper than any
wait: such a request spills as soon as it can't start."""

SPILL_SHARE = 0.5
"""Share of its target that a request with a longer shared prefix waits for the engines that hold
it. Predicted waits are off by up to a half, so beyond it the request may be late there."""

SPILL_RECOMPUTE_FACTOR = 4.0
"""Factor on the prefill time of the shared prefix that a request must also gain by spilling.
Where all shards are full, that prefill delays everything queued there, and spilling gains
nothing."""

BUSY_RETENTION_S = 0.3
"""How long a busy shard is not asked for another request, in seconds: a few requests end there
within it. Where all shards are full, each request would otherwise be asked for three times."""

UNKNOWN_START_MS = 1e9
"""Predicted start of a request whose wait can't be predicted, in milliseconds."""


def max_start_ms(request: placement_messages.PlaceRequest, tokens_per_ms: float) -> float:
    """Return the latest predicted start at which no other shard is asked, in milliseconds.

    Args:
        request: The request.
        tokens_per_ms: Prefill rate of the engines.
    """
    gain_ms = SPILL_RECOMPUTE_FACTOR * shared_tokens(request) / tokens_per_ms
    if request.begins_within_ms > 0:
        return request.begins_within_ms - gain_ms
    if shared_tokens(request) <= CHEAP_RECOMPUTE_TOKENS:
        return 0.0
    return SPILL_SHARE * request.target_ms + gain_ms


def shared_tokens(request: placement_messages.PlaceRequest) -> int:
    """Return the tokens of a prompt that other requests share: all but its last segment."""
    return sum(part.tokens for part in request.parts[:-1])


class BusyShards:
    """Remember which other shards were busy recently. Pure."""

    def __init__(self) -> None:
        """Start without busy shards."""
        self._until_by_shard: dict[placement_messages.Shard, float] = {}

    def record(self, request: placement_messages.PlaceRequest, now: float) -> None:
        """Record the busy shard that a request asked before it came back, if any."""
        if request.busy_shard is not None:
            self._until_by_shard[request.busy_shard] = now + BUSY_RETENTION_S

    def may_ask(self, request: placement_messages.PlaceRequest, now: float) -> bool:
        """Return whether a request may ask another shard; a spilled one may always go back."""
        if request.begins_within_ms > 0:
            return True
        other = request.other_shard
        return other is not None and now >= self._until_by_shard.get(other, now)
