"""The upstreams of one pool: slot accounting and the choice of an upstream for a ticket."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator

from medlarfork import ticket, upstream
from medlarfork.pool import _pool_ticket, _prefix_index, _upstream_health, pool_options, pool_view

_PEAK_WINDOW_S = 5.0
"""Window of the peak number of own requests, which explain a delayed load report, in seconds.

The peaks of the present and of the previous window count.
"""
_MAX_STALE = 64
"""Stale entries that the heap may hold before it is rebuilt."""


class Upstream:
    """Scheduling state of one upstream.

    Attributes:
        generation: Number that distinguishes successive registrations of an upstream id.
        last_grant: Sequence number of the latest grant; among equals, the smallest is chosen first.
        limit: Concurrent requests allowed now.
        foreign: Requests that the load report shows and this pool did not send.
        peak_running: Most own requests in the present and in the previous peak window.
        backoff_until: Until when no grants are made because the upstream asked for a backoff.
        load_observed_at: When the reported load was valid.
        version: Increased with each refresh; heap entries of other versions are stale.
    """

    __slots__ = ("announcement", "drained", "foreign", "free", "gone_at", "last_grant", "limit",
                 "generation", "backoff_until", "peak_running", "peak_window_start",
                 "load_observed_at", "running", "slots",
                 "up", "up_since", "usable", "version")  # fmt: skip

    def __init__(self, announcement: upstream.Announcement, generation: int, now: float) -> None:
        """Create the state of an upstream that has just come up."""
        self.announcement = announcement
        self.generation = generation
        self.up = True
        self.up_since = now
        self.drained = False
        self.usable = False
        self.last_grant = 0
        self.running = 0
        self.slots = 0
        self.limit = 0
        self.free = 0
        self.foreign = 0
        self.peak_running = [0, 0]
        self.peak_window_start = now
        self.gone_at = math.inf
        self.backoff_until = -math.inf
        self.load_observed_at = now
        self.version = 0

    def update_peaks(self, now: float) -> None:
        """Update the peak number of own running requests, which explain delayed load reports."""
        if now - self.peak_window_start > _PEAK_WINDOW_S:
            self.peak_running = [self.running, self.peak_running[0]]
            self.peak_window_start = now
        self.peak_running[0] = max(self.peak_running[0], self.running)

    def relative_load(self) -> float:
        """Return the load relative to the limit, including the next request."""
        return (self.running + self.foreign + 1) / max(1, self.limit)

    def view(
        self, health: _upstream_health.UpstreamHealth, slow_start_s: float
    ) -> pool_view.UpstreamView:
        """Return a read-only view for operators."""
        upstream_id = self.announcement.upstream_id
        return pool_view.UpstreamView(
            upstream_id=upstream_id,
            address=self.announcement.address,
            usable=self.usable,
            drained=self.drained,
            ejected=health.is_ejected(upstream_id),
            probing=health.is_probing(upstream_id),
            slots=self.slots,
            limit=self.limit,
            running=self.running,
            foreign=self.foreign,
            slowness=health.relative_slowness(upstream_id),
            ejected_until=health.ejected_until(upstream_id),
            full_at=self.up_since + slow_start_s,
        )


class UpstreamSet:
    """Hold a pool's upstreams, with totals of their slots and a heap ordered by load."""

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Start without upstreams."""
        self._options = options
        self._upstream_by_id: dict[str, Upstream] = {}
        self._drained: frozenset[str] = frozenset()
        self._default_slots = 1
        self._heap: list[tuple[float, int, str, int, int]] = []
        self._generations = 0
        self._grant_count = 0
        self._first_seen: float | None = None
        self._panic = False
        self.health = _upstream_health.UpstreamHealth(options)
        self.prefixes = _prefix_index.PrefixIndex()
        self.usable = 0
        self.slots = 0
        self.free = 0
        self._unusable_since: float | None = None
        self._took_over_at = -math.inf
        self._settles_at = -math.inf

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over all upstreams, including unusable ones whose requests still run."""
        return iter(self._upstream_by_id.values())

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream; None if it is unknown."""
        return self._upstream_by_id.get(upstream_id)

    def configure(self, drained: Iterable[str], default_slots: int, now: float) -> None:
        """Replace the drained upstreams and the service's default slots."""
        self._drained = frozenset(drained)
        self._default_slots = max(1, default_slots)
        self.refresh_all(now)

    def take_over(self, now: float) -> None:
        """Start the settling time, in which a slot is free only if a newer load report shows it."""
        self._took_over_at = now
        self._settles_at = now + self._options.settle_s
        self.refresh_all(now)

    def apply_announcement(
        self, announcement: upstream.Announcement, now: float, *, came_up: bool, age_s: float = 0.0
    ) -> None:
        """Apply an announcement unless a newer one of the upstream is known."""
        state = self._upstream_by_id.get(announcement.upstream_id)
        if not came_up and (state is None or not state.up):
            return
        if state is None or announcement.incarnation > state.announcement.incarnation:
            state = self._add(announcement, now)
        elif not self._is_newer(announcement, state, came_up):
            return
        if not state.up:
            state.up = True
            state.up_since = now
        if state.announcement.state != upstream.UpstreamState.LEAVING:
            state.announcement = announcement
        state.foreign = self._foreign_load(state, announcement.load)
        state.load_observed_at = now - age_s - announcement.load.age_s
        self.prefixes.apply(announcement.upstream_id, announcement.cache_events)
        was_usable = state.usable
        self.refresh(state, now)
        if state.usable != was_usable:
            self._update_panic(now)

    def mark_gone(self, upstream_id: str, now: float) -> None:
        """Stop grants to an upstream; it is removed once nothing runs there."""
        state = self._upstream_by_id.get(upstream_id)
        if state is not None:
            state.up = False
            state.gone_at = now
            self.prefixes.remove_upstream(upstream_id)
            self.refresh(state, now)
            self._remove_if_idle(state)
            self._update_panic(now)

    def add_running(self, upstream_id: str, started: float, now: float) -> int:
        """Count a started request; return the upstream's generation, -1 if it is unknown."""
        state = self._upstream_by_id.get(upstream_id)
        if state is None:
            return -1
        self._grant_count += 1
        state.last_grant = self._grant_count
        state.running += 1
        if started < state.load_observed_at and state.foreign:
            # Granted by an earlier owner, and already included in the reported load.
            state.foreign -= 1
        state.update_peaks(now)
        self._refresh_free_slots(state, now)
        return state.generation

    def remove_running(
        self, done: _pool_ticket.RunningTicket, release: ticket.Release | None, now: float
    ) -> None:
        """Uncount a finished request and update its upstream's health.

        Requests of earlier generations are ignored. ``release`` is None for a reclaimed slot.
        """
        upstream_id = done.upstream_id
        state = self._upstream_by_id.get(upstream_id)
        if state is None or state.generation != done.upstream_generation:
            return
        state.update_peaks(now)
        state.running -= 1
        ejected = False
        if release is not None:
            class_name = done.ticket.class_name
            ejected = self.health.observe_release(
                upstream_id, class_name, release, state.slots, now
            )
            state.backoff_until = max(state.backoff_until, now + release.pause_s)
        self.refresh(state, now)
        self._remove_if_idle(state)
        if ejected:
            self._update_panic(now)

    def housekeep(self, now: float) -> None:
        """End ejections, advance slow starts and compare upstreams; called about once a second."""
        for upstream_id in self.health.end_ejections(now):
            self._upstream_by_id[upstream_id].up_since = now
        self.health.update_median(self._upstream_by_id)
        self._update_panic(now)
        self.refresh_all(now)

    def choose(self, item: ticket.Ticket, avoid: tuple[str, ...]) -> Upstream | None:
        """Return the upstream for a ticket, with a free slot and not in ``avoid``; None if none.

        One whose stream has begun goes only to an upstream of the version that began it.

        One that caches the ticket's prefix is preferred within the affinity load bound, else the
        least loaded one.
        """
        if self._options.affinity and item.prefix:
            holder = self._prefix_holder(item, avoid)
            if holder is not None:
                return holder
        skipped = []
        chosen = None
        while self._heap and chosen is None:
            top = self._heap[0]
            state = self._upstream_by_id.get(top[2])
            if state is None or (state.generation, state.version) != top[3:] or not state.free:
                heapq.heappop(self._heap)
            elif not _may_run(state, item, avoid):
                skipped.append(heapq.heappop(self._heap))
            else:
                chosen = state
        for heap_entry in skipped:
            heapq.heappush(self._heap, heap_entry)
        return chosen

    def lacks_version(self, version: str | None) -> bool:
        """Return whether upstreams are usable, and none of a version may get requests again."""
        if version is None or not self.usable:
            return False
        return not any(
            state.announcement.version == version
            and state.up
            and not state.drained
            and state.announcement.state == upstream.UpstreamState.READY
            for state in self._upstream_by_id.values()
        )

    def has_usable_besides(self, avoid: tuple[str, ...], version: str | None = None) -> bool:
        """Return whether any upstream besides ``avoid`` is usable, with or without a free slot.

        Args:
            avoid: The upstreams to leave out.
            version: Only upstreams of this version count; None for all.
        """
        if version is not None:
            return any(
                state.usable
                and state.announcement.version == version
                and state.announcement.upstream_id not in avoid
                for state in self._upstream_by_id.values()
            )
        avoided = sum(
            1
            for upstream_id in set(avoid)
            if (state := self._upstream_by_id.get(upstream_id)) is not None and state.usable
        )
        return self.usable > avoided

    def unusable_s(self, now: float) -> float:
        """Return for how many seconds the pool has had no usable upstream."""
        if self.usable:
            self._unusable_since = None
            return 0.0
        if self._unusable_since is None:
            self._unusable_since = now
        return now - self._unusable_since

    def refresh_all(self, now: float) -> None:
        """Recompute every upstream."""
        for state in self._upstream_by_id.values():
            self.refresh(state, now)

    def refresh(self, state: Upstream, now: float) -> None:
        """Recompute one upstream's limit and free slots, and update the totals."""
        self._add_to_totals(state, -1)
        upstream_id = state.announcement.upstream_id
        ready = state.announcement.state == upstream.UpstreamState.READY
        state.drained = upstream_id in self._drained
        ejected = self.health.is_ejected(upstream_id) and not self._panic
        state.usable = state.up and ready and not state.drained and not ejected
        state.slots = state.announcement.slots or self._default_slots
        state.limit = min(
            self.health.concurrency_limit(upstream_id, state.slots),
            self._slow_start_limit(state, now),
        )
        state.free = self._free_slots(state, now)
        state.version += 1
        self._add_to_totals(state, 1)
        if state.free:
            self._push(state)
        self.unusable_s(now)

    def _add(self, announcement: upstream.Announcement, now: float) -> Upstream:
        replaced = self._upstream_by_id.get(announcement.upstream_id)
        if replaced is not None:
            self._add_to_totals(replaced, -1)
        self._generations += 1
        state = Upstream(announcement, self._generations, now)
        if self._first_seen is None:
            self._first_seen = now
        if now - self._first_seen < self._options.slow_start_s:
            # The upstreams that a new owner learns of first are already warm.
            state.up_since = -math.inf
        self._upstream_by_id[announcement.upstream_id] = state
        self.health.add(announcement.upstream_id)
        self.prefixes.remove_upstream(announcement.upstream_id)
        return state

    def _is_newer(
        self, announcement: upstream.Announcement, state: Upstream, came_up: bool
    ) -> bool:
        latest = state.announcement
        if announcement.incarnation < latest.incarnation:
            return False
        return announcement.sequence > latest.sequence or came_up

    def _add_to_totals(self, state: Upstream, sign: int) -> None:
        if state.usable:
            self.usable += sign
            self.slots += sign * state.limit
            self.free += sign * state.free

    def _foreign_load(self, state: Upstream, load: upstream.Load) -> int:
        explained = max(state.running, *state.peak_running)
        return max(0, load.running + load.waiting - explained)

    def _refresh_free_slots(self, state: Upstream, now: float) -> None:
        """Recompute only the free slots, which are all that a start changes."""
        free = self._free_slots(state, now)
        if state.usable:
            self.free += free - state.free
        state.free = free
        state.version += 1
        if free:
            self._push(state)

    def _free_slots(self, state: Upstream, now: float) -> int:
        unconfirmed = now < self._settles_at and state.load_observed_at < self._took_over_at
        if unconfirmed or not state.usable or now < state.backoff_until:
            return 0
        return max(0, state.limit - state.running - state.foreign)

    def _slow_start_limit(self, state: Upstream, now: float) -> int:
        ramp_s = self._options.slow_start_s
        elapsed_s = now - state.up_since
        if ramp_s <= 0 or elapsed_s >= ramp_s:
            return state.slots
        return max(1, math.ceil(state.slots * elapsed_s / ramp_s))

    def _push(self, state: Upstream) -> None:
        upstream_id = state.announcement.upstream_id
        slowness, probing = self.health.cost_factors(upstream_id)
        cost = state.relative_load() * slowness
        if probing:
            cost += state.slots
        heap_entry = (cost, state.last_grant, upstream_id, state.generation, state.version)
        heapq.heappush(self._heap, heap_entry)
        if len(self._heap) > 4 * len(self._upstream_by_id) + _MAX_STALE:
            self._heap = [item for item in self._heap if self._is_current(item)]
            heapq.heapify(self._heap)

    def _is_current(self, item: tuple[float, int, str, int, int]) -> bool:
        state = self._upstream_by_id.get(item[2])
        return state is not None and (state.generation, state.version) == item[3:]

    def _prefix_holder(self, item: ticket.Ticket, avoid: tuple[str, ...]) -> Upstream | None:
        used = (self.slots - self.free + 1) / max(1, self.slots)
        bound = self._options.affinity_load_bound * used
        holders = (self._upstream_by_id.get(held) for held in self.prefixes.holders(item.prefix))
        eligible = [
            state
            for state in holders
            if state is not None and state.free
            if _may_run(state, item, avoid)
            if state.relative_load() <= bound + 1 / max(1, state.limit)
        ]
        return min(eligible, key=Upstream.relative_load) if eligible else None

    def _remove_if_idle(self, state: Upstream) -> None:
        if not state.up and state.running == 0:
            self._add_to_totals(state, -1)
            del self._upstream_by_id[state.announcement.upstream_id]
            self.health.remove(state.announcement.upstream_id)

    def _update_panic(self, now: float) -> None:
        candidates = [
            state
            for state in self._upstream_by_id.values()
            if state.up and not state.drained
            if state.announcement.state == upstream.UpstreamState.READY
        ]
        healthy = sum(
            not self.health.is_ejected(state.announcement.upstream_id) for state in candidates
        )
        panic = bool(candidates) and healthy < self._options.panic_share * len(candidates)
        if panic != self._panic:
            self._panic = panic
            self.refresh_all(now)


def _may_run(state: Upstream, item: ticket.Ticket, avoid: tuple[str, ...]) -> bool:
    """Return whether an upstream may run a ticket, whether or not it has a free slot."""
    announcement = state.announcement
    is_of_version = item.version in (None, announcement.version)
    return is_of_version and announcement.upstream_id not in avoid
