"""Callers and upstreams that hang up in streams leave every entry host and stand-in running.

By hand, for more seeds: ``MEDLAR_SOAK_SEEDS=0-49 pytest --timeout 0 FILE``.
"""

import json
import random
import signal
import time

import pytest

from medlarfork.standin import _standin_text
from tests import descriptor_guard
from tests.processes import callers, hang_ups, routed_fleet, soak_seeds

LEAVING_CALLERS = 28
PATIENT_CALLERS = 3
TURNS = 5
TURN_S = 0.5
EVENTS = 20
DRAIN_LIMIT_S = 30.0
ROUTE_TIMEOUT_S = 20

SEEDS = soak_seeds.seeds(default=(1,))


@pytest.fixture
def make_callers():
    """Return a function that makes callers; they are ended after the test."""
    made = []

    def _make(seed):
        made.append(hang_ups.Callers(seed))
        return made[-1]

    yield _make
    for each in made:
        each.close()


def _failures(results):
    return [result for result in results if result is not True]


def _declared_request(source):
    prompt = f"tell {source.random()} [tokens={EVENTS}]"
    headers = {"Host": "x", "Authorization": f"Bearer {callers.CALLER_KEY}"}
    body = callers.chat_body(prompt, stream=True)
    return hang_ups.http_request("/v1/chat/completions", body, headers)


def _leave_declared(deployment, source):
    address = source.choice(deployment.entry_addresses)
    hang_up = hang_ups.draw(source, events=EVENTS)
    hang_ups.leave(address, _declared_request(source), hang_up)
    return True


def _stay_declared(address, source):
    prompt = f"tell {source.random()} [tokens={EVENTS}]"
    stream = callers.ChatStream(address, prompt).read_all()
    stream.close()
    messages = [{"role": "user", "content": prompt}]
    expected = _standin_text.answer("words", messages, None).text()
    return stream.done and stream.text == expected or stream.text


def _cut_answers(deployment, engine, source):
    """Let an engine hang up on the entry host after some tokens, or, with 0, let it answer."""
    faults = json.dumps({"cut_after_tokens": source.choice([0, 1, 7, EVENTS - 1])}).encode()
    address = deployment.standin_address(engine)
    assert callers.ask(address, "POST", "/v1/faults", faults).status == 200


# Guards against: a descriptor closed while the watcher of its caller was about to run again, which
# ended the entry host as soon as another socket got the same number.
@pytest.mark.parametrize("seed", SEEDS)
def test_hang_ups_end_no_declared_entry_host(make_deployment, make_callers, seed):
    deployment = make_deployment(controls=1)
    engines = [f"engine-{number}" for number in range(3)]
    for name in engines:
        deployment.start_engine(name, token_s=0.002, slots=8)
    staying, leaving = make_callers(seed), make_callers(seed)
    first, last = deployment.entry_names
    address = deployment.address(first)
    for number in range(PATIENT_CALLERS):
        staying.start(f"stays-{number}", lambda source: _stay_declared(address, source))
    for number in range(LEAVING_CALLERS):
        leaving.start(f"leaves-{number}", lambda source: _leave_declared(deployment, source))
    source = random.Random(seed)
    for _ in range(TURNS):
        _cut_answers(deployment, engines[-1], source)
        time.sleep(TURN_S)
    deployment.processes.terminate(last)
    drained = deployment.processes.wait(last, DRAIN_LIMIT_S)
    leaving.close()
    staying.close()
    assert drained == 0
    assert descriptor_guard.logs_with_reports(deployment.folder) == []
    assert all(deployment.processes.running(name) for name in (first, *engines))
    assert _failures(leaving.results) == []
    assert _failures(staying.results) == []
    assert len(staying.results) >= PATIENT_CALLERS


@pytest.fixture
def fleet(tmp_path):
    made = routed_fleet.Fleet(tmp_path, engines=4)
    timeout_ms = 1000 * ROUTE_TIMEOUT_S
    made.put_route(kind="streaming", may_resume=True, max_attempts=2, timeout_ms=timeout_ms)
    made.until_known()
    yield made
    made.close()


def _routed_body(fleet, source):
    """Return a body that asks for a stream, which one engine hangs up on.

    One run in eight is cut so: fewer than the retries that the budget grants.
    """
    engine = source.choice([*fleet.engines, *[None] * len(fleet.engines)])
    name = "none" if engine is None else engine.name
    return f"stream {EVENTS} {source.randint(1, EVENTS)} {name} {source.random()}"


def _leave_routed(fleet, source):
    headers = fleet.headers()
    request = hang_ups.http_request("/p/x", _routed_body(fleet, source).encode(), headers)
    hang_up = hang_ups.draw(source, events=EVENTS)
    hang_ups.leave(f"http://{source.choice(fleet.entries)}:7004", request, hang_up)
    return True


def _stay_routed(fleet, entry, source):
    body = _routed_body(fleet, source)
    status, answer = fleet.call_at(entry, body, timeout_s=1.5 * ROUTE_TIMEOUT_S)
    return (status, answer) == (200, routed_fleet.stream(EVENTS)) or (status, answer)


# Guards against: the same in a routed entry host.
@pytest.mark.parametrize("seed", SEEDS)
def test_hang_ups_end_no_routed_entry_host(fleet, make_callers, seed):
    staying, leaving = make_callers(seed), make_callers(seed)
    first, *_, last = fleet.entries
    for number in range(PATIENT_CALLERS):
        staying.start(f"stays-{number}", lambda source: _stay_routed(fleet, first, source))
    for number in range(LEAVING_CALLERS):
        leaving.start(f"leaves-{number}", lambda source: _leave_routed(fleet, source))
    time.sleep(TURNS * TURN_S)
    fleet.process_by_host[last].send_signal(signal.SIGTERM)
    drained = fleet.process_by_host[last].wait(DRAIN_LIMIT_S)
    leaving.close()
    staying.close()
    assert drained == 0
    assert descriptor_guard.logs_with_reports(fleet.folder) == []
    running = [host for host, process in fleet.process_by_host.items() if process.poll() is None]
    assert running == [*fleet.replicas, *fleet.entries[:-1]]
    assert _failures(leaving.results) == []
    assert _failures(staying.results) == []
    assert len(staying.results) >= PATIENT_CALLERS
