"""List the situations and the policies that `measure.policy` runs."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from measure import _sides, _virtual
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_options

_COUNTER = configuration.RequestClass(
    "counter", 1, whole_target_s=0.15, deadline_s=2.0, floor_share=0.05
)
_CHAT = configuration.RequestClass("chat", 2, whole_target_s=2.0, deadline_s=10.0, floor_share=0.05)
_REVIEW = configuration.RequestClass(
    "review", 3, whole_target_s=60.0, deadline_s=300.0, floor_share=0.05, preemptible=True
)
_SLOW_COUNTER = dataclasses.replace(_COUNTER, whole_target_s=3.0, deadline_s=10.0)

_Loads = tuple[_virtual.ClassLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Name a policy and how to build its side of a simulation."""

    name: str
    build: Callable[[_virtual.Simulation], _virtual.Side]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Say which policies run a case, and which classes' own demand fits the capacity.

    Attributes:
        protected: Classes, or their accounts within their share ("others"), whose demand with all
            above stays below 0.85 of the capacity.
        overload: Whether the whole demand is above the capacity.
    """

    case: _virtual.Case
    policies: tuple[Policy, ...]
    protected: tuple[str, ...]
    overload: bool


def _owner(name: str, options: pool.PoolOptions) -> Policy:
    return Policy(name, lambda simulation: _sides.Owner(simulation, options))


_STRICT = pool_options.NON_ADAPTIVE
CURRENT = "current"
NAIVE = "naive"
_NAIVE = Policy(NAIVE, _sides.RoundRobin)
_VIEWS = Policy("A own views", _sides.OwnViews)
_BY_OWNER = _owner("B strict tiers", _STRICT)
_CURRENT = _owner(CURRENT, pool.PoolOptions())
_UNMOVED = _owner("current, nothing moved", pool.PoolOptions(move_stalled=False))
_ANYWHERE = _owner("current, no affinity", pool.PoolOptions(affinity=False))
_MAIN = (_NAIVE, _BY_OWNER, _CURRENT)
_ALL = (
    _NAIVE,
    _VIEWS,
    _BY_OWNER,
    _owner("B + withheld", dataclasses.replace(_STRICT, withhold=True)),
    _owner("B + preemption", dataclasses.replace(_STRICT, preempt=True)),
    _CURRENT,
)


def _loads(counter: float, chat: float, review: float) -> _Loads:
    return (
        _virtual.ClassLoad(_COUNTER, 0.05, True, counter),
        _virtual.ClassLoad(_CHAT, 1.0, False, chat),
        _virtual.ClassLoad(_REVIEW, 10.0, False, review),
    )


def _on_off(loads: _Loads) -> _Loads:
    return tuple(
        dataclasses.replace(load, on_off_s=20.0 if load.declared is _REVIEW else 10.0)
        for load in loads
    )


def _with_chat(loads: _Loads, **changes: object) -> _Loads:
    counter, chat, review = loads
    return (counter, dataclasses.replace(chat, **changes), review)


def _hour(duration_s: float) -> _virtual.Case:
    counter = _virtual.ClassLoad(_SLOW_COUNTER, 1.0, True, 1.2)
    review = _virtual.ClassLoad(_REVIEW, 10.0, False, 0.3)
    return _virtual.Case("hour of counter", (counter, review), 2, 2, duration_s)


def _freeze(duration_s: float) -> Plan:
    faults = (_virtual.Fault(20.0, 0, "freeze"),)
    case = _virtual.Case(
        "an engine freezes", _loads(0.05, 0.4, 0.3), duration_s=duration_s, faults=faults
    )
    return Plan(case, (_NAIVE, _UNMOVED, _CURRENT), (), False)


def _prefixes(duration_s: float) -> Plan:
    loads = _with_chat(_loads(0.05, 0.5, 0.1), prefixes=24)
    case = _virtual.Case(
        "shared prefixes", loads, duration_s=duration_s, report_lag_s=2.0, cached=8
    )
    return Plan(case, (_NAIVE, _ANYWHERE, _CURRENT), ("counter", "chat"), False)


def plans(*, quick: bool) -> tuple[Plan, ...]:
    """Return what is run; ``quick`` runs shorter ones."""
    long_s, short_s = (60.0, 45.0) if quick else (120.0, 60.0)
    top = ("counter", "chat")
    fault = _virtual.Fault
    trial = _virtual.Case("1.5 x capacity", _on_off(_loads(0.10, 0.35, 1.05)), duration_s=long_s)
    burst = _virtual.Case(
        "burst of chat",
        _with_chat(_loads(0.05, 0.3, 0.4), bursts=((15.0, 25.0, 10.0),)),
        duration_s=short_s,
    )
    straggler = _virtual.Case(
        "straggler",
        _loads(0.05, 0.4, 0.6),
        duration_s=short_s,
        report_lag_s=2.0,
        faults=(fault(10.0, 0, "slow"),),
    )
    crash = _virtual.Case(
        "crash in a burst",
        _loads(0.05, 0.4, 1.0),
        duration_s=short_s,
        faults=(fault(20.0, 0, "crash"), fault(40.0, 0, "restart")),
    )
    hog = _virtual.Case(
        "account at 10 x its share",
        _with_chat(_loads(0.05, 0.6, 0.2), hog_factor=10.0),
        duration_s=short_s,
    )
    moves = (
        fault(10.0, 0, "leave"),
        fault(20.0, 1, "leave"),
        fault(25.0, 0, "restart"),
        fault(35.0, 1, "restart"),
    )
    leave = _virtual.Case(
        "leave and join", _loads(0.05, 0.35, 0.7), duration_s=short_s, faults=moves
    )
    return (
        Plan(trial, _ALL, top, True),
        Plan(burst, _MAIN, ("counter",), True),
        Plan(straggler, _MAIN, top, True),
        Plan(crash, _MAIN, top, True),
        Plan(hog, _MAIN, ("counter", "chat others"), True),
        Plan(_hour(300.0 if quick else 3600.0), _MAIN, (), True),
        Plan(leave, _MAIN, top, True),
        _freeze(short_s),
        _prefixes(short_s),
    )
