"""Compare the upstreams that could run a request: pure arithmetic, in milliseconds.

The load that this answers: long prompts beside streams whose callers expect short pauses. While an
engine reads a prompt, each of its steps takes as long as reading a chunk, so the pause between two
events of a stream grows to the tokens of an event times that. Streams that this makes late are kept
together on few engines, and long prompts away from these. Parts that an engine holds need no
reading; reading one again that another engine holds is the dearest waste, so requests about the
same matter stay together for as long as waiting there is cheaper.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages, upstream_load

READ_WEIGHT = 2.0
"""Weight of a request's own reading against its waiting: reading delays the ones after it too.
Between 2 and 4 measured alike (trials on two deployments)."""

REREAD_MS = 0.15
"""Cost of each token that is read again though another engine holds it, in milliseconds. Such a
token costs about as much as the request is worth for some thousands of them, which is what being
late by a second costs."""

GAP_SHARE = 0.45
"""Share of the tightest stream's allowed pause that reading may fill: the step that produces the
event's tokens and the reading under way share the pause. 60 to 100 of 200 ms measured best."""

LONG_READ_MS = 50.0
"""Reading that delays streams noticeably, in milliseconds: more than a chunk and a half."""

APART_MS = 80.0
"""Cost of bringing the first tight stream to an engine, which long prompts then have to avoid."""

RUN_MS = 0.2
"""Cost of each request that runs there already: a step takes a little longer with each."""

OTHER_ZONE_MS = 1.0
"""Cost of an upstream in another data centre: its links are slower and their bytes are paid for."""

FAILURE_MS = 400.0
"""Cost of an upstream that fails all its runs; one that fails a part costs that part of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Describe how the engines of a service read.

    Attributes:
        tokens_per_ms: Prompt tokens read in a millisecond.
        tight_ms: Streams that allow no longer pauses are made late by reading.
    """

    tokens_per_ms: float
    tight_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what placing a request on one upstream would cost.

    Attributes:
        total_ms: The sum that upstreams are compared by.
        wait_ms: Reading placed there before, which the request waits for.
        read_ms: The request's own reading.
        read_tokens: The same in tokens.
        rest_ms: Time for which streams there are to be left without long reading.
        stall_ms: By how much its reading exceeds what tight streams there allow, over all of them.
    """

    total_ms: float
    wait_ms: float
    rest_ms: float
    stall_ms: float
    read_ms: float
    read_tokens: int


def cost(
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    reading: Reading,
    held_elsewhere: frozenset[str],
    now: float,
) -> Cost:
    """Return what the request would cost on this upstream.

    Args:
        load: What is known of the upstream.
        request: What is to run.
        reading: How the service's engines read.
        held_elsewhere: Parts of the prompt that some engine has read lately.
        now: The time in seconds.
    """
    read_tokens = load.cache.uncached_tokens(request.parts)
    read_ms = read_tokens / reading.tokens_per_ms
    wait_ms = load.backlog_ms(now)
    rest_ms = load.rest_ms(now) if read_ms > LONG_READ_MS else 0.0
    total_ms = wait_ms + rest_ms + READ_WEIGHT * read_ms
    total_ms += REREAD_MS * load.cache.missing_tokens(request.parts, held_elsewhere)
    stall_ms = _stall_ms(load, wait_ms + read_ms, reading.tight_ms)
    total_ms += stall_ms
    if 0 < request.gap_ms <= reading.tight_ms and not load.has_tight(reading.tight_ms):
        total_ms += APART_MS
    total_ms += RUN_MS * len(load.run_by_ticket)
    total_ms += FAILURE_MS * load.failed_share
    if request.zone != load.announcement.zone:
        total_ms += OTHER_ZONE_MS
    return Cost(total_ms, wait_ms, rest_ms, stall_ms, read_ms, read_tokens)


def _stall_ms(load: upstream_load.UpstreamLoad, reading_ms: float, tight_ms: float) -> float:
    """Return by how much reading exceeds what tight streams there allow, summed over these."""
    stalled = 0.0
    for run in load.run_by_ticket.values():
        gap_ms = run.request.gap_ms
        if 0 < gap_ms <= tight_ms:
            stalled += max(0.0, reading_ms - GAP_SHARE * gap_ms)
    return stalled
