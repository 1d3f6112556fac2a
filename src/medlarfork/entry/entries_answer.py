"""Answer which entry hosts a caller should use, and for how long."""

from __future__ import annotations

import dataclasses
import math
import random
import urllib.parse
from collections.abc import Iterable

from medlarfork import member
from medlarfork.declared import configuration

ENTRIES_PATH = "/v1/entries"
"""Where callers ask which entry hosts to use."""

_MAX_ENTRIES = 16
"""Most entry hosts named in one answer."""

_MIN_FREE_SHARE = 0.05
"""Free share that a full host counts with, so that it is still named now and then."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Name one entry host to a caller."""

    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """Hold the body of ``GET /v1/entries``; the first entry is the one to try first."""

    entries: tuple[Entry, ...]
    lifetime_s: float


def listable_members(
    view: member.View, declared: configuration.Configuration, *, exclude: Iterable[str] = ()
) -> tuple[member.Member, ...]:
    """Return the entry hosts that may be named to callers."""
    left_out = frozenset(declared.drained_entries) | frozenset(exclude)
    return tuple(
        item
        for item in view.members
        if item.state is member.MemberState.SERVING and item.entry_id not in left_out
    )


def requested_data_centre(query: str) -> str:
    """Return the data centre that the caller's query names as its own, if any."""
    return dict(urllib.parse.parse_qsl(query)).get("dc", "")


def build(
    members: Iterable[member.Member],
    *,
    data_centre: str,
    lifetime_s: float,
    generator: random.Random,
) -> EntriesAnswer:
    """Order the hosts: the caller's data centre first, then by chance, weighted by free share.

    Chance spreads callers that ask at the same time; a fixed order would send all of them to
    the host that was idle a second ago.
    """
    keyed = [(_order(item, data_centre, generator), item) for item in members]
    keyed.sort(key=lambda pair: pair[0])
    entries = tuple(Entry(item.http_address, item.data_centre) for _, item in keyed)
    return EntriesAnswer(entries[:_MAX_ENTRIES], lifetime_s)


def _order(
    item: member.Member, data_centre: str, generator: random.Random
) -> tuple[bool, float, str]:
    free_share = max(1.0 - item.load, _MIN_FREE_SHARE)
    # Smallest of exponential variables: each host comes first in proportion to its free share.
    waiting = -math.log(1.0 - generator.random()) / free_share
    return item.data_centre != data_centre, waiting, item.entry_id
