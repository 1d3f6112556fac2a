"""Upstream or relay host that sends bytes without end, until its connection is closed."""

import contextlib
import dataclasses

import curio

from tests.routed import raw_server, routed_harness

NAMES = routed_harness.NAMES
FAST_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True)
class Endless:
    """What an upstream sends: a start, and a part again and again until it is reset.

    Attributes:
        start: Sent once; ``ID`` stands for the id of the request.
        part: Sent again and again.
        pause_s: Time between two parts, in seconds; as fast as the connection allows if 0.
    """

    start: bytes
    part: bytes
    pause_s: float = 0.0


class EndlessUpstream(raw_server.RawServer):
    """Sends endless bytes on each connection.

    Attributes:
        accepted: Number of connections that got a request.
        open: Number of those that are not closed by the other side.
        sent_bytes: Bytes sent.
    """

    def __init__(self, endless, host="127.0.0.1", port=0):
        super().__init__(host, port)
        self.accepted = self.open = self.sent_bytes = 0
        self._endless = endless

    async def _serve(self, sock):
        async with sock:
            if not (request := await sock.recv(65536)):
                return
            self.accepted += 1
            self.open += 1
            # The end of sending is an error on purpose: only a closed connection brings it about.
            with contextlib.suppress(OSError):
                await self._send(sock, request)
            self.open -= 1

    async def _send(self, sock, request):
        named = NAMES.attempt_id.lower().encode() + b": "
        attempt_id = request.partition(named)[2].partition(b"\r\n")[0]
        await sock.sendall(self._endless.start.replace(b"ID", attempt_id))
        part = self._endless.part
        if not self._endless.pause_s:
            part *= FAST_BYTES // len(part)
        while True:
            await sock.sendall(part)
            self.sent_bytes += len(part)
            await curio.sleep(self._endless.pause_s)


def head(status, *lines):
    named = f"{NAMES.attempt_id}: ID", *lines
    return "\r\n".join((f"HTTP/1.1 {status} x", *named, "", "")).encode()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
