"""Decide what an engine needs next to reach its declared state."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork.orders import order_types


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """Nothing is missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOut:
    """Take it out of service, if its declaration's share allows, to change its role."""

    desired: order_types.DesiredState
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Wait until it runs no requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeRole:
    """Order it to change its role."""

    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class PutBack:
    """Put it back into service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Order it to load weights when the weight store has room."""

    weights: order_types.Weights


Step = Rest | TakeOut | Drain | TakeRole | PutBack | Load


def next_step(
    desired: order_types.DesiredState | None,
    state: order_types.EngineState,
    *,
    out: bool,
    drained: bool,
    copies: Mapping[order_types.LoadedWeights, int],
) -> Step:
    """Return the next step for an engine.

    Args:
        desired: The declaration that applies to it, if any.
        state: Its state, just read.
        out: Whether it is out of service.
        drained: Whether it runs no requests since it was taken out.
        copies: How many engines hold each version; the rarest is loaded first.
    """
    if desired is not None and desired.role not in ("", state.role):
        if not out:
            return TakeOut(desired, desired.role)
        return TakeRole(desired.role) if drained else Drain()
    if out:
        return PutBack()
    missing = () if desired is None else missing_weights(desired, state)
    if not missing:
        return Rest()
    return Load(min(missing, key=lambda weights: copies.get(loaded(weights), 0)))


def loaded(weights: order_types.Weights) -> order_types.LoadedWeights:
    """Return how an engine that holds these weights names them."""
    return order_types.LoadedWeights(weights.name, weights.version)


def missing_weights(
    desired: order_types.DesiredState, state: order_types.EngineState
) -> tuple[order_types.Weights, ...]:
    """Return the declared weights that an engine does not hold in their version, in order."""
    held = set(state.weights)
    return tuple(weights for weights in desired.weights if loaded(weights) not in held)
