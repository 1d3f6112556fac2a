"""Streams to callers that read slowly, over sockets of a complete deployment."""

import dataclasses
import re
import socket

import curio
import pytest
from curio import traps

from medlarfork.gateway import gateway_program
from tests import curio_world
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


async def _read_some(caller):
    """Return what has arrived, after it has let other tasks run."""
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # Takes far fewer reads.
    await curio.sleep(0)
    return await caller.recv(1 << 20)


async def _read_all(caller):
    """Return the bytes until the end of the chunked response or of the connection."""
    received = bytearray()
    while not received.endswith(b"0\r\n\r\n"):
        try:
            data = await _read_some(caller)
        except ConnectionResetError:
            break
        if not data:
            break
        received += data
    return bytes(received)


@pytest.fixture
def patient_host(monkeypatch):
    """Let callers read nothing for longer, as a busy machine delays what a test does meanwhile."""
    limits = dataclasses.replace(gateway_program.CALLER_LIMITS, stall_s=60.0, unacknowledged_s=60.0)
    monkeypatch.setattr(gateway_program, "CALLER_LIMITS", limits)


async def _start(deployment, answer=_stream_to_reader, *, route=None, **sizes):
    await deployment.stop_entry(deployment.entry)
    await deployment.start_entry(**sizes)
    upstream = await deployment.add_upstream(answer)
    await deployment.put_routing(**{"timeout_ms": 12_000} | (route or {}))
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


async def _stream_without_end(exchange):
    headers = routed_harness.echo_headers(exchange, **{"content-type": "text/event-stream"})
    await exchange.begin(200, headers)
    while True:
        await exchange.send(EVENT)


async def _writing_tasks():
    """Return the tasks that write what is held, of all streams."""
    kernel = await traps._get_kernel()
    return [task for task in kernel._tasks.values() if "CallerBuffer" in task.coro.__qualname__]


def _logged(caplog, name):
    return [record for record in caplog.records if name in record.getMessage()]


# Guards against: a buffer that grows beyond its limit, and a caller's leave, a deadline or a stop
# that leaves the upstream at work, bytes counted as held, or a task behind.
@pytest.mark.parametrize("end", ["caller leaves", "caller never reads", "deadline", "host stops"])
def test_the_end_of_a_paused_stream_releases_everything(tmp_path, caplog, monkeypatch, end):
    if end == "caller never reads":
        limits = dataclasses.replace(gateway_program.CALLER_LIMITS, stall_s=1.0)
        monkeypatch.setattr(gateway_program, "CALLER_LIMITS", limits)

    async def main(deployment):
        route = {"timeout_ms": 1500} if end == "deadline" else {}
        upstream = await _start(deployment, _stream_without_end, route=route, memory_mb=90.0)
        caller = await _open_caller(deployment)
        budget = deployment.entry._budget
        await curio_world.until(lambda: _logged(caplog, "reader_slow"))
        assert budget.stream_bytes <= budget.held_bytes < budget.stream_bytes + 100_000
        rendered = deployment.entry._metrics.process._render().decode()
        assert f"medlar_held_bytes {float(budget.held_bytes)}" in rendered
        match end:
            case "caller leaves":
                await caller.close()
            case "host stops":
                await deployment.entry._server.close(within_s=0.1)
        await curio_world.until(lambda: upstream.cancelled == 1)
        await curio_world.until(lambda: not deployment.entry._server.exchanges)
        assert budget.held_bytes == 0
        assert not await _writing_tasks()
        await caller.close()

    with caplog.at_level("INFO"):
        routed_harness.run(tmp_path, main, replicas=1)
    assert len(_logged(caplog, "reader_slow")) == 1


# Guards against: held events that are lost, repeated or reordered when the upstream breaks, and a
# resumption that starts after the last event that was written instead of the last one held.
@pytest.mark.parametrize("may_resume", [True, False])
def test_a_broken_stream_delivers_what_is_held(tmp_path, patient_host, may_resume):
    async def main(deployment):
        is_broken = curio.Event()

        async def answer(exchange):
            headers = routed_harness.echo_headers(exchange, **{"content-type": "text/event-stream"})
            first = int(exchange.head.headers.get("last-event-id", "-1")) + 1
            await exchange.begin(200, headers)
            for number in range(first, 700 if first else 600):
                await exchange.send(b"id: %d\n" % number + EVENT)
            if first:
                await exchange.finish()
            else:
                await exchange.wait_received()  # A reset discards what is still to be sent.
                await is_broken.set()

        route = {"kind": "streaming", "max_attempts": 2, "may_resume": may_resume}
        route["timeout_ms"] = 60_000
        await _start(deployment, answer, route=route, memory_mb=4000.0)
        await deployment.add_upstream(answer)
        await deployment.until_upstreams(2)
        caller = await _open_caller(deployment)
        await is_broken.wait()
        await curio.sleep(0.3)
        assert deployment.entry._budget.held_bytes > 100 * len(EVENT)
        received = b""
        while deployment.entry._budget.held_bytes:
            received += await _read_some(caller)
        await curio.sleep(0.3)  # A reset would discard what the system has not sent yet.
        received += await _read_all(caller)
        await caller.close()
        ids = [int(found) for found in re.findall(rb"id: (\d+)\n", received)]
        assert ids == list(range(700 if may_resume else 600))
        assert received.endswith(b"0\r\n\r\n") == may_resume

    routed_harness.run(tmp_path, main, replicas=1)


# Guards against: a stopping host that cuts responses which it could deliver in the grace period.
def test_a_stopping_host_delivers_what_it_holds(tmp_path, patient_host):
    async def main(deployment):
        is_sent = curio.Event()

        async def answer(exchange):
            headers = routed_harness.echo_headers(exchange, **{"content-type": "text/event-stream"})
            await exchange.begin(200, headers)
            for _ in range(600):
                await exchange.send(EVENT)
            await exchange.finish()
            await is_sent.set()

        await _start(deployment, answer, route={"timeout_ms": 60_000}, memory_mb=4000.0)
        caller = await _open_caller(deployment)
        await is_sent.wait()
        assert await _writing_tasks()
        assert deployment.entry._budget.held_bytes > len(EVENT)
        stopping = await curio.spawn(lambda: deployment.entry._server.close(within_s=15.0))
        await curio.sleep(1.0)  # A host that doesn't use its grace period cuts the response now.
        received = await _read_all(caller)
        await caller.close()
        assert (received.count(EVENT), received[-5:]) == (600, b"0\r\n\r\n")
        await stopping.join()

    routed_harness.run(tmp_path, main, replicas=1)


# Guards against: whole responses that take memory which the budget gives to streams a second time.
def test_a_response_that_is_read_whole_counts_as_held(tmp_path):
    async def answer(exchange):
        await exchange.respond(200, routed_harness.echo_headers(exchange), EVENT * EVENTS)

    async def main(deployment):
        await _start(deployment, answer, memory_mb=90.0)
        caller = await _open_caller(deployment)
        budget = deployment.entry._budget
        await curio_world.until(lambda: budget.held_bytes == len(EVENT) * EVENTS)
        await caller.close()
        await curio_world.until(lambda: budget.held_bytes == 0)

    routed_harness.run(tmp_path, main, replicas=1)
