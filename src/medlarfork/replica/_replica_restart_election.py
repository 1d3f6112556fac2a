"""Elect a leader soon after a restart of all voters, without waiting for a lease to expire.

This shortens the time without a leader when all processes are started at once and callers return
before there is one. A replica that has just started can't know which lease it had acknowledged, so
it grants no vote for the duration of a lease. But each voter can confirm (``LeadDenial``) that it
has reached a term, does not lead it and, since it is no candidate in it, never will. Once all
voters have confirmed this for one term, no leader of that term or an earlier one remains whose
lease a vote in the next term could violate, however delayed any of the messages were. If a single
voter does not confirm, because it is down or knows a leader, the regular election follows.
"""

from __future__ import annotations

import math

from medlarfork.replica import _replica_messages, _replica_records, _replica_state, replica_types

QUESTION_PERIOD_S = 0.05
"""Time between two rounds of questions, in seconds. Links between processes that start at the same
time are established within 0.1 s of each other."""

QUESTION_DURATION_S = 0.6
"""How long a replica sends questions after its start, in seconds: several times what links need to
be established. A replica that starts later sends questions to the earlier ones itself."""

CAMPAIGN_STAGGER_S = 0.03
"""Delay between the campaigns of successive voters, in seconds. It covers a round trip between data
centres of a region and a sync on a slow disk, so that the first campaign meets no competing one."""

_DENYING_ROLES = (replica_types.Role.FOLLOWER, replica_types.Role.PRE_CANDIDATE)


class RestartElection:
    """Ask the other voters for denials for a limited time after the start."""

    def __init__(self, state: _replica_state.ReplicaState) -> None:
        """Prepare; no question is sent before ``start``."""
        self._state = state
        self._questions_end = -math.inf
        self._question_due = math.inf
        self._campaign_due = math.inf
        self._asked_term = 0
        self._denial_by_voter: dict[_replica_records.Member, _replica_messages.LeadDenial] = {}

    @property
    def due(self) -> float:
        """Return when ``on_due`` must be called, infinity if never."""
        return min(self._question_due, self._campaign_due)

    def start(self) -> None:
        """Start to send questions, if there are other voters."""
        state = self._state
        self._questions_end = state.now + QUESTION_DURATION_S
        self._question_due = state.now

    def stop(self) -> None:
        """Send no more questions: a leader is known, or the regular election has started."""
        self._question_due = math.inf
        self._campaign_due = math.inf

    def on_due(self) -> bool:
        """Send questions if they are due; return whether this replica must campaign now."""
        state = self._state
        is_over = (
            state.now >= self._questions_end or state.leader_id or state.role not in _DENYING_ROLES
        )
        if is_over or not state.is_voter:
            self.stop()
            return False
        if state.now >= self._question_due:
            self._send_questions()
        if self._asked_term != state.term:
            # A due time in the past would make the replica wake up in an endless loop.
            self._campaign_due = math.inf
        if state.now < self._campaign_due:
            return False
        self.stop()
        return True

    def on_question(self, sender: str, question: _replica_messages.LeadQuestion) -> None:
        """Confirm that this replica does not lead the term, if it doesn't and knows no leader."""
        state = self._state
        if state.leader_id or state.role not in _DENYING_ROLES or question.term != state.term:
            return
        denial = _replica_messages.LeadDenial(
            state.term, state.me, state.log.last_index, state.log.last_term
        )
        state.send(sender, denial)

    def on_denial(self, denial: _replica_messages.LeadDenial) -> None:
        """Record a denial; once all other voters sent one, schedule the campaign."""
        state = self._state
        if self._asked_term != state.term or denial.term != state.term:
            return
        self._denial_by_voter[denial.voter] = denial
        membership = state.membership
        if membership is None or self._campaign_due < math.inf:
            return
        others = [voter for voter in membership.voters if voter != state.me]
        if all(voter in self._denial_by_voter for voter in others):
            self._schedule_campaign(others)

    def _send_questions(self) -> None:
        state = self._state
        if self._asked_term != state.term:
            self._asked_term = state.term
            self._denial_by_voter.clear()
            self._campaign_due = math.inf
        self._question_due = state.now + QUESTION_PERIOD_S
        for voter in state.membership.voters if state.membership else ():
            if voter != state.me:
                question = _replica_messages.LeadQuestion(state.term)
                state.send(voter.replica_id, question)

    def _schedule_campaign(self, others: list[_replica_records.Member]) -> None:
        """Schedule a campaign if no log is longer; equal ones campaign in turn, in id order."""
        own = (self._state.log.last_term, self._state.log.last_index)
        campaigns_before = 0
        for voter in others:
            denial = self._denial_by_voter[voter]
            their = (denial.last_term, denial.last_index)
            if their > own:
                self._question_due = math.inf
                return
            campaigns_before += their == own and voter.replica_id < self._state.me.replica_id
        self._campaign_due = self._state.now + CAMPAIGN_STAGGER_S * campaigns_before
