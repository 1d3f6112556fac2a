"""Admit callers' requests: find the route, the client account and the deadline, then serve them."""

from __future__ import annotations

import logging
import math
import random
import time

import curio

from medlarfork import errors, logs
from medlarfork.gateway import (
    backpressure_tracker,
    crash_tracker,
    entry_session,
    gateway_metrics,
    owner_client,
    request_header_names,
    request_hold,
    request_metadata,
    request_pipeline,
    request_types,
    retry_budget,
)
from medlarfork.http import _http_messages, http_client, http_server
from medlarfork.placement import placement_messages
from medlarfork.quarantine import request_key
from medlarfork.routes import route_table, routing

_log = logging.getLogger(__name__)


class RequestHandler:
    """Serve the exchanges of an entry host's HTTP server."""

    def __init__(
        self,
        *,
        zone: str,
        names: request_header_names.RequestHeaderNames,
        client: http_client.HttpClient,
        session: entry_session.EntrySession,
        owner: owner_client.OwnerClient,
        holds: request_hold.HoldQueue,
        crashes: crash_tracker.CrashTracker,
        backpressure: backpressure_tracker.BackpressureTracker,
        usage: request_types.UsageRecorder,
        rules: retry_budget.BudgetRules,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        """Wire the handler to what the entry host's requests share."""
        self._zone = zone
        self._names = names
        self._client = client
        self._session = session
        self._owner = owner
        self._holds = holds
        self._crashes = crashes
        self._backpressure = backpressure
        self._usage = usage
        self._rules = rules
        self._metrics = metrics
        self._table: route_table.RouteTable | None = None
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._random = random.Random()
        self.is_stopping = False

    @property
    def has_routing(self) -> bool:
        """Return whether a version of the routing is in force."""
        return self._table is not None

    def use(self, whole: routing.Routing) -> None:
        """Put a version of the routing in force."""
        self._table = route_table.RouteTable(whole)
        for service in whole.services:
            if service.name not in self._budgets:
                self._budgets[service.name] = retry_budget.RetryBudget(self._rules)

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Serve one exchange."""
        started_at = time.monotonic()
        if self.is_stopping:
            exchange.close_after()
        body = await exchange.read_body()
        try:
            facts = request_metadata.read(exchange.head.headers, self._names)
            if not await self._wait_routing(exchange, facts):
                return
            route, account = self._admit(exchange.head, facts)
        except errors.RequestRefusedError as error:
            await self._refuse(exchange, error)
            return
        admitted = self._admitted(exchange, route, account, facts, body, started_at)
        self._budgets[admitted.service].record_request(started_at)
        run = request_pipeline.RequestPipeline(admitted, self._tools())
        await self._serve(run, admitted)
        self._record(run.trace, admitted)

    async def _wait_routing(
        self, exchange: http_server.Exchange, facts: request_metadata.RequestMetadata
    ) -> bool:
        """Hold a request while no routing is in force; return False if its caller has gone."""
        if self.has_routing:
            return True
        left_s = math.inf if facts.deadline_ms is None else facts.deadline_ms / 1000.0
        async with curio.TaskGroup(wait=any) as group:
            held = await group.spawn(self._holds.wait, lambda: self.has_routing, left_s)
            await group.spawn(exchange.wait_caller_gone)
        is_there = group.completed is held
        logs.event(
            _log,
            "request_held",
            request=facts.attempt_id or None,
            routing=0 if self._table is None else self._table.version,
            caller_gone=not is_there,
        )
        if not is_there:
            await exchange.abort()
        return is_there

    def _admit(
        self, head: http_server.RequestHead, facts: request_metadata.RequestMetadata
    ) -> tuple[routing.Route, routing.Account | None]:
        """Return the route and the client account of a request.

        Raises:
            errors.RequestRefusedError: The request can't be served.
        """
        table = self._table
        if table is None:
            raise errors.RequestRefusedError(
                "This entry host has no routing yet.",
                remedy="Use another entry host, or come back as Retry-After says.",
                code=errors.Code.STALE_CONFIGURATION,
                status=503,
                headers={"Retry-After": "0.500"},
            )
        route = table.route(head.headers.get("host", ""), head.path)
        if route is None:
            raise errors.RequestRefusedError(
                "No route begins the request's host and path.",
                remedy="Correct them, or ask the operators to declare a route.",
                code=errors.Code.NOT_FOUND,
                status=404,
            )
        return route, _account(table, route, facts)

    def _admitted(
        self,
        exchange: http_server.Exchange,
        route: routing.Route,
        account: routing.Account | None,
        facts: request_metadata.RequestMetadata,
        body: bytes,
        started_at: float,
    ) -> request_types.AdmittedRequest:
        allowed_ms = route.timeout_ms
        if facts.deadline_ms is not None:
            allowed_ms = min(allowed_ms, facts.deadline_ms - request_pipeline.DEADLINE_MARGIN_MS)
        tier = route.tier
        if account is not None and account.tier is not None:
            tier = account.tier
        head = exchange.head
        name = "" if account is None else account.name
        key = request_key.request_key(
            name, head.method, head.headers.get("host", ""), head.target, body
        )
        return request_types.AdmittedRequest(
            exchange=exchange,
            facts=facts,
            route=route,
            key=key,
            service=route_table.choose_target(route, self._random.random()),
            account=name,
            tier=tier,
            body=body,
            started_at=started_at,
            deadline_at=started_at + allowed_ms / 1000.0,
        )

    def _tools(self) -> request_types.SharedContext:
        return request_types.SharedContext(
            client=self._client,
            names=self._names,
            owner=self._owner,
            budgets=self._budgets,
            find_upstream=self._session.find_upstream,
            crashes=self._crashes,
            backpressure=self._backpressure,
            usage=self._usage,
            shards=self._session.shards,
            zone=self._zone,
            entry_hosts=self._session.entry_hosts,
        )

    async def _serve(
        self, run: request_pipeline.RequestPipeline, admitted: request_types.AdmittedRequest
    ) -> None:
        """Serve until there is a final answer, the time is over, or the caller has gone.

        The connection is cut only here, after both tasks have ended: closing a descriptor that a
        task still waits for would mix it up with the next connection that gets its number.
        """
        exchange = admitted.exchange
        try:
            async with curio.TaskGroup(wait=any) as group:
                serving = await group.spawn(self._serve_in_time, run, admitted)
                await group.spawn(exchange.wait_caller_gone)
        finally:
            run.end_ticket(placement_messages.RunEnd.CANCELLED)
        if group.completed is not serving:
            run.record_caller_gone()
        elif serving.exception is not None:
            raise serving.exception
        if not exchange.finished:
            await exchange.abort()

    async def _serve_in_time(
        self, run: request_pipeline.RequestPipeline, admitted: request_types.AdmittedRequest
    ) -> None:
        left_s = admitted.deadline_at - time.monotonic()
        try:
            try:
                await curio.timeout_after(max(left_s, 0.0), run.serve)
            except curio.TaskTimeout:
                run.end_ticket(placement_messages.RunEnd.CANCELLED)
                await run.time_out()
        except errors.CallerGoneError:
            run.record_caller_gone()

    async def _refuse(
        self, exchange: http_server.Exchange, error: errors.RequestRefusedError
    ) -> None:
        logs.event(
            _log,
            "request_refused",
            request=exchange.head.headers.get(self._names.attempt_id),
            status=error.status,
            code=error.code.value,
            routing=0 if self._table is None else self._table.version,
        )
        headers = {"Content-Type": "application/json", **error.headers}
        body = _http_messages.error_body(error, error.status)
        await exchange.respond(error.status, headers, body)

    def _record(self, trace: request_types.Trace, admitted: request_types.AdmittedRequest) -> None:
        """Log the request's decisions in one line, and count it."""
        took_ms = (time.monotonic() - admitted.started_at) * 1000.0
        self._metrics.count(admitted.account, admitted.route.name, trace.status, took_ms)
        logs.event(
            _log,
            "request",
            request=admitted.facts.attempt_id or None,
            key=admitted.key,
            route=admitted.route.name,
            service=admitted.service,
            account=admitted.account or None,
            tier=admitted.tier,
            routing=0 if self._table is None else self._table.version,
            result=trace.result.value,
            status=trace.status,
            upstreams=",".join(trace.upstreams) or None,
            tickets=",".join(trace.tickets) or None,
            waited_ms=round(trace.waited_ms, 1),
            first_ms=round(trace.first_event_ms, 1),
            pause_ms=round(trace.longest_pause_ms, 1) or None,
            took_ms=round(took_ms, 1),
            allowed_ms=round((admitted.deadline_at - admitted.started_at) * 1000.0),
            why="; ".join(trace.reasons) or None,
        )


def _account(
    table: route_table.RouteTable, route: routing.Route, facts: request_metadata.RequestMetadata
) -> routing.Account | None:
    """Return the client account that a request's key belongs to.

    Raises:
        errors.RequestRefusedError: The route needs a key and the request has no known one.
    """
    if route.is_public or not table.needs_keys:
        return None
    account = table.account(facts.api_key)
    if account is None:
        raise errors.RequestRefusedError(
            "The request has no key of a known client account.",
            remedy="Send the key that the operators gave you.",
            code=errors.Code.INVALID_API_KEY,
            status=401,
        )
    return account
