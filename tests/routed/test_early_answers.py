"""Upstreams that answer while a request is still being written, and reset the connection."""

import contextlib
import socket
import struct

import curio
import pytest

from medlarfork import errors
from tests.routed import raw_server, routed_harness, test_endless_relay_hosts

NAMES = routed_harness.NAMES
HEAD = "HTTP/1.1 200 OK\r\nContent-Type: {}\r\n{}: {}\r\n{}\r\n"
MEDIA_BY_KIND = {
    "safe": "text/plain",
    "unsafe": "text/plain",
    "streaming": "text/event-stream",
}
EVENT = b"data: a\n\n"
LINES = ("", "Connection: close\r\n")
PARTS = (b"", EVENT, EVENT * 10_000)
PAUSES_S = (0.0, 0.05)
"""Times between the answer and the reset, in seconds."""
RESET = struct.pack("ii", 1, 0)


class EarlyUpstream(raw_server.RawServer):
    """Answers the first bytes of each request, without a length, and resets the connection.

    Attributes:
        answered: Number of requests answered.
    """

    def __init__(self, address, kind):
        host, _, port = address.partition(":")
        super().__init__(host, int(port))
        self._media = MEDIA_BY_KIND[kind]
        self.answered = 0
        self.line, self.part, self.pause_s = "", b"", 0.0

    async def _serve(self, sock):
        async with sock:
            received = await sock.recv(65536)
            name = f"{NAMES.attempt_id}: ".lower().encode()
            _, found, rest = received.partition(name)
            if not found:
                return
            attempt_id = rest.partition(b"\r\n")[0].decode()
            head = HEAD.format(self._media, NAMES.attempt_id, attempt_id, self.line)
            self.answered += 1
            with contextlib.suppress(OSError):
                await sock.sendall(head.encode() + self.part)
                await curio.sleep(self.pause_s)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


# Guards against: a part of an answer that reached its caller as the whole.
@pytest.mark.parametrize("size", [10, 3_900_000])
@pytest.mark.parametrize("kind", MEDIA_BY_KIND)
@pytest.mark.parametrize("is_relayed", [False, True])
def test_an_answer_that_a_reset_ends_is_not_complete(tmp_path, is_relayed, kind, size):
    async def main(deployment):
        if is_relayed:
            await test_endless_relay_hosts.start(deployment, kind=kind, max_attempts=1)
        else:
            await deployment.add_upstream()
            await deployment.put_routing(kind=kind, max_attempts=1)
            await deployment.until_upstreams(1)
        (upstream,) = deployment.upstreams
        await upstream._server.close(within_s=0.0)
        upstream._server = early = EarlyUpstream(upstream.address, kind)
        await early.start()
        plays = [(line, part, pause) for line in LINES for part in PARTS for pause in PAUSES_S]
        for number, (early.line, early.part, early.pause_s) in enumerate(plays):
            with contextlib.suppress(errors.UpstreamError):
                response = await deployment.call(
                    body=b"x" * size, **{NAMES.attempt_id: f"a-{number}"}
                )
                body = await response.read()
                assert response.status >= 500, (response.status, len(body), plays[number])
        assert early.answered == len(plays)

    routed_harness.run(tmp_path, main)
