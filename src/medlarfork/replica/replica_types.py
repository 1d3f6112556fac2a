"""Define the events, actions and messages of a replica of the replicated log.

A replica (module ``replica``) is a pure node part (see ``node``). Besides the events and actions
below it handles ``node.Started``, ``node.MessageReceived``, ``node.TimeDue`` and ``node.Synced``,
and returns ``node.Send``, ``node.Wake`` and ``node.Persist``.
"""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.StrEnum):
    """The current Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Voters:
    """Hold a log's membership by id: the voters, and the learners that have no vote yet."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Event: append a command if this replica leads; the caller picks ``proposal_id``."""

    proposal_id: str
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Event: add or remove one replica; a new one is a learner until it has caught up."""

    proposal_id: str
    add: str = ""
    remove: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Event: transfer leadership to the most up-to-date voter, as before a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Event: the state machine's state as of ``index`` is encoded; the log may be compacted."""

    index: int
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Action: apply a committed command; in index order, exactly once per process start.

    ``proposal_id`` is set only on the replica where the command was proposed.
    """

    index: int
    term: int
    command: bytes
    proposal_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class VotersChanged:
    """Action: a membership is committed; ``proposal_id`` is set as in ``Apply``."""

    index: int
    voters: Voters
    proposal_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalRefused:
    """Action: the proposal was rejected; it may still be committed if ``uncertain``."""

    proposal_id: str
    leader_id: str
    uncertain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Action: replace the state machine's state by this one as of ``index``."""

    index: int
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Action: encode the state machine's state as of ``index`` and send ``SnapshotTaken``."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """Action: the role, term or known leader changed; ``leader_id`` is empty if unknown."""

    role: Role
    term: int
    leader_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Action: durably replace the journal by a snapshot followed by ``records``.

    ``node.Synced(token)`` follows once both are synced.
    """

    index: int
    snapshot: bytes
    records: tuple[bytes, ...]
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """The contents of a replica's data folder at start.

    Attributes:
        records: Journal records in the order in which they were persisted.
        snapshot: The last saved snapshot, as passed to ``SaveSnapshot``; None if there is none.
        fresh: True if the folder was empty: the disk is new, or its data was lost.
    """

    records: tuple[bytes, ...] = ()
    snapshot: bytes | None = None
    fresh: bool = True
