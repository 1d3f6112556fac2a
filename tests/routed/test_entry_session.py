import dataclasses

import pytest

from medlarfork.coordination import coordination_messages, status_period, upstream_types
from medlarfork.gateway import entry_session
from medlarfork.placement import placement_messages

OWNER_SILENT_S = status_period.OWNER_PERIODS * status_period.MIN_PERIOD_S
SUSPECT_S = status_period.SUSPECT_PERIODS * status_period.MIN_PERIOD_S


@pytest.fixture
def session():
    return entry_session.EntrySession(("r1", "r2"))


def _status(leader="r1", term=1, members=("r1", "r2", "r3")):
    return coordination_messages.ReplicaStatus(leader, term, members, 4)


def test_a_status_of_an_older_term_does_not_restore_its_members(session):
    session.apply_message("r2", _status(term=5, members=("r2", "r4")), 0.0)
    session.apply_message("r1", _status(term=4, members=("r1", "r2")), 0.1)
    session.apply_message("r4", _status(term=5, members=("r2", "r4")), 0.1)
    for replica_id in ("r2", "r4"):
        session.apply_message(replica_id, _status(term=5, members=("r2", "r4")), 5.0)
    session.drop_silent_replicas(5.0)
    assert "r1" not in session.replicas
    assert "r4" in session.replicas


def test_the_routing_version_never_decreases(session):
    assert session.accept_routing("r1", 7, 0.0)
    assert not session.accept_routing("r2", 7, 0.0)
    assert not session.accept_routing("r2", 6, 0.0)
    assert session.routing_version == 7


def test_new_members_are_connected_and_lost_ones_disconnected(session):
    session.apply_message("r1", _status(), 0.0)
    session.apply_message("r3", _status(), 0.0)
    assert session.replicas == ("r1", "r2", "r3")
    session.apply_message("r1", _status(term=2, members=("r1", "r2")), 5.0)
    session.drop_silent_replicas(5.0)
    assert session.replicas == ("r1", "r2")


def test_a_status_without_members_changes_no_members(session):
    session.apply_message("r1", _status(term=1), 0.0)
    session.apply_message("r3", _status(term=1), 0.0)
    session.apply_message("r1", _status(term=2, members=()), 0.1)
    assert session.replicas == ("r1", "r2", "r3")
    session.apply_message("r1", _status(term=2, members=("r1", "r2")), 5.0)
    session.drop_silent_replicas(5.0)
    assert session.replicas == ("r1", "r2")


def test_a_view_with_a_gap_is_not_confirmed(session, make_announcement):
    full_view = upstream_types.ViewChange((make_announcement(),), is_whole=True)
    session.apply_message("r1", coordination_messages.ViewPush(9, 4, full_view), 0.0)
    change = upstream_types.ViewChange(left=("u-1",))
    session.apply_message("r1", coordination_messages.ViewPush(9, 6, change), 0.1)
    status = session.status_for("r1", address="a", zone="z", is_ready=True)
    assert (status.view_boot, status.view_sequence) == (9, 4)
    assert session.upstream_by_id == {}


def _send_statuses(session, now, **up_s_by_id):
    for replica_id, up_s in up_s_by_id.items():
        status = coordination_messages.ReplicaStatus("r1", 1, ("r1", "r2", "r3"), 4, up_s)
        session.apply_message(replica_id, status, now)


SHARD = placement_messages.Shard("engines", 0, 3)


def test_entry_hosts_agree_on_an_owner_whatever_the_message_order(session):
    other = entry_session.EntrySession(("r3",))
    _send_statuses(other, 0.0, r3=50.0)
    _send_statuses(session, 1.0, r1=51.0, r2=51.0, r3=51.0)
    _send_statuses(other, 1.0, r2=51.0, r1=51.0, r3=51.0)
    assert session.owner(SHARD, 1.1) == other.owner(SHARD, 1.1) != ""


def test_an_owner_is_replaced_after_its_timeout(session):
    _send_statuses(session, 0.0, r1=50.0, r2=50.0, r3=50.0)
    first = session.owner(SHARD, 0.1)
    late = OWNER_SILENT_S + 0.2
    _send_statuses(session, late, **{name: 51.0 for name in ("r1", "r2", "r3") if name != first})
    assert session.owner(SHARD, late) not in ("", first)
    assert session.owner(SHARD, 9.0) == ""


def test_a_restarted_replica_does_not_take_ownership_back(session):
    _send_statuses(session, 0.0, r1=50.0, r2=50.0, r3=50.0)
    first = session.owner(SHARD, 0.1)
    _send_statuses(session, 0.2, **{first: 1.0})
    second = session.owner(SHARD, 0.3)
    assert second != first
    _send_statuses(session, 0.4, r1=1.0, r2=1.0, r3=1.0)
    assert session.owner(SHARD, 0.5) == first


def test_the_shards_of_a_service_have_owners_of_their_own(session):
    _send_statuses(session, 0.0, r1=50.0, r2=50.0, r3=50.0)
    owners = {session.owner(placement_messages.Shard("s", n, 12), 0.1) for n in range(12)}
    assert owners == {"r1", "r2", "r3"}


def test_an_unreachable_owner_is_skipped_until_its_next_message(session):
    for name in ("a", "b"):
        session.apply_message(name, _status(), 0.0)
    shard = placement_messages.Shard("engines")
    first = session.owner(shard, 0.1)
    assert not session.is_unresponsive(first, SUSPECT_S - 0.01)
    assert session.is_unresponsive(first, SUSPECT_S + 0.01)
    assert session.mark_unreachable(first)
    assert not session.mark_unreachable(first)
    other = session.owner(shard, 0.5)
    assert other not in ("", first)
    session.mark_unreachable(other)
    assert session.owner(shard, 0.5) == ""
    session.apply_message(first, _status(), 0.6)
    assert session.owner(shard, 0.6) == first


def test_a_removed_shard_resolves_to_another_and_each_upstream_has_a_shard(
    session, make_announcement
):
    engines = [make_announcement(f"u-{n}", address=f"10.0.0.{n}:1") for n in range(30)]
    full_view = upstream_types.ViewChange(tuple(engines), is_whole=True)
    session.apply_message("r1", coordination_messages.ViewPush(9, 1, full_view), 0.0)
    gone = placement_messages.Shard("engines", 7, 9)
    resolve_shard = session.resolve_shard(gone)
    assert (resolve_shard.index, resolve_shard.count) == (7 % 3, 3)
    for engine in engines:
        shard = session.shard_of(engine)
        assert shard.count == 3
        assert shard.has(engine.upstream_id)
    _send_statuses(session, 0.0, r1=50.0, r2=50.0, r3=50.0)
    assert session.owner(gone, 0.1) != ""


def test_a_joining_host_sends_frequent_statuses_until_all_replicas_answered(session):
    """A status sent before the links are up is lost; without this it cost two periods."""
    joining, usual = entry_session.JOIN_PERIOD_S, status_period.MIN_PERIOD_S
    assert session.status_period_s(0.1) == joining
    session.apply_message("r1", _status(), 0.0)
    session.apply_message("r2", _status(), 0.0)
    session.accept_routing("r1", 5, 0.0)
    assert session.status_period_s(0.3) == joining
    session.apply_message("r3", _status(), 0.4)
    assert session.status_period_s(0.5) == usual


def test_a_host_does_not_wait_for_replicas_that_are_down(session):
    session.apply_message("r1", _status(), 0.0)
    assert session.status_period_s(entry_session.MAX_JOIN_S + 0.1) == status_period.MIN_PERIOD_S


def test_timeouts_follow_the_status_period_of_a_large_fleet(session):
    status = dataclasses.replace(_status(), period_s=0.8)
    session.apply_message("r1", status, 0.0)
    session.apply_message("r2", status, 0.0)
    assert not session.is_unresponsive("r1", 0.85)
    assert session.is_unresponsive("r1", 0.95)
    assert session.owner(placement_messages.Shard("s"), 1.9)
    assert not session.owner(placement_messages.Shard("s"), 2.1)
    assert session.status_period_s(entry_session.MAX_JOIN_S + 0.1) == 0.8


def test_a_joining_host_sends_frequent_statuses_only_to_replicas_without_an_answer():
    """With one hanging replica of 9, all nine got 38 statuses each within 3 s."""
    seeds = tuple(f"r{number}" for number in range(9))
    session = entry_session.EntrySession(seeds)
    status_counts = dict.fromkeys(seeds, 0)
    now = 0.0
    while now < entry_session.MAX_JOIN_S:
        for replica_id in session.status_recipients(now):
            status_counts[replica_id] += 1
        for replica_id in seeds[1:]:
            if status_counts[replica_id]:
                session.apply_message(replica_id, _status(members=seeds), now)
        now += session.status_period_s(now)
    assert status_counts["r0"] >= 30
    assert max(status_counts[replica_id] for replica_id in seeds[1:]) <= 9
