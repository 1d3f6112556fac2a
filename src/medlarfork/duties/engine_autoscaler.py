"""Decide which order of engines is given to the platform next; pure.

The load that this answers: orders that are refused, lost or carried out late, engines that crash
and come back by themselves, and data centres that have no engines to give for a while. An order
names the whole number that is wanted, so giving it again does no harm.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from medlarfork.coordination import upstream_types
from medlarfork.duties import duty_types, engine_messages, engine_plan, offered_load
from medlarfork.routes import routing

UNAVAILABLE_RETRY_S = 2.0
"""How long a group of which none are to be had is not asked for again, in seconds."""

MISSING_RETRY_S = 1.5
"""Time after which an order is given again if engines are missing, in seconds beyond a start."""

STARTUP_SETTLE_S = 4.5
"""Time after a replica's start until it counts engines, in seconds: by then each of those that run
has announced itself."""

LOAD_REPORT_TIMEOUT_S = 3.0
"""Time after the duty was taken by which replicas have told their load, in seconds."""

UNKNOWN_LOAD_FACTOR = 2.0
"""Engines held for each staying one that is found while nothing is known of the load, where cheap
ones cost less than half: a burst may come before the first orders can follow it. Cheap ones that
are found were ordered by the load that another holder knew."""

FAILED_RETRY_S = 0.5
"""Pause of a group whose order failed otherwise, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Hold what a service needs, and what it has.

    Attributes:
        service: The service.
        peak: The highest load of the last while, in engines that are always busy.
        wanted: Engines that it needs.
        running: Engines that serve.
    """

    service: str
    peak: float
    wanted: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """Hold what is known of the last order of a group.

    Attributes:
        count: The engines that were ordered; None if nothing is sure.
        at: When it ended, in seconds.
        due: When the next one may be given, in seconds.
        is_under_way: Whether it has not ended.
        most_running: The most engines that were seen since it ended.
        is_unavailable: Whether the group had none to give.
    """

    count: int | None = None
    at: float = -math.inf
    due: float = -math.inf
    is_under_way: bool = False
    most_running: int = 0
    is_unavailable: bool = False


class EngineAutoscaler:
    """Follow the load of every service whose engines may be ordered."""

    def __init__(self, margin: float) -> None:
        """Start without services.

        Args:
            margin: Engines held for each engine's worth of work that is offered.
        """
        self._margin = margin
        self._scaled_by_name: dict[str, routing.Service] = {}
        self._load_by_service: dict[str, offered_load.OfferedLoad] = {}
        self._order_by_group: dict[tuple[str, engine_plan.Group], _Order] = {}
        self._need_by_service: dict[str, Need] = {}
        self._found_by_service: dict[str, collections.Counter[engine_plan.Group]] = {}
        self._settled_at = math.inf

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Take what the routing says of services."""
        self._scaled_by_name = {
            service.name: service
            for service in services
            if service.scaling is not None and service.scaling.zones and service.engine is not None
        }

    def update_load(self, source: str, told: engine_messages.LoadTold, now: float) -> None:
        """Take what a replica was asked to place."""
        for load in told.loads:
            total = self._load_by_service.setdefault(load.service, offered_load.OfferedLoad())
            total.take(source, told.boot, load, now)

    def on_duty_acquired(self, started_at: float, now: float) -> None:
        """Take the duty of a replica that was started then: of orders nothing is known."""
        self._order_by_group.clear()
        self._found_by_service.clear()
        self._settled_at = max(now, started_at + STARTUP_SETTLE_S)

    def next_requests(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[duty_types.ScaleEngines, ...]:
        """Return the orders to be given now, those of more engines first."""
        if now < self._settled_at:
            return ()
        orders: list[tuple[int, duty_types.ScaleEngines]] = []
        for service in self._scaled_by_name.values():
            running = _running(service.name, present)
            held = self._plan(service, running, now)
            for group, count in held.items():
                count = self._with_room(service, group, count, running)
                if self._is_due(service, group, count, running[group], now):
                    given = duty_types.ScaleEngines(service.name, group.zone, count, group.is_spot)
                    orders.append((running[group] - count, given))
        return tuple(order for _, order in sorted(orders, key=lambda item: item[0]))

    def on_call_end(
        self, given: duty_types.ScaleEngines, end: duty_types.CallEnd, now: float
    ) -> None:
        """Take the end of an order."""
        key = (given.service, engine_plan.Group(given.zone, given.is_spot))
        order = self._order_by_group.get(key, _Order())
        is_unavailable = order.is_unavailable
        match end:
            case duty_types.CallEnd.DONE:
                due = now
                is_unavailable = is_unavailable and given.count == 0
            case duty_types.CallEnd.REFUSED:
                due = now + UNAVAILABLE_RETRY_S
                is_unavailable = True
            case _:
                due = now + FAILED_RETRY_S
        count = given.count if end is duty_types.CallEnd.DONE else None
        self._order_by_group[key] = _Order(count, now, due, is_unavailable=is_unavailable)

    @property
    def needs(self) -> tuple[Need, ...]:
        """Return what services were last found to need, for the log and the metrics."""
        return tuple(self._need_by_service.values())

    def _plan(
        self, service: routing.Service, running: collections.Counter[engine_plan.Group], now: float
    ) -> dict[engine_plan.Group, int]:
        """Return the engines to be held; those that are not to be had are asked for again."""
        assert service.scaling is not None
        wanted, urgent = self._needed(service, running, now)
        order_by_group = {
            group: order
            for (name, group), order in self._order_by_group.items()
            if name == service.name
        }
        coming = {
            group: max(running[group], _coming(group, order_by_group.get(group), service, now))
            for group in running.keys() | order_by_group.keys()
        }
        unavailable = frozenset(
            group for group, order in order_by_group.items() if order.is_unavailable
        )
        fleet = engine_plan.Fleet(coming, unavailable, urgent)
        held = engine_plan.plan(service.scaling, wanted, fleet)
        if unavailable:
            all_available = dataclasses.replace(fleet, unavailable=frozenset())
            ideal = engine_plan.plan(service.scaling, wanted, all_available)
            for group in unavailable:
                staying = held[engine_plan.Group(group.zone, False)] if group.is_spot else 0
                held[group] = min(ideal.get(group, 0), service.scaling.most - staying)
        return held

    def _needed(
        self, service: routing.Service, running: collections.Counter[engine_plan.Group], now: float
    ) -> tuple[int, int]:
        """Return the engines that a service needs, by its peak and by its load now.

        What was found there is taken for what it needs now until replicas have told their load,
        and for its peak until one could have been seen.
        """
        assert service.scaling is not None and service.engine is not None
        load = self._load_by_service.setdefault(service.name, offered_load.OfferedLoad())
        peak = load.peak(service.engine.slots, now)
        wanted = engine_plan.wanted_engines(peak, self._margin)
        urgent = engine_plan.wanted_engines(load.engines(service.engine.slots, now), self._margin)
        found = self._found_by_service.setdefault(service.name, running)
        if now < self._settled_at + offered_load.PEAK_HOLD_S:
            wanted = max(wanted, _with_spare(service.scaling, found))
        if now < self._settled_at + LOAD_REPORT_TIMEOUT_S:
            urgent = max(urgent, sum(found.values()))
        serving = sum(running.values())
        self._need_by_service[service.name] = Need(service.name, round(peak, 1), wanted, serving)
        return wanted, urgent

    def _is_due(
        self,
        service: routing.Service,
        group: engine_plan.Group,
        count: int,
        running: int,
        now: float,
    ) -> bool:
        """Say whether a group's order is to be given now, and note that it is."""
        assert service.scaling is not None
        order = self._order_by_group.get((service.name, group), _Order())
        is_missed = running < count and (
            running < order.most_running
            or now >= order.at + service.scaling.boot_s + MISSING_RETRY_S
        )
        may_be_given = not order.is_under_way and now >= order.due
        is_due = may_be_given and (order.count != count or is_missed)
        self._order_by_group[service.name, group] = dataclasses.replace(
            order,
            is_under_way=order.is_under_way or is_due,
            most_running=running if is_due else max(order.most_running, running),
        )
        return is_due

    def _with_room(
        self,
        service: routing.Service,
        group: engine_plan.Group,
        count: int,
        running: collections.Counter[engine_plan.Group],
    ) -> int:
        """Return how many engines there is room for while those of the other kind are there.

        An order beyond that would be cut short, and not made up for when the others have gone.
        """
        assert service.scaling is not None
        other = dataclasses.replace(group, is_spot=not group.is_spot)
        order = self._order_by_group.get((service.name, other))
        others = running[other] if order is None or order.count is None else order.count
        return min(count, max(running[group], service.scaling.most - others))


def _running(
    service: str, present: tuple[upstream_types.Announcement, ...]
) -> collections.Counter[engine_plan.Group]:
    return collections.Counter(
        engine_plan.Group(item.zone, item.is_spot) for item in present if item.service == service
    )


def _with_spare(scaling: routing.Scaling, found: collections.Counter[engine_plan.Group]) -> int:
    """Return the engines that are held for those that were found while the load is not known."""
    spare = UNKNOWN_LOAD_FACTOR if 0 < scaling.spot_price < 1 / UNKNOWN_LOAD_FACTOR else 1.0
    engines = sum(count * (1.0 if group.is_spot else spare) for group, count in found.items())
    return math.ceil(engines)


def _coming(
    group: engine_plan.Group, order: _Order | None, service: routing.Service, now: float
) -> int:
    """Return the engines that stay and were ordered so lately that they may still be starting.

    Of cheap ones only those count that serve: until then, others hold their place.
    """
    assert service.scaling is not None
    if group.is_spot or order is None or order.count is None:
        return 0
    return order.count if now < order.at + service.scaling.boot_s + MISSING_RETRY_S else 0
