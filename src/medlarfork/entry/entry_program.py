"""Program of an entry host: connects its node to callers, upstreams, other hosts and control."""

from __future__ import annotations

import collections
import contextlib
import logging
import random
import secrets
import time
from typing import Any

import curio

from medlarfork import _stop_signal, logs, node, runner, uuid7, vital_tasks
from medlarfork.entry import (
    _peer_links,
    _recent_upstreams,
    _upstream_gauges,
    caller_session,
    entry,
    entry_api,
    entry_flow,
    entry_options,
    entry_settings,
    entry_types,
    telemetry,
    upstream_attempt,
)
from medlarfork.http import (
    answer_budget,
    http_client,
    http_server,
    input_gate,
    process_size,
    reachability_prober,
)
from medlarfork.links import keys, link, wire
from medlarfork.settings import _settings_flag, program_exit

_log = logging.getLogger(__name__)

_WATCH_DELAY_S = 0.05
"""Age from which a request gets a task that detects a closed caller connection, in seconds.

Most calls of plain services end sooner, which saves them the cost of the task.
"""

_CLOSE_TIMEOUT_S = 5.0
"""Timeout for closing connections once nothing is in progress, in seconds."""

_LINK_LINGER_S = 0.05
"""Time for the last heartbeat to be sent before the link is closed, in seconds."""


_ALL_SERVICES = "all"
"""Name under which the reachability of all upstreams is tracked: grants name no service."""


class EntryProgram:
    """Owns the parts of an entry host process."""

    def __init__(self, settings: entry_settings.EntrySettings) -> None:
        """Create the parts that need no listening address."""
        self._settings = settings
        self._session_by_id: dict[str, caller_session.CallerSession] = {}
        self._unwatched: collections.deque[caller_session.CallerSession] = collections.deque()
        self._replies_by_call: dict[str, curio.Queue] = {}
        self._drained = curio.Event()
        self._tasks = vital_tasks.VitalTasks()
        self._metrics = telemetry.Telemetry()
        self._prober = reachability_prober.ReachabilityProber(settings.entry_id)
        self._client = http_client.HttpClient(observer=self._prober)
        self._prober.use_client(self._client.reach)
        self._recent_upstreams = _recent_upstreams.RecentUpstreams()
        self._answers = answer_budget.AnswerBudget(settings.memory_mb)
        self._is_cut_off = False
        limits = process_size.connection_limits(
            http_server.HttpLimits(),
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
        )
        self._server = http_server.HttpServer(
            self._serve,
            host=settings.http_host,
            port=settings.http_port,
            limits=limits,
            gate=input_gate.InputGate(process_size.receive_mb(settings.memory_mb)),
        )
        self._link = link.Link(
            identity=settings.entry_id,
            codec=wire.make_codec(),
            bind=settings.link_address,
            keys=keys.load_if_configured(settings.keys_folder, settings.entry_id),
        )
        self._peer_links = _peer_links.PeerLinks(self._link)

    @property
    def http_address(self) -> str:
        """Return ``http://IP:PORT`` for callers and upstreams."""
        return self._server.address

    async def start(self) -> None:
        """Open the link and the HTTP server and start the node."""
        await self._client.start()
        await self._link.start()
        for control in self._settings.controls:
            self._link.connect(control.replica_id, control.link_address)
        await self._server.start()
        self._node = self._make_node()
        self._register_gauges()
        self._metrics.start()
        self._api = entry_api.EntryApi(
            self._node,
            self._metrics,
            announce_key_sha256=self._settings.announce_key_sha256,
            operator_key_sha256=self._settings.operator_key_sha256,
        )
        self._runner = runner.Runner(self._node, perform=self._perform)
        await self._runner.start()
        await self._tasks.spawn(self._receive)
        await self._tasks.spawn(self._watch_callers)
        await self._tasks.spawn(self._prober.run)
        logs.event(_log, "started", http=self.http_address, link=self._link.address)

    async def drain(self) -> None:
        """Stop gracefully; return once nothing is in progress or owned here any more."""
        logs.event(_log, "draining")
        await self._runner.post(entry_types.DrainRequested())
        await self._drained.wait()

    async def close(self) -> None:
        """Close everything; requests still in progress are aborted."""
        await self._server.close(within_s=_CLOSE_TIMEOUT_S)
        await self._tasks.close()
        await self._runner.close()
        await curio.sleep(_LINK_LINGER_S)
        await self._link.close()
        await self._client.close()
        self._metrics.close()
        logs.event(_log, "stopped")

    def _make_node(self) -> entry.EntryNode:
        settings = self._settings
        options = entry_options.EntryNodeOptions(
            entry_id=settings.entry_id,
            incarnation=time.time_ns() // 1_000_000,
            link_address=self._link.address,
            http_address=self.http_address,
            data_centre=settings.data_centre,
            control_ids=tuple(control.replica_id for control in settings.controls),
            proof_s=settings.proof_s,
            unproven=settings.unproven,
            entries_lifetime_s=settings.entries_lifetime_s,
            drain_limit_s=settings.drain_limit_s,
            request_limit=settings.request_limit,
        )
        return entry.EntryNode(options=options, random=random.Random(secrets.randbits(64)))

    def _register_gauges(self) -> None:
        """Register the sources of the gauges."""

        def _status() -> Any:
            return self._node.status(time.monotonic())

        def _one(value: float) -> list[telemetry.GaugeValue]:
            return [telemetry.GaugeValue(value)]

        observe = self._metrics.observe
        observe(telemetry.Gauge.QUEUE_LENGTH, lambda: _one(_status().queued))
        observe(telemetry.Gauge.UPSTREAMS, lambda: _one(len(_status().upstreams)))
        observe(telemetry.Gauge.REVISION, lambda: _one(_status().revision))
        observe(telemetry.Gauge.MEMBERS, lambda: _one(len(_status().members)))
        observe(telemetry.Gauge.EXCHANGES, lambda: _one(self._server.exchanges))
        observe(telemetry.Gauge.CONNECTIONS, lambda: _one(self._server.connections))
        _upstream_gauges.observe(self._metrics, lambda: _status().upstreams)

    async def _perform(self, action: Any) -> None:
        match action:
            case node.Send(to, message):
                self._send(to, message)
            case entry_types.Dispatch(request_id) | entry_types.Answer(request_id):
                await self._enqueue_action(request_id, action)
            case entry_types.FinishRelay(request_id):
                await self._enqueue_action(request_id, action)
            case entry_types.CancelAttempt(attempt_id):
                await self._cancel_attempt(attempt_id)
            case entry_types.AnnouncementAnswered(call_id, reply):
                await self._replies_by_call[call_id].put(reply)
            case entry_types.Record():
                self._metrics.record(action)
                _log_record(action)
            case entry_types.ConfigurationApplied(revision):
                logs.event(_log, "configuration_applied", revision=revision)
            case entry_types.Drained():
                await self._drained.set()

    def _send(self, to: str, message: Any) -> None:
        now = time.monotonic()
        self._peer_links.close_idle(now)
        member = self._node.view.member_by_id.get(to)
        if member is None:
            self._link.send(to, message)
        else:
            self._peer_links.send(to, member.link_address, message, now)

    async def _enqueue_action(self, request_id: str, action: Any) -> None:
        session = self._session_by_id.get(request_id)
        if session is not None:
            await session.enqueue_action(action)

    async def _cancel_attempt(self, attempt_id: str) -> None:
        session = self._session_by_id.get(entry_flow.request_id_of(attempt_id))
        if session is not None:
            await session.cancel_attempt(attempt_id)

    async def _receive(self) -> None:
        while True:
            await self._runner.post(await self._link.receive())

    async def _serve(self, exchange: http_server.Exchange) -> None:
        """Answer an HTTP request."""
        request_id = uuid7.make(
            time.time_ns() // 1_000_000, secrets.token_bytes(uuid7.RANDOM_BYTES)
        )
        if self._api.is_announcement(exchange.head):
            await self._serve_announcement(exchange, request_id)
        elif not await self._api.serve(exchange, request_id):
            await self._serve_request(exchange, request_id)

    async def _serve_announcement(self, exchange: http_server.Exchange, call_id: str) -> None:
        if not self._api.may_announce(exchange.head):
            await self._api.refuse_announcement(exchange)
            return
        announcement = await self._api.read_announcement(exchange)
        if announcement is None:
            return
        replies = self._replies_by_call[call_id] = curio.Queue()
        try:
            await self._runner.post(entry_types.AnnouncementReceived(call_id, announcement))
            await self._api.answer_announcement(exchange, await replies.get())
        finally:
            del self._replies_by_call[call_id]

    async def _serve_request(self, exchange: http_server.Exchange, request_id: str) -> None:
        """Pass a caller's request to the node and perform the node's actions for it."""
        head = exchange.head
        body = await exchange.read_body()
        raw = entry_types.RawRequest(
            request_id, head.method, head.path, head.query, head.headers, body
        )
        session = caller_session.CallerSession(raw, exchange, time.monotonic())
        self._session_by_id[request_id] = session
        self._unwatched.append(session)
        try:
            await self._runner.post(entry_types.RequestArrived(raw))
            await self._perform_session(session)
        finally:
            del self._session_by_id[request_id]
            session.release()
            if session.watcher is not None:
                await session.watcher.cancel()

    async def _perform_session(self, session: caller_session.CallerSession) -> None:
        while True:
            match await session.next_action():
                case entry_types.Dispatch() as action:
                    await self._start_attempt(session, action)
                case entry_types.Answer() as action:
                    await _join_attempt(session)
                    await session.answer(action)
                    return
                case entry_types.FinishRelay(complete=complete):
                    await _join_attempt(session)
                    await session.finish(complete=complete)
                    return
                case entry_types.CallerGone() as event:
                    await self._runner.post(event)
                    # The node also awaits the end of attempts whose dispatch is still queued.
                    while (left := session.pop_dispatch()) is not None:
                        await self._start_attempt(session, left)
                    await _join_attempt(session)
                    await session.exchange.abort()
                    return

    async def _start_attempt(
        self, session: caller_session.CallerSession, action: entry_types.Dispatch
    ) -> None:
        await _join_attempt(session)
        attempt = upstream_attempt.UpstreamAttempt(
            action,
            session,
            self._client,
            self._runner.post,
            self._has_lost_links,
            self._answers,
        )
        address = action.address.removeprefix("http://")
        if self._recent_upstreams.record(address, time.monotonic()):
            self._use_recent_upstreams()
        await self._prober.begin_attempt(action.attempt_id)
        running = await curio.spawn(self._run_attempt, attempt, action)
        session.set_attempt(action.attempt_id, running)

    def _has_lost_links(self) -> bool:
        return self._prober.reachability.is_suspect(_ALL_SERVICES)

    async def _report_reachability(self) -> None:
        """Tell the node if this host has lost all upstreams, or reaches one again."""
        if self._recent_upstreams.expire(time.monotonic()):
            self._use_recent_upstreams()
        is_cut_off = self._prober.reachability.is_cut_off
        if is_cut_off is not self._is_cut_off:
            self._is_cut_off = is_cut_off
            await self._runner.post(entry_types.ReachabilityChanged(is_cut_off))

    def _use_recent_upstreams(self) -> None:
        addresses = self._recent_upstreams.addresses
        by_service = {_ALL_SERVICES: addresses} if addresses else {}
        self._prober.reachability.use_addresses(by_service)

    async def _run_attempt(
        self, attempt: upstream_attempt.UpstreamAttempt, action: entry_types.Dispatch
    ) -> None:
        try:
            await attempt.run()
        finally:
            self._prober.end_attempt(action.attempt_id)

    async def _watch_callers(self) -> None:
        """Start a task for each long request that detects a closed caller connection.

        It also reports changes of the reachability of upstreams.
        """
        while True:
            await curio.sleep(_WATCH_DELAY_S)
            await self._report_reachability()
            before = time.monotonic() - _WATCH_DELAY_S
            while self._unwatched and self._unwatched[0].opened_at <= before:
                session = self._unwatched.popleft()
                if session.raw.request_id in self._session_by_id:
                    session.watcher = await curio.spawn(self._watch, session)

    async def _watch(self, session: caller_session.CallerSession) -> None:
        await session.exchange.wait_caller_gone()
        await session.enqueue_action(entry_types.CallerGone(session.raw.request_id))


async def _join_attempt(session: caller_session.CallerSession) -> None:
    """Wait until the attempt has reported its end."""
    if session.attempt is not None:
        with contextlib.suppress(curio.TaskError):
            await session.attempt.join()
        session.attempt = None


def _log_record(record: entry_types.Record) -> None:
    logs.event(
        _log,
        "request_finished",
        request_id=record.request_id,
        account=record.account,
        request_class=record.class_name,
        service=record.service,
        outcome=record.outcome,
        status=record.status,
        code=record.code or None,
        queued_s=record.queued_s,
        first_token_s=record.first_token_s,
        whole_s=record.whole_s,
        in_target=record.in_target,
        tokens=record.tokens,
        attempts=record.attempts,
        revision=record.revision,
    )


async def _run_until_stopped(settings: entry_settings.EntrySettings) -> None:
    stop_signal = _stop_signal.StopSignal()
    stop_signal.start()
    program = EntryProgram(settings)
    try:
        await program.start()
        # Also closes if a failed task ends the process: open links would keep it from exiting.
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(vital_tasks.close_fully, program.close)
            await stop_signal.wait()
            await program.drain()
    finally:
        stop_signal.close()


def run() -> None:
    """Start the program from the command line."""
    with program_exit.exit_on_error():
        settings = _settings_flag.read("medlar-entry", entry_settings.EntrySettings)
        logs.configure(settings.log_level, settings.entry_id)
        curio.run(_run_until_stopped, settings)


if __name__ == "__main__":
    run()
