"""Run an entry host: wire its node to callers, upstreams, other hosts and control."""

from __future__ import annotations

import collections
import contextlib
import logging
import random
import secrets
import time
from typing import Any

import curio

from medlarfork import _stop_signal, logs, node, runner, uuid7
from medlarfork.entry import (
    _peer_links,
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
from medlarfork.http import http_client, http_server
from medlarfork.links import keys, link, wire
from medlarfork.settings import _settings_flag, program_exit

_log = logging.getLogger(__name__)

_WATCH_AFTER_S = 0.05
"""Requests older than this get a task that notices the caller's leaving, in seconds.

Most calls of plain services end sooner and never pay for one.
"""

_CUT_WITHIN_S = 5.0
"""How long connections may take to close once nothing is in progress, in seconds."""

_LINK_LINGER_S = 0.05
"""How long the last heartbeat may take to leave the process, in seconds."""


class EntryProgram:
    """Own the parts of one entry host's process."""

    def __init__(self, given: entry_settings.EntrySettings) -> None:
        """Prepare the parts that need no address."""
        self._given = given
        self._conversation_by_id: dict[str, caller_session.CallerSession] = {}
        self._unwatched: collections.deque[caller_session.CallerSession] = collections.deque()
        self._replies_by_call: dict[str, curio.Queue] = {}
        self._drained = curio.Event()
        self._tasks: list[curio.Task] = []
        self._metrics = telemetry.Telemetry()
        self._client = http_client.HttpClient()
        self._server = http_server.HttpServer(
            self._serve, host=given.http_host, port=given.http_port
        )
        self._link = link.Link(
            identity=given.entry_id,
            codec=wire.make_codec(),
            bind=given.link_address,
            keys=keys.load_if_configured(given.keys_folder, given.entry_id),
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
        for control in self._given.controls:
            self._link.connect(control.replica_id, control.link_address)
        await self._server.start()
        self._node = self._make_node()
        self._observe()
        self._metrics.start()
        self._api = entry_api.EntryApi(
            self._node,
            self._metrics,
            announce_key_sha256=self._given.announce_key_sha256,
            operator_key_sha256=self._given.operator_key_sha256,
        )
        self._runner = runner.Runner(self._node, perform=self._perform)
        await self._runner.start()
        self._tasks = [
            await curio.spawn(self._receive, daemon=True),
            await curio.spawn(self._watch_callers, daemon=True),
        ]
        logs.event(_log, "started", http=self.http_address, link=self._link.address)

    async def drain(self) -> None:
        """Stop gracefully: return once nothing is in progress or owned here any more."""
        logs.event(_log, "draining")
        await self._runner.post(entry_types.DrainRequested())
        await self._drained.wait()

    async def close(self) -> None:
        """Close everything; what is still in progress is cut."""
        await self._server.close(within_s=_CUT_WITHIN_S)
        for task in self._tasks:
            await task.cancel()
        await self._runner.close()
        await curio.sleep(_LINK_LINGER_S)
        await self._link.close()
        await self._client.close()
        self._metrics.close()
        logs.event(_log, "stopped")

    def _make_node(self) -> entry.EntryNode:
        given = self._given
        options = entry_options.EntryNodeOptions(
            entry_id=given.entry_id,
            incarnation=time.time_ns() // 1_000_000,
            link_address=self._link.address,
            http_address=self.http_address,
            data_centre=given.data_centre,
            control_ids=tuple(control.replica_id for control in given.controls),
            proof_s=given.proof_s,
            unproven=given.unproven,
            entries_lifetime_s=given.entries_lifetime_s,
            drain_limit_s=given.drain_limit_s,
            request_limit=given.request_limit,
        )
        return entry.EntryNode(options=options, random=random.Random(secrets.randbits(64)))

    def _observe(self) -> None:
        """Tell the metrics where to read their gauges."""

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
                await self._tell(request_id, action)
            case entry_types.FinishRelay(request_id):
                await self._tell(request_id, action)
            case entry_types.CancelAttempt(attempt_id):
                await self._cancel(attempt_id)
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

    async def _tell(self, request_id: str, action: Any) -> None:
        found = self._conversation_by_id.get(request_id)
        if found is not None:
            await found.enqueue_action(action)

    async def _cancel(self, attempt_id: str) -> None:
        found = self._conversation_by_id.get(entry_flow.request_id_of(attempt_id))
        if found is not None:
            await found.cancel_attempt(attempt_id)

    async def _receive(self) -> None:
        while True:
            await self._runner.post(await self._link.receive())

    async def _serve(self, exchange: http_server.Exchange) -> None:
        """Answer one HTTP request."""
        request_id = uuid7.make(
            time.time_ns() // 1_000_000, secrets.token_bytes(uuid7.RANDOM_BYTES)
        )
        if self._api.is_announcement(exchange.head):
            await self._take_announcement(exchange, request_id)
        elif not await self._api.serve(exchange, request_id):
            await self._converse(exchange, request_id)

    async def _take_announcement(self, exchange: http_server.Exchange, call_id: str) -> None:
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

    async def _converse(self, exchange: http_server.Exchange, request_id: str) -> None:
        """Pass a caller's request to the node and carry out what it decides."""
        head = exchange.head
        body = await exchange.read_body()
        raw = entry_types.RawRequest(
            request_id, head.method, head.path, head.query, head.headers, body
        )
        held = caller_session.CallerSession(raw, exchange, time.monotonic())
        self._conversation_by_id[request_id] = held
        self._unwatched.append(held)
        try:
            await self._runner.post(entry_types.RequestArrived(raw))
            await self._carry_out(held)
        finally:
            del self._conversation_by_id[request_id]
            if held.watcher is not None:
                await held.watcher.cancel()

    async def _carry_out(self, held: caller_session.CallerSession) -> None:
        while True:
            match await held.next_action():
                case entry_types.Dispatch() as action:
                    await self._start_attempt(held, action)
                case entry_types.Answer() as action:
                    await _join_attempt(held)
                    await held.answer(action)
                    return
                case entry_types.FinishRelay(complete=complete):
                    await _join_attempt(held)
                    await held.finish(complete=complete)
                    return
                case entry_types.CallerGone() as event:
                    await self._runner.post(event)
                    # The node awaits the end of an attempt that was not taken yet, too.
                    while (left := held.take_dispatch()) is not None:
                        await self._start_attempt(held, left)
                    await _join_attempt(held)
                    await held.exchange.abort()
                    return

    async def _start_attempt(
        self, held: caller_session.CallerSession, action: entry_types.Dispatch
    ) -> None:
        await _join_attempt(held)
        attempt = upstream_attempt.UpstreamAttempt(action, held, self._client, self._runner.post)
        held.run_attempt(action.attempt_id, await curio.spawn(attempt.run))

    async def _watch_callers(self) -> None:
        """Give requests that take long a task that notices the caller's leaving."""
        while True:
            await curio.sleep(_WATCH_AFTER_S)
            before = time.monotonic() - _WATCH_AFTER_S
            while self._unwatched and self._unwatched[0].opened_at <= before:
                held = self._unwatched.popleft()
                if held.raw.request_id in self._conversation_by_id:
                    held.watcher = await curio.spawn(self._watch, held)

    async def _watch(self, held: caller_session.CallerSession) -> None:
        await held.exchange.wait_caller_gone()
        await held.enqueue_action(entry_types.CallerGone(held.raw.request_id))


async def _join_attempt(held: caller_session.CallerSession) -> None:
    """Wait until the attempt has reported its end."""
    if held.attempt is not None:
        with contextlib.suppress(curio.TaskError):
            await held.attempt.join()
        held.attempt = None


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


async def _run_until_stopped(given: entry_settings.EntrySettings) -> None:
    told_to_stop = _stop_signal.StopSignal()
    told_to_stop.start()
    program = EntryProgram(given)
    try:
        await program.start()
        await told_to_stop.wait()
        await program.drain()
        await program.close()
    finally:
        told_to_stop.close()


def run() -> None:
    """Start the program from the command line."""
    with program_exit.exit_on_error():
        given = _settings_flag.read("medlar-entry", entry_settings.EntrySettings)
        logs.configure(given.log_level, given.entry_id)
        curio.run(_run_until_stopped, given)


if __name__ == "__main__":
    run()
