"""Engines whose answers never end, beside ordinary requests of other callers."""

import contextlib
import socket
import time

import pytest

from tests.processes import crowds, flooding_engine, routed_fleet

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(100)]

ENTRY_MB = 160
CALLERS = 100
BESIDE = 12
ROUTES = (
    {"name": "r"},
    {"name": "unsafe", "path_prefix": "/unsafe/"},
    {"name": "safe", "path_prefix": "/safe/", "kind": "safe"},
    {"name": "streaming", "path_prefix": "/streaming/", "kind": "streaming", "may_resume": True},
)
FLOODS = [
    ("success", "unsafe"),
    ("success", "streaming"),
    ("no length", "safe"),
    ("failure", "unsafe"),
    ("long length", "unsafe"),
    ("one event", "streaming"),
    ("comments", "streaming"),
]


@pytest.fixture
def fleet(tmp_path):
    whole = routed_fleet.Fleet(
        tmp_path,
        replicas=1,
        entries=1,
        engines=1,
        entry_settings=f"memory_mb = {ENTRY_MB}\nmax_descriptors = 1000\n",
    )
    with contextlib.closing(whole) as made:
        flooded = {"targets": [{"service": flooding_engine.SERVICE}], "timeout_ms": 20_000}
        first, *others = ROUTES
        made.put_routes(first, *(route | flooded for route in others), services=("floods",))
        made.until_known()
        yield made


def begin_call(fleet, path):
    """Send a request whose answer is not read, and return its socket."""
    sock = socket.create_connection((fleet.entries[0], 7004), timeout=5.0)
    lines = [f"{name}: {value}" for name, value in fleet.headers().items()]
    head = "\r\n".join((f"POST {path} HTTP/1.1", *lines, "Content-Length: 1", "", "x"))
    sock.sendall(head.encode())
    return sock


def until_flooded(fleet, engine, path):
    """Wait until the entry host knows the engine that floods."""
    end_at = time.monotonic() + 20.0
    while not engine.accepted:
        assert time.monotonic() < end_at
        with begin_call(fleet, path):
            time.sleep(0.3)


# Guards against: a process that keeps what engines send without end, until it has no memory left.
@pytest.mark.parametrize(("kind", "route"), FLOODS)
def test_endless_answers_end_neither_the_host_nor_its_other_requests(fleet, kind, route):
    process = fleet.process_by_host[fleet.entries[0]]
    host, path = f"{fleet.network}.200", f"/{route}/x"
    with flooding_engine.FloodingEngine(host, fleet.replicas[0], kind) as engine:
        until_flooded(fleet, engine, path)
        callers = [begin_call(fleet, path) for _ in range(CALLERS)]
        beside = [fleet.call(f"ok {number}")[0] for number in range(BESIDE)]
        for sock in callers:
            sock.close()
    assert process.poll() is None
    peak_mb = crowds.peak_bytes(process.pid) / 1e6
    assert (peak_mb <= ENTRY_MB, beside) == (True, [200] * BESIDE), peak_mb
    assert fleet.call("ok")[0] == 200
