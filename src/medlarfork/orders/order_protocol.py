"""Define what engines are told over HTTP, and what they answer.

``POST /v1/orders`` carries one ``LoadModel``, ``LoadAdapter`` or ``ChangeRole`` as JSON; the field
``action`` says which. The answer comes once the order has been carried out:

====  =====================================================================================
2xx   it was carried out, now or at an earlier receipt of the same ``order_id``
409   the engine has seen a higher fence; nothing was done (only engines that check fences)
4xx   the order is malformed or can't be carried out; nothing was done
====  =====================================================================================

Anything else, or no answer, leaves the outcome open. ``GET /v1/state`` answers with an
``order_types.EngineState`` as JSON; further fields in it are ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from medlarfork.orders import order_types

ORDERS_TARGET = "/v1/orders"
"""Where engines take orders."""

STATE_TARGET = "/v1/state"
"""Where engines tell their state."""

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]


class _Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="action"):
    order_id: _Text
    fence: _Count
    name: _Text
    version: str
    size_bytes: _Count
    bytes_per_second: _Rate

    @property
    def loaded(self) -> order_types.LoadedWeights:
        """Return what the engine holds once this has been carried out."""
        return order_types.LoadedWeights(self.name, self.version)

    @property
    def draw_s(self) -> float:
        """Return how long the weights take to draw at the told rate, in seconds."""
        return self.size_bytes / self.bytes_per_second


class LoadModel(_Load, frozen=True, forbid_unknown_fields=True, tag="load_model"):
    """Load a model in a version, replacing another version of the same name."""


class LoadAdapter(_Load, frozen=True, forbid_unknown_fields=True, tag="load_adapter"):
    """Load an adapter in a version, replacing another version of the same name."""


class ChangeRole(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    tag_field="action",
    tag="change_role",
):
    """Take a role."""

    order_id: _Text
    fence: _Count
    role: _Text


EngineOrder = LoadModel | LoadAdapter | ChangeRole


def encode(order: order_types.OrderEngine) -> bytes:
    """Return the body that tells an engine an order."""
    return msgspec.json.encode(_engine_order(order))


def decode(body: bytes) -> EngineOrder:
    """Return the order that a body tells.

    Raises:
        msgspec.MsgspecError: The body is none, or holds a field that is not known.
    """
    return msgspec.json.decode(body, type=EngineOrder)


def _engine_order(order: order_types.OrderEngine) -> EngineOrder:
    match order.action:
        case order_types.ChangeRole(role):
            return ChangeRole(order.order_id, order.fence, role)
        case order_types.LoadWeights(weights, bytes_per_second):
            is_model = weights.kind is order_types.WeightsKind.MODEL
            kind = LoadModel if is_model else LoadAdapter
            return kind(
                order.order_id,
                order.fence,
                weights.name,
                weights.version,
                weights.size_bytes,
                bytes_per_second,
            )
