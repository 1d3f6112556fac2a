"""Hold the upstreams of one shard, and choose the one with the lowest cost for a request. Pure."""

from __future__ import annotations

import dataclasses

from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    engine_estimator,
    placement_cost,
    placement_messages,
    recent_prefixes,
    shard_gate,
    shard_speeds,
    upstream_load,
    wait_queue,
)
from medlarfork.routes import routing

PLAIN_MEMORY_TOKENS = 0
"""Upstreams of plain services cache no prompt prefixes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The best upstream for a request, with its cost."""

    load: upstream_load.UpstreamLoad
    cost: placement_cost.Cost


class UpstreamChooser:
    """Compare the upstreams of a shard; callers pass the time, in seconds.

    Attributes:
        estimator: Estimates how the engines work.
        load_by_id: The state of each upstream, by incarnation.
        gate: Paces requests to upstreams.
        speeds: Relative times of the upstreams.
    """

    def __init__(self, gate: send_gate.SendGate, queue: wait_queue.WaitQueue) -> None:
        """Start without upstreams, as a plain service.

        Args:
            gate: Paces requests to upstreams.
            queue: The queued requests.
        """
        self._memory_tokens = PLAIN_MEMORY_TOKENS
        self.event_tokens = 1
        self._fetch_ms_per_token = 0.0
        self._recent_prefixes = recent_prefixes.RecentPrefixes()
        self.estimator = engine_estimator.EngineEstimator()
        self.load_by_id: dict[str, upstream_load.UpstreamLoad] = {}
        self.speeds = shard_speeds.ShardSpeeds(self.estimator, self.load_by_id)
        self.gate = shard_gate.ShardGate(gate, queue)

    def use_engine(self, engine: routing.EngineSpec | None) -> None:
        """Apply the engine facts of the routing; None for plain services."""
        self._memory_tokens = PLAIN_MEMORY_TOKENS if engine is None else engine.memory_tokens
        self.event_tokens = 1 if engine is None else engine.event_tokens
        self._fetch_ms_per_token = 0.0 if engine is None else engine.fetch_ms_per_token
        for load in self.load_by_id.values():
            load.set_memory(self._memory_tokens)

    def use_upstreams(self, announcements: dict[str, upstream_types.Announcement]) -> None:
        """Set the upstreams that may be used now; runs on others continue to their ends.

        The state of an absent upstream is kept for a while: if only its announcements were lost, it
        still runs its requests and still holds its cache.
        """
        for upstream_id, load in self.load_by_id.items():
            load.is_present = upstream_id in announcements
        for upstream_id, announcement in announcements.items():
            load = self.load_by_id.get(upstream_id)
            if load is None:
                load = upstream_load.UpstreamLoad(announcement, self._memory_tokens)
                self.load_by_id[upstream_id] = load
                self.speeds.add_upstream(load)
            load.announcement = announcement

    def evict_absent(self, now: float) -> None:
        """Evict the upstreams that have been absent for long."""
        for upstream_id, load in tuple(self.load_by_id.items()):
            if load.is_gone(now):
                del self.load_by_id[upstream_id]

    @property
    def present(self) -> list[upstream_load.UpstreamLoad]:
        """Return the upstreams that may be used now."""
        return [load for load in self.load_by_id.values() if load.is_present]

    @property
    def is_full(self) -> bool:
        """Return whether no request can start now because no upstream has a free slot.

        Upstreams that sent backpressure signals may also reject requests in a pass, so with these
        it is always False.
        """
        return self.gate.is_unrestricted and all(load.is_full for load in self.present)

    def usable(self, request: placement_messages.PlaceRequest) -> list[upstream_load.UpstreamLoad]:
        """Return the upstreams that may run a request, whether or not they have room."""
        return [
            load
            for load in self.present
            if request.may_run_at(load.announcement.upstream_id, load.announcement.version)
        ]

    def lacks_version(self, request: placement_messages.PlaceRequest) -> bool:
        """Return whether no upstream may run a request that needs a version."""
        return request.version is not None and not self.usable(request)

    def is_excluded_everywhere(self, request: placement_messages.PlaceRequest) -> bool:
        """Return whether each upstream that could run a request has failed it.

        It is False without any such upstream: requests wait for the first one after a restart.
        """
        if not request.excluded or self.usable(request):
            return False
        return bool(self.usable(request.without_exclusions()))

    def best(self, waiting: wait_queue.WaitingRequest, now: float) -> Choice | None:
        """Return the upstream with the lowest cost, or None if none may get the request now."""
        request = waiting.request
        candidates = self._candidates(waiting, now)
        if not candidates:
            return None
        inputs = placement_cost.CostInputs(
            prefill_model=self.prefill_model(),
            cached_elsewhere=self._recent_prefixes.recently_computed(request.parts, now),
            prefix_source=self._prefix_source(request, now),
            prompt_tokens=request.prompt_tokens,
            waited_ms=(now - waiting.queued_at) * 1000.0,
            now=now,
        )
        best: Choice | None = None
        for load in candidates:
            factor = load.speed.factor
            load.steps.configure(
                self.event_tokens,
                self.estimator.step_ms * factor,
                self.estimator.chunk_ms * factor,
            )
            relative_time = self.speeds.relative_time(load, now)
            found = placement_cost.cost(load, request, inputs, relative_time)
            if best is None or found.total < best.cost.total:
                best = Choice(load, found)
        return best

    def add(self, run: upstream_load.Run, load: upstream_load.UpstreamLoad, now: float) -> None:
        """Add a run that is placed on an upstream."""
        load.add(run, now)
        self.gate.record_send(load, now)
        self._recent_prefixes.record(run.request.parts, now)

    def closed_ms(self, waiting: wait_queue.WaitingRequest, now: float) -> float:
        """Return the time until backpressure admits a request somewhere, in milliseconds."""
        if self.gate.is_unrestricted:
            return 0.0
        return self.gate.closed_ms(waiting, self.usable(waiting.request), now)

    def has_tight_stream(self) -> bool:
        """Return whether a stream runs that concurrent prefill makes late.

        Long prompts are held only for the sake of such streams. Without them, an engine prefills
        most if it always has the next prompt at hand.
        """
        tight_gap_ms = self.prefill_model().tight_gap_ms
        return any(
            load.has_tight_stream(tight_gap_ms * self.speeds.gap_time(load))
            for load in self.present
        )

    def unconstrained_engines(self) -> int:
        """Return the number of upstreams without streams that concurrent prefill makes late."""
        tight_gap_ms = self.prefill_model().tight_gap_ms
        return sum(
            not load.has_tight_stream(tight_gap_ms * self.speeds.gap_time(load))
            for load in self.present
        )

    def prefill_model(self) -> placement_cost.PrefillModel:
        """Return the prefill rate and inter-event gaps of the engines."""
        return placement_cost.PrefillModel(
            self.estimator.tokens_per_ms,
            self.estimator.max_gap_ms(self.event_tokens),
            self.event_tokens * self.estimator.step_ms,
        )

    def min_prefill_ms(self, request: placement_messages.PlaceRequest) -> float:
        """Return the prefill time on the engine that holds the longest prefix, in milliseconds."""
        usual_tokens = min(
            (
                load.cache.uncached_tokens(request.parts) * load.speed.factor
                for load in self.present
            ),
            default=sum(part.tokens for part in request.parts),
        )
        return usual_tokens / self.estimator.tokens_per_ms

    def _prefix_source(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_cost.PrefixSource:
        """Return the healthy engine that holds the longest prefix, if others can fetch from it."""
        if not self._fetch_ms_per_token or len(request.parts) < 2:
            return placement_cost.PrefixSource()
        best = placement_cost.PrefixSource()
        for load in self.present:
            tokens = load.fetchable_tokens(request.parts)
            if tokens > best.tokens and not load.is_backing_off(now):
                address = load.announcement.address
                best = placement_cost.PrefixSource(address, tokens, self._fetch_ms_per_token)
        return best

    def _candidates(
        self, waiting: wait_queue.WaitingRequest, now: float
    ) -> list[upstream_load.UpstreamLoad]:
        """Return the upstreams with a free slot; those in failure backoff only if all are.

        While the healthy ones are full or may get nothing now, a request is queued: on an upstream
        in failure backoff it would be lost.
        """
        tokens = waiting.request.memory_tokens
        allowed = self.usable(waiting.request)
        healthy = [load for load in allowed if not load.is_backing_off(now)]
        return [
            load
            for load in healthy or allowed
            if not load.is_full
            and not (self.speeds.is_active and load.is_filled(load.speed.unknown_runs(now)))
            and load.has_memory_for(tokens)
            and self.gate.is_open(load, waiting.entry_id, now)
        ]
