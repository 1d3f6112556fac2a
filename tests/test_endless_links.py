"""Peers that send bytes without end to the port of a link."""

import contextlib
import pathlib
import time

import curio
import pytest

from medlarfork.links import _connection_watch, link
from tests import curio_world, endless_peers, test_link

pytestmark = pytest.mark.usefixtures("frequent_switches")

LIMIT_S = 1.5
OPTIONS = link.LinkOptions(
    heartbeat_s=0.1, idle_timeout_s=0.4, reconnect_s=0.01, message_bytes=1 << 20, linger_s=0.0
)

MAX_FLOOD_S = 6.0
"""Time within which endless messages have to be ended: as long as links wait for a silent peer."""

MAX_GROWTH_BYTES = 300_000_000
"""Memory of the smallest machine that runs a replica or an entry host."""

GREETING = endless_peers.ZmqFlood.GREETING
READY = endless_peers.ZmqFlood.READY
PARTS = {
    "noise": (b"", b"noise"),
    "HTTP": (b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
    "frames of the first version": (b"", b"x"),
    "parts of the first version": (b"", b"y"),
    "greeting": (b"\xff" + bytes(8) + b"\x7f\x03", b"\x00"),
    "command": (GREETING + b"\x06" + b"\x7f" * 8, b"x"),
    "frame": (GREETING + READY + b"\x02" + (1 << 40).to_bytes(8, "big"), b"x"),
    "largest frame": (GREETING + READY + b"\x02" + (1 << 20).to_bytes(8, "big"), b"\x02"),
    "parts": (GREETING + READY, b"\x01\x01x"),
}


@contextlib.asynccontextmanager
async def open_pair():
    """Open two links, to be connected, under the ids "a" and "b"."""
    async with contextlib.AsyncExitStack() as stack:
        pair = [
            link.Link(
                identity=name, bind="tcp://127.0.0.1:0", codec=test_link.CODEC, options=OPTIONS
            )
            for name in "ab"
        ]
        for each in pair:
            await each.start()
            stack.push_async_callback(each.close)
        yield pair


# Guards against: a link that reads a peer's bytes without end, or serves no other meanwhile.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("name", PARTS)
def test_a_link_closes_the_connection_of_an_endless_peer(name, pause_s):
    async def main():
        async with open_pair() as (listening, sending):
            peer = endless_peers.Caller(listening.address, *PARTS[name], pause_s)
            peer.start()
            sending.connect("a", listening.address)
            await curio_world.until(lambda: sending.send("a", test_link.Note("sound")))
            async with curio.timeout_after(LIMIT_S):
                assert (await listening.receive()).message == test_link.Note("sound")
            await curio.run_in_thread(peer.join, LIMIT_S)
            assert not peer.is_alive()
            assert peer.sent_bytes < endless_peers.MAX_SENT_BYTES

    curio_world.run(main)


# Guards against: a peer that completes the handshake, then sends one message of endless parts.
def test_a_link_outlives_peers_that_send_parts_without_end():
    async def main():
        async with open_pair() as (listening, sending):
            sending.connect("a", listening.address)
            await curio_world.until(lambda: sending.send("a", test_link.Note("sound")))
            before_bytes = _resident_bytes()
            floods = [endless_peers.ZmqFlood(listening.address) for _ in range(2)]
            for flood in floods:
                flood.start()
            until = time.monotonic() + MAX_FLOOD_S
            while any(flood.is_alive() for flood in floods) and time.monotonic() < until:
                assert sending.send("a", test_link.Note("sound"))
                async with curio.timeout_after(LIMIT_S):
                    assert (await listening.receive()).message == test_link.Note("sound")
                await curio.sleep(0.02)
            assert all(flood.is_closed for flood in floods)
            assert listening.counters.endless == len(floods)
            assert _resident_bytes() - before_bytes < MAX_GROWTH_BYTES

    curio_world.run(main)


# Guards against: a sound peer's connection closed for large messages, or for a burst of them.
def test_a_link_keeps_a_connection_with_large_messages():
    async def main():
        async with open_pair() as (listening, sending):
            sending.connect("a", listening.address)
            await curio_world.until(lambda: sending.send("a", test_link.Note("first")))
            sizes = [OPTIONS.message_bytes - 100, 10, OPTIONS.message_bytes // 2, 3000] * 4
            for _ in range(4):
                for size in sizes:
                    assert sending.send("a", test_link.Block(bytes(size)))
                # A busy program reads late, and all at once.
                time.sleep(3 * _connection_watch.CHECK_PERIOD_S / 2)
                await curio.sleep(_connection_watch.CHECK_PERIOD_S)
            await curio_world.until(lambda: listening.counters.received == 1 + 4 * len(sizes))
            assert listening.counters.endless == 0

    curio_world.run(main)


def _resident_bytes():
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * 4096
