"""Measure what an entry host adds to a request, and what the processes cost idle and at load.

A whole small deployment runs on loopback: 3 control replicas, 2 entry hosts, one plain service.
One entry host owns the service's pool; a request through the other one takes a hop to the owner.
Run ``python -m measure.entry_overhead``.
"""

from __future__ import annotations

import dataclasses
import statistics
import time

import curio
from examples import local_deployment, local_processes

from measure import _deployment
from medlarfork.http import http_client

_KEY = {"Authorization": "Bearer bazar-loja-01-key"}
_ROUTED_PATH = "/services/balcao-app/item"
_DIRECT_PATH = "/item"
_SEQUENTIAL = 1500
_BLOCK = 100
_CONNECTIONS = 16
_LOAD_S = 5.0
_IDLE_S = 5.0
_CLIENTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Hold quantiles of the time of whole answers, in milliseconds."""

    median_ms: float
    p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Hold what one process costs.

    Attributes:
        idle_share: Share of one core while nothing is asked for.
        resident_mib: Resident memory after the load, in MiB.
        load_us: Processor time a request, in microseconds.
    """

    name: str
    idle_share: float
    resident_mib: float
    load_us: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryOverhead:
    """Hold the figures of one run.

    Attributes:
        requests_per_s: Whole answers a second through the owner, at 16 connections.
    """

    direct: Latency
    owner: Latency
    other: Latency
    requests_per_s: float
    costs: tuple[Cost, ...]


def main() -> EntryOverhead:
    """Run the deployment, measure and print."""
    with _deployment.running(controls=3, entries=2) as (local, processes):
        figures = _measure(local, processes)
    _print(figures)
    return figures


def _measure(
    local: local_deployment.LocalDeployment, processes: local_processes.LocalProcesses
) -> EntryOverhead:
    local.start_system()
    # Account limits would refuse what this measurement sends.
    _deployment.declare_example(local, {"limits = { concurrent = 64 }": ""})
    flags = {"labels": "service=balcao-app", "slots": "64"}
    standin = local_deployment.Standin("service-1", "medlar-standin-service", flags)
    local.start_standin(standin)
    local.wait_for_upstreams(["service-1"])
    owner, other = _owner_first(local)
    upstream = _upstream_address(local)
    names = (*local.control_names, *local.entry_names)
    idle = {name: _busy_share(processes.pid(name), _IDLE_S) for name in names}
    direct, by_owner, by_other = curio.run(
        _latencies, ((upstream, _DIRECT_PATH), (owner, _ROUTED_PATH), (other, _ROUTED_PATH))
    )
    before = {name: local_processes.processor_seconds(processes.pid(name)) for name in names}
    done = curio.run(_throughput, owner)
    costs = tuple(
        Cost(
            name,
            idle[name],
            local_processes.resident_bytes(processes.pid(name)) / 2**20,
            (local_processes.processor_seconds(processes.pid(name)) - before[name]) / done * 1e6,
        )
        for name in names
    )
    return EntryOverhead(direct, by_owner, by_other, done / _LOAD_S, costs)


def _owner_first(local: local_deployment.LocalDeployment) -> tuple[str, str]:
    names = sorted(local.entry_names, key=lambda name: -_slots_owned(local, name))
    return local.address(names[0]), local.address(names[1])


def _slots_owned(local: local_deployment.LocalDeployment, name: str) -> int:
    pools = local.entry_status(name)["pools"]
    return sum(item["slots"] for item in pools if item["pool"].startswith("balcao-app"))


def _upstream_address(local: local_deployment.LocalDeployment) -> str:
    for name in local.entry_names:
        for item in local.entry_status(name)["upstreams"]:
            return item["address"]
    raise TimeoutError("no upstream is known")


def _busy_share(pid: int, seconds: float) -> float:
    before = local_processes.processor_seconds(pid)
    time.sleep(seconds)
    return (local_processes.processor_seconds(pid) - before) / seconds


async def _latencies(targets: tuple[tuple[str, str], ...]) -> list[Latency]:
    """Call the targets in alternating blocks, so that all meet the same conditions."""
    client = http_client.HttpClient()
    await client.start()
    times_by_target: dict[tuple[str, str], list[float]] = {target: [] for target in targets}
    for _ in range(_SEQUENTIAL // _BLOCK):
        for target, times in times_by_target.items():
            for _ in range(_BLOCK):
                times.append(await _call(client, *target))
    await client.close()
    return [
        Latency(statistics.median(times[_BLOCK:]), statistics.quantiles(times[_BLOCK:], n=100)[98])
        for times in times_by_target.values()
    ]


async def _call(client: http_client.HttpClient, address: str, path: str) -> float:
    began_at = time.perf_counter()
    response = await client.request(address, "GET", path, _KEY, b"")
    body = await response.read()
    assert response.status == 200, body
    return (time.perf_counter() - began_at) * 1000


async def _throughput(address: str) -> int:
    client = http_client.HttpClient()
    await client.start()
    stop_at = time.perf_counter() + _LOAD_S
    done = 0

    async def _loop() -> None:
        nonlocal done
        while time.perf_counter() < stop_at:
            await _call(client, address, _ROUTED_PATH)
            done += 1

    async with curio.TaskGroup() as group:
        for _ in range(_CONNECTIONS):
            await group.spawn(_loop)
    await client.close()
    return done


def _print(figures: EntryOverhead) -> None:
    for name in ("direct", "owner", "other"):
        latency: Latency = getattr(figures, name)
        print(f"{name:8} median {latency.median_ms:.3f} ms   p99 {latency.p99_ms:.3f} ms")
    print(
        f"added by the owner   median {figures.owner.median_ms - figures.direct.median_ms:.3f} ms"
    )
    print(
        f"added by another     median {figures.other.median_ms - figures.direct.median_ms:.3f} ms"
    )
    print(f"throughput {figures.requests_per_s:.0f} requests/s at {_CONNECTIONS} connections")
    for cost in figures.costs:
        print(
            f"{cost.name:10} idle {cost.idle_share:6.2%} of a core   "
            f"{cost.resident_mib:5.1f} MiB resident   {cost.load_us:6.0f} us a request"
        )


if __name__ == "__main__":
    main()
