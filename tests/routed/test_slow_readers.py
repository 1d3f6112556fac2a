"""Streams to callers that read slowly, over sockets of a complete deployment."""

import socket

import curio

from tests.routed import routed_harness

EVENT = b"data: " + b"x" * 16_000 + b"\n\n"
EVENTS = 1200
UNREAD_LIMIT_S = 1.0
CALLER_PAUSE_S = 2.0


async def _stream_to_reader(exchange):
    """Stream events; cut the response off once it stays unread for the limit."""
    headers = routed_harness.echo_headers(exchange, **{"content-type": "text/event-stream"})
    await exchange.begin(200, headers)
    for _ in range(EVENTS):
        try:
            await curio.timeout_after(UNREAD_LIMIT_S, exchange.send, EVENT)
        except curio.TaskTimeout:
            return
    await exchange.finish()


async def _open_caller(deployment):
    """Send a request over a connection with a small receive buffer; return its socket."""
    caller = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await caller.connect((f"{deployment.network}.50", routed_harness.ENTRY_PORT))
    lines = ["POST /p/x HTTP/1.1", "Host: a.example", "Medlar-Attempt: a", "Content-Length: 0"]
    await caller.sendall("\r\n".join([*lines, "", ""]).encode())
    return caller


async def _read_all(caller):
    """Return the bytes until the end of the chunked response or of the connection."""
    received = bytearray()
    while not received.endswith(b"0\r\n\r\n"):
        try:
            data = await caller.recv(1 << 20)
        except ConnectionResetError:
            break
        if not data:
            break
        received += data
    return bytes(received)


async def _start(deployment, answer=_stream_to_reader, **sizes):
    await deployment.entry.close()
    await deployment.start_entry(**sizes)
    upstream = await deployment.add_upstream(answer)
    await deployment.put_routing(timeout_ms=12_000)
    await deployment.until_upstreams(1)
    return upstream


# Guards against: a response that its upstream cuts off, because its caller does not read for a
# while and the host stops reading from the upstream.
def test_a_caller_that_pauses_receives_the_whole_response(tmp_path):
    async def main(deployment):
        await _start(deployment, memory_mb=4000.0)
        caller = await _open_caller(deployment)
        await curio.sleep(CALLER_PAUSE_S)
        received = await _read_all(caller)
        await caller.close()
        assert received.count(EVENT) == EVENTS
        assert received.endswith(b"0\r\n\r\n")

    routed_harness.run(tmp_path, main, replicas=1)
