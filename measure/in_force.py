"""Measure how long an accepted change takes to be in force at every entry host.

Three control replicas and three entry hosts run on loopback, with real syncs and authenticated
links. Run ``python -m measure.in_force``.
"""

from __future__ import annotations

import dataclasses
import pathlib
import secrets
import statistics
import tempfile
import time

import curio
from examples import local_deployment, local_processes

from medlarfork import uuid7
from medlarfork.declared import configuration, configuration_file
from medlarfork.http import http_client
from medlarfork.operator import operator_client

_CHANGES = 200
_POLL_S = 0.001
_EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "bazar.toml"


@dataclasses.dataclass(frozen=True, slots=True)
class InForceTimes:
    """Hold times over all changes, in milliseconds."""

    accepted_median_ms: float
    accepted_p99_ms: float
    in_force_median_ms: float
    in_force_p99_ms: float


def main() -> InForceTimes:
    """Run the deployment, change the configuration, and print."""
    with (
        tempfile.TemporaryDirectory(prefix="medlarfork-in-force-") as folder,
        local_processes.local_processes() as processes,
    ):
        local = local_deployment.LocalDeployment(
            pathlib.Path(folder), processes, data_centres=("recife-hall",)
        )
        local.start_system()
        applied = local.apply(_EXAMPLE)
        if applied.status != 0:
            raise RuntimeError(applied.errors)
        addresses = [local.address(name) for name in local.control_names]
        times = curio.run(_measure, tuple(addresses))
    print(f"{_CHANGES} changes, 3 control replicas, 3 entry hosts")
    _print("accepted", times.accepted_median_ms, times.accepted_p99_ms)
    _print("in force", times.in_force_median_ms, times.in_force_p99_ms)
    return times


async def _measure(addresses: tuple[str, ...]) -> InForceTimes:
    client = http_client.HttpClient()
    await client.start()
    settings = operator_client.ClientSettings(
        addresses, operator="measure", operator_key=local_deployment.OPERATOR_KEY
    )
    operator = operator_client.OperatorClient(client, settings)
    declared = configuration_file.read(_EXAMPLE)
    accepted, in_force = [], []
    revision = (await operator.configuration()).revision
    for number in range(_CHANGES):
        changed = _change(declared, number)
        began = time.perf_counter()
        revision = (await operator.apply(_change_id(), revision, changed)).revision
        accepted.append((time.perf_counter() - began) * 1000)
        while (await operator.in_force(revision)).waiting:
            await curio.sleep(_POLL_S)
        in_force.append((time.perf_counter() - began) * 1000)
    await client.close()
    return InForceTimes(
        statistics.median(accepted),
        statistics.quantiles(accepted, n=100)[98],
        statistics.median(in_force),
        statistics.quantiles(in_force, n=100)[98],
    )


def _print(name: str, median_ms: float, p99_ms: float) -> None:
    print(f"{name}  median {median_ms:.1f} ms   p99 {p99_ms:.1f} ms")


def _change(declared: configuration.Configuration, number: int) -> configuration.Configuration:
    """Return the configuration with one account's weight changed."""
    first = dataclasses.replace(declared.accounts[0], weight=1.0 + number)
    return dataclasses.replace(declared, accounts=(first, *declared.accounts[1:]))


def _change_id() -> str:
    return uuid7.make(time.time_ns() // 1_000_000, secrets.token_bytes(uuid7.RANDOM_BYTES))


if __name__ == "__main__":
    main()
