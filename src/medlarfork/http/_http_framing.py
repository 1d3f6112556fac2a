"""What delimits the body of a message, and how many bytes beside the content it may take."""

from __future__ import annotations

import enum
import math
import re

import h11

_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})")
"""The ``timeout`` parameter of a Keep-Alive header, in whole seconds."""

_IDLE_MARGIN_S = 0.5
"""How much sooner than its upstream an idle connection is closed. A request sent just before the
upstream closes would be lost, and not every request can be retried."""

_MAX_FRAMING_RATIO = 2
"""Bytes of chunk headers, extensions and trailers that may come with each byte of a body. Sound
upstreams need less than one; a few in a thousand bytes could keep this process busy without end."""

_FREE_FRAMING_BYTES = 32 * 1024
"""Such bytes beyond that ratio, for short bodies in small chunks and for trailers."""


class Framing(enum.StrEnum):
    """What delimits the body of a response."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class FramingBudget:
    """Bounds the bytes of a message that are no content: a peer may send them without end."""

    __slots__ = ("_bytes",)

    def __init__(self) -> None:
        """Start with a message of which nothing has arrived."""
        self._bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether too many bytes are no content, once all that arrived is parsed."""
        return self._bytes > _FREE_FRAMING_BYTES

    def restart(self) -> None:
        """Start with another message, or another part of it."""
        self._bytes = 0

    def record_received(self, size: int) -> None:
        """Record the size of what has arrived, in bytes."""
        self._bytes += size

    def record_content(self, size: int) -> None:
        """Record the size of a part of the body, which pays for the bytes that frame it."""
        self._bytes = max(self._bytes - size * (1 + _MAX_FRAMING_RATIO), 0)


def idle_s(keep_alive: str) -> float:
    """Return how long a connection may stay idle according to the Keep-Alive header."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return math.inf
    return int(found[1]) - _IDLE_MARGIN_S


def declared_bytes(head: h11.Request, response: h11.Response, headers: dict[str, str]) -> int:
    """Return the length of a body as the response states it; 0 if it does not."""
    if "transfer-encoding" in headers or _is_bodiless(head, response):
        return 0
    return int(headers.get("content-length", "0"))


def framing_of(head: h11.Request, response: h11.Response, headers: dict[str, str]) -> Framing:
    """Return what delimits the body of a response."""
    if "transfer-encoding" in headers and not _is_bodiless(head, response):
        return Framing.CHUNKED
    if "content-length" in headers or _is_bodiless(head, response):
        return Framing.LENGTH
    return Framing.CLOSE


def _is_bodiless(head: h11.Request, response: h11.Response) -> bool:
    return head.method == b"HEAD" or response.status_code in (204, 304)
