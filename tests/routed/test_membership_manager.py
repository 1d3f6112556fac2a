import pytest

from medlarfork import node
from medlarfork.coordination import membership_manager
from medlarfork.replica import replica, replica_types

ME = "r1"


def _status(*voters, learners=()):
    return replica.ReplicaStatus(
        role=replica_types.Role.LEADER,
        term=1,
        leader_id=ME,
        commit_index=1,
        applied_index=1,
        last_index=1,
        voters=replica_types.Voters(voters, learners),
        is_voter=True,
    )


def _changes(actions):
    return [
        (action.add, action.remove)
        for action in actions
        if isinstance(action, replica_types.ChangeVoters)
    ]


@pytest.fixture
def manager():
    return membership_manager.MembershipManager(ME, ("r1", "r2", "r3"))


def test_hellos_go_to_all_known_replicas(manager):
    actions = manager.on_tick(_status(ME, "r2", "r3"), leads=False, now=0.0)
    assert {action.to for action in actions if hasattr(action, "to")} == {"r2", "r3"}


def test_the_leader_adds_a_replica_that_is_heard(manager):
    manager.record_contact("r9", 1.0)
    assert _changes(manager.on_tick(_status(ME, "r2", "r3"), leads=False, now=1.0)) == []
    assert _changes(manager.on_tick(_status(ME, "r2", "r3"), leads=True, now=1.1)) == [("r9", "")]


def test_a_silent_voter_stays_in_an_odd_group_and_leaves_an_even_one(manager):
    for now in (0.0, 4.0):
        manager.record_contact("r2", now)
        manager.record_contact("r4", now)
        manager.on_tick(_status(ME, "r2", "r3", "r4", "r5"), leads=True, now=now)
    odd = manager.on_tick(_status(ME, "r2", "r3", "r4", "r5"), leads=True, now=4.5)
    assert _changes(odd) == []
    even = manager.on_tick(_status(ME, "r2", "r3", "r4"), leads=True, now=5.0)
    assert _changes(even) == [("", "r3")]


def _first_change(voters, heard, *, tolerated_losses, joining=()):
    """Return the first change that a leader requests once all but ``heard`` have fallen silent."""
    manager = membership_manager.MembershipManager(ME, (), tolerated_losses)
    manager.on_tick(_status(*voters), leads=True, now=0.0)
    for peer in (*heard, *joining):
        manager.record_contact(peer, 4.0)
    return _changes(manager.on_tick(_status(*voters), leads=True, now=4.5))


def test_two_silent_voters_leave_an_odd_group_before_their_replacements_join():
    """Regression: replicas that joined in pairs kept the group odd and delayed each removal."""
    voters = (ME, "r2", "r3", "r4", "r5", "r6", "r7")
    changes = _first_change(voters, voters[3:], tolerated_losses=2, joining=("r8", "r9"))
    assert changes == [("", "r2")]


@pytest.mark.parametrize("tolerated_losses, count", [(1, 5), (2, 5), (3, 7)])
def test_an_odd_group_keeps_the_voters_that_the_tolerated_losses_need(tolerated_losses, count):
    voters = tuple(f"r{number}" for number in range(1, count + 1))
    assert not _first_change(voters, voters[3:], tolerated_losses=tolerated_losses)


def test_a_new_leader_waits_before_it_removes_members(manager):
    actions = manager.on_tick(_status(ME, "r2", "r3", "r4"), leads=True, now=1000.0)
    assert _changes(actions) == []


def test_a_learner_that_fell_silent_is_removed(manager):
    for now in (0.0, 4.0):
        manager.record_contact("r2", now)
        manager.record_contact("r3", now)
        changes = _changes(
            manager.on_tick(_status(ME, "r2", "r3", learners=("r9",)), leads=True, now=now)
        )
    assert changes == [("", "r9")]


def test_a_replica_that_is_silent_for_long_is_forgotten(manager):
    manager.record_contact("r9", 0.0)
    manager.on_tick(_status(ME, "r2", "r3"), leads=False, now=membership_manager.FORGET_AFTER_S + 1)
    assert "r9" not in manager.peers
    assert "r2" in manager.peers


def _wants(actions):
    return {
        action.to: action.message.wants_upstreams
        for action in actions
        if isinstance(action, node.Send)
    }


def test_after_a_start_each_replica_is_asked_until_it_has_sent_its_upstreams(manager):
    """Regression: after a restart of all, one received announcement ended the requests."""
    status = _status(ME, "r2", "r3")
    assert _wants(manager.on_tick(status, leads=False, now=0.0)) == {"r2": True, "r3": True}
    manager.record_upstreams_received("r2")
    period_s = membership_manager.STARTUP_HELLO_PERIOD_S
    assert _wants(manager.on_tick(status, leads=False, now=period_s)) == {"r2": False, "r3": True}
    manager.record_upstreams_received("r3")
    assert _wants(manager.on_tick(status, leads=False, now=2.1 * period_s)) == {
        "r2": False,
        "r3": False,
    }
    assert not manager.on_tick(status, leads=False, now=3.2 * period_s)
