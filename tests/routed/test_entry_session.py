import pytest

from medlarfork.coordination import coordination_messages, upstream_types
from medlarfork.gateway import entry_session


@pytest.fixture
def session():
    return entry_session.EntrySession(("r1", "r2"))


def _status(leader="r1", term=1, members=("r1", "r2", "r3")):
    return coordination_messages.ReplicaStatus(leader, term, members, 4)


def test_the_leader_counts_only_while_it_speaks_itself(session):
    session.take("r2", _status("r1"), 0.0)
    assert session.leader(0.1) == ""
    session.take("r1", _status("r1"), 0.2)
    assert session.leader(0.3) == "r1"
    assert session.leader(0.2 + entry_session.LEADER_SILENT_S + 0.1) == ""


def test_an_older_term_does_not_bring_back_its_leader(session):
    session.take("r2", _status("r2", term=5), 0.0)
    session.take("r1", _status("r1", term=4), 0.1)
    assert session.leader(0.2) == "r2"


def test_the_routing_never_goes_back(session):
    assert session.take_routing("r1", 7, 0.0)
    assert not session.take_routing("r2", 7, 0.0)
    assert not session.take_routing("r2", 6, 0.0)
    assert session.routing_version == 7


def test_members_are_connected_to_and_lost_ones_let_go(session):
    session.take("r1", _status(), 0.0)
    session.take("r3", _status(), 0.0)
    assert session.replicas == ("r1", "r2", "r3")
    session.take("r1", _status(term=2, members=("r1", "r2")), 5.0)
    session.drop_silent(5.0)
    assert session.replicas == ("r1", "r2")


def test_a_view_with_a_gap_is_not_confirmed(session, make_announcement):
    whole = upstream_types.ViewChange((make_announcement(),), is_whole=True)
    session.take("r1", coordination_messages.ViewPush(9, 4, whole), 0.0)
    change = upstream_types.ViewChange(left=("u-1",))
    session.take("r1", coordination_messages.ViewPush(9, 6, change), 0.1)
    status = session.status_for("r1", address="a", zone="z", is_ready=True)
    assert (status.view_boot, status.view_sequence) == (9, 4)
    assert session.upstream_by_id == {}


def test_without_a_leader_entry_hosts_agree_on_the_first_replica_that_speaks(session):
    session.take("r2", _status("", term=2), 0.0)
    session.take("r3", _status("", term=2), 0.0)
    assert session.owner(0.1) == "r2"
    session.take("r3", _status("r3", term=3), 0.2)
    assert session.owner(0.3) == "r3"
    assert session.owner(9.0) == ""
