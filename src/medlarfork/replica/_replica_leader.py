"""Lead a term: replicate and commit entries, and keep the lease."""

from __future__ import annotations

import math

from medlarfork.replica import (
    _replica_membership,
    _replica_messages,
    _replica_progress,
    _replica_records,
    _replica_snapshot,
    _replica_state,
    replica_types,
)


class Leader:
    """The state and behaviour of a replica while it leads one term."""

    def __init__(self, state: _replica_state.ReplicaState) -> None:
        """Append a no-op entry of the new term: earlier entries can only be committed with it."""
        self._state = state
        self._elected_at = state.now
        self._heartbeat_due = state.now
        self._progress_by_id: dict[str, _replica_progress.Progress] = {}
        self._transfer_to = ""
        self._transfer_deadline = math.inf
        self._first_index = state.log.last_index + 1
        self._append(_replica_records.EntryKind.NOOP)
        self._update_followers()

    @property
    def due(self) -> float:
        """Return when ``on_due`` or ``must_step_down`` must be evaluated next."""
        return min(self._heartbeat_due, self._transfer_deadline)

    @property
    def must_step_down(self) -> bool:
        """Say whether this replica must stop leading.

        It must if no majority has answered within a lease, if a transfer did not succeed in time
        (the target may still campaign, so no lease would be safe), or if a committed membership
        doesn't list it as a voter.
        """
        state = self._state
        if state.now >= self._transfer_deadline:
            return True
        if state.now > max(self._quorum_time(), self._elected_at) + state.options.lease_s:
            return True
        left_out = state.me not in state.membership.voters
        return left_out and state.commit_index >= state.log.membership_index

    def holds_lease(self, now: float) -> bool:
        """Say whether no other replica can lead now and all earlier terms' entries are applied."""
        if self._transfer_to or self._state.applied_index < self._first_index:
            return False
        options = self._state.options
        margin = options.lease_s - options.drift_margin_s
        return now < self._quorum_time(now) + margin

    def propose(self, proposal_id: str, command: bytes) -> None:
        """Append a command, unless too many are uncommitted or leadership is being transferred."""
        if self._transfer_to or self._is_full():
            self._refuse(proposal_id)
            return
        self._append(_replica_records.EntryKind.COMMAND, command, proposal_id=proposal_id)

    def change_voters(self, event: replica_types.ChangeVoters) -> None:
        """Append a membership with one replica added or removed."""
        membership = _replica_membership.changed(self._state.membership, event)
        is_ready = not self._transfer_to and self._may_change_membership()
        if membership is None or not is_ready or not self._has_live_quorum(membership):
            self._refuse(event.proposal_id)
            return
        self._append_membership(membership, event.proposal_id)

    def _has_live_quorum(self, membership: _replica_records.Membership) -> bool:
        """Say whether a majority of a membership's voters has answered within a lease.

        Otherwise nothing could be committed, and nobody elected once this leader is lost. For
        example, if a live voter of three were removed while another has lost its disk, the two
        that remain would never have a majority again.
        """
        state = self._state
        live = [
            voter
            for voter in membership.voters
            if voter == state.me
            or self._progress_by_id[voter.replica_id].acked_at > state.now - state.options.lease_s
        ]
        return len(live) >= membership.quorum

    def transfer(self) -> None:
        """Start to transfer leadership to the live voter with the longest matching log."""
        state = self._state
        live_after = state.now - state.options.lease_s
        targets = [
            progress
            for progress in self._progress_by_id.values()
            if progress.member in state.membership.voters and progress.acked_at > live_after
        ]
        if self._transfer_to or not targets:
            return
        target = max(targets, key=lambda progress: progress.match_index)
        self._transfer_to = target.member.replica_id
        self._transfer_deadline = state.now + state.options.election_timeout_max_s
        self._request_campaign(target)

    def on_due(self) -> None:
        """Send heartbeats if they are due."""
        if self._state.now < self._heartbeat_due:
            return
        self._heartbeat_due = self._state.now + self._state.options.heartbeat_s
        for replica_id, progress in self._progress_by_id.items():
            self._send_heartbeat(replica_id, progress)

    def on_append_reply(self, sender: str, reply: _replica_messages.AppendReply) -> None:
        """Update a follower's progress."""
        progress = self._accept_reply(sender, reply)
        if progress is None:
            return
        if not reply.matched:
            progress.on_mismatched(reply.last_index)
            return
        progress.on_matched(reply.match_index)
        transfer = progress.transfer
        if transfer is not None and progress.match_index >= transfer.index:
            progress.transfer = None
        self._promote_if_caught_up(progress)
        if sender == self._transfer_to:
            self._request_campaign(progress)

    def on_chunk_reply(self, sender: str, reply: _replica_messages.SnapshotChunkReply) -> None:
        """Send the next chunk of a snapshot."""
        progress = self._accept_reply(sender, reply)
        if progress is None or progress.transfer is None:
            return
        if progress.transfer.advance(reply):
            self._send_chunk(sender, progress)

    def advance(self) -> None:
        """Commit the entries that a majority has synced, and send followers those they lack.

        Only entries of this leader's term are counted; earlier ones are committed with them.
        """
        state = self._state
        index = min(self._majority_index(), state.log.last_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_up_to(index)
        for replica_id, progress in self._progress_by_id.items():
            self._replicate(replica_id, progress)

    def _majority_index(self) -> int:
        membership = self._state.membership
        matches = [self._match_of(voter) for voter in membership.voters]
        return sorted(matches, reverse=True)[membership.quorum - 1]

    def _match_of(self, voter: _replica_records.Member) -> int:
        if voter == self._state.me:
            return self._state.log.durable_index
        return self._progress_by_id[voter.replica_id].match_index

    def _quorum_time(self, now: float | None = None) -> float:
        """Return the latest time at which a majority is known to have followed this leader."""
        membership = self._state.membership
        own_time = self._state.now if now is None else now
        times = [
            (
                own_time
                if voter == self._state.me
                else self._progress_by_id[voter.replica_id].acked_at
            )
            for voter in membership.voters
        ]
        return sorted(times, reverse=True)[membership.quorum - 1]

    def _is_full(self) -> bool:
        open_entries = self._state.log.last_index - self._state.commit_index
        return open_entries >= self._state.options.uncommitted_entries

    def _refuse(self, proposal_id: str) -> None:
        leader_id = self._transfer_to or self._state.me.replica_id
        refusal = replica_types.ProposalRefused(proposal_id, leader_id, uncertain=False)
        self._state.actions.append(refusal)

    def _append(
        self,
        kind: _replica_records.EntryKind,
        command: bytes = b"",
        *,
        membership: _replica_records.Membership | None = None,
        proposal_id: str = "",
    ) -> None:
        state = self._state
        index = state.log.last_index + 1
        if proposal_id:
            state.proposal_by_index[index] = proposal_id
        state.append(_replica_records.Entry(index, state.term, kind, command, membership))

    def _append_membership(
        self, membership: _replica_records.Membership, proposal_id: str = ""
    ) -> None:
        kind = _replica_records.EntryKind.MEMBERSHIP
        self._append(kind, membership=membership, proposal_id=proposal_id)
        self._update_followers()

    def _may_change_membership(self) -> bool:
        """Say whether no change is uncommitted and this term has committed an entry.

        Both are needed for majorities of consecutive memberships to overlap.
        """
        needed = max(self._first_index, self._state.log.membership_index)
        return self._state.commit_index >= needed

    def _update_followers(self) -> None:
        """Keep the progress of every other member on its listed disk; drop that of others."""
        state = self._state
        old_progress_by_id = self._progress_by_id
        self._progress_by_id = {}
        for member in state.membership.members:
            if member.replica_id == state.me.replica_id:
                continue
            progress = old_progress_by_id.get(member.replica_id)
            if progress is None or progress.member != member:
                progress = _replica_progress.Progress(member, state.log.last_index, state.now)
            self._progress_by_id[member.replica_id] = progress

    def _accept_reply(
        self,
        sender: str,
        reply: _replica_messages.AppendReply | _replica_messages.SnapshotChunkReply,
    ) -> _replica_progress.Progress | None:
        """Return the follower's progress, or None if the reply must be ignored.

        It is ignored if it belongs to another term or comes from a disk that the membership does
        not list; a new disk of a member is handled by ``_replace_disk``.
        """
        progress = self._progress_by_id.get(sender)
        follower = reply.follower
        if reply.term != self._state.term or progress is None or follower.replica_id != sender:
            return None
        if progress.member != follower:
            self._replace_disk(progress, follower, reply.sent_at)
            return None
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        return progress

    def _replace_disk(
        self,
        progress: _replica_progress.Progress,
        follower: _replica_records.Member,
        sent_at: float,
    ) -> None:
        """Make a replica that returned on another disk a learner.

        A reply to an older message than the listed disk has answered is a delayed one from a disk
        that is gone.
        """
        if sent_at <= progress.acked_at or not self._may_change_membership():
            return
        self._append_membership(self._state.membership.with_learner(follower))
        self._progress_by_id[follower.replica_id].acked_at = sent_at

    def _promote_if_caught_up(self, progress: _replica_progress.Progress) -> None:
        """Make a learner a voter once it has completed a catch-up round fast enough."""
        state = self._state
        if progress.member not in state.membership.learners:
            return
        if progress.match_index < progress.round_target:
            return
        took = state.now - progress.round_started_at
        is_close = took <= state.options.election_timeout_min_s
        progress.round_target = state.log.last_index
        progress.round_started_at = state.now
        if is_close and self._may_change_membership():
            self._append_membership(state.membership.with_voter(progress.member))

    def _request_campaign(self, target: _replica_progress.Progress) -> None:
        """Ask the transfer's target to campaign if it holds the complete log."""
        if target.match_index == self._state.log.last_index:
            message = _replica_messages.TimeoutNow(self._state.term)
            self._state.send(target.member.replica_id, message)

    def _send_heartbeat(self, replica_id: str, progress: _replica_progress.Progress) -> None:
        """Send a message without entries, and resend a chunk of a snapshot if it seems lost."""
        state = self._state
        resend_after_s = state.options.election_timeout_min_s
        if progress.transfer is not None and state.now > progress.transfer.sent_at + resend_after_s:
            if progress.transfer.has_started:
                self._send_chunk(replica_id, progress)
            else:
                self._start_snapshot(replica_id, progress)
        previous = progress.next_index - 1
        if state.log.term_at(previous) is None:
            previous = 0
        self._send_entries(replica_id, previous, ())

    def _replicate(self, replica_id: str, progress: _replica_progress.Progress) -> None:
        state = self._state
        options = state.options
        if progress.transfer is None and progress.next_index <= state.log.base_index:
            self._start_snapshot(replica_id, progress)
        while (
            progress.may_send(options.in_flight_appends)
            and progress.next_index <= state.log.last_index
        ):
            entries = state.log.entries_from(
                progress.next_index, count=options.batch_entries, size_bytes=options.batch_bytes
            )
            self._send_entries(replica_id, progress.next_index - 1, entries)
            progress.on_sent(entries[-1].index)

    def _send_entries(
        self, replica_id: str, previous: int, entries: tuple[_replica_records.Entry, ...]
    ) -> None:
        state = self._state
        message = _replica_messages.AppendRequest(
            term=state.term,
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            entries=entries,
            commit_index=state.commit_index,
            sent_at=state.now,
        )
        state.send(replica_id, message)

    def _start_snapshot(self, replica_id: str, progress: _replica_progress.Progress) -> None:
        state = self._state
        if state.snapshot is None or state.snapshot_bytes is None:
            return
        transfer = _replica_snapshot.SnapshotTransfer(
            state.snapshot.index,
            state.snapshot_bytes,
            chunk_bytes=state.options.snapshot_chunk_bytes,
        )
        progress.on_transfer(transfer)
        self._send_chunk(replica_id, progress)

    def _send_chunk(self, replica_id: str, progress: _replica_progress.Progress) -> None:
        state = self._state
        state.send(replica_id, progress.transfer.chunk(state.term, state.now))
