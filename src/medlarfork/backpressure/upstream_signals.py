"""Parse the backpressure headers of one upstream response. Pure: no I/O, no clock."""

from __future__ import annotations

import dataclasses
import math

MAX_BACKOFF_S = 3600.0
"""Longest backoff accepted from one response, in seconds. An upstream that needs longer repeats
its Retry-After."""

LEAVING = "1"
"""Header value by which an upstream reports that it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """The backpressure signals in one upstream response.

    Attributes:
        rate_limit: Requests a second that the upstream accepts from all entry hosts together; None
            if the response states no limit.
        is_leaving: Whether the upstream is about to stop and accepts no further requests. This is
            final for the incarnation.
        pause_s: How long the receiving entry host must not send requests, in seconds; 0 for no
            backoff.
        max_rejections: Rejections for want of room in a second above which the upstream crashes;
            None if it states no such number.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    max_rejections: float | None = None


def parse(
    rate_limit: str, leaving: str, retry_after: str, max_rejections: str = ""
) -> UpstreamSignals:
    """Parse header values. Empty and malformed values count as absent.

    Args:
        rate_limit: Requests a second, a decimal number.
        leaving: ``1`` if the upstream is leaving.
        retry_after: Seconds, fractions allowed; empty unless the response rejects the request.
        max_rejections: Rejections in a second that the upstream bears.
    """
    return UpstreamSignals(
        rate_limit=_number(rate_limit),
        is_leaving=leaving.strip() == LEAVING,
        pause_s=min(_number(retry_after) or 0.0, MAX_BACKOFF_S),
        max_rejections=_number(max_rejections),
    )


def _number(text: str) -> float | None:
    """Parse a finite, non-negative number; return None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
