"""Replicated state of the control plane: changes, claims, members and sub-states.

Applying commands is deterministic: replicas that apply the same commands have the same state and
give the same replies. Time is only what the commands carry, and it never goes back.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Any, Protocol

import msgspec

from medlarfork import claim, codec, errors, heartbeat, member
from medlarfork.control import _change_table, _claim_table

ChangeLimits = _change_table.ChangeLimits
ChangeRecord = _change_table.ChangeRecord
ChangeAnswer = _change_table.ChangeAnswer
ConfigurationChange = _change_table.ConfigurationChange
ClaimLimits = _claim_table.ClaimLimits


class SubState(Protocol):
    """Part of the replicated state that another module implements."""

    @property
    def name(self) -> str:
        """Return the unique name that its commands carry."""
        ...

    def apply(self, command: bytes, now_ms: int) -> bytes:
        """Apply a command at a log time and return the reply; must be deterministic."""
        ...

    def encode(self) -> bytes:
        """Return the sub-state for a snapshot."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the sub-state by an encoded one; empty bytes mean the initial state."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOperation:
    """One operation on claims; exactly one of the fields is set."""

    request: claim.ClaimRequest | None = None
    finish: claim.ClaimFinish | None = None
    abandon: claim.ClaimAbandon | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Command: apply claim operations in order; several share one log entry and one sync."""

    at_ms: int
    operations: tuple[ClaimOperation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Command: record which entry hosts joined or left, so that a new leader knows them."""

    at_ms: int
    joined: tuple[member.Member, ...]
    left: tuple[member.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SubStateCommand:
    """Command: pass a command to the sub-state of that name."""

    at_ms: int
    name: str
    command: bytes


Command = ConfigurationChange | ClaimBatch | MembersChanged | SubStateCommand

COMMANDS = codec.Codec((ConfigurationChange, ClaimBatch, MembersChanged, SubStateCommand))
"""Encodes the commands for the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubStateRefused:
    """A sub-state refused a command; nothing was changed."""

    name: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """Encoded form of the state."""

    log_time_ms: int
    changes: _change_table.ChangeTableState
    claims: _claim_table.ClaimTableState
    members: tuple[member.Member, ...]
    sub_states: dict[str, bytes]


class ReplicatedState:
    """State that all control replicas agree on."""

    def __init__(
        self,
        *,
        change_limits: ChangeLimits | None = None,
        claim_limits: ClaimLimits | None = None,
        sub_states: Iterable[SubState] = (),
    ) -> None:
        """Start empty; the limits and sub-states must be the same on all replicas."""
        self._change_limits = change_limits or ChangeLimits()
        self._claim_limits = claim_limits or ClaimLimits()
        self._sub_state_by_name = {sub_state.name: sub_state for sub_state in sub_states}
        self._log_time_ms = 0
        self._changes = _change_table.ChangeTable(self._change_limits)
        self._claims = _claim_table.ClaimTable(self._claim_limits)
        self._member_by_id: dict[str, member.Member] = {}

    @property
    def log_time_ms(self) -> int:
        """Return the highest time that a command has carried, in Unix milliseconds."""
        return self._log_time_ms

    @property
    def current(self) -> heartbeat.RevisionedConfiguration:
        """Return the configuration in force with its revision."""
        return self._changes.current

    @property
    def claim_count(self) -> int:
        """Return the number of claims kept."""
        return len(self._claims)

    @property
    def member_by_id(self) -> dict[str, member.Member]:
        """Return the entry hosts that joined and have not left, keyed by id."""
        return self._member_by_id

    def configuration_at(self, revision: int) -> heartbeat.RevisionedConfiguration | None:
        """Return the configuration of a revision; None if it is no longer kept."""
        found = self._changes.configuration_at(revision)
        return None if found is None else heartbeat.RevisionedConfiguration(revision, found)

    def history(self, limit: int) -> tuple[ChangeRecord, ...]:
        """Return the records of the last accepted changes, newest first."""
        return self._changes.history(limit)

    def has_answer(self, change_id: str) -> bool:
        """Return whether the answer to a change is kept."""
        return self._changes.has_answer(change_id)

    def claim_holder(self, key: claim.ClaimKey) -> claim.Holder | None:
        """Return the holder of an unfinished claim, if there is one."""
        return self._claims.holder_of(key)

    def sub_state(self, name: str) -> SubState | None:
        """Return the registered sub-state of that name, if there is one."""
        return self._sub_state_by_name.get(name)

    def apply(self, command: bytes) -> Any:
        """Apply a packed command and return its reply.

        The reply is a ``ChangeAnswer``, a tuple with a ``ClaimReply`` or ``ClaimRecorded`` for
        each claim operation, a sub-state's bytes or ``SubStateRefused``, or None.
        """
        decoded = COMMANDS.unpack(command)
        match decoded:
            case ConfigurationChange():
                self._advance_time(decoded.accepted_at_ms)
                return self._changes.decide(decoded, self._log_time_ms)
            case ClaimBatch():
                self._advance_time(decoded.at_ms)
                return tuple(self._apply_claim(item) for item in decoded.operations)
            case MembersChanged():
                self._advance_time(decoded.at_ms)
                return self._update_members(decoded)
            case SubStateCommand():
                self._advance_time(decoded.at_ms)
                return self._apply_to_sub_state(decoded)

    def encode(self) -> bytes:
        """Return the state for a snapshot."""
        snapshot = _Snapshot(
            self._log_time_ms,
            self._changes.state(),
            self._claims.state(),
            tuple(self._member_by_id.values()),
            {name: item.encode() for name, item in self._sub_state_by_name.items()},
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, state: bytes) -> None:
        """Replace the state by an encoded one.

        Raises:
            errors.DamagedJournalError: The bytes are not a snapshot of this version.
        """
        try:
            snapshot = msgspec.msgpack.decode(state, type=_Snapshot)
        except msgspec.MsgspecError as error:
            raise errors.DamagedJournalError(
                f"The snapshot can't be decoded: {error}.",
                remedy="Start the replica with the version that wrote it, or as a new replica.",
            ) from error
        self._log_time_ms = snapshot.log_time_ms
        self._changes = _change_table.ChangeTable(self._change_limits, snapshot.changes)
        self._claims = _claim_table.ClaimTable(self._claim_limits, snapshot.claims)
        self._member_by_id = {item.entry_id: item for item in snapshot.members}
        for name, sub_state in self._sub_state_by_name.items():
            sub_state.restore(snapshot.sub_states.get(name, b""))

    def _advance_time(self, at_ms: int) -> None:
        # A leader's clock may step back, but what has expired must stay expired.
        self._log_time_ms = max(self._log_time_ms, at_ms)
        self._claims.expire(self._log_time_ms)

    def _apply_claim(self, operation: ClaimOperation) -> claim.ClaimReply | claim.ClaimRecorded:
        if operation.request is not None:
            return self._claims.request(operation.request, self._log_time_ms)
        if operation.finish is not None:
            self._claims.finish(operation.finish, self._log_time_ms)
            return claim.ClaimRecorded(operation.finish.key, operation.finish.holder)
        assert operation.abandon is not None
        self._claims.abandon(operation.abandon, self._log_time_ms)
        return claim.ClaimRecorded(operation.abandon.key, operation.abandon.holder)

    def _apply_to_sub_state(self, command: SubStateCommand) -> bytes | SubStateRefused:
        sub_state = self._sub_state_by_name.get(command.name)
        if sub_state is None:
            return SubStateRefused(command.name, "This version has no such sub-state.")
        try:
            return sub_state.apply(command.command, self._log_time_ms)
        except errors.MedlarError as error:
            # If propagated, it would stop every replica at the same entry at each start.
            return SubStateRefused(command.name, str(error))

    def _update_members(self, changed: MembersChanged) -> None:
        for left in changed.left:
            known = self._member_by_id.get(left.entry_id)
            if known is not None and known.incarnation <= left.incarnation:
                del self._member_by_id[left.entry_id]
        for joined in changed.joined:
            known = self._member_by_id.get(joined.entry_id)
            if known is None or known.incarnation <= joined.incarnation:
                self._member_by_id[joined.entry_id] = joined
