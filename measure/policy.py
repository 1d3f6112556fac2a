"""Measure the pool's policy against its baselines in virtual time.

Run as ``python -m measure.policy [--quick] [--output=json]``.
"""

from __future__ import annotations

import dataclasses
import statistics
import sys

import msgspec
from absl import flags

from measure import _cases, _sides, _virtual

_FLAGS = flags.FlagValues()
flags.DEFINE_bool("quick", False, "Run shorter cases with 1 seed.", flag_values=_FLAGS)
flags.DEFINE_enum("output", "table", ["table", "json"], "What to print.", flag_values=_FLAGS)

_SEEDS = 5
_QUICK_SEEDS = 1
_OTHERS = "others"
"""Suffix of the row that leaves out the account that sends too much."""


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Hold the median and the extremes over the seeds."""

    median: float
    least: float
    most: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClassResult:
    """Hold one class's figures.

    Attributes:
        attainment: Share of the offered requests that met their target.
        of_idle: The same relative to what an idle engine would attain.
        shed: Share refused.
        slot_share: Share of all slot time that it held while the load lasted.
    """

    name: str
    attainment: Figure
    of_idle: Figure
    shed: Figure
    slot_share: Figure


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyResult:
    """Hold one policy's figures in one case.

    Attributes:
        goodput_per_s: Answers within target, a second.
        wasted: Share of the computed tokens that reached nobody.
        preemptions: Streams preempted in a run.
        first_token_s: Mean time to the first token of chat, in seconds.
        prefix_hits: Share of the attempts with a prefix that found it cached.
    """

    case: str
    policy: str
    protected: tuple[str, ...]
    overload: bool
    classes: tuple[ClassResult, ...]
    goodput_per_s: Figure
    wasted: Figure
    preemptions: Figure
    first_token_s: Figure
    prefix_hits: Figure


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """Hold the raw figures of one seed, by class name where they differ by class."""

    attainment: dict[str, float]
    of_idle: dict[str, float]
    shed: dict[str, float]
    slot_share: dict[str, float]
    goodput_per_s: float
    wasted: float
    preemptions: float
    first_token_s: float
    prefix_hits: float


def measure(*, quick: bool) -> tuple[PolicyResult, ...]:
    """Run every plan; a decision that must never be taken raises an error."""
    seeds = range(1, 1 + (_QUICK_SEEDS if quick else _SEEDS))
    return tuple(
        _summarise(plan, policy.name, [_run(plan.case, policy, seed) for seed in seeds])
        for plan in _cases.plans(quick=quick)
        for policy in plan.policies
    )


def table(results: tuple[PolicyResult, ...]) -> str:
    """Return the results as text: medians, and the extremes of the share of idle."""
    lines = []
    for result in results:
        head = (
            f"{result.case} | {result.policy}: goodput {result.goodput_per_s.median:.2f}/s, "
            f"wasted {result.wasted.median:.2%}, preemptions {result.preemptions.median:.0f}, "
            f"first token of chat {result.first_token_s.median:.3f} s"
        )
        if result.prefix_hits.median:
            head += f", prefix hits {result.prefix_hits.median:.1%}"
        lines.append(head)
        lines += [f"    {_class_line(row)}" for row in result.classes]
    return "\n".join(lines)


def aims(results: tuple[PolicyResult, ...]) -> tuple[str, ...]:
    """Return one line for each aim: what it is, the figure, and whether it is met."""
    naive_by_case = {row.case: row for row in results if row.policy == _cases.NAIVE}
    lines = []
    for result in results:
        if result.policy != _cases.CURRENT:
            continue
        checks = [
            (f"{row.name} of idle >= 0.99", row.of_idle.median, row.of_idle.median >= 0.99)
            for row in result.classes
            if row.name in result.protected
        ]
        checks.append(("wasted < 0.02", result.wasted.median, result.wasted.median < 0.02))
        if result.overload:
            naive = naive_by_case[result.case].goodput_per_s.median
            ratio = result.goodput_per_s.median / naive if naive else float("inf")
            checks.append(("goodput >= 1.5 x naive", ratio, ratio >= 1.5))
        lowest = result.classes[-1].slot_share.median
        checks.append(("lowest tier's slot share >= 0.045", lowest, lowest >= 0.045))
        for text, figure, met in checks:
            lines.append(f"{'met   ' if met else 'MISSED'} {result.case}: {text}: {figure:.4f}")
    return tuple(lines)


def main(arguments: list[str]) -> int:
    """Print the results."""
    _FLAGS(arguments)
    results = measure(quick=_FLAGS.quick)
    if _FLAGS.output == "json":
        print(msgspec.json.format(msgspec.json.encode(results)).decode())
        return 0
    print(table(results))
    print("\n".join(aims(results)))
    return 0


def _run(case: _virtual.Case, policy: _cases.Policy, seed: int) -> _Run:
    simulation = _virtual.Simulation(case, seed)
    simulation.side = policy.build(simulation)
    simulation.run()
    groups = {load.declared.name: _of_class(simulation, load) for load in case.loads}
    for load in case.loads:
        if load.hog_factor > 1:
            name = load.declared.name
            others = [item for item in groups[name] if item.account != "account-0"]
            groups[f"{name} {_OTHERS}"] = others
    met = {name: sum(_is_met(simulation, item) for item in rows) for name, rows in groups.items()}
    idle = {name: sum(_is_met_idle(item) for item in rows) for name, rows in groups.items()}
    owner = simulation.side
    return _Run(
        attainment={name: met[name] / len(rows) for name, rows in groups.items()},
        of_idle={name: met[name] / max(1, idle[name]) for name in groups},
        shed={name: _shed_share(simulation, rows) for name, rows in groups.items()},
        slot_share={name: _slot_share(simulation, rows) for name, rows in groups.items()},
        goodput_per_s=sum(met[load.declared.name] for load in case.loads) / case.duration_s,
        wasted=max(0.0, 1 - simulation.tokens_useful / simulation.tokens_computed),
        preemptions=owner.preemptions if isinstance(owner, _sides.Owner) else 0,
        first_token_s=_first_token_s(simulation),
        prefix_hits=simulation.prefix_hits / max(1, simulation.prefix_uses),
    )


def _of_class(simulation: _virtual.Simulation, load: _virtual.ClassLoad) -> list[_virtual.Request]:
    return [request for request in simulation.requests if request.load is load]


def _is_met(simulation: _virtual.Simulation, request: _virtual.Request) -> bool:
    completed_at = simulation.completed_at_by_id.get(request.request_id)
    return completed_at is not None and completed_at <= request.target_at


def _is_met_idle(request: _virtual.Request) -> bool:
    return request.arrived + 2 * _virtual.HOP_S + request.work_s <= request.target_at


def _first_token_s(simulation: _virtual.Simulation) -> float:
    names = {item.request_id: item.load.declared.name for item in simulation.requests}
    firsts = simulation.first_token_s_by_id.items()
    return statistics.fmean([first for key, first in firsts if names[key] == "chat"] or [0.0])


def _shed_share(simulation: _virtual.Simulation, rows: list[_virtual.Request]) -> float:
    return sum(request.request_id in simulation.shed_ids for request in rows) / len(rows)


def _slot_share(simulation: _virtual.Simulation, rows: list[_virtual.Request]) -> float:
    case = simulation.case
    keys = {(request.load.declared.name, request.account) for request in rows}
    held_s = sum(simulation.slot_s_by_class_account.get(key, 0.0) for key in keys)
    return held_s / (case.engines * case.slots * case.duration_s)


def _summarise(plan: _cases.Plan, policy: str, runs: list[_Run]) -> PolicyResult:
    classes = tuple(
        ClassResult(
            name=name,
            attainment=_figure([run.attainment[name] for run in runs]),
            of_idle=_figure([run.of_idle[name] for run in runs]),
            shed=_figure([run.shed[name] for run in runs]),
            slot_share=_figure([run.slot_share[name] for run in runs]),
        )
        for name in runs[0].attainment
    )
    return PolicyResult(
        case=plan.case.name,
        policy=policy,
        protected=plan.protected,
        overload=plan.overload,
        classes=tuple(sorted(classes, key=lambda row: row.name == "review")),
        goodput_per_s=_figure([run.goodput_per_s for run in runs]),
        wasted=_figure([run.wasted for run in runs]),
        preemptions=_figure([run.preemptions for run in runs]),
        first_token_s=_figure([run.first_token_s for run in runs]),
        prefix_hits=_figure([run.prefix_hits for run in runs]),
    )


def _figure(values: list[float]) -> Figure:
    return Figure(statistics.median(values), min(values), max(values))


def _class_line(row: ClassResult) -> str:
    of_idle = f"{row.of_idle.median:.3f} ({row.of_idle.least:.3f} to {row.of_idle.most:.3f})"
    return (
        f"{row.name:12} attainment {row.attainment.median:.3f}, of idle {of_idle}, "
        f"shed {row.shed.median:.3f}, slot share {row.slot_share.median:.3f}"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv))
