"""Run an entry host of a routed deployment: wire its parts to callers, upstreams and replicas."""

from __future__ import annotations

import contextlib
import logging
import signal
import socket
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import curio

from medlarfork import _stop_signal, codec, logs
from medlarfork.backpressure import signal_messages
from medlarfork.coordination import coordination_messages
from medlarfork.duties import usage_messages
from medlarfork.gateway import (
    backpressure_tracker,
    crash_tracker,
    entry_session,
    gateway_metrics,
    gateway_settings,
    owner_client,
    request_handler,
    request_header_names,
    request_hold,
    request_types,
)
from medlarfork.http import http_client, http_server
from medlarfork.links import link, routed_links
from medlarfork.metrics import process_metrics
from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages
from medlarfork.routes import routing

if TYPE_CHECKING:
    from medlarfork.gateway import usage_reporter

_log = logging.getLogger(__name__)

DIRECTORY_LAG_S = 3.2
"""How long callers may still come after this host has left the directory, in seconds: an answer
of 2 s that some keep for longer, against a grace of which most is left for streams."""

EXIT_MARGIN_S = 0.6
"""Time before the end of the grace at which whatever is left is cut, in seconds."""

CALLER_LIMITS = http_server.HttpLimits(stall_s=5.0, unacknowledged_s=4.0)
"""What callers may use; 4 s without an acknowledgement is a connection that is gone."""

UPSTREAM_LIMITS = http_client.ClientLimits(connect_s=1.0, idle_s=20.0, unacknowledged_s=1.5)
"""What upstreams may use; 1.5 s without an acknowledgement is many round trips in one region."""

Decode = Callable[[bytes], routing.Routing]
"""Decodes an operator's body that a replica has checked."""

ReadSeeds = Callable[[], tuple[str, ...]]
"""Reads the seeds that the settings name now."""


class GatewayProgram:
    """Own the sockets and tasks of an entry host."""

    def __init__(
        self,
        given: gateway_settings.GatewaySettings,
        *,
        names: request_header_names.RequestHeaderNames,
        decode: Decode,
        read_seeds: ReadSeeds,
        opened: socket.socket | None = None,
    ) -> None:
        """Wire the parts; nothing is opened before ``start``.

        Args:
            given: The settings.
            names: Headers in which callers and upstreams speak.
            decode: Decodes an operator's body.
            read_seeds: Reads the replicas that the settings name now.
            opened: Socket that listens for callers already; None to open it at ``start``.
        """
        self._given = given
        self._decode = decode
        self._read_seeds = read_seeds
        self._session = entry_session.EntrySession(given.seeds)
        self._link = _make_link(given)
        self._holds = request_hold.HoldQueue()
        self._backpressure = backpressure_tracker.BackpressureTracker(
            given.entry_id, names, self._session, self._link.send
        )
        self._owner = owner_client.OwnerClient(
            given.entry_id,
            self._session,
            self._link.send,
            self._holds,
            self._backpressure.gate,
            self._backpressure.send_known_signals,
        )
        self._client = http_client.HttpClient(limits=UPSTREAM_LIMITS)
        self._crashes = crash_tracker.CrashTracker(self._client, self._session, self._link.send)
        self._usage = self._make_usage() if given.usage_window_s else None
        self._metrics = gateway_metrics.GatewayMetrics(self._gauges)
        self._handler = self._make_handler(names)
        self._server = http_server.at_address(
            self._handler.handle, given.serve, CALLER_LIMITS, opened
        )
        self._health = (
            http_server.at_address(self._serve_health, given.health) if given.health else None
        )
        self._tasks = curio.TaskGroup()

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        return self._handler.has_routing and not self._handler.is_stopping

    async def start(self) -> None:
        """Open the link and the servers."""
        await self._link.start()
        await self._client.start()
        self._connect_replicas()
        await self._server.start()
        if self._health is not None:
            await self._health.start()
        await self._tasks.spawn(self._receive)
        await self._tasks.spawn(self._tell_replicas)
        if self._usage is not None:
            await self._tasks.spawn(self._usage.report_periodically, self._session)
        logs.event(_log, "started", entry=self._given.entry_id, serve=self._given.serve)

    async def stop(self) -> None:
        """Leave the directory, go on serving for as long as callers may come, then finish."""
        began_at = time.monotonic()
        logs.event(_log, "stopping", exchanges=self._server.exchanges)
        self._handler.is_stopping = True
        self._send_status(self._session.replicas)
        await curio.sleep(min(DIRECTORY_LAG_S, self._given.grace_s / 2))
        left_s = self._given.grace_s - EXIT_MARGIN_S - (time.monotonic() - began_at)
        await self._server.close(within_s=max(left_s, 0.0))

    async def close(self) -> None:
        """Close everything."""
        await self._server.close(within_s=0.0)
        if self._usage is not None:
            self._usage.tell(self._session.leader_id)
        if self._health is not None:
            await self._health.close(within_s=0.0)
        await self._tasks.cancel_remaining()
        await self._client.close()
        await self._link.close()
        self._metrics.process.close()
        logs.event(_log, "stopped")

    def reload(self) -> None:
        """Take the seeds that the settings name now."""
        seeds = self._read_seeds()
        self._session.add_seeds(seeds)
        self._connect_replicas()
        logs.event(_log, "reloaded", seeds=",".join(seeds))

    def _make_handler(
        self, names: request_header_names.RequestHeaderNames
    ) -> request_handler.RequestHandler:
        return request_handler.RequestHandler(
            zone=self._given.zone,
            names=names,
            client=self._client,
            session=self._session,
            owner=self._owner,
            holds=self._holds,
            crashes=self._crashes,
            backpressure=self._backpressure,
            usage=self._usage or request_types.NullUsageRecorder(),
            rules=self._given.budget,
            metrics=self._metrics,
        )

    def _make_usage(self) -> usage_reporter.UsageReporter:
        # Loaded only where usage is told: it would make every other start longer.
        from medlarfork.gateway import usage_reporter

        return usage_reporter.UsageReporter(self._given.usage_window_s, self._link.send)

    async def _receive(self) -> None:
        while True:
            received = await self._link.receive()
            await self._take(received.sender, received.message)

    async def _take(self, sender: str, message: Any) -> None:
        now = time.monotonic()
        match message:
            case coordination_messages.RoutingPush(version, packed_body):
                if self._session.accept_routing(sender, version, now):
                    self._use_routing(sender, packed_body)
                    await self._holds.notify_change()
            case coordination_messages.ReplicaStatus():
                self._session.take(sender, message, now)
                self._crashes.sync_if_restarted(sender, message.up_s)
                self._backpressure.sync_if_restarted(sender, message.up_s)
                if self._usage is not None:
                    self._usage.observe_clock(sender, message.wall_s)
                self._connect_replicas()
                self._owner.notify_owners(now)
                await self._owner.wake_queued()
            case coordination_messages.ViewPush():
                await self._take_view(sender, message, now)
            case crash_messages.CrashReport():
                self._session.record_contact(sender, now)
                self._crashes.take(message)
            case signal_messages.SignalReport():
                self._session.record_contact(sender, now)
                self._backpressure.take(message)
            case usage_messages.UsageReceipt() if self._usage is not None:
                self._usage.confirm(sender, message)
            case _ if type(message) in placement_messages.PLACEMENT_MESSAGES:
                await self._owner.take(sender, message)
            case _:
                logs.event(_log, "message_unexpected", sender=sender, kind=type(message).__name__)

    async def _take_view(
        self, sender: str, push: coordination_messages.ViewPush, now: float
    ) -> None:
        """Take a change of the view, and log it if it changes which upstreams may be used."""
        before = self._session.upstream_by_id
        self._session.take(sender, push, now)
        upstreams = self._session.upstream_by_id
        if upstreams is before:
            return
        self._owner.report_moved_runs(now)
        self._crashes.check_replacements()
        await self._holds.notify_change()
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

    def _use_routing(self, sender: str, packed_body: bytes) -> None:
        whole = self._decode(zlib.decompress(packed_body))
        self._handler.use(whole)
        logs.event(
            _log,
            "routing_in_force",
            version=whole.version,
            replica=sender,
            routes=len(whole.routes),
        )
        self._send_status(self._session.replicas)

    async def _tell_replicas(self) -> None:
        started_at = time.monotonic()
        while True:
            now = time.monotonic()
            self._session.drop_silent_replicas(now)
            self._send_status(self._session.status_recipients(now))
            self._crashes.on_time()
            self._backpressure.on_time()
            self._connect_replicas()
            await curio.sleep(self._session.status_period_s(now - started_at))

    def _send_status(self, replica_ids: tuple[str, ...]) -> None:
        for replica_id in replica_ids:
            status = self._session.status_for(
                replica_id,
                address=self._given.serve,
                zone=self._given.zone,
                is_ready=self.is_ready,
            )
            self._link.send(replica_id, status)

    def _connect_replicas(self) -> None:
        wanted = self._session.replicas
        for replica_id in wanted:
            address = f"tcp://{replica_id}:{self._given.replica_link_port}"
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
            "upstreams": len(self._session.upstream_by_id),
            "exchanges": self._server.exchanges,
            "connections": self._server.connections,
            "upstream_connections": self._client.connections,
            "local_placements": self._owner.local_placements,
            "held": self._holds.held,
            "crash_cases": self._crashes.cases,
            "limited_upstreams": self._backpressure.limited,
            "link_dropped": self._link.counters.dropped,
        }


def _make_link(given: gateway_settings.GatewaySettings) -> link.Link:
    return link.Link(
        identity=given.entry_id,
        codec=codec.Codec(routed_links.ENTRY_MESSAGES),
        bind=f"tcp://{given.link_host}:{given.link_port}",
        options=routed_links.LINK_OPTIONS,
    )


async def run_until_stopped(program: GatewayProgram) -> None:
    """Run the program until a signal asks it to stop; a hang-up reloads the settings."""
    signals = _stop_signal.StopSignal((*_stop_signal.STOP_SIGNALS, signal.SIGHUP))
    signals.start()
    with contextlib.closing(signals):
        await program.start()
        while await signals.wait() == signal.SIGHUP:
            program.reload()
        await program.stop()
        await program.close()
