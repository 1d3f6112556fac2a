"""One replica of a replicated log. Pure: no I/O, no clock; driven by events.

Consensus is Raft with pre-vote, leader leases, pipelined appends, snapshots and membership changes
of one voter at a time. Terms, votes and entries are synced before any message states them.

**A voter is a replica on one disk.** A replica draws a random disk id when its data folder is
empty, and memberships in the log list both ids. A replica that returns on another disk is therefore
another member: its votes and acknowledgements do not count, and it answers no vote request until
its own log lists it. When it answers the leader, the leader removes the lost disk from the voters
and adds the new one as a learner, in a single membership entry; once the learner has caught up,
another entry makes it a voter. Consecutive memberships differ by one voter, so their majorities
overlap. Example: A loses its disk after A and B have committed an entry that C lacks. C then needs
the vote of B, which refuses candidates with a shorter log, and B can't change the membership before
C holds the entry too. Until the new disk is a voter, a majority of a log of three needs both other
voters.

**Bootstrap.** The first start needs no setting; see ``_replica_bootstrap``. All initial voters must
answer once, and at least half of them on the disks of their first start. If the founder loses its
disk during the bootstrap and is still given initial voters, all data folders must be emptied. A
setting for the first start would be simpler, but if left in place it would let replicas that lost
their disks bootstrap a second log beside the first.

**Time.** The lease needs clocks that advance while the process is stopped and whose rates differ by
less than the drift margin covers. Where machines may be suspended, pass a clock that includes the
time of suspension. A clock that goes backwards ends leadership and restarts all timeouts.

**Order.** Writes must reach the disk in the order of their actions. An event that results from an
action, such as ``SnapshotTaken``, must be passed in after all earlier actions were performed.
``Synced`` covers every earlier write too.

**Randomness.** The generator must be seeded differently on every start of every replica: a repeated
disk id would break these guarantees. So would a data folder copied or restored from a backup.
"""

from __future__ import annotations

import dataclasses
import math
import random as random_module
from typing import Any

from medlarfork import node
from medlarfork.replica import (
    _replica_bootstrap,
    _replica_compaction,
    _replica_election,
    _replica_follower,
    _replica_leader,
    _replica_messages,
    _replica_options,
    _replica_restart_election,
    _replica_state,
    replica_types,
)

ReplicaOptions = _replica_options.ReplicaOptions

REPLICA_MESSAGES = _replica_messages.REPLICA_MESSAGES
"""The message classes that replicas exchange, for the codec of the links."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """The status of a replica for operators; ``voters`` is None while membership is unknown."""

    role: replica_types.Role
    term: int
    leader_id: str
    commit_index: int
    applied_index: int
    last_index: int
    voters: replica_types.Voters | None
    is_voter: bool


class Replica:
    """Turn events of a replica into actions (see ``replica_types``)."""

    def __init__(
        self,
        *,
        replica_id: str,
        initial_voters: replica_types.Voters,
        restored: replica_types.Restored,
        random: random_module.Random,
        options: ReplicaOptions = ReplicaOptions(),  # noqa: B008 - it is immutable
    ) -> None:
        """Rebuild the replica from its disk; ``initial_voters`` are only used to bootstrap."""
        self._state = _replica_state.ReplicaState(replica_id, restored, random, options)
        self._bootstrap = _replica_bootstrap.Bootstrap(self._state, initial_voters)
        self._follower = _replica_follower.Follower(self._state)
        self._follower.on_new_term()
        self._compaction = _replica_compaction.Compaction(self._state)
        self._restart_election = _replica_restart_election.RestartElection(self._state)
        self._leader: _replica_leader.Leader | None = None
        self._campaign: _replica_election.Campaign | None = None
        self._election_due = math.inf
        self._wake_at = math.inf
        self._is_started = False

    @property
    def status(self) -> ReplicaStatus:
        """Return the status for operators."""
        state = self._state
        membership = state.membership
        return ReplicaStatus(
            role=state.role,
            term=state.term,
            leader_id=state.leader_id,
            commit_index=state.commit_index,
            applied_index=state.applied_index,
            last_index=state.log.last_index,
            voters=None if membership is None else membership.to_voters(),
            is_voter=state.is_voter,
        )

    def holds_lease(self, now: float) -> bool:
        """Say whether this replica is the only leader and has applied all earlier entries."""
        if self._leader is None or now < self._state.now:
            return False
        return self._leader.holds_lease(now)

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        if isinstance(event, node.Started):
            self._start(now)
        if not self._is_started:
            return ()
        self._set_time(now)
        self._step_down_if_required()
        self._dispatch(event)
        self._on_time()
        self._finish_event()
        actions = tuple(self._state.actions)
        self._state.actions.clear()
        return actions

    def _start(self, now: float) -> None:
        state = self._state
        self._is_started = True
        state.now = now
        state.leader_heard_at = now
        self._reset_election_timer()
        self._restart_election.start()
        if state.snapshot is not None:
            restore = replica_types.RestoreSnapshot(state.snapshot.index, state.snapshot.state)
            state.actions.append(restore)

    def _set_time(self, now: float) -> None:
        state = self._state
        went_back = now < state.now
        state.now = now
        if went_back:
            state.leader_heard_at = now
            self._wake_at = math.inf
            self._become_follower("")

    def _dispatch(self, event: Any) -> None:
        match event:
            case node.MessageReceived(sender=sender, message=message):
                self._receive(sender, message)
            case node.TimeDue():
                self._wake_at = math.inf
            case node.Synced(token=token):
                self._state.disk.on_synced(token)
                self._state.log.sync_up_to(self._state.disk.synced)
            case replica_types.SnapshotTaken():
                self._compaction.on_snapshot_taken(event)
            case replica_types.Propose(proposal_id=proposal_id, command=command):
                if self._leader is None:
                    self._refuse(proposal_id)
                else:
                    self._leader.propose(proposal_id, command)
            case replica_types.ChangeVoters(proposal_id=proposal_id):
                if self._leader is None:
                    self._refuse(proposal_id)
                else:
                    self._leader.change_voters(event)
            case replica_types.TransferLeadership():
                if self._leader is not None:
                    self._leader.transfer()

    def _receive(self, sender: str, message: Any) -> None:
        match message:
            case _replica_messages.VoteRequest():
                self._on_vote_request(sender, message)
            case _replica_messages.VoteReply():
                if self._is_current(message.term) and self._campaign is not None:
                    self._campaign.on_reply(sender, message)
            case _replica_messages.LeadQuestion(term=term):
                self._on_lead_question(sender, message)
            case _replica_messages.LeadDenial(term=term):
                if self._is_current(term):
                    self._restart_election.on_denial(message)
            case _replica_messages.AppendRequest():
                if self._accept_leader(sender, message):
                    self._follower.on_append(sender, message)
            case _replica_messages.SnapshotChunk():
                if self._accept_leader(sender, message):
                    self._follower.on_chunk(sender, message)
            case _replica_messages.AppendReply():
                if self._is_current(message.term) and self._leader is not None:
                    self._leader.on_append_reply(sender, message)
            case _replica_messages.SnapshotChunkReply():
                if self._is_current(message.term) and self._leader is not None:
                    self._leader.on_chunk_reply(sender, message)
            case _replica_messages.TimeoutNow(term=term):
                if term == self._state.term and self._leader is None and self._state.is_voter:
                    self._campaign_for_vote(transferred=True)
            case _replica_messages.FoundRequest():
                self._bootstrap.on_request(sender, message)
            case _replica_messages.FoundReply():
                self._bootstrap.on_reply(sender, message)

    def _is_current(self, term: int) -> bool:
        """Enter a later term if the message has one; otherwise True: the message may count."""
        if term > self._state.term:
            self._enter_term(term)
            self._become_follower("")
            return False
        return True

    def _on_vote_request(self, sender: str, request: _replica_messages.VoteRequest) -> None:
        state = self._state
        if request.candidate.replica_id != sender or _replica_election.must_ignore(state, request):
            return
        if not request.preliminary and request.term > state.term:
            self._enter_term(request.term)
            self._become_follower("")
        if _replica_election.answer(state, sender, request):
            self._reset_election_timer()

    def _on_lead_question(self, sender: str, question: _replica_messages.LeadQuestion) -> None:
        """Answer a question; a replica that knows no leader first enters the question's term.

        A leader that sends a question has restarted, so its followers needn't wait for their
        election timeout.
        """
        if sender == self._state.leader_id and question.term >= self._state.term:
            self._become_follower("")
        if question.term > self._state.term and not self._state.leader_id:
            self._enter_term(question.term)
            self._become_follower("")
        self._restart_election.on_question(sender, question)

    def _accept_leader(
        self,
        sender: str,
        message: _replica_messages.AppendRequest | _replica_messages.SnapshotChunk,
    ) -> bool:
        """Follow the sender and return True, or reply with the current term if it is later."""
        state = self._state
        if message.term < state.term:
            reply = _replica_messages.AppendReply(
                state.term, state.me, False, 0, state.log.last_index, message.sent_at
            )
            state.send(sender, reply)
            return False
        is_new = message.term > state.term
        if is_new:
            self._enter_term(message.term)
        state.leader_heard_at = state.now
        if is_new or state.role is not replica_types.Role.FOLLOWER or state.leader_id != sender:
            self._become_follower(sender)
        self._reset_election_timer()
        return True

    def _enter_term(self, term: int) -> None:
        self._state.enter_term(term, None)
        self._follower.on_new_term()

    def _become_follower(self, leader_id: str) -> None:
        """Become a follower; stop leading or campaigning."""
        state = self._state
        was_leading = self._leader is not None
        self._leader = None
        self._campaign = None
        state.become(replica_types.Role.FOLLOWER, leader_id)
        if was_leading:
            state.refuse_open_proposals()
        self._reset_election_timer()

    def _refuse(self, proposal_id: str) -> None:
        refusal = replica_types.ProposalRefused(proposal_id, self._state.leader_id, uncertain=False)
        self._state.actions.append(refusal)

    def _reset_election_timer(self) -> None:
        options = self._state.options
        wait = self._state.random.uniform(
            options.election_timeout_min_s, options.election_timeout_max_s
        )
        self._election_due = self._state.now + wait

    def _step_down_if_required(self) -> None:
        if self._leader is not None and self._leader.must_step_down:
            self._become_follower("")

    def _on_time(self) -> None:
        self._bootstrap.on_due()
        if self._leader is not None:
            self._restart_election.stop()
            self._leader.on_due()
        elif self._restart_election.on_due():
            self._campaign_for_vote(unled=True)
        elif self._state.now >= self._election_due:
            self._on_election_timeout()

    def _on_election_timeout(self) -> None:
        """Start a pre-vote; a replica without a vote only resets the known leader."""
        state = self._state
        if state.may_campaign:
            self._reset_election_timer()
            self._campaign = _replica_election.Campaign(state, preliminary=True)
            return
        if state.leader_id:
            self._become_follower("")
        self._reset_election_timer()

    def _campaign_for_vote(self, *, transferred: bool = False, unled: bool = False) -> None:
        self._reset_election_timer()
        self._campaign = _replica_election.Campaign(
            self._state, preliminary=False, transferred=transferred, unled=unled
        )
        self._follower.on_new_term()

    def _finish_event(self) -> None:
        """Count votes, replicate, apply, and emit the writes and the messages that may be sent."""
        state = self._state
        self._count_votes()
        if self._leader is not None:
            self._leader.advance()
        state.apply()
        self._compaction.request_if_due()
        state.actions.extend(state.disk.flush())
        state.actions.extend(state.disk.release())
        self._schedule_wake()

    def _count_votes(self) -> None:
        if self._campaign is not None and self._campaign.is_preliminary and self._campaign.is_won:
            self._campaign_for_vote()
        if self._campaign is not None and self._campaign.is_won:
            self._campaign = None
            self._state.become(replica_types.Role.LEADER, self._state.me.replica_id)
            self._leader = _replica_leader.Leader(self._state)
            self._leader.on_due()

    def _schedule_wake(self) -> None:
        """Request the next ``TimeDue`` unless one at least as early is pending."""
        state = self._state
        due = self._leader.due if self._leader is not None else self._election_due
        due = min(due, self._bootstrap.due, self._restart_election.due)
        if state.applied_index < state.commit_index:
            due = state.now
        if self._wake_at <= state.now or due < self._wake_at:
            self._wake_at = due
            state.actions.append(node.Wake(due))
