"""HTTP endpoints of an entry host other than requests to a service."""

from __future__ import annotations

import hashlib
import hmac
import time
import urllib.parse
from collections.abc import Callable, Iterable

import msgspec

from medlarfork import bounds, errors, upstream
from medlarfork.entry import entries_answer, entry, entry_types, telemetry
from medlarfork.filters import answers, parse
from medlarfork.http import _http_messages, header_names, http_server

_JSON = {"Content-Type": "application/json"}

_ANNOUNCEMENT = msgspec.json.Decoder(upstream.Announcement)


class EntryApi:
    """Answers health checks, metrics, ``/v1/entries``, ``/v1/models`` and operators' queries."""

    def __init__(
        self,
        node: entry.EntryNode,
        metrics: telemetry.Telemetry,
        *,
        announce_key_sha256: Iterable[str],
        operator_key_sha256: Iterable[str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the API.

        Without announcement key digests any upstream may announce itself; without operator key
        digests every operator query is refused.
        """
        self._node = node
        self._metrics = metrics
        self._announce_keys = tuple(announce_key_sha256)
        self._operator_keys = tuple(operator_key_sha256)
        self._clock = clock

    def is_announcement(self, head: http_server.RequestHead) -> bool:
        """Return whether a request is an upstream's announcement."""
        return head.path == upstream.ANNOUNCEMENTS_PATH and head.method == "POST"

    def may_announce(self, head: http_server.RequestHead) -> bool:
        """Return whether the sender may announce upstreams."""
        return not self._announce_keys or _has_key(head, self._announce_keys)

    async def refuse_announcement(self, exchange: http_server.Exchange) -> None:
        """Answer an announcement whose key is wrong."""
        error = errors.OperatorError(
            "The announcement carries no valid key.",
            remedy="Send 'Authorization: Bearer KEY' with the upstreams' announcement key.",
            code=errors.Code.INVALID_API_KEY,
        )
        await _respond_error(exchange, 401, error)

    async def read_announcement(
        self, exchange: http_server.Exchange
    ) -> upstream.Announcement | None:
        """Read an announcement; answer a malformed one with an error and return None."""
        body = await exchange.read_body()
        try:
            return bounds.decode_json(_ANNOUNCEMENT, body)
        except msgspec.MsgspecError as problem:
            error = errors.OperatorError(
                f"The announcement can't be read: {problem}.",
                remedy="Send the JSON object that docs/UPSTREAMS.md describes.",
            )
            await _respond_error(exchange, 400, error)
            return None

    async def answer_announcement(
        self, exchange: http_server.Exchange, reply: upstream.AnnouncementReply
    ) -> None:
        """Answer an announcement."""
        await exchange.respond(200, _JSON, msgspec.json.encode(reply))

    async def serve(self, exchange: http_server.Exchange, request_id: str) -> bool:
        """Answer the request if its path is one of these endpoints; return whether it is."""
        head = exchange.head
        if head.method not in ("GET", "HEAD"):
            return False
        match head.path:
            case "/healthz":
                await exchange.respond(200, {"Content-Type": "text/plain"}, b"ok\n")
            case "/readyz":
                await self._readiness(exchange)
            case "/metrics":
                body = await self._metrics.render_in_thread()
                await exchange.respond(200, {"Content-Type": telemetry.CONTENT_TYPE}, body)
            case entries_answer.ENTRIES_PATH:
                answer = self._node.entries(_raw(request_id, head), self._clock())
                await exchange.respond(answer.status, _JSON, answer.body)
            case "/v1/models":
                answer = self._node.models(_raw(request_id, head))
                await exchange.respond(answer.status, {**_JSON, **answer.headers}, answer.body)
            case "/v1/status" | "/v1/explain":
                await self._serve_operator(exchange, request_id)
            case _:
                return False
        return True

    async def _readiness(self, exchange: http_server.Exchange) -> None:
        ready = self._node.is_ready(self._clock())
        body = b"ready\n" if ready else b"not ready\n"
        await exchange.respond(200 if ready else 503, {"Content-Type": "text/plain"}, body)

    async def _serve_operator(self, exchange: http_server.Exchange, request_id: str) -> None:
        if not _has_key(exchange.head, self._operator_keys):
            error = errors.OperatorError(
                "The request carries no valid operator key.",
                remedy="Send 'Authorization: Bearer KEY' with an operator's key.",
                code=errors.Code.INVALID_API_KEY,
            )
            await _respond_error(exchange, 401, error)
        elif exchange.head.path == "/v1/status":
            status = self._node.status(self._clock())
            await exchange.respond(200, _JSON, msgspec.json.encode(status))
        else:
            await self._explain(exchange, request_id)

    async def _explain(self, exchange: http_server.Exchange, request_id: str) -> None:
        params = dict(urllib.parse.parse_qsl(exchange.head.query))
        raw = _explained_request(request_id, params)
        try:
            explanation = self._node.explain(raw, params.get("account", ""), self._clock())
        except errors.MedlarError as error:
            await _respond_error(exchange, answers.status_of(error), error)
        else:
            await exchange.respond(200, _JSON, msgspec.json.encode(explanation))


def _explained_request(request_id: str, params: dict[str, str]) -> entry_types.RawRequest:
    """Return the request to explain, from the operator's query parameters."""
    headers = {header_names.LABELS.lower(): params.get("labels", "")}
    if "path" in params:
        method = params.get("method", "GET")
        return entry_types.RawRequest(request_id, method, params["path"], "", headers, b"")
    body = msgspec.json.encode({"model": params.get("model", ""), "messages": []})
    return entry_types.RawRequest(request_id, "POST", parse.CHAT_PATH, "", headers, body)


def _raw(request_id: str, head: http_server.RequestHead) -> entry_types.RawRequest:
    return entry_types.RawRequest(request_id, head.method, head.path, head.query, head.headers, b"")


def _has_key(head: http_server.RequestHead, digests: tuple[str, ...]) -> bool:
    scheme, _, key = head.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return False
    digest = hashlib.sha256(key.strip().encode("utf-8", "surrogateescape")).hexdigest()
    # All digests are compared, so that the time taken does not reveal which one matched.
    matches = [hmac.compare_digest(digest, known) for known in digests]
    return any(matches)


async def _respond_error(
    exchange: http_server.Exchange, status: int, error: errors.MedlarError
) -> None:
    await exchange.respond(status, _JSON, _http_messages.error_body(error, status))
