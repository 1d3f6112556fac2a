"""Entry hosts that lose their links to upstreams, beside processes that are killed and started."""

import collections
import contextlib
import dataclasses
import json
import random
import re
import threading
import time

import pytest

from tests.processes import cut_off_client, routed_fleet, soak_seeds

CONTACT_S = 3.0
"""Time after a cut within which callers of the cut hosts have to be served again."""

TURNS = 2
CALLERS = 6
MAX_FAILED = 10
FAILED_SHARE = 0.02


@dataclasses.dataclass(frozen=True)
class Call:
    entry: str
    body: str
    sent_at: float
    status: int
    answer: bytes


@dataclasses.dataclass(frozen=True)
class Cut:
    entries: tuple[str, ...]
    begins_at: float
    ends_at: float


@pytest.fixture
def fleet(tmp_path):
    whole = routed_fleet.Fleet(tmp_path, entries=4, engines=4, can_be_cut_off=True)
    with contextlib.closing(whole) as made:
        made.put_route(kind="unsafe")
        made.until_known()
        yield made


class History:
    """Cuts and kills, as a seed draws them."""

    def __init__(self, fleet, seed):
        self.random = random.Random(seed)
        self.fleet = fleet
        self.cuts = []
        self.killed_at = []

    def turn(self):
        """Cut some hosts off, kill something meanwhile, and heal."""
        cut = tuple(self.random.sample(self.fleet.entries, self.random.randint(1, 3)))
        mode = self.random.choice(cut_off_client.MODES)
        begins_at = time.monotonic()
        for entry in cut:
            self.fleet.cut_off(entry, mode)
        time.sleep(CONTACT_S)
        others = [entry for entry in self.fleet.entries if entry not in cut]
        match self.random.choice(["relay", "replica", "nothing"]):
            case "relay" if len(others) > 1:
                self._restart_entry(self.random.choice(others))
            case "replica":
                replica = self.random.choice(self.fleet.replicas)
                self.fleet.kill(replica)
                self.fleet.start_replica(replica)
        time.sleep(self.random.uniform(1.0, 2.5))
        self.cuts.append(Cut(cut, begins_at, time.monotonic()))
        for entry in cut:
            self.fleet.heal(entry)
        time.sleep(self.random.uniform(0.5, 1.5))

    def _restart_entry(self, entry):
        self.killed_at.append((entry, time.monotonic()))
        self.fleet.kill(entry)
        self.fleet.start_entry(entry)
        routed_fleet.until(200, "GET", f"http://{entry}:7005/")
        self.killed_at.append((entry, time.monotonic()))


def within_cut(history, call):
    """Return the cut in which a call is owed an answer, if any."""
    for cut in history.cuts:
        if cut.begins_at + CONTACT_S <= call.sent_at < cut.ends_at - 0.2:
            return cut
    return None


def check_served(history, calls):
    """Check that callers of cut hosts are served nearly as often as those of the others."""
    killed = {entry for entry, _ in history.killed_at}
    counts = collections.Counter()
    for call in calls:
        cut = within_cut(history, call)
        if cut is not None and call.entry not in killed:
            counts[call.entry in cut.entries, call.status == 200] += 1
    cut_off, served = counts[True, True] + counts[True, False], counts[True, True]
    others, others_served = counts[False, True] + counts[False, False], counts[False, True]
    failed = counts[True, False] + counts[False, False]
    if failed <= MAX_FAILED + FAILED_SHARE * (cut_off + others) or not cut_off:
        return
    assert served / cut_off >= 2 / 3 * others_served / max(others, 1), counts


@pytest.mark.parametrize("seed", soak_seeds.seeds(default=(1, 2)))
def test_callers_of_cut_off_hosts_are_served_and_nothing_runs_twice(fleet, seed):
    history = History(fleet, seed)
    is_over = threading.Event()
    calls = []

    def call_on(number):
        drawn = random.Random(f"{seed}-{number}")
        for turn in range(10_000):
            if is_over.is_set():
                return
            entry, body = drawn.choice(fleet.entries), f"call {number}-{turn}"
            sent_at = time.monotonic()
            status, answer = fleet.call_at(entry, body)
            calls.append(Call(entry, body, sent_at, status, answer))
            time.sleep(0.02)

    callers = [threading.Thread(target=call_on, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for _ in range(TURNS):
        history.turn()
    is_over.set()
    for caller in callers:
        caller.join()
    runs = collections.Counter(
        match[1]
        for engine in fleet.engines
        for match in re.finditer(r" run (call \S+)$", engine.log_text(), re.MULTILINE)
    )
    assert [body for body, count in runs.items() if count > 1] == []
    refused = {call.body for call in calls if call.status == 503}
    assert sorted(refused & runs.keys()) == []
    assert all(call.answer == b"done" for call in calls if call.status == 200)
    cases = json.loads(
        routed_fleet.ask("GET", f"http://{fleet.replicas[0]}:7001/v1/crash-cases")[1]
    )
    assert cases["cases"] == []
    check_served(history, calls)
