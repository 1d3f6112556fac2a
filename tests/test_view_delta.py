"""Entry hosts get views in order and complete, despite lost and reordered replies, at low cost."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarfork import heartbeat, member, node
from medlarfork.control import _heartbeat_service, _member_leases, replicated_state
from medlarfork.entry import control_session, entry_options
from medlarfork.links import wire
from tests import entry_harness

CODEC = wire.make_codec()
OTHERS = tuple(f"e{number}" for number in range(2, 8))


class Log:
    """Fake log that this replica leads."""

    def __init__(self):
        self.state = replicated_state.ReplicatedState()
        self.term = 0

    def holds_lease(self, now):
        return True

    def unix_ms(self, now):
        return 0

    def propose(self, command):
        self.state.apply(replicated_state.COMMANDS.pack(command))
        return "p"


class Simulation:
    """Successive leaders, and one entry host's session."""

    def __init__(self):
        self.log = Log()
        self.now = 0.0
        self.number = 0
        self.in_flight = []
        self.versions = [(0, 0)]
        self.member_by_id = {}
        self.session = control_session.ControlSession(
            entry_options.EntryNodeOptions("e1", 1, control_ids=("c1",)),
            generator=random.Random(1),
            member_now=lambda: entry_harness.member_of("e1"),
        )
        self.elect()

    def elect(self):
        self.service = _heartbeat_service.HeartbeatService(self.log)
        self.log.term += 1
        self.service.start_term(self.log.term, self.now)

    @property
    def view(self):
        return self.service.leases.view

    def beat(self, entry_id, **changes):
        self.number += 1
        sender = dataclasses.replace(entry_harness.member_of(entry_id), incarnation=1)
        sender = dataclasses.replace(self.member_by_id.get(entry_id, sender), **changes)
        self.member_by_id[entry_id] = sender
        self.take(heartbeat.Heartbeat(sender, self.number, 0, (0, 0)))

    def leave(self, entry_id):
        sender = self.member_by_id.pop(entry_id, None)
        if sender is not None:
            self.number += 1
            self.take(heartbeat.Heartbeat(sender, self.number, 0, (0, 0), leaving=True))

    def take(self, beat):
        self.service.expire(self.now)
        actions = (
            *self.service.handle_heartbeat(beat, self.now),
            *self.service.publish_changes(self.now),
        )
        self.service.on_applied("p")
        return [
            action.message
            for action in actions
            if isinstance(action, node.Send)
            and isinstance(action.message, heartbeat.HeartbeatReply)
            and action.to == "e1"
        ]

    def ask(self):
        """Deliver the session's heartbeat to the leader; its reply stays in flight."""
        (sent,) = self.session.beat(self.now)
        self.in_flight += self.take(sent.message)

    def deliver(self, position):
        if self.in_flight:
            reply = self.in_flight.pop(position % len(self.in_flight))
            self.session.handle(node.MessageReceived("c1", reply), self.now)
            self.versions.append(self.session.view.version)

    def settle(self):
        """Let all members send heartbeats until nothing is left to publish."""
        for _ in range(20):
            self.now += 1.0
            for entry_id in tuple(self.member_by_id):
                self.beat(entry_id)
            self.ask()
            self.deliver(len(self.in_flight) - 1)

    def do(self, step):
        match step:
            case ("join", entry_id):
                self.beat(entry_id)
            case ("restart", entry_id):
                before = self.member_by_id.get(entry_id, entry_harness.member_of(entry_id))
                self.beat(entry_id, incarnation=before.incarnation + 1)
            case ("leave", entry_id):
                self.leave(entry_id)
            case ("load", entry_id, load):
                self.beat(entry_id, load=load)
            case ("wait", seconds):
                self.now += seconds
            case ("ask",):
                self.ask()
            case ("deliver", position):
                self.deliver(position)
            case ("lose",):
                self.in_flight = self.in_flight[1:]
            case ("elect",):
                self.elect()


IDS = st.sampled_from(OTHERS)
STEPS = st.one_of(
    st.tuples(st.sampled_from(("join", "restart", "leave")), IDS),
    st.tuples(st.just("load"), IDS, st.sampled_from((0.0, 0.05, 0.5, 1.0))),
    st.tuples(st.just("wait"), st.sampled_from((0.1, 1.0, 6.0))),
    st.sampled_from((("ask",), ("ask",), ("lose",))),
    st.tuples(st.just("deliver"), st.integers(0, 3)),
    st.just(("elect",)),
)


@given(st.lists(STEPS, max_size=60))
def test_a_view_never_goes_back_and_converges_to_that_of_control(steps):
    simulation = Simulation()
    for step in steps:
        simulation.do(step)
    simulation.settle()
    assert simulation.versions == sorted(simulation.versions)
    assert simulation.session.view == simulation.view


@pytest.fixture
def simulation():
    new_simulation = Simulation()
    for entry_id in OTHERS:
        new_simulation.beat(entry_id)
    new_simulation.settle()
    return new_simulation


def next_reply(simulation):
    simulation.ask()
    return simulation.in_flight.pop()


def test_a_join_and_a_leave_cost_one_member(simulation):
    base = simulation.session.view.version
    simulation.beat("e9")
    simulation.leave("e2")
    simulation.now += 1.0
    reply = next_reply(simulation)
    joined = simulation.member_by_id["e9"]
    assert reply.view is None
    assert reply.view_delta == heartbeat.ViewDelta(
        base, simulation.view.version, (joined,), ("e2",), {}, len(OTHERS) + 1
    )


def test_loads_cost_neither_a_notice_nor_full_members(simulation):
    number = simulation.number + 1
    sender = dataclasses.replace(simulation.member_by_id["e2"], load=0.9)
    simulation.service.expire(simulation.now)
    actions = simulation.service.handle_heartbeat(
        heartbeat.Heartbeat(sender, number, 0, (0, 0)), simulation.now
    )
    assert [type(action.message) for action in actions] == [heartbeat.HeartbeatReply]
    delta = next_reply(simulation).view_delta
    assert (delta.changed, delta.removed, delta.load_by_id) == ((), (), {"e2": 0.9})


def test_a_membership_change_includes_no_loads_that_are_not_due(simulation):
    simulation.beat("e2", load=0.9)
    simulation.beat("e3", load=0.9)
    simulation.ask()
    simulation.deliver(0)
    simulation.beat("e9")
    simulation.now += 1.0
    delta = next_reply(simulation).view_delta
    assert ([item.entry_id for item in delta.changed], delta.load_by_id) == (["e9"], {})
    assert [simulation.view.member_by_id[entry_id].load for entry_id in ("e2", "e3")] == [0.9, 0.0]


def test_a_cached_delta_is_replaced_after_each_new_view(simulation):
    base = simulation.session.view.version
    for entry_id in ("e8", "e9"):
        simulation.beat(entry_id)
        simulation.now += 1.0
        simulation.service.publish_changes(simulation.now)
        assert simulation.service.views.since(base).version == simulation.view.version


def test_the_loads_of_one_view_are_bounded_and_the_largest_changes_go_first(monkeypatch):
    monkeypatch.setattr(_member_leases, "_MAX_LOADS_PER_VIEW", 2)
    simulation = Simulation()
    for entry_id in OTHERS:
        simulation.beat(entry_id)
    simulation.settle()
    base = simulation.view.version
    for position, entry_id in enumerate(OTHERS):
        simulation.beat(entry_id, load=0.2 + position / 10)
    for entry_ids in (["e2"], ["e2", "e6", "e7"]):
        assert list(simulation.service.views.since(base).load_by_id) == entry_ids
        for _ in range(5):
            simulation.now += 1.0
            for entry_id in OTHERS:
                simulation.beat(entry_id)
    simulation.settle()
    seen = [item.load for item in simulation.session.view.members if item.entry_id in OTHERS]
    assert seen == [0.2 + position / 10 for position in range(len(OTHERS))]


def test_a_mass_join_delays_the_next_view(simulation):
    for number in range(10, 110):
        simulation.beat(f"e{number}")
    simulation.now += 1.0
    simulation.beat("e200")
    version = simulation.view.version
    simulation.beat("e201")
    simulation.now += 1.0
    simulation.service.publish_changes(simulation.now)
    assert simulation.view.version == version
    simulation.now += 100 * _member_leases._VIEW_INTERVAL_PER_CHANGE_S
    simulation.service.publish_changes(simulation.now)
    assert simulation.view.version > version


@pytest.mark.parametrize("hosts", [390])
def test_one_join_and_changing_loads_cost_a_bounded_number_of_bytes(hosts):
    simulation = Simulation()
    for number in range(hosts):
        simulation.beat(f"entry-{number:03d}")
    simulation.settle()
    sizes = []
    simulation.beat("entry-new")
    sizes.append(sum(map(len, CODEC.encode(next_reply(simulation)))))
    simulation.settle()
    for number in range(hosts):
        simulation.beat(f"entry-{number:03d}", load=0.9)
    sizes.append(sum(map(len, CODEC.encode(next_reply(simulation)))))
    assert max(sizes) < 1_500


def delta_of(base, version, **changes):
    delta = heartbeat.ViewDelta(base, version, (entry_harness.member_of("e9"),), (), {}, 2)
    return dataclasses.replace(delta, **changes)


@pytest.mark.parametrize(
    ("delta", "asks_for"),
    [
        (delta_of((1, 0), (1, 2)), (1, 1)),
        (delta_of((1, 2), (1, 3)), (1, 1)),
        (delta_of((1, 1), (1, 1)), (1, 1)),
        (delta_of((1, 1), (1, 2), member_count=3), (0, 0)),
        (delta_of((1, 1), (1, 2), load_by_id={"e8": 0.5}), (0, 0)),
        (delta_of((1, 1), (1, 2)), (1, 2)),
    ],
)
def test_a_delta_applies_only_to_its_base_and_an_inconsistent_one_triggers_a_full_view(
    delta, asks_for
):
    simulation = Simulation()
    simulation.log.term = 1
    (sent,) = simulation.session.beat(0.0)
    view = member.View((1, 1), (entry_harness.member_of("e1"),))
    for fields in ({"view": view}, {"view_delta": delta}):
        reply = heartbeat.HeartbeatReply(sent.message.number, 1, 0, **fields)
        simulation.session.handle(node.MessageReceived("c1", reply), 0.1)
    (again,) = simulation.session.beat(1.0)
    assert again.message.view_version == asks_for
    assert simulation.session.view.version == max((1, 1), asks_for)


def test_only_a_bounded_number_of_past_versions_is_kept(simulation, monkeypatch):
    monkeypatch.setattr("medlarfork.control._view_history.MAX_CHANGES", 3)
    bases = []
    simulation.elect()
    for number in range(8):
        bases.append(simulation.view.version)
        simulation.beat(f"e{20 + number}")
        simulation.now += 0.3
        simulation.service.publish_changes(simulation.now)
    deltas = [simulation.service.views.since(base) for base in bases]
    assert [delta is not None for delta in deltas] == [False] * 5 + [True] * 3
