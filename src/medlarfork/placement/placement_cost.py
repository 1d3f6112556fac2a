"""Compare the upstreams that could run a request: pure arithmetic, in milliseconds.

The load that this answers: long prompts beside streams whose callers expect short pauses. Reading
a prompt stalls every stream on the same engine, so reading beyond what the tightest stream there
allows costs each of those streams. Parts that an engine holds need no reading, so requests about
the same thing stay together while that is worth more than waiting.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages, upstream_load

READ_WEIGHT = 2.0
"""Weight of a request's own reading against its waiting: reading delays the ones after it too.
Between 2 and 4 measured alike (trials on two deployments)."""

GAP_SHARE = 0.45
"""Share of the tightest stream's allowed pause that reading may fill: the step that produces the
event's tokens and the reading under way share the pause. 60 to 100 of 200 ms measured best."""

RUN_MS = 2.0
"""Cost of each request that runs there already: a step takes longer with each."""

OTHER_ZONE_MS = 1.0
"""Cost of an upstream in another data centre: its links are slower and their bytes are paid for."""

FAILURE_MS = 400.0
"""Cost of an upstream that fails all its runs; one that fails a part costs that part of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what placing a request on one upstream would cost.

    Attributes:
        total_ms: The sum that upstreams are compared by.
        wait_ms: Reading placed there before, which the request waits for.
        read_ms: The request's own reading.
        read_tokens: The same in tokens.
    """

    total_ms: float
    wait_ms: float
    read_ms: float
    read_tokens: int


def cost(
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    tokens_per_ms: float,
    now: float,
) -> Cost:
    """Return what the request would cost on this upstream."""
    read_tokens = load.cache.uncached_tokens(request.parts)
    read_ms = read_tokens / tokens_per_ms
    wait_ms = max(0.0, load.read_until - now) * 1000.0
    total_ms = wait_ms + READ_WEIGHT * read_ms + _stall_ms(load, wait_ms + read_ms)
    total_ms += RUN_MS * len(load.run_by_ticket)
    total_ms += FAILURE_MS * load.failed_share
    if request.zone != load.announcement.zone:
        total_ms += OTHER_ZONE_MS
    return Cost(total_ms, wait_ms, read_ms, read_tokens)


def _stall_ms(load: upstream_load.UpstreamLoad, reading_ms: float) -> float:
    """Return by how much reading exceeds what the streams there allow, summed over these."""
    stalled = 0.0
    for run in load.run_by_ticket.values():
        if run.request.gap_ms:
            stalled += max(0.0, reading_ms - GAP_SHARE * run.request.gap_ms)
    return stalled
