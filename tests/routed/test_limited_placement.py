"""Where requests go, and what callers are answered, while upstreams state rate limits."""

import pytest

from medlarfork import node
from medlarfork.backpressure import send_gate, signal_ledger, signal_messages
from medlarfork.coordination import coordination_messages, coordinator_types, upstream_types
from medlarfork.gateway import entry_session, owner_client, request_hold
from medlarfork.placement import local_choice, owner, placement_messages, shard_owner
from tests import curio_world
from tests.routed import coordinator_cluster, placement_helpers

OTHER = placement_messages.Shard("engines", 1, 2)


@pytest.fixture
def ledger():
    return signal_ledger.SignalLedger()


@pytest.fixture
def make_limited(ledger, make_announcement):
    """Return a factory of shard owners whose first upstreams state limits."""

    def make(*rates, count=2, slots=8):
        service = shard_owner.ShardOwner(send_gate.SendGate(ledger))
        service.use_engine(placement_helpers.ENGINE)
        for number, rate in enumerate(rates):
            ledger.record_response(f"u-{number}", rate, sent_at=0.0, now=0.0)
        service.use_upstreams(
            {
                f"u-{n}": make_announcement(f"u-{n}", address=f"10.0.0.{n}:80", slots=slots)
                for n in range(count)
            }
        )
        return service

    return make


def place(service, request, now):
    (answer,) = service.place("e", request, now)
    return answer.message


def test_requests_beyond_a_rate_limit_go_to_other_upstreams(make_limited, make_place_request):
    service = make_limited(1.0, count=3, slots=100)
    sent = []
    for number in range(100):
        now = number / 10
        sent.append(place(service, make_place_request(f"t{number}"), now).upstream_id)
        service.on_ended(placement_helpers.ended(f"t{number}"), now)
    assert 1 <= sent.count("u-0") <= 10 * 1.0 + 1


def test_a_request_waits_for_a_limit_that_lets_it_start_in_time(make_limited, make_place_request):
    service = make_limited(2.0, 2.0)
    request = make_place_request("t", left_ms=2000.0)
    assert isinstance(place(service, request, 0.0), placement_messages.Queued)
    assert service.serve_waiting(0.4) == ()
    (answer,) = service.serve_waiting(0.5)
    assert isinstance(answer.message, placement_messages.Placed)


def test_a_refusal_at_all_limits_is_immediate_with_a_retry_delay(make_limited, make_place_request):
    service = make_limited(0.1, 0.2)
    refused = place(service, make_place_request("t", left_ms=2000.0), 0.0)
    assert isinstance(refused, placement_messages.PlaceRefused)
    assert refused.retry_after_ms == pytest.approx(5000.0)
    again = place(
        service, make_place_request("t2", left_ms=2000.0), refused.retry_after_ms / 1000.0
    )
    assert isinstance(again, placement_messages.Placed)


def test_queued_requests_count_in_the_retry_delay(make_limited, make_place_request):
    service = make_limited(1.0, 1.0)
    for number in range(6):
        place(service, make_place_request(f"t{number}", left_ms=4000.0), 0.0)
    refused = place(service, make_place_request("late", left_ms=2000.0), 0.01)
    assert isinstance(refused, placement_messages.PlaceRefused)
    assert refused.retry_after_ms == pytest.approx(990.0 + 3000.0)


def test_a_queued_request_is_refused_once_limits_leave_it_no_time(
    ledger, make_limited, make_place_request
):
    service = make_limited(count=1, slots=1)
    place(service, make_place_request("t1", left_ms=9000.0), 0.0)
    queued = place(service, make_place_request("t2", left_ms=3000.0), 0.0)
    assert isinstance(queued, placement_messages.Queued)
    ledger.record_response("u-0", 0.1, sent_at=0.0, now=0.1)
    (answer,) = service.serve_waiting(0.2)
    assert isinstance(answer.message, placement_messages.PlaceRefused)
    assert answer.message.retry_after_ms == pytest.approx(9900.0)


def test_another_shard_is_asked_before_a_limited_one_refuses(make_limited, make_place_request):
    service = make_limited(0.1, 0.1)
    busy = place(service, make_place_request("t", left_ms=2000.0, other_shard=OTHER), 0.0)
    assert isinstance(busy, placement_messages.Busy)


def test_an_upstream_that_moves_to_another_shard_keeps_its_rate_limit(
    ledger, make_announcement, make_place_request
):
    """A change of the number of shards gives it another owner on the same replica."""
    ledger.record_response("u-0", 1.0, sent_at=0.0, now=0.0)
    replica = owner.PlacementOwner(send_gate.SendGate(ledger))
    replica.use_upstreams((make_announcement("u-0"),), 0.0)
    (first,) = replica.handle("e", make_place_request("t1"), 1.0)
    assert isinstance(first.message, placement_messages.Placed)
    moved = placement_messages.Shard("engines", 3, 1)
    (second,) = replica.handle("e", make_place_request("t2", shard=moved, left_ms=3000.0), 1.1)
    assert isinstance(second.message, placement_messages.Queued)


def test_a_restarted_replica_gets_the_limits_from_the_others(
    make_announcement,
):
    cluster = coordinator_cluster.Cluster()
    cluster.run(4.0)
    for replica_id in cluster.seeds:
        cluster.ask(replica_id, coordinator_types.Announce(make_announcement("u-1")))
        report = signal_messages.SignalReport(
            (signal_messages.RateLimit("u-1", 2.0, 0.0),),
            (signal_messages.Backoff("u-1", "e-0", 60.0),),
        )
        cluster.post(replica_id, node.MessageReceived("e-0", report))
    cluster.kill("a")
    cluster.start("a")
    cluster.run(0.5)
    ledger = cluster.host_by_id["a"].node._backpressure.ledger
    assert ledger.rate("u-1") == 2.0
    assert ledger.backoff_until("u-1", "e-0") > cluster.time


def test_hosts_without_owner_keep_to_a_share_of_a_limit(
    ledger, make_announcement, make_place_request
):
    """An owner that others still reach may use the full limit meanwhile."""
    session = entry_session.EntrySession(())
    present = {"u-1": make_announcement("u-1"), "u-2": make_announcement("u-2")}
    view = upstream_types.ViewChange(tuple(present.values()), is_whole=True)
    session.apply_message("r", coordination_messages.ViewPush(1, 1, view), 0.0)
    gate = send_gate.SendGate(ledger)
    ledger.record_response("u-1", 1.0, sent_at=0.0, now=-100.0)
    client = owner_client.OwnerClient(
        "e", session, lambda *_: False, request_hold.HoldQueue(), gate, lambda _: None
    )

    async def main():
        chosen = [
            (await client.place(make_place_request(f"t{n}", excluded=("u-2",) if n else ())))
            for n in range(3)
        ]
        assert isinstance(chosen[0], placement_messages.Placed)
        assert [type(item) for item in chosen[1:]].count(placement_messages.PlaceRefused) >= 1
        refused = chosen[-1]
        assert 0 < refused.retry_after_ms <= 1000.0 / local_choice.STANDALONE_SHARE

    curio_world.run(main)
