"""Upstreams that send bytes without end, in a head or a body, until their connection is closed."""

import contextlib
import dataclasses
import socket
import time

import curio
import pytest

from medlarfork import errors
from tests import curio_world
from tests.routed import routed_harness

NAMES = routed_harness.NAMES
CALLERS = 6
DRIP_S = 0.02
FAST_BYTES = 256 * 1024
SOON_S = 1.0


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


class EndlessUpstream:
    """Sends endless bytes on each connection.

    Attributes:
        accepted: Number of connections that got a request.
        open: Number of those that are not closed by the other side.
        sent_bytes: Bytes sent.
    """

    def __init__(self, endless, host="127.0.0.1", port=0):
        self.accepted = self.open = self.sent_bytes = 0
        self._endless = endless
        self._place = host, port
        self._tasks = []

    async def start(self):
        self._listener = curio.socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self._place)
        self._listener.listen(50)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._tasks.append(await curio.spawn(self._accept, daemon=True))

    async def close(self, within_s=0.0):
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            self._tasks.append(await curio.spawn(self._serve, sock, daemon=True))

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


async def add_endless(deployment, endless):
    """Add an upstream that announces itself and sends endless bytes."""
    number = len(deployment.upstreams) + 1
    place = f"{deployment.network}.{100 + number}", routed_harness.UPSTREAM_PORT
    upstream = routed_harness.Upstream(deployment, number, None, {})
    upstream._server = EndlessUpstream(endless, *place)
    deployment.upstreams.append(upstream)
    await upstream.start()
    return upstream._server


async def call(deployment, number, outcomes):
    """Record a request's status, or the failure of its body, and the time it took."""
    began_at = time.monotonic()
    response = await deployment.call(**{NAMES.attempt_id: f"a-{number}"})
    body = b""
    with contextlib.suppress(errors.UpstreamError):
        body = await response.read()
    outcomes.append((response.status, body, time.monotonic() - began_at))


async def play(deployment, endless, **route):
    """Send requests to one endless and one sound upstream; return what became of them."""
    odd = await add_endless(deployment, endless)
    await deployment.add_upstream()
    await deployment.put_routing(**route)
    await deployment.until_upstreams(2)
    outcomes = []
    async with curio.TaskGroup() as group:
        for number in range(CALLERS):
            await group.spawn(call, deployment, number, outcomes)
    assert odd.accepted
    await curio_world.until(lambda: not odd.open)
    return outcomes


MARKED = f"{NAMES.not_executed}: 1"
REJECTIONS = {
    "chunked": Endless(head(503, MARKED, "transfer-encoding: chunked"), b"1\r\nx\r\n"),
    "length": Endless(head(503, MARKED, "content-length: 9999999999"), b"x"),
    "close": Endless(head(503, MARKED, "connection: close"), b"x"),
    "trailers": Endless(head(503, MARKED, "transfer-encoding: chunked") + b"0\r\n", b"a: b\r\n"),
}


# Guards against: a request held to its deadline by the body of a rejection that nothing needs.
@pytest.mark.parametrize("pause_s", [0.0, DRIP_S])
@pytest.mark.parametrize("rejection", REJECTIONS)
def test_the_body_of_a_rejection_holds_no_request(tmp_path, rejection, pause_s):
    async def main(deployment):
        endless = dataclasses.replace(REJECTIONS[rejection], pause_s=pause_s)
        outcomes = await play(deployment, endless, kind="unsafe")
        assert [status for status, _, _ in outcomes] == [200] * CALLERS
        assert max(took_s for _, _, took_s in outcomes) < SOON_S

    routed_harness.run(tmp_path, main)
