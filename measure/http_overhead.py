"""Measure what a forwarder made of the HTTP server and client adds to a direct call.

Three roles run as processes of their own: a stand-in upstream, a forwarder that decides nothing,
and this process, which sends the load. Run ``python -m measure.http_overhead``.
"""

from __future__ import annotations

import dataclasses
import statistics
import subprocess
import sys
import time

import curio
import psutil

from medlarfork.http import http_client, http_server

BODY = b'{"model": "m", "messages": [{"role": "user", "content": "' + b"x" * 400 + b'"}]}'
"""Body of every request, about 0.5 KB."""

ANSWER = b'{"choices": [{"message": {"content": "' + b"y" * 900 + b'"}}]}'
"""Body of every answer, about 1 KB."""

SEQUENTIAL_REQUESTS = 1500
"""Requests of the run that measures latency, to each address, in alternating blocks."""

BLOCK = 100
"""Requests of one block."""

CONNECTIONS = 16
"""Connections of the run that measures throughput."""

STREAM_PATH = "/stream"
"""Path that is answered with a stream."""

STREAM_CHUNKS = 200
"""Chunks of one stream."""

STREAM_PAUSE_S = 0.002
"""Pause between the chunks of a stream, in seconds."""

CHUNK = b'data: {"choices": [{"delta": {"content": "word"}}]}\n\n'
"""One chunk of a stream."""

THROUGHPUT_S = 4.0
"""Length of the run that measures throughput, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Hold quantiles of one address, in milliseconds."""

    median_ms: float
    p99_ms: float


async def answer(exchange: http_server.Exchange) -> None:
    """Answer as the stand-in upstream does."""
    await exchange.read_body()
    if exchange.head.path != STREAM_PATH:
        await exchange.respond(200, {"content-type": "application/json"}, ANSWER)
        return
    await exchange.begin(200, {"content-type": "text/event-stream"})
    for _ in range(STREAM_CHUNKS):
        await exchange.send(CHUNK)
        await curio.sleep(STREAM_PAUSE_S)
    await exchange.finish()


async def serve(role: str, upstream: str) -> None:
    """Run a role until its standard input ends."""
    client = http_client.HttpClient()
    await client.start()

    async def _forward(exchange: http_server.Exchange) -> None:
        head = exchange.head
        body = await exchange.read_body()
        response = await client.request(upstream, head.method, head.path, head.headers, body)
        if head.path != STREAM_PATH:
            await exchange.respond(response.status, response.headers, await response.read())
            return
        await exchange.begin(response.status, response.headers)
        async for part in response.chunks():
            await exchange.send(part)
        await exchange.finish()

    handler = answer if role == "upstream" else _forward
    server = http_server.HttpServer(handler, host="127.0.0.1", port=0)
    await server.start()
    print(server.address, flush=True)
    await curio.run_in_thread(sys.stdin.read)
    await client.close()
    await server.close(within_s=1.0)


def start_role(role: str, upstream: str = "") -> tuple[subprocess.Popen[str], str]:
    """Start a role as a process and return it with its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "measure.http_overhead", role, upstream],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    return process, process.stdout.readline().strip()


async def call(client: http_client.HttpClient, address: str) -> float:
    """Send one request and return how long its whole answer took, in milliseconds."""
    began_at = time.perf_counter()
    response = await client.request(address, "POST", "/v1/chat/completions", {}, BODY)
    body = await response.read()
    assert response.status == 200
    assert body == ANSWER
    return (time.perf_counter() - began_at) * 1000


async def measure_latency(
    client: http_client.HttpClient, addresses: tuple[str, ...]
) -> list[Latency]:
    """Call the addresses in alternating blocks, so that both meet the same conditions."""
    times_by_address: dict[str, list[float]] = {address: [] for address in addresses}
    for _ in range(SEQUENTIAL_REQUESTS // BLOCK):
        for address, times in times_by_address.items():
            for _ in range(BLOCK):
                times.append(await call(client, address))
    return [summarize(times[BLOCK:]) for times in times_by_address.values()]


def summarize(times: list[float]) -> Latency:
    """Return the quantiles of some times."""
    return Latency(statistics.median(times), statistics.quantiles(times, n=100)[98])


async def measure_throughput(client: http_client.HttpClient, address: str) -> float:
    """Return whole answers a second over all connections."""
    stop_at = time.perf_counter() + THROUGHPUT_S
    done = 0

    async def _loop() -> None:
        nonlocal done
        while time.perf_counter() < stop_at:
            await call(client, address)
            done += 1

    async with curio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            await group.spawn(_loop)
    return done / THROUGHPUT_S


async def measure_streams(client: http_client.HttpClient, address: str) -> int:
    """Read one stream on each connection and return how many writes they arrived in."""
    reads = 0

    async def _read() -> None:
        nonlocal reads
        response = await client.request(address, "POST", STREAM_PATH, {}, BODY)
        size = 0
        async for part in response.chunks():
            reads += 1
            size += len(part)
        assert size == STREAM_CHUNKS * len(CHUNK)

    async with curio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            await group.spawn(_read)
    return reads


def cpu_seconds(process: psutil.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = process.cpu_times()
    return times.user + times.system


async def run_load(direct: str, forwarded: str, forwarder: psutil.Process) -> None:
    """Measure and print."""
    client = http_client.HttpClient()
    await client.start()
    plain, through = await measure_latency(client, (direct, forwarded))
    print(f"direct     median {plain.median_ms:.3f} ms   p99 {plain.p99_ms:.3f} ms")
    print(f"forwarded  median {through.median_ms:.3f} ms   p99 {through.p99_ms:.3f} ms")
    added = through.median_ms - plain.median_ms
    print(f"added      median {added:.3f} ms   p99 {through.p99_ms - plain.p99_ms:.3f} ms")
    before = cpu_seconds(forwarder)
    rate = await measure_throughput(client, forwarded)
    used = cpu_seconds(forwarder) - before
    print(f"throughput {rate:.0f} requests/s at {CONNECTIONS} connections")
    print(f"forwarder  {used / (rate * THROUGHPUT_S) * 1e6:.0f} us of processor time a request")
    before = cpu_seconds(forwarder)
    reads = await measure_streams(client, forwarded)
    used = cpu_seconds(forwarder) - before
    chunks = CONNECTIONS * STREAM_CHUNKS
    print(f"streams    {used / chunks * 1e6:.0f} us of processor time a chunk")
    print(f"streams    {chunks} chunks read in {reads} parts")
    print(f"forwarder  {forwarder.memory_info().rss / 2**20:.1f} MiB resident")
    await client.close()


def main() -> None:
    """Start the roles, measure, print, and stop the roles."""
    if len(sys.argv) > 1:
        curio.run(serve, sys.argv[1], sys.argv[2])
        return
    upstream, direct = start_role("upstream")
    forwarder, forwarded = start_role("forwarder", direct)
    try:
        curio.run(run_load, direct, forwarded, psutil.Process(forwarder.pid))
    finally:
        for process in (forwarder, upstream):
            process.terminate()
            process.wait()


if __name__ == "__main__":
    main()
