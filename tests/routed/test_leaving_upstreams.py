"""Upstreams that signal in their responses that they are leaving."""

import pytest

from medlarfork import node
from medlarfork.backpressure import signal_messages
from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    upstream_registry,
    upstream_types,
)
from medlarfork.gateway import backpressure_tracker, entry_session, owner_client, request_hold
from medlarfork.placement import local_choice, placement_messages
from tests import curio_world
from tests.routed import coordinator_cluster, routed_harness

NAMES = routed_harness.NAMES


@pytest.fixture
def session(make_announcement):
    session = entry_session.EntrySession(("r1",))
    view = upstream_types.ViewChange(
        (make_announcement("u-1"), make_announcement("u-2", address="10.0.0.2:80")), is_whole=True
    )
    session.apply_message("r1", coordination_messages.ViewPush(1, 1, view), 0.0)
    return session


@pytest.fixture
def tracker(session):
    made = backpressure_tracker.BackpressureTracker("e-0", NAMES, session, lambda *_: True)
    made.record_response("u-1", 200, {NAMES.leaving: "1"}, sent_at=0.0, attempt_id="a-1")
    return made


def test_a_request_placed_before_the_leaving_signal_is_not_sent(tracker):
    assert not tracker.may_send("u-1")
    assert tracker.may_send("u-2")


def test_an_upstream_stays_leaving_after_a_response_without_the_signal(tracker):
    tracker.record_response("u-1", 200, {}, sent_at=9e9, attempt_id="a-2")
    assert not tracker.may_send("u-1")


def test_local_placement_skips_a_leaving_upstream(tracker, session, make_place_request):
    client = owner_client.OwnerClient(
        "e-0",
        session,
        lambda *_: False,
        request_hold.HoldQueue(),
        tracker.gate,
        tracker.send_known_signals,
    )

    async def main():
        chosen = []
        for number in range(4):
            chosen.append(await client.place(make_place_request(f"t{number}")))
            # Its two slots would otherwise be used up, and the next request would wait.
            client.report_end(f"t{number}", placement_messages.RunEnd.COMPLETE, 1.0)
        assert {placed.upstream_id for placed in chosen} == {"u-2"}
        refused = await client.place(make_place_request("t", excluded=("u-2",)))
        assert isinstance(refused, placement_messages.PlaceRefused)
        assert refused.retry_after_ms == local_choice.RETRY_MS

    curio_world.run(main)


def test_a_replica_removes_an_upstream_that_is_reported_as_leaving(make_announcement):
    """The upstream keeps announcing itself as ready."""
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


def test_a_withdrawn_upstream_that_keeps_announcing_itself_stays_removed(make_announcement):
    registry = upstream_registry.UpstreamRegistry(announce_period_s=1.0)
    registry.withdraw("u-1", 0.0)
    for minute in range(1, 12):
        now = 60.0 * minute
        registry.mark_silent(now)
        registry.announce(make_announcement("u-1", sequence=minute), now)
        assert registry.present == ()
