"""HTTP protocol between the order client and engines.

``POST /v1/orders`` carries one ``LoadModel``, ``LoadAdapter`` or ``ChangeRole`` as JSON; the field
``action`` is the discriminator. The engine answers after executing the order:

====  =====================================================================================
2xx   it was executed, now or on an earlier request with the same ``order_id``
409   the engine has seen a higher fence; not executed (only engines that check fences)
4xx   the order is malformed or can't be executed; not executed
====  =====================================================================================

Any other status, or no answer, means that the result is unknown. ``GET /v1/state`` returns an
``order_types.EngineState`` as JSON; unknown fields are ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from medlarfork.orders import order_types

ORDERS_TARGET = "/v1/orders"
"""Path at which engines accept orders."""

STATE_TARGET = "/v1/state"
"""Path at which engines report their state."""

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
        """Return the weights that the engine holds after this order."""
        return order_types.LoadedWeights(self.name, self.version)

    @property
    def draw_s(self) -> float:
        """Return how long the transfer takes at the ordered rate, in seconds."""
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
    """Change the engine's role."""

    order_id: _Text
    fence: _Count
    role: _Text


EngineOrder = LoadModel | LoadAdapter | ChangeRole


def encode(order: order_types.OrderEngine) -> bytes:
    """Return the request body for an order."""
    return msgspec.json.encode(_engine_order(order))


def decode(body: bytes) -> EngineOrder:
    """Return the order in a request body.

    Raises:
        msgspec.MsgspecError: The body is not a valid order, or has an unknown field.
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
