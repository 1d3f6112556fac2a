"""Parses the request metadata in a caller's headers, and builds the headers for the upstream."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork import errors
from medlarfork.gateway import request_header_names
from medlarfork.http import _http_messages
from medlarfork.placement import placement_messages
from medlarfork.resumption import stream_origin

LOWEST_RANK = 9
"""Upstreams know the ranks 0 to 9, 0 being the most urgent; lower ranks are clamped to 9."""

MAX_HINT_DIGITS = 9
"""Maximum number of digits of an estimated number of output tokens."""

RANK_TARGET_BOUNDS_MS = (350.0, 1000.0)
"""First-event targets that divide a tier into ranks, in milliseconds: within a tier, upstreams
prefill requests with a shorter target first."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller states about its request.

    Attributes:
        attempt_id: The caller's id of this attempt; empty if it gave none.
        deadline_ms: How long the caller waits, in milliseconds; None if it gave no deadline.
        api_key: Its API key; empty if it gave none.
        last_event_id: The last event that it has received; empty for none.
        resumes: Its attempt that brought the stream's first event; empty if it named none.
        prompt_segments: The prefix segments of its prompt.
        output_tokens: Maximum number of output tokens; 0 if it gave none.
        hinted_tokens: Its estimate of the number of output tokens; 0 if it gave none.
    """

    attempt_id: str
    deadline_ms: float | None
    api_key: str
    last_event_id: str
    resumes: str
    prompt_segments: tuple[placement_messages.PromptSegment, ...]
    output_tokens: int
    hinted_tokens: int = 0

    @property
    def expected_tokens(self) -> int:
        """Return how many output tokens the caller expects, or allows; 0 if it states neither."""
        stated = [tokens for tokens in (self.hinted_tokens, self.output_tokens) if tokens]
        return min(stated, default=0)


def parse(
    headers: Mapping[str, str], names: request_header_names.RequestHeaderNames
) -> RequestMetadata:
    """Parse the headers of a request.

    Raises:
        errors.RequestRefusedError: A header that placement depends on is malformed.
    """
    scheme, _, api_key = headers.get("authorization", "").partition(" ")
    return RequestMetadata(
        attempt_id=headers.get(names.attempt_id, ""),
        deadline_ms=_deadline(headers.get(names.deadline_ms)),
        api_key=api_key.strip() if scheme.lower() == names.key_scheme.lower() else "",
        last_event_id=headers.get(names.last_event_id, ""),
        resumes=headers.get(names.resumes, ""),
        prompt_segments=_prompt_segments(headers.get(names.prompt_parts, "")),
        output_tokens=_output_tokens(headers.get(names.token_usage, "")),
        hinted_tokens=_hinted_tokens(headers.get(names.length_hint, "")),
    )


def upstream_headers(
    headers: Mapping[str, str],
    names: request_header_names.RequestHeaderNames,
    *,
    upstream_id: str,
    left_ms: float,
    account: str,
    tier: int,
    target_ms: float,
    last_event_id: str,
    fetch_from: str = "",
) -> dict[str, str]:
    """Return the headers for the upstream: the caller's, and those that the system sets."""
    dropped = names.set_by_system | _http_messages.HOP_BY_HOP_HEADERS
    sent = {name: value for name, value in headers.items() if name not in dropped}
    sent[names.expected_upstream] = upstream_id
    sent[names.deadline_ms] = str(max(1, int(left_ms)))
    sent[names.tier] = str(upstream_rank(tier, target_ms))
    if account:
        sent[names.account] = account
    if fetch_from:
        sent[names.fetch_from] = fetch_from
    if last_event_id:
        sent[names.last_event_id] = last_event_id
    return sent


def relay_headers(
    headers: Mapping[str, str],
    names: request_header_names.RequestHeaderNames,
    *,
    left_ms: float,
    last_event_id: str,
    origin: stream_origin.StreamOrigin | None,
    runs: int,
) -> dict[str, str]:
    """Return the headers for another entry host: the caller's, with its API key."""
    sent = {
        name: value
        for name, value in headers.items()
        if name not in _http_messages.HOP_BY_HOP_HEADERS
    }
    sent[names.deadline_ms] = str(max(1, int(left_ms)))
    sent[names.relayed] = str(runs)
    if origin is not None:
        sent[names.origin] = origin.to_header()
    if last_event_id:
        sent[names.last_event_id] = last_event_id
    return sent


def prior_runs(headers: Mapping[str, str], names: request_header_names.RequestHeaderNames) -> int:
    """Return how many attempts of a forwarded request may have run before."""
    value = headers.get(names.relayed, "0")
    return int(value) if value.isascii() and value.isdigit() and len(value) < 4 else 0


def upstream_rank(tier: int, target_ms: float) -> int:
    """Return the request's rank at the upstream: by tier, and within it by target."""
    within = sum(target_ms > bound for bound in RANK_TARGET_BOUNDS_MS)
    return min(max(tier, 0) * (len(RANK_TARGET_BOUNDS_MS) + 1) + within, LOWEST_RANK)


def _deadline(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError as error:
        raise _invalid_header("deadline", value) from error
    if not 0 < deadline_ms < float("inf"):
        raise _invalid_header("deadline", value)
    return deadline_ms


def _prompt_segments(value: str) -> tuple[placement_messages.PromptSegment, ...]:
    prompt_segments: list[placement_messages.PromptSegment] = []
    for item in value.split(","):
        segment_id, _, tokens = item.strip().partition(":")
        if segment_id and tokens.isascii() and tokens.isdigit():
            prompt_segments.append(placement_messages.PromptSegment(segment_id, int(tokens)))
        elif item.strip():
            raise _invalid_header("list of prompt segments", value)
    return tuple(prompt_segments)


def _output_tokens(value: str) -> int:
    """Return the maximum number of output tokens; 0 if the caller gave none."""
    if not value:
        return 0
    last = value.rpartition(",")[2].strip()
    if not (last.isascii() and last.isdigit()):
        raise _invalid_header("token usage", value)
    return int(last)


def _hinted_tokens(value: str) -> int:
    """Return the estimated number of output tokens; 0 if there is none, or it is malformed.

    Upstreams get the header as it is, so a malformed estimate is no reason to refuse the request.
    """
    is_number = value.isascii() and value.isdigit() and len(value) <= MAX_HINT_DIGITS
    return int(value) if is_number else 0


def _invalid_header(what: str, value: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        f"The {what} {value[:100]!r} is malformed.",
        remedy="Correct the header or omit it.",
        code=errors.Code.BAD_REQUEST,
        status=400,
    )
