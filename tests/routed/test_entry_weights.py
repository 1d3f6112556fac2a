"""Selection of directory answers, replayed with a model of callers that keep answers."""

import collections
import itertools
import random

import msgspec
import pytest

from medlarfork import codec
from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    entry_directory,
    entry_weights,
    operations_format,
)

LARGE, SMALL = 1.25, 0.375


@pytest.fixture
def make_directory():
    """Return a factory of directories that know hosts with given capacities in one zone."""

    def make(*capacities, zone="z1", directory=None, **changes):
        directory = directory or entry_directory.EntryDirectory(ttl_s=2.0)
        for number, capacity in enumerate(capacities):
            _record(directory, f"{zone}-{number:03}", 0.0, zone, capacity=capacity, **changes)
        return directory

    return make


def _record(directory, name, now, zone="z1", **changes):
    status = coordination_messages.EntryStatus(name, zone, True, 1, 0, 0, **changes)
    directory.record_status(name, status, now)


def _answers(directory, zone="z1", *, seconds=30.0, step_s=0.05):
    """Return the answers of a time span; every host counts as heard at its start."""
    hosts = directory.hosts(0.0)
    for step in range(round(seconds / step_s)):
        phase = directory.phase(step * step_s)
        yield entry_weights.select(hosts, zone, phase)


class _Caller:
    """A caller that keeps an answer, and a connection to each address that it has used."""

    def __init__(self, keep_s, draw):
        self.dropped = 0
        self._keep_s, self._draw = keep_s, draw
        self._until, self._addresses, self._open = draw.uniform(0.0, keep_s), (), set()

    def send(self, ask, now):
        """Send a request; return its host, or None before the caller's first question."""
        if now < self._until and not self._addresses:
            return None
        if now >= self._until:
            self._addresses, self._until = ask(now), now + self._keep_s
            self.dropped += len(self._open - set(self._addresses))
            self._open &= set(self._addresses)
        chosen = self._draw.choice(self._addresses)
        self._open.add(chosen)
        return chosen


def _replay(directories, *, callers=120, seconds=30.0, warm_s=6.0):
    """Return requests by host and second, and connections dropped per caller and second."""
    draw = random.Random(4)
    hosts = directories[0].hosts(0.0)

    def ask_of(directory):
        return lambda now: entry_weights.select(hosts, "z1", directory.phase(now))

    population = [
        (_Caller((2.0, 6.0)[number % 2], draw), ask_of(directories[number % len(directories)]))
        for number in range(callers)
    ]
    requests = collections.Counter()
    for step in range(round((warm_s + seconds) / 0.2)):
        now = step * 0.2
        for caller, ask in population:
            chosen = caller.send(ask, now)
            requests[chosen, int(now - warm_s)] += now >= warm_s
    dropped = sum(caller.dropped for caller, _ in population)
    return requests, dropped / callers / (seconds + warm_s)


def _rate(requests, name, start_s=0, end_s=30):
    """Return the requests a second of a host within a time span."""
    return sum(requests[name, at] for at in range(start_s, end_s)) / (end_s - start_s)


# Guards against: hosts of 0.375 that get as many requests as hosts of 1.25.
@pytest.mark.parametrize("replicas", [1, 3])
@pytest.mark.parametrize("capacities", [(LARGE, SMALL) * 5, (LARGE, LARGE, SMALL), (1, 2, 4, 8)])
def test_requests_follow_capacity_within_a_tenth(make_directory, replicas, capacities):
    directories = [
        make_directory(
            *capacities,
            directory=entry_directory.EntryDirectory(ttl_s=2.0, replica_id=f"10.0.0.{number}"),
        )
        for number in range(replicas)
    ]
    requests, dropped = _replay(directories)
    for number, capacity in enumerate(capacities):
        name, fair = f"z1-{number:03}", 600.0 * capacity / sum(capacities)
        assert _rate(requests, name) == pytest.approx(fair, rel=0.1)
        # Without weights, a small host of ten gets 2.2 times its share.
        assert max(_rate(requests, name, at, at + 3) for at in range(27)) <= 2.2 * fair
    assert dropped <= 0.55


# Guards against: callers that ask again and get mostly other addresses, which costs connections.
def test_consecutive_answers_change_little(make_directory):
    directory = make_directory(*(LARGE, SMALL) * 30)
    answers = [set(answer) for answer in _answers(directory, step_s=2.0)]
    for earlier, later in itertools.pairwise(answers):
        assert len(earlier - later) <= 0.25 * len(earlier)


# Guards against: a change of the answers of deployments without stated or with equal capacities.
@pytest.mark.parametrize("capacity", [0.0, 0.5, 1.25])
@pytest.mark.parametrize("count", [1, 2, 62, 200])
def test_equal_capacities_give_the_answers_of_an_unweighted_directory(
    make_directory, capacity, count
):
    directory = make_directory(*(capacity,) * count)
    make_directory(*(capacity,) * 3, zone="z2", directory=directory)
    near = tuple(f"z1-{number:03}" for number in range(count))
    far = tuple(f"z2-{number:03}" for number in range(3))
    for now in (0.0, 0.4, 0.9):
        assert directory.find("z1", now).addresses == (near if count >= 2 else (*near, *far))
        assert directory.find("elsewhere", now).addresses == (*near, *far)


# Guards against: answers with one address, whose callers have no alternative if that host is lost.
def test_a_single_large_host_is_always_named_beside_a_small_one(make_directory):
    answers = list(_answers(make_directory(LARGE, SMALL, SMALL, SMALL)))
    assert all(len(answer) == 2 and "z1-000" in answer for answer in answers)
    named = collections.Counter(itertools.chain(*answers))
    for small in ("z1-001", "z1-002", "z1-003"):
        assert named[small] == pytest.approx(len(answers) / 3, rel=0.05)


# Guards against: answers that are too long in large data centres, and hosts that none contains.
def test_two_hundred_hosts_are_named_by_capacity_in_answers_of_at_most_64(make_directory):
    capacities = (LARGE, SMALL, 0.8, 1.0) * 50
    answers = list(_answers(make_directory(*capacities)))
    assert {len(answer) for answer in answers} == {entry_weights.MAX_ADDRESSES}
    assert all(len(set(answer)) == len(answer) for answer in answers)
    named = collections.Counter(itertools.chain(*answers))
    for number, capacity in enumerate(capacities):
        expected = sum(named.values()) * capacity / sum(capacities)
        assert named[f"z1-{number:03}"] == pytest.approx(expected, rel=0.1)


# Guards against: one false capacity that draws all requests to a host, or away from the others.
@pytest.mark.parametrize("false", [1e9, float("inf"), float("nan"), -1.0])
def test_a_false_capacity_has_a_bounded_effect(make_directory, false):
    hosts = make_directory(false, LARGE, SMALL, SMALL, SMALL).hosts(0.0)
    share = entry_weights.share_by_id(hosts, "z1")
    assert share["z1-000"] <= entry_weights.MAX_CAPACITY_RATIO * share["z1-002"] * 1.01
    assert all(0.0 < value <= 1.0 for value in share.values())
    assert sum(share.values()) == pytest.approx(round(sum(share.values())))


# Guards against: a stated capacity with which a replica answers every caller with 500.
@pytest.mark.parametrize("false", [(1e308, 1.7e308, 1e308), (5e-324,)])
def test_extreme_capacities_do_not_prevent_answers(make_directory, false):
    directory = make_directory(*false, utilisation=0.95)
    make_directory(*false, zone="z2", directory=directory, utilisation=0.6)
    for zone in ("z1", "z2", "elsewhere"):
        assert directory.find(zone, 0.0).addresses
    assert directory.list_hosts(0.0).hosts


# Guards against: a rolling update that takes requests from hosts without the fields, or fails.
def test_old_hosts_count_as_average_beside_new_ones(make_directory):
    share = entry_weights.share_by_id(make_directory(1.5, 0.5, 0.0, 0.0, 0.0).hosts(0.0), "z1")
    assert share["z1-002"] == pytest.approx((share["z1-000"] + share["z1-001"]) / 2)
    messages = codec.Codec(coordination_messages.COORDINATION_MESSAGES)
    status = coordination_messages.EntryStatus("a", "z1", True, 1, 0, 0, 1.25, 0.5)
    old_body = msgspec.msgpack.encode(
        {name: getattr(status, name) for name in status.__slots__[:6]}
    )
    decoded = messages.decode(b"EntryStatus", old_body)
    assert (decoded.capacity, decoded.utilisation) == (0.0, 0.0)


# Guards against: a replica that names no host, or only some, while it learns them.
def test_a_replica_that_has_just_started_names_the_hosts_that_it_knows():
    directory = entry_directory.EntryDirectory(ttl_s=2.0)
    assert isinstance(directory.find("z1", 0.0), coordinator_types.Unavailable)
    for number, capacity in enumerate((SMALL, LARGE)):
        _record(directory, f"h{number}", 0.0, capacity=capacity)
        assert len(directory.find("z1", 0.1).addresses) == number + 1


# Guards against: hosts that enter and leave answers whenever their utilisation passes one bound.
def test_an_overloaded_host_is_left_out_until_it_has_recovered(make_directory):
    directory = make_directory(1.0, 1.0, 1.0)
    for utilisation, is_named in ((0.89, True), (0.9, False), (0.7, False), (0.69, True)):
        _record(directory, "z1-000", 0.0, capacity=1.0, utilisation=utilisation)
        assert ("z1-000" in directory.find("z1", 0.0).addresses) == is_named
    # A host that states only its memory or descriptors has no capacity, but can be overloaded.
    _record(directory, "z1-000", 0.0, capacity=0.0, utilisation=0.95)
    assert "z1-000" not in directory.find("z1", 0.0).addresses


# Guards against: an overload that moves the connections of all other hosts.
def test_an_overload_takes_only_that_host_out_of_answers(make_directory):
    directory = make_directory(*(LARGE, SMALL) * 62)
    before = [set(answer) for answer in _answers(directory)]
    _record(directory, "z1-003", 0.0, capacity=SMALL, utilisation=1.0)
    after = [set(answer) for answer in _answers(directory)]
    assert all(
        old - new <= {"z1-003"} and new <= old for old, new in zip(before, after, strict=True)
    )
    # Where many are overloaded, the others take their places.
    for number in range(62):
        _record(directory, f"z1-{number:03}", 0.0, capacity=SMALL, utilisation=1.0)
    assert {len(answer) for answer in _answers(directory)} == {40}


# Guards against: no answer, or an empty one, when every host of the deployment is overloaded.
def test_all_overloaded_hosts_are_named(make_directory):
    directory = make_directory(1.0, 1.0, 1.0, utilisation=1.0)
    make_directory(1.0, 1.0, zone="z2", directory=directory, utilisation=0.95)
    assert directory.find("z1", 0.0).addresses == ("z1-000", "z1-001", "z1-002")


# Guards against: a full data centre whose callers aren't sent to where there is room.
def test_hosts_elsewhere_help_a_full_data_centre_by_their_headroom(make_directory):
    directory = make_directory(1.0, 1.0, 1.0, utilisation=0.95)
    make_directory(1.0, 1.0, zone="z2", directory=directory, utilisation=0.2)
    make_directory(1.0, 1.0, zone="z3", directory=directory, utilisation=0.6)
    make_directory(1.0, zone="z4", directory=directory, utilisation=0.95)
    share = entry_weights.share_by_id(directory.hosts(0.0), "z1")
    assert "z4-000" not in share
    assert share["z2-000"] == pytest.approx(2 * share["z3-000"])
    assert share["z2-000"] == pytest.approx(0.8 * share["z1-000"])
    # Data centres with room keep to their own hosts.
    assert directory.find("z2", 0.0).addresses == ("z2-000", "z2-001")


# Guards against: operators who can't see why a host gets the requests that it gets.
def test_operators_see_the_weights(make_directory):
    directory = make_directory(LARGE, LARGE, SMALL, SMALL, SMALL, utilisation=0.5)
    reply = directory.list_hosts(0.0)
    api_format = operations_format.OwnFormat(http_port=1)
    operation = api_format.decode("GET", operations_format.ENTRY_HOSTS_PATH, "", b"")
    assert operation == coordinator_types.ListEntryHosts()
    first, *_ = msgspec.json.decode(api_format.encode(reply, "/").body)["hosts"]
    share = entry_weights.share_by_id(directory.hosts(0.0), "z1")
    assert first["entry_id"] == first["address"] == "z1-000"
    assert (first["capacity"], first["utilisation"], first["is_overloaded"]) == (1.25, 0.5, False)
    assert first["weight"] == pytest.approx(share["z1-000"], abs=1e-4)
