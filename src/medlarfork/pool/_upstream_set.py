"""Count each upstream's slots exactly and choose one for a ticket."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator

from medlarfork import ticket, upstream
from medlarfork.pool import _pool_ticket, _prefix_index, _upstream_health, pool_options, pool_view

_FOREIGN_WINDOW_S = 5.0
"""How far back own running requests may explain a lagging load report, in seconds."""
_SLACK = 64
"""Outdated entries that the heap may hold before it is rebuilt."""


class Upstream:
    """Hold the scheduling state of one upstream."""

    __slots__ = ("announcement", "drained", "foreign", "free", "gone_at", "granted", "limit",
                 "number", "paused_until", "peaks", "peaks_since", "read_at", "running", "slots",
                 "up", "up_since", "usable", "version")  # fmt: skip

    def __init__(self, announcement: upstream.Announcement, number: int, now: float) -> None:
        """Create the state of an upstream that has just come up."""
        self.announcement = announcement
        self.number = number
        self.up = True
        self.up_since = now
        self.drained = False
        self.usable = False
        self.granted = 0
        self.running = 0
        self.slots = 0
        self.limit = 0
        self.free = 0
        self.foreign = 0
        self.peaks = [0, 0]
        self.peaks_since = now
        self.gone_at = math.inf
        self.paused_until = -math.inf
        self.read_at = now
        self.version = 0

    def note_running(self, now: float) -> None:
        """Remember the most own requests of the last window, to explain late reports."""
        if now - self.peaks_since > _FOREIGN_WINDOW_S:
            self.peaks = [self.running, self.peaks[0]]
            self.peaks_since = now
        self.peaks[0] = max(self.peaks[0], self.running)

    def share(self) -> float:
        """Return the load relative to the limit, counting the next request."""
        return (self.running + self.foreign + 1) / max(1, self.limit)

    def view(
        self, health: _upstream_health.UpstreamHealth, slow_start_s: float
    ) -> pool_view.UpstreamView:
        """Return a read-only copy."""
        upstream_id = self.announcement.upstream_id
        return pool_view.UpstreamView(
            upstream_id=upstream_id,
            address=self.announcement.address,
            usable=self.usable,
            drained=self.drained,
            ejected=health.ejected(upstream_id),
            probing=health.probing(upstream_id),
            slots=self.slots,
            limit=self.limit,
            running=self.running,
            foreign=self.foreign,
            slowness=health.relative_slowness(upstream_id),
            ejected_until=health.ejected_until(upstream_id),
            full_at=self.up_since + slow_start_s,
        )


class UpstreamSet:
    """Hold a pool's upstreams; free slots are summed, the least loaded is found by a heap."""

    def __init__(self, options: pool_options.PoolOptions) -> None:
        """Create an empty set."""
        self._options = options
        self._upstream_by_id: dict[str, Upstream] = {}
        self._drained: frozenset[str] = frozenset()
        self._default_slots = 1
        self._heap: list[tuple[float, int, str, int, int]] = []
        self._numbers = 0
        self._grants = 0
        self._first_seen: float | None = None
        self._panic = False
        self.health = _upstream_health.UpstreamHealth(options)
        self.prefixes = _prefix_index.PrefixIndex()
        self.usable = 0
        self.slots = 0
        self.free = 0
        self._unusable_since: float | None = None
        self._took_over_at = -math.inf
        self._settled_at = -math.inf

    def __iter__(self) -> Iterator[Upstream]:
        """Return every upstream, also unusable ones whose requests still run."""
        return iter(self._upstream_by_id.values())

    def get(self, upstream_id: str) -> Upstream | None:
        """Return an upstream, if it is known."""
        return self._upstream_by_id.get(upstream_id)

    def configure(self, drained: Iterable[str], default_slots: int, now: float) -> None:
        """Put drained upstreams and the service's default slots in force."""
        self._drained = frozenset(drained)
        self._default_slots = max(1, default_slots)
        self.refresh_all(now)

    def take_over(self, now: float) -> None:
        """Grant unproved slots again only after the settling time."""
        self._took_over_at = now
        self._settled_at = now + self._options.settle_s
        self.refresh_all(now)

    def announce(
        self, announcement: upstream.Announcement, now: float, *, came_up: bool, age_s: float = 0.0
    ) -> None:
        """Apply an announcement unless a newer one of the upstream is known."""
        known = self._upstream_by_id.get(announcement.upstream_id)
        if not came_up and (known is None or not known.up):
            return
        if known is None or announcement.incarnation > known.announcement.incarnation:
            known = self._add(announcement, now)
        elif not self._is_newer(announcement, known, came_up):
            return
        if not known.up:
            known.up = True
            known.up_since = now
        if known.announcement.state != upstream.UpstreamState.LEAVING:
            known.announcement = announcement
        known.foreign = self._foreign(known, announcement.load)
        known.read_at = now - age_s - announcement.load.age_s
        self.prefixes.apply(announcement.upstream_id, announcement.cache_events)
        was_usable = known.usable
        self.refresh(known, now)
        if known.usable != was_usable:
            self._check_panic(now)

    def gone(self, upstream_id: str, now: float) -> None:
        """Stop grants to an upstream; it is forgotten once nothing runs there."""
        known = self._upstream_by_id.get(upstream_id)
        if known is not None:
            known.up = False
            known.gone_at = now
            self.prefixes.forget(upstream_id)
            self.refresh(known, now)
            self._forget_if_done(known)
            self._check_panic(now)

    def start(self, upstream_id: str, started: float, now: float) -> int:
        """Count a request in; return the number of the upstream's present run."""
        known = self._upstream_by_id.get(upstream_id)
        if known is None:
            return -1
        self._grants += 1
        known.granted = self._grants
        known.running += 1
        if started < known.read_at and known.foreign:
            # An earlier owner's grant, which the reading counts.
            known.foreign -= 1
        known.note_running(now)
        self._recount(known, now)
        return known.number

    def finish(
        self, done: _pool_ticket.RunningTicket, release: ticket.Release | None, now: float
    ) -> None:
        """Count a request out and learn from how it went; an earlier incarnation's is over."""
        upstream_id = done.upstream_id
        known = self._upstream_by_id.get(upstream_id)
        if known is None or known.number != done.number:
            return
        known.note_running(now)
        known.running -= 1
        ejected = False
        if release is not None:
            class_name = done.ticket.class_name
            ejected = self.health.observe(upstream_id, class_name, release, known.slots, now)
            known.paused_until = max(known.paused_until, now + release.pause_s)
        self.refresh(known, now)
        self._forget_if_done(known)
        if ejected:
            self._check_panic(now)

    def housekeep(self, now: float) -> None:
        """End ejections, ramp slow starts and compare stragglers; called every second or so."""
        for upstream_id in self.health.end_ejections(now):
            self._upstream_by_id[upstream_id].up_since = now
        self.health.update_median(self._upstream_by_id)
        self._check_panic(now)
        self.refresh_all(now)

    def choose(self, item: ticket.Ticket, avoid: tuple[str, ...]) -> Upstream | None:
        """Return the upstream with a free slot that serves a ticket best."""
        if self._options.affinity and item.prefix:
            holder = self._holder(item, avoid)
            if holder is not None:
                return holder
        aside = []
        chosen = None
        while self._heap and chosen is None:
            first = self._heap[0]
            known = self._upstream_by_id.get(first[2])
            if known is None or (known.number, known.version) != first[3:] or not known.free:
                heapq.heappop(self._heap)
            elif known.announcement.upstream_id in avoid:
                aside.append(heapq.heappop(self._heap))
            else:
                chosen = known
        for entry in aside:
            heapq.heappush(self._heap, entry)
        return chosen

    def other_usable(self, avoid: tuple[str, ...]) -> bool:
        """Return whether any usable upstream, free or not, is not among ``avoid``."""
        avoided = sum(
            1
            for upstream_id in set(avoid)
            if (known := self._upstream_by_id.get(upstream_id)) is not None and known.usable
        )
        return self.usable > avoided

    def unusable_s(self, now: float) -> float:
        """Return for how long the pool has had no usable upstream."""
        if self.usable:
            self._unusable_since = None
            return 0.0
        if self._unusable_since is None:
            self._unusable_since = now
        return now - self._unusable_since

    def refresh_all(self, now: float) -> None:
        """Recompute every upstream."""
        for known in self._upstream_by_id.values():
            self.refresh(known, now)

    def refresh(self, known: Upstream, now: float) -> None:
        """Recompute one upstream's limit and free slots, and the sums over all."""
        self._count(known, -1)
        upstream_id = known.announcement.upstream_id
        ready = known.announcement.state == upstream.UpstreamState.READY
        known.drained = upstream_id in self._drained
        ejected = self.health.ejected(upstream_id) and not self._panic
        known.usable = known.up and ready and not known.drained and not ejected
        known.slots = known.announcement.slots or self._default_slots
        known.limit = min(self.health.limit(upstream_id, known.slots), self._ramp(known, now))
        known.free = self._free(known, now)
        known.version += 1
        self._count(known, 1)
        if known.free:
            self._push(known)
        self.unusable_s(now)

    def _add(self, announcement: upstream.Announcement, now: float) -> Upstream:
        replaced = self._upstream_by_id.get(announcement.upstream_id)
        if replaced is not None:
            self._count(replaced, -1)
        self._numbers += 1
        known = Upstream(announcement, self._numbers, now)
        if self._first_seen is None:
            self._first_seen = now
        if now - self._first_seen < self._options.slow_start_s:
            # A new owner meets upstreams that have long been warm.
            known.up_since = -math.inf
        self._upstream_by_id[announcement.upstream_id] = known
        self.health.add(announcement.upstream_id)
        self.prefixes.forget(announcement.upstream_id)
        return known

    def _is_newer(
        self, announcement: upstream.Announcement, known: Upstream, came_up: bool
    ) -> bool:
        latest = known.announcement
        if announcement.incarnation < latest.incarnation:
            return False
        return announcement.sequence > latest.sequence or came_up

    def _count(self, known: Upstream, sign: int) -> None:
        if known.usable:
            self.usable += sign
            self.slots += sign * known.limit
            self.free += sign * known.free

    def _foreign(self, known: Upstream, load: upstream.Load) -> int:
        explained = max(known.running, *known.peaks)
        return max(0, load.running + load.waiting - explained)

    def _recount(self, known: Upstream, now: float) -> None:
        """Recompute free slots alone, after a start: nothing else has changed."""
        free = self._free(known, now)
        if known.usable:
            self.free += free - known.free
        known.free = free
        known.version += 1
        if free:
            self._push(known)

    def _free(self, known: Upstream, now: float) -> int:
        unproved = now < self._settled_at and known.read_at < self._took_over_at
        if unproved or not known.usable or now < known.paused_until:
            return 0
        return max(0, known.limit - known.running - known.foreign)

    def _ramp(self, known: Upstream, now: float) -> int:
        ramp_s = self._options.slow_start_s
        elapsed = now - known.up_since
        if ramp_s <= 0 or elapsed >= ramp_s:
            return known.slots
        return max(1, math.ceil(known.slots * elapsed / ramp_s))

    def _push(self, known: Upstream) -> None:
        upstream_id = known.announcement.upstream_id
        slowness, probing = self.health.burden(upstream_id)
        cost = known.share() * slowness
        if probing:
            cost += known.slots
        entry = (cost, known.granted, upstream_id, known.number, known.version)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 4 * len(self._upstream_by_id) + _SLACK:
            self._heap = [item for item in self._heap if self._is_current(item)]
            heapq.heapify(self._heap)

    def _is_current(self, item: tuple[float, int, str, int, int]) -> bool:
        known = self._upstream_by_id.get(item[2])
        return known is not None and (known.number, known.version) == item[3:]

    def _holder(self, item: ticket.Ticket, avoid: tuple[str, ...]) -> Upstream | None:
        used = (self.slots - self.free + 1) / max(1, self.slots)
        bound = self._options.affinity_load_bound * used
        holders = (self._upstream_by_id.get(held) for held in self.prefixes.holders(item.prefix))
        fit = [
            known
            for known in holders
            if known is not None and known.free
            if known.announcement.upstream_id not in avoid
            if known.share() <= bound + 1 / max(1, known.limit)
        ]
        return min(fit, key=Upstream.share) if fit else None

    def _forget_if_done(self, known: Upstream) -> None:
        if not known.up and known.running == 0:
            self._count(known, -1)
            del self._upstream_by_id[known.announcement.upstream_id]
            self.health.remove(known.announcement.upstream_id)

    def _check_panic(self, now: float) -> None:
        candidates = [
            known
            for known in self._upstream_by_id.values()
            if known.up and not known.drained
            if known.announcement.state == upstream.UpstreamState.READY
        ]
        sound = sum(not self.health.ejected(known.announcement.upstream_id) for known in candidates)
        panic = bool(candidates) and sound < self._options.panic_share * len(candidates)
        if panic != self._panic:
            self._panic = panic
            self.refresh_all(now)
