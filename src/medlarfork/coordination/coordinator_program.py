"""Process of a coordinator: connects its state machine to disk, links, platform and HTTP."""

from __future__ import annotations

import contextlib
import logging
import pathlib
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import curio

from medlarfork import _stop_signal, codec, errors, logs, node, runner, timeouts, vital_tasks
from medlarfork.coordination import (
    coordinator,
    coordinator_metrics,
    coordinator_settings,
    coordinator_types,
    operations_format,
    origin_manager,
    origin_writer,
)
from medlarfork.duties import duty_types, engine_messages, platform_caller, platform_format
from medlarfork.http import _http_messages, http_server, input_gate, process_size
from medlarfork.links import link, routed_links
from medlarfork.metrics import process_metrics
from medlarfork.replica import _disk_writer, journal, replica, replica_types
from medlarfork.resumption import origin_file, origin_messages
from medlarfork.routes import routing_check

_log = logging.getLogger(__name__)

OPERATION_TIMEOUT_S = 4.0
"""Maximum wait for an operation's reply, in seconds; the state machine ends every operation
sooner."""

HANDOVER_S = 0.4
"""Time for the next leader to take over before this process closes, in seconds."""

CLOSE_TIMEOUT_S = 0.5
"""Time for operations in progress when the process closes, in seconds."""

WALL_TIME_PERIOD_S = 0.4
"""Interval at which the wall clock is read, in seconds: as often as it is sent to entry hosts."""

SERVER_LIMITS = http_server.HttpLimits()
"""Limits for operators, upstreams and callers; a small host has fewer connections."""

HEALTH_LIMITS = http_server.HttpLimits(connections=64)
"""Limits for health checks and metrics."""

REPLICA_OPTIONS = replica.ReplicaOptions(
    election_timeout_min_s=0.8,
    election_timeout_max_s=1.4,
    heartbeat_s=0.15,
    lease_s=0.8,
    drift_margin_s=0.1,
    snapshot_every_entries=400,
)
"""Options of the replicated log. A lost leader is replaced in about 1.5 s, in time for a caller's
second attempt; a snapshot every 400 changes keeps the journal at a few megabytes when changes are
large."""

ReadSeeds = Callable[[], tuple[str, ...]]
"""Reads the seeds that the settings list at present."""


class CoordinatorProgram:
    """Owns the sockets, the disk and the tasks of one replica."""

    def __init__(
        self,
        settings: coordinator_settings.CoordinatorSettings,
        *,
        api_format: operations_format.OperationsFormat,
        read_seeds: ReadSeeds,
        platform_api_format: platform_format.PlatformFormat,
    ) -> None:
        """Create the components; nothing is opened before ``start``."""
        self._settings = settings
        self._api_format = api_format
        self._read_seeds = read_seeds
        self._journal = journal.Journal(pathlib.Path(settings.data_folder))
        self._disk = _disk_writer.DiskWriter(
            self._journal, on_synced=self._on_synced, on_failed=self._on_disk_failed
        )
        self._origin_file = origin_file.OriginFile(pathlib.Path(settings.data_folder))
        self._origin_writer = origin_writer.OriginWriter(self._origin_file)
        self._link = link.Link(
            identity=settings.replica_id,
            codec=codec.Codec(
                (
                    *routed_links.ENTRY_MESSAGES,
                    *replica.REPLICA_MESSAGES,
                    *engine_messages.ENGINE_MESSAGES,
                )
            ),
            bind=f"tcp://{settings.replica_id}:{settings.link_port}",
            options=routed_links.LINK_OPTIONS,
        )
        limits = process_size.connection_limits(
            SERVER_LIMITS,
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
        )
        gate = input_gate.InputGate(process_size.receive_mb(settings.memory_mb))
        self._server = http_server.create_server(self._serve, settings.serve, limits, gate=gate)
        self._directory = (
            http_server.create_server(self._serve, settings.directory, limits, gate=gate)
            if settings.directory
            else None
        )
        self._health = (
            http_server.create_server(self._serve_health, settings.health, HEALTH_LIMITS, gate=gate)
            if settings.health
            else None
        )
        self._platform = (
            None
            if settings.duties.is_empty
            else platform_caller.PlatformCaller(
                settings.duties.address,
                api_format=platform_api_format,
                may_act=self._may_act,
                on_call_end=self._on_platform_called,
            )
        )
        self._metrics = coordinator_metrics.CoordinatorMetrics(self._gauges, self._placement_gauges)
        self._node: coordinator.Coordinator | None = None
        self._runner: runner.Runner | None = None
        self._replies_by_operation: dict[int, curio.Queue] = {}
        self._operations = 0
        self._tasks = vital_tasks.VitalTasks()
        self.failure: Exception | None = None
        self._failed = curio.Event()

    async def start(self) -> None:
        """Read the disk, then open the link and the servers.

        Raises:
            errors.JournalError: The disk can't be used.
            errors.LinkError: The link's address can't be bound.
            errors.SettingsError: A server can't listen on its address.
        """
        restored = await curio.run_in_thread(self._journal.start)
        origins = await curio.run_in_thread(self._origin_file.start)
        self._node = self._make_node(restored, origins)
        self._runner = runner.Runner(self._node, perform=self._perform, clock=boottime_clock)
        await self._disk.start()
        await self._origin_writer.start()
        await self._link.start()
        await self._runner.start()
        if self._platform is not None:
            await self._platform.start()
        await self._server.start()
        for server in self._optional_servers():
            await server.start()
        if self._platform is not None:
            await self._tasks.spawn(self._post_wall_time)
        await self._tasks.spawn(self._receive)
        logs.event(
            _log,
            "started",
            replica=self._settings.replica_id,
            records=len(restored.records),
            fresh=restored.fresh,
            seeds=",".join(self._settings.seeds),
        )

    async def stop(self) -> None:
        """Hand leadership over before the process ends."""
        logs.event(_log, "stopping")
        assert self._runner is not None
        await self._runner.post(replica_types.TransferLeadership())
        await curio.sleep(HANDOVER_S)

    async def close(self) -> None:
        """Close everything."""
        await self._server.close(within_s=CLOSE_TIMEOUT_S)
        for server in self._optional_servers():
            await server.close(within_s=CLOSE_TIMEOUT_S)
        await self._tasks.close()
        if self._platform is not None:
            await self._platform.close()
        if self._runner is not None:
            await self._runner.close()
        await self._link.close()
        await self._origin_writer.close()
        await self._disk.close()
        self._journal.close()
        self._metrics.process.close()
        logs.event(_log, "stopped")

    async def reload(self) -> None:
        """Apply the seeds that the settings list now."""
        seeds = self._read_seeds()
        logs.event(_log, "reloaded", seeds=",".join(seeds))
        assert self._runner is not None
        await self._runner.post(coordinator_types.SeedsChanged(seeds))

    async def wait_failed(self) -> None:
        """Return when the disk has failed and the process must end."""
        await self._failed.wait()

    def _make_node(
        self,
        restored: replica_types.Restored,
        origins: tuple[origin_messages.OriginGroup, ...],
    ) -> coordinator.Coordinator:
        settings = self._settings
        founders = (
            settings.seeds if settings.may_found and settings.replica_id in settings.seeds else ()
        )
        log_replica = replica.Replica(
            replica_id=settings.replica_id,
            initial_voters=replica_types.Voters(founders),
            restored=restored,
            random=random.SystemRandom(),
            options=REPLICA_OPTIONS,
        )
        return coordinator.Coordinator(
            replica_id=settings.replica_id,
            boot=random.SystemRandom().getrandbits(48) + 1,
            log_replica=log_replica,
            seeds=settings.seeds,
            announce_period_s=settings.announce_period_s,
            ttl_s=settings.directory_ttl_s,
            decode=self._api_format.decode_routing,
            duties=settings.duties,
            origins=origin_manager.OriginManager(
                origins,
                # Before a founder's first start no stream ran.
                is_complete=not restored.fresh or bool(founders),
            ),
            is_restarted=not restored.fresh,
            tolerated_losses=settings.tolerated_losses,
        )

    async def _receive(self) -> None:
        assert self._runner is not None
        while True:
            await self._runner.post(await self._link.receive())

    async def _perform(self, action: Any) -> None:
        match action:
            case node.Send(to, message):
                self._link.send(to, message)
            case node.Persist() | replica_types.SaveSnapshot():
                await self._disk.write(action)
            case origin_manager.KeepOrigins(groups):
                await self._origin_writer.write(groups)
            case coordinator_types.OperationDone(operation_id, reply):
                replies = self._replies_by_operation.get(operation_id)
                if replies is not None:
                    await replies.put(reply)
            case duty_types.CallPlatform():
                assert self._platform is not None
                await self._platform.call(action)
            case coordinator_types.ConnectReplica(replica_id):
                self._link.connect(replica_id, f"tcp://{replica_id}:{self._settings.link_port}")
            case coordinator_types.LogEvent(event, fields):
                self._metrics.count_event(event)
                if "waited_ms" in fields:
                    self._metrics.time_placement(fields["waited_ms"] / 1000.0)
                if event == "placement_refused" and fields.get("account"):
                    self._metrics.count_account_refused(fields["account"])
                if fields.get("promise"):
                    self._metrics.count_promise(fields["promise"])
                logs.event(_log, event, **fields)

    def _may_act(self, fence: int) -> bool:
        assert self._node is not None
        lease = self._node.duties.lease
        return lease.fence == fence and lease.may_act(boottime_clock())

    async def _on_platform_called(self, call_result: duty_types.PlatformCalled) -> None:
        assert self._runner is not None
        await self._runner.post(call_result)

    async def _post_wall_time(self) -> None:
        """Post the wall-clock time, which may jump, to the state machine periodically."""
        assert self._runner is not None
        while True:
            await self._runner.post(coordinator_types.WallTime(time.time(), boottime_clock()))
            await curio.sleep(WALL_TIME_PERIOD_S)

    async def _on_synced(self, event: node.Synced) -> None:
        assert self._runner is not None
        await self._runner.post(event)

    async def _on_disk_failed(self, error: Exception) -> None:
        logs.event(_log, "disk_failed", severity=logging.ERROR, cause=error)
        self.failure = error
        await self._failed.set()

    async def _serve(self, exchange: http_server.Exchange) -> None:
        """Handle one HTTP request of an operator, an upstream or a caller."""
        started_at = time.monotonic()
        head = exchange.head
        body = await exchange.read_body()
        try:
            operation = self._api_format.decode(head.method, head.path, head.query, body)
            if isinstance(operation, coordinator_types.PutRouting):
                routing_check.require_valid(self._api_format.decode_routing(body))
        except errors.MedlarError as error:
            await self._refuse(exchange, error)
            return
        reply = await self._execute(operation)
        answer = self._api_format.encode(reply, head.target)
        self._log_operation(operation, reply, answer.status)
        took_s = time.monotonic() - started_at
        self._metrics.count_operation(type(operation).__name__, answer.status, took_s)
        await exchange.respond(answer.status, answer.headers, answer.body)

    async def _execute(self, operation: coordinator_types.Operation) -> coordinator_types.Reply:
        assert self._runner is not None
        self._operations += 1
        operation_id = self._operations
        replies: curio.Queue = curio.Queue()
        self._replies_by_operation[operation_id] = replies
        try:
            await self._runner.post(coordinator_types.OperationReceived(operation_id, operation))
            return await timeouts.call_with_timeout(OPERATION_TIMEOUT_S, replies.get)
        except curio.TaskTimeout:
            return coordinator_types.Unavailable("The operation timed out.")
        finally:
            del self._replies_by_operation[operation_id]

    async def _refuse(self, exchange: http_server.Exchange, error: errors.MedlarError) -> None:
        status = error.status if isinstance(error, errors.RequestRefusedError) else 400
        logs.event(
            _log, "operation_refused", path=exchange.head.path, status=status, why=str(error)[:300]
        )
        headers = {"Content-Type": "application/json"}
        await exchange.respond(status, headers, _http_messages.error_body(error, status))

    async def _serve_health(self, exchange: http_server.Exchange) -> None:
        """Serve the health check, which passes while a leader is known, and the metrics."""
        if exchange.head.path == process_metrics.PATH:
            await self._metrics.process.respond(exchange)
            return
        is_ready = self._node is not None and self._node.gauges()["knows_leader"]
        body = b"ready\n" if is_ready else b"not ready\n"
        await exchange.respond(200 if is_ready else 503, {"Content-Type": "text/plain"}, body)

    def _optional_servers(self) -> tuple[http_server.HttpServer, ...]:
        """Return the servers other than the one for operators and upstreams."""
        return tuple(server for server in (self._directory, self._health) if server is not None)

    def _gauges(self) -> dict[str, float]:
        state = {} if self._node is None else self._node.gauges()
        faults = 0 if self._runner is None else self._runner.faults
        return {**state, "link_dropped": self._link.counters.dropped, "faults": faults}

    def _placement_gauges(self) -> dict[str, dict[str, float]]:
        return {} if self._node is None else self._node.placement_gauges(boottime_clock())

    def _log_operation(
        self,
        operation: coordinator_types.Operation,
        reply: coordinator_types.Reply,
        status: int,
    ) -> None:
        """Log operations of operators and leaves of upstreams; others are only counted."""
        match operation:
            case coordinator_types.PutRouting(version):
                name = type(reply).__name__
                logs.event(_log, "routing_put", version=version, reply=name, status=status)
            case coordinator_types.LiftCrashCase(key):
                logs.event(_log, "crash_case_lift", key=key, status=status)
            case coordinator_types.Withdraw(upstream_id):
                logs.event(_log, "upstream_leave", upstream=upstream_id, status=status)


def boottime_clock() -> float:
    """Return the time in seconds of a clock that advances while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run_until_stopped(program: CoordinatorProgram) -> None:
    """Run the program until a stop signal; SIGHUP reloads the settings."""
    signals = _stop_signal.StopSignal((*_stop_signal.STOP_SIGNALS, signal.SIGHUP))
    signals.start()
    with contextlib.closing(signals):
        await program.start()
        # Also closes if a failed task ends the process: open links would keep it from exiting.
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(vital_tasks.close_fully, program.close)
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(_reload_until_stopped, program, signals)
                await group.spawn(program.wait_failed)
            if program.failure is None:
                await program.stop()
    if program.failure is not None:
        raise SystemExit(1)


async def _reload_until_stopped(
    program: CoordinatorProgram, signals: _stop_signal.StopSignal
) -> None:
    while await signals.wait() == signal.SIGHUP:
        try:
            await program.reload()
        except Exception as error:
            logs.event(_log, "reload_failed", severity=logging.ERROR, cause=error)
