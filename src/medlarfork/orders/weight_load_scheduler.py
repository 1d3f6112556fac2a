"""Plan loads from a rate-limited weight store so that its bytes per second are never exceeded.

The rate is split into lanes. A load holds one lane from its grant until it has ended and its
bytes could have been drawn at the lane's rate, which its order tells the engine to keep to. So
the loads granted never draw more than the whole rate together. Where an engine ignores the rate,
a window of t seconds sees at most the rate times t plus one load a lane.

Waiting loads start in start-time fair order over engines. One lane takes small loads only, so
that they need not wait for large ones to end.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """Configure the plan.

    Attributes:
        bytes_per_second: The store's rate limit.
        lanes: Loads that run at once; at least 2.
        small_bytes: Size up to which a load may use the lane for small loads, in bytes.
        max_waiting: Loads that may wait; further ones are refused.
    """

    bytes_per_second: float
    lanes: int = 4
    small_bytes: int = 2_000_000_000
    max_waiting: int = 20_000

    @property
    def lane_bytes_per_second(self) -> float:
        """Return the rate of one lane."""
        return self.bytes_per_second / self.lanes


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Allow a waiting load to start now at up to this rate."""

    load_id: str
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    load_id: str
    engine_id: str
    size_bytes: int
    start_tag: float
    arrival: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Lane:
    """Hold what a lane does: ``load_id`` is empty once its load has ended."""

    load_id: str = ""
    free_at: float = 0.0


class WeightLoadScheduler:
    """Decide which waiting loads start when; pure, times are monotonic seconds."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        """Start with all lanes free."""
        self._settings = settings
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._finish_tag_by_engine: dict[str, float] = {}
        self._lanes = [_Lane() for _ in range(settings.lanes)]
        self._virtual_time = 0.0
        self._arrivals = 0

    def request(self, load_id: str, engine_id: str, size_bytes: int) -> bool:
        """Queue a load; return False if too many wait already."""
        if load_id in self._waiting_by_id:
            return True
        if len(self._waiting_by_id) >= self._settings.max_waiting:
            return False
        tag = max(self._virtual_time, self._finish_tag_by_engine.get(engine_id, 0.0))
        self._finish_tag_by_engine[engine_id] = tag + size_bytes
        self._waiting_by_id[load_id] = _Waiting(load_id, engine_id, size_bytes, tag, self._arrivals)
        self._arrivals += 1
        return True

    def occupy(self, load_id: str, size_bytes: int, now: float) -> None:
        """Note a load that an earlier planner started and that may still run."""
        free = [index for index, lane in enumerate(self._lanes) if not lane.load_id]
        if free:
            self._lanes[free[-1]] = self._started(load_id, size_bytes, now)

    def release(self, load_id: str) -> None:
        """Note that a load has ended or is no longer wanted; unknown ids are ignored."""
        waiting = self._waiting_by_id.pop(load_id, None)
        if waiting is not None and waiting.engine_id in self._finish_tag_by_engine:
            # It drew nothing, so its engine keeps its place.
            self._finish_tag_by_engine[waiting.engine_id] -= waiting.size_bytes
        for index, lane in enumerate(self._lanes):
            if lane.load_id == load_id:
                self._lanes[index] = dataclasses.replace(lane, load_id="")

    def grant(self, now: float) -> tuple[Grant, ...]:
        """Return the loads that start now."""
        grants: list[Grant] = []
        for index, lane in enumerate(self._lanes):
            if lane.load_id or now < lane.free_at:
                continue
            chosen = self._next(small_only=index == 0)
            if chosen is None:
                continue
            del self._waiting_by_id[chosen.load_id]
            self._lanes[index] = self._started(chosen.load_id, chosen.size_bytes, now)
            self._virtual_time = max(self._virtual_time, chosen.start_tag)
            grants.append(Grant(chosen.load_id, self._settings.lane_bytes_per_second))
        self._forget_past_tags()
        return tuple(grants)

    def next_grant_at(self, now: float) -> float | None:
        """Return when a lane whose load has ended becomes free, if any load waits for it."""
        if not self._waiting_by_id:
            return None
        pending = [lane.free_at for lane in self._lanes if not lane.load_id]
        later = [at for at in pending if at > now]
        return min(later, default=None)

    def _started(self, load_id: str, size_bytes: int, now: float) -> _Lane:
        return _Lane(load_id, now + size_bytes / self._settings.lane_bytes_per_second)

    def _next(self, *, small_only: bool) -> _Waiting | None:
        limit = self._settings.small_bytes
        fitting = (
            load
            for load in self._waiting_by_id.values()
            if not small_only or load.size_bytes <= limit
        )
        return min(fitting, key=lambda load: (load.start_tag, load.arrival), default=None)

    def _forget_past_tags(self) -> None:
        if len(self._finish_tag_by_engine) <= 2 * len(self._waiting_by_id) + 64:
            return
        self._finish_tag_by_engine = {
            engine_id: tag
            for engine_id, tag in self._finish_tag_by_engine.items()
            if tag > self._virtual_time
        }
