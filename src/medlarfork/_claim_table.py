"""Keep claims: who may dispatch which not-repeatable request, and what came of it."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import sys

from medlarfork import claim, uuid7

_EXPIRED_PER_STEP = 1000
"""Most claims dropped in one step, so that the work of a step is bounded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bound the claim table; must be equal on all replicas.

    Attributes:
        retention_ms: How long a claim is kept after its grant or its key's time, the later one.
        claims: Most claims kept; beyond them new ones are refused.
        answer_bytes: Longest answer body kept for duplicates.
        answers_bytes: Bytes of answer bodies kept in all; the oldest are dropped first.
        key_ahead_ms: How far a key's time may lie ahead of the log's time.
        abandoned: How many abandoned holders are remembered.
    """

    retention_ms: int = 24 * 3600 * 1000
    claims: int = 100_000
    answer_bytes: int = 16 * 1024
    answers_bytes: int = 4 * 1024 * 1024
    key_ahead_ms: int = 3600 * 1000
    abandoned: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """Hold one claim; ``answer`` None with ``finished`` means that it may have run."""

    key: claim.ClaimKey
    holder: claim.Holder
    body_sha256: str
    expires_at_ms: int
    finished: bool = False
    answer: claim.StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedHolder:
    """Remember that a holder gave its claim back, so that its late request is not granted."""

    key: claim.ClaimKey
    holder: claim.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTableState:
    """Hold the table for a snapshot.

    Attributes:
        entries: The claims in the order of their grant.
        answered: Keys of the claims whose answers are kept, oldest answer first.
        abandoned: Holders that gave their claim back, oldest first.
    """

    entries: tuple[ClaimEntry, ...] = ()
    answered: tuple[claim.ClaimKey, ...] = ()
    abandoned: tuple[AbandonedHolder, ...] = ()


class ClaimTable:
    """Decide claims; equal operations at equal log times lead to equal tables."""

    def __init__(self, limits: ClaimLimits, state: ClaimTableState | None = None) -> None:
        """Start empty or from a snapshot."""
        state = state or ClaimTableState()
        self._limits = limits
        entries = (_interned(entry) for entry in state.entries)
        self._entry_by_key = {entry.key: entry for entry in entries}
        self._expiries = [
            (entry.expires_at_ms, _order(key)) for key, entry in self._entry_by_key.items()
        ]
        heapq.heapify(self._expiries)
        self._answered = collections.OrderedDict.fromkeys(state.answered)
        self._answers_bytes = sum(self._answer_size(key) for key in self._answered)
        self._abandoned = collections.OrderedDict.fromkeys(state.abandoned)

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._entry_by_key)

    def state(self) -> ClaimTableState:
        """Return the table for a snapshot."""
        return ClaimTableState(
            tuple(self._entry_by_key.values()), tuple(self._answered), tuple(self._abandoned)
        )

    def holder_of(self, key: claim.ClaimKey) -> claim.Holder | None:
        """Return who holds the unfinished claim, if anyone does."""
        entry = self._entry_by_key.get(key)
        return None if entry is None or entry.finished else entry.holder

    def request(self, asked: claim.ClaimRequest, now_ms: int) -> claim.ClaimReply:
        """Grant the claim or say what became of it."""
        entry = self._live(asked.key, now_ms)
        if entry is None:
            verdict = self._verdict_on_new(asked, now_ms)
            return claim.ClaimReply(asked.key, asked.holder, verdict)
        if entry.body_sha256 != asked.body_sha256:
            return claim.ClaimReply(asked.key, asked.holder, claim.Verdict.KEY_REUSED)
        answer = entry.answer if entry.answer and entry.answer.kept else None
        return claim.ClaimReply(asked.key, asked.holder, _verdict_on(entry, asked.holder), answer)

    def finish(self, finished: claim.ClaimFinish, now_ms: int) -> None:
        """Record the end of the holder's dispatch; without effect for anyone else."""
        entry = self._live(finished.key, now_ms)
        if entry is None or entry.finished or entry.holder != finished.holder:
            return
        answer = finished.answer
        if answer is not None and len(answer.body) > self._limits.answer_bytes:
            answer = dataclasses.replace(answer, body=b"", kept=False)
        self._entry_by_key[entry.key] = dataclasses.replace(entry, finished=True, answer=answer)
        if answer is not None and answer.kept:
            self._keep_answer(entry.key)

    def abandon(self, abandoned: claim.ClaimAbandon, now_ms: int) -> None:
        """Drop the holder's own unfinished claim, and refuse its late request."""
        entry = self._live(abandoned.key, now_ms)
        if entry is not None and entry.holder == abandoned.holder:
            if entry.finished:
                return
            self._drop(entry.key)
        self._abandoned[AbandonedHolder(abandoned.key, abandoned.holder)] = None
        while len(self._abandoned) > self._limits.abandoned:
            self._abandoned.popitem(last=False)

    def expire(self, now_ms: int) -> None:
        """Drop claims past retention, a bounded number in one step."""
        for _ in range(_EXPIRED_PER_STEP):
            if not self._expiries or self._expiries[0][0] > now_ms:
                return
            expires_at_ms, (account, key) = heapq.heappop(self._expiries)
            entry = self._entry_by_key.get(claim.ClaimKey(account, key))
            if entry is not None and entry.expires_at_ms == expires_at_ms:
                self._drop(entry.key)

    def _live(self, key: claim.ClaimKey, now_ms: int) -> ClaimEntry | None:
        entry = self._entry_by_key.get(key)
        if entry is not None and entry.expires_at_ms <= now_ms:
            self._drop(key)
            return None
        return entry

    def _verdict_on_new(self, asked: claim.ClaimRequest, now_ms: int) -> claim.Verdict:
        if AbandonedHolder(asked.key, asked.holder) in self._abandoned:
            return claim.Verdict.HOLDER_LOST
        key_ms = uuid7.time_ms(asked.key.key)
        if key_ms is not None and self._out_of_time(key_ms, now_ms):
            return claim.Verdict.KEY_EXPIRED
        if len(self._entry_by_key) >= self._limits.claims:
            return claim.Verdict.FULL
        # The entry must outlive the key: otherwise a key from a fast clock could run again.
        kept_from_ms = now_ms if key_ms is None else max(now_ms, key_ms)
        expires_at_ms = kept_from_ms + self._limits.retention_ms
        entry = _interned(ClaimEntry(asked.key, asked.holder, asked.body_sha256, expires_at_ms))
        self._entry_by_key[entry.key] = entry
        heapq.heappush(self._expiries, (expires_at_ms, _order(entry.key)))
        return claim.Verdict.GRANTED

    def _out_of_time(self, key_ms: int, now_ms: int) -> bool:
        if key_ms + self._limits.retention_ms <= now_ms:
            return True
        return key_ms > now_ms + self._limits.key_ahead_ms

    def _keep_answer(self, key: claim.ClaimKey) -> None:
        self._answered[key] = None
        self._answers_bytes += self._answer_size(key)
        while self._answers_bytes > self._limits.answers_bytes:
            self._forget_answer(next(iter(self._answered)))

    def _forget_answer(self, key: claim.ClaimKey) -> None:
        self._answers_bytes -= self._answer_size(key)
        del self._answered[key]
        entry = self._entry_by_key[key]
        assert entry.answer is not None
        answer = dataclasses.replace(entry.answer, body=b"", kept=False)
        self._entry_by_key[key] = dataclasses.replace(entry, answer=answer)

    def _drop(self, key: claim.ClaimKey) -> None:
        if key in self._answered:
            self._answers_bytes -= self._answer_size(key)
            del self._answered[key]
        del self._entry_by_key[key]

    def _answer_size(self, key: claim.ClaimKey) -> int:
        answer = self._entry_by_key[key].answer
        return 0 if answer is None else len(answer.body)


def _interned(entry: ClaimEntry) -> ClaimEntry:
    """Return the entry with one copy of each name that many entries share."""
    key = claim.ClaimKey(sys.intern(entry.key.account), entry.key.key)
    holder = dataclasses.replace(entry.holder, entry_id=sys.intern(entry.holder.entry_id))
    return dataclasses.replace(entry, key=key, holder=holder)


def _verdict_on(entry: ClaimEntry, asker: claim.Holder) -> claim.Verdict:
    if not entry.finished:
        granted = entry.holder == asker
        return claim.Verdict.GRANTED if granted else claim.Verdict.RUNNING
    if entry.answer is None:
        return claim.Verdict.HOLDER_LOST
    return claim.Verdict.DONE if entry.answer.kept else claim.Verdict.ALREADY_RAN


def _order(key: claim.ClaimKey) -> tuple[str, str]:
    return key.account, key.key
