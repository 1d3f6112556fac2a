"""Peers that send bytes without end to the port of a link."""

import contextlib

import curio
import pytest

from medlarfork.links import link
from tests import curio_world, endless_peers, test_link

pytestmark = pytest.mark.usefixtures("frequent_switches")

LIMIT_S = 1.5
OPTIONS = link.LinkOptions(
    heartbeat_s=0.1, idle_timeout_s=0.4, reconnect_s=0.01, message_bytes=1 << 20, linger_s=0.0
)

GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16 + 32)
READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
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


# Guards against: a link that reads a peer's bytes without end, or serves no other meanwhile.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("name", PARTS)
def test_a_link_closes_the_connection_of_an_endless_peer(name, pause_s):
    async def main():
        links = [
            link.Link(
                identity=name, bind="tcp://127.0.0.1:0", codec=test_link.CODEC, options=OPTIONS
            )
            for name in "ab"
        ]
        async with contextlib.AsyncExitStack() as stack:
            for each in links:
                await each.start()
                stack.push_async_callback(each.close)
            listening, sending = links
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
