"""Streams that are resumed while upstreams change their version and processes are killed."""

import collections
import contextlib
import dataclasses
import http.client
import random
import re
import threading
import time

import pytest

from tests.processes import routed_fleet, soak_seeds

CONTACT_S = 3.0
"""Time after a disturbance from which streams have to go on."""

ENGINES = 6
CALLERS = 8
EVENTS = 6
TRIES = 4
MIN_RESUMED = 12
"""Resumed streams from which their share is compared with that of new streams."""


@dataclasses.dataclass(frozen=True)
class Try:
    """One attempt of a caller.

    Attributes:
        sent_at: When it was sent, in monotonic seconds.
        version: The version that began its stream; empty for a new one.
        received: How many events it brought.
    """

    sent_at: float
    version: str
    received: int


@pytest.fixture
def fleet(tmp_path):
    whole = routed_fleet.Fleet(tmp_path, engines=ENGINES, versions=("v0", "v1"))
    with contextlib.closing(whole) as made:
        made.put_route(kind="streaming", may_resume=True, max_attempts=2)
        yield made


class History:
    """What a seed draws: kills of hosts and replicas, restarts of all, and changes of versions.

    Attributes:
        disturbed_at: When something was done, in monotonic seconds.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.disturbed_at = []
        self._next_version = 2

    def turn(self):
        """Do something, twice at most, and wait until all are in contact for a while."""
        for _ in range(self.random.randint(1, 2)):
            self.disturbed_at.append(time.monotonic())
            self.random.choice([self._entry, self._replica, self._everything, self._roll])()
            self.disturbed_at.append(time.monotonic())
            time.sleep(self.random.uniform(0.0, 0.5))
        time.sleep(CONTACT_S + 2.0)

    def is_calm(self, at):
        """Return whether nothing was done shortly before a time."""
        return not any(at - CONTACT_S <= done <= at + 0.5 for done in self.disturbed_at)

    def _entry(self):
        entry = self.random.choice(self.fleet.entries)
        self.fleet.kill(entry)
        self.fleet.start_entry(entry)

    def _replica(self):
        replica = self.random.choice(self.fleet.replicas)
        self.fleet.kill(replica)
        self.fleet.start_replica(replica)

    def _everything(self):
        self.fleet.restart_all()

    def _roll(self):
        """Start one, half or all of the engines with another version, or an earlier one again."""
        version = f"v{self.random.choice([0, 1, self._next_version])}"
        self._next_version += 1
        for engine in self.random.sample(self.fleet.engines, self.random.choice([1, 3, 6])):
            engine.version = version
            engine.kill()

    def versions(self):
        return collections.Counter(engine.version for engine in self.fleet.engines)


def receive(entry, headers, body):
    """Send an attempt; return its status and all that arrived of the answer."""
    connection = http.client.HTTPConnection(entry, 7004, timeout=4.0)
    status, received = 0, b""
    with contextlib.closing(connection), contextlib.suppress(OSError, http.client.HTTPException):
        connection.request("POST", "/p/x", body, headers)
        response = connection.getresponse()
        status = response.status
        while status == 200 and (part := response.read1()):
            received += part
    return status, received


def events_of(received):
    """Return the ids and the versions of the whole events."""
    found = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", received)
    return [int(number) for number, _ in found], [version.decode() for _, version in found]


class Caller:
    """Sends streams one after the other, and takes them up again at other hosts."""

    def __init__(self, fleet, seed, tries):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._tries = tries
        self.mixed = []

    def call_until(self, is_over):
        while not is_over.is_set():
            self._stream()
            time.sleep(0.05)

    def _stream(self):
        """Send one stream, in several tries if need be."""
        cut = self._random.randint(1, EVENTS)
        body = f"versions {EVENTS} {cut}".encode()
        first, numbers, versions = "", [], []
        for _ in range(TRIES):
            headers = self._fleet.headers()
            if numbers:
                headers |= {"Last-Event-Id": str(numbers[-1]), "medlar-resumes": first}
            sent_at = time.monotonic()
            entry = self._random.choice(self._fleet.entries)
            _, received = receive(entry, headers, body)
            new_numbers, new_versions = events_of(received)
            began = versions[0] if versions else ""
            self._tries.append(Try(sent_at, began, len(new_numbers)))
            if new_numbers and not numbers:
                first = headers["medlar-attempt-id"]
            numbers += new_numbers
            versions += new_versions
            if numbers == list(range(1, EVENTS + 1)):
                break
            time.sleep(self._random.uniform(0.02, 0.3))
        if len(set(versions)) > 1 or numbers != list(range(1, len(numbers) + 1)):
            self.mixed.append((first, numbers, versions))


def check_shares(tries, counts_by_turn):
    """Check that streams go on nearly as often as new ones begin, where upstreams can serve both.

    Args:
        tries: The tries in calm times.
        counts_by_turn: The engines of each version in turn, with the times between which they ran.
    """
    resumed, begun = [], []
    for item in tries:
        if not item.version:
            begun.append(item.received > 0)
            continue
        for begins_at, ends_at, counts in counts_by_turn:
            if begins_at <= item.sent_at < ends_at and counts[item.version] >= 2:
                resumed.append(item.received > 0)
    if len(resumed) >= MIN_RESUMED:
        assert sum(resumed) / len(resumed) >= 0.5 * sum(begun) / len(begun), (resumed, begun)


@pytest.mark.parametrize("seed", soak_seeds.seeds(default=(1, 2)))
def test_no_stream_holds_two_versions_and_most_go_on(fleet, seed):
    history, is_over, tries = History(fleet, seed), threading.Event(), []
    fleet.until_known()
    callers = [Caller(fleet, f"{seed}-{number}", tries) for number in range(CALLERS)]
    threads = [threading.Thread(target=item.call_until, args=(is_over,)) for item in callers]
    for thread in threads:
        thread.start()
    counts_by_turn = []
    for _ in range(2):
        begins_at = time.monotonic()
        history.turn()
        counts_by_turn.append((begins_at, time.monotonic(), history.versions()))
    is_over.set()
    for thread in threads:
        thread.join()
    assert [mixed for caller in callers for mixed in caller.mixed] == []
    check_shares([item for item in tries if history.is_calm(item.sent_at)], counts_by_turn)
