"""Claims of entry hosts on the leader, batched into log entries."""

from __future__ import annotations

from typing import Any

from medlarfork import claim, heartbeat, node
from medlarfork.control import _claim_batches, _control_log, _heartbeat_service, replicated_state

Message = claim.ClaimRequest | claim.ClaimFinish | claim.ClaimAbandon


class ClaimService:
    """Batches claims into the log and sends each reply once its entry is applied."""

    def __init__(
        self, log: _control_log.ControlLog, heartbeats: _heartbeat_service.HeartbeatService
    ) -> None:
        """Start with nothing in progress."""
        self._log = log
        self._heartbeats = heartbeats
        self._batches = _claim_batches.ClaimBatches()

    @property
    def in_progress(self) -> bool:
        """Return whether any operation waits for its reply."""
        return self._batches.in_progress

    def submit(self, sender: str, message: Message) -> list[Any]:
        """Queue an operation for the next batch; refuse it if the queue is full."""
        if self._batches.add(_claim_batches.ClaimCall(sender, _operation(message))):
            return []
        # No reply to a finish or an abandon: the entry host sends it again.
        return _reply_with(sender, message, claim.Verdict.FULL)

    def refuse_without_quorum(self, sender: str, message: Message) -> list[Any]:
        """Return the reply of a leader that reaches no majority."""
        return _reply_with(sender, message, claim.Verdict.NO_QUORUM)

    def propose(self, now: float) -> bool:
        """Propose the next batch and return True, or return False if none is due."""
        proposal_id = self._log.new_proposal_id()
        calls = self._batches.next_batch(proposal_id)
        if not calls:
            return False
        operations = tuple(call.operation for call in calls)
        command = replicated_state.ClaimBatch(self._log.unix_ms(now), operations)
        self._log.propose(command, proposal_id)
        return True

    def on_applied(self, applied: _control_log.Applied, now: float) -> list[Any]:
        """Return the replies to an applied batch; none if it is not of this leadership."""
        calls = self._batches.complete(applied.proposal_id)
        if not calls:
            return []
        pairs = zip(calls, applied.reply, strict=True)
        return [node.Send(call.sender, self._check_holder(reply, now)) for call, reply in pairs]

    def on_refused(self, proposal_id: str) -> list[Any]:
        """Redirect the senders of a refused batch to the leader."""
        return self._not_leader(self._batches.complete(proposal_id))

    def end_term(self) -> list[Any]:
        """End the leadership: redirect all senders to the leader."""
        return self._not_leader(self._batches.drain())

    def _not_leader(self, calls: tuple[_claim_batches.ClaimCall, ...]) -> list[Any]:
        reply = heartbeat.NotLeader(self._log.other_leader_id, self._log.term)
        # One is enough for each sender: it resends all operations in progress.
        senders = dict.fromkeys(call.sender for call in calls)
        return [node.Send(sender, reply) for sender in senders]

    def _check_holder(
        self, reply: claim.ClaimReply | claim.ClaimRecorded, now: float
    ) -> claim.ClaimReply | claim.ClaimRecorded:
        """Return the reply, with another verdict if the claim's holder is known to be lost."""
        if not isinstance(reply, claim.ClaimReply) or reply.verdict is not claim.Verdict.RUNNING:
            return reply
        holder = self._log.state.claim_holder(reply.key)
        leases = self._heartbeats.leases
        if holder is None or leases is None or not self._log.holds_lease(now):
            return reply
        if not leases.is_lost(holder.entry_id, holder.incarnation, now):
            return reply
        return claim.ClaimReply(reply.key, reply.holder, claim.Verdict.HOLDER_LOST)


def _operation(message: Message) -> replicated_state.ClaimOperation:
    match message:
        case claim.ClaimRequest():
            return replicated_state.ClaimOperation(request=message)
        case claim.ClaimFinish():
            return replicated_state.ClaimOperation(finish=message)
        case claim.ClaimAbandon():
            return replicated_state.ClaimOperation(abandon=message)


def _reply_with(sender: str, message: Message, verdict: claim.Verdict) -> list[Any]:
    if not isinstance(message, claim.ClaimRequest):
        return []
    return [node.Send(sender, claim.ClaimReply(message.key, message.holder, verdict))]
