"""State machine of one control replica: replicated log, its state, and the leader's services.

The leader answers entry hosts and operators; other replicas redirect to it. A leader answers only
while it holds its lease and after it has applied everything committed before its term, so no reply
is older than what an earlier leader acknowledged.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from medlarfork import claim, errors, heartbeat, node
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
"""Interval at which a stopping leader retries to hand over leadership, in seconds."""

STOP_TIMEOUT_S = 10.0
"""Maximum wait of a graceful stop for the handover and for calls in progress, in seconds."""


class ControlNode:
    """Turns the events of one control replica into actions."""

    def __init__(
        self,
        *,
        replica_id: str,
        replica: _control_log.LogReplica,
        state: replicated_state.ReplicatedState,
        check: _operator_service.Check,
        http_address_by_replica_id: Mapping[str, str],
        engine_orders: order_manager.OrderManager | None = None,
    ) -> None:
        """Create the components.

        Args:
            check: Returns the findings in a configuration; an empty tuple accepts it.
            http_address_by_replica_id: Addresses for operators of all replicas, this one included.
                Messages of the log are accepted only from these replicas.
            engine_orders: Orders engines while this replica leads; None if the deployment has no
                engine orders.
        """
        self._log = _control_log.ControlLog(replica_id, replica, state)
        self._engine_orders = engine_orders
        out_of_service = (
            heartbeat.OutOfService
            if engine_orders is None
            else lambda: engine_orders.out_of_service
        )
        self._heartbeats = _heartbeat_service.HeartbeatService(self._log, out_of_service)
        self._claims = _claim_service.ClaimService(self._log, self._heartbeats)
        self._operators = _operator_service.OperatorService(
            self._log, self._heartbeats, check, http_address_by_replica_id, engine_orders
        )
        self._replica_ids = frozenset(http_address_by_replica_id)
        self._leads = False
        self._ready_proposal = ""
        self._announced_revision = state.current.revision
        self._announced_out_of_service = 0
        self._wake_at = math.inf
        self._stop_deadline = math.inf
        self._transfer_due = math.inf
        self._stopped = False
        self._actions: list[Any] = []

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        self._actions = []
        self._heartbeats.expire(now)
        try:
            self._handle_event(event, now)
        except Exception as error:
            self._actions.append(node.Fault(type(event).__name__, error))
        try:
            self._continue_work(now)
        except Exception as error:
            # Writes of the log would be lost with the other actions.
            raise errors.BrokenStateError(
                f"The replicated log failed: {error}.", remedy="Start the process again."
            ) from error
        return tuple(self._actions)

    def _continue_work(self, now: float) -> None:
        """Run the log and what depends on it."""
        if self._leads and self._heartbeats.leases is None and not self._ready_proposal:
            self._propose_marker(now)
        self._run_log(now)
        self._actions += self._heartbeats.publish_changes(now)
        self._run_log(now)
        while self._claims.propose(now):
            self._run_log(now)
        self._report_lost_entries(now)
        self._run_log(now)
        self._continue_stopping(now)
        self._arm_wake(now)

    def status(self, now: float) -> operations.StatusReply:
        """Return the status of this replica."""
        return self._operators.status(now)

    def _handle_event(self, event: Any, now: float) -> None:
        match event:
            case node.MessageReceived(sender, message):
                self._handle_message(sender, message, now)
            case control_types.OperatorRequested(call_id, request):
                self._actions += self._operators.handle(call_id, request, now)
            case control_types.WallClock(unix_ms):
                self._broadcast_clock(unix_ms, now)
            case order_types.OrderDone() | order_types.EngineStateRead():
                self._notify_engine_orders(event, now)
            case node.TimeDue():
                self._notify_engine_orders(event, now)
                self._log.enqueue(event)
            case control_types.StopRequested():
                # After a release the next leader need not wait for the lease to expire.
                self._notify_engine_orders(lease_types.Stopping(), now)
                self._stop_deadline = min(self._stop_deadline, now + STOP_TIMEOUT_S)
                self._transfer_due = now
            case _:
                self._log.enqueue(event)

    def _handle_message(self, sender: str, message: Any, now: float) -> None:
        match message:
            case heartbeat.Heartbeat() if sender == message.member.entry_id:
                self._handle_heartbeat(message, now)
            case claim.ClaimRequest() | claim.ClaimFinish() | claim.ClaimAbandon() if (
                sender == message.holder.entry_id
            ):
                self._handle_claim(sender, message, now)
            case inventory.InventoryReport(entry_id) if sender == entry_id:
                self._notify_engine_orders(message, now)
            case heartbeat.Heartbeat() | claim.ClaimRequest() | inventory.InventoryReport():
                self._reject(sender, message)
            case claim.ClaimFinish() | claim.ClaimAbandon():
                self._reject(sender, message)
            case _log_clock.ClockReading(unix_ms) if sender in self._replica_ids:
                self._log.set_wall_clock(sender, unix_ms, now)
            case _ if sender in self._replica_ids:
                self._log.enqueue(node.MessageReceived(sender, message))
            case _:
                self._reject(sender, message)

    def _handle_heartbeat(self, beat: heartbeat.Heartbeat, now: float) -> None:
        if self._heartbeats.leases is None or not self._log.holds_lease(now):
            self._send_not_leader(beat.member.entry_id)
            return
        self._actions += self._heartbeats.handle_heartbeat(beat, now)
        self._notify_engine_orders(
            order_manager.EntryHeartbeat(beat.member.entry_id, beat.inventory_digest), now
        )

    def _handle_claim(self, sender: str, message: _claim_service.Message, now: float) -> None:
        if self._heartbeats.leases is None or self._is_stopping:
            self._send_not_leader(sender)
        elif not self._log.holds_lease(now):
            self._actions += self._claims.refuse_without_quorum(sender, message)
        else:
            self._actions += self._claims.submit(sender, message)

    def _broadcast_clock(self, unix_ms: int, now: float) -> None:
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
                    self._on_applied(action, now)
                case replica_types.RoleChanged():
                    self._change_role(action, now)
                case replica_types.ProposalRefused(proposal_id):
                    self._on_refused(proposal_id)
                    self._actions += self._operators.on_refused(action)
                    self._actions += self._claims.on_refused(proposal_id)
                case _:
                    self._actions.append(action)

    def _on_refused(self, proposal_id: str) -> None:
        self._heartbeats.on_refused(proposal_id)
        if proposal_id == self._ready_proposal:
            self._ready_proposal = ""

    def _on_applied(self, applied: _control_log.Applied, now: float) -> None:
        self._announce_revision()
        self._on_sub_state_reply(applied, now)
        if not applied.proposal_id or not self._leads:
            return
        if applied.proposal_id == self._ready_proposal:
            self._ready_proposal = ""
            self._heartbeats.start_term(applied.term, now)
            self._actions.append(control_types.LeaderReady(applied.term))
            # Entry hosts may still send to the old leader, which may never answer again.
            self._actions += self._heartbeats.notices()
            self._notify_engine_orders(lease_types.LeadershipWon(), now)
        self._heartbeats.on_applied(applied.proposal_id)
        self._actions += self._operators.on_applied(applied)
        self._actions += self._claims.on_applied(applied, now)

    def _announce_revision(self) -> None:
        revision = self._log.state.current.revision
        if revision == self._announced_revision:
            return
        self._announced_revision = revision
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
            self._redirect_members()
            self._heartbeats.end_term()
            self._notify_engine_orders(lease_types.LeadershipLost(), now)
            self._actions += self._operators.end_term()
            self._actions += self._claims.end_term()
        self._leads = leads

    def _notify_engine_orders(self, event: Any, now: float) -> None:
        if self._engine_orders is None:
            return
        for action in self._engine_orders.handle(event, now):
            match action:
                case order_manager.ProposeToSubState(name, packed):
                    at_ms = self._log.unix_ms(now)
                    self._log.propose(replicated_state.SubStateCommand(at_ms, name, packed))
                case _:
                    self._actions.append(action)

    def _on_sub_state_reply(self, applied: _control_log.Applied, now: float) -> None:
        """Forward a sub-state's reply, the only kind that is bytes, to the engine orders."""
        if self._engine_orders is None or not self._leads or not isinstance(applied.reply, bytes):
            return
        command = replicated_state.COMMANDS.unpack(applied.command)
        reply = order_manager.CommandApplied(command.name, command.command, applied.reply)
        self._notify_engine_orders(reply, now)
        version = self._engine_orders.out_of_service.version
        if version != self._announced_out_of_service:
            self._announced_out_of_service = version
            self._actions += self._heartbeats.notices()

    def _report_lost_entries(self, now: float) -> None:
        for action in tuple(self._actions):
            if isinstance(action, control_types.ViewPublished):
                for entry_id in action.left:
                    self._notify_engine_orders(order_manager.EntryLost(entry_id), now)

    def _redirect_members(self) -> None:
        """Redirect entry hosts, since this replica may exit before they ask it."""
        leases = self._heartbeats.leases
        for lease in () if leases is None else leases.leases:
            self._send_not_leader(lease.member.entry_id)

    def _propose_marker(self, now: float) -> None:
        """Propose a marker; once it is applied, so are all earlier entries."""
        # With the log's old time, new ids and keys would be refused as too far ahead.
        if not self._log.has_agreed_time(now):
            return
        marker = replicated_state.MembersChanged(self._log.unix_ms(now), (), ())
        self._ready_proposal = self._log.propose(marker)

    def _continue_stopping(self, now: float) -> None:
        if self._stopped or not self._is_stopping:
            return
        if self._log.is_leader and self._has_others() and now < self._stop_deadline:
            if now >= self._transfer_due:
                self._transfer_due = now + TRANSFER_RETRY_S
                self._log.enqueue(replica_types.TransferLeadership())
                self._run_log(now)
            return
        in_progress = self._operators.in_progress or self._claims.in_progress
        if in_progress and now < self._stop_deadline:
            return
        self._actions += self._operators.end_term()
        self._actions += self._claims.end_term()
        self._actions.append(control_types.Stopped())
        self._stopped = True

    @property
    def _is_stopping(self) -> bool:
        return self._stop_deadline < math.inf

    def _has_others(self) -> bool:
        voters = self._log.status.voters
        return voters is not None and len(voters.voters) > 1

    def _arm_wake(self, now: float) -> None:
        if self._wake_at <= now:
            self._wake_at = math.inf
        wake_at = self._heartbeats.next_due()
        if self._engine_orders is not None:
            wake_at = min(wake_at, self._engine_orders.wake_at)
        if not self._stopped:
            wake_at = min(wake_at, self._stop_deadline, self._transfer_due)
        if wake_at < self._wake_at:
            self._wake_at = wake_at
            self._actions.append(node.Wake(wake_at))
