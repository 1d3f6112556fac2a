import pytest

from medlarfork.coordination import (
    coordination_messages,
    coordinator_types,
    upstream_manager,
    upstream_registry,
)

PEERS = ("r2", "r3", "r4", "r5")


@pytest.fixture
def manager():
    return upstream_manager.UpstreamManager(
        upstream_registry.UpstreamRegistry(announce_period_s=1.0)
    )


def _done(actions):
    return [a.reply for a in actions if isinstance(a, coordinator_types.OperationDone)]


def test_a_new_upstream_is_forwarded_at_once(manager, make_announcement):
    actions = manager.announce(1, make_announcement(), PEERS, 3, 0.0)
    assert _done(actions) == [coordinator_types.Accepted()]
    assert [action.to for action in actions[:-1]] == list(PEERS)
    assert manager.take_change().present


def test_a_refreshing_announcement_is_forwarded_later(manager, make_announcement):
    manager.announce(1, make_announcement(), PEERS, 3, 0.0)
    assert len(manager.announce(2, make_announcement(sequence=2), PEERS, 3, 1.0)) == 1
    assert manager.on_tick(PEERS, 1.1)[0].message.heard[0].sequence == 2


def test_a_leave_is_acknowledged_only_once_a_majority_has_it(manager, make_announcement):
    manager.announce(1, make_announcement(), PEERS, 3, 0.0)
    manager.take_change()
    actions = manager.announce(2, make_announcement(is_leaving=True), PEERS, 3, 1.0)
    assert _done(actions) == []
    assert manager.take_change().left == ("u-1",)
    receipt = coordination_messages.GossipReceipt(actions[0].message.token)
    assert manager.on_receipt("r2", receipt) == ()
    assert manager.on_receipt("r2", receipt) == ()
    assert _done(manager.on_receipt("r3", receipt)) == [coordinator_types.Accepted()]


def test_a_partitioned_replica_acknowledges_no_leave(manager):
    manager.withdraw(1, "u-1", PEERS, 3, 0.0)
    (reply,) = _done(manager.on_tick(PEERS, upstream_manager.LEAVE_TIMEOUT_S))
    assert isinstance(reply, coordinator_types.Unavailable)


def test_gossip_is_applied_before_it_is_confirmed(manager, make_announcement):
    manager.on_gossip("r2", coordination_messages.UpstreamGossip((make_announcement(),), ()), 0.0)
    gossip = coordination_messages.UpstreamGossip((), ("u-1",), token=5)
    (send,) = manager.on_gossip("r2", gossip, 0.1)
    assert (send.to, send.message.token) == ("r2", 5)
    change = manager.take_change()
    assert change.left == ("u-1",)
    assert change.present == ()


def test_a_silent_upstream_that_is_heard_again_is_present(manager, make_announcement):
    manager.announce(1, make_announcement(), PEERS, 3, 0.0)
    manager.on_tick(PEERS, 10.0)
    manager.announce(2, make_announcement(sequence=2), PEERS, 3, 10.1)
    change = manager.take_change()
    assert change.present
    assert change.silent == ()


def test_refreshing_announcements_are_forwarded_together(make_announcement):
    """Regression: 8 of 64 upstreams at one replica caused 80 messages a second to 8 others."""
    manager = upstream_manager.UpstreamManager(
        upstream_registry.UpstreamRegistry(announce_period_s=1.2)
    )
    peers = tuple(f"r{number}" for number in range(8))
    forwarded = []
    for tick in range(100):
        now = tick / 10
        number = tick % 8
        announcement = make_announcement(f"u-{number}", address=f"10.0.0.{number}:1", sequence=tick)
        manager.announce(tick, announcement, peers, 5, now)
        forwarded += [
            (now, action.message) for action in manager.on_tick(peers, now) if action.to == "r0"
        ]
    assert len(forwarded) <= 20
    heard = [item.upstream_id for now, gossip in forwarded if now > 5 for item in gossip.heard]
    assert len(set(heard)) == 8
