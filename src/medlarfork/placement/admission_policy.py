"""Decide whether a request starts now, waits with the owner, or is refused: pure arithmetic.

The load that this answers: more long prompts than the engines can read. Sent on at once, they would
all be read side by side; every step then takes as long as reading a chunk, streams run at an eighth
of their speed, slots fill, and even the shortest request waits for seconds. Held by the owner, they
start in the order of their tiers, each when its engine can read it at once, and those that can't
begin in time are told so while coming back is still of use.
"""

from __future__ import annotations

from medlarfork.placement import placement_cost, placement_messages

MIN_RETRY_MS = 200.0
"""Least time that a refused caller is told to wait: two round trips and a slot that frees."""

RETRY_SHARE = 0.3
"""Share of the time that its caller has in which one that is refused is asked to come back: callers
heed no more than a third of it, and need the rest."""

PREFILL_SHARE = 0.9
"""Share of an engine's time that reading is given. Streams advance by about one token a chunk
while it reads, and at their full speed in the rest, without which the longest would not end within
their callers' time."""

MAX_BACKLOG_MS = 250.0
"""Reading that may be under way at an engine when another prompt is sent there: enough that it
never idles for the way of an answer and the next question, which is a few milliseconds."""

MAX_SHORT_BACKLOG_MS = 400.0
"""The same for short prompts, in milliseconds: engines read the more urgent of them first."""

MAX_EARLY_HARM = 0.3
"""Harm to streams, in requests made late, that a request does not wait to avoid."""

MAX_LATE_HARM = 3.0
"""The same once it can't wait any more: about what a long prompt is worth beside a short stream.
Who is refused has nothing, and those who are harmed still get their answer, late."""

HOPELESS_SHARE = 0.95
"""A long prompt is refused if it is foreseen to wait beyond this share of the time until it has to
begin; predictions are too rough to refuse sooner what might still be served."""

OVERTAKEN_FACTOR = 1.5
"""Factor on the wait of a request that will be late: those that can still be on time, and come
meanwhile, go before it."""

DECODE_SLOWDOWN = 2.0
"""Factor on the time that an answer's tokens take in steps without reading: beside reading, which
has up to nine tenths of an engine's time in an overload, they take longer."""

MIN_PENDING_TOKENS = 1000
"""Shared tokens under reading for which a request waits: fewer are read again in less time than a
look at those that wait takes."""

MAX_WAIT_SHARE = 0.7
"""Share of a request's target up to which it waits for the engine that suits it best; the rest is
kept for reading, the way, and errors of the prediction."""


def slack_ms(
    request: placement_messages.PlaceRequest, prefill_ms: float, waited_ms: float
) -> float:
    """Return how much longer a request can wait for the best upstream, in milliseconds."""
    return MAX_WAIT_SHARE * request.target_ms - waited_ms - prefill_ms


def may_start(cost: placement_cost.Cost, slack: float, *, is_deferrable: bool) -> bool:
    """Say whether a request starts on the upstream that costs it least.

    It waits while its engine has reading enough, and while its own reading would make streams there
    late: any of them as long as its target allows to wait, and later more than itself counts. A
    request that does not yield always starts once it can't wait any more.

    Args:
        cost: What starting would cost.
        slack: How much longer it can wait, in milliseconds.
        is_deferrable: Whether its target is the longest of the service's: its kind gives way to others.
    """
    is_long = cost.prefill_ms > placement_cost.LONG_PREFILL_MS
    if not is_deferrable and slack <= 0:
        return True
    most_ms = MAX_BACKLOG_MS if is_long else MAX_SHORT_BACKLOG_MS
    if cost.backlog_ms + cost.cooldown_ms > most_ms:
        return False
    return cost.harm <= (MAX_EARLY_HARM if slack > 0 else MAX_LATE_HARM)


def awaits_shared_prefill(cost: placement_cost.Cost, slack: float) -> bool:
    """Say whether a request waits until its engine has read what it shares with another one.

    Started together, both would read it: an engine holds a part only once it was read to its end.
    That takes as long as the reading ahead, which the request would wait for anyway.

    Args:
        cost: What starting now would cost.
        slack: How much longer it can wait, in milliseconds.
    """
    return slack > 0 and cost.pending_tokens > MIN_PENDING_TOKENS


def prefill_cooldown_ms(prefill_ms: float) -> float:
    """Return how long streams are left without long reading after a prompt was read."""
    if prefill_ms <= placement_cost.LONG_PREFILL_MS:
        return 0.0
    return prefill_ms * (1.0 / PREFILL_SHARE - 1.0)


def decode_ms(request: placement_messages.PlaceRequest, step_ms: float) -> float:
    """Return how long a stream takes after its first event, in an overload, in milliseconds."""
    return DECODE_SLOWDOWN * step_ms * request.output_tokens


def is_hopeless(
    request: placement_messages.PlaceRequest,
    predicted_wait_ms: float,
    prefill_ms: float,
    decode_ms: float = 0.0,
) -> bool:
    """Say whether a request that has just come would wait too long to be of use.

    That is beyond its target, and beyond the time at which it has to begin to end before its caller
    gives up: late is worth less than on time, and more than never.

    Ask it only of requests that yield: refusing one while longer ones begin would turn the order of
    what is urgent around, and save little. Its own reading does not count: the largest prompts
    would be refused at waits that others are let through with, and hardly ever be served.
    """
    if request.target_ms <= 0 or prefill_ms <= placement_cost.LONG_PREFILL_MS:
        return False
    allowed_ms = max(request.target_ms, min(request.left_ms - decode_ms, request.max_wait_ms))
    return predicted_wait_ms > HOPELESS_SHARE * allowed_ms


def overloaded_retry_ms(request: placement_messages.PlaceRequest) -> float:
    """Return when one comes back that waited as long as it could: what held it up lasts as long."""
    return max(MIN_RETRY_MS, min(request.max_wait_ms, RETRY_SHARE * request.left_ms))


def retry_after_ms(request: placement_messages.PlaceRequest, predicted_wait_ms: float) -> float:
    """Return when coming back is of use: once the queue has drained to half of the target.

    That is a target from now at least: a caller that comes back sooner meets the same line that it
    was refused for, and has spent its second try.
    """
    return max(predicted_wait_ms - request.target_ms / 2.0, request.target_ms)
