"""Links deliver complete messages with the authentic sender, and drop instead of blocking."""

import contextlib
import dataclasses
import pathlib
import select
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import curio
import pytest
import zmq

from medlarfork import codec, errors, node
from medlarfork.links import _link_sockets, keys, link, routed_links
from tests import curio_world

TIMEOUT_S = 20
SETTLE_S = 0.3
SOON_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Unlisted:
    text: str


CODEC = codec.Codec([Note, Block])
QUICK = link.LinkOptions(
    heartbeat_s=0.05, idle_timeout_s=0.2, reconnect_s=0.01, max_reconnect_s=0.05, linger_s=0.0
)


OPEN: list[link.Link] = []


def make_link(identity: str, **options: Any) -> link.Link:
    settings: dict[str, Any] = {"bind": "tcp://127.0.0.1:0", "codec": CODEC, "options": QUICK}
    OPEN.append(link.Link(identity=identity, **(settings | options)))
    return OPEN[-1]


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a test's body and close its links, even if it fails."""

    async def bounded() -> None:
        try:
            async with curio.timeout_after(TIMEOUT_S):
                await main()
        finally:
            while OPEN:
                await OPEN.pop().close()

    curio.run(bounded)


@contextlib.contextmanager
def bare_socket() -> Iterator[zmq.Socket]:
    context = zmq.Context()
    opened = context.socket(zmq.DEALER)
    opened.linger = 0
    yield opened
    opened.close()
    context.term()


@pytest.fixture
def raw() -> Iterator[zmq.Socket]:
    """Provide a plain socket for sending malformed messages."""
    with bare_socket() as opened:
        yield opened


@pytest.fixture
def other_raw() -> Iterator[zmq.Socket]:
    """Provide a second plain socket."""
    with bare_socket() as opened:
        yield opened


async def send_until_sent(sender: link.Link, to: str, message: Any) -> None:
    await curio_world.until(lambda: sender.send(to, message))


@pytest.fixture
def key_folder(tmp_path: pathlib.Path) -> pathlib.Path:
    for name in ("a", "b", "c"):
        keys.generate(tmp_path, name)
    return tmp_path


def keyed(folder: pathlib.Path, name: str) -> link.Link:
    return make_link(name, keys=keys.LinkKeys.load(folder, name))


def test_a_message_is_answered_over_the_connection_it_arrived_on() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        assert a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        assert await b.receive() == node.MessageReceived("a", Note("there"))
        assert b.send("a", Note("back"))
        assert await a.receive() == node.MessageReceived("b", Note("back"))
        assert a.counters.sent == a.counters.received == 1
        assert a.counters.sent_bytes == b.counters.received_bytes > 0

    run(main)


def test_a_burst_in_both_directions_arrives_complete_and_in_order() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        b.connect("a", a.address)
        await send_until_sent(a, "b", Note("first"))
        await send_until_sent(b, "a", Note("first"))
        expected = ["first", *(str(number) for number in range(500))]
        for text in expected[1:]:
            assert a.send("b", Note(text)) and b.send("a", Note(text))
        for receiver in (a, b):
            texts = [(await receiver.receive()).message.text for _ in expected]
            assert texts == expected

    run(main)


def test_sending_to_nobody_or_too_much_drops_and_counts() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        assert not a.send("b", Note("no connection"))
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("0"))
        dropped = a.counters.dropped
        assert not a.send("b", Note("x" * QUICK.message_bytes))
        assert a.counters.dropped == dropped + 1 >= 2

    run(main)


def test_a_peer_that_reads_nothing_fills_a_bounded_queue() -> None:
    async def main() -> None:
        # No heartbeats: they would close the connection to a peer that stopped reading.
        narrow = dataclasses.replace(QUICK, queue_limit=5, heartbeat_s=0.0, idle_timeout_s=60.0)
        a, b = make_link("a", options=narrow), make_link("b", options=narrow)
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("0"))
        for _ in range(100):
            if not a.send("b", Block(b"x" * 1_000_000)):
                break
            await curio.sleep(0)
        assert a.counters.sent < 100
        assert b._inbox.qsize() <= 5

    run(main)


def test_a_route_that_is_gone_is_noticed() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        await b.receive()
        assert b.send("a", Note("back"))
        await a.close()
        await curio_world.until(lambda: not b.send("a", Note("gone")))

    run(main)


def test_a_reconnect_takes_over_its_route_from_a_dead_connection(
    raw: zmq.Socket, other_raw: zmq.Socket
) -> None:
    async def main() -> None:
        b = make_link("b", options=dataclasses.replace(QUICK, heartbeat_s=0.0))
        await b.start()
        for number, sender in enumerate((raw, other_raw)):
            sender.routing_id = b"a/1"
            sender.connect(b.address)
            sender.send_multipart(CODEC.encode(Note(str(number))))
            assert await b.receive() == node.MessageReceived("a", Note(str(number)))
        assert b.send("a", Note("for the second"))
        await curio_world.until(lambda: bool(other_raw.poll(0)))
        assert not raw.poll(0)

    run(main)


class Relay:
    """Forward the bytes of connections until set to ``silent``."""

    def __init__(self, target: str) -> None:
        self._target_port = int(target.rpartition(":")[2])
        self._listener = curio.socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(5)
        self.address = f"tcp://127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self.silent = False

    async def run(self) -> None:
        async with self._listener:
            while True:
                accepted, _ = await self._listener.accept()
                self.accepted += 1
                onward = await curio.open_connection("127.0.0.1", self._target_port)
                await curio.spawn(self._pass_on, accepted, onward, daemon=True)
                await curio.spawn(self._pass_on, onward, accepted, daemon=True)

    async def _pass_on(self, source: curio.io.Socket, sink: curio.io.Socket) -> None:
        while data := await source.recv(10_000):
            if not self.silent:
                await sink.sendall(data)


def test_a_silent_cut_is_noticed_and_nothing_more_is_queued() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        relay = Relay(b.address)
        await curio.spawn(relay.run, daemon=True)
        a.connect("b", relay.address)
        await send_until_sent(a, "b", Note("heard"))
        assert (await b.receive()).message == Note("heard")
        relay.silent = True
        await curio_world.until(lambda: not a.send("b", Note("unheard")))
        await curio_world.until(lambda: relay.accepted > 1)
        assert not a.send("b", Note("unheard"))

    run(main)


def test_a_message_whose_edge_a_send_consumed_is_still_received() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        await b.receive()
        descriptor = a._peer_by_id["b"].socket.FD
        b.send("a", Note("back"))
        # Nothing is awaited here, so that the message arrives before the link's task polls.
        assert select.select([descriptor], [], [], TIMEOUT_S)[0]
        while select.select([descriptor], [], [], 0)[0]:
            a.send("b", Note("there"))
        assert (await a.receive()).message == Note("back")

    run(main)


def test_the_routes_kept_are_bounded(raw: zmq.Socket, other_raw: zmq.Socket) -> None:
    async def main() -> None:
        b = make_link("b", options=dataclasses.replace(QUICK, route_limit=1))
        await b.start()
        for name, sender in (("a", raw), ("c", other_raw)):
            sender.routing_id = name.encode() + b"/1"
            sender.connect(b.address)
            sender.send_multipart(CODEC.encode(Note(name)))
            await b.receive()
        assert b.send("c", Note("kept"))
        assert not b.send("a", Note("forgotten"))

    run(main)


def test_a_new_address_replaces_the_old_and_the_same_changes_nothing() -> None:
    async def main() -> None:
        a, old, new = make_link("a"), make_link("b"), make_link("b")
        for item in (a, old, new):
            await item.start()
        assert a.connect("b", old.address) and a.connect("b", old.address)
        await send_until_sent(a, "b", Note("old"))
        assert (await old.receive()).message == Note("old")
        assert a.connect("b", new.address)
        await send_until_sent(a, "b", Note("new"))
        assert (await new.receive()).message == Note("new")
        assert a.peers == ("b",)
        a.disconnect("b")
        assert not a.send("b", Note("gone"))

    run(main)


def test_nothing_is_queued_for_a_dead_peer_and_a_restarted_one_is_reconnected() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        address = b.address
        a.connect("b", address)
        await send_until_sent(a, "b", Note("before"))
        await b.receive()
        await b.close()
        await curio_world.until(lambda: not a.send("b", Note("stale")))
        assert not a.send("b", Note("stale"))
        b = make_link("b", bind=address)
        await b.start()
        await send_until_sent(a, "b", Note("after"))
        assert (await b.receive()).message == Note("after")

    run(main)


def test_bad_frames_are_counted_and_dropped(raw: zmq.Socket) -> None:
    async def main() -> None:
        b = make_link("b", options=dataclasses.replace(QUICK, message_bytes=1000))
        await b.start()
        raw.routing_id = b"a/1"
        raw.connect(b.address)
        kind, body = CODEC.encode(Note("good"))
        raw.send_multipart([b"Unlisted", codec.Codec([Unlisted]).encode(Unlisted("x"))[1]])
        raw.send_multipart([kind, b"\xc1"])
        raw.send_multipart([kind])
        raw.send_multipart([kind, body, b"more"])
        raw.send_multipart([kind, body])
        assert await b.receive() == node.MessageReceived("a", Note("good"))
        assert b.counters.malformed == 4
        raw.send_multipart([kind, b"x" * 1001])
        # An oversized frame closes the sender's connection; after a reconnect it can send again.
        await curio_world.until(
            lambda: raw.send_multipart([kind, body]) is None and not b._inbox.empty()
        )
        assert b.counters.malformed == 4

    run(main)


def test_a_routing_id_of_another_form_is_malformed(raw: zmq.Socket) -> None:
    async def main() -> None:
        b = make_link("b")
        await b.start()
        raw.connect(b.address)
        raw.send_multipart(CODEC.encode(Note("nameless")))
        await curio_world.until(lambda: b.counters.malformed == 1)

    run(main)


def test_known_keys_are_accepted_in_both_directions(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a, b = keyed(key_folder, "a"), keyed(key_folder, "b")
        await a.start()
        await b.start()
        assert a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        assert await b.receive() == node.MessageReceived("a", Note("there"))
        assert b.send("a", Note("back"))
        assert await a.receive() == node.MessageReceived("b", Note("back"))

    run(main)


def test_an_unknown_key_and_a_missing_key_are_refused(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        b_keys = keys.LinkKeys.load(key_folder, "b")
        known = {name: key for name, key in b_keys.public_by_name.items() if name != "c"}
        b = make_link("b", keys=dataclasses.replace(b_keys, public_by_name=known))
        c, plain = keyed(key_folder, "c"), make_link("a")
        for item in (b, c, plain):
            await item.start()
        assert not b.connect("c", c.address)
        c.connect("b", b.address)
        plain.connect("b", b.address)
        await curio_world.until(lambda: b.counters.refused_keys >= 1)
        assert not c.send("b", Note("unknown")) and not plain.send("b", Note("plain"))
        b.update_keys(b_keys)
        await send_until_sent(c, "b", Note("known now"))
        assert await b.receive() == node.MessageReceived("c", Note("known now"))
        assert not plain.send("b", Note("plain"))

    run(main)


def test_a_known_key_can_neither_send_nor_receive_as_another(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a, b = keyed(key_folder, "a"), keyed(key_folder, "b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("true"))
        await b.receive()
        impostor_keys = dataclasses.replace(keys.LinkKeys.load(key_folder, "c"), name="a")
        impostor = make_link("a", keys=impostor_keys)
        await impostor.start()
        impostor.connect("b", b.address)
        await send_until_sent(impostor, "b", Note("false"))
        await curio_world.until(lambda: b.counters.impostors == 1)
        assert b.counters.received == 1
        assert b.send("a", Note("for the true one"))
        assert (await a.receive()).message == Note("for the true one")

    run(main)


def test_messages_under_a_removed_key_are_dropped(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a, b = keyed(key_folder, "a"), keyed(key_folder, "b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("heard"))
        await b.receive()
        b_keys = keys.LinkKeys.load(key_folder, "b")
        b.update_keys(dataclasses.replace(b_keys, public_by_name={"b": b_keys.public}))
        assert a.send("b", Note("unheard"))
        await curio_world.until(lambda: b.counters.impostors == 1)

    run(main)


def test_a_link_that_can_not_be_opened_raises(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a = make_link("a")
        await a.start()
        with pytest.raises(errors.LinkError, match="free port"):
            await make_link("b", bind=a.address).start()
        with pytest.raises(errors.LinkError):
            make_link("b", keys=keys.LinkKeys.load(key_folder, "a"))
        assert not a.connect("b", "nonsense")
        await a.close()
        assert not a.connect("b", "tcp://127.0.0.1:1") and not a.send("b", Note("closed"))

    run(main)


def test_a_peer_is_answered_over_its_connection_while_ours_is_down() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        await b.receive()
        b.connect("a", "tcp://127.0.0.1:1")
        assert b.send("a", Note("back"))
        assert await a.receive() == node.MessageReceived("b", Note("back"))

    run(main)


def test_a_route_is_removed_once_a_send_over_it_fails() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        await b.receive()
        assert b.has_route("a")
        a.disconnect("b")
        await curio_world.until(lambda: not b.send("a", Note("back")))
        assert not b.has_route("a")

    run(main)


def test_a_route_through_a_silent_cut_is_dropped() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        relay = Relay(b.address)
        await curio.spawn(relay.run, daemon=True)
        a.connect("b", relay.address)
        await send_until_sent(a, "b", Note("heard"))
        await b.receive()
        relay.silent = True
        await curio_world.until(lambda: not b.send("a", Note("unheard")))

    run(main)


def test_an_attempt_to_connect_times_out_soon_enough_for_a_retry():
    # An attempt started during a network partition would only end with the kernel's next SYN.
    context = zmq.Context()
    sockets = _link_sockets.LinkSockets(context, routed_links.LINK_OPTIONS)
    dealer = sockets.open_dealer("a", "b", "tcp://127.0.0.1:9", None)
    assert dealer.connect_timeout == 500
    dealer.close()
    context.term()


@pytest.mark.parametrize("lost", ["connection", "route"])
def test_a_send_that_fails_leaves_nothing_unread(raw: zmq.Socket, lost: str) -> None:
    """Sending consumes a socket's edge; messages that had arrived by then must be received."""

    async def main() -> None:
        a = make_link("a")
        await a.start()
        with bare_socket() as gone:
            gone.routing_id = b"gone/1"
            gone.connect(a.address)
            gone.send_multipart(CODEC.encode(Note("first")))
            assert await a.receive() == node.MessageReceived("gone", Note("first"))
        if lost == "connection":
            assert a.connect("gone", "tcp://127.0.0.1:1")
        await curio.sleep(SETTLE_S)
        raw.routing_id = b"other/1"
        raw.connect(a.address)
        raw.send_multipart(CODEC.encode(Note("unread")))
        # Block the event loop until the message has arrived at the socket.
        time.sleep(SETTLE_S)
        assert not a.send("gone", Note("lost"))
        async with curio.timeout_after(SOON_S):
            assert await a.receive() == node.MessageReceived("other", Note("unread"))

    run(main)
