"""The entry host process of a routed deployment: its sockets, tasks and message handling."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import logging
import signal
import socket
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import curio

from medlarfork import _stop_signal, codec, logs, vital_tasks
from medlarfork.backpressure import signal_messages
from medlarfork.coordination import coordination_messages
from medlarfork.duties import usage_messages
from medlarfork.gateway import (
    backpressure_tracker,
    crash_tracker,
    entry_load,
    entry_session,
    gateway_metrics,
    gateway_settings,
    origin_tracker,
    owner_client,
    request_handler,
    request_header_names,
    request_hold,
    request_types,
)
from medlarfork.http import http_client, http_server, reachability_prober
from medlarfork.links import link, routed_links
from medlarfork.metrics import process_metrics
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages
from medlarfork.resumption import origin_messages
from medlarfork.routes import routing

if TYPE_CHECKING:
    from medlarfork.gateway import (
        body_budget,
        load_sampler,
        relay_client,
        stream_budget,
        usage_reporter,
    )
    from medlarfork.http import answer_budget, input_gate

_log = logging.getLogger(__name__)

DIRECTORY_LAG_S = 2.8
"""How long this host takes requests after it has left the directory, in seconds: directory answers
are valid for 2 s. A request that was sent 3 s after the signal has to be finished, or not be taken;
the rest is for a host that is busy when its signal comes."""

EXIT_MARGIN_S = 0.6
"""Time before the end of the grace period at which remaining requests are cut, in seconds."""

LAST_ANSWERS_S = 0.2
"""Time for the answers of requests that are cut to leave, in seconds."""

_DRAIN_POLL_S = 0.05
"""Interval at which a stopping host checks whether it has finished, in seconds."""

CALLER_LIMITS = http_server.HttpLimits(stall_s=5.0, unacknowledged_s=4.0)
"""Limits for callers; a connection without an acknowledgement for 4 s counts as lost."""

UPSTREAM_LIMITS = http_client.ClientLimits(connect_s=1.0, idle_s=20.0, unacknowledged_s=1.5)
"""Limits for upstreams; each attempt sets its own time without an acknowledgement."""

HEALTH_LIMITS = http_server.HttpLimits(connections=64)
"""Limits for health checks and metrics."""

RECEIVE_SHARE = 0.65
"""Share of the memory for requests that what clients send may take; the rest is left for tasks,
connections, and responses that are held."""

RELAY_SHARE = 0.25
"""Connections that other entry hosts may open here, as a share of those of callers."""

Decode = Callable[[bytes], routing.Routing]
"""Decodes a routing body that a replica has validated."""

ReadSeeds = Callable[[], tuple[str, ...]]
"""Reads the current seeds from the settings."""


class GatewayProgram:
    """The sockets and tasks of an entry host."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        *,
        names: request_header_names.RequestHeaderNames,
        decode: Decode,
        read_seeds: ReadSeeds,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Create the components; nothing is opened before ``start``.

        Args:
            settings: The settings.
            names: Names of the headers of callers and upstreams.
            decode: Decodes a routing body.
            read_seeds: Reads the current seeds from the settings.
            listening_socket: Socket that listens for callers; None to open one in ``start``.
        """
        self._settings = settings
        self._decode = decode
        self._read_seeds = read_seeds
        self._session = entry_session.EntrySession(settings.seeds)
        self._link = _make_link(settings)
        self._hold_queue = request_hold.HoldQueue()
        self._backpressure = backpressure_tracker.BackpressureTracker(
            settings.entry_id, names, self._session, self._link.send
        )
        self._owner = owner_client.OwnerClient(
            settings.entry_id,
            self._session,
            self._link.send,
            self._hold_queue,
            self._backpressure.gate,
            self._backpressure.send_known_signals,
        )
        self._prober = reachability_prober.ReachabilityProber(
            settings.entry_id, self._handle_reachability_change
        )
        self._client = http_client.HttpClient(limits=UPSTREAM_LIMITS, observer=self._prober)
        self._prober.use_client(self._client.reach)
        self._relaying = self._make_relaying()
        self._crashes = crash_tracker.CrashTracker(
            self._client, self._session, self._link.send, self._prober.has_other_contact
        )
        self._origins = origin_tracker.OriginTracker(
            settings.entry_id, self._session, self._link.send
        )
        self._usage = self._make_usage_reporter() if settings.usage_window_s else None
        self._metrics = gateway_metrics.GatewayMetrics(self._gauges)
        self._metrics.process.gauge(
            "medlar_local_waiting",
            "Requests that wait at this host for a slot of its share, without an owner.",
            lambda: self._owner.local_waiting,
        )
        self._metrics.process.labelled_gauge(
            "medlar_retry_tokens",
            "Retries that this host's share of a service's budget allows.",
            "service",
            lambda: self._handler.retry_tokens,
        )
        self._budget = self._make_budget() if settings.memory_mb > 0 else None
        self._bodies = self._make_bodies() if settings.memory_mb > 0 else None
        self._answers: answer_budget.AnswerBudget | None = None
        self._metrics.process.gauge(
            "medlar_answer_bytes",
            "Bytes of large answers that are read completely, and of large incomplete events.",
            lambda: 0 if self._answers is None else self._answers.held_bytes,
        )
        self._metrics.process.gauge(
            "medlar_answers_ended",
            "Answers that were ended as there was no memory for them.",
            lambda: 0 if self._answers is None else self._answers.evictions,
        )
        self._sampler = self._make_sampler() if entry_load.states_size(settings) else None
        self._handler = self._make_handler(names)
        self._gate = _make_gate(settings.memory_mb)
        self._server = http_server.create_server(
            self._handler.handle,
            settings.serve,
            _caller_limits(settings),
            listening_socket,
            self._gate,
        )
        self._relay_server = (
            http_server.create_server(
                self._handler.handle_relayed,
                settings.relay,
                _relay_limits(settings),
                gate=self._gate,
            )
            if settings.relay
            else None
        )
        self._health = (
            http_server.create_server(
                self._serve_health, settings.health, HEALTH_LIMITS, gate=self._gate
            )
            if settings.health
            else None
        )
        self._tasks = vital_tasks.VitalTasks()
        self._faults = 0

    @property
    def is_ready(self) -> bool:
        """Return whether the directory may list this host."""
        return self._handler.has_routing and not self._handler.is_stopping

    @property
    def _servers(self) -> tuple[http_server.HttpServer, ...]:
        """Return the servers of requests: those of callers, and those forwarded by other hosts."""
        return (self._server,) if self._relay_server is None else (self._server, self._relay_server)

    async def start(self) -> None:
        """Open the link and the servers."""
        await self._link.start()
        await self._client.start()
        self._connect_replicas()
        await self._relaying.start()
        await self._server.start()
        if self._relay_server is not None:
            await self._relay_server.start()
        if self._health is not None:
            await self._health.start()
        await self._tasks.spawn(self._receive)
        await self._tasks.spawn(self._run_periodic_tasks)
        await self._tasks.spawn(self._prober.run)
        await self._tasks.spawn(self._origins.report_periodically)
        if self._sampler is not None:
            await self._tasks.spawn(self._sampler.run)
        if self._usage is not None:
            await self._tasks.spawn(self._usage.report_periodically, self._session)
        logs.event(_log, "started", entry=self._settings.entry_id, serve=self._settings.serve)

    async def stop(self, requested_at: float | None = None) -> None:
        """Leave the directory, serve while callers may still connect, then drain.

        While it drains, every request is refused as not run, on new connections too.

        Args:
            requested_at: When the stop was requested, in monotonic seconds; None for now.
        """
        now = time.monotonic()
        started_at = now if requested_at is None else requested_at
        logs.event(
            _log,
            "stopping",
            exchanges=self._server.exchanges,
            delay_ms=round((now - started_at) * 1000.0, 1),
        )
        cut_at = started_at + self._settings.grace_s - EXIT_MARGIN_S
        take_s = min(DIRECTORY_LAG_S, self._settings.grace_s / 2)
        self._handler.take_until = started_at + take_s
        self._handler.cut_at = cut_at
        self._send_status(self._session.replicas)
        await curio.sleep(max(started_at + take_s - now, 0.0))
        await self._handler.stop_taking()
        while self._handler.serving and time.monotonic() < cut_at:
            await curio.sleep(_DRAIN_POLL_S)
        await self._handler.cut()
        async with curio.TaskGroup() as closing:
            for server in self._servers:
                left_s = max(cut_at - time.monotonic(), LAST_ANSWERS_S)
                await closing.spawn(functools.partial(server.close, within_s=left_s))

    async def close(self) -> None:
        """Close everything."""
        for server in self._servers:
            await server.close(within_s=0.0)
        if self._usage is not None:
            self._usage.report(self._session.leader_id)
        if self._health is not None:
            await self._health.close(within_s=0.0)
        self._origins.report()
        await self._tasks.close()
        await self._client.close()
        await self._relaying.close()
        await self._link.close()
        self._metrics.process.close()
        logs.event(_log, "stopped")

    def reload(self) -> None:
        """Read the seeds from the settings again and connect to them."""
        seeds = self._read_seeds()
        self._session.add_seeds(seeds)
        self._connect_replicas()
        logs.event(_log, "reloaded", seeds=",".join(seeds))

    def _make_handler(
        self, names: request_header_names.RequestHeaderNames
    ) -> request_handler.RequestHandler:
        return request_handler.RequestHandler(
            zone=self._settings.zone,
            names=names,
            client=self._client,
            session=self._session,
            owner=self._owner,
            hold_queue=self._hold_queue,
            crashes=self._crashes,
            backpressure=self._backpressure,
            origins=self._origins,
            usage=self._usage or request_types.NullUsageRecorder(),
            relaying=self._relaying,
            tracking=self._prober,
            rules=self._settings.budget,
            metrics=self._metrics,
            open_answer=self._open_answer,
            sampler=self._sampler,
            budget=self._budget,
            bodies=self._bodies,
        )

    def _make_sampler(self) -> load_sampler.LoadSampler:
        # Imported only where a size of the host is stated: it makes the start-up slower.
        from medlarfork.gateway import load_sampler

        sampler = load_sampler.LoadSampler(
            self._settings,
            read_requests=self._count_requests,
            on_change=lambda: self._send_status(self._session.replicas),
        )
        self._metrics.observe_utilisation(lambda: sampler.load.utilisation)
        return sampler

    def _make_budget(self) -> stream_budget.StreamBudget[Any]:
        # Imported only where the memory is stated: it makes the start-up slower.
        from medlarfork.gateway import stream_budget

        budget: stream_budget.StreamBudget[Any] = stream_budget.StreamBudget(
            self._settings.memory_mb
        )
        self._metrics.process.gauge(
            "medlar_held_bytes",
            "Bytes of responses that their callers have not read yet.",
            lambda: budget.held_bytes,
        )
        return budget

    def _make_bodies(self) -> body_budget.BodyBudget:
        # Imported only where the memory is stated: it makes the start-up slower.
        from medlarfork.gateway import body_budget

        bodies = body_budget.BodyBudget(self._settings.memory_mb)
        self._metrics.process.gauge(
            "medlar_body_bytes",
            "Bytes of memory that large request bodies take.",
            lambda: bodies.held_bytes,
        )
        return bodies

    def _open_answer(self, end: Callable[[], None]) -> answer_budget.AnswerLease:
        """Return the lease of a large answer; ``end`` ends the answer while it arrives."""
        # Imported with the first one: it makes the start-up slower.
        from medlarfork.http import answer_budget

        if self._answers is None:
            self._answers = answer_budget.AnswerBudget(self._settings.memory_mb, entry_load.BASE_MB)
        return answer_budget.AnswerLease(self._answers, end)

    def _count_requests(self) -> int:
        """Return the requests in progress, and those that would take the memory of held bytes."""
        held = 0 if self._budget is None else self._budget.held_requests
        held += 0 if self._bodies is None else self._bodies.held_requests
        return sum(server.exchanges for server in self._servers) - self._gate.budget.arriving + held

    def _make_relaying(self) -> relay_client.RelayClient:
        # Imported here, so that the host listens before this is loaded.
        from medlarfork.gateway import relay_client

        return relay_client.RelayClient()

    def _make_usage_reporter(self) -> usage_reporter.UsageReporter:
        # Imported only where usage is reported: it makes the start-up slower.
        from medlarfork.gateway import usage_reporter

        return usage_reporter.UsageReporter(self._settings.usage_window_s, self._link.send)

    async def _receive(self) -> None:
        while True:
            received = await self._link.receive()
            try:
                await self._handle_message(received.sender, received.message)
            except Exception as error:
                # A message that can't be handled loses only itself.
                self._faults += 1
                kind = type(received.message).__name__
                logs.event(_log, "fault", severity=logging.ERROR, part=kind, cause=error)

    async def _handle_message(self, sender: str, message: Any) -> None:
        now = time.monotonic()
        match message:
            case coordination_messages.RoutingPush(version, packed_body):
                if self._session.accept_routing(sender, version, now):
                    self._apply_routing(sender, packed_body)
                    await self._hold_queue.notify_change()
            case coordination_messages.ReplicaStatus():
                self._apply_status(sender, message, now)
                self._crashes.sync_if_restarted(sender, message.up_s)
                self._backpressure.sync_if_restarted(sender, message.up_s)
                self._origins.sync_if_restarted(sender, message.up_s)
                if self._usage is not None:
                    self._usage.observe_clock(sender, message.wall_s)
                self._connect_replicas()
                self._owner.notify_owners(now)
                await self._owner.wake_queued()
            case coordination_messages.ViewPush():
                await self._apply_view(sender, message, now)
            case coordination_messages.RelayHosts(addresses):
                self._session.record_contact(sender, now)
                await self._relaying.use_hosts(addresses)
            case crash_messages.CrashReport():
                self._session.record_contact(sender, now)
                self._crashes.apply_report(message)
            case signal_messages.SignalReport():
                self._session.record_contact(sender, now)
                self._backpressure.apply_report(message)
            case origin_messages.OriginReply():
                self._session.record_contact(sender, now)
                await self._origins.apply_reply(sender, message)
            case usage_messages.UsageReceipt() if self._usage is not None:
                self._usage.apply_receipt(sender, message)
            case _ if type(message) in placement_messages.PLACEMENT_MESSAGES:
                await self._owner.handle_reply(sender, message)
            case _:
                logs.event(_log, "message_unexpected", sender=sender, kind=type(message).__name__)

    def _apply_status(
        self, sender: str, status: coordination_messages.ReplicaStatus, now: float
    ) -> None:
        """Apply a replica's status; log it if it changes by how many hosts limits are divided."""
        previous_hosts, previous_share = self._session.entry_hosts, self._session.share(now)
        self._session.apply_message(sender, status, now)
        hosts, share = self._session.entry_hosts, self._session.share(now)
        if (hosts, share) == (previous_hosts, previous_share):
            return
        logs.event(
            _log,
            "entry_hosts_changed",
            hosts=hosts,
            before=previous_hosts,
            has_share=share > 0,
            replica=sender,
            replica_up_s=round(status.up_s, 1),
            leader=status.leader_id or None,
        )

    async def _apply_view(
        self, sender: str, push: coordination_messages.ViewPush, now: float
    ) -> None:
        """Apply a view change; log it if it changes the usable upstreams."""
        previous_upstreams = self._session.upstream_by_id
        self._session.apply_message(sender, push, now)
        upstreams = self._session.upstream_by_id
        if upstreams is previous_upstreams:
            return
        self._prober.reachability.use_addresses(self._session.addresses_by_service)
        self._owner.report_moved_runs(now)
        self._owner.use_view(now)
        self._crashes.check_replacements()
        await self._hold_queue.notify_change()
        logs.event(
            _log,
            "view",
            replica=sender,
            boot=push.boot,
            sequence=push.sequence,
            present=len(push.change.present),
            left=",".join(push.change.left) or None,
            upstreams=len(upstreams),
        )

    def _apply_routing(self, sender: str, packed_body: bytes) -> None:
        new_routing = self._decode(zlib.decompress(packed_body))
        self._handler.apply_routing(new_routing)
        self._owner.use_services(new_routing.services)
        logs.event(
            _log,
            "routing_in_force",
            version=new_routing.version,
            replica=sender,
            routes=len(new_routing.routes),
        )
        self._send_status(self._session.replicas)

    async def _run_periodic_tasks(self) -> None:
        started_at = time.monotonic()
        while True:
            now = time.monotonic()
            self._session.drop_silent_replicas(now)
            self._send_status(self._session.status_recipients(now))
            self._crashes.on_tick()
            self._backpressure.on_tick()
            self._origins.on_tick()
            self._connect_replicas()
            await curio.sleep(self._session.status_period_s(now - started_at))

    def _handle_reachability_change(self) -> None:
        if not self._prober.reachability.unreachable_services:
            self._relaying.forget_hosts()
        self._send_status(self._session.replicas)

    def _send_status(self, replica_ids: tuple[str, ...]) -> None:
        load = None if self._sampler is None else self._sampler.load
        reachability = self._prober.reachability
        for replica_id in replica_ids:
            status = self._session.status_for(
                replica_id,
                address=self._settings.serve,
                zone=self._settings.zone,
                is_ready=self.is_ready,
                capacity=0.0 if load is None else load.capacity,
                utilisation=0.0 if load is None else load.utilisation,
                relay=self._settings.relay,
                unreachable=reachability.unreachable_services,
                is_cut_off=reachability.is_cut_off,
            )
            self._link.send(replica_id, status)

    def _connect_replicas(self) -> None:
        wanted = self._session.replicas
        for replica_id in wanted:
            address = f"tcp://{replica_id}:{self._settings.replica_link_port}"
            self._link.connect(replica_id, address)
        for replica_id in self._link.peers:
            if replica_id not in wanted:
                self._link.disconnect(replica_id)

    async def _serve_health(self, exchange: http_server.Exchange) -> None:
        if exchange.head.path == process_metrics.PATH:
            await self._metrics.process.respond(exchange)
            return
        status = 200 if self.is_ready else 503
        body = b"ready\n" if self.is_ready else b"not ready\n"
        await exchange.respond(status, {"Content-Type": "text/plain"}, body)

    def _gauges(self) -> dict[str, float]:
        return {
            "routing_version": self._session.routing_version,
            "entry_hosts": self._session.entry_hosts,
            "retry_share": self._session.share(time.monotonic()),
            "upstreams": len(self._session.upstream_by_id),
            "exchanges": self._server.exchanges,
            "connections": self._server.connections,
            "upstream_connections": self._client.connections,
            "local_placements": self._owner.local_placements,
            "unreachable_services": len(self._prober.reachability.unreachable_services),
            "relayed_exchanges": self._relay_server.exchanges if self._relay_server else 0,
            "held": self._hold_queue.held,
            "crash_cases": self._crashes.cases,
            "stream_origins": self._origins.origins,
            "limited_upstreams": self._backpressure.limited,
            "link_dropped": self._link.counters.dropped,
            "faults": self._faults,
        }


def _caller_limits(settings: gateway_settings.GatewaySettings) -> http_server.HttpLimits:
    connections = entry_load.max_connections(settings, CALLER_LIMITS.connections)
    return dataclasses.replace(CALLER_LIMITS, connections=connections)


def _make_gate(memory_mb: float) -> input_gate.InputGate:
    # Imported here, so that the host listens before this is loaded.
    from medlarfork.http import input_gate

    if memory_mb <= 0:
        return input_gate.InputGate()
    return input_gate.InputGate(RECEIVE_SHARE * (memory_mb - entry_load.BASE_MB))


def _relay_limits(settings: gateway_settings.GatewaySettings) -> http_server.HttpLimits:
    """Return the limits for other entry hosts, which may use a part of the room for callers."""
    limits = _caller_limits(settings)
    return dataclasses.replace(limits, connections=int(RELAY_SHARE * limits.connections))


def _make_link(settings: gateway_settings.GatewaySettings) -> link.Link:
    return link.Link(
        identity=settings.entry_id,
        codec=codec.Codec(routed_links.ENTRY_MESSAGES),
        bind=f"tcp://{settings.link_host}:{settings.link_port}",
        options=routed_links.LINK_OPTIONS,
    )


async def run_until_stopped(program: GatewayProgram) -> None:
    """Run the program until a stop signal; SIGHUP reloads the settings."""
    signals = _stop_signal.StopSignal((*_stop_signal.STOP_SIGNALS, signal.SIGHUP))
    signals.start()
    with contextlib.closing(signals):
        await program.start()
        # Also closes if a failed task ends the process: open links would keep it from exiting.
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(vital_tasks.close_fully, program.close)
            while await signals.wait() == signal.SIGHUP:
                program.reload()
            await program.stop(signals.stop_requested_at())
