"""Hold what one answer says of the upstream that gave it: pure."""

from __future__ import annotations

import dataclasses
import math

MAX_BACKOFF_S = 3600.0
"""Longest pause that is taken from one answer, in seconds; a longer one is asked for again."""

LEAVING = "1"
"""Value of the header by which an upstream says that it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSignals:
    """Hold what an answer says of its upstream.

    Attributes:
        rate_limit: Requests a second that the upstream takes from all hosts together; None if it
            names no limit.
        is_leaving: Whether it is about to stop and takes no further request; final for it.
        pause_s: How long it wants no request from the receiving host, in seconds; 0 for no pause.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0


def parse(rate_limit: str, leaving: str, retry_after: str) -> UpstreamSignals:
    """Return what the headers of an answer say; empty texts and unreadable numbers say nothing.

    Args:
        rate_limit: Requests a second, a decimal number.
        leaving: ``1`` if the upstream is leaving.
        retry_after: Seconds, fractions allowed; empty for an answer that turned nothing away.
    """
    return UpstreamSignals(
        rate_limit=_number(rate_limit),
        is_leaving=leaving.strip() == LEAVING,
        pause_s=min(_number(retry_after) or 0.0, MAX_BACKOFF_S),
    )


def _number(text: str) -> float | None:
    """Return a number that is finite and not negative; None for everything else."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
