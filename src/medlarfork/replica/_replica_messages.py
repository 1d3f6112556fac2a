"""Define the messages between replicas. Any of them may be lost, late, repeated or reordered."""

from __future__ import annotations

import dataclasses

from medlarfork.replica import _replica_records


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote in ``term``.

    Attributes:
        preliminary: Only ask whether a vote would be granted; nothing is recorded.
        transferred: The leader asked the candidate to take over, so its lease does not count.
        unled: Every voter said that it leads no term before this one, so there is no lease.
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
    """Ask a voter to say that it doesn't lead ``term`` and never will."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadDenial:
    """Say that ``voter`` has reached ``term``, does not lead it and never will.

    Attributes:
        last_index: The end of its log.
        last_term: The term of its last entry.
    """

    term: int
    voter: _replica_records.Member
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Send entries that follow ``previous_index``; without entries it is a heartbeat.

    ``sent_at`` is the leader's monotonic time; the follower only returns it.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[_replica_records.Entry, ...]
    commit_index: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer an ``AppendRequest`` or the last piece of a snapshot.

    Attributes:
        matched: Whether the follower held the entry before the new ones.
        match_index: Up to where its synced log equals the leader's.
        last_index: The end of its log, from where the leader may try again.
    """

    term: int
    follower: _replica_records.Member
    matched: bool
    match_index: int
    last_index: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send a piece of an encoded snapshot; ``digest`` identifies the whole of it."""

    term: int
    index: int
    digest: bytes
    total_bytes: int
    offset: int
    data: bytes
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunkReply:
    """Ask for the piece at ``next_offset``."""

    term: int
    follower: _replica_records.Member
    digest: bytes
    next_offset: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Ask the receiver to campaign at once: the leader of ``term`` hands over."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundRequest:
    """Ask a replica whose disk is empty to join the log that the sender founds."""

    founder_disk_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundReply:
    """Accept a ``FoundRequest``; the acceptance is on the sender's disk and can't be undone."""

    founder_disk_id: int
    disk_id: int


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
