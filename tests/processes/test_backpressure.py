"""What upstreams ask for in their answers holds for all hosts, while processes come and go."""

import threading
import time

import pytest

from tests.processes import routed_fleet

WINDOW_S = 4.0
RATE = 2.0
MOST_IN_WINDOW = int(1.5 * RATE * WINDOW_S) + 5
"""Requests that an upstream with a limit of ``RATE`` a second may get in a window."""

LEARN_S = 0.5
"""Time after its first answer from which an upstream's limit holds."""


@pytest.fixture
def make_fleet(tmp_path):
    made = []

    def make(**sizes):
        made.append(routed_fleet.Fleet(tmp_path, **sizes))
        made[-1].put_route(kind="safe", max_attempts=3)
        made[-1].until_known()
        return made[-1]

    yield make
    for fleet in made:
        fleet.close()


class Load:
    """Keep callers calling until the block ends; holds the statuses they got."""

    def __init__(self, fleet, callers=8):
        self.statuses = []
        self._fleet = fleet
        self._is_over = threading.Event()
        self._callers = [threading.Thread(target=self._call_on) for _ in range(callers)]

    def _call_on(self):
        while not self._is_over.is_set():
            self.statuses.append(self._fleet.call("hello")[0])

    def __enter__(self):
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for caller in self._callers:
            caller.join()


def most_in_window(times):
    """Return the most of these times within a window, once the first answer can be known."""
    later = [at for at in times if at >= min(times) + LEARN_S]
    return max((sum(at <= one < at + WINDOW_S for one in later) for at in later), default=0)


def test_an_upstream_that_names_a_rate_limit_gets_no_more_from_all_hosts_together(make_fleet):
    """48 requests reached an engine in 4 s that had allowed 6.9 a second: 46 with the margin."""
    fleet = make_fleet(engines=3)
    limited, *others = fleet.engines
    limited.answer(medlar_rate_limit=str(RATE))
    with Load(fleet) as load:
        time.sleep(7.0)
    assert most_in_window(limited.runs("hello")) <= MOST_IN_WINDOW
    assert set(load.statuses) == {200}
    assert sum(len(engine.runs("hello")) for engine in others) > 100


def test_a_limit_that_is_no_longer_named_ends(make_fleet):
    fleet = make_fleet(engines=3)
    limited = fleet.engines[0]
    limited.answer(medlar_rate_limit=str(RATE))
    with Load(fleet):
        time.sleep(2.0)
        limited.answer()
        ended_at = time.monotonic()
        time.sleep(4.0)
    after = [at for at in limited.runs("hello") if at > ended_at + 1.0 / RATE + LEARN_S]
    assert len(after) > 30


def test_a_limit_holds_while_replicas_and_hosts_are_killed_by_turns(make_fleet):
    """New owners, hosts that place alone, and processes that have just started keep to it too."""
    fleet = make_fleet(engines=3)
    limited = fleet.engines[0]
    limited.answer(medlar_rate_limit=str(RATE))
    with Load(fleet) as load:
        time.sleep(1.0)
        for replica, entry in zip(fleet.replicas, fleet.entries, strict=True):
            fleet.kill(replica)
            time.sleep(1.2)
            fleet.start_replica(replica)
            fleet.kill(entry)
            time.sleep(0.8)
            fleet.start_entry(entry)
            time.sleep(0.5)
    assert most_in_window(limited.runs("hello")) <= MOST_IN_WINDOW
    assert load.statuses.count(200) > 0.5 * len(load.statuses)
    refused = [line for line in fleet.lines("request") if "status=503" in line]
    assert refused == []


def test_a_limit_is_remembered_across_a_restart_of_all_replicas(make_fleet):
    """Hosts tell replicas that have started what they know, before they ask them for anything."""
    fleet = make_fleet(engines=3)
    limited = fleet.engines[0]
    limited.answer(medlar_rate_limit=str(RATE))
    with Load(fleet) as load:
        time.sleep(2.0)
        for replica in fleet.replicas:
            fleet.kill(replica)
        for replica in fleet.replicas:
            fleet.start_replica(replica)
        time.sleep(5.0)
    assert most_in_window(limited.runs("hello")) <= MOST_IN_WINDOW
    assert load.statuses.count(200) > 0.9 * len(load.statuses)


PAUSE_S = 2.0
MOST_IN_PAUSE = 2


def most_in_pause(times):
    """Return the most requests that came in the pause after one that was turned away."""
    pauses = ((at + LEARN_S, at + PAUSE_S) for at in times)
    return max(sum(since < at < until for at in times) for since, until in pauses)


def test_an_upstream_that_asks_a_host_for_a_pause_gets_nothing_from_it_meanwhile(make_fleet):
    """An engine that had turned a request away for 3 s got three more from that host in them."""
    fleet = make_fleet(engines=3, entries=1)
    shedding, *others = fleet.engines
    with Load(fleet) as load:
        # A host that has just started has earned no retries yet.
        time.sleep(2.0)
        shedding.answer(status=503, retry_after=str(PAUSE_S))
        time.sleep(7.0)
    assert shedding.rejected("hello")
    assert most_in_pause(shedding.rejected("hello")) <= MOST_IN_PAUSE
    assert set(load.statuses) == {200}
    assert all(len(engine.runs("hello")) > 50 for engine in others)


DRAIN_S = 2.0
"""Time after an upstream has said that it leaves in which requests may still reach it."""


def test_an_upstream_that_says_it_is_leaving_gets_nothing_more_from_any_host(make_fleet):
    """It goes on announcing itself as ready, and only its answers tell.

    Replicas and hosts that are started again meanwhile learn it from the others.
    """
    fleet = make_fleet(engines=3)
    leaving, *others = fleet.engines
    with Load(fleet) as load:
        time.sleep(1.0)
        # A request that arrives in between is told already.
        said_from = time.monotonic()
        leaving.answer(medlar_leaving="1")
        time.sleep(1.0)
        for replica in fleet.replicas:
            fleet.kill(replica)
            fleet.start_replica(replica)
            time.sleep(1.5)
        fleet.kill(fleet.entries[0])
        fleet.start_entry(fleet.entries[0])
        time.sleep(2.0)
    told_at = min(at for at in leaving.runs("hello") if at > said_from)
    assert [at for at in leaving.runs("hello") if at > told_at + DRAIN_S] == []
    assert load.statuses.count(200) > 0.8 * len(load.statuses)
    assert all(len(engine.runs("hello")) > 100 for engine in others)


def test_hosts_that_place_alone_keep_to_a_limit_together(make_fleet):
    """No replica runs; each host uses its part, and the others serve the rest."""
    fleet = make_fleet(engines=3)
    limited, *others = fleet.engines
    limited.answer(medlar_rate_limit=str(RATE))
    with Load(fleet) as load:
        time.sleep(1.5)
        for replica in fleet.replicas:
            fleet.kill(replica)
        alone_from = time.monotonic()
        time.sleep(6.0)
    assert most_in_window(limited.runs("hello")) <= MOST_IN_WINDOW
    assert load.statuses.count(200) > 0.95 * len(load.statuses)
    served = [at for engine in others for at in engine.runs("hello") if at > alone_from + 1.0]
    assert len(served) > 100
