"""Next step of an engine toward its declared state."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork.orders import order_types


@dataclasses.dataclass(frozen=True, slots=True)
class NoStep:
    """The engine is in its declared state."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOutOfService:
    """Take it out of service for a role change, if ``max_unavailable`` allows."""

    desired: order_types.DesiredState
    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Wait until it has no running requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order the role change."""

    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnToService:
    """Return it to service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Queue a load of weights."""

    weights: order_types.Weights


Step = NoStep | TakeOutOfService | Drain | ChangeRole | ReturnToService | Load


def next_step(
    desired: order_types.DesiredState | None,
    state: order_types.EngineState,
    *,
    is_out_of_service: bool,
    is_drained: bool,
    copies: Mapping[order_types.LoadedWeights, int],
) -> Step:
    """Return the next step for an engine.

    Args:
        desired: The declaration that applies to it, if any.
        state: Its state, just read.
        is_out_of_service: Whether the board has it out of service.
        is_drained: Whether it has finished its requests since it was taken out of service.
        copies: Number of engines that hold each version; the rarest is loaded first.
    """
    if desired is not None and desired.role not in ("", state.role):
        if not is_out_of_service:
            return TakeOutOfService(desired, desired.role)
        return ChangeRole(desired.role) if is_drained else Drain()
    if is_out_of_service:
        return ReturnToService()
    missing = () if desired is None else missing_weights(desired, state)
    if not missing:
        return NoStep()
    return Load(min(missing, key=lambda weights: copies.get(loaded(weights), 0)))


def loaded(weights: order_types.Weights) -> order_types.LoadedWeights:
    """Return the entry for these weights in the state of an engine that has loaded them."""
    return order_types.LoadedWeights(weights.name, weights.version)


def missing_weights(
    desired: order_types.DesiredState, state: order_types.EngineState
) -> tuple[order_types.Weights, ...]:
    """Return the declared weights whose version an engine has not loaded, in order."""
    loaded_weights = set(state.weights)
    return tuple(weights for weights in desired.weights if loaded(weights) not in loaded_weights)
