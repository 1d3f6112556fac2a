"""Run a coordinator: wire its node to the disk, other processes, operators and upstreams."""

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

from medlarfork import _stop_signal, codec, errors, logs, node, runner
from medlarfork.coordination import (
    coordinator,
    coordinator_metrics,
    coordinator_settings,
    coordinator_types,
    operations_format,
)
from medlarfork.duties import duty_types, engine_messages, platform_caller, platform_format
from medlarfork.http import _http_messages, http_server
from medlarfork.links import link, routed_links
from medlarfork.metrics import process_metrics
from medlarfork.replica import _disk_writer, journal, replica, replica_types
from medlarfork.routes import routing_check

_log = logging.getLogger(__name__)

OPERATION_LIMIT_S = 4.0
"""Longest wait for an operation's reply, in seconds; every operation ends sooner by itself."""

HANDOVER_S = 0.4
"""Time given to the next leader to take over before this process closes, in seconds."""

CLOSE_WITHIN_S = 0.5
"""Time given to operations in progress when the process closes, in seconds."""

WALL_PERIOD_S = 0.4
"""How often the time of day is read anew, in seconds: as often as entry hosts are told of it."""

REPLICA_OPTIONS = replica.ReplicaOptions(
    election_timeout_min_s=0.8,
    election_timeout_max_s=1.4,
    heartbeat_s=0.15,
    lease_s=0.8,
    drift_margin_s=0.1,
    snapshot_every_entries=400,
)
"""Times of the log: a lost leader is replaced in about 1.5 s, within which a caller's second try
falls; a snapshot each 400 changes keeps the journal of large changes at some megabytes."""

ReadSeeds = Callable[[], tuple[str, ...]]
"""Reads the seeds that the settings name now."""


class CoordinatorProgram:
    """Own the sockets, the disk and the tasks of one replica."""

    def __init__(
        self,
        given: coordinator_settings.CoordinatorSettings,
        *,
        api_format: operations_format.OperationsFormat,
        read_seeds: ReadSeeds,
        platform_api_format: platform_format.PlatformFormat,
    ) -> None:
        """Wire the parts; nothing is opened before ``start``."""
        self._given = given
        self._speaks = api_format
        self._read_seeds = read_seeds
        self._journal = journal.Journal(pathlib.Path(given.data_folder))
        self._disk = _disk_writer.DiskWriter(
            self._journal, on_synced=self._on_synced, on_failed=self._on_disk_failed
        )
        self._link = link.Link(
            identity=given.replica_id,
            codec=codec.Codec(
                (
                    *routed_links.ENTRY_MESSAGES,
                    *replica.REPLICA_MESSAGES,
                    *engine_messages.ENGINE_MESSAGES,
                )
            ),
            bind=f"tcp://{given.replica_id}:{given.link_port}",
            options=routed_links.LINK_OPTIONS,
        )
        self._server = http_server.at_address(self._serve, given.serve)
        self._directory = (
            http_server.at_address(self._serve, given.directory) if given.directory else None
        )
        self._health = (
            http_server.at_address(self._serve_health, given.health) if given.health else None
        )
        self._platform = (
            None
            if given.duties.is_empty
            else platform_caller.PlatformCaller(
                given.duties.address,
                api_format=platform_api_format,
                may_act=self._may_act,
                on_call_end=self._on_platform_called,
            )
        )
        self._metrics = coordinator_metrics.CoordinatorMetrics(self._gauges)
        self._node: coordinator.Coordinator | None = None
        self._runner: runner.Runner | None = None
        self._waiting_by_operation: dict[int, curio.Queue] = {}
        self._operations = 0
        self._tasks = curio.TaskGroup()
        self.failure: Exception | None = None
        self._failed = curio.Event()

    async def start(self) -> None:
        """Read the disk, then open the link and the servers.

        Raises:
            errors.JournalError: The disk can't be used.
            errors.LinkError: The link's address can't be bound.
            errors.SettingsError: A server's address can't be listened on.
        """
        restored = await curio.run_in_thread(self._journal.start)
        self._node = self._make_node(restored)
        self._runner = runner.Runner(self._node, perform=self._perform, clock=suspended_clock)
        await self._disk.start()
        await self._link.start()
        await self._runner.start()
        if self._platform is not None:
            await self._platform.start()
            await self._tasks.spawn(self._tell_wall_time)
        await self._tasks.spawn(self._receive)
        await self._server.start()
        for server in self._further_servers():
            await server.start()
        logs.event(
            _log,
            "started",
            replica=self._given.replica_id,
            records=len(restored.records),
            fresh=restored.fresh,
            seeds=",".join(self._given.seeds),
        )

    async def stop(self) -> None:
        """Hand leadership over before the process ends."""
        logs.event(_log, "stopping")
        assert self._runner is not None
        await self._runner.post(replica_types.TransferLeadership())
        await curio.sleep(HANDOVER_S)

    async def close(self) -> None:
        """Close everything."""
        await self._server.close(within_s=CLOSE_WITHIN_S)
        for server in self._further_servers():
            await server.close(within_s=CLOSE_WITHIN_S)
        await self._tasks.cancel_remaining()
        if self._platform is not None:
            await self._platform.close()
        if self._runner is not None:
            await self._runner.close()
        await self._link.close()
        await self._disk.close()
        self._journal.close()
        self._metrics.process.close()
        logs.event(_log, "stopped")

    async def reload(self) -> None:
        """Take the seeds that the settings name now."""
        seeds = self._read_seeds()
        logs.event(_log, "reloaded", seeds=",".join(seeds))
        assert self._runner is not None
        await self._runner.post(coordinator_types.SeedsChanged(seeds))

    async def wait_failed(self) -> None:
        """Return when the disk has failed and the process must end."""
        await self._failed.wait()

    def _make_node(self, restored: replica_types.Restored) -> coordinator.Coordinator:
        given = self._given
        founders = given.seeds if given.may_found and given.replica_id in given.seeds else ()
        part = replica.Replica(
            replica_id=given.replica_id,
            initial_voters=replica_types.Voters(founders),
            restored=restored,
            random=random.SystemRandom(),
            options=REPLICA_OPTIONS,
        )
        return coordinator.Coordinator(
            replica_id=given.replica_id,
            boot=random.SystemRandom().getrandbits(48) + 1,
            part=part,
            seeds=given.seeds,
            announce_period_s=given.announce_period_s,
            ttl_s=given.directory_ttl_s,
            decode=self._speaks.decode_routing,
            duties=given.duties,
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
            case coordinator_types.OperationDone(operation_id, reply):
                waiting = self._waiting_by_operation.get(operation_id)
                if waiting is not None:
                    await waiting.put(reply)
            case duty_types.CallPlatform():
                assert self._platform is not None
                await self._platform.call(action)
            case coordinator_types.ConnectReplica(replica_id):
                self._link.connect(replica_id, f"tcp://{replica_id}:{self._given.link_port}")
            case coordinator_types.LogEvent(event, fields):
                self._metrics.count_event(event)
                if "waited_ms" in fields:
                    self._metrics.time_placement(fields["waited_ms"] / 1000.0)
                logs.event(_log, event, **fields)

    def _may_act(self, fence: int) -> bool:
        assert self._node is not None
        lease = self._node.duties.lease
        return lease.fence == fence and lease.may_act(suspended_clock())

    async def _on_platform_called(self, ended: duty_types.PlatformCalled) -> None:
        assert self._runner is not None
        await self._runner.post(ended)

    async def _tell_wall_time(self) -> None:
        """Tell the node the time of day, which jumps, again and again."""
        assert self._runner is not None
        while True:
            await self._runner.post(coordinator_types.WallTime(time.time(), suspended_clock()))
            await curio.sleep(WALL_PERIOD_S)

    async def _on_synced(self, event: node.Synced) -> None:
        assert self._runner is not None
        await self._runner.post(event)

    async def _on_disk_failed(self, error: Exception) -> None:
        logs.event(_log, "disk_failed", severity=logging.ERROR, cause=error)
        self.failure = error
        await self._failed.set()

    async def _serve(self, exchange: http_server.Exchange) -> None:
        """Answer one operation of an operator, an upstream or a caller."""
        began_at = time.monotonic()
        head = exchange.head
        body = await exchange.read_body()
        try:
            operation = self._speaks.decode(head.method, head.path, head.query, body)
            if isinstance(operation, coordinator_types.PutRouting):
                routing_check.require_valid(self._speaks.decode_routing(body))
        except errors.MedlarError as error:
            await self._refuse(exchange, error)
            return
        reply = await self._decide(operation)
        answer = self._speaks.encode(reply, head.target)
        self._log_operation(operation, reply, answer.status)
        took_s = time.monotonic() - began_at
        self._metrics.count_operation(type(operation).__name__, answer.status, took_s)
        await exchange.respond(answer.status, answer.headers, answer.body)

    async def _decide(self, operation: coordinator_types.Operation) -> coordinator_types.Reply:
        assert self._runner is not None
        self._operations += 1
        operation_id = self._operations
        waiting: curio.Queue = curio.Queue()
        self._waiting_by_operation[operation_id] = waiting
        try:
            await self._runner.post(coordinator_types.OperationReceived(operation_id, operation))
            return await curio.timeout_after(OPERATION_LIMIT_S, waiting.get)
        except curio.TaskTimeout:
            return coordinator_types.Unavailable("The operation took too long.")
        finally:
            del self._waiting_by_operation[operation_id]

    async def _refuse(self, exchange: http_server.Exchange, error: errors.MedlarError) -> None:
        status = error.status if isinstance(error, errors.RequestRefusedError) else 400
        logs.event(
            _log, "operation_refused", path=exchange.head.path, status=status, why=str(error)[:300]
        )
        headers = {"Content-Type": "application/json"}
        await exchange.respond(status, headers, _http_messages.error_body(error, status))

    async def _serve_health(self, exchange: http_server.Exchange) -> None:
        """Answer whether this replica knows a leader, or with the metrics."""
        if exchange.head.path == process_metrics.PATH:
            await self._metrics.process.respond(exchange)
            return
        is_ready = self._node is not None and self._node.gauges()["knows_leader"]
        body = b"ready\n" if is_ready else b"not ready\n"
        await exchange.respond(200 if is_ready else 503, {"Content-Type": "text/plain"}, body)

    def _further_servers(self) -> tuple[http_server.HttpServer, ...]:
        """Return the servers besides the one for operators and upstreams."""
        return tuple(server for server in (self._directory, self._health) if server is not None)

    def _gauges(self) -> dict[str, float]:
        state = {} if self._node is None else self._node.gauges()
        return {**state, "link_dropped": self._link.counters.dropped}

    def _log_operation(
        self,
        operation: coordinator_types.Operation,
        reply: coordinator_types.Reply,
        status: int,
    ) -> None:
        """Log operators' operations; those of upstreams and callers are counted in their own."""
        match operation:
            case coordinator_types.PutRouting(version):
                name = type(reply).__name__
                logs.event(_log, "routing_put", version=version, reply=name, status=status)
            case coordinator_types.LiftCrashCase(key):
                logs.event(_log, "crash_case_lift", key=key, status=status)
            case coordinator_types.Withdraw(upstream_id):
                logs.event(_log, "upstream_leave", upstream=upstream_id, status=status)


def suspended_clock() -> float:
    """Return the time in seconds of a clock that counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def run_until_stopped(program: CoordinatorProgram) -> None:
    """Run the program until a signal asks it to stop; a hang-up reloads the settings."""
    signals = _stop_signal.StopSignal((*_stop_signal.STOP_SIGNALS, signal.SIGHUP))
    signals.start()
    with contextlib.closing(signals):
        await program.start()
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_reload_until_stopped, program, signals)
            await group.spawn(program.wait_failed)
        if program.failure is None:
            await program.stop()
        await program.close()
    if program.failure is not None:
        raise SystemExit(1)


async def _reload_until_stopped(
    program: CoordinatorProgram, signals: _stop_signal.StopSignal
) -> None:
    while await signals.wait() == signal.SIGHUP:
        await program.reload()
