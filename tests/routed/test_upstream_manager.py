import pytest

from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    upstream_manager,
    upstream_registry,
)

PEERS = ("r2", "r3", "r4", "r5")


@pytest.fixture
def desk():
    return upstream_manager.UpstreamManager(
        upstream_registry.UpstreamRegistry(announce_period_s=1.0)
    )


def _done(actions):
    return [a.reply for a in actions if isinstance(a, coordinator_types.OperationDone)]


def test_a_new_upstream_is_forwarded_at_once(desk, make_announcement):
    actions = desk.announce(1, make_announcement(), PEERS, 3, 0.0)
    assert _done(actions) == [coordinator_types.Accepted()]
    assert [action.to for action in actions[:-1]] == list(PEERS)
    assert desk.take_change().present


def test_a_refreshing_announcement_is_forwarded_later(desk, make_announcement):
    desk.announce(1, make_announcement(), PEERS, 3, 0.0)
    assert len(desk.announce(2, make_announcement(sequence=2), PEERS, 3, 1.0)) == 1
    assert desk.on_time(PEERS, 1.1)[0].message.heard[0].sequence == 2


def test_a_leave_is_acknowledged_only_once_a_majority_has_it(desk, make_announcement):
    desk.announce(1, make_announcement(), PEERS, 3, 0.0)
    desk.take_change()
    actions = desk.announce(2, make_announcement(is_leaving=True), PEERS, 3, 1.0)
    assert _done(actions) == []
    assert desk.take_change().left == ("u-1",)
    receipt = coordination_messages.GossipReceipt(actions[0].message.token)
    assert desk.on_receipt("r2", receipt) == ()
    assert desk.on_receipt("r2", receipt) == ()
    assert _done(desk.on_receipt("r3", receipt)) == [coordinator_types.Accepted()]


def test_a_partitioned_replica_acknowledges_no_leave(desk):
    desk.withdraw(1, "u-1", PEERS, 3, 0.0)
    (reply,) = _done(desk.on_time(PEERS, upstream_manager.LEAVE_TIMEOUT_S))
    assert isinstance(reply, coordinator_types.Unavailable)


def test_gossip_is_applied_before_it_is_confirmed(desk, make_announcement):
    desk.on_gossip("r2", coordination_messages.UpstreamGossip((make_announcement(),), ()), 0.0)
    gossip = coordination_messages.UpstreamGossip((), ("u-1",), token=5)
    (send,) = desk.on_gossip("r2", gossip, 0.1)
    assert (send.to, send.message.token) == ("r2", 5)
    change = desk.take_change()
    assert change.left == ("u-1",)
    assert change.present == ()


def test_a_silent_upstream_that_is_heard_again_is_present(desk, make_announcement):
    desk.announce(1, make_announcement(), PEERS, 3, 0.0)
    desk.on_time(PEERS, 10.0)
    desk.announce(2, make_announcement(sequence=2), PEERS, 3, 10.1)
    change = desk.take_change()
    assert change.present
    assert change.silent == ()


def test_refreshing_announcements_are_forwarded_together(make_announcement):
    """Replay 8 upstreams of 64 that announce themselves here: 80 messages a second to 8 others."""
    desk = upstream_manager.UpstreamManager(
        upstream_registry.UpstreamRegistry(announce_period_s=1.2)
    )
    peers = tuple(f"r{number}" for number in range(8))
    passed_on = []
    for tick in range(100):
        now = tick / 10
        number = tick % 8
        announcement = make_announcement(f"u-{number}", address=f"10.0.0.{number}:1", sequence=tick)
        desk.announce(tick, announcement, peers, 5, now)
        passed_on += [
            (now, action.message) for action in desk.on_time(peers, now) if action.to == "r0"
        ]
    assert len(passed_on) <= 20
    heard = [item.upstream_id for now, gossip in passed_on if now > 5 for item in gossip.heard]
    assert len(set(heard)) == 8
