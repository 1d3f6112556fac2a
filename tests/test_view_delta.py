"""Views reach entry hosts in order and whole, over lost and reordered replies, and cost little."""

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
from tests import entry_world

CODEC = wire.make_codec()
OTHERS = tuple(f"e{number}" for number in range(2, 8))


class Log:
    """Stand for a log that this replica leads."""

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


class World:
    """Drive one leader after the other, and one entry host's session."""

    def __init__(self):
        self.log = Log()
        self.now = 0.0
        self.number = 0
        self.lag = []
        self.versions = [(0, 0)]
        self.member_by_id = {}
        self.session = control_session.ControlSession(
            entry_options.EntryNodeOptions("e1", 1, control_ids=("c1",)),
            generator=random.Random(1),
            member_now=lambda: entry_world.member_of("e1"),
        )
        self.elect()

    def elect(self):
        self.service = _heartbeat_service.HeartbeatService(self.log)
        self.log.term += 1
        self.service.begin(self.log.term, self.now)

    @property
    def view(self):
        return self.service.leases.view

    def beat(self, entry_id, **changes):
        self.number += 1
        sender = dataclasses.replace(entry_world.member_of(entry_id), incarnation=1)
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
        actions = (*self.service.take(beat, self.now), *self.service.keep(self.now))
        self.service.applied("p")
        return [
            action.message
            for action in actions
            if isinstance(action, node.Send)
            and isinstance(action.message, heartbeat.HeartbeatReply)
            and action.to == "e1"
        ]

    def ask(self):
        """Let the session's heartbeat reach the leader; its reply stays under way."""
        (sent,) = self.session.beat(self.now)
        self.lag += self.take(sent.message)

    def deliver(self, position):
        if self.lag:
            reply = self.lag.pop(position % len(self.lag))
            self.session.handle(node.MessageReceived("c1", reply), self.now)
            self.versions.append(self.session.view.version)

    def settle(self):
        """Let everybody renew until nothing is left to publish."""
        for _ in range(20):
            self.now += 1.0
            for entry_id in tuple(self.member_by_id):
                self.beat(entry_id)
            self.ask()
            self.deliver(len(self.lag) - 1)

    def do(self, step):
        match step:
            case ("join", entry_id):
                self.beat(entry_id)
            case ("restart", entry_id):
                before = self.member_by_id.get(entry_id, entry_world.member_of(entry_id))
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
                self.lag = self.lag[1:]
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
    world = World()
    for step in steps:
        world.do(step)
    world.settle()
    assert world.versions == sorted(world.versions)
    assert world.session.view == world.view


@pytest.fixture
def world():
    made = World()
    for entry_id in OTHERS:
        made.beat(entry_id)
    made.settle()
    return made


def news(world):
    world.ask()
    return world.lag.pop()


def test_a_join_and_a_leave_cost_one_member(world):
    base = world.session.view.version
    world.beat("e9")
    world.leave("e2")
    world.now += 1.0
    reply = news(world)
    joined = world.member_by_id["e9"]
    assert reply.view is None
    assert reply.view_delta == heartbeat.ViewDelta(
        base, world.view.version, (joined,), ("e2",), {}, len(OTHERS) + 1
    )


def test_loads_cost_neither_a_notice_nor_full_members(world):
    number = world.number + 1
    sender = dataclasses.replace(world.member_by_id["e2"], load=0.9)
    world.service.expire(world.now)
    actions = world.service.take(heartbeat.Heartbeat(sender, number, 0, (0, 0)), world.now)
    assert [type(action.message) for action in actions] == [heartbeat.HeartbeatReply]
    delta = news(world).view_delta
    assert (delta.changed, delta.removed, delta.load_by_id) == ((), (), {"e2": 0.9})


def test_a_membership_change_includes_no_loads_that_are_not_due(world):
    world.beat("e2", load=0.9)
    world.beat("e3", load=0.9)
    world.ask()
    world.deliver(0)
    world.beat("e9")
    world.now += 1.0
    delta = news(world).view_delta
    assert ([item.entry_id for item in delta.changed], delta.load_by_id) == (["e9"], {})
    assert [world.view.member_by_id[entry_id].load for entry_id in ("e2", "e3")] == [0.9, 0.0]


def test_a_cached_delta_is_replaced_after_each_new_view(world):
    base = world.session.view.version
    for entry_id in ("e8", "e9"):
        world.beat(entry_id)
        world.now += 1.0
        world.service.keep(world.now)
        assert world.service.views.since(base).version == world.view.version


def test_the_loads_of_one_view_are_bounded_and_the_largest_changes_go_first(monkeypatch):
    monkeypatch.setattr(_member_leases, "_LOADS_PER_VIEW", 2)
    world = World()
    for entry_id in OTHERS:
        world.beat(entry_id)
    world.settle()
    base = world.view.version
    for position, entry_id in enumerate(OTHERS):
        world.beat(entry_id, load=0.2 + position / 10)
    for entry_ids in (["e2"], ["e2", "e6", "e7"]):
        assert list(world.service.views.since(base).load_by_id) == entry_ids
        for _ in range(5):
            world.now += 1.0
            for entry_id in OTHERS:
                world.beat(entry_id)
    world.settle()
    seen = [item.load for item in world.session.view.members if item.entry_id in OTHERS]
    assert seen == [0.2 + position / 10 for position in range(len(OTHERS))]


def test_a_mass_join_delays_the_next_view(world):
    for number in range(10, 110):
        world.beat(f"e{number}")
    world.now += 1.0
    world.beat("e200")
    version = world.view.version
    world.beat("e201")
    world.now += 1.0
    world.service.keep(world.now)
    assert world.view.version == version
    world.now += 100 * _member_leases._HOLD_OFF_PER_CHANGE_S
    world.service.keep(world.now)
    assert world.view.version > version


@pytest.mark.parametrize("hosts", [390])
def test_one_join_and_changing_loads_cost_a_bounded_number_of_bytes(hosts):
    world = World()
    for number in range(hosts):
        world.beat(f"entry-{number:03d}")
    world.settle()
    sizes = []
    world.beat("entry-new")
    sizes.append(sum(map(len, CODEC.encode(news(world)))))
    world.settle()
    for number in range(hosts):
        world.beat(f"entry-{number:03d}", load=0.9)
    sizes.append(sum(map(len, CODEC.encode(news(world)))))
    assert max(sizes) < 1_500


def delta_of(base, version, **changes):
    made = heartbeat.ViewDelta(base, version, (entry_world.member_of("e9"),), (), {}, 2)
    return dataclasses.replace(made, **changes)


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
    world = World()
    world.log.term = 1
    (sent,) = world.session.beat(0.0)
    view = member.View((1, 1), (entry_world.member_of("e1"),))
    for news_of in ({"view": view}, {"view_delta": delta}):
        reply = heartbeat.HeartbeatReply(sent.message.number, 1, 0, **news_of)
        world.session.handle(node.MessageReceived("c1", reply), 0.1)
    (again,) = world.session.beat(1.0)
    assert again.message.view_version == asks_for
    assert world.session.view.version == max((1, 1), asks_for)


def test_only_a_bounded_number_of_past_versions_is_kept(world, monkeypatch):
    monkeypatch.setattr("medlarfork.control._view_history.KEPT", 3)
    bases = []
    world.elect()
    for number in range(8):
        bases.append(world.view.version)
        world.beat(f"e{20 + number}")
        world.now += 0.3
        world.service.keep(world.now)
    deltas = [world.service.views.since(base) for base in bases]
    assert [delta is not None for delta in deltas] == [False] * 5 + [True] * 3
