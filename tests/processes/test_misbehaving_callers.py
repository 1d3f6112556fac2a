"""Crowds of clients that misbehave, at the doors of the programs of a declared deployment."""

import dataclasses
import itertools
import time
import urllib.error

import pytest
from examples import local_processes

from tests.processes import callers, conftest, crowds

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(100)]

MEMORY_MB = {"entry-1": 150, "control-1": 130}
MAX_DESCRIPTORS = 1_500
SIZES = "memory_mb = {}\nmax_descriptors = {}\n"
SERVED_S = 30.0
"""How long an ordinary caller tries until it gives up, in seconds."""


@dataclasses.dataclass(frozen=True)
class Door:
    """Where a crowd goes: a program, and a path there."""

    program: str
    path: str
    method: str = "POST"


DOORS = {
    "chat": Door("entry-1", "/v1/chat/completions"),
    "call": Door("entry-1", "/services/desk/search/x"),
    "announcements": Door("entry-1", "/v1/announcements"),
    "entry metrics": Door("entry-1", "/metrics", "GET"),
    "configuration": Door("control-1", "/v1/changes"),
    "replica readiness": Door("control-1", "/readyz", "GET"),
}


class Programs:
    """Run a deployment of one entry host and one replica; a new one after a failed test."""

    def __init__(self, make_folder):
        self._make_folder = make_folder
        self._running = None
        self.deployment = None

    def start(self):
        if self._running is not None:
            return
        self._running = local_processes.local_processes()
        processes = self._running.__enter__()
        folder = self._make_folder("declared")
        self.deployment = conftest.Deployment(
            folder,
            processes,
            data_centres=("north",),
            controls=1,
            entries=1,
            keys=False,
            entry_settings=SIZES.format(MEMORY_MB["entry-1"], MAX_DESCRIPTORS),
            control_settings=SIZES.format(MEMORY_MB["control-1"], MAX_DESCRIPTORS),
        )
        (folder / "configuration.toml").write_text(conftest.CONFIGURATION)
        self.deployment.start_system()
        self.deployment.wait_for_members(["entry-1"])
        assert self.deployment.apply(folder / "configuration.toml").status == 0
        self.deployment.start_service("desk-1")
        self.until_served()

    def until_served(self):
        """Wait until ordinary requests are answered: a caller's, and an operator's."""
        entry = self.deployment.address("entry-1")
        calls = (
            lambda: callers.search(entry, limit_s=5.0).outcome == "completed",
            lambda: callers.ask(entry, "GET", "/readyz", limit_s=5.0).status == 200,
            lambda: "has_lease" in self.deployment.control_status("control-1"),
        )
        for call in calls:
            end_at = time.monotonic() + SERVED_S
            while not _succeeds(call):
                assert time.monotonic() < end_at
                time.sleep(0.1)

    def close(self):
        if self._running is not None:
            running, self._running = self._running, None
            running.__exit__(None, None, None)


def _succeeds(call):
    try:
        return call()
    except (*callers.CUT_ERRORS, urllib.error.URLError):
        return False


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
    deployment = programs.deployment
    pid = deployment.processes.pid(door.program)
    client = crowds.kinds(door.method, door.path)[kind]
    try:
        with crowds.Crowd(deployment.address(door.program), client):
            open_descriptors = crowds.descriptors(pid)
            programs.until_served()
        programs.until_served()
        assert deployment.processes.running(door.program)
        assert deployment.processes.pid(door.program) == pid
        assert crowds.peak_bytes(pid) / 1e6 <= MEMORY_MB[door.program]
        assert open_descriptors <= MAX_DESCRIPTORS
    except BaseException:
        programs.close()
        raise
