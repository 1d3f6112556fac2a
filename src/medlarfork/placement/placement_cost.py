"""Compare the upstreams that could run a request by cost. Pure: arithmetic only.

The unit of all costs is one late request, so that different harms can be added up.

It handles long prompts beside streams whose callers expect short inter-event gaps. While an engine
prefills a prompt, each of its steps takes as long as one prefill chunk, so the gap between two
events of a stream grows to the event's tokens times that. Streams that this would make late are
gathered on few engines, and long prompts are kept away from these. Prompt segments that an engine
holds need no prefill. Recomputing a prefix that another engine holds is the most expensive waste,
so requests with the same affinity key stay together as long as waiting there makes none of them
late.
"""

from __future__ import annotations

import dataclasses

from medlarfork.placement import placement_messages, upstream_load

RECOMPUTE_COST = 0.0002
"""Cost of each token that is prefilled although another engine holds it, against 1 for a late
request: prefill takes engine time from all queued requests."""

FETCH_COST = 0.00002
"""Cost of each token fetched from another engine: far less than recomputing it, but it occupies
both links."""

MIN_FETCH_TOKENS = 300
"""Fewest tokens that are fetched; for less, asking another engine takes longer than prefill."""

PREFILL_COST = 0.0005
"""Cost of each millisecond of a request's own prefill, which delays later requests. A long
prompt costs a tenth of a late request, so prefix cache hits decide between otherwise equal
engines."""

TIGHT_GAP_SHARE = 0.9
"""A stream is tight if the longest gap during prefill reaches this share of its allowed gap. The
longest gap comes from the estimated prefill rate, which already includes attention cost and
slower engines."""

SAFE_GAP_SHARE = 0.75
"""Share of a stream's allowed gap that predicted prefill may fill without harm: the rate is
estimated to within a tenth, and prompts that arrive meanwhile may be prefilled together with
this one."""

LATE_GAP_SHARE = 0.95
"""Share of the allowed gap from which a stream counts as late. The range from ``SAFE_GAP_SHARE``
is short, so that prompts that make no stream late are not held."""

FIRST_TIGHT_STREAM_COST = 0.6
"""Cost of placing the first tight stream on an engine, which long prompts must then avoid."""

TIGHT_STREAM_DISCOUNT = 0.03
"""Reduction of that cost for each tight stream that already runs there. So tight streams gather
on the engines with the most of them, and once there are fewer, the other engines are free for
long prompts again; spread over all engines, tight streams kept long prompts from every one."""

OWN_GAP_COST = 1.0
"""Cost of placing a stream where its own gaps would be too long: that of a late request."""

RUNNING_REQUEST_COST = 0.0002
"""Cost of each request that already runs on the upstream: each one slows the engine's steps a
little."""

TRIAL_NEIGHBOUR_COST = 1.0
"""The same for a crash-inducing request on trial: each request beside it may be lost with it."""

OTHER_DATA_CENTRE_COST = 0.002
"""Cost of an upstream in another data centre: those links are slower and their traffic is
billed."""

FAILURE_COST = 1.0
"""Cost of an upstream that fails all its runs; one that fails some of them costs that share."""

LONG_PREFILL_MS = 50.0
"""Prefill time that delays streams noticeably, in milliseconds: more than one and a half chunks."""

DEFAULT_TARGET_MS = 1000.0
"""Target assumed for requests whose route declares none, in milliseconds."""

MILD_WAIT_SHARE = 0.5
"""Share of the target up to which waiting costs little; predictions are off by up to a half."""

MILD_WAIT_COST = 0.1
"""Cost of waiting for that share: enough to spread requests over otherwise equal engines."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillModel:
    """Prefill rate and inter-event gaps of a service's engines.

    Attributes:
        tokens_per_ms: Prompt tokens prefilled per millisecond.
        max_gap_ms: The longest gap of a stream during prefill, in milliseconds: each token of the
            event is produced in a step that also prefills a chunk.
        idle_gap_ms: The gap without concurrent prefill, in milliseconds.
    """

    tokens_per_ms: float
    max_gap_ms: float
    idle_gap_ms: float = 0.0

    @property
    def tight_gap_ms(self) -> float:
        """Return the allowed gap up to which streams can be made late by prefill."""
        return self.max_gap_ms / TIGHT_GAP_SHARE

    def scaled(self, gap_time: float) -> PrefillModel:
        """Return the model of an upstream whose gaps take so many times as long."""
        return PrefillModel(
            self.tokens_per_ms, self.max_gap_ms * gap_time, self.idle_gap_ms * gap_time
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RelativeTime:
    """How much longer work takes on one upstream than is usual in its service.

    Attributes:
        prefill: The same for prefill that starts now.
        gap: The same for the gaps of streams, in the slow moments that they are planned for.
        moment: How much longer work takes in these moments than now.
        unknown_runs: Runs there that the owner does not know of.
    """

    prefill: float
    gap: float
    moment: float = 1.0
    unknown_runs: float = 0.0


USUAL_TIME = RelativeTime(1.0, 1.0)
"""The relative time of upstreams whose machines are not known to be shared."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSource:
    """The engine that holds the longest prefix of a prompt.

    Attributes:
        address: Where other engines fetch the prefix from; empty if they can't.
        tokens: Length of the prefix it holds.
        ms_per_token: Fetch time per token, in milliseconds.
    """

    address: str = ""
    tokens: int = 0
    ms_per_token: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CostInputs:
    """Inputs that are the same for all upstreams compared for one request.

    Attributes:
        prefill_model: Prefill rate and gaps of the service's engines.
        cached_elsewhere: Prompt segments that some engine computed recently.
        prefix_source: The engine that holds the longest prefix of the prompt.
        prompt_tokens: Length of the prompt.
        waited_ms: How long the request has been queued.
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
    """The cost of placing a request on one upstream.

    Attributes:
        total: The sum that upstreams are compared by, in late requests.
        harm: The part of it due to streams that run there.
        backlog_ms: Prefill backlog that the request waits for, in milliseconds.
        cooldown_ms: Time during which the streams there are to run without long prefill.
        prefill_ms: The request's own prefill, including fetching.
        prefill_tokens: Uncached tokens that it prefills.
        fetch_from: Address of the engine that the prefix is fetched from; empty for none.
        recomputed_tokens: Those of the prefilled tokens that another engine holds.
        pending_tokens: Tokens that the engine is prefilling for another request, and would compute
            twice if this one started before that is done.
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
    relative: RelativeTime | None = None,
) -> Cost:
    """Return the cost of placing the request on this upstream.

    Args:
        load: The upstream.
        request: The placement request.
        inputs: What is the same for all upstreams.
        relative: The upstream's relative time; None if the machines are not known to be shared.
    """
    time = relative or USUAL_TIME
    prefill_model = inputs.prefill_model.scaled(time.gap) if relative else inputs.prefill_model
    cached_tokens = load.cache.cached_tokens(request.parts)
    fetched_tokens = _fetched_tokens(cached_tokens, inputs.prefix_source)
    prefill_tokens = inputs.prompt_tokens - cached_tokens - fetched_tokens
    prefill_ms = (
        prefill_tokens / prefill_model.tokens_per_ms * time.prefill
        + fetched_tokens * inputs.prefix_source.ms_per_token
    )
    backlog_ms = load.backlog_ms(inputs.now)
    cooldown_ms = load.cooldown_ms(inputs.now) if prefill_ms > LONG_PREFILL_MS else 0.0
    earlier_prefill_ms = load.concurrent_prefill_ms(inputs.now)
    concurrent_prefill_ms = (earlier_prefill_ms + prefill_ms) * time.moment
    harm = _harm(
        load, min(concurrent_prefill_ms + prefill_model.idle_gap_ms, prefill_model.max_gap_ms)
    )
    total = harm + lateness_cost(
        inputs.waited_ms + backlog_ms + cooldown_ms + prefill_ms, request.target_ms
    )
    total += PREFILL_COST * prefill_ms
    recomputed_tokens = 0
    if not fetched_tokens:
        recomputed_tokens = load.cache.recomputed_tokens(request.parts, inputs.cached_elsewhere)
    total += FETCH_COST * fetched_tokens + RECOMPUTE_COST * recomputed_tokens
    total += _tight_stream_cost(load, request, prefill_model)
    if relative and request.gap_ms > 0:
        own_gap_ms = earlier_prefill_ms * time.moment + prefill_model.idle_gap_ms
        total += OWN_GAP_COST * _late_share(
            min(own_gap_ms, prefill_model.max_gap_ms), request.gap_ms
        )
    total = _add_sharing_cost(total, load, request, time.unknown_runs)
    fetch_from = inputs.prefix_source.address if fetched_tokens else ""
    pending_tokens = cached_tokens - load.fetchable_tokens(request.parts)
    figures = (backlog_ms, cooldown_ms, prefill_ms, prefill_tokens, fetch_from, recomputed_tokens)
    return Cost(total, harm, *figures, pending_tokens)


def _tight_stream_cost(
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    prefill_model: PrefillModel,
) -> float:
    """Return the cost of a tight stream, which long prompts must avoid; 0 for other requests."""
    if not 0 < request.gap_ms <= prefill_model.tight_gap_ms:
        return 0.0
    count = load.tight_stream_count(prefill_model.tight_gap_ms)
    return max(0.0, FIRST_TIGHT_STREAM_COST - TIGHT_STREAM_DISCOUNT * count)


def _add_sharing_cost(
    total: float,
    load: upstream_load.UpstreamLoad,
    request: placement_messages.PlaceRequest,
    unknown_runs: float,
) -> float:
    """Add the cost of the upstream's other runs, its failures and its distance."""
    run_cost = TRIAL_NEIGHBOUR_COST if request.trial_key else RUNNING_REQUEST_COST
    total += run_cost * (len(load.run_by_ticket) + unknown_runs)
    total += FAILURE_COST * load.failure_rate
    if request.zone != load.announcement.zone:
        total += OTHER_DATA_CENTRE_COST
    return total


def _fetched_tokens(cached_tokens: int, prefix_source: PrefixSource) -> int:
    """Return how many tokens are fetched, beyond the prefix that the engine itself holds."""
    if not prefix_source.address or prefix_source.tokens - cached_tokens < MIN_FETCH_TOKENS:
        return 0
    return prefix_source.tokens - cached_tokens


def lateness_cost(after_ms: float, target_ms: float) -> float:
    """Return the cost of starting after a time: 1 at the target, and little before it."""
    share = after_ms / (target_ms or DEFAULT_TARGET_MS)
    if share <= MILD_WAIT_SHARE:
        return MILD_WAIT_COST * share / MILD_WAIT_SHARE
    if share <= 1.0:
        return MILD_WAIT_COST + (1.0 - MILD_WAIT_COST) * (share - MILD_WAIT_SHARE) / (
            1.0 - MILD_WAIT_SHARE
        )
    return 1.0 + MILD_WAIT_COST * (share - 1.0)


def _harm(load: upstream_load.UpstreamLoad, max_gap_ms: float) -> float:
    """Return the expected number of streams there that a gap would make late."""
    harm = 0.0
    for gap_ms, count in load.streams_by_gap_ms.items():
        harm += count * _late_share(max_gap_ms, gap_ms)
    return harm


def _late_share(gap_ms: float, allowed_ms: float) -> float:
    """Return the probability that a predicted gap makes a stream late."""
    excess = (gap_ms / allowed_ms - SAFE_GAP_SHARE) / (LATE_GAP_SHARE - SAFE_GAP_SHARE)
    return min(1.0, max(0.0, excess))
