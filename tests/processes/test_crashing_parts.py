"""A prompt part that crashes each engine that begins to answer a request with it.

No two requests are alike: the part comes with others that sound requests of the same client account
share, at every entry host.
"""

import collections
import json
import math
import shutil
import signal
import time

import pytest

from tests.processes import routed_fleet, traffic

CONTACT_S = 3.0
"""Time after the fifth crash by which every host that can be reached has to know."""

CRASHES = 5
MOST_AFTER = 3
"""Runs that may begin later than that, ever."""

SERVED_SHARE = 0.9
"""Share of sound requests that are answered at the first attempt once the part is held."""

TURN_S = 2.0
"""Shortest time between two kills of engines."""

STREAMING = {"kind": "streaming", "has_prompt": True, "timeout_ms": 3000}
SAFE = {"kind": "safe", "has_prompt": True, "timeout_ms": 3000, "max_attempts": 3}


@pytest.fixture
def fleet(tmp_path):
    made = routed_fleet.Fleet(tmp_path, engines=8)
    yield made
    made.close()


def _start(fleet, route):
    fleet.put_route(**route)
    fleet.until_known()


def _fifth_at(fleet, name):
    runs = fleet.prompt_runs(name)
    return runs[min(CRASHES, len(runs)) - 1]


def _run_until_settled(fleet, name, sound):
    """Go on for 14 s, and until enough sound requests were sent after twice the bound."""
    time.sleep(14.0)
    routed_fleet.wait_for(
        lambda: len(sound.statuses(_fifth_at(fleet, name) + 2 * CONTACT_S, math.inf)) >= 40
    )


def _check_late_runs_and_sound_requests(fleet, name, sound, until):
    """Check the runs that began later than the bound, and the sound requests after twice that."""
    fifth_at = _fifth_at(fleet, name)
    assert sum(at > fifth_at + CONTACT_S for at in fleet.prompt_runs(name)) <= MOST_AFTER
    assert sound.served_share(fifth_at + 2 * CONTACT_S, until) >= SERVED_SHARE


@pytest.mark.parametrize(
    ("route", "part"),
    [(STREAMING, "deadly"), (SAFE, "deadly"), (STREAMING, "late"), (STREAMING, "early")],
    ids=["streaming", "safe", "late in the answer", "before the head"],
)
def test_a_part_that_crashed_five_engines_reaches_three_more_at_most(fleet, route, part):
    _start(fleet, route)
    with traffic.Traffic(fleet, "sound", ("tmpl", "good"), 20) as sound:
        time.sleep(3.0)
        with traffic.Traffic(fleet, "crashing", ("tmpl", part), 5) as crashing:
            _run_until_settled(fleet, "crashing", sound)
        stopped_at = time.monotonic()
    _check_late_runs_and_sound_requests(fleet, "crashing", sound, stopped_at)
    assert {status for _, status in crashing.results} <= {0, 502, 503}


def test_two_parts_are_held_on_another_route_and_for_another_account_too(fleet):
    _start(fleet, STREAMING)
    routes = [
        {"name": name, "host": "a.example", "path_prefix": f"/{name}/", **STREAMING}
        | {"targets": [{"service": "engines"}]}
        for name in ("p", "q")
    ]
    accounts = [{"name": f"shop-{number}", "api_keys": [f"k-{number}"]} for number in (1, 2)]
    routing = {"version": 2, "routes": routes, "services": [{"name": "engines"}]}
    url = f"http://{fleet.replicas[0]}:7001/v1/routing"
    routed_fleet.until(200, "PUT", url, routing | {"accounts": accounts})
    time.sleep(1.0)
    sound = traffic.Traffic(fleet, "sound", ("tmpl", "good"), 20)
    first = traffic.Traffic(fleet, "first", ("tmpl", "deadly-1"), 5)
    second = traffic.Traffic(fleet, "second", ("deadly-2", "rare"), 5)
    elsewhere = traffic.Traffic(fleet, "first", ("rare", "deadly-1"), 5, path="/q/x", key="k-2")
    with sound:
        with first, second, elsewhere:
            time.sleep(14.0)
        stopped_at = time.monotonic()
    for name in ("first", "second"):
        _check_late_runs_and_sound_requests(fleet, name, sound, stopped_at)
    assert {status for _, status in elsewhere.results} <= {0, 502, 503}


def test_a_part_that_always_came_with_the_guilty_one_is_served_without_it(fleet):
    _start(fleet, STREAMING)
    with traffic.Traffic(fleet, "sound", ("rare", "good"), 3) as sound:
        with traffic.Traffic(fleet, "deadly", ("rare", "deadly"), 5):
            time.sleep(18.0)
        stopped_at = time.monotonic()
    _check_late_runs_and_sound_requests(fleet, "deadly", sound, stopped_at)


def test_a_restart_of_all_processes_costs_a_held_part_no_further_engine(fleet):
    _start(fleet, STREAMING)
    with traffic.Traffic(fleet, "deadly", ("tmpl", "deadly"), 5):
        time.sleep(4.0)
        runs = fleet.prompt_runs("deadly")
        fleet.restart_all()
        time.sleep(6.0)
    assert fleet.prompt_runs("deadly") == runs
    assert fleet.call_prompt("sound", ("tmpl", "good"))[0] == 200


def test_a_held_part_outlives_a_lost_disk_and_a_restart_of_all_until_an_operator_lifts_it(fleet):
    _start(fleet, STREAMING)
    with traffic.Traffic(fleet, "deadly", ("deadly",), 5):
        time.sleep(4.0)
    runs = fleet.prompt_runs("deadly")
    for process in fleet.process_by_host.values():
        process.kill()
    shutil.rmtree(fleet.folder / fleet.replicas[0])
    fleet.restart_all()
    assert [fleet.call_prompt("deadly", ("deadly",))[0] for _ in range(6)] == [503] * 6
    assert fleet.prompt_runs("deadly") == runs
    cases_url = f"http://{fleet.replicas[1]}:7001/v1/crash-cases"
    cases = json.loads(routed_fleet.ask("GET", cases_url)[1])["cases"]
    (key,) = [case["key"] for case in cases if case["key"].startswith("part-")]
    assert f" held={key} " in "".join(fleet.lines("request"))
    metrics = [routed_fleet.ask("GET", f"http://{host}:7005/metrics")[1] for host in fleet.entries]
    assert any(b'medlar_held_refused_total{subject="part"}' in text for text in metrics)
    assert routed_fleet.ask("DELETE", f"{cases_url}/{key}")[0] == 200
    time.sleep(0.5)
    assert fleet.call_prompt("deadly", ("deadly",))[0] == 502


def test_hosts_without_a_replica_run_the_part_three_times_each(fleet):
    """No host knows the crashes that another one saw; one more run of each may be under way."""
    _start(fleet, STREAMING)
    for replica in fleet.replicas:
        fleet.process_by_host[replica].send_signal(signal.SIGSTOP)
    with traffic.Traffic(fleet, "sound", ("tmpl", "good"), 20) as sound:
        with traffic.Traffic(fleet, "deadly", ("tmpl", "deadly"), 5):
            time.sleep(14.0)
        stopped_at = time.monotonic()
    assert len(fleet.prompt_runs("deadly")) <= (3 + 1) * len(fleet.entries)
    assert sound.served_share(stopped_at - 6.0, stopped_at) >= SERVED_SHARE


def test_no_part_is_held_while_engines_are_killed_by_turns(fleet):
    _start(fleet, STREAMING)
    sound = traffic.Traffic(fleet, "sound", ("tmpl", "good"), 20)
    with sound, traffic.Traffic(fleet, "rare", ("tmpl", "rare"), 1):
        turns = [time.monotonic()]
        for turn in range(6):
            time.sleep(TURN_S)
            # On a busy machine an engine may start so slowly that all would be away at once.
            routed_fleet.wait_for(lambda: all(engine.listens() for engine in fleet.engines))
            turns.append(time.monotonic())
            for engine in fleet.engines[turn % 3 :: 3]:
                engine.kill()
        time.sleep(TURN_S)
    assert [line for line in fleet.lines("crash_case") if "verdict=held" in line] == []
    statuses = [status for at in turns for status in sound.statuses(at, at + TURN_S)]
    assert len(statuses) >= 20
    seen = collections.Counter(statuses), [later - turns[0] for later in turns]
    assert statuses.count(200) >= SERVED_SHARE * len(statuses), seen
