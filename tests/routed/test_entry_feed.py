import pytest

from medlarfork.coordination import (
    coordination_messages,
    entry_feed,
    routing_state,
    upstream_types,
)


@pytest.fixture
def feed():
    return entry_feed.EntryFeed(boot=7)


def _status(version=0, boot=0, sequence=0):
    return coordination_messages.EntryStatus("a", "z", True, version, boot, sequence)


def _versions(sends):
    return [send.message.version for send in sends]


def _push(feed, held, version, now, *, leads=True):
    current = routing_state.RoutingVersion(version, b"x")
    return feed.push_routing({"e": _status(held)}, current, leads=leads, now=now)


def test_the_leader_pushes_at_once_and_a_follower_later(feed):
    assert _versions(_push(feed, 2, 3, 0.0)) == [3]
    other = entry_feed.EntryFeed(boot=8)
    assert _push(other, 2, 3, 0.0, leads=False) == ()
    assert _push(other, 2, 3, 0.4, leads=False) == ()
    assert _versions(_push(other, 2, 3, 0.6, leads=False)) == [3]


def test_a_follower_soon_pushes_to_a_host_without_routing():
    """Regression: after a restart of all, hosts knew three replicas, but not the leader."""
    follower = entry_feed.EntryFeed(boot=8)
    assert _push(follower, 0, 3, 0.0, leads=False) == ()
    assert _versions(_push(follower, 0, 3, 0.12, leads=False)) == [3]


def test_a_burst_has_one_version_in_flight_and_then_the_newest(feed):
    _push(feed, 0, 1, 0.0)
    assert _push(feed, 0, 2, 0.06) == ()
    assert _push(feed, 0, 3, 0.12) == ()
    assert _versions(_push(feed, 1, 3, 0.2)) == [3]


def test_a_lost_push_is_sent_again(feed):
    _push(feed, 0, 1, 0.0)
    assert _push(feed, 0, 1, 0.5) == ()
    assert _versions(_push(feed, 0, 1, 0.9)) == [1]


def test_an_entry_host_that_missed_a_change_gets_the_full_view(feed, make_announcement):
    full_view = upstream_types.ViewChange((make_announcement(),), is_whole=True)
    feed.push_view(upstream_types.ViewChange((make_announcement(),)), ["e"], -1.0)
    assert feed.repair_view("e", _status(boot=7, sequence=1), lambda: full_view, 0.0) == ()
    (send,) = feed.repair_view("e", _status(boot=7, sequence=0), lambda: full_view, 0.0)
    assert send.message.change.is_whole
    assert feed.repair_view("e", _status(boot=7, sequence=0), lambda: full_view, 0.1) == ()
    assert feed.repair_view("e", _status(boot=6, sequence=1), lambda: full_view, 2.0)


def test_a_status_sent_before_a_change_arrived_triggers_no_full_view(feed, make_announcement):
    full_view = upstream_types.ViewChange((make_announcement(),), is_whole=True)
    for number in range(20):
        now = number * 0.1
        feed.push_view(upstream_types.ViewChange((make_announcement(),)), ["e"], now)
        status = _status(boot=7, sequence=max(number - 3, 0))
        assert feed.repair_view("e", status, lambda: full_view, now) == ()
    assert feed.repair_view("e", _status(boot=7, sequence=16), lambda: full_view, 2.6)


def test_a_host_without_a_view_of_this_boot_gets_it_at_once(feed, make_announcement):
    full_view = upstream_types.ViewChange((make_announcement(),), is_whole=True)
    feed.push_view(upstream_types.ViewChange((make_announcement(),)), ["e"], 0.0)
    assert feed.repair_view("e", _status(boot=0, sequence=0), lambda: full_view, 0.0)


def test_an_empty_change_is_not_sent(feed):
    assert feed.push_view(upstream_types.ViewChange(), ["e"], 0.0) == ()
