"""Upstreams that say in their answers that they are leaving."""

import pytest

from medlarfork import node
from medlarfork.backpressure import signal_messages
from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    upstream_registry,
    upstream_types,
)
from medlarfork.gateway import backpressure_watch, entry_session, holding, owner_client
from medlarfork.placement import local_choice, placement_messages
from tests import curio_world
from tests.routed import coordinator_cluster, routed_world

NAMES = routed_world.NAMES


@pytest.fixture
def session(make_announcement):
    session = entry_session.EntrySession(("r1",))
    view = upstream_types.ViewChange(
        (make_announcement("u-1"), make_announcement("u-2", address="10.0.0.2:80")), is_whole=True
    )
    session.take("r1", coordination_messages.ViewPush(1, 1, view), 0.0)
    return session


@pytest.fixture
def watch(session):
    made = backpressure_watch.BackpressureWatch("e-0", NAMES, session, lambda *_: True)
    made.note_answer("u-1", 200, {NAMES.leaving: "1"}, sent_at=0.0, attempt_id="a-1")
    return made


def test_what_was_placed_before_its_word_came_is_not_sent(watch):
    assert not watch.may_send("u-1")
    assert watch.may_send("u-2")


def test_it_stays_so_when_a_later_answer_does_not_say_it(watch):
    watch.note_answer("u-1", 200, {}, sent_at=9e9, attempt_id="a-2")
    assert not watch.may_send("u-1")


def test_a_host_that_places_alone_passes_it_over(watch, session, make_question):
    client = owner_client.OwnerClient(
        "e-0", session, lambda *_: False, holding.Holding(), watch.gate, watch.tell_replica
    )

    async def main():
        chosen = [await client.place(make_question(f"t{number}")) for number in range(4)]
        assert {placed.upstream_id for placed in chosen} == {"u-2"}
        refused = await client.place(make_question("t", excluded=("u-2",)))
        assert isinstance(refused, placement_messages.PlaceRefused)
        assert refused.retry_after_ms == local_choice.RETRY_MS

    curio_world.run(main)


def test_a_replica_that_is_told_of_it_names_it_to_no_host_again(make_announcement):
    """The upstream goes on announcing itself as ready."""
    cluster = coordinator_cluster.Cluster()
    cluster.run(4.0)
    cluster.ask("a", coordinator_types.Announce(make_announcement("u-1")))
    told = signal_messages.SignalReport(leaving=("u-1",))
    cluster.post("a", node.MessageReceived("e-0", told))
    for number in range(3):
        again = make_announcement("u-1", sequence=2 + number)
        cluster.ask("a", coordinator_types.Announce(again))
        cluster.run(1.0)
    assert cluster.host_by_id["a"].node._registry.present == ()


def test_one_that_goes_on_announcing_itself_for_long_stays_gone(make_announcement):
    registry = upstream_registry.UpstreamRegistry(announce_period_s=1.0)
    registry.withdraw("u-1", 0.0)
    for minute in range(1, 12):
        now = 60.0 * minute
        registry.take_silent(now)
        registry.announce(make_announcement("u-1", sequence=minute), now)
        assert registry.present == ()
