"""Send orders to engines and read their state over HTTP, and turn the answers into events."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from medlarfork import errors, http_client, order_types

ORDERS_TARGET = "/v1/orders"
"""Where engines take orders."""

STATE_TARGET = "/v1/state"
"""Where engines tell their state."""

_JSON_HEADERS = {"Content-Type": "application/json"}
_CONFLICT = 409
_Result = order_types.OrderResult


class OrderClient:
    """Perform the order planner's actions that concern engines; sends each order once.

    Neither method raises for what an engine or the network does: the event says it.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        *,
        read_timeout_s: float = 5.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Use a started client and the clock that the lease is measured by."""
        self._client = client
        self._read_timeout_s = read_timeout_s
        self._clock = clock

    async def order(self, action: order_types.OrderEngine) -> order_types.OrderDone:
        """Send an order, unless its time has passed, and return how it ended."""
        body = _order_body(action)
        if self._clock() >= action.not_after:
            return order_types.OrderDone(action.order_id, _Result.FAILED)
        try:
            response = await self._client.request(
                action.address,
                "POST",
                ORDERS_TARGET,
                _JSON_HEADERS,
                body,
                timeout_s=action.timeout_s,
            )
            await response.close()
        except errors.RequestNotSentError:
            return order_types.OrderDone(action.order_id, _Result.FAILED)
        except errors.UpstreamError:
            return order_types.OrderDone(action.order_id, _Result.UNKNOWN)
        return order_types.OrderDone(action.order_id, _result(response.status))

    async def read_back(self, action: order_types.ReadBack) -> order_types.ReadBackDone:
        """Read an engine's state; the event carries None if it gave none."""
        try:
            response = await self._client.request(
                action.address, "GET", STATE_TARGET, {}, b"", timeout_s=self._read_timeout_s
            )
            try:
                body = await response.read()
            finally:
                await response.close()
            state = None
            if response.status == 200:
                state = msgspec.json.decode(body, type=order_types.EngineState)
        except (errors.UpstreamError, msgspec.MsgspecError):
            state = None
        return order_types.ReadBackDone(action.upstream_id, action.number, state)


def _order_body(action: order_types.OrderEngine) -> bytes:
    head = {"order_id": action.order_id, "fence": action.fence}
    match action.action:
        case order_types.LoadWeights(weights, bytes_per_second):
            told = {
                "action": f"load_{weights.kind}",
                "name": weights.name,
                "version": weights.version,
                "size_bytes": weights.size_bytes,
                "bytes_per_second": bytes_per_second,
            }
        case order_types.ChangeRole(role):
            told = {"action": "change_role", "role": role}
    return msgspec.json.encode(head | told)


def _result(status: int) -> order_types.OrderResult:
    if 200 <= status < 300:
        return _Result.DONE
    if status == _CONFLICT:
        return _Result.REFUSED_FENCE
    if 400 <= status < 500:
        return _Result.FAILED
    return _Result.UNKNOWN
