"""Run every measurement, print its table, and keep tables, JSON and a plot under build/measure.

Run as ``python -m measure [--quick]``, or ``make measure``.
"""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import subprocess
import sys

import msgspec
from absl import flags

from measure import _plot, policy

_FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Take shorter samples.", flag_values=_FLAGS)

_FOLDER = pathlib.Path("build/measure")
_LIMIT_S = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Name one measurement.

    Attributes:
        module: Module of this package.
        scales: Whether it can be run with ``--quick``.
    """

    module: str
    scales: bool = False


PARTS = (
    Part("policy", scales=True),
    Part("pool_cost", scales=True),
    Part("entry_overhead"),
    Part("stream_relay"),
    Part("http_overhead"),
    Part("link_latency"),
    Part("control_throughput"),
    Part("in_force"),
    Part("log_recovery"),
    Part("capacity"),
    Part("star_traffic"),
    Part("entry_links"),
    Part("claim_table"),
    Part("owner_cost"),
)


def main(arguments: list[str]) -> int:
    """Run the parts one after the other; return 1 if one of them failed."""
    _FLAGS(arguments)
    _FOLDER.mkdir(parents=True, exist_ok=True)
    statuses = [_run(part, quick=_FLAGS.quick) for part in PARTS]
    return max(statuses)


def _run(part: Part, *, quick: bool) -> int:
    load = os.getloadavg()[0]
    print(f"\n== {part.module} (load average {load:.1f}) ==", flush=True)
    if part.module == "policy":
        text, status = _run_policy(quick=quick), 0
    else:
        text, status = _call(part.module, *(["--quick"] if quick and part.scales else []))
    print(text, flush=True)
    (_FOLDER / f"{part.module}.txt").write_text(f"load average {load:.1f}\n{text}")
    return status


def _run_policy(*, quick: bool) -> str:
    """Measure the policy once, and keep it as JSON and as a plot too."""
    results = policy.measure(quick=quick)
    encoded = msgspec.json.encode(results)
    (_FOLDER / "policy.json").write_bytes(msgspec.json.format(encoded))
    _plot.attainment(json.loads(encoded), _FOLDER / "policy.png")
    return "\n".join((policy.table(results), *policy.aims(results)))


def _call(module: str, *arguments: str) -> tuple[str, int]:
    done = subprocess.run(
        [sys.executable, "-m", f"measure.{module}", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_LIMIT_S,
        check=False,
    )
    return done.stdout, done.returncode


if __name__ == "__main__":
    sys.exit(main(sys.argv))
