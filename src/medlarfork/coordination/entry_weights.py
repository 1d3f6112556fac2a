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
from collections.abc import Sequence

MAX_ADDRESSES = 64
"""Maximum number of addresses in a weighted answer, which bounds the connections of a caller."""

MIN_ADDRESSES = 2
"""Minimum number of addresses in a weighted answer, if there are as many hosts: with one, a caller
has no alternative when that host is lost. It takes precedence over the weights."""

CYCLE_S = 30.0
"""Time in which each host is in the answers once, for its share of this time, in seconds. A shorter
cycle costs callers more connections, since each host leaves the answers once per cycle. With a
longer one load doesn't follow capacity within half a minute."""

MAX_CAPACITY_RATIO = 8.0
"""A capacity counts for at most this multiple of the smallest, so that a false one has a bounded
effect; real capacities differ by a factor of three to four."""

EQUAL_RATIO = 1.05
"""Weights that differ by less than this ratio count as equal: rotating hosts costs connections, and
a difference of a twentieth isn't worth any."""

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


def select(hosts: Sequence[ReadyHost], zone: str, phase: float) -> tuple[str, ...]:
    """Return the addresses for callers in a data centre, sorted.

    Args:
        hosts: All ready entry hosts.
        zone: The data centre of the callers.
        phase: Position of the grid, from 0 to 1.
    """
    share_by_host = _share_by_host(hosts, zone)
    chosen = [host.address for host, share in share_by_host.items() if share >= 1.0]
    rotating = [host for host, share in share_by_host.items() if share < 1.0]
    rotating.sort(key=lambda host: _order(host.entry_id))
    end = phase
    for host in rotating:
        start, end = end, end + share_by_host[host]
        if math.floor(end) > math.floor(start):
            chosen.append(host.address)
    return tuple(sorted(chosen))


def share_by_id(hosts: Sequence[ReadyHost], zone: str) -> dict[str, float]:
    """Return the share of the answers for a data centre that contain each host, by its id."""
    return {host.entry_id: share for host, share in _share_by_host(hosts, zone).items()}


def _share_by_host(hosts: Sequence[ReadyHost], zone: str) -> dict[ReadyHost, float]:
    weight_by_host = _weight_by_host(hosts, zone)
    shares = _shares(list(weight_by_host.values()))
    return dict(zip(weight_by_host, shares, strict=True))


def _weight_by_host(hosts: Sequence[ReadyHost], zone: str) -> dict[ReadyHost, float]:
    """Return the hosts to choose from for a data centre, with their weights."""
    near = [host for host in hosts if host.zone == zone]
    usable = [host for host in hosts if not host.is_overloaded]
    near_usable = [host for host in near if not host.is_overloaded]
    if near and usable and not near_usable:
        capacity_by_host = _capacity_by_host([*near, *usable])
        headroom_by_host = {
            host: capacity_by_host[host] * max(0.0, 1.0 - host.utilisation) for host in usable
        }
        helping = {host: weight for host, weight in headroom_by_host.items() if weight > 0.0}
        return {host: capacity_by_host[host] for host in near} | helping
    return _capacity_by_host(_nearest(near_usable, usable) or _nearest(near, hosts))


def _nearest(near: Sequence[ReadyHost], all_zones: Sequence[ReadyHost]) -> Sequence[ReadyHost]:
    """Return the hosts of the data centre; those of all if it has too few for an alternative."""
    return near if len(near) >= MIN_ADDRESSES else all_zones


def _capacity_by_host(hosts: Sequence[ReadyHost]) -> dict[ReadyHost, float]:
    """Return the capacities that count: bounded, and the mean for hosts that state none.

    The mean keeps the load of old builds, which state none, as it is without weights.
    """
    stated = [host.capacity for host in hosts if _is_stated(host.capacity)]
    if not stated:
        return dict.fromkeys(hosts, 1.0)
    highest = MAX_CAPACITY_RATIO * min(stated)
    mean = sum(min(capacity, highest) for capacity in stated) / len(stated)
    return {
        host: min(host.capacity, highest) if _is_stated(host.capacity) else mean for host in hosts
    }


def _is_stated(capacity: float) -> bool:
    return capacity > 0.0 and math.isfinite(capacity)


def _shares(weights: Sequence[float]) -> list[float]:
    """Return shares in proportion to the weights, at most 1 each, whose sum is a whole number."""
    if not weights or max(weights) <= EQUAL_RATIO * min(weights):
        return [1.0] * len(weights)
    size = int(sum(weights) / max(weights))
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
