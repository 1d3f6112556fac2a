"""A request that ends each engine that runs it, as its caller sends it again and again.

One request came to six of nine entry hosts with a new attempt id each time, and every attempt was
placed as if nothing had happened: seven engines ended under it in 14.5 s, and 93 requests that ran
beside it were cut or failed. Each of its lines named a single upstream, so no retry of ours had
sent it on:

    8.919 cut or failed 21, 9.761 12, 10.836 2, 14.368 10, 18.823 24, 19.095 7, 23.442 24
    result=failed status=502 first_ms=0 took_ms=84 why="peer closed connection without sending ..."
"""

import threading
import time

import pytest

from tests.processes import routed_fleet

SPREAD_S = 3.0
"""Time after the third end by which every host that can be reached has to know."""

MOST_AFTER = 3
"""Runs that may begin later than that."""


@pytest.fixture
def fleet(tmp_path):
    made = routed_fleet.Fleet(tmp_path)
    yield made
    made.close()


@pytest.mark.parametrize(
    "route", [{"kind": "unsafe"}, {"kind": "safe", "max_attempts": 3}], ids=["unsafe", "safe"]
)
def test_a_request_that_ended_three_engines_is_kept_from_the_others(fleet, route):
    fleet.put_route(**route)
    fleet.until_known()
    end_at = time.monotonic() + 30.0
    while len(fleet.runs("crash")) < 3:
        assert time.monotonic() < end_at
        fleet.call("crash")
    third_at = fleet.runs("crash")[2]
    statuses = set()
    while time.monotonic() < third_at + SPREAD_S + 6.0:
        statuses.add(fleet.call("crash")[0])
        time.sleep(0.1)
    late = [at - third_at for at in fleet.runs("crash") if at > third_at + SPREAD_S]
    assert len(late) <= MOST_AFTER
    assert statuses <= {502, 503}
    assert fleet.call("hello")[0] == 200


def test_a_restart_of_all_processes_costs_no_further_engine(fleet):
    fleet.put_route()
    fleet.until_known()
    _crash_until_held(fleet)
    fleet.restart_all()
    ended = len(fleet.runs("crash"))
    end_at = time.monotonic() + 8.0
    while time.monotonic() < end_at:
        fleet.call("crash")
        time.sleep(0.1)
    assert len(fleet.runs("crash")) == ended
    assert fleet.call("hello")[0] == 200


def test_a_sound_request_that_many_send_is_served_while_engines_are_killed_by_turns(fleet):
    """A third of the engines killed at once, six times: of what callers send then, little is lost.

    A request is refused for the ends of others only if no answer to it came in between.
    """
    fleet.put_route(kind="safe", max_attempts=2)
    fleet.until_known()
    statuses = []
    is_over = threading.Event()

    def call_until_over():
        while not is_over.is_set():
            statuses.append(fleet.call("slow popular")[0])

    callers = [threading.Thread(target=call_until_over) for _ in range(12)]
    for caller in callers:
        caller.start()
    for turn in range(6):
        time.sleep(1.5)
        for engine in fleet.engines[turn % 3 :: 3]:
            engine.kill()
    time.sleep(1.5)
    is_over.set()
    for caller in callers:
        caller.join()
    held = [line for line in fleet.lines("request") if "upstreams crashed while running it" in line]
    assert held == []
    assert statuses.count(200) > 0.9 * len(statuses)


def _crash_until_held(fleet):
    end_at = time.monotonic() + 20.0
    while not any("verdict=held" in line for line in fleet.lines("crash_case")):
        assert time.monotonic() < end_at
        fleet.call("crash")
        time.sleep(0.05)
    time.sleep(0.5)
