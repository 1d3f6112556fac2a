"""Configuration changes: one winner per revision, and one answer per change id."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import zlib

import msgspec

from medlarfork import errors, heartbeat, uuid7
from medlarfork.declared import configuration

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_COMPRESSION = 1
"""Compression level of zlib: the fastest."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLimits:
    """Limits of the change table; must be equal on all replicas.

    Attributes:
        remembered: Maximum change ids whose answers are kept.
        remembered_ms: How long the answers are kept.
        id_ahead_ms: How far the time in a change id may be ahead of the log's time.
        configurations: Number of latest configurations kept in full, as bases of deltas.
        history: Number of latest accepted changes whose records are kept.
    """

    remembered: int = 10_000
    remembered_ms: int = 7 * 24 * 3600 * 1000
    id_ahead_ms: int = 3600 * 1000
    configurations: int = 64
    history: int = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """Command: replace the configuration, if ``base_revision`` is still the current one."""

    change_id: str
    base_revision: int
    operator: str
    configuration: configuration.Configuration
    accepted_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Record of one accepted change."""

    revision: int
    change_id: str
    operator: str
    base_revision: int
    accepted_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Answer to a change.

    Attributes:
        change_id: The id of the change.
        revision: The revision that the change created or, if refused, the current one at that time.
        code: Why it was refused; None if it was accepted.
        winner: For a conflict: the change that was accepted from the same base revision, or the
            last accepted one if that is no longer known.
    """

    change_id: str
    revision: int
    code: errors.Code | None = None
    winner: ChangeRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RememberedAnswer:
    """Answer to a change, with the digest of its content."""

    answer: ChangeAnswer
    digest: bytes
    answered_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeptConfiguration:
    """Accepted configuration, compressed; most are only read as the base of a delta."""

    revision: int
    compressed: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeTableState:
    """State of the table in a snapshot; each tuple has its oldest element first.

    ``forgotten_ms`` is the highest time among the change ids that were evicted.
    """

    revision: int = 0
    kept: tuple[KeptConfiguration, ...] = ()
    history: tuple[ChangeRecord, ...] = ()
    remembered: tuple[RememberedAnswer, ...] = ()
    forgotten_ms: int = -1


class ChangeTable:
    """Decides changes; equal changes at equal log times lead to equal tables."""

    def __init__(self, limits: ChangeLimits, state: ChangeTableState | None = None) -> None:
        """Start with revision 0, the empty configuration, or from a snapshot."""
        state = state or ChangeTableState()
        self._limits = limits
        self._revision = state.revision
        self._kept_by_revision = {kept.revision: kept for kept in state.kept}
        self._record_by_revision = {record.revision: record for record in state.history}
        self._remembered_by_id = collections.OrderedDict(
            (remembered.answer.change_id, remembered) for remembered in state.remembered
        )
        self._forgotten_ms = state.forgotten_ms
        current = self.configuration_at(state.revision)
        self._current = configuration.Configuration() if current is None else current

    @property
    def current(self) -> heartbeat.RevisionedConfiguration:
        """Return the configuration in force."""
        return heartbeat.RevisionedConfiguration(self._revision, self._current)

    def state(self) -> ChangeTableState:
        """Return the state for a snapshot."""
        return ChangeTableState(
            self._revision,
            tuple(self._kept_by_revision.values()),
            tuple(self._record_by_revision.values()),
            tuple(self._remembered_by_id.values()),
            self._forgotten_ms,
        )

    def configuration_at(self, revision: int) -> configuration.Configuration | None:
        """Return the configuration of a revision; None if it is no longer kept."""
        if revision == 0:
            return configuration.Configuration()
        kept = self._kept_by_revision.get(revision)
        if kept is None:
            return None
        encoded = zlib.decompress(kept.compressed)
        return msgspec.msgpack.decode(encoded, type=configuration.Configuration)

    def history(self, limit: int) -> tuple[ChangeRecord, ...]:
        """Return the records of the last accepted changes, newest first."""
        records = list(self._record_by_revision.values())
        return tuple(reversed(records[-limit:])) if limit > 0 else ()

    def has_answer(self, change_id: str) -> bool:
        """Return whether the answer to a change is kept."""
        return change_id in self._remembered_by_id

    def decide(self, change: ConfigurationChange, now_ms: int) -> ChangeAnswer:
        """Accept or refuse the change, or repeat the first answer to its id."""
        self._evict(now_ms)
        digest = _digest(change)
        known = self._remembered_by_id.get(change.change_id)
        if known is not None:
            return self._repeat_answer(known, digest)
        code = self._refusal_of_id(change.change_id, now_ms)
        if code is not None:
            return ChangeAnswer(change.change_id, self._revision, code)
        if change.base_revision == self._revision:
            answer = self._accept(change)
        else:
            answer = self._conflict(change)
        self._remembered_by_id[change.change_id] = RememberedAnswer(answer, digest, now_ms)
        return answer

    def _repeat_answer(self, known: RememberedAnswer, digest: bytes) -> ChangeAnswer:
        if known.digest == digest:
            return known.answer
        return ChangeAnswer(known.answer.change_id, self._revision, errors.Code.KEY_REUSED)

    def _refusal_of_id(self, change_id: str, now_ms: int) -> errors.Code | None:
        id_ms = uuid7.time_ms(change_id)
        # Once evicted, an id from far in the future would make all earlier ids count as evicted.
        ahead = id_ms is not None and id_ms > now_ms + self._limits.id_ahead_ms
        if id_ms is None or ahead or change_id != change_id.lower():
            return errors.Code.BAD_REQUEST
        return errors.Code.CHANGE_TOO_OLD if id_ms <= self._forgotten_ms else None

    def _accept(self, change: ConfigurationChange) -> ChangeAnswer:
        self._revision += 1
        self._current = change.configuration
        compressed = zlib.compress(_ENCODER.encode(change.configuration), _COMPRESSION)
        self._kept_by_revision[self._revision] = KeptConfiguration(self._revision, compressed)
        self._kept_by_revision.pop(self._revision - self._limits.configurations, None)
        self._record_by_revision[self._revision] = ChangeRecord(
            self._revision,
            change.change_id,
            change.operator,
            change.base_revision,
            change.accepted_at_ms,
        )
        self._record_by_revision.pop(self._revision - self._limits.history, None)
        return ChangeAnswer(change.change_id, self._revision)

    def _conflict(self, change: ConfigurationChange) -> ChangeAnswer:
        winner = self._record_by_revision.get(change.base_revision + 1)
        last = self._record_by_revision.get(self._revision)
        code = errors.Code.CHANGE_CONFLICT
        return ChangeAnswer(change.change_id, self._revision, code, winner or last)

    def _evict(self, now_ms: int) -> None:
        while self._remembered_by_id:
            oldest = next(iter(self._remembered_by_id.values()))
            aged = oldest.answered_at_ms + self._limits.remembered_ms <= now_ms
            if not aged and len(self._remembered_by_id) < self._limits.remembered:
                return
            del self._remembered_by_id[oldest.answer.change_id]
            id_ms = uuid7.time_ms(oldest.answer.change_id)
            assert id_ms is not None
            self._forgotten_ms = max(self._forgotten_ms, id_ms)


def _digest(change: ConfigurationChange) -> bytes:
    content = (change.base_revision, change.configuration)
    return hashlib.sha256(_ENCODER.encode(content)).digest()
