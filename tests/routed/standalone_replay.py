"""Replays load on entry hosts that place without an owner, in memory and with its own clock."""

import functools
import heapq
import itertools
import math

from medlarfork.backpressure import send_gate, signal_ledger
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, reported_load, standalone_queue

RUN_S = 0.5
COMPLETE = placement_messages.RunEnd.COMPLETE


def make_upstreams(count, slots):
    """Return announcements of upstreams of the service ``engines``."""
    return tuple(
        upstream_types.Announcement(
            f"u-{n}@1", "engines", f"10.0.0.{n}:80", "z1", slots, name=f"u-{n}"
        )
        for n in range(count)
    )


def make_queue(upstreams, hosts=1, entry_id="e-0", gate=None):
    """Return the queue of one host; ``upstreams`` may be a list that the test changes."""
    return standalone_queue.StandaloneQueue(
        entry_id,
        gate or send_gate.SendGate(signal_ledger.SignalLedger()),
        lambda service: tuple(item for item in upstreams if item.service == service),
        lambda: hosts,
    )


def place(queue, request, now, *, notify=lambda: None):
    """Place a request that arrives now."""
    return queue.place(
        request,
        arrived_at=now,
        deadline_at=now + request.left_ms / 1000.0,
        first_by_at=now + request.first_left_ms / 1000.0 if request.first_left_ms else math.inf,
        now=now,
        notify=notify,
    )


def upstream_of(waiting):
    """Return where a request was placed; empty if it was not."""
    granted = waiting.outcome
    return granted.placed.upstream_id if isinstance(granted, standalone_queue.Granted) else ""


class Replay:
    """Hosts and upstreams; each call takes the same time, and its response head comes within it.

    ``foreign`` has the runs of others at upstreams, which only the upstreams' reports show.
    """

    def __init__(self, hosts, upstreams, *, known_hosts=None, foreign=None, head_s=RUN_S):
        self._upstreams = {item.upstream_id: item for item in upstreams}
        count = known_hosts or hosts
        self.queues = [make_queue(upstreams, count, f"entry-{n}") for n in range(hosts)]
        self._foreign = foreign or {}
        self._head_s = head_s
        self._events = []
        self._order = itertools.count()
        self._left = []
        self.running = dict.fromkeys(self._upstreams, 0)
        self.peak = 0
        self.peak_by_upstream = dict.fromkeys(self._upstreams, 0)
        self.refused = 0
        self.latest_end_s = 0.0

    def run(self, calls_per_s, duration_s, measure_from_s, *, left_ms=1500.0):
        """Offer calls in turn to all hosts; return the mean number in progress."""
        for number in range(int(calls_per_s * duration_s)):
            self._at(number / calls_per_s, functools.partial(self._arrive, number, left_ms))
        clock, busy_s = measure_from_s, 0.0
        while self._events and self._events[0][0] <= duration_s:
            at, _, action = heapq.heappop(self._events)
            if at > clock:
                busy_s += sum(self.running.values()) * (at - clock)
                clock = at
            action(at)
            while self._left:
                self._settle(*self._left.pop(), at)
        return busy_s / (clock - measure_from_s)

    def _at(self, at, action):
        heapq.heappush(self._events, (at, next(self._order), action))

    def _arrive(self, number, left_ms, now):
        queue = self.queues[number % len(self.queues)]
        request = placement_messages.PlaceRequest(f"t{number}", "engines", 0, left_ms)
        placing = []
        notify = functools.partial(self._left.append, (queue, placing))
        placing.append(place(queue, request, now, notify=notify))
        if not placing[0].is_done:
            self._at(placing[0].latest_start_at, functools.partial(queue.check, placing[0]))

    def _settle(self, queue, placing, now):
        (waiting,) = placing
        upstream_id = upstream_of(waiting)
        if not upstream_id:
            self.refused += 1
            return
        self.running[upstream_id] += 1
        self.peak = max(self.peak, sum(self.running.values()))
        peak = max(self.peak_by_upstream[upstream_id], self.running[upstream_id])
        self.peak_by_upstream[upstream_id] = peak
        self._at(now + self._head_s, functools.partial(self._report, queue, upstream_id))
        self._at(now + RUN_S, functools.partial(self._end, queue, waiting))

    def _report(self, queue, upstream_id, now):
        upstream = self._upstreams[upstream_id]
        running = self.running[upstream_id] + self._foreign.get(upstream_id, 0)
        over = max(0, running - upstream.slots)
        load = reported_load.ReportedLoad(running - over, over, upstream.slots)
        queue.record_load(upstream, load, now)

    def _end(self, queue, waiting, now):
        upstream_id = upstream_of(waiting)
        self.running[upstream_id] -= 1
        queue.record_end(upstream_id, waiting.request, COMPLETE, RUN_S * 1000.0, now)
        late_s = now - waiting.arrived_at - waiting.request.left_ms / 1000.0
        self.latest_end_s = max(self.latest_end_s, late_s)
