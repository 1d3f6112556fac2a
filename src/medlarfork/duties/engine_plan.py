"""Decide how many engines of each kind a service holds in each data centre: pure arithmetic.

The load pattern: bursts of three times the usual load that last shorter than two starts of an
engine, and cheap engines that are all taken back from a data centre at once with seconds of notice.
So what a burst needs stands ready before it comes, in cheap engines spread over the data centres,
and engines that stay are held where cheap ones are not to be had.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.routes import routing

SPOT_PROBE_ROOM = 1
"""Engines that staying ones leave room for in each data centre, where there are cheap ones: to ask
whether these are to be had again, there must be room for one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Name the engines of one kind in one data centre."""

    zone: str
    is_spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Hold what a plan rests on.

    Attributes:
        running: Engines that serve, by group.
        unavailable: Groups in which no more are to be had at the moment.
        urgent: Engines that the load needs now, whatever it needed before.
    """

    running: dict[Group, int]
    unavailable: frozenset[Group] = frozenset()
    urgent: int = 0


def plan(scaling: routing.Scaling, wanted: int, fleet: Fleet) -> dict[Group, int]:
    """Return the engines to be held, by group.

    Cheap engines come first, evenly over the data centres, so that losing those of one leaves most.
    Where they are not to be had, or do not serve yet, engines that stay fill the place; each data
    centre keeps the least number of these, which nobody takes back.

    Args:
        scaling: What may be ordered, and its prices.
        wanted: Engines that the load needs.
        fleet: What there is.
    """
    zones = [item.zone for item in scaling.zones]
    held: dict[Group, int] = {Group(zone, False): scaling.least for zone in zones}
    wanted = max(wanted, scaling.least * len(zones))
    if scaling.has_spot:
        room = _room_for_cheap(scaling, fleet)
        _spread_cheap(held, room, wanted - sum(held.values()))
    cheap = {group: count for group, count in held.items() if group.is_spot}
    serving = sum(min(count, fleet.running.get(group, 0)) for group, count in cheap.items())
    needed = wanted - scaling.least * len(zones)
    # Those that run are kept until cheap ones serve; new ones, which cost several times as much,
    # are started only for what the load needs now and cheap ones can't give at all.
    kept = _add_staying(held, scaling, needed - serving, fleet.running)
    pressing = (
        min(needed, fleet.urgent - scaling.least * len(zones)) if scaling.has_spot else needed
    )
    _add_staying(held, scaling, pressing - sum(cheap.values()) - kept)
    return held


def _room_for_cheap(scaling: routing.Scaling, fleet: Fleet) -> dict[str, int]:
    """Return how many cheap engines each data centre may hold that has any to give.

    In a full data centre the staying ones have to go before cheap ones can start. They are left
    where the load needs them meanwhile.
    """
    spare = sum(fleet.running.values()) - fleet.urgent
    room: dict[str, int] = {}
    for zone in reversed(_by_price(scaling)):
        extra = max(0, fleet.running.get(Group(zone, False), 0) - scaling.least)
        may_leave = extra <= spare
        spare -= extra if may_leave else 0
        room[zone] = max(0, scaling.most - scaling.least - (0 if may_leave else extra))
    return {
        item.zone: room[item.zone]
        for item in scaling.zones
        if Group(item.zone, True) not in fleet.unavailable
    }


def _add_staying(
    held: dict[Group, int],
    scaling: routing.Scaling,
    wanted: int,
    running: dict[Group, int] | None = None,
) -> int:
    """Add engines that stay where they cost least, and return how many.

    Args:
        held: Takes what is added.
        scaling: What may be ordered.
        wanted: How many are to be added if there is room.
        running: Engines that run, if only such are to be added.
    """
    added = 0
    for zone in _by_price(scaling):
        group = Group(zone, False)
        most = scaling.most - held[group] - held.get(Group(zone, True), 0)
        if running is None:
            most -= SPOT_PROBE_ROOM if scaling.has_spot else 0
        else:
            most = min(most, running.get(group, 0) - held[group])
        taken = max(0, min(wanted - added, most))
        held[group] += taken
        added += taken
    return added


def _spread_cheap(held: dict[Group, int], room: dict[str, int], wanted: int) -> None:
    """Add engines one by one where fewest are, as far as there is room."""
    for zone in room:
        held[Group(zone, True)] = 0
    room = {zone: count for zone, count in room.items() if count > 0}
    while wanted > 0 and room:
        zone = min(room, key=lambda name: held[Group(name, True)])
        held[Group(zone, True)] += 1
        wanted -= 1
        room[zone] -= 1
        if room[zone] <= 0:
            del room[zone]


def _by_price(scaling: routing.Scaling) -> tuple[str, ...]:
    return tuple(item.zone for item in sorted(scaling.zones, key=lambda item: item.price))


def wanted_engines(peak: float, margin: float) -> int:
    """Return the engines that a load needs, in engines that it would keep busy all the time."""
    return math.ceil(peak * margin)
