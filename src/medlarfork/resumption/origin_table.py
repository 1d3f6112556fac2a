"""Bounded table of the origins of streams that their callers may still resume. Pure.

It handles callers that come back within their deadlines while hosts restart. An origin that was
dropped is unknown, so its stream is refused.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Iterator

from medlarfork.resumption import origin_messages, stream_origin

MAX_KEEP_S = 120
"""Longest time for which an origin is kept, in seconds; longer deadlines are rare."""

SLOT_S = 5
"""Origins that expire within the same slot are dropped together; length in seconds."""


class OriginTable:
    """Origins by stream key; callers pass the time, in seconds."""

    def __init__(self, max_origins: int) -> None:
        """Start empty.

        Args:
            max_origins: Beyond this number, the origins that expire first are dropped.
        """
        self._max_origins = max_origins
        self._origin_by_key_by_slot: dict[int, dict[bytes, stream_origin.StreamOrigin | None]] = {}
        self._origins_by_slot: dict[int, set[stream_origin.StreamOrigin]] = {}
        self._interned: dict[stream_origin.StreamOrigin, stream_origin.StreamOrigin] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of origins."""
        return self._size

    def add(self, group: origin_messages.OriginGroup, now: float) -> None:
        """Add streams; one that is known with another origin has no origin from then on."""
        keep_s = min(max(group.keep_s, 1), MAX_KEEP_S)
        slot = math.ceil((now + keep_s) / SLOT_S)
        origin = self._interned.setdefault(group.origin, group.origin)
        origin_by_key = self._origin_by_key_by_slot.setdefault(slot, {})
        self._origins_by_slot.setdefault(slot, set()).add(origin)
        for key in _split(group.keys):
            known_slot = self._slot_of(key)
            if known_slot is not None:
                known_by_key = self._origin_by_key_by_slot[known_slot]
                if known_by_key[key] != origin:
                    known_by_key[key] = None
                continue
            origin_by_key[key] = origin
            self._size += 1
        while self._size > self._max_origins:
            self._drop(min(self._origin_by_key_by_slot))

    def find(self, key: bytes, now: float) -> tuple[stream_origin.StreamOrigin, float] | None:
        """Return a stream's origin and how long it is kept, in seconds; None if it is unknown."""
        slot = self._slot_of(key)
        origin = None if slot is None else self._origin_by_key_by_slot[slot][key]
        if slot is None or origin is None:
            return None
        return origin, slot * SLOT_S - now

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that began a known stream."""
        return frozenset(
            origin.version
            for origins in self._origins_by_slot.values()
            for origin in origins
            if origin.service == service
        )

    def groups(self, now: float) -> Iterator[origin_messages.OriginGroup]:
        """Return all origins, for a replica that knows none of them."""
        for slot, origin_by_key in self._origin_by_key_by_slot.items():
            keys_by_origin: dict[stream_origin.StreamOrigin, bytearray] = collections.defaultdict(
                bytearray
            )
            for key, origin in origin_by_key.items():
                if origin is not None:
                    keys_by_origin[origin] += key
            keep_s = max(1, math.ceil(slot * SLOT_S - now))
            for origin, keys in keys_by_origin.items():
                yield origin_messages.OriginGroup(origin, keep_s, bytes(keys))

    def expire(self, now: float) -> None:
        """Drop the origins whose callers no longer come back."""
        for slot in tuple(self._origin_by_key_by_slot):
            if slot * SLOT_S <= now:
                self._drop(slot)

    def _slot_of(self, key: bytes) -> int | None:
        for slot, origin_by_key in self._origin_by_key_by_slot.items():
            if key in origin_by_key:
                return slot
        return None

    def _drop(self, slot: int) -> None:
        self._size -= len(self._origin_by_key_by_slot.pop(slot))
        del self._origins_by_slot[slot]
        if not self._origin_by_key_by_slot:
            self._interned.clear()


def _split(keys: bytes) -> Iterable[bytes]:
    """Return the single keys; an incomplete last one is left out."""
    size = stream_origin.KEY_BYTES
    return (keys[start : start + size] for start in range(0, len(keys) - size + 1, size))
