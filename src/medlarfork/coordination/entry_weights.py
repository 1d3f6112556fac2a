"""Selection of the entry hosts in directory answers, so that load follows their capacities.

The load it handles: callers pick uniformly among the addresses of an answer and keep the answer for
seconds, on hosts whose capacities differ by a factor of three and more. Since an answer contains an
address at most once, a host's weight is the share of time in which answers contain it.

All answers for a data centre have the same size, so a host's load is proportional to that share.
Hosts stand in a fixed hash order, each with an interval as long as its share. An answer has the
hosts whose intervals contain a point of a grid with spacing 1, which moves by one spacing per
cycle (systematic sampling).

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
import math
import operator
from collections.abc import Sequence

MAX_ADDRESSES = 64
"""Maximum number of addresses in a weighted answer, which bounds the connections of a caller."""

MIN_ADDRESSES = 2
"""Minimum number of addresses in a weighted answer, if there are as many hosts: with one, a caller
has no alternative when that host is lost. It takes precedence over the weights."""

CYCLE_S = 7.5
"""Time in which each host is in the answers once, for its share of this time, in seconds. While a
small host is in the answers it gets as many requests as a large one, so a longer cycle means longer
peaks there; a shorter one makes callers drop more connections."""

MAX_CAPACITY_RATIO = 8.0
"""A capacity counts for at most this multiple of the smallest, so that a false one has a bounded
effect; real capacities differ by a factor of three to four."""

STATED_RANGE = (1e-6, 1e12)
"""Capacities outside this range count as not stated, so that sums of weights neither overflow nor
are zero."""

EQUAL_RATIO = 1.05
"""Weights that differ by less than this ratio count as equal: rotating hosts costs connections, and
a difference of a twentieth isn't worth any."""

KEPT_PLACES_SHARE = 0.25
"""Share of an answer up to which overloaded hosts are left out without dividing the places anew.
With 124 hosts a new division changes a quarter of the other addresses. Without one, answers become
shorter, and load follows capacity less exactly."""

ROUNDING = 1e-9
"""Added before a sum of weights is rounded down, so that an exact whole number stays one."""

_ORDER_CACHE_SIZE = 4096
"""Hosts whose position in the hash order is cached: ten times the size of a large deployment."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyHost:
    """An entry host that may be in answers.

    Attributes:
        entry_id: Its id, which determines its place in the hash order.
        address: ``IP:PORT`` that callers connect to.
        zone: Its data centre.
        capacity: Its stated relative capacity; 0 if not stated.
        utilisation: Fraction of the capacity in use.
        is_overloaded: Whether it counts as overloaded.
    """

    entry_id: str
    address: str
    zone: str
    capacity: float = 0.0
    utilisation: float = 0.0
    is_overloaded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """A host's share of the answers, and whether answers name it there."""

    host: ReadyHost
    share: float
    is_named: bool = True


def select(hosts: Sequence[ReadyHost], zone: str, phase: float) -> tuple[str, ...]:
    """Return the addresses for callers in a data centre, sorted.

    Args:
        hosts: All ready entry hosts.
        zone: The data centre of the callers.
        phase: Position of the grid, from 0 to 1.
    """
    places = _places(hosts, zone)
    chosen = [place.host.address for place in places if place.share >= 1.0 and place.is_named]
    rotating = [place for place in places if place.share < 1.0]
    rotating.sort(key=lambda place: _order(place.host.entry_id))
    end = phase
    for place in rotating:
        start, end = end, end + place.share
        if math.floor(end) > math.floor(start) and place.is_named:
            chosen.append(place.host.address)
    return tuple(sorted(chosen))


def share_by_id(hosts: Sequence[ReadyHost], zone: str) -> dict[str, float]:
    """Return the share of the answers for a data centre that contain each host, by its id."""
    return {place.host.entry_id: place.share for place in _places(hosts, zone) if place.is_named}


def _places(hosts: Sequence[ReadyHost], zone: str) -> list[_Place]:
    """Return the places of hosts in the answers for a data centre."""
    near = [host for host in hosts if host.zone == zone]
    usable = [host for host in hosts if not host.is_overloaded]
    near_usable = [host for host in near if not host.is_overloaded]
    if near and usable and not near_usable:
        return _shared_places(near, [host for host in usable if host.utilisation < 1.0])
    if len(near_usable) >= MIN_ADDRESSES:
        shares = _shares(_capacities(near))
        if len(near) - len(near_usable) <= KEPT_PLACES_SHARE * sum(shares):
            return [
                _Place(host, share, not host.is_overloaded)
                for host, share in zip(near, shares, strict=True)
            ]
    candidates = _nearest(near_usable, usable) or _nearest(near, hosts)
    return list(map(_Place, candidates, _shares(_capacities(candidates))))


def _shared_places(near: Sequence[ReadyHost], helping: Sequence[ReadyHost]) -> list[_Place]:
    """Return the places for a full data centre, which hosts elsewhere help by their headroom."""
    headrooms = [1.0] * len(near) + [1.0 - max(host.utilisation, 0.0) for host in helping]
    candidates = [*near, *helping]
    weights = map(operator.mul, _capacities(candidates), headrooms)
    return list(map(_Place, candidates, _shares(list(weights))))


def _nearest(near: Sequence[ReadyHost], all_zones: Sequence[ReadyHost]) -> Sequence[ReadyHost]:
    """Return the hosts of the data centre; those of all if it has too few for an alternative."""
    return near if len(near) >= MIN_ADDRESSES else all_zones


def _capacities(hosts: Sequence[ReadyHost]) -> list[float]:
    """Return the capacities that count: bounded, and the mean for hosts that state none.

    The mean keeps the load of old builds, which state none, as it is without weights.
    """
    stated = [host.capacity for host in hosts if _is_stated(host.capacity)]
    if not stated:
        return [1.0] * len(hosts)
    highest = MAX_CAPACITY_RATIO * min(stated)
    mean = sum(min(capacity, highest) for capacity in stated) / len(stated)
    return [min(host.capacity, highest) if _is_stated(host.capacity) else mean for host in hosts]


def _is_stated(capacity: float) -> bool:
    lowest, highest = STATED_RANGE
    return lowest <= capacity <= highest


def _shares(weights: Sequence[float]) -> list[float]:
    """Return shares in proportion to the weights, at most 1 each, whose sum is a whole number."""
    if not weights or max(weights) <= EQUAL_RATIO * min(weights):
        return [1.0] * len(weights)
    size = int(sum(weights) / max(weights) + ROUNDING)
    size = min(max(size, MIN_ADDRESSES), MAX_ADDRESSES, len(weights))
    shares = [0.0] * len(weights)
    rotating = list(range(len(weights)))
    while rotating and size > 0:
        scale = size / sum(weights[index] for index in rotating)
        full = [index for index in rotating if weights[index] * scale >= 1.0]
        if not full:
            for index in rotating:
                shares[index] = weights[index] * scale
            break
        for index in full:
            shares[index] = 1.0
        rotating = [index for index in rotating if shares[index] < 1.0]
        size -= len(full)
    return shares


@functools.lru_cache(maxsize=_ORDER_CACHE_SIZE)
def _order(entry_id: str) -> bytes:
    return hashlib.blake2b(entry_id.encode(), digest_size=8).digest()
