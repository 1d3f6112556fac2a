"""Scheduler of weight loads that keeps to the rate limit of the weight store.

The rate is divided among lanes. A load occupies one lane from its grant until it has ended and its
bytes could have been transferred at the lane's rate, which the order passes to the engine as its
limit. So the granted loads together never exceed the total rate. If engines ignore the limit, at
most the rate times t plus one load per lane is transferred in a window of t seconds.

Queued loads start by start-time fair queueing across engines. One lane is reserved for small
loads, so that they need not wait for large ones to end.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightStoreSettings:
    """Settings of the scheduler.

    Attributes:
        bytes_per_second: Rate limit of the store.
        lanes: Maximum number of concurrent loads; at least 2.
        small_bytes: Maximum size of a load in the lane for small loads, in bytes.
        max_waiting: Maximum number of queued loads; further ones are refused.
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
    """Permission for a queued load to start now, at up to this rate."""

    load_id: str
    bytes_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedLoad:
    load_id: str
    engine_id: str
    size_bytes: int
    start_tag: float
    arrival: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Lane:
    """State of a lane; ``load_id`` is empty once its load has ended."""

    load_id: str = ""
    free_at: float = 0.0


class WeightLoadScheduler:
    """Queue of loads and the lanes that they run in.

    Pure: no I/O, no clock; times are monotonic seconds.
    """

    def __init__(self, settings: WeightStoreSettings) -> None:
        """Start with all lanes free."""
        self._settings = settings
        self._queued_by_id: dict[str, _QueuedLoad] = {}
        self._finish_tag_by_engine: dict[str, float] = {}
        self._lanes = [_Lane() for _ in range(settings.lanes)]
        self._virtual_time = 0.0
        self._arrivals = 0

    def request(self, load_id: str, engine_id: str, size_bytes: int) -> bool:
        """Queue a load; return False if the queue is full."""
        if load_id in self._queued_by_id:
            return True
        if len(self._queued_by_id) >= self._settings.max_waiting:
            return False
        tag = max(self._virtual_time, self._finish_tag_by_engine.get(engine_id, 0.0))
        self._finish_tag_by_engine[engine_id] = tag + size_bytes
        self._queued_by_id[load_id] = _QueuedLoad(
            load_id, engine_id, size_bytes, tag, self._arrivals
        )
        self._arrivals += 1
        return True

    def occupy(self, load_id: str, size_bytes: int, now: float) -> None:
        """Occupy a lane for a load that an earlier planner started and that may still run."""
        free = [index for index, lane in enumerate(self._lanes) if not lane.load_id]
        if free:
            self._lanes[free[-1]] = self._occupied_lane(load_id, size_bytes, now)

    def release(self, load_id: str) -> None:
        """Release a load that has ended or was cancelled; unknown ids are ignored."""
        queued = self._queued_by_id.pop(load_id, None)
        if queued is not None and queued.engine_id in self._finish_tag_by_engine:
            # It transferred nothing, so it does not count against its engine's fair share.
            self._finish_tag_by_engine[queued.engine_id] -= queued.size_bytes
        for index, lane in enumerate(self._lanes):
            if lane.load_id == load_id:
                self._lanes[index] = dataclasses.replace(lane, load_id="")

    def grant(self, now: float) -> tuple[Grant, ...]:
        """Start queued loads in free lanes and return their grants."""
        grants: list[Grant] = []
        for index, lane in enumerate(self._lanes):
            if lane.load_id or now < lane.free_at:
                continue
            chosen = self._next_load(small_only=index == 0)
            if chosen is None:
                continue
            del self._queued_by_id[chosen.load_id]
            self._lanes[index] = self._occupied_lane(chosen.load_id, chosen.size_bytes, now)
            self._virtual_time = max(self._virtual_time, chosen.start_tag)
            grants.append(Grant(chosen.load_id, self._settings.lane_bytes_per_second))
        self._prune_finish_tags()
        return tuple(grants)

    def next_grant_at(self, now: float) -> float | None:
        """Return when the next lane without a load becomes free; None if no load is queued."""
        if not self._queued_by_id:
            return None
        pending = [lane.free_at for lane in self._lanes if not lane.load_id]
        later = [at for at in pending if at > now]
        return min(later, default=None)

    def _occupied_lane(self, load_id: str, size_bytes: int, now: float) -> _Lane:
        return _Lane(load_id, now + size_bytes / self._settings.lane_bytes_per_second)

    def _next_load(self, *, small_only: bool) -> _QueuedLoad | None:
        limit = self._settings.small_bytes
        fitting = (
            load
            for load in self._queued_by_id.values()
            if not small_only or load.size_bytes <= limit
        )
        return min(fitting, key=lambda load: (load.start_tag, load.arrival), default=None)

    def _prune_finish_tags(self) -> None:
        if len(self._finish_tag_by_engine) <= 2 * len(self._queued_by_id) + 64:
            return
        self._finish_tag_by_engine = {
            engine_id: tag
            for engine_id, tag in self._finish_tag_by_engine.items()
            if tag > self._virtual_time
        }
