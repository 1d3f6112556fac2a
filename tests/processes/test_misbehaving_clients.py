"""Crowds of clients that misbehave, at each door of the programs of a routed deployment."""

import dataclasses
import itertools
import time

import pytest

from tests.processes import crowds, routed_fleet

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(100)]

ENTRY_MB, REPLICA_MB = 150, 130
MAX_DESCRIPTORS = 1_000
SIZES = "memory_mb = {}\nmax_descriptors = {}\n"
SERVED_S = 30.0
"""How long an ordinary caller tries until it gives up, in seconds."""


@dataclasses.dataclass(frozen=True)
class Door:
    """Where a crowd goes: a port of an entry host or a replica, and a path there."""

    at_entry: bool
    port: int
    path: str
    method: str = "POST"

    @property
    def memory_mb(self):
        return ENTRY_MB if self.at_entry else REPLICA_MB


DOORS = {
    "a route": Door(True, 7004, "/p/x"),
    "no route": Door(True, 7004, "/nowhere/x"),
    "relay": Door(True, 7006, "/p/x"),
    "ready": Door(True, 7005, "/"),
    "metrics": Door(True, 7005, "/metrics"),
    "routing": Door(False, 7001, "/v1/routing", "PUT"),
    "heartbeat": Door(False, 7001, "/v1/upstreams/u-9", "PUT"),
    "directory": Door(False, 7002, "/v1/entries"),
    "replica health": Door(False, 7007, "/"),
}


class Programs:
    """Run a deployment of one entry host and one replica; a new one after a failed test."""

    def __init__(self, make_folder):
        self._make_folder = make_folder
        self._fleet = None

    def host(self, door):
        return self._fleet.entries[0] if door.at_entry else self._fleet.replicas[0]

    def process(self, door):
        return self._fleet.process_by_host[self.host(door)]

    def start(self):
        if self._fleet is not None:
            return
        self._fleet = routed_fleet.Fleet(
            self._make_folder("fleet"),
            replicas=1,
            entries=1,
            engines=1,
            entry_settings=SIZES.format(ENTRY_MB, MAX_DESCRIPTORS),
            replica_settings=SIZES.format(REPLICA_MB, MAX_DESCRIPTORS),
        )
        self._fleet.put_route()
        self._fleet.until_known()
        self.until_served()

    def until_served(self):
        """Wait until ordinary requests are answered: a caller's, an operator's, the directory's."""
        replica, entry = self._fleet.replicas[0], self._fleet.entries[0]
        calls = (
            lambda: self._fleet.call_at(entry, "ok"),
            lambda: routed_fleet.ask("GET", f"http://{entry}:7005/"),
            lambda: routed_fleet.ask("GET", f"http://{replica}:7001/v1/routing"),
            lambda: routed_fleet.ask("GET", f"http://{replica}:7002/v1/entries?zone=z1"),
        )
        for call in calls:
            end_at = time.monotonic() + SERVED_S
            while (answer := call())[0] != 200:
                assert time.monotonic() < end_at, answer
                time.sleep(0.1)

    def close(self):
        if self._fleet is not None:
            fleet, self._fleet = self._fleet, None
            fleet.close()


@pytest.fixture(scope="module")
def programs(tmp_path_factory):
    """Own the programs of this module's tests."""
    owned = Programs(tmp_path_factory.mktemp)
    yield owned
    owned.close()


# Guards against: a process that takes more than its memory for what clients send, or serves no one.
@pytest.mark.parametrize(("kind", "door"), list(itertools.product(crowds.NAMES, DOORS)))
def test_a_crowd_neither_ends_a_program_nor_keeps_others_out(programs, kind, door):
    door = DOORS[door]
    programs.start()
    process = programs.process(door)
    client = crowds.kinds(door.method, door.path)[kind]
    try:
        with crowds.Crowd(f"http://{programs.host(door)}:{door.port}", client):
            open_descriptors = crowds.descriptors(process.pid)
            programs.until_served()
        programs.until_served()
        assert process.poll() is None
        peak_mb = crowds.peak_bytes(process.pid) / 1e6
        assert peak_mb <= door.memory_mb
        assert open_descriptors <= MAX_DESCRIPTORS
    except BaseException:
        programs.close()
        raise
