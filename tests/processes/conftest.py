"""Give each test a deployment of real processes of its own, and end them afterwards."""

import concurrent.futures
import hashlib
import os
import pathlib
import signal
import time

import pytest
from examples import local_deployment, local_processes

from medlarfork import uuid7
from tests import descriptor_guard
from tests.processes import callers

TIMEOUT_S = 110
JUST_HEARD_S = 0.5


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


CONFIGURATION = f"""
[deployment]
name = "failures"
engine_lease_s = 3.0

[[account]]
name = "shop"
key_sha256 = ["{_digest(callers.CALLER_KEY)}"]

[[service]]
name = "words"
kind = "model"
selector = "service=words"
models = ["words"]
slots = 8

[[service]]
name = "desk"
kind = "plain"
selector = "service=desk"
slots = 8

[[class]]
name = "counter"
tier = 1
selector = "service=desk"
deadline_s = 40.0

[[class]]
name = "chat"
tier = 3
selector = "service=words"
deadline_s = 40.0
preemptible = true

[[call]]
service = "desk"
method = "POST"
path = "/holds*"
repeatable = false

[[call]]
service = "desk"
method = "GET"
path = "/search*"
repeatable = true
"""


class Deployment(local_deployment.LocalDeployment):
    """Add what the tests ask of a deployment."""

    @property
    def operator(self):
        return callers.Operator(self)

    def wait(self, condition, what, limit_s=30.0):
        try:
            return local_processes.wait_until(condition, what, limit_s)
        except TimeoutError as error:
            raise TimeoutError(f"{error}; {self._dump_processes()}") from error

    def _dump_processes(self):
        """Abort all processes, which then log their stacks; return the states that they were in."""
        states = {name: _process_state(self.processes, name) for name in self.processes.names()}
        for name in self.processes.names():
            if self.processes.running(name):
                self.processes.signal(name, signal.SIGABRT)
                self.processes.signal(name, signal.SIGCONT)
        return ", ".join(f"{name}: {state}" for name, state in states.items())

    def start_engine(self, name, **flags):
        defaults = {"labels": "service=words", "models": "words", "token_s": "0.01"}
        self._start(name, "medlar-standin-engine", {**defaults, **flags})

    def start_service(self, name, **flags):
        self._start(name, "medlar-standin-service", {"labels": "service=desk", **flags})

    def _start(self, name, command, flags):
        texts = {flag: str(value) for flag, value in flags.items()}
        self.start_standin(local_deployment.Standin(name, command, texts))
        self.wait_for_upstreams([name])

    def executions(self, name):
        """Return how often a plain service executed each idempotency key."""
        return self.get_json(f"{self.standin_address(name)}/_executions")["by_key"]

    def total(self, name):
        """Return how many calls a plain service has executed."""
        return self.get_json(f"{self.standin_address(name)}/_executions")["total"]

    def engine_state(self, name):
        return self.get_json(f"{self.standin_address(name)}/v1/state")

    def ask_first(self, entry, control):
        """Let an entry host ask a control replica before the others, from its next start on."""
        settings = self.folder / f"{entry}.toml"
        head, *blocks = settings.read_text().split("[[controls]]\n")
        blocks.sort(key=lambda block: f'"{control}"' not in block)
        parts = [head, *(f"{block.rstrip()}\n" for block in blocks)]
        settings.write_text("[[controls]]\n".join(parts))

    def wait_for_announcement(self, name):
        """Wait until a restarted stand-in answers and an entry host has just heard it."""

        def _is_heard():
            statuses = [self.entry_status(entry) for entry in self.entry_names]
            heard = [item for status in statuses for item in status["upstreams"]]
            silences = [item["silent_s"] for item in heard if item["upstream_id"] == name]
            return min(silences, default=JUST_HEARD_S) < JUST_HEARD_S

        models = f"{self.standin_address(name)}/v1/models"
        self.wait(lambda: local_processes.answers(models) and _is_heard(), f"{name} again")

    def running_engine(self, names):
        """Return the one of these engines that computes something; None if none does."""
        for name in names:
            if self.engine_state(name)["running"]:
                return name
        return None

    def wait_for_execution(self, name, key):
        """Wait until a plain service has begun to execute the call with a key."""
        self.wait(lambda: key in self.executions(name), f"execution of {key}")

    def wait_for_members(self, names):
        """Wait until these entry hosts, and only they, are known to each of them."""

        def _agreed():
            views = [self.entry_status(name)["members"] for name in names]
            return all({item["entry_id"] for item in view} == set(names) for view in views)

        self.wait(_agreed, "all entry hosts in the view")

    def wait_for_revision(self, revision, names=None):
        """Wait until entry hosts have a revision in force."""
        self.wait(
            lambda: all(
                self.entry_status(name)["revision"] >= revision
                for name in names or self.entry_names
            ),
            f"revision {revision} at the entry hosts",
        )

    def attempts(self, request_id):
        """Return how many attempts an entry host's log says that a request took."""
        for name in self.entry_names:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                fields = dict(part.split("=", 1) for part in line.split() if "=" in part)
                if fields.get("request_id") == request_id and "attempts" in fields:
                    return int(fields["attempts"])
        return None


def _process_state(processes, name):
    """Return the system's letter for a process (T if it is stopped), or its exit status."""
    if not processes.running(name):
        return processes.wait(name)
    stat = pathlib.Path(f"/proc/{processes.pid(name)}/stat").read_text()
    return stat.rpartition(")")[2].split()[0]


@pytest.fixture
def threads():
    """Run callers at the same time."""
    with concurrent.futures.ThreadPoolExecutor(max_workers=32) as executor:
        yield executor


@pytest.fixture
def processes(threads, monkeypatch):
    """Own processes; they end before the callers are waited for."""
    monkeypatch.setenv("PYTHONFAULTHANDLER", "1")
    with local_processes.local_processes() as running:
        yield running


@pytest.fixture
def make_deployment(processes, tmp_path):
    """Start a deployment of the asked size with the tests' configuration in force.

    Afterwards no process may have logged an exception that it did not expect, or closed a
    descriptor in use.
    """

    def _make(*, controls=3, entries=2, entry_settings="entries_lifetime_s = 1.0\n"):
        deployment = Deployment(
            tmp_path,
            processes,
            data_centres=("north", "south"),
            controls=controls,
            entries=entries,
            keys=False,
            entry_settings=entry_settings,
        )
        (tmp_path / "configuration.toml").write_text(CONFIGURATION)
        deployment.start_system()
        deployment.wait_for_members(deployment.entry_names)
        applied = deployment.apply(tmp_path / "configuration.toml")
        assert applied.status == 0, applied.errors
        deployment.wait_for_revision(1)
        return deployment

    yield _make
    processes.close()
    assert descriptor_guard.logs_with_reports(pathlib.Path(tmp_path)) == []
    for log in sorted(pathlib.Path(tmp_path).glob("*.log")):
        _, logged, details = log.read_text().partition("Traceback")
        assert not logged, f"an exception was logged in {log}:\n{details[:3000]}"


@pytest.fixture
def new_key():
    """Return a function that makes idempotency keys and change ids."""
    return lambda: uuid7.make(time.time_ns() // 1_000_000, os.urandom(uuid7.RANDOM_BYTES))


def pytest_collection_modifyitems(items):
    """Bound the time of each test of this folder."""
    here = pathlib.Path(__file__).parent
    for item in items:
        if here in item.path.parents and item.get_closest_marker("timeout") is None:
            item.add_marker(pytest.mark.timeout(TIMEOUT_S))
