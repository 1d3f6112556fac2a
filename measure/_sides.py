"""Place requests for the virtual-time measurement: the owner's pool and the baselines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from measure import _virtual
from medlarfork import node, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_events

_POOL = "lm/0"
_SERVICE = configuration.Service("lm", configuration.ServiceKind.MODEL, "")
_REFUSED_FOR_LOAD = (ticket.ShedReason.OVERLOADED, ticket.ShedReason.NO_UPSTREAM)


class BrokenInvariantError(Exception):
    """Report a decision that must never be taken."""


class RoundRobin:
    """Send every request at once to the next engine; queue there, without any limit."""

    def __init__(self, simulation: _virtual.Simulation) -> None:
        """Create the side of a simulation."""
        self._simulation = simulation
        self._next = itertools.cycle(simulation.engines)
        self._known: set[str] = set()

    def submit(self, request: _virtual.Request) -> None:
        """Send the request to the next engine that is known."""
        self._send(request, 1)

    def ended(self, attempt: _virtual.Attempt, cause: ticket.ReleaseCause) -> None:
        """Try a failed request again from its start, twice."""
        if cause == ticket.ReleaseCause.FAILED and attempt.number < 3:
            self._send(attempt.request, attempt.number + 1)

    def report(self, engine: _virtual.Engine, running: int, waiting: int) -> None:
        """Ignore load reports."""

    def engine_changed(self, engine: _virtual.Engine, kind: str) -> None:
        """Follow which engines there are."""
        if kind == "up":
            self._known.add(engine.upstream_id)
        else:
            self._known.discard(engine.upstream_id)

    def cancel(self, request: _virtual.Request) -> None:
        """Let the engine work on; nobody tells it."""

    def _send(self, request: _virtual.Request, number: int) -> None:
        for _ in self._simulation.engines:
            engine = next(self._next)
            if engine.upstream_id in self._known:
                engine.send(_virtual.Attempt(request, number, 0.0))
                return


class OwnViews:
    """Let each of 8 entry hosts place by its own view: reports plus its own sends since."""

    HOSTS = 8

    def __init__(self, simulation: _virtual.Simulation) -> None:
        """Create the side of a simulation."""
        self._simulation = simulation
        self._hosts = itertools.cycle(range(self.HOSTS))
        self._queues: list[list[tuple[int, int, _virtual.Request, int]]] = [
            [] for _ in range(self.HOSTS)
        ]
        self._reported: dict[int, int] = {}
        self._sent = [dict.fromkeys(range(simulation.case.engines), 0) for _ in range(self.HOSTS)]
        self._host_by_id: dict[str, int] = {}
        self._attempt_by_id: dict[str, _virtual.Attempt] = {}
        self._known: set[int] = set()
        self._order = itertools.count()

    def submit(self, request: _virtual.Request) -> None:
        """Queue the request at the next host."""
        host = self._host_by_id[request.request_id] = next(self._hosts)
        self._push(host, request, 1)

    def ended(self, attempt: _virtual.Attempt, cause: ticket.ReleaseCause) -> None:
        """Correct the host's view and let it place the next one."""
        request = attempt.request
        host = self._host_by_id[request.request_id]
        self._sent[host][attempt.engine.number] -= 1
        self._attempt_by_id.pop(request.request_id, None)
        if cause == ticket.ReleaseCause.FAILED and attempt.number < 3:
            self._push(host, request, attempt.number + 1)
        self._place(host)

    def report(self, engine: _virtual.Engine, running: int, waiting: int) -> None:
        """Take a report; own sends are counted from here on."""
        self._reported[engine.number] = running + waiting
        for host in range(self.HOSTS):
            self._sent[host][engine.number] = 0
            self._place(host)

    def engine_changed(self, engine: _virtual.Engine, kind: str) -> None:
        """Follow which engines there are."""
        if kind == "up":
            self._known.add(engine.number)
        else:
            self._known.discard(engine.number)

    def cancel(self, request: _virtual.Request) -> None:
        """Stop an attempt at the deadline."""
        attempt = self._attempt_by_id.pop(request.request_id, None)
        if attempt is not None:
            attempt.engine.cancel(attempt)

    def _push(self, host: int, request: _virtual.Request, number: int) -> None:
        tier = request.load.declared.tier
        heapq.heappush(self._queues[host], (tier, next(self._order), request, number))
        self._place(host)

    def _place(self, host: int) -> None:
        queue = self._queues[host]
        while queue and self._known:
            number = min(self._known, key=lambda engine: self._load(host, engine))
            if self._load(host, number) >= self._simulation.case.slots:
                return
            _, _, request, tries = heapq.heappop(queue)
            if self._simulation.now >= request.deadline_at:
                continue
            attempt = _virtual.Attempt(request, tries, 0.0)
            self._attempt_by_id[request.request_id] = attempt
            self._sent[host][number] += 1
            self._simulation.engines[number].send(attempt)

    def _load(self, host: int, engine: int) -> int:
        return self._reported.get(engine, 0) + self._sent[host][engine]


class Owner:
    """Drive the real pool, one message hop away, and check its decisions as they come."""

    def __init__(
        self,
        simulation: _virtual.Simulation,
        options: pool.PoolOptions,
        factory: Callable[..., pool.Pool] = pool.Pool,
    ) -> None:
        """Create the side of a simulation."""
        self._simulation = simulation
        self._pool = factory(name=_POOL, entry_id="owner", random=random.Random(1), options=options)
        self._request_by_ticket: dict[str, tuple[_virtual.Request, int]] = {}
        self._ticket_by_request: dict[str, str] = {}
        self._attempt_by_ticket: dict[str, _virtual.Attempt] = {}
        self._done_s_by_request: dict[str, float] = {}
        self._sequence = itertools.count(1)
        self.preemptions = 0
        classes = tuple(load.declared for load in simulation.case.loads)
        accounts = tuple(
            configuration.Account(f"account-{n}") for n in range(simulation.case.accounts)
        )
        self._handle(pool_events.PolicyChanged(classes, accounts, _SERVICE))

    def submit(self, request: _virtual.Request) -> None:
        """Send the request's first ticket."""
        self._ask(request, 1, ())

    def ended(self, attempt: _virtual.Attempt, cause: ticket.ReleaseCause) -> None:
        """Release the slot; a broken stream is resumed where it stopped."""
        self._release(attempt, cause)
        if cause == ticket.ReleaseCause.FAILED:
            self._ask_again(attempt, (attempt.engine.upstream_id,))

    def report(self, engine: _virtual.Engine, running: int, waiting: int) -> None:
        """Pass a lagging report on."""
        self._handle(pool_events.UpstreamChanged(self._announce(engine, running, waiting)))

    def engine_changed(self, engine: _virtual.Engine, kind: str) -> None:
        """Pass on that an engine came up, leaves or lost its lease."""
        match kind:
            case "up":
                self._handle(pool_events.UpstreamUp(self._announce(engine, 0, 0)))
            case "leave":
                self._handle(pool_events.UpstreamChanged(self._announce(engine, 0, 0)))
            case "gone":
                self._handle(pool_events.UpstreamGone(engine.upstream_id))

    def cancel(self, request: _virtual.Request) -> None:
        """Stop an attempt at the deadline."""
        ticket_id = self._ticket_by_request.get(request.request_id, "")
        attempt = self._attempt_by_ticket.get(ticket_id)
        if attempt is not None and not attempt.over:
            attempt.engine.cancel(attempt)
            self._release(attempt, ticket.ReleaseCause.TIMED_OUT)

    def _ask(self, request: _virtual.Request, number: int, avoid: tuple[str, ...]) -> None:
        declared = request.load.declared
        now = self._simulation.now
        ticket_id = f"{request.request_id}/{number}"
        done_s = self._done_s_by_request.get(request.request_id, 0.0)
        item = ticket.Ticket(
            ticket_id=ticket_id,
            entry_id="entry",
            pool=_POOL,
            account=request.account,
            class_name=declared.name,
            tier=declared.tier,
            waited_s=now - request.arrived,
            time_left_s=request.deadline_at - now,
            target_left_s=request.target_at - now,
            preemptible=declared.preemptible,
            prefix=request.prefix,
            resume_offset=int(done_s * _virtual.TOKENS_PER_S),
            avoid=avoid,
        )
        self._request_by_ticket[ticket_id] = (request, number)
        self._ticket_by_request[request.request_id] = ticket_id
        self._simulation.after(_virtual.HOP_S, lambda: self._handle(item))

    def _ask_again(self, attempt: _virtual.Attempt, avoid: tuple[str, ...]) -> None:
        request = attempt.request
        if request.load.declared.preemptible:
            done_s = attempt.done_before_s + attempt.work_done_s(self._simulation.now)
            self._done_s_by_request[request.request_id] = done_s
        if self._simulation.now < request.deadline_at:
            self._ask(request, attempt.number + 1, avoid)

    def _release(self, attempt: _virtual.Attempt, cause: ticket.ReleaseCause) -> None:
        ticket_id = f"{attempt.request.request_id}/{attempt.number}"
        if self._attempt_by_ticket.pop(ticket_id, None) is None:
            return
        now = self._simulation.now
        begun = now if attempt.begun is None else attempt.begun
        tokens = round(attempt.work_done_s(now) * _virtual.TOKENS_PER_S)
        first_s = (attempt.overhead_s() + 1 / _virtual.TOKENS_PER_S) / attempt.speed
        release = ticket.Release(ticket_id, _POOL, cause, first_s, now - begun, tokens)
        self._simulation.after(_virtual.HOP_S, lambda: self._handle(release))

    def _announce(
        self, engine: _virtual.Engine, running: int, waiting: int
    ) -> upstream.Announcement:
        now, lag_s = self._simulation.now, self._simulation.case.report_lag_s
        state = upstream.UpstreamState.LEAVING if engine.leaving else upstream.UpstreamState.READY
        return upstream.Announcement(
            upstream_id=engine.upstream_id,
            incarnation=engine.incarnation,
            sequence=next(self._sequence),
            state=state,
            address="",
            slots=engine.slots,
            load=upstream.Load(running, waiting, 0.0, lag_s),
            cache_events=engine.cache.take_events(now - lag_s),
        )

    def _handle(self, event: object) -> None:
        for action in self._pool.handle(event, self._simulation.now):
            match action:
                case ticket.Grant():
                    self._simulation.after(_virtual.HOP_S, lambda item=action: self._grant(item))
                case ticket.Shed():
                    self._shed(action)
                case ticket.Preempt():
                    self._check_preempt(action)
                    self._simulation.after(_virtual.HOP_S, lambda item=action: self._preempt(item))
                case node.Wake(at=at):
                    self._simulation.at(at, lambda: self._handle(node.TimeDue()))

    def _grant(self, grant: ticket.Grant) -> None:
        request, number = self._request_by_ticket[grant.ticket_id]
        engine = self._simulation.engines[int(grant.upstream_id.rpartition("-")[2])]
        done_s = self._done_s_by_request.get(request.request_id, 0.0)
        attempt = _virtual.Attempt(request, number, done_s)
        self._attempt_by_ticket[grant.ticket_id] = attempt
        if len(engine.running) >= engine.slots:
            raise BrokenInvariantError(f"{grant.upstream_id} was granted beyond its slots")
        engine.send(attempt)

    def _shed(self, shed: ticket.Shed) -> None:
        request, _ = self._request_by_ticket[shed.ticket_id]
        self._simulation.shed_ids.add(request.request_id)
        if shed.reason in _REFUSED_FOR_LOAD:
            lower = [view for view in self._views() if view.tier > request.load.declared.tier]
            if any(view.queued for view in lower):
                raise BrokenInvariantError(f"{shed.ticket_id} was shed before a lower tier")

    def _check_preempt(self, action: ticket.Preempt) -> None:
        if action.stalled:
            attempt = self._attempt_by_ticket.get(action.ticket_id)
            if attempt is not None and self._simulation.now < attempt.engine.frozen_at:
                raise BrokenInvariantError(f"{action.ticket_id} was moved from a sound engine")
            return
        declared = self._request_by_ticket[action.ticket_id][0].load.declared
        waiting = [view.tier for view in self._views() if view.queued]
        if not waiting or min(waiting) >= declared.tier or not declared.preemptible:
            raise BrokenInvariantError(f"{action.ticket_id} was preempted for no higher tier")

    def _preempt(self, action: ticket.Preempt) -> None:
        attempt = self._attempt_by_ticket.get(action.ticket_id)
        if attempt is None or attempt.over:
            return
        self.preemptions += 1
        attempt.engine.cancel(attempt)
        self._release(attempt, ticket.ReleaseCause.PREEMPTED)
        self._ask_again(attempt, ())

    def _views(self) -> tuple[object, ...]:
        return self._pool.tier_views(self._simulation.now)
