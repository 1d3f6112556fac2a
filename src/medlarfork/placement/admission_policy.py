"""Decide whether a request starts now, is queued, or is refused. Pure: arithmetic only.

It handles more long prompts than the engines can prefill. If all were sent immediately, they would
be prefilled side by side: every step then takes as long as prefilling a chunk, streams run at an
eighth of their speed, slots fill up, and even the shortest request waits for seconds. Queued at the
owner, they start in the order of their tiers, each when its engine can prefill it immediately.
Those that can't start in time are refused while a retry is still useful.
"""

from __future__ import annotations

from medlarfork.placement import placement_cost, placement_messages

MIN_RETRY_MS = 200.0
"""Shortest retry delay of a refused caller, in milliseconds: two round trips and the release of
a slot."""

RETRY_SHARE = 0.3
"""Retry delay of a refused request as a share of its caller's remaining time: callers wait no
more than a third of it, and need the rest for the retry."""

PREFILL_SHARE = 0.9
"""Share of an engine's time that is given to prefill. Streams advance by about one token per
chunk during prefill and at full speed in the remaining time, without which the longest would not
end before their callers' deadlines."""

MAX_BACKLOG_MS = 250.0
"""Prefill backlog of an engine up to which another long prompt is sent there, in milliseconds.
It keeps the engine busy for the few milliseconds in which an answer and the next request are in
transit."""

MAX_SHORT_BACKLOG_MS = 400.0
"""The same for short prompts, in milliseconds: engines prefill the more urgent of them first."""

MAX_EARLY_HARM = 0.3
"""Harm to streams, in late requests, that a request does not wait to avoid."""

MAX_LATE_HARM = 3.0
"""The same for a request that can't wait longer: about the value of a long prompt compared with
a short stream. A refused request gets nothing, while a harmed stream is still served, late."""

HOPELESS_SHARE = 0.95
"""A long prompt is refused if its predicted wait exceeds this share of the time until its latest
useful start. Predictions are too imprecise to refuse earlier what might still be served."""

OVERTAKEN_FACTOR = 1.5
"""Factor on the wait of a request that will be late: requests that arrive meanwhile and can
still be on time go first."""

DECODE_SLOWDOWN = 2.0
"""Factor on the time that an answer's tokens take in steps without prefill. In an overload,
prefill takes up to nine tenths of an engine's time, and steps take longer."""

MIN_PENDING_TOKENS = 1000
"""Shared tokens in prefill for which a request waits: recomputing fewer takes less time than one
pass over the queue."""

MAX_WAIT_SHARE = 0.7
"""Share of a request's target up to which it waits for its best engine. The rest is left for
prefill, network latency and prediction errors."""


def slack_ms(
    request: placement_messages.PlaceRequest, prefill_ms: float, waited_ms: float
) -> float:
    """Return how much longer a request can wait for the best upstream, in milliseconds."""
    return MAX_WAIT_SHARE * request.target_ms - waited_ms - prefill_ms


def may_start(cost: placement_cost.Cost, slack: float, *, is_deferrable: bool) -> bool:
    """Decide whether a request starts on the upstream with the lowest cost.

    It waits while its engine has enough prefill backlog, and while its own prefill would make
    streams there late: any stream as long as its target allows it to wait, and after that more
    streams than it is worth itself. A request that is not deferrable always starts once it can't
    wait longer.

    Args:
        cost: The cost of starting.
        slack: How much longer it can wait, in milliseconds.
        is_deferrable: Whether no kind of request of the service has a longer target.
    """
    is_long = cost.prefill_ms > placement_cost.LONG_PREFILL_MS
    if not is_deferrable and slack <= 0:
        return True
    max_backlog_ms = MAX_BACKLOG_MS if is_long else MAX_SHORT_BACKLOG_MS
    if cost.backlog_ms + cost.cooldown_ms > max_backlog_ms:
        return False
    return cost.harm <= (MAX_EARLY_HARM if slack > 0 else MAX_LATE_HARM)


def awaits_shared_prefill(cost: placement_cost.Cost, slack: float) -> bool:
    """Decide whether a request waits until its engine has computed a prefix shared with another.

    Started together, both would compute it, since an engine holds a segment only after its prefill
    has ended. Waiting takes as long as the prefill ahead, which delays the request anyway.

    Args:
        cost: The cost of starting now.
        slack: How much longer it can wait, in milliseconds.
    """
    return slack > 0 and cost.pending_tokens > MIN_PENDING_TOKENS


def prefill_cooldown_ms(prefill_ms: float) -> float:
    """Return how long streams run without long prefill after a prompt was prefilled."""
    if prefill_ms <= placement_cost.LONG_PREFILL_MS:
        return 0.0
    return prefill_ms * (1.0 / PREFILL_SHARE - 1.0)


def decode_ms(request: placement_messages.PlaceRequest, step_ms: float) -> float:
    """Return how long a stream takes after its first event in an overload, in milliseconds."""
    return DECODE_SLOWDOWN * step_ms * request.output_tokens


def is_hopeless(
    request: placement_messages.PlaceRequest,
    predicted_wait_ms: float,
    prefill_ms: float,
    decode_ms: float = 0.0,
) -> bool:
    """Decide whether a new request would wait too long to be of use.

    That is beyond its target, and beyond the time at which it has to start to end before its caller
    gives up: a late answer is worth less than one on time, and more than none.

    Call it only for deferrable requests: refusing a request while less urgent ones start would
    invert the priorities, and save little. The request's own prefill does not count; otherwise the
    largest prompts would be refused at waits at which others are admitted, and would hardly ever be
    served.
    """
    if request.target_ms <= 0 or prefill_ms <= placement_cost.LONG_PREFILL_MS:
        return False
    allowed_ms = max(request.target_ms, min(request.left_ms - decode_ms, request.max_wait_ms))
    return predicted_wait_ms > HOPELESS_SHARE * allowed_ms


def overloaded_retry_ms(request: placement_messages.PlaceRequest) -> float:
    """Return the retry delay after the longest possible wait: the overload lasts as long again."""
    return max(MIN_RETRY_MS, min(request.max_wait_ms, RETRY_SHARE * request.left_ms))


def retry_after_ms(request: placement_messages.PlaceRequest, predicted_wait_ms: float) -> float:
    """Return the retry delay after which the queue has drained to half of the target.

    It is at least the target: a caller that retries earlier meets the same queue that it was
    refused for, and has used up its second attempt.
    """
    return max(predicted_wait_ms - request.target_ms / 2.0, request.target_ms)
