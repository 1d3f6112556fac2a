"""Answer of ``/v1/entries``: which entry hosts a caller should use, and for how long."""

from __future__ import annotations

import dataclasses
import math
import random
import urllib.parse
from collections.abc import Iterable

from medlarfork import member
from medlarfork.declared import configuration

ENTRIES_PATH = "/v1/entries"
"""Path at which callers look up entry hosts."""

_MAX_ENTRIES = 16
"""Maximum number of entry hosts in an answer."""

_MIN_FREE_SHARE = 0.05
"""Minimum free share assumed for a host, so that a full one is still listed occasionally."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry host, as listed for callers."""

    address: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """Body of ``GET /v1/entries``; callers try the entries in order."""

    entries: tuple[Entry, ...]
    lifetime_s: float


def listable_members(
    view: member.View, declared: configuration.Configuration, *, exclude: Iterable[str] = ()
) -> tuple[member.Member, ...]:
    """Return the entry hosts that may be listed for callers."""
    left_out = frozenset(declared.drained_entries) | frozenset(exclude)
    serving = tuple(
        item
        for item in view.members
        if item.state is member.MemberState.SERVING and item.entry_id not in left_out
    )
    # If no host reaches an upstream, the upstreams are more likely to be down.
    return tuple(item for item in serving if not item.is_cut_off) or serving


def requested_data_centre(query: str) -> str:
    """Return the caller's own data centre from the query; an empty string if there is none."""
    return dict(urllib.parse.parse_qsl(query)).get("dc", "")


def build(
    members: Iterable[member.Member],
    *,
    data_centre: str,
    lifetime_s: float,
    generator: random.Random,
) -> EntriesAnswer:
    """Order the hosts: the caller's data centre first, then at random, weighted by free share.

    The random order spreads callers that look up hosts at the same time. A fixed order would send
    all of them to the host that was idle a second ago.
    """
    keyed = [(_order(item, data_centre, generator), item) for item in members]
    keyed.sort(key=lambda pair: pair[0])
    entries = tuple(Entry(item.http_address, item.data_centre) for _, item in keyed)
    return EntriesAnswer(entries[:_MAX_ENTRIES], lifetime_s)


def _order(
    item: member.Member, data_centre: str, generator: random.Random
) -> tuple[bool, float, str]:
    free_share = max(1.0 - item.load, _MIN_FREE_SHARE)
    # The minimum of exponential variables: each host is first in proportion to its free share.
    arrival = -math.log(1.0 - generator.random()) / free_share
    return item.data_centre != data_centre, arrival, item.entry_id
