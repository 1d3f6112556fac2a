"""Admits callers' requests: finds route, client account and deadline, then runs the pipeline."""

from __future__ import annotations

import logging
import math
import random
import time
from typing import TYPE_CHECKING, Any

import curio

from medlarfork import errors, logs, timeouts
from medlarfork.gateway import (
    backpressure_tracker,
    crash_tracker,
    entry_load,
    entry_session,
    gateway_metrics,
    owner_client,
    request_header_names,
    request_hold,
    request_metadata,
    request_pipeline,
    request_types,
    retry_budget,
    stopping,
)
from medlarfork.http import _http_messages, http_client, http_server
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_subject
from medlarfork.resumption import stream_origin
from medlarfork.routes import route_table, routing

if TYPE_CHECKING:
    from medlarfork.gateway import body_budget, load_sampler, stream_budget

_log = logging.getLogger(__name__)

OVERLOAD_RETRY_AFTER_S = 0.1
"""Time in ``Retry-After`` when this host is overloaded, in seconds: the retry most likely goes to
another host, so it need not wait until this one has recovered."""


class RequestHandler:
    """Handles the exchanges of an entry host's HTTP server.

    Attributes:
        take_until: Monotonic time until which a stopping host takes requests; infinite while it is
            not stopping.
    """

    def __init__(
        self,
        *,
        zone: str,
        names: request_header_names.RequestHeaderNames,
        client: http_client.HttpClient,
        session: entry_session.EntrySession,
        owner: owner_client.OwnerClient,
        hold_queue: request_hold.HoldQueue,
        crashes: crash_tracker.CrashTracker,
        backpressure: backpressure_tracker.BackpressureTracker,
        usage: request_types.UsageRecorder,
        origins: request_types.OriginTracking,
        relaying: request_types.Relaying,
        tracking: request_types.ReachabilityTracking,
        rules: retry_budget.BudgetRules,
        metrics: gateway_metrics.GatewayMetrics,
        open_answer: request_types.OpenAnswer,
        sampler: load_sampler.LoadSampler | None = None,
        budget: stream_budget.StreamBudget[Any] | None = None,
        bodies: body_budget.BodyBudget | None = None,
    ) -> None:
        """Create a handler without a routing; it holds requests until ``apply_routing``."""
        self._zone = zone
        self._names = names
        self._client = client
        self._session = session
        self._owner = owner
        self._hold_queue = hold_queue
        self._crashes = crashes
        self._backpressure = backpressure
        self._usage = usage
        self._origins = origins
        self._relaying = relaying
        self._tracking = tracking
        self._rules = rules
        self._metrics = metrics
        self._sampler = sampler
        self._open_answer = open_answer
        self._budget = budget
        self._bodies = bodies
        self._table: route_table.RouteTable | None = None
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._random = random.Random()
        self._durations = stopping.AnswerDurations()
        self._serving: dict[request_pipeline.RequestPipeline, curio.Task] = {}
        self._runs = stopping.RunGuard()
        self.take_until = math.inf

    @property
    def cut_at(self) -> float:
        """Return when a stopping host cuts what is unfinished, in monotonic seconds, else inf."""
        return self._runs.cut_at

    @cut_at.setter
    def cut_at(self, at: float) -> None:
        self._runs.cut_at = at

    @property
    def is_stopping(self) -> bool:
        """Return whether the host is stopping."""
        return self.cut_at < math.inf

    @property
    def has_routing(self) -> bool:
        """Return whether a routing version is in force."""
        return self._table is not None

    @property
    def serving(self) -> int:
        """Return the number of admitted requests in progress."""
        return len(self._serving)

    @property
    def retry_tokens(self) -> dict[str, float]:
        """Return the tokens of each service's retry budget."""
        # Metrics are rendered in a thread, so this takes an atomic copy.
        return {service: budget.tokens for service, budget in list(self._budgets.items())}

    async def stop_taking(self) -> None:
        """Refuse all requests from now on, and those that are held for a routing."""
        self.take_until = time.monotonic()
        await self._hold_queue.notify_change()

    async def cut(self) -> None:
        """End all requests in progress: those whose answer has not begun with an answer."""
        for task in list(self._serving.values()):
            await task.cancel(blocking=False)

    def apply_routing(self, new_routing: routing.Routing) -> None:
        """Put a routing version in force."""
        self._table = route_table.RouteTable(new_routing)
        names = {route.name for route in new_routing.routes}
        self._durations.keep_routes(names)
        self._runs.keep_routes(names)
        now = time.monotonic()
        for service in new_routing.services:
            if service.name not in self._budgets:
                self._budgets[service.name] = retry_budget.RetryBudget(
                    self._rules, self._session.share, now
                )

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Handle one exchange with a caller."""
        for name in (self._names.relayed, self._names.origin):
            exchange.head.headers.pop(name, None)
        await self._handle(exchange)

    async def handle_relayed(self, exchange: http_server.Exchange) -> None:
        """Handle one exchange that another entry host has forwarded."""
        exchange.head.headers.setdefault(self._names.relayed, "0")
        await self._handle(exchange)

    async def _handle(self, exchange: http_server.Exchange) -> None:
        started_at = time.monotonic()
        if self.is_stopping:
            exchange.close_after()
        if self._sampler is not None and self._sampler.must_check:
            tier = self._tier_of_head(exchange.head)
            cause = self._sampler.refusal_cause(tier)
            if cause is not None:
                await self._refuse_overload(exchange, tier, cause)
                return
        lease = None if self._bodies is None else self._bodies.open_lease()
        try:
            body = await self._read_body(exchange, lease)
            if body is not None:
                await self._handle_body(exchange, body, started_at)
        finally:
            if lease is not None:
                lease.close()

    async def _read_body(
        self, exchange: http_server.Exchange, lease: body_budget.BodyLease | None
    ) -> bytes | None:
        """Return the body of a request, held by the lease; None if the request was refused."""
        if lease is None:
            return await exchange.read_body()
        try:
            self._check_body(exchange.head, lease)
            body = await exchange.read_body(lease.add_part)
            lease.hold(len(body))
        except errors.RequestRefusedError as error:
            await self._refuse(exchange, error)
            return None
        # Bodies that arrive at the same time don't count until they are complete.
        tier = self._tier_of_head(exchange.head) if body else 0
        if body and self._sampler is not None and self._sampler.is_full(tier):
            await self._refuse_overload(exchange, tier, "requests")
            return None
        return body

    async def _handle_body(
        self, exchange: http_server.Exchange, body: bytes, started_at: float
    ) -> None:
        """Serve a request whose body is read."""
        try:
            metadata = request_metadata.parse(exchange.head.headers, self._names)
            if not await self._wait_routing(exchange, metadata, started_at):
                return
            stopping.check_is_taking(self.take_until, time.monotonic())
            route, account = self._admit(exchange.head, metadata)
            self._check_can_finish(route, metadata)
        except errors.RequestRefusedError as error:
            await self._refuse(exchange, error)
            return
        admitted = self._make_admitted(exchange, route, account, metadata, body, started_at)
        if not admitted.is_relayed:
            self._budgets[admitted.service].record_request(started_at)
        pipeline = request_pipeline.RequestPipeline(admitted, self._shared_context())
        number = self._durations.begin(route.name, started_at)
        try:
            await self._serve(pipeline, admitted)
        finally:
            is_answered = pipeline.trace.result is request_types.Result.ANSWERED
            self._durations.end(
                route.name,
                number,
                time.monotonic(),
                is_answered=is_answered,
                expected_tokens=metadata.expected_tokens,
            )
        self._record(pipeline.trace, pipeline.admitted)

    def _check_body(self, head: http_server.RequestHead, lease: body_budget.BodyLease) -> None:
        """Check that there is memory for a large body before it is read.

        Raises:
            errors.RequestRefusedError: The request can't be served, or there is no room.
        """
        declared = int(head.headers.get("content-length", "0"))
        is_chunked = "transfer-encoding" in head.headers
        if not is_chunked and declared <= lease.free_bytes:
            return
        metadata = request_metadata.parse(head.headers, self._names)
        _, account = self._admit(head, metadata)
        lease.account = "" if account is None else account.name
        lease.check(declared)

    def _tier_of_head(self, head: http_server.RequestHead) -> int:
        """Return the tier of a request: the highest without routing, the lowest if invalid."""
        if self._table is None:
            return 0
        try:
            route, account = self._admit(head, request_metadata.parse(head.headers, self._names))
        except errors.RequestRefusedError:
            return entry_load.LOWEST_TIER
        return _tier(route, account)

    async def _refuse_overload(self, exchange: http_server.Exchange, tier: int, cause: str) -> None:
        """Refuse a request before its body is read, and close its connection."""
        self._metrics.count_refused(tier, cause)
        exchange.close_after()
        error = errors.RequestRefusedError(
            f"This entry host is overloaded ({cause}).",
            remedy="Use another entry host, or retry after the time in Retry-After.",
            code=errors.Code.OVERLOADED,
            status=503,
            headers={"Retry-After": f"{OVERLOAD_RETRY_AFTER_S:.3f}"},
        )
        await self._refuse(exchange, error)

    async def _wait_routing(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.RequestMetadata,
        started_at: float,
    ) -> bool:
        """Hold a request while no routing is in force; return False if its caller disconnects."""
        if self.has_routing or not self._is_taking:
            return True
        allowed_s = math.inf if metadata.deadline_ms is None else metadata.deadline_ms / 1000.0
        left_s = allowed_s - (time.monotonic() - started_at)
        async with curio.TaskGroup(wait=any) as group:
            held = await group.spawn(
                self._hold_queue.wait, lambda: self.has_routing or not self._is_taking, left_s
            )
            await group.spawn(exchange.wait_caller_gone)
        is_there = group.completed is held
        logs.event(
            _log,
            "request_held",
            request=metadata.attempt_id or None,
            routing=0 if self._table is None else self._table.version,
            caller_gone=not is_there,
        )
        if not is_there:
            await exchange.abort()
        return is_there

    def _admit(
        self, head: http_server.RequestHead, metadata: request_metadata.RequestMetadata
    ) -> tuple[routing.Route, routing.Account | None]:
        """Return the route and the client account of a request.

        Raises:
            errors.RequestRefusedError: The request can't be served.
        """
        table = self._table
        if table is None:
            raise errors.RequestRefusedError(
                "This entry host has no routing yet.",
                remedy="Use another entry host, or retry after the time in Retry-After.",
                code=errors.Code.STALE_CONFIGURATION,
                status=503,
                headers={"Retry-After": "0.500"},
            )
        route = table.route(head.headers.get("host", ""), head.path)
        if route is None:
            raise errors.RequestRefusedError(
                "No route matches the request's host and path.",
                remedy="Correct them, or ask the operators to declare a route.",
                code=errors.Code.NOT_FOUND,
                status=404,
            )
        return route, _account(table, route, metadata)

    @property
    def _is_taking(self) -> bool:
        return time.monotonic() < self.take_until

    def _check_can_finish(
        self, route: routing.Route, metadata: request_metadata.RequestMetadata
    ) -> None:
        """Check that this host would not cut a request of a route.

        Raises:
            errors.RequestRefusedError: It is stopping, and would most likely cut it.
        """
        if self.is_stopping:
            now = time.monotonic()
            allowed_s = _allowed_ms(route, metadata) / 1000.0
            bound_s = self._durations.bound_s(route.name, allowed_s, now, metadata.expected_tokens)
            stopping.check_can_finish(bound_s, self.cut_at, now)

    def _make_admitted(
        self,
        exchange: http_server.Exchange,
        route: routing.Route,
        account: routing.Account | None,
        metadata: request_metadata.RequestMetadata,
        body: bytes,
        started_at: float,
    ) -> request_types.AdmittedRequest:
        head = exchange.head
        name = "" if account is None else account.name
        key = crash_subject.request_key(
            name, head.method, head.headers.get("host", ""), head.target, body
        )
        return request_types.AdmittedRequest(
            exchange=exchange,
            metadata=metadata,
            route=route,
            key=key,
            service=route_table.choose_target(route, self._random.random()),
            account=name,
            tier=_tier(route, account),
            body=body,
            started_at=started_at,
            deadline_at=started_at + _allowed_ms(route, metadata) / 1000.0,
            is_relayed=self._names.relayed in head.headers,
            prior_runs=request_metadata.prior_runs(head.headers, self._names),
            origin=stream_origin.from_header(head.headers.get(self._names.origin, "")),
        )

    def _shared_context(self) -> request_types.SharedContext:
        return request_types.SharedContext(
            client=self._client,
            names=self._names,
            owner=self._owner,
            budgets=self._budgets,
            session=self._session,
            crashes=self._crashes,
            backpressure=self._backpressure,
            usage=self._usage,
            origins=self._origins,
            zone=self._zone,
            relaying=self._relaying,
            tracking=self._tracking,
            open_answer=self._open_answer,
            runs=self._runs,
            budget=self._budget,
        )

    async def _serve(
        self, pipeline: request_pipeline.RequestPipeline, admitted: request_types.AdmittedRequest
    ) -> None:
        """Serve until the final answer, the deadline, the caller's disconnect, or the cut.

        The connection is aborted only here, after both tasks have ended.
        """
        exchange = admitted.exchange
        try:
            async with curio.TaskGroup(wait=any) as group:
                serving = await group.spawn(self._serve_in_time, pipeline, admitted)
                self._serving[pipeline] = serving
                await group.spawn(exchange.wait_caller_gone)
        finally:
            self._serving.pop(pipeline, None)
            pipeline.end_ticket(placement_messages.RunEnd.CANCELLED)
        if group.completed is not serving:
            pipeline.record_caller_gone()
        elif isinstance(serving.exception, curio.TaskCancelled):
            await self._answer_cut(pipeline)
        elif serving.exception is not None:
            raise serving.exception
        if not exchange.finished:
            await exchange.abort()

    async def _serve_in_time(
        self, pipeline: request_pipeline.RequestPipeline, admitted: request_types.AdmittedRequest
    ) -> None:
        left_s = admitted.deadline_at - time.monotonic()
        try:
            try:
                await timeouts.call_with_timeout(max(left_s, 0.0), pipeline.serve)
            except curio.TaskTimeout:
                pipeline.end_ticket(placement_messages.RunEnd.CANCELLED)
                await pipeline.time_out()
        except errors.CallerDisconnectedError:
            pipeline.record_caller_gone()

    async def _answer_cut(self, pipeline: request_pipeline.RequestPipeline) -> None:
        try:
            await pipeline.cut()
        except errors.CallerDisconnectedError:
            pipeline.record_caller_gone()

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
        if self._names.relayed in exchange.head.headers:
            headers[self._names.own_answer] = "1"
        body = _http_messages.error_body(error, error.status)
        await exchange.respond(error.status, headers, body)

    def _record(self, trace: request_types.Trace, admitted: request_types.AdmittedRequest) -> None:
        """Log the request's data in one line, and count it."""
        took_ms = (time.monotonic() - admitted.started_at) * 1000.0
        self._metrics.count(admitted.account, admitted.route.name, trace.status, took_ms)
        if trace.held_key:
            self._metrics.count_held(is_part=crash_subject.is_part(trace.held_key))
        logs.event(
            _log,
            "request",
            request=admitted.metadata.attempt_id or None,
            key=admitted.key,
            route=admitted.route.name,
            service=admitted.service,
            account=admitted.account or None,
            parts=request_types.format_parts(admitted.shared_parts),
            tier=admitted.tier,
            routing=0 if self._table is None else self._table.version,
            result=trace.result.value,
            status=trace.status,
            upstreams=",".join(trace.upstreams) or None,
            versions=",".join(trace.versions) or None,
            resumes=admitted.metadata.resumes or None,
            after_event=admitted.metadata.last_event_id or None,
            retries=trace.retries or None,
            relays=",".join(trace.relays) or None,
            relayed=admitted.is_relayed or None,
            tickets=",".join(trace.tickets) or None,
            waited_ms=round(trace.waited_ms, 1),
            first_ms=round(trace.first_event_ms, 1),
            pause_ms=round(trace.max_gap_ms, 1) or None,
            framing=trace.framing or None,
            partial_bytes=trace.partial_bytes or None,
            held=trace.held_key or None,
            took_ms=round(took_ms, 1),
            allowed_ms=round((admitted.deadline_at - admitted.started_at) * 1000.0),
            why="; ".join(trace.reasons) or None,
        )


def _allowed_ms(route: routing.Route, metadata: request_metadata.RequestMetadata) -> float:
    """Return the time for a request's final answer: the route's timeout or its own deadline."""
    if metadata.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, metadata.deadline_ms - request_pipeline.DEADLINE_MARGIN_MS)


def _tier(route: routing.Route, account: routing.Account | None) -> int:
    """Return the tier of a request: that of its account, if set, or that of its route."""
    return route.tier if account is None or account.tier is None else account.tier


def _account(
    table: route_table.RouteTable, route: routing.Route, metadata: request_metadata.RequestMetadata
) -> routing.Account | None:
    """Return the client account of a request's API key; None if no key is needed.

    Raises:
        errors.RequestRefusedError: The route needs a key and the request has no known one.
    """
    if route.is_public or not table.needs_keys:
        return None
    account = table.account(metadata.api_key)
    if account is None:
        raise errors.RequestRefusedError(
            "The request has no API key of a known client account.",
            remedy="Send the API key that the operators gave you.",
            code=errors.Code.INVALID_API_KEY,
            status=401,
        )
    return account
