"""Tests of inventory reports to control, and of upstreams taken out of service."""

import dataclasses

import pytest

from medlarfork import heartbeat
from medlarfork.entry import entry_types
from medlarfork.orders import inventory
from tests import entry_harness


class OrderingControl(entry_harness.FakeControl):
    """Fake control that also keeps the inventory and the list of upstreams out of service."""

    def __init__(self, revised):
        super().__init__(revised)
        self.inventory = inventory.Inventory()
        self.out_of_service = heartbeat.OutOfService()
        self.reports = []

    def handle(self, sender, message, now):
        if not self.up:
            return ()
        if isinstance(message, inventory.InventoryReport):
            assert message.entry_id == sender
            self.reports.append(message)
            self.inventory.apply(message)
            return ()
        replies = super().handle(sender, message, now)
        if not isinstance(message, heartbeat.Heartbeat):
            return replies
        (reply,) = replies
        if message.out_of_service_version < self.out_of_service.version:
            reply = dataclasses.replace(reply, out_of_service=self.out_of_service)
        resend = self.inventory.check_digest(sender, message.inventory_digest)
        return (reply,) if resend is None else (reply, resend)


@pytest.fixture
def simulation():
    made = entry_harness.EntrySimulation(("e1", "e2"))
    made.control = OrderingControl(made.control.revised)
    made.run(2.0)
    made.out.clear()
    return made


def test_the_owner_of_the_pool_reports_an_upstream_once(simulation):
    for _ in range(3):
        simulation.announce("e1", "u1")
        simulation.run(0.2)
    (report,) = simulation.control.reports
    owner = simulation.node_by_id[report.entry_id]
    assert "lm/0" in {item.pool for item in owner.status(simulation.now).pools}
    assert set(simulation.control.inventory.upstream_by_id) == {"u1"}


def test_an_upstream_whose_lease_ends_is_reported_as_gone(simulation):
    simulation.announce("e1", "u1")
    simulation.run(0.2)
    assert simulation.control.inventory.upstream_by_id
    simulation.run(6.0)
    assert simulation.control.inventory.upstream_by_id == {}


def test_a_new_leader_gets_all_upstreams_after_the_next_heartbeat(simulation):
    simulation.announce("e1", "u1")
    simulation.run(0.2)
    simulation.control.inventory = inventory.Inventory()
    simulation.run(1.5)
    assert set(simulation.control.inventory.upstream_by_id) == {"u1"}
    assert simulation.control.reports[-1].whole


def test_an_upstream_out_of_service_gets_no_new_work_until_it_is_back(simulation):
    simulation.announce("e1", "u1")
    simulation.control.out_of_service = heartbeat.OutOfService(1, ("u1",))
    simulation.run(1.5)
    simulation.announce("e1", "u1")
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.run(0.5)
    assert simulation.pop_actions(entry_types.Dispatch) == []
    simulation.control.out_of_service = heartbeat.OutOfService(2, ())
    simulation.run(1.5)
    assert [action.request_id for action in simulation.pop_actions(entry_types.Dispatch)] == ["r1"]


def test_an_upstream_stays_out_of_service_through_a_change_of_configuration(simulation):
    simulation.announce("e1", "u1")
    simulation.control.out_of_service = heartbeat.OutOfService(1, ("u1",))
    simulation.run(1.5)
    revised = simulation.control.revised
    simulation.control.revised = dataclasses.replace(revised, revision=revised.revision + 1)
    simulation.run(1.5)
    simulation.announce("e1", "u1")
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.run(0.5)
    assert simulation.pop_actions(entry_types.Dispatch) == []
