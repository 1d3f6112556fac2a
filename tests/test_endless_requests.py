"""Peers that send bytes without end: to the HTTP client as fast as they can, and to the server."""

import contextlib
import socket
import threading
import time

import curio
import pytest

from medlarfork import errors
from medlarfork.http import http_client
from tests import curio_world

BLOCK_BYTES = 256 * 1024
LONG_S = 0.25
"""How long a task that has nothing to wait for may be kept from running, in seconds."""


class Flood(threading.Thread):
    """Accepts one connection, and sends as fast as it can until that one is closed.

    A thread sends as a process of its own would, which is never short of bytes.
    """

    def __init__(self, start, part):
        super().__init__(daemon=True)
        self._start, self._part = start, part * (BLOCK_BYTES // len(part))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self):
        sock, _ = self._listener.accept()
        with self._listener, sock, contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(self._start)
            while True:
                sock.sendall(self._part)


@contextlib.asynccontextmanager
async def short_waits():
    """Check that no task is kept from running for long."""
    waits = []

    async def watch():
        while True:
            began_at = time.monotonic()
            await curio.sleep(0.01)
            waits.append(time.monotonic() - began_at)

    watching = await curio.spawn(watch, daemon=True)
    yield
    await watching.cancel()
    assert max(waits, default=0.0) < LONG_S


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
FLOODS = {
    "noise": (b"", b"\x16\x03noise"),
    "empty lines": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 x\r\n\r\n"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\na: ", b"b"),
    "length": (b"HTTP/1.1 200 OK\r\ncontent-length: 999999999999\r\n\r\n", b"x"),
    "until the close": (b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", b"x"),
    "chunk": (CHUNKED + b"fffffffff\r\n", b"x"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "chunk extensions": (CHUNKED, b"1;" + b"x" * 9000 + b"\r\ny\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
}


# Guards against: bytes without end that took all processor time, or the memory they came in.
@pytest.mark.parametrize("flood", FLOODS)
def test_the_client_closes_a_flood_at_once(flood):
    async def main():
        upstream = Flood(*FLOODS[flood])
        upstream.start()
        client = http_client.HttpClient(limits=http_client.ClientLimits(body_bytes=1 << 20))
        await client.start()
        async with short_waits():
            with pytest.raises(errors.UpstreamError):
                response = await client.request(upstream.address, "GET", "/", {}, b"")
                await response.read()
        await client.close()
        assert client.connections == 0
        await curio.run_in_thread(upstream.join, 1.0)
        assert not upstream.is_alive()

    curio_world.run(main)
