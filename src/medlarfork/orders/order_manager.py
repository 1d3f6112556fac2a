"""Order engines from the control leader: join the lease, the planner and the inventory.

The desk follows the leadership of the replicated log. While its replica leads it tries to hold the
lease ``orders``; while it holds that, the planner compares the board with the inventory. Whatever
is committed to the two sub-states comes back as ``CommandApplied``, whoever proposed it.
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
"""The lease under which engines are ordered."""

RETAKE_DELAY_S = 5.0
"""Pause before the lease is taken again after a newer holder was seen, in seconds."""

LOST_ENTRY_RETENTION_S = 2 * heartbeat.MEMBER_LEASE_S
"""How long a lost entry host's notices are kept, so that the next owner can send its own first."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderManagerOptions:
    """Configure the desk.

    Attributes:
        holder: Identity of this process, different for each of its starts.
        planner: The planner's settings.
        lease_s: How long the lease lasts without renewal, in seconds.
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
    """Event: an entry host is no member any more."""

    entry_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeToSubState:
    """Action: append a packed command of a sub-state to the log; it may be lost or late."""

    name: str
    command: bytes


class OrderManager:
    """Turn the control leader's events into orders; pure, see ``node.Node``.

    Besides its own events it takes ``lease_types.LeadershipWon``, ``LeadershipLost`` and
    ``Stopping``, ``inventory.InventoryReport``, ``order_types.OrderDone``, ``EngineStateRead`` and
    ``Drained``, and ``node.TimeDue`` at ``wake_at``. Its actions are ``ProposeToSubState``,
    ``order_types.OrderEngine`` and ``ReadEngineState``, and ``node.Send``.

    Attributes:
        board: What is declared, in progress and finished.
        table: The leases.
        lease: The lease; ask it right before an order is sent.
        wake_at: Monotonic time at which ``node.TimeDue`` is wanted, in seconds.
    """

    def __init__(
        self,
        options: OrderManagerOptions,
        *,
        board: orders.OrderBoard,
        table: lease_table.LeaseTable,
    ) -> None:
        """Read the sub-states, to which the log's commands are applied between events."""
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
        self._leads = False
        self._retake_at = math.inf
        self._forget_at_by_entry: dict[str, float] = {}
        self._start_over()

    @property
    def fence(self) -> int:
        """Return the fence of the last holder, as far as the log has been applied here."""
        return self.table.fence(LEASE_NAME)

    @property
    def out_of_service(self) -> heartbeat.OutOfService:
        """Return the upstreams that get no new work."""
        version = self.board.out_of_service_version
        if self._out_of_service.version != version:
            listed = tuple(sorted(self.board.out_of_service))
            self._out_of_service = heartbeat.OutOfService(version, listed)
        return self._out_of_service

    @property
    def known_upstreams(self) -> Collection[str]:
        """Return the ids of the upstreams that entry hosts report; empty unless it leads."""
        return self._upstreams.upstream_by_id.keys()

    def waiting(self, now: float) -> tuple[order_types.Waiting, ...]:
        """Return what is not being done yet and why; nothing unless the lease is held."""
        return self._planner.waiting(now)

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        if isinstance(event, node.TimeDue):
            if now < self.wake_at:
                return ()
            self.wake_at = math.inf
        actions: list[Any] = []
        waiting = collections.deque(self._take(event, now))
        while waiting:
            action = waiting.popleft()
            match action:
                case lease_types.Acquired() | lease_types.Lost():
                    waiting.extendleft(reversed(self._planner.handle(action, now)))
                case order_types.Deposed():
                    waiting.extend(self.lease.handle(lease_types.Stopping(), now))
                    self._retake_at = now + RETAKE_DELAY_S
                    self._wake(self._retake_at)
                case node.Wake(at):
                    self._wake(at)
                case lease_types.Propose(command):
                    packed = lease_table.COMMANDS.pack(command)
                    actions.append(ProposeToSubState(self.table.name, packed))
                case order_types.ProposeCommand(command):
                    packed = orders.COMMANDS.pack(command)
                    actions.append(ProposeToSubState(self.board.name, packed))
                case _:
                    actions.append(action)
        return tuple(actions)

    def _start_over(self) -> None:
        """Forget the inventory: a new leader hears everything anew."""
        self._upstreams = inventory.Inventory()
        self._forget_at_by_entry.clear()
        self._planner = order_planner.OrderPlanner(
            self._options.planner,
            lease=self.lease,
            board=self.board,
            upstreams=self._upstreams,
        )

    def _wake(self, at: float) -> None:
        self.wake_at = min(self.wake_at, at)

    def _take(self, event: Any, now: float) -> Iterable[Any]:
        match event:
            case lease_types.LeadershipWon():
                self._leads = True
                self._start_over()
                return self._give(event, now)
            case lease_types.LeadershipLost() | lease_types.Stopping():
                self._leads = False
                self._retake_at = math.inf
                return self._give(event, now)
            case _ if not self._leads:
                return ()
            case CommandApplied():
                return self._on_applied(event, now)
            case inventory.InventoryReport():
                return self._changed(self._upstreams.apply(event), now)
            case EntryHeartbeat(entry_id, digest):
                return self._on_heard(entry_id, digest)
            case EntryLost(entry_id):
                self._forget_at_by_entry[entry_id] = now + LOST_ENTRY_RETENTION_S
                self._wake(now + LOST_ENTRY_RETENTION_S)
                return ()
            case node.TimeDue():
                return (*self._go_on(now), *self._give(event, now))
            case _:
                return self._give(event, now)

    def _give(self, event: Any, now: float) -> tuple[Any, ...]:
        """Hand an event to both parts; the lease goes first, so that its end is known."""
        told = self.lease.handle(event, now)
        return (*told, *self._planner.handle(event, now))

    def _on_applied(self, applied: CommandApplied, now: float) -> tuple[Any, ...]:
        if applied.name == self.board.name:
            command = orders.COMMANDS.unpack(applied.command)
            reply = orders.REPLIES.unpack(applied.reply)
            return self._give(order_types.BoardCommitted(command, reply), now)
        if applied.name != self.table.name:
            return ()
        command = lease_table.COMMANDS.unpack(applied.command)
        if command.name != LEASE_NAME or command.holder != self._options.holder:
            return ()
        reply = lease_table.REPLIES.unpack(applied.reply)
        match command:
            case lease_types.TakeLease():
                return self._give(lease_types.TakeCommitted(command.attempt, reply), now)
            case lease_types.RenewLease():
                return self._give(lease_types.RenewCommitted(command.attempt, reply), now)
            case _:
                return ()

    def _on_heard(self, entry_id: str, digest: int) -> tuple[Any, ...]:
        self._forget_at_by_entry.pop(entry_id, None)
        resend = self._upstreams.check_digest(entry_id, digest)
        return () if resend is None else (node.Send(entry_id, resend),)

    def _changed(self, upstream_ids: Iterable[str], now: float) -> tuple[Any, ...]:
        changed = (order_types.InventoryChanged(upstream_id) for upstream_id in upstream_ids)
        return tuple(action for event in changed for action in self._give(event, now))

    def _go_on(self, now: float) -> tuple[Any, ...]:
        """Do what is due besides the lease's and the planner's own."""
        due = [entry for entry, at in self._forget_at_by_entry.items() if at <= now]
        actions: list[Any] = []
        for entry_id in due:
            del self._forget_at_by_entry[entry_id]
            actions += self._changed(self._upstreams.remove_entry(entry_id), now)
        if self._retake_at <= now:
            self._retake_at = math.inf
            actions += self.lease.handle(lease_types.LeadershipWon(), now)
        self._wake(min((self._retake_at, *self._forget_at_by_entry.values())))
        return tuple(actions)
