"""A lease is held by one process at a time, even if processes are suspended."""

import pytest

from medlarfork import node
from medlarfork.orders import fenced_lease, lease_table, lease_types


class Log:
    """Log that applies proposals at once and returns the reply as an event."""

    def __init__(self):
        self.table = lease_table.LeaseTable()

    def event(self, actions):
        """Return the event for the only proposal among the actions."""
        (command,) = [a.command for a in actions if isinstance(a, lease_types.Propose)]
        reply = self.table.apply_command(command)
        if isinstance(command, lease_types.TakeLease):
            return lease_types.TakeCommitted(command.attempt, reply)
        return lease_types.RenewCommitted(command.attempt, reply)


@pytest.fixture
def log():
    return Log()


def make_lease(holder):
    return fenced_lease.FencedLease(
        fenced_lease.LeaseSettings("orders", holder, 10.0, renew_s=3.0, retry_s=1.0, drift=0.01)
    )


def acquire(lease, log, now):
    actions = lease.handle(node.Started(), now)
    return lease.handle(log.event(actions), now)


def test_a_free_lease_is_acquired_at_once_with_a_fence(log):
    lease = make_lease("a")
    assert lease_types.Acquired(1) in acquire(lease, log, 100.0)
    assert lease.may_act(100.0)
    assert lease.valid_until == pytest.approx(109.9)


def test_time_counts_from_the_proposal_not_from_its_commit(log):
    lease = make_lease("a")
    event = log.event(lease.handle(node.Started(), 100.0))
    lease.handle(event, 100.8)
    assert not lease.may_act(109.95)


def test_a_take_that_commits_after_its_own_duration_is_not_acted_on(log):
    lease = make_lease("a")
    event = log.event(lease.handle(node.Started(), 100.0))
    actions = lease.handle(event, 111.0)
    assert not lease.may_act(111.0)
    assert any(isinstance(action, lease_types.Propose) for action in actions)


def test_a_resumed_process_may_not_act_before_any_event(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    assert not lease.may_act(500.0)
    assert lease.handle(node.TimeDue(), 500.0)[0] == lease_types.Lost(1)


def test_a_renewal_extends_from_its_own_proposal(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    event = log.event(lease.handle(node.TimeDue(), 103.0))
    lease.handle(event, 104.0)
    assert lease.valid_until == pytest.approx(112.9)


def test_a_duplicate_of_an_older_renewal_extends_nothing(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    event = log.event(lease.handle(node.TimeDue(), 103.0))
    lease.handle(node.TimeDue(), 104.0)
    lease.handle(event, 104.5)
    assert lease.valid_until == pytest.approx(109.9)


def test_another_taker_waits_for_the_full_duration_and_gets_a_higher_fence(log):
    first, second = make_lease("a"), make_lease("b")
    acquire(first, log, 100.0)
    assert acquire(second, log, 5.0) == (node.Wake(5.0 + 10.1),)
    assert second.handle(node.TimeDue(), 15.0) == (node.Wake(5.0 + 10.1),)
    event = log.event(second.handle(node.TimeDue(), 15.1))
    assert lease_types.Acquired(2) in second.handle(event, 15.1)


def test_a_renewal_restarts_the_wait_of_another_taker(log):
    first, second = make_lease("a"), make_lease("b")
    acquire(first, log, 100.0)
    acquire(second, log, 5.0)
    first.handle(log.event(first.handle(node.TimeDue(), 103.0)), 103.0)
    event = log.event(second.handle(node.TimeDue(), 15.1))
    assert second.handle(event, 15.1) == (node.Wake(pytest.approx(25.2)),)


def test_a_released_lease_needs_no_waiting(log):
    first, second = make_lease("a"), make_lease("b")
    acquire(first, log, 100.0)
    lost, release = first.handle(lease_types.Stopping(), 101.0)
    assert lost == lease_types.Lost(1)
    assert not first.may_act(101.0)
    log.table.apply_command(release.command)
    event = log.event(second.handle(node.Started(), 5.0))
    event = log.event(second.handle(event, 5.0))
    assert lease_types.Acquired(2) in second.handle(event, 5.0)


def test_a_refused_renewal_ends_the_lease(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    renewal = lease.handle(node.TimeDue(), 103.0)
    seen = lease_types.LeaseVersion(1, 0)
    log.table.apply_command(lease_types.TakeLease("orders", "b", 1, 10.0, seen))
    assert lease_types.Lost(1) in lease.handle(log.event(renewal), 103.1)
    assert not lease.may_act(103.1)


def test_a_refused_renewal_does_not_take_the_lease_from_its_new_holder(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    renewal = lease.handle(node.TimeDue(), 103.0)
    seen = lease_types.LeaseVersion(1, 0)
    log.table.apply_command(lease_types.TakeLease("orders", "b", 1, 10.0, seen))
    actions = lease.handle(log.event(renewal), 103.1)
    lease.handle(log.event(actions), 103.2)
    assert not lease.may_act(103.2)
    assert log.table.fence("orders") == 2


def test_losing_leadership_ends_the_lease_and_winning_it_contends_again(log):
    lease = make_lease("a")
    acquire(lease, log, 100.0)
    assert lease.handle(lease_types.LeadershipLost(), 101.0) == (lease_types.Lost(1),)
    assert not lease.may_act(101.0)
    assert lease.handle(node.TimeDue(), 102.0) == ()
    event = log.event(lease.handle(lease_types.LeadershipWon(), 103.0))
    assert lease_types.Acquired(2) in lease.handle(event, 103.0)


def test_leadership_lost_while_waiting_does_not_shorten_the_wait(log):
    first, second = make_lease("a"), make_lease("b")
    acquire(first, log, 100.0)
    acquire(second, log, 5.0)
    second.handle(lease_types.LeadershipLost(), 6.0)
    event = log.event(second.handle(lease_types.LeadershipWon(), 7.0))
    assert second.handle(event, 7.0) == (node.Wake(7.0 + 10.1),)
    assert not second.may_act(7.0)


def test_the_table_is_the_same_after_a_snapshot():
    table, restored = lease_table.LeaseTable(), lease_table.LeaseTable()
    take = lease_types.TakeLease("orders", "a", 1, 10.0, lease_types.LeaseVersion())
    table.apply(lease_table.COMMANDS.pack(take), 0)
    restored.restore(table.encode())
    assert restored.encode() == table.encode()
    assert restored.fence("orders") == 1
    restored.restore(b"")
    assert restored.fence("orders") == 0
