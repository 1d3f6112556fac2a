"""Process of a control replica: connects its node to disk, links and operators' HTTP."""

from __future__ import annotations

import contextlib
import itertools
import logging
import random
import secrets
import time
from typing import Any

import curio

from medlarfork import _stop_signal, errors, logs, node, runner, timeouts, vital_tasks
from medlarfork.control import (
    _control_metrics,
    _order_sender,
    control,
    control_settings,
    control_types,
    replicated_state,
)
from medlarfork.declared import configuration, configuration_check
from medlarfork.http import http_server, input_gate, process_size
from medlarfork.links import keys, link, wire
from medlarfork.operator import operations, operations_api
from medlarfork.orders import lease_table, order_manager, order_types, orders, weight_load_scheduler
from medlarfork.replica import _disk_writer, journal, replica, replica_types
from medlarfork.settings import _settings_flag, planner_settings, program_exit

_log = logging.getLogger(__name__)

_CLOCK_PERIOD_S = 1.0
"""Interval at which the wall clock is read, in seconds."""

_ANSWER_TIMEOUT_S = 20.0
"""How long an operator's request may wait for the log, in seconds."""

_CLOSE_TIMEOUT_S = 2.0
"""Maximum time for connections to finish at shutdown, in seconds."""

_LINK_LINGER_S = 0.05
"""Time for the last messages to leave the process at shutdown, in seconds."""

_NS_PER_MS = 1_000_000
"""Nanoseconds in a millisecond."""


class ControlProgram:
    """Owns the components of one control replica's process."""

    def __init__(self, settings: control_settings.ControlSettings) -> None:
        """Create the components; nothing is opened before ``start``."""
        control_settings.check(settings)
        own = settings.own_address
        host, port = _host_and_port(own.http_address)
        self._settings = settings
        self._journal = journal.Journal(settings.data_folder)
        self._writer = _disk_writer.DiskWriter(
            self._journal, on_synced=self._post, on_failed=self._fail
        )
        self._metrics = _control_metrics.ControlMetrics(self._status)
        self._link = link.Link(
            identity=settings.replica_id,
            codec=wire.make_codec(),
            bind=own.link_address,
            keys=keys.load_if_configured(settings.keys_folder, settings.replica_id),
        )
        api = operations_api.OperationsApi(
            self._execute,
            operators=settings.operators,
            allow_anyone=settings.allow_anyone,
            render_metrics=self._metrics.render,
        )
        limits = process_size.connection_limits(
            http_server.HttpLimits(),
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
        )
        gate = input_gate.InputGate(process_size.receive_mb(settings.memory_mb))
        self._server = http_server.HttpServer(
            api.serve, host=host, port=port, limits=limits, gate=gate
        )
        self._engine_orders = _make_engine_orders(settings)
        self._order_sender = _order_sender.OrderSender(
            self._engine_orders.lease,
            self._post,
            read_timeout_s=_planner_settings(settings).read_timeout_s,
        )
        self._replies_by_call: dict[str, curio.Queue] = {}
        self._call_numbers = itertools.count()
        self._stopped = curio.Event()
        self._failure: Exception | None = None
        self._tasks = vital_tasks.VitalTasks()

    @property
    def http_address(self) -> str:
        """Return ``http://IP:PORT`` for operators."""
        return self._server.address

    async def start(self) -> None:
        """Read the disk, open the link and the HTTP server, and start the node.

        Raises:
            errors.MedlarError: The disk is damaged or in use, or an address is not available.
        """
        restored = await curio.run_in_thread(self._journal.start)
        self._node = _make_node(self._settings, restored, self._engine_orders)
        self._runner = runner.Runner(self._node, perform=self._perform)
        await self._link.start()
        for address in self._settings.replicas:
            if address.replica_id != self._settings.replica_id:
                self._link.connect(address.replica_id, address.link_address)
        self._metrics.start()
        await self._writer.start()
        await self._order_sender.start()
        await self._post(control_types.WallClock(_unix_ms()))
        await self._runner.start()
        await self._server.start()
        await self._tasks.spawn(self._receive)
        await self._tasks.spawn(self._read_clock)
        logs.event(_log, "started", http=self.http_address, link=self._link.address)

    async def stop(self) -> None:
        """Hand leadership over and return once no operator's call is in progress."""
        logs.event(_log, "stopping")
        await self._post(control_types.StopRequested())
        await self._stopped.wait()

    async def wait_failed(self) -> None:
        """Return once the disk has failed; the process must end then."""
        await self._stopped.wait()

    async def close(self) -> None:
        """Close everything."""
        await self._server.close(within_s=_CLOSE_TIMEOUT_S)
        await self._tasks.close()
        await self._order_sender.close()
        await self._runner.close()
        await self._writer.close()
        await curio.sleep(_LINK_LINGER_S)
        await self._link.close()
        self._metrics.close()
        self._journal.close()
        logs.event(_log, "stopped")

    @property
    def failure(self) -> Exception | None:
        """Return the disk error, if one occurred."""
        return self._failure

    async def _post(self, event: Any) -> None:
        await self._runner.post(event)

    async def _perform(self, action: Any) -> None:
        match action:
            case node.Send(to, message):
                self._link.send(to, message)
            case node.Persist() | replica_types.SaveSnapshot():
                await self._writer.write(action)
            case order_types.OrderEngine() | order_types.ReadEngineState():
                _log_action(action)
                await self._order_sender.send(action)
            case control_types.OperatorAnswered(call_id, reply):
                replies = self._replies_by_call.get(call_id)
                if replies is not None:
                    await replies.put(reply)
            case control_types.Stopped():
                await self._stopped.set()
            case _:
                _log_action(action)

    async def _fail(self, error: Exception) -> None:
        """End the process: the content of the disk is no longer certain."""
        logs.event(_log, "disk_failed", severity=logging.CRITICAL, cause=error)
        self._failure = error
        await self._stopped.set()

    async def _receive(self) -> None:
        while True:
            await self._post(await self._link.receive())

    async def _read_clock(self) -> None:
        while True:
            await curio.sleep(_CLOCK_PERIOD_S)
            await self._post(control_types.WallClock(_unix_ms()))

    async def _execute(self, request: operations.Request) -> operations.Reply:
        call_id = str(next(self._call_numbers))
        replies = self._replies_by_call[call_id] = curio.Queue()
        try:
            await self._post(control_types.OperatorRequested(call_id, request))
            reply = await timeouts.call_until(_ANSWER_TIMEOUT_S, replies.get)
        finally:
            del self._replies_by_call[call_id]
        return _timed_out() if reply is None else reply

    def _status(self) -> operations.StatusReply:
        return self._node.status(time.monotonic())


def _planner_settings(
    settings: control_settings.ControlSettings,
) -> planner_settings.PlannerSettings:
    store = weight_load_scheduler.WeightStoreSettings(
        settings.weight_bytes_per_second, settings.weight_lanes
    )
    return planner_settings.PlannerSettings(
        store,
        max_order_s=settings.order_limit_s,
        answer_timeout_s=settings.order_answer_s,
        drain_s=settings.drain_s,
    )


def _make_engine_orders(settings: control_settings.ControlSettings) -> order_manager.OrderManager:
    # Each start is another holder: orders of an earlier process may still be in progress.
    holder = f"{settings.replica_id}-{secrets.token_hex(8)}"
    options = order_manager.OrderManagerOptions(
        holder, _planner_settings(settings), settings.order_lease_s
    )
    return order_manager.OrderManager(
        options, board=orders.OrderBoard(), table=lease_table.LeaseTable()
    )


def _make_node(
    settings: control_settings.ControlSettings,
    restored: replica_types.Restored,
    engine_orders: order_manager.OrderManager,
) -> control.ControlNode:
    ids = tuple(address.replica_id for address in settings.replicas)
    log_replica = replica.Replica(
        replica_id=settings.replica_id,
        initial_voters=replica_types.Voters(settings.initial_voters or ids),
        restored=restored,
        random=random.Random(secrets.randbits(128)),
    )
    limits = replicated_state.ClaimLimits(
        retention_ms=settings.claim_retention_s * 1000,
        undated_retention_ms=settings.claim_undated_retention_s * 1000,
        claims=settings.claim_limit,
    )
    state = replicated_state.ReplicatedState(
        claim_limits=limits, sub_states=(engine_orders.table, engine_orders.board)
    )
    return control.ControlNode(
        replica_id=settings.replica_id,
        replica=log_replica,
        state=state,
        check=_findings,
        http_address_by_replica_id={
            item.replica_id: item.http_address for item in settings.replicas
        },
        engine_orders=engine_orders,
    )


def _findings(checked: configuration.Configuration) -> tuple[str, ...]:
    return tuple(finding.render() for finding in configuration_check.check(checked))


def _timed_out() -> operations.Refused:
    return operations.Refused(
        errors.Code.UNCERTAIN,
        "The request was not decided in time; it may still take effect.",
        "Send the same request with the same id again; it takes effect once.",
    )


def _log_action(action: Any) -> None:
    match action:
        case control_types.LeaderChanged(leader_id, term):
            logs.event(_log, "leader_changed", leader=leader_id, term=term)
        case order_types.OrderEngine(upstream_id, _, _, order_id):
            logs.event(_log, "order_sent", order_id=order_id, upstream=upstream_id)
        case control_types.LeaderReady(term):
            logs.event(_log, "leader_ready", term=term)
        case control_types.ChangeApplied(revision, change_id, operator):
            logs.event(
                _log, "change_applied", revision=revision, change=change_id, operator=operator
            )
        case control_types.ViewPublished(version, joined, left):
            logs.event(
                _log,
                "view_published",
                view=f"{version[0]}.{version[1]}",
                joined=",".join(joined) or None,
                left=",".join(left) or None,
            )
        case control_types.MessageRejected(sender, kind):
            logs.event(_log, "message_rejected", severity=logging.WARNING, sender=sender, kind=kind)


def _host_and_port(http_address: str) -> tuple[str, int]:
    host, _, port = http_address.removeprefix("http://").rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise errors.SettingsError(
            f"{http_address!r} is not an HTTP address.", remedy="Write it as http://IP:PORT."
        )
    return host.strip("[]"), int(port)


def _unix_ms() -> int:
    return time.time_ns() // _NS_PER_MS


async def _run_until_stopped(settings: control_settings.ControlSettings) -> None:
    stop_signal = _stop_signal.StopSignal()
    stop_signal.start()
    program = ControlProgram(settings)
    try:
        await program.start()
        # Also closes if a failed task ends the process: open links would keep it from exiting.
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(vital_tasks.close_fully, program.close)
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(stop_signal.wait)
                await group.spawn(program.wait_failed)
            if program.failure is None:
                await program.stop()
    finally:
        stop_signal.close()
    if program.failure is not None:
        raise SystemExit(1)


def run() -> None:
    """Run the program from the command line."""
    with program_exit.exit_on_error():
        settings = _settings_flag.read("medlar-control", control_settings.ControlSettings)
        control_settings.check(settings)
        logs.configure(settings.log_level, settings.replica_id)
        curio.run(_run_until_stopped, settings)


if __name__ == "__main__":
    run()
