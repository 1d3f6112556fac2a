"""Run placement policies in virtual time on a few small in-memory engines.

This measures decisions only: messages take a fixed time, engines serve at a fixed speed.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Protocol

from measure import _prefix_cache
from medlarfork import ticket
from medlarfork.declared import configuration

TOKENS_PER_S = 50.0
"""Output tokens a second of one request on a healthy engine."""
RESUME_S = 0.1
"""Engine time that resuming a stream costs, all of it wasted."""
HOP_S = 0.0005
"""One way between two entry hosts, in seconds."""
PREFILL_S = 0.3
"""Engine time that a prompt costs whose prefix is not cached."""
REPORT_S = 1.0
"""Time between two announcements of an engine."""
LEASE_S = 3.0
"""Time after which a silent engine is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClassLoad:
    """Describe a class and its demand.

    Attributes:
        declared: The class as operators declare it.
        mean_s: Mean time on a healthy engine.
        fixed: Whether every request takes the mean; else lengths are exponential.
        demand: Mean demand as a share of the capacity.
        bursts: ``(start, end, factor)`` of the demand; later ones go first.
        on_off_s: Mean length of random on and off phases (1.8 and 0.2 of the demand); 0 for none.
        hog_factor: How many times its share the first account sends.
        prefixes: Different prompt prefixes, of which each request has one; 0 for none.
    """

    declared: configuration.RequestClass
    mean_s: float
    fixed: bool
    demand: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    on_off_s: float = 0.0
    hog_factor: float = 1.0
    prefixes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Change an engine at a time; ``kind`` is slow, freeze, crash, restart or leave."""

    at: float
    engine: int
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Describe one measured situation.

    Attributes:
        cached: Prompt prefixes that one engine holds.
    """

    name: str
    loads: tuple[ClassLoad, ...]
    engines: int = 6
    slots: int = 8
    duration_s: float = 90.0
    accounts: int = 10
    report_lag_s: float = 1.0
    faults: tuple[Fault, ...] = ()
    cached: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one request; ``work_s`` is its time on a healthy engine."""

    request_id: str
    load: ClassLoad
    account: str
    arrived: float
    work_s: float
    prefix: str = ""

    @property
    def tokens(self) -> int:
        """Return the tokens of the whole answer."""
        return max(1, round(self.work_s * TOKENS_PER_S))

    @property
    def deadline_at(self) -> float:
        """Return when the answer is of no use any more."""
        return self.arrived + self.load.declared.deadline_s

    @property
    def target_at(self) -> float:
        """Return when the target is missed."""
        return self.arrived + (self.load.declared.whole_target_s or 0.0)


class Attempt:
    """Hold one dispatch of a request to an engine."""

    __slots__ = ("begun", "done_before_s", "engine", "number", "over", "prefill_s", "request",
                 "speed")  # fmt: skip

    def __init__(self, request: Request, number: int, done_before_s: float) -> None:
        """Prepare an attempt that resumes after ``done_before_s`` of work."""
        self.request = request
        self.number = number
        self.done_before_s = done_before_s
        self.engine: Engine | None = None
        self.begun: float | None = None
        self.speed = 1.0
        self.prefill_s = 0.0
        self.over = False

    def overhead_s(self) -> float:
        """Return the engine time that resuming and an unknown prompt cost."""
        return self.prefill_s + (RESUME_S if self.done_before_s else 0.0)

    def work_done_s(self, now: float) -> float:
        """Return the useful work of this attempt so far."""
        if self.begun is None:
            return 0.0
        until = min(now, self.engine.frozen_at)
        spent_s = max(0.0, until - self.begun) * self.speed - self.overhead_s()
        return min(max(0.0, spent_s), self.request.work_s - self.done_before_s)


class Side(Protocol):
    """Place requests; one implementation for each policy."""

    def submit(self, request: Request) -> None:
        """Take a request that has just arrived."""
        ...

    def ended(self, attempt: Attempt, cause: ticket.ReleaseCause) -> None:
        """Learn that an attempt is over."""
        ...

    def report(self, engine: Engine, running: int, waiting: int) -> None:
        """Learn an engine's lagging load."""
        ...

    def engine_changed(self, engine: Engine, kind: str) -> None:
        """Learn that an engine came up, announced its leave or lost its lease."""
        ...

    def cancel(self, request: Request) -> None:
        """Give a request up: its deadline is over."""
        ...


class Engine:
    """Serve up to ``slots`` attempts at once; others wait inside, first come first served."""

    def __init__(self, simulation: Simulation, number: int, slots: int) -> None:
        """Create a healthy engine."""
        self._simulation = simulation
        self.number = number
        self.upstream_id = f"engine-{number}"
        self.slots = slots
        self.speed = 1.0
        self.up = True
        self.leaving = False
        self.incarnation = 1
        self.frozen_at = math.inf
        self.cache = _prefix_cache.PrefixCache(simulation.case.cached, random.Random(number))
        self.running: list[Attempt] = []
        self.waiting: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        """Take an attempt; a crashed engine refuses the connection."""
        attempt.engine = self
        if not self.up:
            attempt.over = True
            self._simulation.after(HOP_S, lambda: self._tell(attempt, ticket.ReleaseCause.FAILED))
            return
        self.waiting.append(attempt)
        self._begin()

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt; its work up to now stays counted."""
        if attempt.over:
            return
        self._end(attempt)
        self._begin()

    def crash(self) -> None:
        """Lose everything at once."""
        self.up = False
        for attempt in [*self.running, *self.waiting]:
            self._end(attempt)
            self._tell(attempt, ticket.ReleaseCause.FAILED)

    def restart(self) -> None:
        """Come back empty."""
        self.up = True
        self.speed = 1.0
        self.incarnation += 1

    def _begin(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            attempt = self.waiting.pop(0)
            attempt.begun = self._simulation.now
            attempt.speed = self.speed
            prefix = attempt.request.prefix
            if prefix and not self.cache.use(prefix, self._simulation.now):
                attempt.prefill_s = PREFILL_S
            self._simulation.began(attempt)
            self.running.append(attempt)
            left_s = attempt.request.work_s - attempt.done_before_s + attempt.overhead_s()
            self._simulation.after(left_s / self.speed, lambda done=attempt: self._finish(done))

    def _finish(self, attempt: Attempt) -> None:
        if attempt.over or self._simulation.now >= self.frozen_at:
            return
        self._end(attempt)
        self._begin()
        self._tell(attempt, ticket.ReleaseCause.FINISHED)

    def _end(self, attempt: Attempt) -> None:
        attempt.over = True
        if attempt in self.running:
            self.running.remove(attempt)
            self._simulation.computed(attempt)
        elif attempt in self.waiting:
            self.waiting.remove(attempt)

    def _tell(self, attempt: Attempt, cause: ticket.ReleaseCause) -> None:
        self._simulation.attempt_ended(attempt, cause)


class Simulation:
    """Hold the clock, the engines and the tally of one run."""

    def __init__(self, case: Case, seed: int) -> None:
        """Prepare a run; ``side`` is set before ``run``."""
        self.case = case
        self.now = 0.0
        self.side: Side | None = None
        self.engines = [Engine(self, n, case.slots) for n in range(case.engines)]
        self.requests = generate(case, seed)
        self.completed_at_by_id: dict[str, float] = {}
        self.shed_ids: set[str] = set()
        self.first_token_s_by_id: dict[str, float] = {}
        self.prefix_hits = 0
        self.prefix_uses = 0
        self.tokens_computed = 0.0
        self.tokens_useful = 0.0
        self.slot_s_by_class_account: dict[tuple[str, str], float] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._number), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now + delay_s, action)

    def run(self) -> None:
        """Run until every request is answered, refused or past its deadline."""
        for engine in self.engines:
            self.side.engine_changed(engine, "up")
        for request in self.requests:
            self.at(request.arrived, lambda item=request: self._arrive(item))
        for fault in self.case.faults:
            self.at(fault.at, lambda item=fault: self._apply(item))
        self.after(REPORT_S, self._report)
        end = self.case.duration_s + max(load.declared.deadline_s for load in self.case.loads)
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def began(self, attempt: Attempt) -> None:
        """Note when a request's first token comes, and whether its prompt was known."""
        request = attempt.request
        first_at = self.now + (attempt.overhead_s() + 1 / TOKENS_PER_S) / attempt.speed
        self.first_token_s_by_id.setdefault(request.request_id, first_at - request.arrived)
        self.prefix_uses += bool(request.prefix)
        self.prefix_hits += bool(request.prefix) and not attempt.prefill_s

    def computed(self, attempt: Attempt) -> None:
        """Count the tokens that an attempt has cost."""
        until = min(self.now, attempt.engine.frozen_at)
        spent_s = max(0.0, until - attempt.begun) * attempt.speed
        self.tokens_computed += spent_s * TOKENS_PER_S
        key = (attempt.request.load.declared.name, attempt.request.account)
        held_s = max(0.0, min(self.now, self.case.duration_s) - attempt.begun)
        self.slot_s_by_class_account[key] = self.slot_s_by_class_account.get(key, 0.0) + held_s

    def attempt_ended(self, attempt: Attempt, cause: ticket.ReleaseCause) -> None:
        """Note a whole answer, then tell the side."""
        request = attempt.request
        if cause == ticket.ReleaseCause.FINISHED and self.now <= request.deadline_at:
            self.completed_at_by_id[request.request_id] = self.now
            self.tokens_useful += request.work_s * TOKENS_PER_S
        self.side.ended(attempt, cause)

    def _arrive(self, request: Request) -> None:
        self.side.submit(request)
        self.at(request.deadline_at, lambda: self._give_up(request))

    def _give_up(self, request: Request) -> None:
        if request.request_id not in self.completed_at_by_id:
            self.side.cancel(request)

    def _report(self) -> None:
        for engine in self.engines:
            if engine.up and self.now < engine.frozen_at:
                counts = (engine, len(engine.running), len(engine.waiting))
                self.after(self.case.report_lag_s, lambda seen=counts: self.side.report(*seen))
        if self.now < self.case.duration_s:
            self.after(REPORT_S, self._report)

    def _apply(self, fault: Fault) -> None:
        engine = self.engines[fault.engine]
        match fault.kind:
            case "slow":
                engine.speed = 0.2
            case "freeze":
                engine.frozen_at = self.now
                self.after(LEASE_S, lambda: self.side.engine_changed(engine, "gone"))
            case "crash":
                engine.crash()
                self.after(LEASE_S, lambda: self.side.engine_changed(engine, "gone"))
            case "restart" if engine.running:
                # A leaving process ends first; its successor comes up afterwards.
                self.after(REPORT_S, lambda: self._apply(fault))
            case "restart":
                engine.restart()
                engine.leaving = False
                self.side.engine_changed(engine, "up")
            case "leave":
                engine.leaving = True
                self.side.engine_changed(engine, "leave")


def generate(case: Case, seed: int) -> list[Request]:
    """Draw a run's requests: Poisson arrivals, the same for every policy."""
    requests = []
    for load in case.loads:
        generator = random.Random(f"{seed}/{case.name}/{load.declared.name}")
        requests += _generate_class(case, load, generator)
    return sorted(requests, key=lambda request: request.arrived)


def _generate_class(case: Case, load: ClassLoad, generator: random.Random) -> list[Request]:
    capacity = case.engines * case.slots
    weights = [load.hog_factor, *([1.0] * (case.accounts - 1))]
    base_per_s = load.demand * capacity / load.mean_s * sum(weights) / case.accounts
    peak = max([1.8 if load.on_off_s else 1.0, *(factor for _, _, factor in load.bursts)])
    requests = []
    phase_ends, on, now = 0.0, generator.random() < 0.5, 0.0
    while (now := now + generator.expovariate(base_per_s * peak)) < case.duration_s:
        while load.on_off_s and now >= phase_ends:
            phase_ends += generator.expovariate(1 / load.on_off_s)
            on = not on
        factor = (1.8 if on else 0.2) if load.on_off_s else 1.0
        for start, end, burst in load.bursts:
            factor = burst if start <= now < end else factor
        if generator.random() * peak > factor:
            continue
        work_s = load.mean_s if load.fixed else generator.expovariate(1 / load.mean_s)
        account = generator.choices(range(case.accounts), weights)[0]
        request_id = f"{load.declared.name}-{len(requests)}"
        # Drawn last, so that cases without prefixes stay what they were.
        prefix = f"prefix-{generator.randrange(load.prefixes)}" if load.prefixes else ""
        requests.append(Request(request_id, load, f"account-{account}", now, work_s, prefix))
    return requests
