"""Random histories: what upstreams ask for holds while processes are killed and stand still.

By hand, for more seeds: ``MEDLAR_SOAK_SEEDS=0-49 pytest --timeout 0 FILE``.
"""

import dataclasses
import random
import signal
import threading
import time

import pytest

from tests.processes import routed_fleet, soak_seeds

WINDOW_S = 4.0
LEARN_S = 0.5
DRAIN_S = 2.0
MOST_IN_PAUSE = 2
TURNS = 9
CALLERS = 6


LOADS = ("0,0,9,100", "2,0,9,250", "9,4,9,70", "3,0,9", "99999,0,9,2000", "9,0", "-1,0,9,x")
"""Load reports: slow moments, other speeds, no slowdown, false and malformed ones. None of them may
change what limits, pauses and leaving promise."""

FOUND_SEEDS = (58, 60)
"""Seeds that found faults: an owner and a host that had both just started."""


@dataclasses.dataclass(frozen=True)
class Said:
    """Hold what an engine answers from a moment on."""

    at: float
    rate: float | None = None
    pause_s: float = 0.0
    is_leaving: bool = False


class History:
    """Change what engines say and disturb processes, as a seed draws."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.said_by_engine = {engine: [Said(0.0)] for engine in fleet.engines}
        self.disturbed_at_by_entry = {entry: [] for entry in fleet.entries}

    def turn(self):
        self._say(self.random.choice(self.fleet.engines[1:]))
        self._disturb()
        time.sleep(self.random.uniform(0.3, 1.5))

    def _say(self, engine):
        if self.said_by_engine[engine][-1].is_leaving:
            return
        load = self.random.choice(LOADS)
        match self.random.choice(["limit", "limit", "pause", "nothing", "leaving"]):
            case "limit":
                rate = self.random.choice([0.5, 2.0, 6.9])
                said = Said(time.monotonic(), rate=rate)
                engine.answer(medlar_rate_limit=str(rate), medlar_load=load)
            case "pause":
                pause_s = self.random.choice([1.0, 2.5])
                said = Said(time.monotonic(), pause_s=pause_s)
                engine.answer(status=503, retry_after=str(pause_s), medlar_load=load)
            case "leaving":
                said = Said(time.monotonic(), is_leaving=True)
                engine.answer(medlar_leaving="1", medlar_load=load)
            case _:
                said = Said(time.monotonic())
                engine.answer(medlar_load=load)
        self.said_by_engine[engine].append(said)

    def _disturb(self):
        fleet = self.fleet
        replica, entry = self.random.choice(fleet.replicas), self.random.choice(fleet.entries)
        match self.random.choice(["kill replica", "kill entry", "freeze replica", "nothing"]):
            case "kill replica":
                fleet.kill(replica)
                time.sleep(self.random.uniform(0.0, 1.0))
                fleet.start_replica(replica)
            case "kill entry":
                self.disturbed_at_by_entry[entry].append(time.monotonic())
                fleet.kill(entry)
                fleet.start_entry(entry)
            case "freeze replica":
                process = fleet.process_by_host[replica]
                process.send_signal(signal.SIGSTOP)
                time.sleep(self.random.uniform(0.2, 2.0))
                process.send_signal(signal.SIGCONT)


@pytest.fixture
def fleet(tmp_path):
    made = routed_fleet.Fleet(tmp_path, engines=4)
    made.put_route(kind="safe", max_attempts=2)
    made.until_known()
    yield made
    made.close()


def arrivals(engine, entry):
    """Return when an engine got requests of an entry host, in monotonic seconds."""
    return sorted([*engine.runs(f"hello {entry}"), *engine.rejected(f"hello {entry}")])


def spans(history, engine):
    """Return what an engine said, each with the time until which it did."""
    said = history.said_by_engine[engine]
    return zip(said, [*(later.at for later in said[1:]), time.monotonic()], strict=True)


def check_limit(history, engine, said, until):
    every = sorted(at for entry in history.fleet.entries for at in arrivals(engine, entry))
    first_at = next((at for at in every if at > said.at), until)
    times = [at for at in every if first_at + LEARN_S <= at < until]
    most = max((sum(at <= one < at + WINDOW_S for one in times) for at in times), default=0)
    assert most <= 1.5 * said.rate * WINDOW_S + 5, (engine.name, said, times)


def check_pauses(history, engine, said, until):
    for entry in history.fleet.entries:
        asked = [at for at in engine.rejected(f"hello {entry}") if said.at <= at < until]
        times = arrivals(engine, entry)
        for at in asked:
            ends_at = at + said.pause_s
            disturbed = history.disturbed_at_by_entry[entry]
            if any(at < moment < ends_at for moment in disturbed):
                continue
            within = [one for one in times if at + LEARN_S < one < ends_at]
            assert len(within) <= MOST_IN_PAUSE, (engine.name, entry, at, within)


def check_leaving(history, engine, said, until):
    every = [at for entry in history.fleet.entries for at in arrivals(engine, entry)]
    told_at = min((at for at in every if at > said.at), default=until)
    assert [at for at in every if at > told_at + DRAIN_S] == [], (engine.name, said)


@pytest.mark.parametrize("seed", soak_seeds.seeds(default=(1, *FOUND_SEEDS)))
def test_what_upstreams_ask_for_holds_whatever_happens_to_processes(fleet, seed):
    history = History(fleet, seed)
    is_over = threading.Event()
    statuses = []

    def call_on(number):
        drawn = random.Random(f"{seed}-{number}")
        while not is_over.is_set():
            entry = drawn.choice(fleet.entries)
            statuses.append(fleet.call_at(entry, f"hello {entry}")[0])
            time.sleep(0.01)

    callers = [threading.Thread(target=call_on, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for _ in range(TURNS):
        history.turn()
    is_over.set()
    for caller in callers:
        caller.join()
    for engine in fleet.engines:
        for said, until in spans(history, engine):
            if said.rate is not None:
                check_limit(history, engine, said, until)
            if said.pause_s:
                check_pauses(history, engine, said, until)
            if said.is_leaving:
                check_leaving(history, engine, said, until)
    refused = [line for line in fleet.lines("request") if "status=503" in line]
    assert refused == []
    assert statuses.count(200) > 0.5 * len(statuses)
