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

RECOMPUTE_COST = 0.0002
"""Cost of each token that is read again though another engine holds it, against 1 for a late
request: reading takes an engine's time from all that wait."""

FETCH_COST = 0.00002
"""Cost of each token that is fetched from another engine: far less than reading it again, but it
keeps both links busy."""

MIN_FETCH_TOKENS = 300
"""Fewest tokens that are fetched: for less, asking another engine takes longer than reading."""

PREFILL_COST = 0.0005
"""Cost of each millisecond of a request's own reading, which delays the ones after it: a long
prompt's counts a tenth of a late request, so cached parts decide between engines that are equal."""

TIGHT_GAP_SHARE = 0.9
"""Share of a stream's allowed pause from which the longest pause beside reading makes it tight. The
longest pause is reckoned from the learnt rate of reading, which already holds attention and
slower engines."""

SAFE_GAP_SHARE = 0.75
"""Share of a stream's allowed pause that foreseen reading may fill unharmed: the rate is learnt to
a tenth, and a prompt may be read with others that come meanwhile."""

LATE_GAP_SHARE = 0.95
"""Share from which a stream counts as late. The way in between is short, so that prompts that make
nobody late are not held."""

FIRST_TIGHT_STREAM_COST = 0.6
"""Cost of bringing the first tight stream to an engine, which long prompts then have to avoid."""

TIGHT_STREAM_DISCOUNT = 0.03
"""How much less that costs for each tight stream that runs there already. Tight streams so gather
on the engines that have most of them, and when there are fewer, the others are left to long prompts
again; spread over all engines, they kept long prompts from every one."""

RUNNING_REQUEST_COST = 0.0002
"""Cost of each request that runs there already: a step takes a little longer with each."""

TRIAL_NEIGHBOUR_COST = 1.0
"""The same for a request under which upstreams ended: each run beside it may be lost with it."""

OTHER_DATA_CENTRE_COST = 0.002
"""Cost of an upstream in another data centre: its links are slower and their bytes are paid for."""

FAILURE_COST = 1.0
"""Cost of an upstream that fails all its runs; one that fails a part costs that part of it."""

LONG_PREFILL_MS = 50.0
"""Reading that delays streams noticeably, in milliseconds: more than a chunk and a half."""

DEFAULT_TARGET_MS = 1000.0
"""Target that is assumed for requests whose route declares none, in milliseconds."""

MILD_WAIT_SHARE = 0.5
"""Share of a target up to which waiting does little harm; predictions are off by up to a half."""

MILD_WAIT_COST = 0.1
"""Cost of waiting for that share: enough that requests spread over engines that are equal."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillModel:
    """Describe how the engines of a service read.

    Attributes:
        tokens_per_ms: Prompt tokens read in a millisecond.
        max_gap_ms: The longest pause in a stream while prompts are read beside it: an event's
            tokens, each in a step that reads a chunk.
        idle_gap_ms: The pause while nothing is read.
    """

    tokens_per_ms: float
    max_gap_ms: float
    idle_gap_ms: float = 0.0

    @property
    def tight_gap_ms(self) -> float:
        """Return the allowed pause up to which streams can be made late by reading."""
        return self.max_gap_ms / TIGHT_GAP_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSource:
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
class CostInputs:
    """Hold what is the same for all upstreams that are compared for a request.

    Attributes:
        prefill_model: How the service's engines read.
        cached_elsewhere: Parts of the prompt that some engine has read lately.
        prefix_source: The engine that holds most of the prompt.
        prompt_tokens: The tokens of the whole prompt.
        waited_ms: How long the request has waited already.
        now: The time in seconds.
    """

    prefill_model: PrefillModel
    cached_elsewhere: frozenset[str]
    prefix_source: PrefixSource
    prompt_tokens: int
    waited_ms: float
    now: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what placing a request on one upstream would cost.

    Attributes:
        total: The sum that upstreams are compared by, in requests made late.
        harm: The share of it that falls on streams that run there.
        backlog_ms: Reading placed there before, which the request waits for.
        cooldown_ms: Time for which streams there are to be left without long reading.
        prefill_ms: The request's own reading, with what it fetches before.
        prefill_tokens: What it reads, in tokens.
        fetch_from: Address of the engine that the beginning is fetched from; empty for none.
        recomputed_tokens: What of it another engine holds.
        pending_tokens: What the engine is reading for another request, and would read once more
            for this one if it started before that is done.
    """

    total: float
    harm: float
    backlog_ms: float
    cooldown_ms: float
    prefill_ms: float
    prefill_tokens: int
    fetch_from: str = ""
    recomputed_tokens: int = 0
    pending_tokens: int = 0


def cost(
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    inputs: CostInputs,
) -> Cost:
    """Return what the request would cost on this upstream."""
    prefill_model = inputs.prefill_model
    cached_tokens = load.cache.cached_tokens(request.parts)
    fetched_tokens = _fetched_tokens(cached_tokens, inputs.prefix_source)
    prefill_tokens = inputs.prompt_tokens - cached_tokens - fetched_tokens
    prefill_ms = (
        prefill_tokens / prefill_model.tokens_per_ms
        + fetched_tokens * inputs.prefix_source.ms_per_token
    )
    backlog_ms = load.backlog_ms(inputs.now)
    cooldown_ms = load.cooldown_ms(inputs.now) if prefill_ms > LONG_PREFILL_MS else 0.0
    concurrent_prefill_ms = load.concurrent_prefill_ms(inputs.now) + prefill_ms
    harm = _harm(
        load, min(concurrent_prefill_ms + prefill_model.idle_gap_ms, prefill_model.max_gap_ms)
    )
    total = harm + lateness_cost(
        inputs.waited_ms + backlog_ms + cooldown_ms + prefill_ms, request.target_ms
    )
    total += PREFILL_COST * prefill_ms
    recomputed_tokens = 0
    if fetched_tokens:
        total += FETCH_COST * fetched_tokens
    else:
        recomputed_tokens = load.cache.recomputed_tokens(request.parts, inputs.cached_elsewhere)
        total += RECOMPUTE_COST * recomputed_tokens
    if 0 < request.gap_ms <= prefill_model.tight_gap_ms:
        total += max(
            0.0,
            FIRST_TIGHT_STREAM_COST
            - TIGHT_STREAM_DISCOUNT * load.tight_stream_count(prefill_model.tight_gap_ms),
        )
    total += (TRIAL_NEIGHBOUR_COST if request.trial_key else RUNNING_REQUEST_COST) * len(
        load.run_by_ticket
    )
    total += FAILURE_COST * load.failure_rate
    if request.zone != load.announcement.zone:
        total += OTHER_DATA_CENTRE_COST
    fetch_from = inputs.prefix_source.address if fetched_tokens else ""
    pending_tokens = cached_tokens - load.fetchable_tokens(request.parts)
    return Cost(
        total,
        harm,
        backlog_ms,
        cooldown_ms,
        prefill_ms,
        prefill_tokens,
        fetch_from,
        recomputed_tokens,
        pending_tokens,
    )


def _fetched_tokens(cached_tokens: int, prefix_source: PrefixSource) -> int:
    """Return how much of a prompt is fetched by an engine that holds a part of it itself."""
    if not prefix_source.address or prefix_source.tokens - cached_tokens < MIN_FETCH_TOKENS:
        return 0
    return prefix_source.tokens - cached_tokens


def lateness_cost(after_ms: float, target_ms: float) -> float:
    """Return how late a request is that begins after a time: 1 at its target, little before."""
    share = after_ms / (target_ms or DEFAULT_TARGET_MS)
    if share <= MILD_WAIT_SHARE:
        return MILD_WAIT_COST * share / MILD_WAIT_SHARE
    if share <= 1.0:
        return MILD_WAIT_COST + (1.0 - MILD_WAIT_COST) * (share - MILD_WAIT_SHARE) / (
            1.0 - MILD_WAIT_SHARE
        )
    return 1.0 + MILD_WAIT_COST * (share - 1.0)


def _harm(load: upstream_load.UpstreamLoad, max_gap_ms: float) -> float:
    """Return how many of the streams there a pause would make late."""
    harm = 0.0
    for gap_ms, count in load.streams_by_gap_ms.items():
        excess = (max_gap_ms / gap_ms - SAFE_GAP_SHARE) / (LATE_GAP_SHARE - SAFE_GAP_SHARE)
        harm += count * min(1.0, max(0.0, excess))
    return harm
