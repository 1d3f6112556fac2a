"""Matches requests to the declared calls of a plain service, which state what is repeatable."""

from __future__ import annotations

import functools
import posixpath
import re
import urllib.parse
from collections.abc import Iterable

from medlarfork.declared import configuration as configurations

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""Methods that RFC 9110 defines as idempotent; other calls run at most once by default."""

_SLASHES = re.compile(r"/+")


def find(
    calls: Iterable[configurations.Call], method: str, path: str
) -> configurations.Call | None:
    """Return the first of a service's calls that matches a request, if any."""
    normal = None
    for call in calls:
        if call.method not in ("*", method):
            continue
        normal = normal or normal_path(path)
        if path_matches(call.path, normal):
            return call
    return None


def is_repeatable(call: configurations.Call | None, method: str) -> bool:
    """Return whether a request is repeatable, given the call that it matched."""
    if call is not None:
        return call.repeatable
    return method in IDEMPOTENT_METHODS


def normal_path(path: str) -> str:
    """Return the normal form of a path, one for all spellings that a service may treat as equal.

    Otherwise a caller could evade a declared call by writing ``//holds`` or ``/%68olds``.
    """
    collapsed = _SLASHES.sub("/", "/" + urllib.parse.unquote(path))
    return posixpath.normpath(collapsed)


def path_matches(pattern: str, path: str) -> bool:
    """Return whether a normalised path matches; ``*`` matches any number of characters."""
    first, *others = _pieces(pattern)
    if not others:
        return path == first
    *middle, last = others
    if len(path) < len(first) + len(last) or not path.startswith(first):
        return False
    if not path.endswith(last):
        return False
    position = len(first)
    end = len(path) - len(last)
    for piece in middle:
        found = path.find(piece, position, end)
        if found < 0:
            return False
        position = found + len(piece)
    return True


@functools.lru_cache(maxsize=4096)
def _pieces(pattern: str) -> tuple[str, ...]:
    normal = posixpath.normpath(_SLASHES.sub("/", "/" + pattern))
    return tuple(normal.split("*"))
