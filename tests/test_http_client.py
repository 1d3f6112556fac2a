"""Test the HTTP client against scripted peers: truncation, reuse, timeouts and cancellation."""

import contextlib
import functools
import socket
import struct
import tracemalloc

import curio
import pytest

from medlarfork import errors
from medlarfork.http import http_client, http_server
from tests import curio_world


class Peer:
    """Accepts connections, reads a request from each, and sends scripted bytes."""

    def __init__(self, *script, end="close"):
        self.script = script
        self.end = end
        self.requests = []
        self.ended = 0

    async def start(self):
        self.listener = curio.socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(10)
        self.address = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        self.tasks = [await curio.spawn(self.accept, daemon=True)]

    async def close(self):
        for task in self.tasks:
            await task.cancel()
        await self.listener.close()

    async def accept(self):
        while True:
            sock, _ = await self.listener.accept()
            self.tasks.append(await curio.spawn(self.play, sock, daemon=True))

    async def play(self, sock):
        async with sock:
            if self.end == "refuse":
                return
            self.requests.append(await sock.recv(65536))
            for part in self.script:
                await sock.sendall(part)
            if self.end == "hold":
                with contextlib.suppress(OSError):
                    while await sock.recv(65536):
                        pass
        self.ended += 1


@contextlib.asynccontextmanager
async def client_of(peer=None, **limits):
    client = http_client.HttpClient(limits=http_client.ClientLimits(**limits))
    await client.start()
    if peer is not None:
        await peer.start()
    try:
        yield client
    finally:
        await client.close()
        if peer is not None:
            await peer.close()
        assert client.connections == 0


async def get(client, address, **more):
    return await client.request(address, "GET", "/", {}, b"", **more)


async def echo(exchange):
    body = await exchange.read_body()
    await exchange.respond(200, {"x-host": exchange.head.headers["host"]}, body)


OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"

COMPLETE = {
    "length": (OK + b"content-length: 2\r\n\r\nab", True, True),
    "chunked": (CHUNKED + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n", True, True),
    "length, then close": (OK + b"connection: close\r\ncontent-length: 2\r\n\r\nab", True, False),
    "marked close": (OK + b"connection: close\r\n\r\nab", False, False),
    "informational first": (
        b"HTTP/1.1 103 H\r\n\r\n" + OK + b"content-length: 2\r\n\r\nab",
        True,
        True,
    ),
    "bytes behind": (OK + b"content-length: 2\r\n\r\nabHTTP", True, False),
}


@pytest.mark.parametrize("name", COMPLETE)
def test_complete_responses(name):
    sent, framed, reusable = COMPLETE[name]
    peer = Peer(sent, end="close" if not framed else "hold")

    async def main():
        async with client_of(peer) as client:
            response = await get(client, peer.address)
            assert (response.status, response.framed) == (200, framed)
            assert await response.read() == b"ab"
            assert response.complete
            assert client.idle_connections == int(reusable)

    curio_world.run(main)


TRUNCATED = {
    "no answer": b"",
    "in the status line": b"HTTP/1.1 2",
    "in the headers": OK + b"content-le",
    "in the body": OK + b"content-length: 3\r\n\r\nab",
    "before the body": OK + b"content-length: 3\r\n\r\n",
    "in a chunk": CHUNKED + b"5\r\nab",
    "between chunks": CHUNKED + b"2\r\nab\r\n",
    "in the terminator": CHUNKED + b"2\r\nab\r\n0\r\n",
    "unmarked close": OK + b"\r\nab",
    "old unmarked close": b"HTTP/1.0 200 OK\r\n\r\nab",
    "garbage": b"\x00\x01garbage\r\n\r\n",
    "bad chunk": CHUNKED + b"zz\r\nab\r\n",
    "endless headers": OK + b"a: " + b"x" * 5000,
    "only informational": b"HTTP/1.1 103 H\r\n\r\n" * 20,
}


@pytest.mark.parametrize("name", TRUNCATED)
def test_truncated_responses_never_look_complete(name):
    peer = Peer(TRUNCATED[name], end="hold" if name == "only informational" else "close")

    async def main():
        async with client_of(peer, header_bytes=4096) as client:
            received = b""
            with pytest.raises(errors.UpstreamError) as raised:
                response = await get(client, peer.address)
                async for part in response.chunks():
                    received += part
            assert raised.value.request_sent
            assert not isinstance(raised.value, errors.RequestNotSentError)
            assert received in (b"", b"ab")
            assert client.connections == 0
            assert len(peer.requests) == 1

    curio_world.run(main)


def test_chunks_arrive_before_the_response_ends():
    async def main():
        proceed = curio.Event()

        async def handler(exchange):
            await exchange.begin(200, {})
            await exchange.send(b"one")
            await proceed.wait()
            await exchange.send(b"two")
            await exchange.finish()

        server = http_server.HttpServer(handler, host="127.0.0.1", port=0)
        await server.start()
        async with client_of() as client:
            response = await get(client, server.address)
            assert await response.next_chunk() == b"one"
            await proceed.set()
            assert [part async for part in response.chunks()][:1] == [b"two"]
            assert await response.next_chunk() == b""
        await server.close(within_s=1)

    curio_world.run(main)


def test_connections_are_reused_and_bodies_kept_apart():
    async def main():
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0)
        await server.start()
        async with client_of() as client:
            for size in (0, 1, 100_000, 3_000_000):
                body = bytes([size % 251]) * size
                response = await client.request(server.address, "POST", "/", {"a": "b"}, body)
                assert await response.read() == body
            assert (server.connections, client.connections) == (1, 1)
        await server.close(within_s=1)

    curio_world.run(main)


# Guards against: copies of a long body for each upstream that is slow to read it.
def test_a_body_that_waits_for_its_upstream_is_not_copied():
    body = bytes(8_000_000)
    requests = 5

    async def main():
        listener = socket.create_server(("127.0.0.1", 0))
        address = "http://{}:{}".format(*listener.getsockname())
        headers = {"Content-Length": str(len(body))}
        async with client_of() as client:
            tracemalloc.start()
            calls = [
                await curio.spawn(client.request, address, "POST", "/", headers, body, daemon=True)
                for _ in range(requests)
            ]
            await curio_world.until(lambda: client.connections == requests)
            await curio.sleep(0.1)
            held, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            for call in calls:
                await call.cancel()
        listener.close()
        assert held < len(body) / 2
        assert peak < 2 * len(body)

    curio_world.run(main)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_a_status_that_http_does_not_have_is_a_failure(status):
    async def main():
        answer = b"HTTP/1.1 " + status + b" x\r\ncontent-length: 2\r\n\r\nok"
        peer = Peer(answer)
        async with client_of(peer) as client:
            with pytest.raises(errors.UpstreamError):
                await get(client, peer.address)
            assert client.connections == 0

    curio_world.run(main)


def test_connection_that_died_in_the_pool_is_not_used():
    async def main():
        limits = http_server.HttpLimits(idle_s=0.05)
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0, limits=limits)
        await server.start()
        async with client_of() as client:
            await (await get(client, server.address)).read()
            assert client.idle_connections == 1
            await curio_world.until(lambda: server.connections == 0)
            response = await get(client, server.address)
            assert await response.read() == b""
        await server.close(within_s=1)

    curio_world.run(main)


# Guards against: a request that can't be repeated took a connection that was idle for long.
@pytest.mark.parametrize(("max_idle_s", "exchange_number"), [(0.05, 1), (30.0, 2)])
def test_a_connection_that_was_idle_for_too_long_is_replaced(max_idle_s, exchange_number):
    async def main():
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0)
        await server.start()
        async with client_of() as client:
            await (await get(client, server.address)).read()
            await curio.sleep(0.1)
            response = await get(client, server.address, max_idle_s=max_idle_s)
            await response.read()
            assert (response.exchange_number, client.connections) == (exchange_number, 1)
        await server.close(within_s=1)

    curio_world.run(main)


def test_reused_connection_that_fails_is_not_retried():
    async def main():
        calls = []

        async def handler(exchange):
            calls.append(exchange)
            if len(calls) == 2:
                await exchange.abort()
                return
            await exchange.respond(200, {}, b"")

        server = http_server.HttpServer(handler, host="127.0.0.1", port=0)
        await server.start()
        async with client_of() as client:
            await (await get(client, server.address)).read()
            with pytest.raises(errors.UpstreamError) as raised:
                await get(client, server.address)
            assert raised.value.request_sent
            assert len(calls) == 2
        await server.close(within_s=1)

    curio_world.run(main)


def test_refused_connection_is_reported_as_not_sent():
    async def main():
        peer = Peer()
        await peer.start()
        await peer.close()
        async with client_of() as client:
            with pytest.raises(errors.RequestNotSentError) as raised:
                await get(client, peer.address)
            assert not raised.value.request_sent

    curio_world.run(main)


def test_a_withdrawn_request_sends_nothing_and_keeps_its_connection():
    async def main():
        peer = Peer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", end="hold")
        async with client_of(peer) as client:
            with pytest.raises(errors.RequestWithdrawnError) as raised:
                await get(client, peer.address, may_send=lambda: False)
            assert not raised.value.request_sent
            assert (peer.requests, client.idle_connections) == ([], 1)
            response = await get(client, peer.address, may_send=lambda: True)
            await response.read()
            assert (response.status, len(peer.requests), client.connections) == (200, 1, 1)

    curio_world.run(main)


def test_reach_reports_whether_a_port_accepts_and_keeps_the_connection():
    async def main():
        peer = Peer()
        await peer.start()
        async with client_of() as client:
            assert (
                await client.reach(peer.address, within_s=1.0) is http_client.Reachability.ACCEPTS
            )
            assert client.idle_connections == 1
            await peer.close()
            assert (
                await client.reach(peer.address, within_s=1.0) is http_client.Reachability.REFUSES
            )

    curio_world.run(main)


def test_an_address_that_drops_connection_attempts_is_silent():
    async def main():
        with contextlib.ExitStack() as stack:
            full = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            taken = stack.enter_context(socket.socket())
            taken.connect(full.getsockname())
            async with client_of() as client:
                address = f"http://127.0.0.1:{full.getsockname()[1]}"
                assert await client.reach(address, within_s=0.2) is http_client.Reachability.SILENT

    curio_world.run(main)


# Guards against: one lost opening packet, which the kernel sends again after 1 s, failed a connect.
def test_an_attempt_to_connect_survives_the_loss_of_its_opening_packet():
    async def main():
        with contextlib.ExitStack() as stack:
            full = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            taken = stack.enter_context(socket.socket())
            taken.connect(full.getsockname())
            async with client_of() as client:
                address = f"http://127.0.0.1:{full.getsockname()[1]}"
                reaching = await curio.spawn(functools.partial(client.reach, within_s=0.9), address)
                await curio.sleep(0.2)
                stack.enter_context(full.accept()[0])
                assert await reaching.join() is http_client.Reachability.ACCEPTS

    curio_world.run(main)


@pytest.mark.parametrize(
    ("address", "method", "target", "headers"),
    [
        ("http://nowhere", "GET", "/", {}),
        ("http://127.0.0.1:99999", "GET", "/", {}),
        ("http://127.0.0.1:1", "GE T", "/", {}),
        ("http://127.0.0.1:1", "GET", "/a b", {}),
        ("http://127.0.0.1:1", "GET", "/", {"a": "b\r\nc: d"}),
        ("http://127.0.0.1:1", "GET", "/", {"a": "\u4e00"}),
    ],
)
def test_invalid_requests_are_reported_as_not_sent(address, method, target, headers):
    async def main():
        async with client_of() as client:
            with pytest.raises(errors.RequestNotSentError):
                await client.request(address, method, target, headers, b"")

    curio_world.run(main)


def test_connections_beyond_the_client_limit_are_refused():
    peer = Peer(end="hold")

    async def main():
        async with client_of(peer, connections=1) as client:
            waiting = await curio.spawn(get, client, peer.address)
            await curio_world.until(lambda: peer.requests)
            with pytest.raises(errors.RequestNotSentError) as raised:
                await get(client, peer.address)
            assert raised.value.code is errors.Code.OVERLOADED
            await waiting.cancel()

    curio_world.run(main)


@pytest.mark.parametrize("script", [(), (CHUNKED + b"2\r\nab\r\n",)])
def test_slow_response_times_out(script):
    peer = Peer(*script, end="hold")

    async def main():
        async with client_of(peer) as client:
            with pytest.raises(errors.UpstreamError) as raised:
                response = await get(client, peer.address, timeout_s=0.15)
                await response.read()
            assert raised.value.code is errors.Code.REQUEST_TIMEOUT
            assert raised.value.request_sent
            await curio_world.until(lambda: peer.ended == 1)

    curio_world.run(main)


def test_upstream_that_does_not_read_times_out():
    peer = Peer()

    async def main():
        async with client_of(peer) as client:
            await peer.tasks[0].cancel()  # Connections stay in the backlog and are never read.
            with pytest.raises(errors.UpstreamError) as raised:
                body = b"x" * 20_000_000
                await client.request(peer.address, "POST", "/", {}, body, timeout_s=0.15)
            assert raised.value.code is errors.Code.REQUEST_TIMEOUT

    curio_world.run(main)


@pytest.mark.parametrize("script", [(), (CHUNKED + b"2\r\nab\r\n",)])
def test_cancelling_closes_the_connection(script):
    peer = Peer(*script, end="hold")

    async def main():
        async def send():
            response = await get(client, peer.address)
            await response.read()

        async with client_of(peer) as client:
            task = await curio.spawn(send)
            await curio_world.until(lambda: peer.requests)
            await task.cancel()
            assert client.connections == 0
            await curio_world.until(lambda: peer.ended == 1)

    curio_world.run(main)


def test_closing_an_unread_response_resets_the_connection():
    peer = Peer(CHUNKED + b"2\r\nab\r\n", end="hold")

    async def main():
        async with client_of(peer) as client:
            response = await get(client, peer.address)
            await response.close()
            await response.close()
            assert client.connections == 0
            await curio_world.until(lambda: peer.ended == 1)

    curio_world.run(main)


def test_long_body_is_refused():
    peer = Peer(OK + b"content-length: 100\r\n\r\n" + b"x" * 100)

    async def main():
        async with client_of(peer, body_bytes=99) as client:
            response = await get(client, peer.address)
            with pytest.raises(errors.UpstreamError):
                await response.read()

    curio_world.run(main)


def test_idle_connections_expire():
    async def main():
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0)
        await server.start()
        async with client_of(idle_s=0.05) as client:
            await (await get(client, server.address)).read()
            assert client.connections == 1
            await curio_world.until(lambda: client.connections == 0)
        await server.close(within_s=1)

    curio_world.run(main)


def test_early_refusal_of_a_long_body_is_read():
    async def main():
        limits = http_server.HttpLimits(body_bytes=10)
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0, limits=limits)
        await server.start()
        async with client_of() as client:
            response = await client.request(server.address, "POST", "/", {}, b"x" * 500_000)
            assert response.status == 413
            assert response.headers["medlar-outcome"] == "not_run"
            await response.read()
        await server.close(within_s=1)

    curio_world.run(main)


def test_response_sent_before_the_upstream_closed_is_read():
    peer = Peer(OK + b"content-length: 2\r\n\r\nab")

    async def main():
        async with client_of(peer) as client:
            body = b"x" * 20_000_000
            response = await client.request(peer.address, "POST", "/", {}, body)
            assert await response.read() == b"ab"
            assert client.connections == 0

    curio_world.run(main)


# Guards against: a write consumed the error of a reset, and the reads after it saw a regular end.
def test_a_reset_while_the_request_is_written_does_not_end_a_response_regularly():
    async def main():
        listening = socket.create_server(("127.0.0.1", 0))
        address = f"http://127.0.0.1:{listening.getsockname()[1]}"
        async with client_of() as client:
            body = b"x" * (16 << 20)
            asking = await curio.spawn(client.request, address, "POST", "/", {}, body)
            accepted, _ = await curio.run_in_thread(listening.accept)
            await curio_world.until(lambda: asking.state == "WRITE_WAIT")
            accepted.sendall(OK + b"connection: close\r\n\r\nab")
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            response = await asking.join()
            with pytest.raises(errors.UpstreamError):
                await response.read()
        listening.close()

    curio_world.run(main)
