"""Read what a caller's headers say of its request, and build those that its upstream gets."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork import errors
from medlarfork.gateway import request_header_names
from medlarfork.http import _http_messages
from medlarfork.placement import placement_messages

LOWEST_RANK = 9
"""Upstreams know the ranks 0 to 9; what ranks lower is told as this."""

RANK_TARGET_BOUNDS_MS = (350.0, 1000.0)
"""Bounds of the targets that part a tier into ranks for upstreams, in milliseconds: within a tier,
what is expected sooner is read first."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Hold what a caller says of its request.

    Attributes:
        attempt_id: The caller's id of this attempt; empty if it gave none.
        deadline_ms: How long the caller waits; None if it did not say.
        api_key: Its key; empty if it gave none.
        last_event_id: The last event that it has; empty for none.
        parts: The parts of its prompt.
        output_tokens: Tokens that the answer may have.
    """

    attempt_id: str
    deadline_ms: float | None
    api_key: str
    last_event_id: str
    parts: tuple[placement_messages.PromptSegment, ...]
    output_tokens: int


def read(
    headers: Mapping[str, str], names: request_header_names.RequestHeaderNames
) -> RequestMetadata:
    """Read the headers of a request.

    Raises:
        errors.RequestRefusedError: A header that placement rests on can't be read.
    """
    scheme, _, api_key = headers.get("authorization", "").partition(" ")
    return RequestMetadata(
        attempt_id=headers.get(names.attempt_id, ""),
        deadline_ms=_deadline(headers.get(names.deadline_ms)),
        api_key=api_key.strip() if scheme.lower() == names.key_scheme.lower() else "",
        last_event_id=headers.get(names.last_event_id, ""),
        parts=_parts(headers.get(names.prompt_parts, "")),
        output_tokens=_output_tokens(headers.get(names.token_usage, "")),
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
    """Return the headers that an upstream gets: the caller's, and those that the system sets."""
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


def upstream_rank(tier: int, target_ms: float) -> int:
    """Return the rank that an upstream is told: the tier first, within it the nearer target."""
    within = sum(target_ms > bound for bound in RANK_TARGET_BOUNDS_MS)
    return min(max(tier, 0) * (len(RANK_TARGET_BOUNDS_MS) + 1) + within, LOWEST_RANK)


def _deadline(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        deadline_ms = float(value)
    except ValueError as error:
        raise _unreadable("deadline", value) from error
    if not 0 < deadline_ms < float("inf"):
        raise _unreadable("deadline", value)
    return deadline_ms


def _parts(value: str) -> tuple[placement_messages.PromptSegment, ...]:
    parts: list[placement_messages.PromptSegment] = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id and tokens.isascii() and tokens.isdigit():
            parts.append(placement_messages.PromptSegment(part_id, int(tokens)))
        elif item.strip():
            raise _unreadable("list of prompt parts", value)
    return tuple(parts)


def _output_tokens(value: str) -> int:
    """Return the most output tokens; 0 where the caller does not say."""
    if not value:
        return 0
    last = value.rpartition(",")[2].strip()
    if not (last.isascii() and last.isdigit()):
        raise _unreadable("token usage", value)
    return int(last)


def _unreadable(what: str, value: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        f"The {what} {value[:100]!r} can't be read.",
        remedy="Correct the header, or leave it out.",
        code=errors.Code.BAD_REQUEST,
        status=400,
    )
