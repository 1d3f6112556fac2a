"""What owners answer that have just started and have not heard of all upstreams yet."""

import pytest

from medlarfork import node
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import coordinator_types
from medlarfork.placement import owner, placement_messages
from tests.routed import coordinator_cluster

COMPLETE_AT = 2.0


@pytest.fixture
def upstreams(make_announcement):
    """Three upstreams of two versions; the first states a limit that is used up."""
    versions = ("v1", "v1", "v2")
    return tuple(
        make_announcement(f"u-{number}", address=f"10.0.0.{number}:80", version=version)
        for number, version in enumerate(versions)
    )


@pytest.fixture
def started(upstreams):
    """An owner that has started and has heard of the first upstream alone."""
    ledger = signal_ledger.SignalLedger()
    ledger.record_response("u-0", 0.1, sent_at=0.0, now=0.0)
    service = owner.PlacementOwner(send_gate.SendGate(ledger))
    service.expect_upstreams(COMPLETE_AT)
    service.use_upstreams(upstreams[:1], 0.1)
    return service


CONSTRAINTS = {
    "limited": {},
    "failed": {"excluded": ("u-0",)},
    "version": {"version": "v2"},
}


@pytest.fixture(params=CONSTRAINTS)
def request_no_known_upstream_runs(request, make_place_request):
    return make_place_request("t", left_ms=4000.0, **CONSTRAINTS[request.param])


# Guards against: 503 for every caller since the only upstream heard of by then was rate-limited.
def test_a_request_waits_for_upstreams_that_are_not_known_yet(
    started, upstreams, request_no_known_upstream_runs
):
    (queued,) = started.handle("e", request_no_known_upstream_runs, 0.2)
    assert isinstance(queued.message, placement_messages.Queued)
    assert started.on_time(0.3) == ()
    (placed,) = started.use_upstreams(upstreams, 0.4)
    assert isinstance(placed.message, placement_messages.Placed)
    assert placed.message.upstream_id != "u-0"


def test_it_is_refused_once_all_upstreams_must_be_known(started, request_no_known_upstream_runs):
    started.handle("e", request_no_known_upstream_runs, 0.2)
    assert started.on_time(COMPLETE_AT - 0.1) == ()
    (refused,) = started.on_time(COMPLETE_AT)
    assert isinstance(refused.message, placement_messages.PlaceRefused)


def test_later_ones_are_refused_at_once(started, request_no_known_upstream_runs):
    (refused,) = started.handle("e", request_no_known_upstream_runs, COMPLETE_AT)
    assert isinstance(refused.message, placement_messages.PlaceRefused)


def test_it_is_refused_when_its_time_is_up(started, make_place_request):
    started.handle("e", make_place_request("t", left_ms=1000.0), 0.2)
    (refused,) = started.on_time(1.2)
    assert isinstance(refused.message, placement_messages.PlaceRefused)


def test_a_restarted_replica_whose_first_upstream_is_limited_waits_for_the_others(
    upstreams, make_place_request
):
    cluster = coordinator_cluster.Cluster(seeds=("a",), others=())
    cluster.run(1.0)
    cluster.kill("a")
    cluster.start("a")
    report = signal_messages.SignalReport((signal_messages.RateLimit("u-0", 0.1, 0.0),), ())
    cluster.post("a", node.MessageReceived("e", report))
    cluster.ask("a", coordinator_types.Announce(upstreams[0]))
    cluster.run(0.2)
    answers = []
    for number in range(3):
        request = make_place_request(f"t-{number}", left_ms=4000.0)
        cluster.post("a", node.MessageReceived("e", request))
        answers += [type(message) for _, to, message in cluster.packets if to == "e"]
        cluster.step()
    assert placement_messages.PlaceRefused not in answers
    assert placement_messages.Queued in answers
    cluster.ask("a", coordinator_types.Announce(upstreams[1]))
    placed = []
    for _ in range(20):
        placed += [item for _, to, item in cluster.packets if to == "e"]
        cluster.step()
    assert {"u-1"} == {
        item.upstream_id for item in placed if isinstance(item, placement_messages.Placed)
    }
