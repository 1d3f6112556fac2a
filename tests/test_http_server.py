"""Test the HTTP server with raw bytes: limits, malformed input, aborts and graceful close."""

import contextlib
import functools
import json
import socket

import curio
import hypothesis
import pytest
from hypothesis import strategies

from medlarfork import request
from medlarfork.http import _http_messages, http_server, input_gate, listener
from tests import curio_world

LONG_S = 20.0
HEAD = b"HTTP/1.1 200 "


async def echo(exchange):
    body = await exchange.read_body()
    await exchange.respond(200, {"x-path": exchange.head.path}, exchange.head.path.encode() + body)


@contextlib.asynccontextmanager
async def serving(handler=echo, faults=None, **limits):
    settings = http_server.HttpLimits(**{"linger_s": 0.2, **limits})
    report = (lambda head, error: faults.append(error)) if faults is not None else print
    server = http_server.HttpServer(
        handler, host="127.0.0.1", port=0, limits=settings, report=report
    )
    await server.start()
    try:
        yield server
    finally:
        await server.close(within_s=0.5)
        assert server.connections == 0
        assert server.exchanges == 0


async def connect(server):
    host, port = server.address.removeprefix("http://").split(":")
    return await curio.open_connection(host, int(port))


async def read_all(sock):
    """Return the bytes received until the connection ended, and whether it was reset."""
    received = b""
    try:
        while data := await sock.recv(65536):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


async def talk(server, sent):
    sock = await connect(server)
    await sock.sendall(sent)
    received, _ = await read_all(sock)
    await sock.close()
    return received


async def read_until(sock, mark):
    received = b""
    while mark not in received:
        data = await sock.recv(65536)
        assert data, received
        received += data
    return received


def split(answer):
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.lower(), body


GET = b"GET / HTTP/1.1\r\nhost: x\r\n"
POST = b"POST /p HTTP/1.1\r\nhost: x\r\n"

BAD_INPUT = {
    "header too long": (GET + b"a: " + b"x" * 5000 + b"\r\n\r\n", 431, "header_too_large"),
    "endless header": (GET + b"a: " + b"x" * 9000, 431, "header_too_large"),
    "too many headers": (GET + b"a: b\r\n" * 40 + b"\r\n", 431, "header_too_large"),
    "target too long": (b"GET /" + b"x" * 600 + b" HTTP/1.1\r\nhost: x\r\n\r\n", 414, None),
    "declared body": (POST + b"content-length: 1001\r\n\r\n", 413, "body_too_large"),
    "chunked body": (
        POST + b"transfer-encoding: chunked\r\n\r\n" + b"190\r\n" + b"x" * 400 + b"\r\n"
        b"190\r\n" + b"x" * 400 + b"\r\n" + b"190\r\n" + b"x" * 400 + b"\r\n",
        413,
        "body_too_large",
    ),
    "garbage": (b"\x00\x01\x02\r\n\r\n", 400, "bad_request"),
    "not http": (b"HELLO\r\n\r\n", 400, "bad_request"),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400, "bad_request"),
    "bad length": (POST + b"content-length: -1\r\n\r\n", 400, "bad_request"),
    "two lengths": (POST + b"content-length: 1\r\ncontent-length: 2\r\n\r\n", 400, "bad_request"),
    "two framings": (
        POST + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
        "bad_request",
    ),
    "bad chunk": (POST + b"transfer-encoding: chunked\r\n\r\nzz\r\n", 400, "bad_request"),
    "connect": (b"CONNECT /a HTTP/1.1\r\nhost: x\r\n\r\n", 400, "bad_request"),
    "absolute target": (b"GET http://a/ HTTP/1.1\r\nhost: x\r\n\r\n", 400, "bad_request"),
    "slow head": (GET, 408, "request_timeout"),
    "slow body": (POST + b"content-length: 10\r\n\r\nabc", 408, "request_timeout"),
}


@pytest.mark.parametrize("name", BAD_INPUT)
def test_bad_input_is_answered_and_serving_goes_on(name):
    sent, status, code = BAD_INPUT[name]

    async def main():
        limits = {"header_bytes": 4096, "header_count": 32, "body_bytes": 1000, "target_bytes": 512}
        async with serving(header_s=0.1, body_s=0.1, **limits) as server:
            got, head, body = split(await talk(server, sent))
            assert got == status
            assert b"medlar-outcome: not_run" in head
            assert b"connection: close" in head
            error = json.loads(body)["error"]
            assert set(error) == {"message", "type", "code", "param"}
            assert error["code"] == (code or error["code"])
            assert error["message"].endswith(".")
            again = await talk(server, GET + b"connection: close\r\n\r\n")
            assert again.startswith(HEAD)

    curio_world.run(main)


# Guards against: a request within the limit in bytes refused for the number of its header lines.
def test_a_head_of_many_short_lines_is_served():
    async def main():
        async with serving() as server:
            lines = b"".join(b"%x:\r\n" % number for number in range(4096, 4096 + 2300))
            answer = await talk(server, GET + lines + b"connection: close\r\n\r\n")
            assert answer.startswith(HEAD)

    curio_world.run(main)


# Guards against: a new caller refused beside connections that stand still or send ahead.
@pytest.mark.parametrize("sent", [b"", GET, POST + b"content-length: 9\r\n\r\nx"])
def test_a_full_server_closes_connections_that_make_no_progress(monkeypatch, sent):
    monkeypatch.setattr(http_server, "PATIENCE_S", 0.1)

    async def main():
        async with serving(connections=3) as server:
            used = await connect(server)
            await used.sendall(GET + b"\r\n")
            await read_until(used, b"/")
            idle = [await connect(server) for _ in range(2)]
            for sock in idle:
                await sock.sendall(sent)
            await curio_world.until(lambda: server.connections == 3)
            await curio.sleep(0.2)
            assert (await talk(server, GET + b"connection: close\r\n\r\n")).startswith(HEAD)
            for sock in idle:
                received, _ = await read_all(sock)
                assert not received or split(received)[0] == 503
                await sock.close()
            await used.close()

    curio_world.run(main)


# Guards against: a stalled body that keeps its room while the bodies of others don't fit.
def test_a_stalled_body_yields_to_one_that_arrives():
    gate = input_gate.InputGate(1.0)
    gate.budget.limit_bytes = 1_000_000

    async def main():
        server = http_server.HttpServer(echo, host="127.0.0.1", port=0, gate=gate)
        await server.start()
        stalled = await connect(server)
        await stalled.sendall(POST + b"content-length: 700000\r\n\r\n" + b"x" * 600_000)
        await curio_world.until(lambda: gate.budget.held_bytes > 600_000)
        body = b"y" * 600_000
        sent = POST + b"connection: close\r\ncontent-length: 600000\r\n\r\n" + body
        assert (await talk(server, sent)).endswith(body)
        status, head, refusal = split((await read_all(stalled))[0])
        assert (status, json.loads(refusal)["error"]["code"]) == (503, "overloaded")
        assert b"medlar-outcome: not_run" in head
        assert b"retry-after: " in head
        await stalled.close()
        await curio_world.until(lambda: gate.budget.held_bytes == 0)
        await server.close(within_s=0.1)

    curio_world.run(main)


def test_declared_length_is_refused_before_the_body_is_sent():
    async def main():
        async with serving(body_bytes=10) as server:
            expect = POST + b"expect: 100-continue\r\ncontent-length: 11\r\n\r\n"
            answer = await talk(server, expect)
            assert split(answer)[0] == 413

    curio_world.run(main)


def test_expect_continue_is_answered_before_the_body():
    async def main():
        async with serving() as server:
            sock = await connect(server)
            await sock.sendall(POST + b"expect: 100-continue\r\ncontent-length: 3\r\n\r\n")
            assert (await read_until(sock, b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            await sock.sendall(b"abc")
            assert (await read_until(sock, b"/pabc")).startswith(HEAD)
            await sock.close()

    curio_world.run(main)


def test_hop_by_hop_headers_are_not_forwarded():
    async def handler(exchange):
        headers = {"Transfer-Encoding": "chunked", "Connection": "close", "x-kept": "1"}
        await exchange.respond(200, headers, b"whole")

    async def main():
        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            received = (await read_until(sock, b"whole")).lower()
            assert b"content-length: 5" in received
            assert b"x-kept: 1" in received
            assert b"chunked" not in received
            assert b"connection" not in received
            await sock.close()

    curio_world.run(main)


def test_pipelined_requests_are_answered_in_order():
    async def main():
        async with serving() as server:
            requests = [b"GET /%d HTTP/1.1\r\nhost: x\r\n" % n for n in range(20)]
            sent = b"\r\n".join(requests) + b"connection: close\r\n\r\n"
            answer = await talk(server, sent)
            bodies = [part.split(b"\r\n\r\n")[1] for part in answer.split(HEAD)[1:]]
            assert bodies == [b"/%d" % n for n in range(20)]

    curio_world.run(main)


@pytest.mark.parametrize(("size", "kept"), [(10, True), (500_000, False)])
def test_unread_body_is_never_parsed_as_a_request(size, kept):
    async def ignore(exchange):
        await exchange.respond(200, {}, exchange.head.path.encode())

    async def main():
        async with serving(ignore) as server:
            sock = await connect(server)
            body = GET * (size // len(GET)) + b"x" * (size % len(GET))
            with contextlib.suppress(OSError):
                await sock.sendall(POST + b"content-length: %d\r\n\r\n" % size + body)
            received = await read_until(sock, b"/p")
            assert (b"connection: close" in received.lower()) is not kept
            if kept:
                await sock.sendall(b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n")
                await read_until(sock, b"/next")
            else:
                assert b"HTTP" not in (await read_all(sock))[0]
            await sock.close()

    curio_world.run(main)


def test_limit_violation_after_the_response_started_resets_the_connection():
    async def start_early(exchange):
        await exchange.begin(200, {})
        await exchange.read_body()

    async def main():
        faults = []
        async with serving(start_early, faults=faults, body_bytes=10) as server:
            sock = await connect(server)
            await sock.sendall(POST + b"content-length: 11\r\n\r\n")
            received, was_reset = await read_all(sock)
            assert was_reset
            assert received.count(b"HTTP/1.1") <= 1
            assert faults == []
            await sock.close()

    curio_world.run(main)


def test_refusal_reaches_a_caller_that_still_sends():
    async def main():
        async with serving(body_bytes=10) as server:
            sock = await connect(server)
            await sock.sendall(POST + b"content-length: 500000\r\n\r\n" + b"x" * 500_000)
            await sock.shutdown(socket.SHUT_WR)
            received, was_reset = await read_all(sock)
            assert not was_reset
            assert json.loads(split(received)[2])["error"]["code"] == "body_too_large"
            await sock.close()

    curio_world.run(main)


def test_head_has_the_length_and_no_body():
    async def main():
        async with serving() as server:
            answer = await talk(
                server, b"HEAD /ab HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            )
            status, head, body = split(answer)
            assert (status, body) == (200, b"")
            assert b"content-length: 3" in head

    curio_world.run(main)


def test_connections_beyond_the_limit_get_503():
    async def main():
        async with serving(connections=2) as server:
            held = [await connect(server) for _ in range(2)]
            await curio_world.until(lambda: server.connections == 2)
            status, head, body = split(await talk(server, GET + b"\r\n"))
            assert status == 503
            assert b"medlar-outcome: not_run" in head
            assert b"another entry host" in body
            await held[0].close()
            await curio_world.until(lambda: server.connections == 1)
            assert (await talk(server, GET + b"connection: close\r\n\r\n")).startswith(HEAD)
            await held[1].close()

    curio_world.run(main)


def test_refusals_are_bounded_and_end_with_the_server(monkeypatch):
    monkeypatch.setattr(http_server, "_MAX_REFUSALS", 2)

    async def main():
        async with serving(connections=0, linger_s=LONG_S) as server:
            refused = [await connect(server) for _ in range(2)]
            for sock in refused:
                await read_until(sock, b"another entry host")
            with pytest.raises(ConnectionResetError):  # Raised by the connect or by the read.
                beyond = await connect(server)
                await beyond.recv(1)
            await server.close(within_s=0)
            assert server._refusal_by_connection == {}
            for sock in refused:
                await sock.close()

    curio_world.run(main)


def test_silent_connection_is_closed_without_an_answer():
    async def main():
        async with serving(idle_s=0.1) as server:
            assert await talk(server, b"") == b""
            await curio_world.until(lambda: server.connections == 0)

    curio_world.run(main)


def test_unexpected_exception_is_answered_and_reported():
    async def fail(exchange):
        raise ValueError("secret detail")

    async def main():
        faults = []
        async with serving(fail, faults=faults) as server:
            answer = await talk(server, GET + b"connection: close\r\n\r\n")
            assert split(answer)[0] == 500
            assert b"secret detail" not in answer
            assert b"may_have_run" in answer
            assert isinstance(faults[0], ValueError)

    curio_world.run(main)


@pytest.mark.parametrize("headers", [{}, {"content-length": "100"}])
@pytest.mark.parametrize("ending", ["abort", "raise", "return"])
def test_unfinished_response_never_looks_complete(headers, ending):
    async def handler(exchange):
        await exchange.begin(200, headers)
        await exchange.send(b"part")
        if ending == "abort":
            await exchange.abort()
        if ending == "raise":
            raise ValueError

    async def main():
        faults = []
        async with serving(handler, faults=faults) as server:
            sock = await connect(server)
            await sock.sendall(b"GET / HTTP/1.0\r\n\r\n" if not headers else GET + b"\r\n")
            received, was_reset = await read_all(sock)
            assert was_reset
            assert b"\r\n0\r\n\r\n" not in received
            await sock.close()

    curio_world.run(main)


def test_response_shorter_than_its_declared_length_is_reset():
    async def handler(exchange):
        await exchange.begin(200, {"content-length": "100"})
        await exchange.send(b"part")
        await exchange.finish()

    async def main():
        faults = []
        async with serving(handler, faults=faults) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            assert (await read_all(sock))[1]
            assert len(faults) == 1
            await sock.close()

    curio_world.run(main)


def test_chunks_are_sent_at_once_and_terminated():
    proceed = []

    async def handler(exchange):
        event = curio.Event()
        proceed.append(event)
        await exchange.begin(200, {})
        await exchange.send(b"one")
        await event.wait()
        await exchange.finish()

    async def main():
        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            received = await read_until(sock, b"one\r\n")
            assert b"transfer-encoding: chunked" in received.lower()
            await proceed[0].set()
            assert (await read_until(sock, b"0\r\n\r\n")).endswith(b"0\r\n\r\n")
            await sock.close()

    curio_world.run(main)


@pytest.mark.parametrize(("version", "headers"), [(b"1.1", {"content-length": "7"}), (b"1.0", {})])
def test_parts_of_an_unchunked_body_are_sent_unchanged(version, headers):
    async def handler(exchange):
        await exchange.begin(200, headers)
        await exchange.send(b"one")
        await exchange.send(b"more")
        await exchange.finish()

    async def main():
        async with serving(handler) as server:
            request = b"GET / HTTP/%b\r\nhost: x\r\nconnection: close\r\n\r\n" % version
            assert split(await talk(server, request))[2] == b"onemore"

    curio_world.run(main)


def test_a_chunk_of_a_cancelled_send_is_completed_before_the_next_one():
    size = 8 * 1024 * 1024
    waiting = []

    async def handler(exchange):
        await exchange.begin(200, {})
        sender = await curio.spawn(exchange.send, b"a" * size)
        await curio_world.until(lambda: sender.state == "WRITE_WAIT")
        await sender.cancel()
        waiting.append(True)
        await exchange.send(b"b")
        await exchange.finish()

    async def main():
        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"connection: close\r\n\r\n")
            await curio_world.until(lambda: waiting)
            received, _ = await read_all(sock)
            chunks = b"%x\r\n%b\r\n1\r\nb\r\n0\r\n\r\n" % (size, b"a" * size)
            assert split(received)[2] == chunks
            await sock.close()

    curio_world.run(main)


def test_sending_after_the_end_is_an_error():
    async def handler(exchange):
        await exchange.begin(200, {})
        await exchange.finish()
        await exchange.send(b"late")

    async def main():
        faults = []
        async with serving(handler, faults=faults) as server:
            answer = await talk(server, GET + b"connection: close\r\n\r\n")
            assert b"late" not in answer
            assert len(faults) == 1

    curio_world.run(main)


def watched(gone, entered):
    async def handler(exchange):
        await exchange.read_body()
        await exchange.begin(200, {})
        await exchange.send(b"part")
        watcher = await curio.spawn(exchange.wait_caller_gone)
        entered.append(exchange)
        await watcher.join()
        gone.append(exchange)

    return handler


@pytest.mark.parametrize("how", ["close", "reset", "close behind many bytes"])
def test_caller_disconnect_is_detected(how):
    async def main():
        gone, entered = [], []
        async with serving(watched(gone, entered)) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            await read_until(sock, b"part")
            await curio_world.until(lambda: entered)
            if how == "close behind many bytes":
                await sock.sendall(b"x" * 90_000)
            if how == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            assert not gone
            await sock.close()
            await curio_world.until(lambda: gone)

    curio_world.run(main)


def test_watching_the_caller_keeps_the_next_request():
    async def handler(exchange):
        watcher = await curio.spawn(exchange.wait_caller_gone)
        if exchange.head.path == "/1":
            await curio_world.until(lambda: exchange._h11.trailing_data[0])
        await watcher.cancel()
        await exchange.respond(200, {}, exchange.head.path.encode())

    async def main():
        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\n")
            await curio_world.until(lambda: server.exchanges == 1)
            await sock.sendall(b"GET /2 HTTP/1.1\r\nhost: x\r\n\r\n")
            await read_until(sock, b"/2")
            await sock.close()

    curio_world.run(main)


def test_caller_that_does_not_read_is_reset():
    async def handler(exchange):
        await exchange.begin(200, {})
        while True:
            await exchange.send(b"x" * 65536)

    async def main():
        async with serving(handler, stall_s=0.1) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            await curio_world.until(lambda: server.exchanges == 1)
            await curio_world.until(lambda: server.connections == 0)
            await sock.close()

    curio_world.run(main)


def test_close_lets_an_exchange_finish_and_closes_idle_connections():
    async def main():
        release = curio.Event()

        async def handler(exchange):
            await release.wait()
            await exchange.respond(200, {}, b"whole")

        server = http_server.HttpServer(handler, host="127.0.0.1", port=0)
        await server.start()
        idle = await connect(server)
        busy = await connect(server)
        await busy.sendall(GET + b"\r\n" + GET + b"\r\n")
        await curio_world.until(lambda: server.exchanges == 1 and server.connections == 2)
        closing = await curio.spawn(functools.partial(server.close, within_s=LONG_S))
        assert await read_all(idle) == (b"", False)
        with pytest.raises(ConnectionRefusedError):
            await connect(server)
        assert server.exchanges == 1
        await release.set()
        received, was_reset = await read_all(busy)
        assert not was_reset
        assert received.endswith(b"whole")
        assert received.count(HEAD) == 1
        assert b"connection: close" in received.lower()
        await busy.close()
        await idle.close()
        await closing.join()
        assert server.connections == 0

    curio_world.run(main)


def test_close_serves_connections_in_the_backlog():
    async def main():
        async with serving(linger_s=0.05) as server:
            await (await connect(server)).close()
            await curio_world.until(lambda: server.connections == 0)
            host, port = server.address.removeprefix("http://").split(":")
            # Nothing is awaited until the close, so that the server can't accept before it.
            waiting = [socket.create_connection((host, int(port))) for _ in range(3)]
            for sock in waiting:
                sock.sendall(GET + b"\r\n")
            await server.close(within_s=LONG_S)
            for sock in map(curio.io.Socket, waiting):
                received, was_reset = await read_all(sock)
                assert received.startswith(HEAD)
                assert not was_reset
                await sock.close()

    curio_world.run(main)


def test_close_lets_a_stream_finish_and_ends_its_connection():
    async def main():
        release = curio.Event()

        async def handler(exchange):
            await exchange.begin(200, {})
            await exchange.send(b"one")
            await release.wait()
            await exchange.send(b"two")
            await exchange.finish()

        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            await read_until(sock, b"one")
            closing = await curio.spawn(functools.partial(server.close, within_s=LONG_S))
            await curio_world.until(lambda: server._listener is None)
            await release.set()
            received, was_reset = await read_all(sock)
            assert not was_reset
            assert received.endswith(b"two\r\n0\r\n\r\n")
            await sock.close()
            await closing.join()

    curio_world.run(main)


def test_close_resets_exchanges_that_exceed_the_timeout():
    async def main():
        gone, entered = [], []
        async with serving(watched(gone, entered)) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n")
            await curio_world.until(lambda: entered)
            await server.close(within_s=0.05)
            received, was_reset = await read_all(sock)
            assert was_reset
            assert b"\r\n0\r\n\r\n" not in received
            await sock.close()

    curio_world.run(main)


FRAGMENTS = strategies.sampled_from(
    [
        *(b"GET / HTTP/1.1\r\n", b"POST /a HTTP/1.1\r\n", b"host: x\r\n", b"\r\n", b"\n", b" "),
        *(b"content-length: 5\r\n", b"transfer-encoding: chunked\r\n", b"5\r\nhello\r\n"),
        *(b"0\r\n\r\n", b"hello", b"expect: 100-continue\r\n", b"connection: close\r\n"),
        *(b"HTTP/1.0", b"upgrade: h2c\r\n", b"content-length: 99999999999999999999\r\n"),
    ]
)


@hypothesis.settings(max_examples=150)
@hypothesis.given(strategies.lists(strategies.one_of(FRAGMENTS, strategies.binary(max_size=20))))
def test_any_bytes_are_answered_or_closed(parts):
    async def main():
        faults = []
        async with serving(faults=faults, header_s=0.5, body_s=0.5) as server:
            sock = await connect(server)
            with contextlib.suppress(OSError):
                for part in parts:
                    await sock.sendall(part)
                await sock.shutdown(socket.SHUT_WR)
            received, _ = await read_all(sock)
            assert received == b"" or received.startswith(b"HTTP/1.1 ")
            await sock.close()
            assert (await talk(server, GET + b"connection: close\r\n\r\n")).startswith(HEAD)
            assert faults == []

    curio_world.run(main)


def test_connections_made_before_the_server_started_are_served():
    listening = listener.open_address("127.0.0.1:0")
    address = listening.getsockname()
    early = socket.create_connection(address, timeout=LONG_S)
    early.sendall(b"GET /early HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

    async def main():
        server = http_server.HttpServer(
            echo, host="127.0.0.1", port=address[1], listening=listening
        )
        await server.start()
        received = await curio.run_in_thread(early.makefile("rb").read)
        await server.close(within_s=0.5)
        return received

    received = curio.run(main)
    early.close()
    assert received.startswith(HEAD)
    assert received.endswith(b"/early")


# Guards against: an outcome header whose value the rest of the product does not know.
def test_the_servers_own_outcomes_are_those_of_requests():
    assert _http_messages.NOT_RUN == request.Outcome.NOT_RUN
    assert _http_messages.MAY_HAVE_RUN == request.Outcome.MAY_HAVE_RUN


PARTS = {
    "head": (GET, b"\r\n"),
    "body": (POST + b"content-length: 10\r\n\r\nabc", b"defghij"),
}


# Guards against: incomplete requests whose connections a closing server reset.
@pytest.mark.parametrize("part", PARTS)
def test_close_refuses_a_request_that_is_incomplete_at_the_end(part):
    async def main():
        async with serving() as server:
            sock = await connect(server)
            await sock.sendall(PARTS[part][0])
            await curio_world.until(lambda: any(c.busy for c in server._task_by_connection))
            await server.close(within_s=0.05)
            received, was_reset = await read_all(sock)
            assert not was_reset
            status, head, body = split(received)
            assert status == 503
            assert b"medlar-outcome: not_run" in head
            assert json.loads(body)["error"]["code"] == "draining"
            await sock.close()

    curio_world.run(main)


# Guards against: a request that arrived in parts while the server closed its idle connections, and
# that was read and then taken for one whose caller had gone.
@pytest.mark.parametrize("part", PARTS)
def test_close_serves_a_request_that_crosses_it(monkeypatch, part):
    async def main():
        gone, is_sent = [], []

        async def handler(exchange):
            await exchange.read_body()
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(curio.sleep, 0.05)
                watching = await group.spawn(exchange.wait_caller_gone)
            gone.append(group.completed is watching)
            await exchange.respond(200, {}, b"whole")

        async with serving(handler) as server:
            sock = await connect(server)
            await curio_world.until(lambda: server.connections == 1)
            stop_accepting = server._stop_accepting

            async def send_meanwhile():
                await stop_accepting()
                if not is_sent:
                    is_sent.append(sock._socket.send(PARTS[part][0]))

            monkeypatch.setattr(server, "_stop_accepting", send_meanwhile)
            closing = await curio.spawn(functools.partial(server.close, within_s=LONG_S))
            await curio_world.until(lambda: is_sent)
            await sock.sendall(PARTS[part][1])
            received, was_reset = await read_all(sock)
            assert not was_reset
            assert received.startswith(HEAD)
            assert gone == [False]
            await sock.close()
            await closing.join()

    curio_world.run(main)


# Guards against: a request that was read behind another one, and that a closing server dropped
# though the answer before it had not announced the close.
def test_close_serves_a_pipelined_request_behind_an_answer_that_has_begun():
    async def main():
        release = curio.Event()

        async def handler(exchange):
            await exchange.begin(200, {})
            await release.wait()
            await exchange.finish()

        async with serving(handler) as server:
            sock = await connect(server)
            await sock.sendall(GET + b"\r\n" + GET + b"\r\n")
            received = await read_until(sock, HEAD)
            closing = await curio.spawn(functools.partial(server.close, within_s=LONG_S))
            await curio_world.until(lambda: server._listener is None)
            await release.set()
            rest, was_reset = await read_all(sock)
            assert not was_reset
            assert (received + rest).count(HEAD) == 2
            assert b"connection: close" in rest.lower()
            await sock.close()
            await closing.join()

    curio_world.run(main)
