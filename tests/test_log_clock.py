"""Tests that a wrong wall clock of one replica does not move the log's time."""

import pytest

from medlarfork import claim, node, uuid7
from medlarfork.control import _log_clock, control_types
from tests import test_control_machine as machine

_YEAR_MS = 365 * 24 * 3600 * 1000
_REPLICAS = ("c1", "c2", "c3")


class _Entry:
    """Fake entry host that requests claims for keys with the correct time."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.verdicts = []
        simulation.entry_by_id["e9"] = self

    def receive(self, message):
        if isinstance(message, claim.ClaimReply):
            self.verdicts.append(message.verdict)

    def verdict_on(self, key):
        holder = claim.Holder("e9", 1, f"r{len(self.verdicts)}")
        request = claim.ClaimRequest(claim.ClaimKey("a", key), holder, "b")
        leader = self.simulation.process_by_id[self.simulation.leader()]
        leader.post(node.MessageReceived("e9", request))
        self.simulation.run(0.5)
        return self.verdicts[-1]


class _ClocklessSimulation(machine._Simulation):
    """Simulation of replicas that read no wall clock."""

    def read_clock(self, process):
        pass


@pytest.fixture
def simulation():
    simulation = machine._Simulation(1)
    simulation.faulty = False
    simulation.run(5.0)
    return simulation


def _step(simulation, name, step_ms):
    simulation.clock_step_by_id[name] = step_ms
    simulation.run(1.5)


def _new_key(simulation):
    true_ms = int(machine._EPOCH_MS + simulation.now * 1000)
    return uuid7.make(true_ms, simulation.random.randbytes(uuid7.RANDOM_BYTES))


@pytest.mark.parametrize(
    ("leaders_ms", "followers_ms"),
    [(_YEAR_MS, 0), (-_YEAR_MS, 0), (0, _YEAR_MS), (_YEAR_MS, -_YEAR_MS), (-_YEAR_MS, _YEAR_MS)],
)
def test_a_clock_that_jumps_neither_expires_claims_nor_refuses_new_keys(
    simulation, leaders_ms, followers_ms
):
    entry = _Entry(simulation)
    undated = entry.verdict_on("undated")
    leader = simulation.leader()
    follower = next(name for name in _REPLICAS if name != leader)
    _step(simulation, leader, leaders_ms)
    _step(simulation, follower, followers_ms)
    verdicts = [entry.verdict_on("undated"), entry.verdict_on(_new_key(simulation))]
    # A new leader has to agree on a correct log time, too.
    simulation.isolated.add(leader)
    simulation.run(6.0)
    verdicts.append(entry.verdict_on(_new_key(simulation)))
    assert undated is claim.Verdict.GRANTED
    assert verdicts[0] in (claim.Verdict.RUNNING, claim.Verdict.HOLDER_LOST)
    assert verdicts[1:] == [claim.Verdict.GRANTED] * 2


@pytest.mark.parametrize(
    ("clocks", "agreed"),
    [
        ({}, None),
        ({"a": 100}, None),
        ({"a": 900, "b": 100}, 100),
        ({"a": 900, "b": 100, "c": 101}, 101),
        ({"a": 1, "b": 100, "c": 101}, 100),
        ({"a": 900, "b": 1, "c": 100}, 100),
        ({"a": 900, "x": 100}, None),
    ],
)
def test_the_median_of_a_majority_of_three_is_used(clocks, agreed):
    clock = _log_clock.LogClock()
    for name, unix_ms in clocks.items():
        clock.set(name, unix_ms + 5000, now=5.0)
    assert clock.unix_ms(("a", "b", "c"), 0.0) == agreed


@pytest.mark.parametrize("heard", ["abc", "abcd", "abcde"])
def test_two_of_five_clocks_ahead_never_decide_the_time(heard):
    clock = _log_clock.LogClock()
    for name in heard:
        clock.set(name, 900 if name in "ab" else 100, now=0.0)
    assert clock.unix_ms("abcde", 0.0) == 100


def test_a_leader_answers_only_once_it_knows_the_time_of_a_majority():
    simulation = _ClocklessSimulation(1)
    simulation.faulty = False
    simulation.run(5.0)
    leader_id = simulation.process_by_id["c1"].node.status(simulation.now).leader_id
    leader = simulation.process_by_id[leader_id]
    leader.post(control_types.WallClock(machine._EPOCH_MS))
    simulation.run(0.5)
    assert not simulation.leader()
    other = next(name for name in _REPLICAS if name != leader_id)
    leader.post(node.MessageReceived(other, _log_clock.ClockReading(machine._EPOCH_MS)))
    simulation.run(0.5)
    assert simulation.leader() == leader_id


def test_a_clock_reading_from_a_non_replica_is_rejected(simulation):
    leader = simulation.process_by_id[simulation.leader()].node
    message = node.MessageReceived("e1", _log_clock.ClockReading(1))
    rejected = control_types.MessageRejected("e1", "ClockReading")
    assert rejected in leader.handle(message, simulation.now)
