"""Define the events, actions and messages of a replica of the replicated log.

A replica (module ``replica``) is a pure node part (see ``node``). Besides the events and actions
below it takes ``node.Started``, ``node.MessageReceived``, ``node.TimeDue``, ``node.Synced`` and
returns ``node.Send``, ``node.Wake``, ``node.Persist``.
"""

from __future__ import annotations

import dataclasses
import enum


class Role(enum.StrEnum):
    """Say what a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Voters:
    """Hold a log's membership: who votes, and who follows without a vote until caught up."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Event: append a command if this replica leads; ``proposal_id`` is the caller's own."""

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
    """Event: hand leadership to the most caught-up voter, as before a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Event: the state machine's state after ``index`` has been encoded; the log may compact."""

    index: int
    state: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Action: a committed command to apply, in index order, exactly once a start.

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
    """Action: this replica does not lead; the proposal may still commit if ``uncertain``."""

    proposal_id: str
    leader_id: str
    uncertain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Action: replace the state machine's state by this one, which is as of ``index``."""

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
    """Action: write a snapshot file and sync it, then start the journal anew with ``records``.

    ``node.Synced(token)`` follows once both are durable.
    """

    index: int
    snapshot: bytes
    records: tuple[bytes, ...]
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """Hand a replica what its data folder held at start.

    Attributes:
        records: Journal records in order, as they were persisted.
        snapshot: The last saved snapshot, as given to ``SaveSnapshot``; None if there is none.
        fresh: True if the folder was empty: the disk is new, replaced or lost.
    """

    records: tuple[bytes, ...] = ()
    snapshot: bytes | None = None
    fresh: bool = True
