"""Decide when a request is better served by another part of a service's upstreams: pure arithmetic.

The load that this answers: a burst of requests about few matters. All requests about one matter
meet at the few engines that have read it, so that it is read once. These engines were full, and
refused or kept waiting 130 requests of a day, while the busiest engine of the service had twice the
mean load and others had slots and no reading. A request that would wait there asks one other part,
the same one for its matter each time: reading the matter there once more costs less than a request
that is late.
"""

from __future__ import annotations

from medlarfork.placement import placement_messages

CHEAP_TOKENS = 1000
"""Shared tokens up to which reading them again is cheaper than any wait, a few steps of an engine:
such a request spills as soon as it can't start."""

SPILL_SHARE = 0.5
"""Share of its target that a request with a longer shared part waits for the engines that hold it.
Foreseen waits are off by up to a half, so beyond it the request may be late there."""

MOST_BEGINS_MS = 1e9
"""Stands for a wait that nothing foresees."""


def most_begins_ms(request: placement_messages.PlaceRequest) -> float:
    """Return how late a request may begin before another part is asked, in milliseconds."""
    if request.begins_within_ms > 0:
        return request.begins_within_ms
    if shared_tokens(request) <= CHEAP_TOKENS:
        return 0.0
    return SPILL_SHARE * request.target_ms


def is_to_ask_elsewhere(request: placement_messages.PlaceRequest, begins_ms: float) -> bool:
    """Say whether a request that can't start at once is to ask another part.

    Args:
        request: The request.
        begins_ms: When it would begin here, in milliseconds.
    """
    may_go = request.other_shard is not None
    return may_go and begins_ms >= most_begins_ms(request)


def shared_tokens(request: placement_messages.PlaceRequest) -> int:
    """Return the tokens of a prompt that other requests share: all but its last part."""
    return sum(part.tokens for part in request.parts[:-1])
