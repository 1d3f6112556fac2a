"""Run one control replica as a node: the log, the state it leads to, and the leader's duties.

The leader answers entry hosts and operators; every other replica points to it. A leader answers
only while it holds its lease and after it has applied all that was committed before its term, so
nothing it says is older than what an earlier leader acknowledged.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from medlarfork import claim, heartbeat, node
from medlarfork.control import (
    _claim_service,
    _control_log,
    _heartbeat_service,
    _log_clock,
    _operator_service,
    control_types,
    replicated_state,
)
from medlarfork.operator import operations
from medlarfork.orders import inventory, lease_types, order_manager, order_types
from medlarfork.replica import replica_types

TRANSFER_RETRY_S = 0.5
"""How long a stopping leader waits before it tries again to hand leadership over, in seconds."""

STOP_LIMIT_S = 10.0
"""How long a stop may wait for leadership and calls, in seconds."""


class ControlNode:
    """Turn the events of one control replica into actions."""

    def __init__(
        self,
        *,
        replica_id: str,
        replica: _control_log.LogReplica,
        state: replicated_state.ReplicatedState,
        check: _operator_service.Check,
        http_address_by_replica_id: Mapping[str, str],
        desk: order_manager.OrderManager | None = None,
    ) -> None:
        """Wire the parts together.

        Args:
            check: Returns what is wrong with a configuration; an empty tuple accepts it.
            http_address_by_replica_id: All replicas, this one included, with the addresses that
                operators reach them at. Messages of the log are taken only from these.
            desk: Orders engines while this replica leads; None to order none.
        """
        self._log = _control_log.ControlLog(replica_id, replica, state)
        self._desk = desk
        out_of_service = heartbeat.OutOfService if desk is None else lambda: desk.out_of_service
        self._heartbeats = _heartbeat_service.HeartbeatService(self._log, out_of_service)
        self._claims = _claim_service.ClaimService(self._log, self._heartbeats)
        self._operators = _operator_service.OperatorService(
            self._log, self._heartbeats, check, http_address_by_replica_id, desk
        )
        self._replica_ids = frozenset(http_address_by_replica_id)
        self._leads = False
        self._ready_proposal = ""
        self._noted_revision = state.current.revision
        self._noted_out_of_service = 0
        self._wake_at = math.inf
        self._stop_limit_at = math.inf
        self._transfer_at = math.inf
        self._stopped = False
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        self._actions = []
        self._heartbeats.expire(now)
        self._take(event, now)
        if self._leads and self._heartbeats.leases is None and not self._ready_proposal:
            self._propose_marker(now)
        self._run_log(now)
        self._actions += self._heartbeats.keep(now)
        self._run_log(now)
        while self._claims.propose(now):
            self._run_log(now)
        self._forget_lost_entries(now)
        self._run_log(now)
        self._go_on_stopping(now)
        self._arm_wake(now)
        return tuple(self._actions)

    def status(self, now: float) -> operations.StatusReply:
        """Return how this replica stands."""
        return self._operators.status(now)

    def _take(self, event: Any, now: float) -> None:
        match event:
            case node.MessageReceived(sender, message):
                self._take_message(sender, message, now)
            case control_types.OperatorRequested(call_id, request):
                self._actions += self._operators.take(call_id, request, now)
            case control_types.WallClock(unix_ms):
                self._tell_clock(unix_ms, now)
            case order_types.OrderDone() | order_types.EngineStateRead():
                self._tell_desk(event, now)
            case node.TimeDue():
                self._tell_desk(event, now)
                self._log.feed(event)
            case control_types.StopRequested():
                # A lease that is given up need not be waited out by the next leader.
                self._tell_desk(lease_types.Stopping(), now)
                self._stop_limit_at = min(self._stop_limit_at, now + STOP_LIMIT_S)
                self._transfer_at = now
            case _:
                self._log.feed(event)

    def _take_message(self, sender: str, message: Any, now: float) -> None:
        match message:
            case heartbeat.Heartbeat() if sender == message.member.entry_id:
                self._take_heartbeat(message, now)
            case claim.ClaimRequest() | claim.ClaimFinish() | claim.ClaimAbandon() if (
                sender == message.holder.entry_id
            ):
                self._take_claim(sender, message, now)
            case inventory.InventoryReport(entry_id) if sender == entry_id:
                self._tell_desk(message, now)
            case heartbeat.Heartbeat() | claim.ClaimRequest() | inventory.InventoryReport():
                self._reject(sender, message)
            case claim.ClaimFinish() | claim.ClaimAbandon():
                self._reject(sender, message)
            case _log_clock.ClockReading(unix_ms) if sender in self._replica_ids:
                self._log.set_wall_clock(sender, unix_ms, now)
            case _ if sender in self._replica_ids:
                self._log.feed(node.MessageReceived(sender, message))
            case _:
                self._reject(sender, message)

    def _take_heartbeat(self, beat: heartbeat.Heartbeat, now: float) -> None:
        if self._heartbeats.leases is None or not self._log.holds_lease(now):
            self._send_not_leader(beat.member.entry_id)
            return
        self._actions += self._heartbeats.take(beat, now)
        self._tell_desk(
            order_manager.EntryHeartbeat(beat.member.entry_id, beat.inventory_digest), now
        )

    def _take_claim(self, sender: str, message: _claim_service.Message, now: float) -> None:
        if self._heartbeats.leases is None or self._is_stopping:
            self._send_not_leader(sender)
        elif not self._log.holds_lease(now):
            self._actions += self._claims.refuse_without_quorum(sender, message)
        else:
            self._actions += self._claims.take(sender, message)

    def _tell_clock(self, unix_ms: int, now: float) -> None:
        own_id = self._log.replica_id
        self._log.set_wall_clock(own_id, unix_ms, now)
        reading = _log_clock.ClockReading(unix_ms)
        others = sorted(self._replica_ids - {own_id})
        self._actions += [node.Send(replica_id, reading) for replica_id in others]

    def _reject(self, sender: str, message: Any) -> None:
        kind = type(message).__name__
        self._actions.append(control_types.MessageRejected(sender, kind))

    def _send_not_leader(self, to: str) -> None:
        reply = heartbeat.NotLeader(self._log.other_leader_id, self._log.term)
        self._actions.append(node.Send(to, reply))

    def _run_log(self, now: float) -> None:
        for action in self._log.run(now):
            match action:
                case _control_log.Applied():
                    self._take_applied(action, now)
                case replica_types.RoleChanged():
                    self._change_role(action, now)
                case replica_types.ProposalRefused(proposal_id):
                    self._note_refusal(proposal_id)
                    self._actions += self._operators.refused(action)
                    self._actions += self._claims.refused(proposal_id)
                case _:
                    self._actions.append(action)

    def _note_refusal(self, proposal_id: str) -> None:
        self._heartbeats.refused(proposal_id)
        if proposal_id == self._ready_proposal:
            self._ready_proposal = ""

    def _take_applied(self, applied: _control_log.Applied, now: float) -> None:
        self._note_revision()
        self._note_sub_state(applied, now)
        if not applied.proposal_id or not self._leads:
            return
        if applied.proposal_id == self._ready_proposal:
            self._ready_proposal = ""
            self._heartbeats.begin(applied.term, now)
            self._actions.append(control_types.LeaderReady(applied.term))
            # Entry hosts may still ask the old leader, which may never answer again.
            self._actions += self._heartbeats.notices()
            self._tell_desk(lease_types.LeadershipWon(), now)
        self._heartbeats.applied(applied.proposal_id)
        self._actions += self._operators.applied(applied)
        self._actions += self._claims.applied(applied, now)

    def _note_revision(self) -> None:
        revision = self._log.state.current.revision
        if revision == self._noted_revision:
            return
        self._noted_revision = revision
        if not self._leads:
            return
        (record,) = self._log.state.history(1)
        self._actions.append(
            control_types.ChangeApplied(revision, record.change_id, record.operator)
        )
        self._actions += self._heartbeats.notices()

    def _change_role(self, changed: replica_types.RoleChanged, now: float) -> None:
        self._actions.append(control_types.LeaderChanged(changed.leader_id, changed.term))
        leads = changed.role is replica_types.Role.LEADER
        if leads and not self._leads:
            self._propose_marker(now)
        if self._leads and not leads:
            self._ready_proposal = ""
            self._turn_members_away()
            self._heartbeats.end()
            self._tell_desk(lease_types.LeadershipLost(), now)
            self._actions += self._operators.end()
            self._actions += self._claims.end()
        self._leads = leads

    def _tell_desk(self, event: Any, now: float) -> None:
        if self._desk is None:
            return
        for action in self._desk.handle(event, now):
            match action:
                case order_manager.ProposeToSubState(name, packed):
                    at_ms = self._log.unix_ms(now)
                    self._log.propose(replicated_state.SubStateCommand(at_ms, name, packed))
                case _:
                    self._actions.append(action)

    def _note_sub_state(self, applied: _control_log.Applied, now: float) -> None:
        """Tell the desk of a sub-state's command; only those are answered by bytes."""
        if self._desk is None or not self._leads or not isinstance(applied.reply, bytes):
            return
        command = replicated_state.COMMANDS.unpack(applied.command)
        told = order_manager.CommandApplied(command.name, command.command, applied.reply)
        self._tell_desk(told, now)
        version = self._desk.out_of_service.version
        if version != self._noted_out_of_service:
            self._noted_out_of_service = version
            self._actions += self._heartbeats.notices()

    def _forget_lost_entries(self, now: float) -> None:
        for action in tuple(self._actions):
            if isinstance(action, control_types.ViewPublished):
                for entry_id in action.left:
                    self._tell_desk(order_manager.EntryLost(entry_id), now)

    def _turn_members_away(self) -> None:
        """Tell entry hosts to ask another replica, since this one may end before they ask it."""
        leases = self._heartbeats.leases
        for lease in () if leases is None else leases.leases:
            self._send_not_leader(lease.member.entry_id)

    def _propose_marker(self, now: float) -> None:
        """Propose what proves, once applied, that all earlier entries have been applied."""
        # With the log's old time, ids and keys made now would be refused as made too far ahead.
        if not self._log.knows_time(now):
            return
        marker = replicated_state.MembersChanged(self._log.unix_ms(now), (), ())
        self._ready_proposal = self._log.propose(marker)

    def _go_on_stopping(self, now: float) -> None:
        if self._stopped or not self._is_stopping:
            return
        if self._log.is_leader and self._has_others() and now < self._stop_limit_at:
            if now >= self._transfer_at:
                self._transfer_at = now + TRANSFER_RETRY_S
                self._log.feed(replica_types.TransferLeadership())
                self._run_log(now)
            return
        in_progress = self._operators.in_progress or self._claims.in_progress
        if in_progress and now < self._stop_limit_at:
            return
        self._actions += self._operators.end()
        self._actions += self._claims.end()
        self._actions.append(control_types.Stopped())
        self._stopped = True

    @property
    def _is_stopping(self) -> bool:
        return self._stop_limit_at < math.inf

    def _has_others(self) -> bool:
        voters = self._log.status.voters
        return voters is not None and len(voters.voters) > 1

    def _arm_wake(self, now: float) -> None:
        if self._wake_at <= now:
            self._wake_at = math.inf
        wanted = self._heartbeats.next_time()
        if self._desk is not None:
            wanted = min(wanted, self._desk.wake_at)
        if not self._stopped:
            wanted = min(wanted, self._stop_limit_at, self._transfer_at)
        if wanted < self._wake_at:
            self._wake_at = wanted
            self._actions.append(node.Wake(wanted))
