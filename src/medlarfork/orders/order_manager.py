"""Order manager of the control leader: combines the lease, the planner and the inventory.

While its replica leads the replicated log, the manager tries to hold the lease ``orders``; while it
holds the lease, the planner compares the board with the inventory. Every command committed to the
two sub-states is reported by ``CommandApplied``, whichever replica proposed it.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable
from typing import Any

from medlarfork import heartbeat, node
from medlarfork.orders import (
    fenced_lease,
    inventory,
    lease_table,
    lease_types,
    order_planner,
    order_types,
    orders,
)
from medlarfork.settings import planner_settings

LEASE_NAME = "orders"
"""Name of the lease that a replica must hold to order engines."""

RETAKE_DELAY_S = 5.0
"""Delay before the lease is taken again after a newer holder was seen, in seconds."""

LOST_ENTRY_RETENTION_S = 2 * heartbeat.MEMBER_LEASE_S
"""How long a lost entry host's notices are kept, in seconds, so that the next owner of its pools
can send its own first."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderManagerOptions:
    """Settings of the order manager.

    Attributes:
        holder: Identity of this process, unique for each of its starts.
        planner: Settings of the planner.
        lease_s: Duration of the lease without renewal, in seconds.
    """

    holder: str
    planner: planner_settings.PlannerSettings
    lease_s: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommandApplied:
    """Event: a command of a sub-state was applied, with its packed reply."""

    name: str
    command: bytes
    reply: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHeartbeat:
    """Event: an entry host sent a heartbeat with the digest of its notices."""

    entry_id: str
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLost:
    """Event: an entry host is no longer a member."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeToSubState:
    """Action: append a packed command of a sub-state to the log; may be lost or delayed."""

    name: str
    command: bytes


class OrderManager:
    """Turns the control leader's events into orders.

    Pure: no I/O, no clock (see ``node.Node``).

    Besides its own events it handles ``lease_types.LeadershipWon``, ``LeadershipLost`` and
    ``Stopping``, ``inventory.InventoryReport``, ``order_types.OrderDone``, ``EngineStateRead`` and
    ``Drained``, and ``node.TimeDue`` at ``wake_at``. Its actions are ``ProposeToSubState``,
    ``order_types.OrderEngine`` and ``ReadEngineState``, and ``node.Send``.

    Attributes:
        board: The order board.
        table: The lease table.
        lease: The lease; check ``may_act`` right before an order is sent.
        wake_at: Monotonic time of the next ``node.TimeDue``, in seconds.
    """

    def __init__(
        self,
        options: OrderManagerOptions,
        *,
        board: orders.OrderBoard,
        table: lease_table.LeaseTable,
    ) -> None:
        """Use the sub-states, to which the caller applies the log's commands between events."""
        self.wake_at = math.inf
        self._options = options
        self.board = board
        self.table = table
        self.lease = fenced_lease.FencedLease(
            fenced_lease.LeaseSettings(
                LEASE_NAME,
                options.holder,
                duration_s=options.lease_s,
                renew_s=options.lease_s / 3,
                retry_s=options.lease_s / 6,
                drift=options.planner.drift,
            )
        )
        self._out_of_service = heartbeat.OutOfService()
        self._is_leader = False
        self._retake_at = math.inf
        self._evict_at_by_entry: dict[str, float] = {}
        self._reset()

    @property
    def fence(self) -> int:
        """Return the fence of the last holder in the part of the log that was applied here."""
        return self.table.fence(LEASE_NAME)

    @property
    def out_of_service(self) -> heartbeat.OutOfService:
        """Return the upstreams that get no new requests."""
        version = self.board.out_of_service_version
        if self._out_of_service.version != version:
            listed = tuple(sorted(self.board.out_of_service))
            self._out_of_service = heartbeat.OutOfService(version, listed)
        return self._out_of_service

    @property
    def known_upstreams(self) -> Collection[str]:
        """Return the ids of the upstreams that entry hosts report; empty unless leading."""
        return self._upstreams.upstream_by_id.keys()

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return the engines whose next order is delayed; empty unless the lease is held."""
        return self._planner.waiting(now)

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        if isinstance(event, node.TimeDue):
            if now < self.wake_at:
                return ()
            self.wake_at = math.inf
        actions: list[Any] = []
        waiting = collections.deque(self._route_event(event, now))
        while waiting:
            action = waiting.popleft()
            match action:
                case lease_types.Acquired() | lease_types.Lost():
                    waiting.extendleft(reversed(self._planner.handle(action, now)))
                case order_types.Deposed():
                    waiting.extend(self.lease.handle(lease_types.Stopping(), now))
                    self._retake_at = now + RETAKE_DELAY_S
                    self._schedule_wake(self._retake_at)
                case node.Wake(at):
                    self._schedule_wake(at)
                case lease_types.Propose(command):
                    packed = lease_table.COMMANDS.pack(command)
                    actions.append(ProposeToSubState(self.table.name, packed))
                case order_types.ProposeCommand(command):
                    packed = orders.COMMANDS.pack(command)
                    actions.append(ProposeToSubState(self.board.name, packed))
                case _:
                    actions.append(action)
        return tuple(actions)

    def _reset(self) -> None:
        """Discard the inventory; a new leader requests all notices again."""
        self._upstreams = inventory.Inventory()
        self._evict_at_by_entry.clear()
        self._planner = order_planner.OrderPlanner(
            self._options.planner,
            lease=self.lease,
            board=self.board,
            upstreams=self._upstreams,
        )

    def _schedule_wake(self, at: float) -> None:
        self.wake_at = min(self.wake_at, at)

    def _route_event(self, event: Any, now: float) -> Iterable[Any]:
        match event:
            case lease_types.LeadershipWon():
                self._is_leader = True
                self._reset()
                return self._deliver(event, now)
            case lease_types.LeadershipLost() | lease_types.Stopping():
                self._is_leader = False
                self._retake_at = math.inf
                return self._deliver(event, now)
            case _ if not self._is_leader:
                return ()
            case CommandApplied():
                return self._on_applied(event, now)
            case inventory.InventoryReport():
                return self._deliver_changes(self._upstreams.apply(event), now)
            case EntryHeartbeat(entry_id, digest):
                return self._on_heartbeat(entry_id, digest)
            case EntryLost(entry_id):
                self._evict_at_by_entry[entry_id] = now + LOST_ENTRY_RETENTION_S
                self._schedule_wake(now + LOST_ENTRY_RETENTION_S)
                return ()
            case node.TimeDue():
                return (*self._run_due(now), *self._deliver(event, now))
            case _:
                return self._deliver(event, now)

    def _deliver(self, event: Any, now: float) -> tuple[Any, ...]:
        """Pass an event to the lease and the planner; the lease first, so that it can expire."""
        lease_actions = self.lease.handle(event, now)
        return (*lease_actions, *self._planner.handle(event, now))

    def _on_applied(self, applied: CommandApplied, now: float) -> tuple[Any, ...]:
        if applied.name == self.board.name:
            command = orders.COMMANDS.unpack(applied.command)
            reply = orders.REPLIES.unpack(applied.reply)
            return self._deliver(order_types.BoardCommitted(command, reply), now)
        if applied.name != self.table.name:
            return ()
        command = lease_table.COMMANDS.unpack(applied.command)
        if command.name != LEASE_NAME or command.holder != self._options.holder:
            return ()
        reply = lease_table.REPLIES.unpack(applied.reply)
        match command:
            case lease_types.TakeLease():
                return self._deliver(lease_types.TakeCommitted(command.attempt, reply), now)
            case lease_types.RenewLease():
                return self._deliver(lease_types.RenewCommitted(command.attempt, reply), now)
            case _:
                return ()

    def _on_heartbeat(self, entry_id: str, digest: int) -> tuple[Any, ...]:
        self._evict_at_by_entry.pop(entry_id, None)
        resend = self._upstreams.check_digest(entry_id, digest)
        return () if resend is None else (node.Send(entry_id, resend),)

    def _deliver_changes(self, upstream_ids: Iterable[str], now: float) -> tuple[Any, ...]:
        changed = (order_types.InventoryChanged(upstream_id) for upstream_id in upstream_ids)
        return tuple(action for event in changed for action in self._deliver(event, now))

    def _run_due(self, now: float) -> tuple[Any, ...]:
        """Evict notices of lost entry hosts and retake the lease, where due."""
        due = [entry for entry, at in self._evict_at_by_entry.items() if at <= now]
        actions: list[Any] = []
        for entry_id in due:
            del self._evict_at_by_entry[entry_id]
            actions += self._deliver_changes(self._upstreams.remove_entry(entry_id), now)
        if self._retake_at <= now:
            self._retake_at = math.inf
            actions += self.lease.handle(lease_types.LeadershipWon(), now)
        self._schedule_wake(min((self._retake_at, *self._evict_at_by_entry.values())))
        return tuple(actions)
