"""A request that ends each engine that runs it, as its caller sends it again and again.

One request came to six of nine entry hosts with a new attempt id each time, and every attempt was
placed as if nothing had happened: seven engines ended under it in 14.5 s, and 93 requests that ran
beside it were cut or failed. Each of its lines named a single upstream, so no retry of ours had
sent it on:

    8.919 cut or failed 21, 9.761 12, 10.836 2, 14.368 10, 18.823 24, 19.095 7, 23.442 24
    result=failed status=502 first_ms=0 took_ms=84 why="peer closed connection without sending ..."
"""

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
