"""Test how a pool's owner answers entry hosts about tickets that its scheduler has dropped."""

from __future__ import annotations

import pytest

from medlarfork import node, ticket
from medlarfork.pool import owned_pool, pool_events


class FakeScheduler:
    """Fake scheduler that records events and returns the actions set by the test."""

    def __init__(self):
        self.events = []
        self.actions = ()

    def handle(self, event, now):
        self.events.append(event)
        actions, self.actions = self.actions, ()
        return actions


@pytest.fixture
def scheduler():
    return FakeScheduler()


@pytest.fixture
def pool(scheduler):
    owned = owned_pool.OwnedPool("lm/0", scheduler)
    owned.handle(ticket_of("r.1"), 0.0)
    return owned


def ticket_of(ticket_id, entry_id="e2"):
    return ticket.Ticket(ticket_id, entry_id, "lm/0", "shop", "chat", 1, 0.0, 9.0)


def test_a_ticket_dropped_with_its_lost_entry_host_is_rejected_when_resent(pool, scheduler):
    pool.handle(pool_events.EntryGone("e2"), 1.0)
    (shed,) = pool.handle(ticket_of("r.1"), 2.0)
    assert (shed.ticket_id, shed.reason) == ("r.1", ticket.ShedReason.NOT_OWNER)
    assert not pool.is_queued("r.1")


@pytest.mark.parametrize(
    "ended",
    [
        ticket.Withdraw("r.1", "lm/0"),
        ticket.Release("r.1", "lm/0", ticket.ReleaseCause.UNUSED),
    ],
)
def test_a_late_copy_of_an_ended_ticket_is_not_queued(pool, scheduler, ended):
    pool.handle(ended, 1.0)
    before = len(scheduler.events)
    assert pool.handle(ticket_of("r.1"), 2.0) == ()
    assert (len(scheduler.events), pool.is_queued("r.1")) == (before, False)


def test_close_rejects_queued_but_not_granted_tickets(pool, scheduler):
    pool.handle(ticket_of("r.2"), 0.0)
    scheduler.actions = (ticket.Grant("r.1", "e2", "lm/0", "u1", "http://u1"), node.Wake(7.0))
    assert len(pool.handle(node.TimeDue(), 1.0)) == 1
    assert [shed.ticket_id for shed in pool.close()] == ["r.2"]
    assert pool.wake_at == 7.0


def test_the_number_of_ended_tickets_kept_is_bounded(pool, monkeypatch):
    monkeypatch.setattr(owned_pool, "_MAX_ENDED", 2)
    for number in range(5):
        pool.handle(ticket.Withdraw(f"x.{number}", "lm/0"), 0.0)
    assert len(pool._is_lost_by_ended) == 2
