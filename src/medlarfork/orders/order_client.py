"""HTTP client that sends orders to engines, reads their state, and returns events.

Orders are sent by ``POST /v1/orders`` with ``order_id``, ``fence`` and ``action``. The actions
``load_model`` and ``load_adapter`` have ``name``, ``version``, ``size_bytes`` and
``bytes_per_second``, the action ``change_role`` has ``role``. States are read by
``GET /v1/state``. ``order_protocol`` defines both and the meaning of the statuses.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from medlarfork import errors
from medlarfork.http import http_client
from medlarfork.orders import fenced_lease, order_protocol, order_types

_JSON_HEADERS = {"Content-Type": "application/json"}
_CONFLICT = 409


class OrderClient:
    """Performs the order planner's actions on engines; sends each order once.

    No method raises for failures of an engine or the network: the returned event reports them.
    """

    def __init__(
        self,
        client: http_client.HttpClient,
        *,
        lease: fenced_lease.FencedLease,
        read_timeout_s: float = 5.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Use a started HTTP client, the planner's lease and the clock of that lease."""
        self._client = client
        self._lease = lease
        self._read_timeout_s = read_timeout_s
        self._clock = clock

    async def order(self, action: order_types.OrderEngine) -> order_types.OrderDone:
        """Send an order, unless its lease has ended meanwhile, and return the result."""
        body = order_protocol.encode(action)
        if not self._may_send(action):
            return order_types.OrderDone(action.order_id, order_types.OrderResult.FAILED)
        try:
            response = await self._client.request(
                action.address,
                "POST",
                order_protocol.ORDERS_TARGET,
                _JSON_HEADERS,
                body,
                timeout_s=action.timeout_s,
            )
            await response.close()
        except errors.RequestNotSentError:
            return order_types.OrderDone(action.order_id, order_types.OrderResult.FAILED)
        except errors.UpstreamError:
            return order_types.OrderDone(action.order_id, order_types.OrderResult.UNKNOWN)
        return order_types.OrderDone(action.order_id, _result(response.status))

    def _may_send(self, action: order_types.OrderEngine) -> bool:
        # The task may have been delayed: the lease may have expired or been released meanwhile.
        now = self._clock()
        held = self._lease.may_act(now) and self._lease.fence == action.fence
        return held and now < action.not_after

    async def read_state(self, action: order_types.ReadEngineState) -> order_types.EngineStateRead:
        """Read an engine's state; the event's state is None if there was no valid answer."""
        try:
            response = await self._client.request(
                action.address,
                "GET",
                order_protocol.STATE_TARGET,
                {},
                b"",
                timeout_s=self._read_timeout_s,
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
        return order_types.EngineStateRead(action.upstream_id, action.number, state)


def _result(status: int) -> order_types.OrderResult:
    if 200 <= status < 300:
        return order_types.OrderResult.DONE
    if status == _CONFLICT:
        return order_types.OrderResult.REFUSED_FENCE
    if 400 <= status < 500:
        return order_types.OrderResult.FAILED
    return order_types.OrderResult.UNKNOWN
