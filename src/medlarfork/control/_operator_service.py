"""Operators' requests on a control replica."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from medlarfork import errors
from medlarfork.control import (
    _control_log,
    _heartbeat_service,
    _operator_replies,
    control_types,
    replicated_state,
)
from medlarfork.declared import configuration
from medlarfork.operator import operations
from medlarfork.orders import order_manager
from medlarfork.replica import replica_types

CALL_LIMIT = 1_000
"""Maximum operators' requests in progress; more are refused."""

HISTORY_LIMIT = 1_000
"""Maximum changes in one reply."""

Check = Callable[[configuration.Configuration], tuple[str, ...]]
"""Returns the findings in a configuration; an empty tuple accepts it."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A request that waits for the log."""

    call_id: str
    request: operations.Request


class OperatorService:
    """Answers reads at once and other requests when the log has decided them."""

    def __init__(
        self,
        log: _control_log.ControlLog,
        heartbeats: _heartbeat_service.HeartbeatService,
        check: Check,
        http_address_by_replica_id: Mapping[str, str],
        engine_orders: order_manager.OrderManager | None = None,
    ) -> None:
        """Start with nothing in progress."""
        self._engine_orders = engine_orders
        self._log = log
        self._heartbeats = heartbeats
        self._check = check
        self._http_address_by_replica_id = http_address_by_replica_id
        self._call_by_proposal: dict[str, _Call] = {}

    @property
    def in_progress(self) -> bool:
        """Return whether any call waits for the log."""
        return bool(self._call_by_proposal)

    def handle(self, call_id: str, request: operations.Request, now: float) -> list[Any]:
        """Answer a request, or propose its command to the log."""
        reply = self._reply(call_id, request, now)
        return [] if reply is None else _answer(call_id, reply)

    def on_applied(self, applied: _control_log.Applied) -> list[Any]:
        """Return the answer to the call that waits for an applied proposal, if any."""
        call = self._call_by_proposal.pop(applied.proposal_id, None)
        return [] if call is None else _answer(call.call_id, _reply_to(call.request, applied.reply))

    def on_refused(self, refused: replica_types.ProposalRefused) -> list[Any]:
        """Return the answer to the call that waits for a refused proposal, if any."""
        call = self._call_by_proposal.pop(refused.proposal_id, None)
        if call is None:
            return []
        reply = _operator_replies.uncertain() if refused.uncertain else self._not_leader()
        return _answer(call.call_id, reply)

    def end_term(self) -> list[Any]:
        """End the leadership: the outcome of all waiting calls is unknown."""
        calls = tuple(self._call_by_proposal.values())
        self._call_by_proposal.clear()
        uncertain = _operator_replies.uncertain()
        return [action for call in calls for action in _answer(call.call_id, uncertain)]

    def _reply(
        self, call_id: str, request: operations.Request, now: float
    ) -> operations.Reply | None:
        """Return the reply, or None if the request waits for the log."""
        if isinstance(request, operations.GetStatus):
            return self.status(now)
        leases = self._heartbeats.leases
        if leases is None:
            return self._not_leader()
        if not self._log.holds_lease(now):
            return _operator_replies.no_quorum()
        match request:
            case operations.GetConfiguration(revision):
                return _operator_replies.configuration(self._log.state, revision)
            case operations.GetHistory(limit):
                records = self._log.state.history(min(limit, HISTORY_LIMIT))
                return operations.HistoryReply(records)
            case operations.GetMembers():
                return _operator_replies.members(leases, self._log.state.current.revision)
            case operations.GetUpstreams(upstream_ids):
                return _operator_replies.known_upstreams(self._engine_orders, upstream_ids)
            case operations.GetInForce(revision):
                current = self._log.state.current.revision
                return _operator_replies.in_force(leases, revision, current)
            case operations.GetOrders():
                return _operator_replies.orders(self._engine_orders, now)
            case _:
                return self._propose(call_id, request, now)

    def _propose(
        self, call_id: str, request: operations.Request, now: float
    ) -> operations.Refused | None:
        if len(self._call_by_proposal) >= CALL_LIMIT:
            return _operator_replies.overloaded()
        refused = self._refusal(request)
        if refused is not None:
            return refused
        at_ms = self._log.unix_ms(now)
        match request:
            case operations.ApplyChange(change_id, base_revision, proposed, operator):
                command: replicated_state.Command = replicated_state.ConfigurationChange(
                    change_id, base_revision, operator, proposed, at_ms
                )
            case operations.AskSubState(name, packed):
                command = replicated_state.SubStateCommand(at_ms, name, packed)
            case operations.ChangeVoters(add, remove):
                proposal_id = self._log.new_proposal_id()
                self._log.enqueue(replica_types.ChangeVoters(proposal_id, add, remove))
                self._call_by_proposal[proposal_id] = _Call(call_id, request)
                return None
        self._call_by_proposal[self._log.propose(command)] = _Call(call_id, request)
        return None

    def _refusal(self, request: operations.Request) -> operations.Refused | None:
        match request:
            case operations.ApplyChange(change_id, _, proposed):
                # A resent change gets its first answer, even if the checks have become stricter.
                if self._log.state.has_answer(change_id):
                    return None
                findings = self._check(proposed)
                return _operator_replies.invalid(findings) if findings else None
            case operations.AskSubState(name) if self._log.state.sub_state(name) is None:
                return _operator_replies.no_sub_state(name)
            case operations.ChangeVoters(add, remove) if bool(add) == bool(remove):
                return operations.Refused(
                    errors.Code.BAD_REQUEST,
                    "Replicas are changed one at a time.",
                    "Name either one replica to add or one to remove.",
                )
            case operations.ChangeVoters(add) if add:
                return self._refusal_to_add(add)
            case _:
                return None

    def _refusal_to_add(self, replica_id: str) -> operations.Refused | None:
        if replica_id in self._http_address_by_replica_id:
            return None
        return operations.Refused(
            errors.Code.NOT_FOUND,
            f"Replica {replica_id!r} is not in this replica's settings.",
            "Add its addresses to the settings of all replicas and restart them one by one.",
        )

    def _not_leader(self) -> operations.Refused:
        leader_id = self._log.other_leader_id
        address = self._http_address_by_replica_id.get(leader_id, "")
        return _operator_replies.not_leader(leader_id, address)

    def status(self, now: float) -> operations.StatusReply:
        """Return the status of this replica."""
        status = self._log.status
        voters = status.voters or replica_types.Voters(())
        leases = self._heartbeats.leases
        return operations.StatusReply(
            replica_id=self._log.replica_id,
            role=status.role,
            term=status.term,
            leader_id=status.leader_id,
            has_lease=leases is not None and self._log.holds_lease(now),
            commit_index=status.commit_index,
            voters=voters.voters,
            learners=voters.learners,
            revision=self._log.state.current.revision,
            claims=self._log.state.claim_count,
            log_time_ms=self._log.state.log_time_ms,
            members=() if leases is None else _operator_replies.member_statuses(leases),
        )


def _answer(call_id: str, reply: operations.Reply) -> list[Any]:
    return [control_types.OperatorAnswered(call_id, reply)]


def _reply_to(request: operations.Request, applied: Any) -> operations.Reply:
    match request:
        case operations.ApplyChange():
            return _operator_replies.change_reply(applied)
        case operations.AskSubState() if isinstance(applied, replicated_state.SubStateRefused):
            return operations.Refused(
                errors.Code.BAD_REQUEST, applied.message, "Send a command of this version."
            )
        case operations.AskSubState(name):
            return operations.SubStateReply(name, applied)
        case operations.ChangeVoters(add, remove):
            return operations.VotersChanged(add, remove)
        case _:
            raise AssertionError(f"{type(request).__name__} is not decided by the log")
