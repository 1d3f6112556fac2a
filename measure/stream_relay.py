"""Measure what an entry host spends on each token of the streams that it relays.

A whole small deployment runs on loopback: one control replica, one entry host and one stand-in
engine, whose streams this process reads. Run ``python -m measure.stream_relay``.
"""

from __future__ import annotations

import dataclasses
import os
import statistics
import time

import curio
from examples import local_deployment, local_processes

from measure import _deployment
from medlarfork.http import http_client

_KEY = {"Authorization": "Bearer bazar-catalogo-key", "Content-Type": "application/json"}
_BODY = (
    b'{"model": "avaliador", "stream": true, "max_tokens": %d,'
    b' "messages": [{"role": "user", "content": "Quanto vale?"}]}'
)
_STREAMS = 48
_TOKENS = 200
_TOKEN_S = 0.02
_LOAD_S = 8.0
_ENTRY = "entry-1"
_ENGINE_FLAGS = {
    "labels": "service=avaliador,pool=b",
    "models": "avaliador",
    "slots": str(_STREAMS),
    "first_token_s": "0.02",
    "token_s": str(_TOKEN_S),
    "batch_slowdown": "0.0",
}


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRelay:
    """Hold the figures of one run.

    Attributes:
        streams: Whole streams read.
        tokens_per_s: Events relayed a second, over all streams.
        token_us: The entry host's processor time an event, in microseconds.
        gap_median_ms: Median time between two reads of one stream, in milliseconds.
        gap_p99_ms: The 99th percentile of that time, in milliseconds.
        load_average: Load average of the machine over the last minute, at the end.
    """

    streams: int
    tokens_per_s: float
    token_us: float
    gap_median_ms: float
    gap_p99_ms: float
    load_average: float


class _Reader:
    """Read streams until its time is over, and count what came."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stop_at = time.perf_counter() + _LOAD_S
        self._client = http_client.HttpClient()
        self.streams = 0
        self.events = 0
        self.gaps_ms: list[float] = []

    async def run(self) -> None:
        """Keep all streams busy."""
        await self._client.start()
        async with curio.TaskGroup() as group:
            for _ in range(_STREAMS):
                await group.spawn(self._loop)
        await self._client.close()

    async def _loop(self) -> None:
        while time.perf_counter() < self._stop_at:
            await self._read_one()

    async def _read_one(self) -> None:
        response = await self._client.request(
            self._address, "POST", "/v1/chat/completions", _KEY, _BODY % _TOKENS
        )
        if response.status != 200:
            raise RuntimeError(f"{response.status}: {await response.read()!r}")
        before = time.perf_counter()
        while part := await response.next_chunk():
            now = time.perf_counter()
            self.gaps_ms.append((now - before) * 1000)
            before = now
            self.events += part.count(b"\n\n")
        self.streams += 1


def main() -> StreamRelay:
    """Run the deployment, measure and print."""
    with _deployment.running(controls=1, entries=1) as (local, processes):
        figures = _measure(local, processes)
    _print(figures)
    return figures


def _measure(
    local: local_deployment.LocalDeployment, processes: local_processes.LocalProcesses
) -> StreamRelay:
    local.start_system()
    # The example's limits would refuse what this measurement sends.
    _deployment.declare_example(
        local,
        {
            "limits = { concurrent = 32, tokens_per_minute = 200000 }": "",
            "slots = 8\n": f"slots = {_STREAMS}\n",
        },
    )
    engine = local_deployment.Standin("engine-1", "medlar-standin-engine", _ENGINE_FLAGS)
    local.start_standin(engine)
    local.wait_for_upstreams([engine.name])
    reader = _Reader(local.address(_ENTRY))
    pid = processes.pid(_ENTRY)
    before_s = local_processes.processor_seconds(pid)
    began_at = time.perf_counter()
    curio.run(reader.run)
    took_s = time.perf_counter() - began_at
    spent_s = local_processes.processor_seconds(pid) - before_s
    return StreamRelay(
        reader.streams,
        reader.events / took_s,
        spent_s / reader.events * 1e6,
        statistics.median(reader.gaps_ms),
        statistics.quantiles(reader.gaps_ms, n=100)[98],
        os.getloadavg()[0],
    )


def _print(figures: StreamRelay) -> None:
    print(
        f"{figures.streams} streams of {_TOKENS} tokens, {_STREAMS} at once,"
        f" a token every {_TOKEN_S * 1000:.0f} ms from the engine"
    )
    print(f"relayed {figures.tokens_per_s:.0f} events/s")
    print(f"entry host {figures.token_us:.1f} us of processor time an event")
    print(
        f"time between events  median {figures.gap_median_ms:.2f} ms"
        f"   p99 {figures.gap_p99_ms:.2f} ms"
    )
    print(f"load average {figures.load_average:.2f}")


if __name__ == "__main__":
    main()
