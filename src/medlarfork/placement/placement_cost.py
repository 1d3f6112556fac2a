"""Compare the upstreams that could run a request: pure arithmetic.

The unit of every cost is one request made late, so that unlike harms can be added up.

The load that this answers: long prompts beside streams whose callers expect short pauses. While an
engine reads a prompt, each of its steps takes as long as reading a chunk, so the pause between two
events of a stream grows to the tokens of an event times that. Streams that this makes late are kept
together on few engines, and long prompts away from these. Parts that an engine holds need no
reading; reading one again that another engine holds is the dearest waste, so requests about the
same matter stay together for as long as waiting there makes none of them late.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages, upstream_load

REREAD_COST = 0.0002
"""Cost of each token that is read again though another engine holds it, against 1 for a late
request: reading takes an engine's time from all that wait."""

FETCH_COST = 0.00002
"""Cost of each token that is fetched from another engine: far less than reading it again, but it
keeps both links busy."""

LEAST_FETCH_TOKENS = 300
"""Fewest tokens that are fetched: for less, asking another engine takes longer than reading."""

READ_COST = 0.0005
"""Cost of each millisecond of a request's own reading, which delays the ones after it: a long
prompt's counts a tenth of a late request, so cached parts decide between engines that are equal."""

TIGHT_SHARE = 0.9
"""Share of a stream's allowed pause from which the longest pause beside reading makes it tight. The
longest pause is reckoned from the learnt rate of reading, which already holds attention and
slower engines."""

SAFE_SHARE = 0.75
"""Share of a stream's allowed pause that foreseen reading may fill unharmed: the rate is learnt to
a tenth, and a prompt may be read with others that come meanwhile."""

FULL_SHARE = 0.95
"""Share from which a stream counts as late. The way in between is short, so that prompts that make
nobody late are not held."""

APART_COST = 0.6
"""Cost of bringing the first tight stream to an engine, which long prompts then have to avoid."""

GATHER_COST = 0.03
"""How much less that costs for each tight stream that runs there already. Tight streams so gather
on the engines that have most of them, and when there are fewer, the others are left to long prompts
again; spread over all engines, they kept long prompts from every one."""

RUN_COST = 0.0002
"""Cost of each request that runs there already: a step takes a little longer with each."""

TRIAL_RUN_COST = 1.0
"""The same for a request under which upstreams ended: each run beside it may be lost with it."""

OTHER_ZONE_COST = 0.002
"""Cost of an upstream in another data centre: its links are slower and their bytes are paid for."""

FAILURE_COST = 1.0
"""Cost of an upstream that fails all its runs; one that fails a part costs that part of it."""

LONG_READ_MS = 50.0
"""Reading that delays streams noticeably, in milliseconds: more than a chunk and a half."""

NO_TARGET_MS = 1000.0
"""Target that is assumed for requests whose route declares none, in milliseconds."""

EASY_SHARE = 0.5
"""Share of a target up to which waiting does little harm; predictions are off by up to a half."""

EASY_COST = 0.1
"""Cost of waiting for that share: enough that requests spread over engines that are equal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Describe how the engines of a service read.

    Attributes:
        tokens_per_ms: Prompt tokens read in a millisecond.
        pause_ms: The longest pause in a stream while prompts are read beside it: an event's
            tokens, each in a step that reads a chunk.
        event_ms: The pause while nothing is read.
    """

    tokens_per_ms: float
    pause_ms: float
    event_ms: float = 0.0

    @property
    def tight_ms(self) -> float:
        """Return the allowed pause up to which streams can be made late by reading."""
        return self.pause_ms / TIGHT_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Describe the engine that holds most of a prompt.

    Attributes:
        address: Where others fetch it from; empty if they can't.
        tokens: How much of the prompt it holds, from the beginning.
        ms_per_token: How long fetching takes.
    """

    address: str = ""
    tokens: int = 0
    ms_per_token: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """Hold what is the same for all upstreams that are compared for a request.

    Attributes:
        reading: How the service's engines read.
        held_elsewhere: Parts of the prompt that some engine has read lately.
        holder: The engine that holds most of the prompt.
        prompt_tokens: The tokens of the whole prompt.
        waited_ms: How long the request has waited already.
        now: The time in seconds.
    """

    reading: Reading
    held_elsewhere: frozenset[str]
    holder: Holder
    prompt_tokens: int
    waited_ms: float
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what placing a request on one upstream would cost.

    Attributes:
        total: The sum that upstreams are compared by, in requests made late.
        harm: The share of it that falls on streams that run there.
        wait_ms: Reading placed there before, which the request waits for.
        rest_ms: Time for which streams there are to be left without long reading.
        read_ms: The request's own reading, with what it fetches before.
        read_tokens: What it reads, in tokens.
        fetch_from: Address of the engine that the beginning is fetched from; empty for none.
        again_tokens: What of it another engine holds.
        pending_tokens: What the engine is reading for another request, and would read once more
            for this one if it started before that is done.
    """

    total: float
    harm: float
    wait_ms: float
    rest_ms: float
    read_ms: float
    read_tokens: int
    fetch_from: str = ""
    again_tokens: int = 0
    pending_tokens: int = 0


def cost(
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    given: Surroundings,
) -> Cost:
    """Return what the request would cost on this upstream."""
    reading = given.reading
    cached_tokens = load.cache.cached_tokens(request.parts)
    fetched_tokens = _fetched_tokens(cached_tokens, given.holder)
    read_tokens = given.prompt_tokens - cached_tokens - fetched_tokens
    read_ms = read_tokens / reading.tokens_per_ms + fetched_tokens * given.holder.ms_per_token
    wait_ms = load.backlog_ms(given.now)
    rest_ms = load.rest_ms(given.now) if read_ms > LONG_READ_MS else 0.0
    beside_ms = load.beside_ms(given.now) + read_ms
    harm = _harm(load, min(beside_ms + reading.event_ms, reading.pause_ms))
    total = harm + lateness(given.waited_ms + wait_ms + rest_ms + read_ms, request.target_ms)
    total += READ_COST * read_ms
    again_tokens = 0
    if fetched_tokens:
        total += FETCH_COST * fetched_tokens
    else:
        again_tokens = load.cache.missing_tokens(request.parts, given.held_elsewhere)
        total += REREAD_COST * again_tokens
    if 0 < request.gap_ms <= reading.tight_ms:
        total += max(0.0, APART_COST - GATHER_COST * load.tight_streams(reading.tight_ms))
    total += (TRIAL_RUN_COST if request.trial_key else RUN_COST) * len(load.run_by_ticket)
    total += FAILURE_COST * load.failed_share
    if request.zone != load.announcement.zone:
        total += OTHER_ZONE_COST
    fetch_from = given.holder.address if fetched_tokens else ""
    pending_tokens = cached_tokens - load.readable_tokens(request.parts)
    return Cost(
        total,
        harm,
        wait_ms,
        rest_ms,
        read_ms,
        read_tokens,
        fetch_from,
        again_tokens,
        pending_tokens,
    )


def _fetched_tokens(cached_tokens: int, holder: Holder) -> int:
    """Return how much of a prompt is fetched by an engine that holds a part of it itself."""
    if not holder.address or holder.tokens - cached_tokens < LEAST_FETCH_TOKENS:
        return 0
    return holder.tokens - cached_tokens


def lateness(after_ms: float, target_ms: float) -> float:
    """Return how late a request is that begins after a time: 1 at its target, little before."""
    share = after_ms / (target_ms or NO_TARGET_MS)
    if share <= EASY_SHARE:
        return EASY_COST * share / EASY_SHARE
    if share <= 1.0:
        return EASY_COST + (1.0 - EASY_COST) * (share - EASY_SHARE) / (1.0 - EASY_SHARE)
    return 1.0 + EASY_COST * (share - 1.0)


def _harm(load: upstream_load.UpstreamLoad, pause_ms: float) -> float:
    """Return how many of the streams there a pause would make late."""
    harm = 0.0
    for gap_ms, count in load.streams_by_gap_ms.items():
        excess = (pause_ms / gap_ms - SAFE_SHARE) / (FULL_SHARE - SAFE_SHARE)
        harm += count * min(1.0, max(0.0, excess))
    return harm
