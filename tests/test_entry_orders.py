"""Entry hosts tell control of upstreams and give those out of service no new work."""

import dataclasses

import pytest

from medlarfork import heartbeat
from medlarfork.entry import entry_types
from medlarfork.orders import inventory
from tests import entry_world


class OrderingControl(entry_world.FakeControl):
    """Keep the inventory and a list of upstreams out of service besides."""

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
def world():
    made = entry_world.World(("e1", "e2"))
    made.control = OrderingControl(made.control.revised)
    made.run(2.0)
    made.out.clear()
    return made


def test_the_owner_of_the_pool_reports_an_upstream_once(world):
    for _ in range(3):
        world.announce("e1", "u1")
        world.run(0.2)
    (report,) = world.control.reports
    owner = world.node_by_id[report.entry_id]
    assert "lm/0" in {item.pool for item in owner.status(world.now).pools}
    assert set(world.control.inventory.upstream_by_id) == {"u1"}


def test_an_upstream_whose_lease_ends_is_reported_as_gone(world):
    world.announce("e1", "u1")
    world.run(0.2)
    assert world.control.inventory.upstream_by_id
    world.run(6.0)
    assert world.control.inventory.upstream_by_id == {}


def test_a_new_leader_hears_of_all_upstreams_at_the_next_heartbeat(world):
    world.announce("e1", "u1")
    world.run(0.2)
    world.control.inventory = inventory.Inventory()
    world.run(1.5)
    assert set(world.control.inventory.upstream_by_id) == {"u1"}
    assert world.control.reports[-1].whole


def test_an_upstream_out_of_service_gets_no_new_work_until_it_is_back(world):
    world.announce("e1", "u1")
    world.control.out_of_service = heartbeat.OutOfService(1, ("u1",))
    world.run(1.5)
    world.announce("e1", "u1")
    world.post("e1", entry_world.chat("r1"))
    world.run(0.5)
    assert world.take(entry_types.Dispatch) == []
    world.control.out_of_service = heartbeat.OutOfService(2, ())
    world.run(1.5)
    assert [action.request_id for action in world.take(entry_types.Dispatch)] == ["r1"]


def test_an_upstream_stays_out_of_service_through_a_change_of_configuration(world):
    world.announce("e1", "u1")
    world.control.out_of_service = heartbeat.OutOfService(1, ("u1",))
    world.run(1.5)
    revised = world.control.revised
    world.control.revised = dataclasses.replace(revised, revision=revised.revision + 1)
    world.run(1.5)
    world.announce("e1", "u1")
    world.post("e1", entry_world.chat("r1"))
    world.run(0.5)
    assert world.take(entry_types.Dispatch) == []
