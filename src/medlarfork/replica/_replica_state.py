"""The state of a replica that all roles share, and the actions collected for one event."""

from __future__ import annotations

import random as random_module
from typing import Any

from medlarfork import node
from medlarfork.replica import (
    _replica_disk,
    _replica_log,
    _replica_options,
    _replica_records,
    replica_types,
)

DISK_ID_BITS = 62
"""Random bits of a disk's identity."""


class ReplicaState:
    """Hold term, vote, log and disk; the roles read and change them.

    Attributes:
        me: This replica on its current disk.
        founder_disk_id: Disk id of the founder that this disk accepted, 0 if none.
        founder_rank: Rank of that founder among the initial voters.
        bootstrap_voters: Initial voters as recorded on this disk, None if nothing is recorded.
        term_sequence: Sequence number of the disk write that holds the current term and vote.
        leader_heard_at: When a leader was last heard from, or the start; no vote is granted for
            ``lease_s`` from then on.
        proposal_by_index: Proposals made on this replica that are not applied yet.
    """

    def __init__(
        self,
        replica_id: str,
        restored: replica_types.Restored,
        random: random_module.Random,
        options: _replica_options.ReplicaOptions,
    ) -> None:
        """Rebuild the state from the contents of the disk."""
        self.options = options
        self.random = random
        self.now = 0.0
        self.leader_heard_at = 0.0
        self.actions: list[Any] = []
        self.role = replica_types.Role.FOLLOWER
        self.leader_id = ""
        self.term = 0
        self.voted_for: _replica_records.Member | None = None
        self.founder_disk_id = 0
        self.founder_rank = 0
        self.bootstrap_voters: tuple[str, ...] | None = None
        self.term_sequence = 0
        self.proposal_by_index: dict[int, str] = {}
        self.disk = _replica_disk.ReplicaDisk(max_in_flight=options.in_flight_persists)
        self.snapshot_bytes = restored.snapshot
        self.snapshot: _replica_records.SnapshotRecord | None = None
        if restored.snapshot is not None:
            self.snapshot = _replica_records.RECORD_CODEC.unpack(restored.snapshot)
        self.log = _replica_log.ReplicaLog(self.snapshot)
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.me = _replica_records.Member(replica_id, self._replay(restored.records))
        if not self.me.disk_id:
            self.me = _replica_records.Member(replica_id, random.getrandbits(DISK_ID_BITS) | 1)
            self.disk.write(_replica_records.DiskRecord(self.me.disk_id))

    @property
    def membership(self) -> _replica_records.Membership | None:
        """Return the membership in effect: the latest in the log, committed or not."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Say whether the log lists this replica, on this disk, as a voter."""
        return self.membership is not None and self.me in self.membership.voters

    @property
    def active_memberships(self) -> tuple[_replica_records.Membership, ...]:
        """Return the memberships that this replica acts on.

        These are the latest one and, until that is known to be committed, the one before. A
        replica that an uncommitted change removes must still vote and may lead, since its log can
        be the only one that holds the change.
        """
        latest = self.log.membership
        if latest is None:
            return ()
        index = self.log.membership_index
        before = None if self.commit_index >= index else self.log.membership_at(index - 1)
        return (latest,) if before is None else (latest, before)

    @property
    def may_campaign(self) -> bool:
        """Say whether this replica is a voter in one of the active memberships."""
        return any(self.me in membership.voters for membership in self.active_memberships)

    @property
    def withholds_votes(self) -> bool:
        """Say whether a leader's lease may still depend on this replica granting no vote."""
        return self.now < self.leader_heard_at + self.options.lease_s

    def send(self, to: str, message: Any, *, after: int = 0) -> None:
        """Send a message once the current term and the write ``after`` are synced."""
        send = node.Send(to, message)
        needed = max(after, self.term_sequence)
        if needed <= self.disk.synced:
            self.actions.append(send)
        else:
            self.disk.hold(send, needed)

    def enter_term(self, term: int, voted_for: _replica_records.Member | None) -> None:
        """Enter a later term, or record a vote in the current one."""
        if term > self.term:
            self.disk.drop_held()
        self.term = term
        self.voted_for = voted_for
        self.term_sequence = self.disk.write(_replica_records.TermRecord(term, voted_for))

    def become(self, role: replica_types.Role, leader_id: str) -> None:
        """Switch to a role and report it."""
        self.role = role
        self.leader_id = leader_id
        change = replica_types.RoleChanged(role, self.term, leader_id)
        self.actions.append(change)

    def append(self, entry: _replica_records.Entry) -> None:
        """Append an entry to the log and queue its write."""
        self.log.append(entry, self.disk.write(entry))

    def commit_up_to(self, index: int) -> None:
        """Raise the commit index; ``apply`` applies the entries that it covers."""
        self.commit_index = max(self.commit_index, index)

    def apply(self) -> None:
        """Apply committed entries, a bounded number per event."""
        end = min(self.commit_index, self.applied_index + self.options.apply_batch_entries)
        while self.applied_index < end:
            self.applied_index += 1
            self._apply_entry(self.log.entry(self.applied_index))

    def refuse_open_proposals(self) -> None:
        """Report the proposals made here and not yet applied as refused with unknown outcome."""
        for proposal_id in self.proposal_by_index.values():
            refusal = replica_types.ProposalRefused(proposal_id, self.leader_id, uncertain=True)
            self.actions.append(refusal)
        self.proposal_by_index.clear()

    def save_snapshot(self, snapshot: _replica_records.SnapshotRecord, data: bytes) -> None:
        """Keep a snapshot, and replace the journal by it and the entries after it."""
        self.snapshot = snapshot
        self.snapshot_bytes = data
        records = self._records_after(snapshot.index)
        self.actions.append(self.disk.save_snapshot(snapshot.index, data, records))

    def install(
        self,
        snapshot: _replica_records.SnapshotRecord,
        data: bytes,
        kept: list[_replica_records.Entry],
    ) -> None:
        """Continue from another replica's snapshot and the entries that follow it."""
        sequence = self.disk.written + 1
        self.log.restart_from(snapshot, sequence)
        for entry in kept:
            self.log.append(entry, sequence)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.save_snapshot(snapshot, data)

    def _records_after(self, index: int) -> list[Any]:
        """Return every record that a journal needs besides a snapshot as of an index."""
        records: list[Any] = [_replica_records.DiskRecord(self.me.disk_id)]
        if self.founder_disk_id:
            records.append(_replica_records.FounderRecord(self.founder_disk_id, self.founder_rank))
        records.append(_replica_records.TermRecord(self.term, self.voted_for))
        records.extend(self.log.entries_after(index))
        return records

    def _apply_entry(self, entry: _replica_records.Entry) -> None:
        proposal_id = self.proposal_by_index.pop(entry.index, "")
        if entry.kind is _replica_records.EntryKind.COMMAND:
            self.actions.append(
                replica_types.Apply(entry.index, entry.term, entry.command, proposal_id)
            )
        elif entry.membership is not None:
            self.actions.append(
                replica_types.VotersChanged(entry.index, entry.membership.to_voters(), proposal_id)
            )

    def _replay(self, records: tuple[bytes, ...]) -> int:
        """Replay the journal's records and return the disk's identity, 0 if there is none."""
        disk_id = 0
        for data in records:
            match _replica_records.RECORD_CODEC.unpack(data):
                case _replica_records.DiskRecord() as record:
                    disk_id = record.disk_id
                case _replica_records.FounderRecord() as record:
                    self.founder_disk_id = record.founder_disk_id
                    self.founder_rank = record.rank
                case _replica_records.BootstrapRecord() as record:
                    self.bootstrap_voters = record.voters
                case _replica_records.TermRecord() as record:
                    self.term = record.term
                    self.voted_for = record.voted_for
                case _replica_records.Entry() as entry:
                    self._replay_entry(entry)
        self.log.sync_up_to(0)
        return disk_id

    def _replay_entry(self, entry: _replica_records.Entry) -> None:
        if entry.index <= self.log.last_index:
            self.log.truncate_from(entry.index)
        self.log.append(entry, sequence=0)
