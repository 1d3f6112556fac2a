"""Bootstrap a log whose replicas all have empty disks.

The first start on a disk decides whether that disk takes part: a ``BootstrapRecord`` with the
initial voters that the replica was given then, or with none, is synced before the replica sends
anything about the bootstrap. Later starts go by the record. A replica that returns with an empty
disk and isn't told to bootstrap can't know what its former disk had promised, so it never takes
part; it says so, and the log lists it as a learner.

The founder is the initial voter with the lowest id, except those that said that they don't take
part. It asks every other one to bind its disk to the founder's; a replica does so only with an
empty disk, and replies after the sync. When all have replied and at least half of them take part,
the founder writes the first membership as the first entry of the log. Its term is the founder's
rank among the initial voters. A disk that is bound to one rank may be bound to a higher one, and
then grants no vote for logs of a lower one, so the log of an earlier founder, which needs the vote
of a disk that took part, can't be elected any more.

A single replica whose disk is not empty prevents the bootstrap permanently. So a second log can't
be bootstrapped beside an existing one unless all disks that founded that one are lost.
"""

from __future__ import annotations

import math

from medlarfork.replica import _replica_messages, _replica_records, _replica_state, replica_types

FIRST_INDEX = 1
"""Index of the first membership."""

NO_DISK = 0
"""In a ``FoundRequest``, only asks whether the receiver takes part."""


class Bootstrap:
    """Send the founder's requests, and answer those of another founder."""

    def __init__(
        self, state: _replica_state.ReplicaState, initial_voters: replica_types.Voters
    ) -> None:
        """Record on an empty disk whether it takes part; nothing is sent before ``on_due``."""
        self._state = state
        self._voter_ids = tuple(sorted(set(initial_voters.voters)))
        if self._is_empty():
            self._record_participation()
        self._bound_disk_by_id: dict[str, int] = {}
        self._joining_disk_by_id: dict[str, int] = {}
        self._request_due = -math.inf

    @property
    def due(self) -> float:
        """Return when ``on_due`` must be called, infinity if never."""
        takes_part = self._state.me.replica_id in self._voter_ids
        return self._request_due if takes_part and self._is_empty() else math.inf

    def on_due(self) -> None:
        """As the founder, send requests and bootstrap the log if all replied; else find it."""
        state = self._state
        if state.now < self.due:
            return
        self._request_due = state.now + state.options.election_timeout_min_s
        if self._claim_founding():
            self._request(state.me.disk_id, self._voter_ids)
            self._bootstrap_if_answered()
        else:
            self._request(NO_DISK, self._voter_ids[: self._rank(state.me.replica_id)])

    def on_request(self, sender: str, request: _replica_messages.FoundRequest) -> None:
        """Say that this disk takes no part, or bind it to the founder and accept."""
        state = self._state
        if not self._is_empty():
            return
        if not self._voter_ids:
            self._reply(sender, request, joins=True)
            return
        if request.founder_disk_id == NO_DISK or sender not in self._voter_ids:
            return
        if state.founder_disk_id == NO_DISK or self._rank(sender) > state.founder_rank:
            self._bind(request.founder_disk_id, self._rank(sender))
        if state.founder_disk_id == request.founder_disk_id:
            self._reply(sender, request, joins=False)

    def on_reply(self, sender: str, reply: _replica_messages.FoundReply) -> None:
        """Record that another replica accepted, or that it takes no part."""
        state = self._state
        if self.due == math.inf or sender not in self._voter_ids:
            return
        if reply.joins:
            if self._joining_disk_by_id.get(sender) != reply.disk_id:
                # Its absence may make this replica the founder, or complete the replies.
                self._request_due = state.now
            self._joining_disk_by_id[sender] = reply.disk_id
            self._bound_disk_by_id.pop(sender, None)
        elif reply.founder_disk_id == state.me.disk_id:
            self._bound_disk_by_id[sender] = reply.disk_id
            self._joining_disk_by_id.pop(sender, None)
            self._bootstrap_if_answered()

    def _record_participation(self) -> None:
        state = self._state
        recorded = state.bootstrap_voters
        if recorded is not None and not (recorded and self._voter_ids):
            self._voter_ids = recorded
        if self._voter_ids != recorded:
            state.bootstrap_voters = self._voter_ids
            state.disk.write(_replica_records.BootstrapRecord(self._voter_ids))

    def _is_empty(self) -> bool:
        return self._state.membership is None and self._state.term == 0

    def _rank(self, voter_id: str) -> int:
        return self._voter_ids.index(voter_id)

    def _claim_founding(self) -> bool:
        """Bind this disk to itself if no lower voter takes part; return whether it is the founder.

        The binding outlives the replies that led to it.
        """
        state = self._state
        if state.founder_disk_id == state.me.disk_id:
            return True
        rank = self._rank(state.me.replica_id)
        is_lowest = all(voter in self._joining_disk_by_id for voter in self._voter_ids[:rank])
        if not is_lowest or (state.founder_disk_id != NO_DISK and rank <= state.founder_rank):
            return False
        self._bind(state.me.disk_id, rank)
        return True

    def _bind(self, founder_disk_id: int, rank: int) -> None:
        state = self._state
        state.founder_disk_id = founder_disk_id
        state.founder_rank = rank
        state.disk.write(_replica_records.FounderRecord(founder_disk_id, rank))

    def _request(self, founder_disk_id: int, voter_ids: tuple[str, ...]) -> None:
        """Send requests once everything that they rest on is synced."""
        state = self._state
        request = _replica_messages.FoundRequest(founder_disk_id)
        for voter_id in voter_ids:
            if voter_id != state.me.replica_id:
                state.send(voter_id, request, after=state.disk.written)

    def _reply(self, to: str, request: _replica_messages.FoundRequest, *, joins: bool) -> None:
        state = self._state
        reply = _replica_messages.FoundReply(request.founder_disk_id, state.me.disk_id, joins)
        state.send(to, reply, after=state.disk.written)

    def _bootstrap_if_answered(self) -> None:
        state = self._state
        if state.founder_disk_id != state.me.disk_id:
            return
        bound = self._bound_disk_by_id | {state.me.replica_id: state.me.disk_id}
        joining = self._joining_disk_by_id
        if any(voter not in bound and voter not in joining for voter in self._voter_ids):
            return
        if 2 * len(bound) < len(self._voter_ids):
            return
        membership = _replica_records.Membership(
            _members(bound, self._voter_ids), _members(joining, self._voter_ids)
        )
        if state.founder_rank:
            state.enter_term(state.founder_rank, None)
        state.append(
            _replica_records.Entry(
                FIRST_INDEX,
                state.founder_rank,
                _replica_records.EntryKind.MEMBERSHIP,
                membership=membership,
            )
        )


def _members(
    disk_by_id: dict[str, int], voter_ids: tuple[str, ...]
) -> tuple[_replica_records.Member, ...]:
    return tuple(
        _replica_records.Member(voter_id, disk_by_id[voter_id])
        for voter_id in voter_ids
        if voter_id in disk_by_id
    )
