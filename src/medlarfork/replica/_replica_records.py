"""Define the records that a replica writes to disk: identity, votes, entries and snapshots."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import codec
from medlarfork.replica import replica_types


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Identify one replica on one disk; disk id 0 represents a disk that is not known yet."""

    replica_id: str
    disk_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Hold the voters and the learners (followers without a vote), each with its disk."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def member(self, replica_id: str) -> Member | None:
        """Return the member with this id, on any disk."""
        for member in self.members:
            if member.replica_id == replica_id:
                return member
        return None

    def without(self, replica_id: str) -> Membership:
        """Return the membership without a replica."""
        return Membership(
            tuple(member for member in self.voters if member.replica_id != replica_id),
            tuple(member for member in self.learners if member.replica_id != replica_id),
        )

    def with_learner(self, member: Member) -> Membership:
        """Return the membership with the replica as a learner on this disk, and nowhere else."""
        rest = self.without(member.replica_id)
        return Membership(rest.voters, (*rest.learners, member))

    def with_voter(self, member: Member) -> Membership:
        """Return the membership with the replica as a voter on this disk."""
        rest = self.without(member.replica_id)
        return Membership((*rest.voters, member), rest.learners)

    def to_voters(self) -> replica_types.Voters:
        """Return the ids alone, sorted."""
        return replica_types.Voters(
            voters=tuple(sorted(member.replica_id for member in self.voters)),
            learners=tuple(sorted(member.replica_id for member in self.learners)),
        )


class EntryKind(enum.StrEnum):
    """The content type of a log entry."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERSHIP = "membership"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one log entry.

    In the journal, an entry replaces all earlier ones at its index and above.
    """

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DiskRecord:
    """Identify the disk; always the first record of a journal."""

    disk_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FounderRecord:
    """Bind this disk to a founder; only one of a higher rank may replace it."""

    founder_disk_id: int
    rank: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapRecord:
    """Hold the initial voters as of the first start on this disk; none if it only joins a log."""

    voters: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """Record the current term and the vote in it."""

    term: int
    voted_for: Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """Hold the state machine's state as of an index, and what the log needs to continue there."""

    index: int
    term: int
    membership: Membership
    state: bytes


RECORD_CODEC = codec.Codec(
    (Entry, DiskRecord, FounderRecord, BootstrapRecord, TermRecord, SnapshotRecord)
)
"""Encode and decode every record of the journal and the snapshot file."""
