"""Links deliver whole messages under their true sender, and drop rather than wait."""

import dataclasses
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
import zmq

from medlarfork import codec, errors, keys, link, node

TRIES = 400
PAUSE_S = 0.01
TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unlisted:
    text: str


CODEC = codec.Codec([Note])
QUICK = link.LinkOptions(
    heartbeat_s=0.05, silence_s=0.2, reconnect_s=0.01, reconnect_limit_s=0.05, linger_s=0.0
)


def make_link(identity: str, **options: Any) -> link.Link:
    settings: dict[str, Any] = {"bind": "tcp://127.0.0.1:0", "codec": CODEC, "options": QUICK}
    return link.Link(identity=identity, **(settings | options))


def run(main: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with curio.timeout_after(TIMEOUT_S):
            await main()

    curio.run(bounded)


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(TRIES):
        if condition():
            return
        await curio.sleep(PAUSE_S)
    raise AssertionError("the condition did not come true")


async def send_until_sent(sender: link.Link, to: str, message: Any) -> None:
    await until(lambda: sender.send(to, message))


@pytest.fixture
def key_folder(tmp_path: pathlib.Path) -> pathlib.Path:
    for name in ("a", "b", "c"):
        keys.generate(tmp_path, name)
    return tmp_path


def keyed(folder: pathlib.Path, name: str) -> link.Link:
    return make_link(name, keys=keys.LinkKeys.load(folder, name))


def test_a_message_is_answered_over_the_connection_it_came_by() -> None:
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
        await a.close()
        await b.close()

    run(main)


def test_a_burst_in_both_directions_arrives_whole_and_in_order() -> None:
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
        await a.close()
        await b.close()

    run(main)


def test_sending_to_nobody_or_to_a_full_queue_drops_and_counts() -> None:
    async def main() -> None:
        a = make_link("a", options=dataclasses.replace(QUICK, queue_limit=5))
        b = make_link("b", options=dataclasses.replace(QUICK, queue_limit=5))
        await a.start()
        await b.start()
        assert not a.send("b", Note("no connection"))
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("0"))
        dropped = a.counters.dropped
        # Nothing is taken from b, so that every queue on the way fills up.
        await until(lambda: not a.send("b", Note("x" * 100_000)))
        assert a.counters.dropped == dropped + 1
        assert not a.send("b", Note("x" * QUICK.message_bytes))
        await a.close()
        await b.close()

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
        for item in (a, old, new):
            await item.close()

    run(main)


def test_nothing_is_kept_for_a_dead_peer_and_a_restarted_one_is_found_again() -> None:
    async def main() -> None:
        a, b = make_link("a"), make_link("b")
        await a.start()
        await b.start()
        address = b.address
        a.connect("b", address)
        await send_until_sent(a, "b", Note("before"))
        await b.receive()
        await b.close()
        await until(lambda: not a.send("b", Note("stale")))
        assert not a.send("b", Note("stale"))
        b = make_link("b", bind=address)
        await b.start()
        await send_until_sent(a, "b", Note("after"))
        assert (await b.receive()).message == Note("after")
        await a.close()
        await b.close()

    run(main)


def test_bad_frames_are_counted_and_dropped() -> None:
    async def main() -> None:
        b = make_link("b", options=dataclasses.replace(QUICK, message_bytes=1000))
        await b.start()
        context = zmq.Context()
        raw = context.socket(zmq.DEALER)
        raw.linger = 0
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
        # The oversized frame costs the sender its connection; the next one is received again.
        await until(lambda: raw.send_multipart([kind, body]) is None and not b._inbox.empty())
        assert b.counters.malformed == 4
        raw.close()
        context.term()
        await b.close()

    run(main)


def test_a_routing_id_without_our_form_is_malformed() -> None:
    async def main() -> None:
        b = make_link("b")
        await b.start()
        context = zmq.Context()
        raw = context.socket(zmq.DEALER)
        raw.linger = 0
        raw.connect(b.address)
        raw.send_multipart(CODEC.encode(Note("nameless")))
        await until(lambda: b.counters.malformed == 1)
        raw.close()
        context.term()
        await b.close()

    run(main)


def test_known_keys_are_let_in_both_ways(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a, b = keyed(key_folder, "a"), keyed(key_folder, "b")
        await a.start()
        await b.start()
        assert a.connect("b", b.address)
        await send_until_sent(a, "b", Note("there"))
        assert await b.receive() == node.MessageReceived("a", Note("there"))
        assert b.send("a", Note("back"))
        assert await a.receive() == node.MessageReceived("b", Note("back"))
        await a.close()
        await b.close()

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
        await until(lambda: b.counters.refused_keys >= 1)
        assert not c.send("b", Note("unknown")) and not plain.send("b", Note("plain"))
        b.use_keys(b_keys)
        await send_until_sent(c, "b", Note("known now"))
        assert await b.receive() == node.MessageReceived("c", Note("known now"))
        assert not plain.send("b", Note("plain"))
        for item in (b, c, plain):
            await item.close()

    run(main)


def test_a_known_key_can_neither_speak_nor_listen_for_another(key_folder: pathlib.Path) -> None:
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
        await until(lambda: b.counters.impostors == 1)
        assert b.counters.received == 1
        assert b.send("a", Note("for the true one"))
        assert (await a.receive()).message == Note("for the true one")
        for item in (a, b, impostor):
            await item.close()

    run(main)


def test_a_key_that_was_taken_out_is_not_heard_any_more(key_folder: pathlib.Path) -> None:
    async def main() -> None:
        a, b = keyed(key_folder, "a"), keyed(key_folder, "b")
        await a.start()
        await b.start()
        a.connect("b", b.address)
        await send_until_sent(a, "b", Note("heard"))
        await b.receive()
        b_keys = keys.LinkKeys.load(key_folder, "b")
        b.use_keys(dataclasses.replace(b_keys, public_by_name={"b": b_keys.public}))
        assert a.send("b", Note("unheard"))
        await until(lambda: b.counters.impostors == 1)
        await a.close()
        await b.close()

    run(main)


def test_a_link_that_can_not_be_opened_says_so(key_folder: pathlib.Path) -> None:
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
