"""Request votes and grant them."""

from __future__ import annotations

from medlarfork.replica import _replica_messages, _replica_records, _replica_state, replica_types


class Campaign:
    """One round of vote requests and the votes granted in it."""

    def __init__(
        self,
        state: _replica_state.ReplicaState,
        *,
        preliminary: bool,
        transferred: bool = False,
        unled: bool = False,
    ) -> None:
        """Send requests to every other voter.

        In a real (not preliminary) round, the candidate's own vote counts once it is synced.
        """
        self.is_preliminary = preliminary
        self._state = state
        self._granted_by: set[_replica_records.Member] = set()
        if preliminary:
            self._term = state.term + 1
            self._granted_by.add(state.me)
            state.become(replica_types.Role.PRE_CANDIDATE, "")
        else:
            self._term = state.term + 1
            state.enter_term(self._term, state.me)
            state.become(replica_types.Role.CANDIDATE, "")
        self._ask(transferred, unled)

    @property
    def is_won(self) -> bool:
        """Say whether a majority of the voters, on the disks listed for them, granted a vote."""
        state = self._state
        granted_by = set(self._granted_by)
        if not self.is_preliminary and state.disk.synced >= state.term_sequence:
            granted_by.add(state.me)
        membership = state.membership
        return len(granted_by.intersection(membership.voters)) >= membership.quorum

    def on_reply(self, sender: str, reply: _replica_messages.VoteReply) -> None:
        """Count a granted vote of this round."""
        of_this_round = (
            reply.asked_term == self._term
            and reply.preliminary == self.is_preliminary
            and reply.candidate == self._state.me
            and reply.voter.replica_id == sender
        )
        if of_this_round and reply.granted:
            self._granted_by.add(reply.voter)

    def _ask(self, transferred: bool, unled: bool) -> None:
        state = self._state
        request = _replica_messages.VoteRequest(
            term=self._term,
            candidate=state.me,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            preliminary=self.is_preliminary,
            transferred=transferred,
            unled=unled,
        )
        for voter in state.membership.voters:
            if voter != state.me:
                state.send(voter.replica_id, request)


def must_ignore(state: _replica_state.ReplicaState, request: _replica_messages.VoteRequest) -> bool:
    """Say whether a vote request must be left unanswered.

    A replica that heard from a leader within the lease must not answer, since the leader relies on
    that; except if the leader itself transferred leadership, or no lease is in effect (see
    ``_replica_restart_election``). A replica on a disk that no active membership lists has no vote;
    one whose log is empty has a vote for logs of its founder, or of one with a higher rank.
    """
    if not _may_vote(state, request):
        return True
    if request.transferred or request.unled:
        return False
    return state.role is replica_types.Role.LEADER or state.withholds_votes


def answer(
    state: _replica_state.ReplicaState, sender: str, request: _replica_messages.VoteRequest
) -> bool:
    """Reply to a vote request; True if a vote was granted.

    The request's term is at most the current one, or the request is preliminary.
    """
    granted = _is_up_to_date(state, request) and (
        request.term > state.term if request.preliminary else _is_vote_free(state, request)
    )
    votes = granted and not request.preliminary
    if votes and state.voted_for is None:
        state.enter_term(request.term, request.candidate)
    reply = _replica_messages.VoteReply(
        term=state.term,
        asked_term=request.term,
        candidate=request.candidate,
        voter=state.me,
        granted=granted,
        preliminary=request.preliminary,
    )
    state.send(sender, reply)
    return votes


def _is_vote_free(
    state: _replica_state.ReplicaState, request: _replica_messages.VoteRequest
) -> bool:
    return request.term == state.term and state.voted_for in (None, request.candidate)


def _is_up_to_date(
    state: _replica_state.ReplicaState, request: _replica_messages.VoteRequest
) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def _may_vote(state: _replica_state.ReplicaState, request: _replica_messages.VoteRequest) -> bool:
    if state.membership is None:
        return state.founder_disk_id != 0 and request.last_term >= state.founder_rank
    return any(state.me in membership.members for membership in state.active_memberships)
