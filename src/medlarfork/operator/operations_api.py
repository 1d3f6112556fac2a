"""HTTP API for operators on a control host."""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
import urllib.parse
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec

from medlarfork import errors
from medlarfork.control import control_settings
from medlarfork.http import http_server
from medlarfork.operator import _orders_api, operations

Ask = Callable[[operations.Request], Awaitable[operations.Reply]]
"""Function that sends a request to the control node and returns its reply."""

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the Prometheus text format."""

_JSON = {"Content-Type": "application/json"}
_TEXT = {"Content-Type": "text/plain"}

_STATUS_BY_CODE = {
    errors.Code.BAD_REQUEST: 400,
    errors.Code.INVALID_API_KEY: 401,
    errors.Code.NOT_FOUND: 404,
    errors.Code.CHANGE_CONFLICT: 409,
    errors.Code.CHANGE_TOO_OLD: 410,
    errors.Code.NOT_LEADER: 421,
    errors.Code.KEY_REUSED: 422,
    errors.Code.CONFIGURATION_INVALID: 422,
    errors.Code.OVERLOADED: 429,
    errors.Code.NO_QUORUM: 503,
    errors.Code.UNCERTAIN: 504,
}

_Parse = Callable[[dict[str, str], bytes, str], operations.Request]


class _ErrorBody(msgspec.Struct, frozen=True):
    error: operations.Refused


class OperationsApi:
    """Decodes operators' requests from HTTP and encodes the replies as JSON."""

    def __init__(
        self,
        ask: Ask,
        *,
        operators: Iterable[control_settings.Operator],
        allow_anyone: bool,
        render_metrics: Callable[[], bytes],
    ) -> None:
        """Create the API.

        Args:
            ask: Sends a request to the control node.
            operators: Operators that are authenticated by key.
            allow_anyone: Whether requests are accepted without authentication, under any name.
            render_metrics: Returns the metrics in text format.
        """
        self._ask = ask
        self._operators = tuple(operators)
        self._allow_anyone = allow_anyone
        self._render_metrics = render_metrics

    async def serve(self, exchange: http_server.Exchange) -> None:
        """Answer one HTTP request."""
        match exchange.head.path:
            case "/healthz":
                await exchange.respond(200, _TEXT, b"ok\n")
            case "/readyz":
                await self._serve_readiness(exchange)
            case "/metrics":
                headers = {"Content-Type": METRICS_TYPE}
                await exchange.respond(200, headers, self._render_metrics())
            case _:
                await self._serve_operator(exchange)

    async def _serve_readiness(self, exchange: http_server.Exchange) -> None:
        """Report ready if this replica leads with a lease, or follows a known leader."""
        status = await self._ask(operations.GetStatus())
        assert isinstance(status, operations.StatusReply)
        leads = status.leader_id == status.replica_id
        ready = status.has_lease if leads else bool(status.leader_id)
        body = b"ready\n" if ready else b"not ready\n"
        await exchange.respond(200 if ready else 503, _TEXT, body)

    async def _serve_operator(self, exchange: http_server.Exchange) -> None:
        operator = self._operator(exchange.head.headers.get("authorization", ""))
        if operator is None:
            await _respond(exchange, _not_authenticated())
            return
        parse = _PARSE_BY_ROUTE.get((exchange.head.method, exchange.head.path))
        if parse is None:
            await _respond(exchange, _no_such_route(exchange.head))
            return
        query = dict(urllib.parse.parse_qsl(exchange.head.query))
        body = await exchange.read_body()
        try:
            request = parse(query, body, operator)
        except (ValueError, RecursionError, msgspec.MsgspecError) as error:
            await _respond(exchange, _unreadable(error))
            return
        reply = _orders_api.reply_to(request, await self._ask(request))
        await _respond(exchange, reply)

    def _operator(self, authorization: str) -> str | None:
        """Return the operator's name; empty if anyone is allowed, None if not authenticated."""
        if self._allow_anyone:
            return ""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()
        found = None
        # Compare every digest, so that the response time doesn't reveal which one matched.
        for operator in self._operators:
            if hmac.compare_digest(digest, operator.key_sha256.lower()):
                found = operator.name
        return found


def _apply_change(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    change = msgspec.json.decode(body, type=operations.ApplyChange)
    return dataclasses.replace(change, operator=operator or change.operator)


def _get_configuration(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    revision = query.get("revision")
    return operations.GetConfiguration(None if revision is None else int(revision))


def _get_history(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    return operations.GetHistory(int(query.get("limit", operations.HISTORY_LIMIT)))


def _get_in_force(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    if "revision" not in query:
        raise ValueError("the query names no revision")
    return operations.GetInForce(int(query["revision"]))


def _get_upstreams(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    if "id" not in query:
        raise ValueError("the query names no id")
    return operations.GetUpstreams((query["id"],))


def _change_voters(query: dict[str, str], body: bytes, operator: str) -> operations.Request:
    return msgspec.json.decode(body, type=operations.ChangeVoters)


_PARSE_BY_ROUTE: dict[tuple[str, str], _Parse] = {
    ("POST", "/v1/changes"): _apply_change,
    ("GET", "/v1/configuration"): _get_configuration,
    ("GET", "/v1/history"): _get_history,
    ("GET", "/v1/status"): lambda query, body, operator: operations.GetStatus(),
    ("GET", "/v1/in-force"): _get_in_force,
    ("GET", "/v1/members"): lambda query, body, operator: operations.GetMembers(),
    ("GET", "/v1/upstreams"): _get_upstreams,
    ("POST", "/v1/voters"): _change_voters,
    ("GET", "/v1/orders"): _orders_api.list_orders,
    ("POST", "/v1/orders"): _orders_api.declare,
}


def _not_authenticated() -> operations.Refused:
    return operations.Refused(
        errors.Code.INVALID_API_KEY,
        "The request carries no valid operator key.",
        "Send 'Authorization: Bearer KEY' with the key of an operator of this system.",
    )


def _no_such_route(head: http_server.RequestHead) -> operations.Refused:
    return operations.Refused(
        errors.Code.NOT_FOUND,
        f"There is no {head.method} {head.path[:100]} here.",
        "Use medlarctl, or see the operators' page for the paths.",
    )


def _unreadable(error: Exception) -> operations.Refused:
    return operations.Refused(
        errors.Code.BAD_REQUEST,
        f"The request can't be read: {error}.",
        "Use the medlarctl of the same version as the hosts.",
    )


async def _respond(exchange: http_server.Exchange, reply: Any) -> None:
    if not isinstance(reply, operations.Refused):
        await exchange.respond(200, _JSON, msgspec.json.encode(reply))
        return
    status = _STATUS_BY_CODE.get(reply.code, 500)
    headers: dict[str, Any] = dict(_JSON)
    if status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    await exchange.respond(status, headers, msgspec.json.encode(_ErrorBody(reply)))
