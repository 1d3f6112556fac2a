"""Define the messages between replicas.

Any of them may be lost, delayed, duplicated or reordered.
"""

from __future__ import annotations

import dataclasses

from medlarfork.replica import _replica_records


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote in ``term``.

    Attributes:
        preliminary: Pre-vote: only ask whether a vote would be granted; nothing is recorded.
        transferred: The leader transferred leadership to the candidate, so its lease is void.
        unled: Every voter denied leading any earlier term, so no lease is in effect.
    """

    term: int
    candidate: _replica_records.Member
    last_index: int
    last_term: int
    preliminary: bool = False
    transferred: bool = False
    unled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer a ``VoteRequest``; ``term`` is the voter's own, ``asked_term`` the request's."""

    term: int
    asked_term: int
    candidate: _replica_records.Member
    voter: _replica_records.Member
    granted: bool
    preliminary: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeadQuestion:
    """Ask a voter to confirm that it doesn't lead ``term`` and never will."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadDenial:
    """Confirm that ``voter`` has reached ``term``, does not lead it and never will.

    Attributes:
        last_index: The last index of its log.
        last_term: The term of its last entry.
    """

    term: int
    voter: _replica_records.Member
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Send entries that follow ``previous_index``; without entries it is a heartbeat.

    ``sent_at`` is the leader's monotonic time; the follower only echoes it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[_replica_records.Entry, ...]
    commit_index: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer an ``AppendRequest`` or the last chunk of a snapshot.

    Attributes:
        matched: Whether the follower's log holds the entry before the new ones.
        match_index: Last index up to which its synced log equals the leader's.
        last_index: If matched, the last index of its log; otherwise the index after which the
            leader may retry.
    """

    term: int
    follower: _replica_records.Member
    matched: bool
    match_index: int
    last_index: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send a chunk of an encoded snapshot; ``digest`` is that of the complete snapshot."""

    term: int
    index: int
    digest: bytes
    total_bytes: int
    offset: int
    data: bytes
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunkReply:
    """Ask for the chunk at ``next_offset``."""

    term: int
    follower: _replica_records.Member
    digest: bytes
    next_offset: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Ask the receiver to campaign at once: the leader of ``term`` transfers leadership to it."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundRequest:
    """Ask a replica whose disk is empty to join the log that the sender bootstraps.

    Disk id 0 only asks whether the receiver takes part in the bootstrap.
    """

    founder_disk_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundReply:
    """Accept a ``FoundRequest``, or say that the sender's disk never takes part in a bootstrap.

    Either is synced on the sender's disk.
    """

    founder_disk_id: int
    disk_id: int
    joins: bool = False


REPLICA_MESSAGES: tuple[type, ...] = (
    VoteRequest,
    VoteReply,
    LeadQuestion,
    LeadDenial,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotChunkReply,
    TimeoutNow,
    FoundRequest,
    FoundReply,
)
"""Every message class of this module, for the codec of the links."""
