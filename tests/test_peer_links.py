"""Tests of links between entry hosts: a small number, closed when idle."""

from __future__ import annotations

import dataclasses

import curio
import pytest

from medlarfork import codec
from medlarfork.entry import _peer_links
from medlarfork.links import link


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    text: str


class FakeLink:
    """Records connections; the test sets in ``routes`` which peers have connected here."""

    def __init__(self):
        self.address_by_id = {}
        self.routes = set()
        self.sent = []

    def connect(self, peer_id, address):
        self.address_by_id[peer_id] = address
        return True

    def disconnect(self, peer_id):
        del self.address_by_id[peer_id]

    def has_route(self, peer_id):
        return peer_id in self.routes

    def send(self, peer_id, message):
        self.sent.append(peer_id)
        reached = peer_id in self.address_by_id or peer_id in self.routes
        return reached and message != "lost"


@pytest.fixture
def fake():
    return FakeLink()


@pytest.fixture
def links(fake):
    return _peer_links.PeerLinks(fake)


def test_a_peer_that_has_connected_is_answered_over_its_connection(links, fake):
    fake.routes.add("e2")
    assert links.send("e2", "tcp://2", "x", 0.0)
    assert (fake.address_by_id, len(links)) == ({}, 0)


def test_a_dead_return_route_is_replaced_by_a_connection(links, fake):
    fake.routes.add("e2")
    links.send("e2", "tcp://2", "lost", 0.0)
    assert fake.address_by_id == {"e2": "tcp://2"}


def test_a_new_address_replaces_the_old_one(links, fake):
    links.send("e2", "tcp://2", "x", 0.0)
    links.send("e2", "tcp://3", "x", 1.0)
    assert (fake.address_by_id, len(links)) == ({"e2": "tcp://3"}, 1)


def test_a_link_is_closed_when_it_is_idle_and_opened_again(links, fake):
    fake.connect("control-1", "tcp://c")
    links.send("e2", "tcp://2", "x", 0.0)
    links.send("e3", "tcp://3", "x", 1.0)
    links.close_idle(_peer_links.IDLE_TIMEOUT_S - 0.1)
    assert fake.address_by_id.keys() == {"control-1", "e2", "e3"}
    links.close_idle(_peer_links.IDLE_TIMEOUT_S)
    assert fake.address_by_id.keys() == {"control-1", "e3"}
    links.send("e2", "tcp://2", "x", _peer_links.IDLE_TIMEOUT_S + 1)
    assert fake.address_by_id.keys() == {"control-1", "e2"}


def test_the_number_of_links_is_bounded_and_the_least_recently_used_is_closed_first(links, fake):
    for number in range(_peer_links.MAX_LINKS):
        links.send(f"e{number}", "tcp://x", "x", number / 1000)
    links.send("e0", "tcp://x", "x", 1.0)
    links.send("new", "tcp://x", "x", 1.0)
    assert len(fake.address_by_id) == len(links) == _peer_links.MAX_LINKS
    assert "e0" in fake.address_by_id and "e1" not in fake.address_by_id


def test_two_hosts_share_one_connection():
    async def main():
        kinds = codec.Codec([Note])
        opened = [
            link.Link(identity=name, codec=kinds, bind="tcp://127.0.0.1:0") for name in ("a", "b")
        ]
        a, b = opened
        try:
            for item in opened:
                await item.start()
            asking, answering = _peer_links.PeerLinks(a), _peer_links.PeerLinks(b)
            for _ in range(400):
                if asking.send("b", b.address, Note("there"), 0.0):
                    break
                await curio.sleep(0.01)
            async with curio.timeout_after(10):
                assert (await b.receive()).message == Note("there")
                assert answering.send("a", a.address, Note("back"), 0.0)
                assert (await a.receive()).message == Note("back")
            assert (a.peers, b.peers) == (("b",), ())
        finally:
            for item in opened:
                await item.close()

    curio.run(main)
