"""Place requests without an owner within this host's share, and queue those beyond it. Pure.

It handles a service whose demand is several times its capacity while no replica can be reached. The
queue is in order of tier, target and age. A request that can't start in time is refused at once, so
that its caller can still retry.
"""

from __future__ import annotations

import bisect
import dataclasses
import math
import operator
from collections.abc import Callable

from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    local_choice,
    placement_messages,
    reported_load,
    standalone_slots,
)

MAX_WAITING = 500
"""Maximum number of requests that wait at a host: 10 MB with bodies of 20 KB, as long prompts
have."""

TOO_LATE = "no slot of this host's share became free in time"
"""Reason of refusals whose time is up."""

Upstreams = Callable[[str], tuple[upstream_types.Announcement, ...]]
"""Returns the upstreams of a service that accept requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A placement, with its inputs for the log.

    Attributes:
        placed: The placement.
        allowance: What this host may use of the upstream.
        running: This host's own runs there, without this one.
        waited_s: How long the request waited, in seconds.
    """

    placed: placement_messages.Placed
    allowance: standalone_slots.Allowance
    running: int
    waited_s: float


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request in the queue; times in seconds.

    Attributes:
        request: The placement request.
        arrived_at: When it arrived at this host.
        queued_at: When it joined the queue.
        deadline_at: When its caller gives up.
        first_by_at: When its caller leaves if no event has arrived; infinite for its deadline.
        latest_start_at: When it has to start to be of use to its caller; it depends on the run
            times that are measured while it waits.
        notify: Called when it has left the queue, or is to be checked again.
        outcome: Its answer; None while it waits.
        is_released: Whether it has left the queue without an answer, to be placed in another way.
    """

    request: placement_messages.PlaceRequest
    arrived_at: float
    queued_at: float
    deadline_at: float
    first_by_at: float
    latest_start_at: float
    notify: Callable[[], None]
    outcome: Granted | placement_messages.PlaceRefused | None = None
    is_released: bool = False

    @property
    def is_done(self) -> bool:
        """Return whether it has left the queue."""
        return self.outcome is not None or self.is_released

    @property
    def kind(self) -> tuple[int, float]:
        """Return tier and target, the first parts of the sort key."""
        return self.request.tier, self.request.target_ms

    @property
    def order(self) -> tuple[int, float, float, str]:
        """Return the sort key: tier, then target, then age."""
        return *self.kind, self.arrived_at, self.request.ticket_id


class StandaloneQueue:
    """The own runs of an entry host, and its requests that wait for a slot.

    No clock: times are arguments, in seconds.

    Attributes:
        slots: This host's runs at the upstreams, and its shares of them.
    """

    def __init__(
        self,
        entry_id: str,
        gate: send_gate.SendGate,
        upstreams: Upstreams,
        entry_hosts: Callable[[], int],
    ) -> None:
        """Create an empty queue.

        Args:
            entry_id: This entry host.
            gate: Paces requests to upstreams.
            upstreams: Returns the upstreams of a service.
            entry_hosts: Returns the number of entry hosts that share them.
        """
        self._entry_id = entry_id
        self._gate = gate
        self._upstreams = upstreams
        self._entry_hosts = entry_hosts
        self._line_by_service: dict[str, list[Waiting]] = {}
        self._times = standalone_slots.RunTimes()
        self.slots = standalone_slots.StandaloneSlots(entry_id)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self._line_by_service.values())

    def record_first_event(self, request: placement_messages.PlaceRequest, after_ms: float) -> None:
        """Record the time to the first event of a stream."""
        self._times.record_first_event(request, after_ms)

    def record_end(
        self,
        upstream_id: str,
        request: placement_messages.PlaceRequest,
        end: placement_messages.RunEnd,
        after_ms: float,
        now: float,
    ) -> None:
        """Record the end of a run, and use the slot for a request that waits."""
        self.slots.record_end(upstream_id, request)
        self._times.record_end(request, end, after_ms, now)
        self._grant(request.service, now)
        # The run's response may have closed the upstream, so that only its pace opens it again.
        self._wake_first(request.service)

    def record_load(
        self, upstream: upstream_types.Announcement, load: reported_load.ReportedLoad, now: float
    ) -> None:
        """Record what an upstream in view reported, and use slots that it shows to be free."""
        self.slots.record_load(upstream.upstream_id, load, now)
        self._grant(upstream.service, now)

    def place(
        self,
        request: placement_messages.PlaceRequest,
        *,
        arrived_at: float,
        deadline_at: float,
        first_by_at: float,
        now: float,
        notify: Callable[[], None],
    ) -> Waiting:
        """Place a request, queue it, or refuse it; ``outcome`` has the answer.

        Args:
            request: The placement request.
            arrived_at: When it arrived at this host, in seconds.
            deadline_at: When its caller gives up, in seconds.
            first_by_at: When its caller leaves if no event has arrived, in seconds; infinite if
                that is its deadline.
            now: The time in seconds.
            notify: Called when it has left the queue, or is to be checked again.
        """
        waiting = Waiting(request, arrived_at, now, deadline_at, first_by_at, deadline_at, notify)
        self._update(waiting)
        refused = local_choice.refuse(request, self._usable_paces_s(request, now))
        if refused is not None:
            retry_ms = max(refused.retry_after_ms, self._retry_ms(waiting, now))
            waiting.outcome = dataclasses.replace(refused, retry_after_ms=retry_ms)
            return waiting
        line = self._line_by_service.setdefault(request.service, [])
        bisect.insort(line, waiting, key=operator.attrgetter("order"))
        self._grant(request.service, now)
        if waiting.outcome is None:
            self._refuse_hopeless(waiting, now)
            self._limit()
        return waiting

    def check(self, waiting: Waiting, now: float) -> float:
        """Place a waiting request if it can start now; refuse it if its time is up.

        Returns:
            When to call this again at the latest, in seconds.
        """
        service = waiting.request.service
        if not waiting.is_done:
            self._grant(service, now)
        if not waiting.is_done:
            self._update(waiting)
            if now >= waiting.latest_start_at:
                self._refuse(waiting, local_choice.RETRY_MS, TOO_LATE)
        line = self._line_by_service.get(service)
        if self._gate.is_unrestricted or not line or line[0] is not waiting:
            return waiting.latest_start_at
        # Only the first one follows the pace of upstreams: its start wakes the next.
        paces_s = self._paces_s(service, now).values()
        opens_s = min((wait_s for wait_s in paces_s if wait_s > 0), default=math.inf)
        return min(waiting.latest_start_at, now + opens_s)

    def use_view(self, upstreams: tuple[upstream_types.Announcement, ...], now: float) -> None:
        """Use changed upstreams: release or refuse requests that none of them may run.

        Args:
            upstreams: The upstreams of all services.
            now: The time in seconds.
        """
        self.slots.retain(upstreams)
        for service, line in tuple(self._line_by_service.items()):
            known = self._upstreams(service)
            for waiting in tuple(line):
                request = waiting.request
                if not known:
                    self.release(waiting)
                elif not any(request.may_run_at(item.upstream_id, item.version) for item in known):
                    why = "every upstream that may run this request has failed it or is gone"
                    self._refuse(waiting, self._retry_ms(waiting, now), why)
            self._grant(service, now)

    def release(self, waiting: Waiting) -> None:
        """Remove a request from the queue, to be placed in another way."""
        if not waiting.is_done:
            waiting.is_released = True
            self._leave(waiting)

    def withdraw(self, waiting: Waiting, now: float) -> None:
        """Remove a request whose caller has left; its slot, if it has one, is free again."""
        self.release(waiting)
        if isinstance(waiting.outcome, Granted):
            upstream_id = waiting.outcome.placed.upstream_id
            end = placement_messages.RunEnd.NOT_SENT
            self.record_end(upstream_id, waiting.request, end, 0.0, now)

    def _grant(self, service: str, now: float) -> None:
        """Start the requests that can start, in order.

        If memory is too full for a request at each upstream, the one with the fewest own tokens is
        kept for it: smaller requests behind it, also of lower tiers, would delay it for as long as
        they arrive.
        """
        line = self._line_by_service.get(service)
        if not line:
            return
        hosts = self._entry_hosts()
        paces_s = self._paces_s(service, now)
        upstreams = self._upstreams(service)
        upstream_by_id = {item.upstream_id: item for item in upstreams}
        open_ids = {key for key, wait_s in paces_s.items() if wait_s <= 0}
        usable, is_single = self.slots.usable(upstreams, open_ids, hosts, now)
        if not is_single:
            self._start_retries(service, open_ids, now)
        for waiting in tuple(line):
            if not usable:
                return
            request = waiting.request
            if self._is_late(waiting, now):
                self._refuse(waiting, local_choice.RETRY_MS, TOO_LATE)
                continue
            candidates = [
                item for item in usable if request.may_run_at(item, upstream_by_id[item].version)
            ]
            fitting = [item for item in candidates if self.slots.fits(item, request, hosts)]
            if not fitting and candidates:
                del usable[min(candidates, key=self.slots.own_tokens)]
            elif not fitting:
                continue
            elif is_single:
                self._start(waiting, upstream_by_id[fitting[0]], now)
                return
            else:
                chosen = self._choose(request, [upstream_by_id[item] for item in fitting], now)
                self._start(waiting, chosen, now)
                if not self._has_room(chosen.upstream_id, usable[chosen.upstream_id], now):
                    del usable[chosen.upstream_id]

    def _start_retries(self, service: str, open_ids: set[str], now: float) -> None:
        """Start those that failed at every upstream with a share: one run at the others."""
        retries = [
            item
            for item in self._line_by_service[service]
            if item.request.excluded or item.request.version is not None
        ]
        if not retries:
            return
        upstreams = self._upstreams(service)
        upstream_by_id = {item.upstream_id: item for item in upstreams}
        shared = self.slots.shared_ids(upstreams, self._entry_hosts(), now)
        for waiting in retries:
            left = {
                item.upstream_id
                for item in upstreams
                if waiting.request.may_run_at(item.upstream_id, item.version)
            }
            if shared.isdisjoint(left) and not self._is_late(waiting, now):
                for upstream_id in self.slots.single(left, open_ids)[:1]:
                    self._start(waiting, upstream_by_id[upstream_id], now)

    def _choose(
        self,
        request: placement_messages.PlaceRequest,
        upstreams: list[upstream_types.Announcement],
        now: float,
    ) -> upstream_types.Announcement:
        """Choose among upstreams; one that reports to be full only if all do."""
        free = [item for item in upstreams if not self.slots.is_full(item, now)] or upstreams
        runs = self.slots.runs_by_upstream
        chosen = local_choice.choose(request, tuple(free), runs, self._entry_id)
        return next(item for item in free if item.upstream_id == chosen)

    def _has_room(self, upstream_id: str, limit: int, now: float) -> bool:
        """Return whether an upstream may get another run at once."""
        if self.slots.runs_by_upstream[upstream_id] >= limit:
            return False
        share = local_choice.pace_share(self._entry_hosts())
        return self._gate.wait_s(upstream_id, self._entry_id, now, share) <= 0

    def _start(self, waiting: Waiting, upstream: upstream_types.Announcement, now: float) -> None:
        upstream_id = upstream.upstream_id
        allowance = self.slots.allowance(upstream, self._entry_hosts(), now)
        running = self.slots.runs_by_upstream.get(upstream_id, 0)
        self.slots.record_start(upstream_id, waiting.request)
        self._gate.record_send(upstream_id, now, local_choice.pace_share(self._entry_hosts()))
        placed = placement_messages.Placed(waiting.request.ticket_id, upstream_id)
        waiting.outcome = Granted(placed, allowance, running, now - waiting.arrived_at)
        self._leave(waiting)

    def _is_late(self, waiting: Waiting, now: float) -> bool:
        """Return whether a request that has waited can no longer run in time."""
        if now <= waiting.queued_at:
            return False
        self._update(waiting)
        return now > waiting.latest_start_at

    def _update(self, waiting: Waiting) -> None:
        """Use the run times that are measured now."""
        waiting.latest_start_at = self._times.latest_start_at(
            waiting.request, waiting.deadline_at, waiting.first_by_at
        )

    def _refuse(self, waiting: Waiting, retry_ms: float, why: str) -> None:
        waiting.outcome = placement_messages.PlaceRefused(waiting.request.ticket_id, retry_ms, why)
        self._leave(waiting)

    def _leave(self, waiting: Waiting) -> None:
        service = waiting.request.service
        line = self._line_by_service[service]
        index = bisect.bisect_left(line, waiting.order, key=operator.attrgetter("order"))
        del line[index]
        waiting.notify()
        if not line:
            del self._line_by_service[service]
        elif index == 0:
            self._wake_first(service)

    def _wake_first(self, service: str) -> None:
        """Let the first request in order be checked again if upstreams have a pace."""
        line = self._line_by_service.get(service)
        if line and not self._gate.is_unrestricted:
            line[0].notify()

    def _limit(self) -> None:
        """Refuse the last request in order if too many wait."""
        if self.waiting <= MAX_WAITING:
            return
        lasts = (line[-1] for line in self._line_by_service.values())
        last = max(lasts, key=operator.attrgetter("order"))
        why = f"{MAX_WAITING} requests wait at this host already"
        self._refuse(last, local_choice.RETRY_MS, why)

    def _refuse_hopeless(self, added: Waiting, now: float) -> None:
        """Refuse a new request and those behind it that can't start in time.

        They wait until as many runs have ended as requests are ahead of them, and one more.
        """
        service = added.request.service
        rate = self._ends_per_s(service, now)
        line = self._line_by_service[service]
        ahead = bisect.bisect_left(line, added.order, key=operator.attrgetter("order"))
        for waiting in line[ahead:]:
            wait_s = (ahead + 1) / rate if rate else 0.0
            self._update(waiting)
            left_s = waiting.latest_start_at - now
            if wait_s <= left_s:
                ahead += 1
                continue
            retry_ms = max(local_choice.RETRY_MS, 1000.0 * (wait_s - max(left_s, 0.0)))
            self._refuse(waiting, retry_ms, "too many requests wait at this host before it")

    def _retry_ms(self, refused: Waiting, now: float) -> float:
        """Return when a slot of this host's share is free for the retry of a request.

        The retry goes behind the requests of its kind that wait now. It may use all upstreams, also
        those that have failed the request.
        """
        service = refused.request.service
        upstreams = self._upstreams(service)
        all_ids = {item.upstream_id for item in upstreams}
        rate = self._ends_per_s(service, now)
        if not rate or self.slots.usable(upstreams, all_ids, self._entry_hosts(), now)[0]:
            return local_choice.RETRY_MS
        line = self._line_by_service.get(service, ())
        ahead = bisect.bisect_right(line, refused.kind, key=operator.attrgetter("kind"))
        return max(local_choice.RETRY_MS, 1000.0 * (ahead + 1) / rate)

    def _ends_per_s(self, service: str, now: float) -> float:
        runs = self.slots.runs_by_upstream
        running = sum(runs.get(item.upstream_id, 0) for item in self._upstreams(service))
        return self._times.ends_per_s(service, running, now)

    def _usable_paces_s(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> dict[str, float]:
        """Return the paces of the upstreams that have the version of a request."""
        paces_s = self._paces_s(request.service, now)
        return {
            item.upstream_id: paces_s[item.upstream_id]
            for item in self._upstreams(request.service)
            if request.version in (None, item.version)
        }

    def _paces_s(self, service: str, now: float) -> dict[str, float]:
        upstreams = self._upstreams(service)
        if self._gate.is_unrestricted:
            return {item.upstream_id: 0.0 for item in upstreams}
        return local_choice.paces_s(
            upstreams,
            self._gate,
            entry_id=self._entry_id,
            entry_hosts=self._entry_hosts(),
            now=now,
        )
