"""Create and parse UUIDs of version 7, which contain their creation time (RFC 9562)."""

from __future__ import annotations

import re

RANDOM_BYTES = 10
"""Number of random bytes needed for one UUID."""

_TIME_LIMIT_MS = 1 << 48
"""First Unix time that does not fit into 48 bits, in milliseconds."""

_VERSION = 0x7
_VARIANT = 0b10
_FORM = re.compile(r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")


def make(time_ms: int, random_bytes: bytes) -> str:
    """Return a UUID of version 7 as text.

    Args:
        time_ms: Milliseconds since the Unix epoch.
        random_bytes: ``RANDOM_BYTES`` random bytes; all but six of their bits are used.

    Raises:
        ValueError: The time does not fit into 48 bits, or the number of random bytes is wrong.
    """
    if not 0 <= time_ms < _TIME_LIMIT_MS or len(random_bytes) != RANDOM_BYTES:
        raise ValueError(f"time_ms must fit into 48 bits, with {RANDOM_BYTES} random bytes.")
    random_bits = int.from_bytes(random_bytes, "big")
    high = random_bits >> 68
    low = random_bits & ((1 << 62) - 1)
    number = time_ms << 80 | _VERSION << 76 | high << 64 | _VARIANT << 62 | low
    digits = f"{number:032x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


def time_ms(text: str) -> int | None:
    """Return the creation time of a UUID of version 7 in Unix milliseconds; None for other text."""
    lowered = text.lower()
    if not _FORM.fullmatch(lowered):
        return None
    return int(lowered[:8] + lowered[9:13], 16)
