"""Engine autoscaler: decides the next scaling requests to the platform.

Designed for scaling requests that are refused, lost or executed late, engines that crash and
restart by themselves, and data centres that temporarily have no engines available. A request sets
the total number of engines of a group, so repeating it has no further effect.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from medlarfork.coordination import upstream_types
from medlarfork.duties import duty_types, engine_messages, engine_plan, offered_load
from medlarfork.routes import routing

UNAVAILABLE_RETRY_S = 2.0
"""Delay before the next request for a group that had no engines available, in seconds."""

MISSING_RETRY_S = 1.5
"""Time after which a request is repeated if engines are missing, in seconds beyond the time that
an engine takes to start."""

STARTUP_SETTLE_S = 4.5
"""Time after a replica's start before its autoscaler acts, in seconds: by then all running engines
have announced themselves."""

LOAD_KNOWN_AFTER_S = 3.0
"""Time after the duty was acquired by which all replicas have reported their load, in seconds."""

UNKNOWN_LOAD_FACTOR = 2.0
"""Engines planned per on-demand engine that runs when the duty is acquired, until the load is known
and if spot engines cost less than half: a burst may come before the first requests can react to it.
Running spot engines count once, since a previous holder requested them for a load that it knew."""

FAILED_RETRY_S = 0.5
"""Delay before the next request for a group after any other failure, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Engines that a service needs and has.

    Attributes:
        service: Name of the service.
        peak: Highest recent load, in fully busy engines (see ``OfferedLoad.peak_engines``).
        wanted: Number of engines that it needs.
        running: Number of engines that are present.
    """

    service: str
    peak: float
    wanted: int
    running: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ScalingRequest:
    """State of the last scaling request for a group.

    Attributes:
        count: Number of engines requested; None if no request is known to have succeeded.
        at: When the request ended, in seconds.
        due: When the next request may be made, in seconds.
        is_in_progress: Whether a request has been made and has not ended.
        max_running: Maximum number of running engines seen since the request started or ended.
        is_unavailable: Whether the platform had no engines of the group.
    """

    count: int | None = None
    at: float = -math.inf
    due: float = -math.inf
    is_in_progress: bool = False
    max_running: int = 0
    is_unavailable: bool = False


class EngineAutoscaler:
    """Scales the engines of each service with its load.

    Pure: no I/O, no clock.
    """

    def __init__(self, margin: float) -> None:
        """Start without services.

        Args:
            margin: Engines provisioned per engine that the offered load would keep busy.
        """
        self._margin = margin
        self._service_by_name: dict[str, routing.Service] = {}
        self._load_by_service: dict[str, offered_load.OfferedLoad] = {}
        self._request_by_group: dict[tuple[str, engine_plan.Group], _ScalingRequest] = {}
        self._need_by_service: dict[str, Need] = {}
        self._initial_by_service: dict[str, collections.Counter[engine_plan.Group]] = {}
        self._ready_at = math.inf

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Use the services of the current routing configuration that can be scaled."""
        self._service_by_name = {
            service.name: service
            for service in services
            if service.scaling is not None and service.scaling.zones and service.engine is not None
        }

    def update_load(self, source: str, message: engine_messages.LoadTold, now: float) -> None:
        """Add the load report of a replica."""
        for load in message.loads:
            total = self._load_by_service.setdefault(load.service, offered_load.OfferedLoad())
            total.update(source, message.boot, load, now)

    def on_duty_acquired(self, started_at: float, now: float) -> None:
        """Start as the holder of the duty, without knowledge of earlier requests.

        Args:
            started_at: When this replica was started, in seconds.
            now: The time in seconds.
        """
        self._request_by_group.clear()
        self._initial_by_service.clear()
        self._ready_at = max(now, started_at + STARTUP_SETTLE_S)

    def next_requests(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[duty_types.ScaleEngines, ...]:
        """Return the requests that are due, those that add the most engines first."""
        if now < self._ready_at:
            return ()
        requests: list[tuple[int, duty_types.ScaleEngines]] = []
        for service in self._service_by_name.values():
            running = _count_running(service.name, present)
            counts = self._plan(service, running, now)
            for group, count in counts.items():
                count = self._limit_to_room(service, group, count, running)
                if self._start_if_due(service, group, count, running[group], now):
                    scale = duty_types.ScaleEngines(service.name, group.zone, count, group.is_spot)
                    requests.append((running[group] - count, scale))
        return tuple(request for _, request in sorted(requests, key=lambda item: item[0]))

    def on_call_end(
        self, scale: duty_types.ScaleEngines, end: duty_types.CallEnd, now: float
    ) -> None:
        """Handle the end of a request."""
        key = (scale.service, engine_plan.Group(scale.zone, scale.is_spot))
        request = self._request_by_group.get(key, _ScalingRequest())
        is_unavailable = request.is_unavailable
        match end:
            case duty_types.CallEnd.DONE:
                due = now
                is_unavailable = is_unavailable and scale.count == 0
            case duty_types.CallEnd.REFUSED:
                due = now + UNAVAILABLE_RETRY_S
                is_unavailable = True
            case _:
                due = now + FAILED_RETRY_S
        count = scale.count if end is duty_types.CallEnd.DONE else None
        self._request_by_group[key] = _ScalingRequest(
            count, now, due, is_unavailable=is_unavailable
        )

    @property
    def needs(self) -> tuple[Need, ...]:
        """Return the needs of services as last calculated, for the log and the metrics."""
        return tuple(self._need_by_service.values())

    def _plan(
        self, service: routing.Service, running: collections.Counter[engine_plan.Group], now: float
    ) -> dict[engine_plan.Group, int]:
        """Return the planned number of engines by group.

        Groups that had no engines available keep their ideal number, so that they are requested
        again.
        """
        assert service.scaling is not None
        wanted, urgent = self._needed_engines(service, running, now)
        request_by_group = {
            group: request
            for (name, group), request in self._request_by_group.items()
            if name == service.name
        }
        expected = {
            group: max(
                running[group],
                _starting_on_demand(group, request_by_group.get(group), service, now),
            )
            for group in running.keys() | request_by_group.keys()
        }
        unavailable = frozenset(
            group for group, request in request_by_group.items() if request.is_unavailable
        )
        fleet = engine_plan.Fleet(expected, unavailable, urgent)
        counts = engine_plan.plan(service.scaling, wanted, fleet)
        if unavailable:
            all_available = dataclasses.replace(fleet, unavailable=frozenset())
            ideal = engine_plan.plan(service.scaling, wanted, all_available)
            for group in unavailable:
                on_demand = counts[engine_plan.Group(group.zone, False)] if group.is_spot else 0
                counts[group] = min(ideal.get(group, 0), service.scaling.most - on_demand)
        return counts

    def _needed_engines(
        self, service: routing.Service, running: collections.Counter[engine_plan.Group], now: float
    ) -> tuple[int, int]:
        """Return the number of engines that a service needs for its peak and for its current load.

        The engines that run when the duty is acquired stand in for the current load until replicas
        have reported theirs, and for the peak until one could have been observed.
        """
        assert service.scaling is not None and service.engine is not None
        load = self._load_by_service.setdefault(service.name, offered_load.OfferedLoad())
        peak = load.peak_engines(service.engine.slots, now)
        wanted = engine_plan.wanted_engines(peak, self._margin)
        urgent = engine_plan.wanted_engines(
            load.busy_engines(service.engine.slots, now), self._margin
        )
        initial = self._initial_by_service.setdefault(service.name, running)
        if now < self._ready_at + offered_load.PEAK_HOLD_S:
            wanted = max(wanted, _engines_for_unknown_load(service.scaling, initial))
        if now < self._ready_at + LOAD_KNOWN_AFTER_S:
            urgent = max(urgent, sum(initial.values()))
        serving = sum(running.values())
        self._need_by_service[service.name] = Need(service.name, round(peak, 1), wanted, serving)
        return wanted, urgent

    def _start_if_due(
        self,
        service: routing.Service,
        group: engine_plan.Group,
        count: int,
        running: int,
        now: float,
    ) -> bool:
        """Return whether a group's request is due, and if so mark it as in progress."""
        assert service.scaling is not None
        request = self._request_by_group.get((service.name, group), _ScalingRequest())
        is_missing_engines = running < count and (
            running < request.max_running
            or now >= request.at + service.scaling.boot_s + MISSING_RETRY_S
        )
        may_start = not request.is_in_progress and now >= request.due
        is_due = may_start and (request.count != count or is_missing_engines)
        self._request_by_group[service.name, group] = dataclasses.replace(
            request,
            is_in_progress=request.is_in_progress or is_due,
            max_running=running if is_due else max(request.max_running, running),
        )
        return is_due

    def _limit_to_room(
        self,
        service: routing.Service,
        group: engine_plan.Group,
        count: int,
        running: collections.Counter[engine_plan.Group],
    ) -> int:
        """Limit a count to the room that engines of the other kind leave in the data centre.

        The platform would cut a larger request short and not add the rest once the others are
        gone.
        """
        assert service.scaling is not None
        other = dataclasses.replace(group, is_spot=not group.is_spot)
        request = self._request_by_group.get((service.name, other))
        others = running[other] if request is None or request.count is None else request.count
        return min(count, max(running[group], service.scaling.most - others))


def _count_running(
    service: str, present: tuple[upstream_types.Announcement, ...]
) -> collections.Counter[engine_plan.Group]:
    return collections.Counter(
        engine_plan.Group(item.zone, item.is_spot) for item in present if item.service == service
    )


def _engines_for_unknown_load(
    scaling: routing.Scaling, initial: collections.Counter[engine_plan.Group]
) -> int:
    """Return the number of engines to plan, given those that run, until the load is known."""
    spare = UNKNOWN_LOAD_FACTOR if 0 < scaling.spot_price < 1 / UNKNOWN_LOAD_FACTOR else 1.0
    engines = sum(count * (1.0 if group.is_spot else spare) for group, count in initial.items())
    return math.ceil(engines)


def _starting_on_demand(
    group: engine_plan.Group, request: _ScalingRequest | None, service: routing.Service, now: float
) -> int:
    """Return the requested number of on-demand engines if they may still be starting, else 0.

    Spot engines count only once they serve; until then on-demand engines take their place.
    """
    assert service.scaling is not None
    if group.is_spot or request is None or request.count is None:
        return 0
    return request.count if now < request.at + service.scaling.boot_s + MISSING_RETRY_S else 0
