"""Engine plan of a service: the number of spot and on-demand engines in each data centre.

Pure arithmetic. The expected load has bursts of three times the usual load that are shorter than
two starts of an engine, and all spot engines of a data centre may be reclaimed at once with seconds
of notice. So the capacity for a burst is provisioned in advance, in spot engines spread over the
data centres, and on-demand engines are used where spot engines are unavailable.
"""

from __future__ import annotations

import dataclasses
import math

from medlarfork.routes import routing

SPOT_PROBE_ROOM = 1
"""Room that on-demand engines leave in each data centre if the service has spot engines: a request
that probes whether spot engines are available again needs room for one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Engines of one kind in one data centre."""

    zone: str
    is_spot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Current engines of a service, the input of a plan.

    Attributes:
        running: Number of running engines by group.
        unavailable: Groups in which no more engines are available now.
        urgent: Number of engines that the current load needs, regardless of its peak.
    """

    running: dict[Group, int]
    unavailable: frozenset[Group] = frozenset()
    urgent: int = 0


def plan(scaling: routing.Scaling, wanted: int, fleet: Fleet) -> dict[Group, int]:
    """Return the planned number of engines by group.

    Spot engines come first, spread evenly over the data centres, so that most remain if those of
    one data centre are lost. Where they are unavailable or do not serve yet, on-demand engines
    take their place; each data centre keeps the minimum number of on-demand engines, which are
    never reclaimed.

    Args:
        scaling: Limits and prices.
        wanted: Number of engines that the load needs.
        fleet: Current engines.
    """
    zones = [item.zone for item in scaling.zones]
    counts: dict[Group, int] = {Group(zone, False): scaling.least for zone in zones}
    wanted = max(wanted, scaling.least * len(zones))
    if scaling.has_spot:
        room = _room_for_spot(scaling, fleet)
        _spread_spot(counts, room, wanted - sum(counts.values()))
    spot = {group: count for group, count in counts.items() if group.is_spot}
    serving = sum(min(count, fleet.running.get(group, 0)) for group, count in spot.items())
    needed = wanted - scaling.least * len(zones)
    # Running on-demand engines are kept until spot engines serve. New ones, which cost several
    # times as much, are started only for the current load that spot engines can't take at all.
    kept = _add_on_demand(counts, scaling, needed - serving, fleet.running)
    needed_now = (
        min(needed, fleet.urgent - scaling.least * len(zones)) if scaling.has_spot else needed
    )
    _add_on_demand(counts, scaling, needed_now - sum(spot.values()) - kept)
    return counts


def _room_for_spot(scaling: routing.Scaling, fleet: Fleet) -> dict[str, int]:
    """Return the room for spot engines in each data centre that has any available.

    In a full data centre, on-demand engines must stop before spot engines can start. They are
    kept while the load needs them.
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


def _add_on_demand(
    counts: dict[Group, int],
    scaling: routing.Scaling,
    wanted: int,
    running: dict[Group, int] | None = None,
) -> int:
    """Add on-demand engines in the cheapest data centres first; return how many were added.

    Args:
        counts: Planned numbers, updated in place.
        scaling: Limits and prices.
        wanted: Maximum number to add.
        running: Running engines; if given, only these are added, not new ones.
    """
    added = 0
    for zone in _by_price(scaling):
        group = Group(zone, False)
        available = scaling.most - counts[group] - counts.get(Group(zone, True), 0)
        if running is None:
            available -= SPOT_PROBE_ROOM if scaling.has_spot else 0
        else:
            available = min(available, running.get(group, 0) - counts[group])
        added_here = max(0, min(wanted - added, available))
        counts[group] += added_here
        added += added_here
    return added


def _spread_spot(counts: dict[Group, int], room: dict[str, int], wanted: int) -> None:
    """Add spot engines one by one to the data centre with the fewest, as far as there is room."""
    for zone in room:
        counts[Group(zone, True)] = 0
    room = {zone: count for zone, count in room.items() if count > 0}
    while wanted > 0 and room:
        zone = min(room, key=lambda name: counts[Group(name, True)])
        counts[Group(zone, True)] += 1
        wanted -= 1
        room[zone] -= 1
        if room[zone] <= 0:
            del room[zone]


def _by_price(scaling: routing.Scaling) -> tuple[str, ...]:
    return tuple(item.zone for item in sorted(scaling.zones, key=lambda item: item.price))


def wanted_engines(peak: float, margin: float) -> int:
    """Return the number of engines for a load given in fully busy engines."""
    return math.ceil(peak * margin)
