"""Keep claims: who may dispatch which not-repeatable request, and what came of it."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from medlarfork import claim, uuid7
from medlarfork.control import _claim_quotas, _claim_rows

_EXPIRED_PER_STEP = 1000
"""Most claims dropped in one step, so that the work of a step is bounded."""

_STEPS = 1024
"""Into how many steps of time retention is cut; claims past it are dropped one step late."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bound the claim table; must be equal on all replicas.

    Attributes:
        retention_ms: How long a claim is kept after its grant or its key's time, the later one.
            A key that carries its time is refused once that is longer ago.
        claims: Most claims kept; beyond them new ones are refused.
        answer_bytes: Longest answer body kept for duplicates.
        answers_bytes: Bytes of answer bodies kept in all; the oldest are dropped first.
        key_ahead_ms: How far a key's time may lie ahead of the log's time.
        abandoned: How many abandoned holders are remembered.
        undated_retention_ms: The same as ``retention_ms`` for keys that carry no time. Nothing
            shows the age of such a key: sent again later than this, it runs again.
        accounts: For how many client accounts room is always kept; see ``_claim_quotas``.
        answers: Most answers kept; the oldest are dropped first.
    """

    retention_ms: int = 3600 * 1000
    claims: int = 1_000_000
    answer_bytes: int = 16 * 1024
    answers_bytes: int = 4 * 1024 * 1024
    key_ahead_ms: int = 3600 * 1000
    abandoned: int = 10_000
    undated_retention_ms: int = 24 * 3600 * 1000
    accounts: int = 256
    answers: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEntry:
    """Hold one claim of an older snapshot; ``answer`` None with ``finished``: it may have run."""

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
class PackedClaims:
    """Hold all claims of a snapshot.

    Attributes:
        digests: The keys' digests in the order of their grant, one after the other.
        rows: The packed rows in the same order.
        accounts: The accounts in the order of the numbers that the rows hold.
        holders: Who holds the running claims, by digest.
        answers: The kept answers, by digest, oldest first.
        refused_before_ms: Keys of before this time are refused for good.
    """

    digests: bytes
    rows: bytes
    accounts: tuple[str, ...]
    holders: tuple[tuple[bytes, claim.Holder], ...]
    answers: tuple[tuple[bytes, claim.StoredAnswer], ...]
    refused_before_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTableState:
    """Hold the table for a snapshot.

    Attributes:
        entries: The claims; single entries in a snapshot of an older version. An older version
            refuses packed ones, as it would otherwise start without any claim.
        answered: Keys of the entries whose answers are kept, oldest answer first.
        abandoned: Holders that gave their claim back, oldest first.
    """

    entries: tuple[ClaimEntry, ...] | PackedClaims = ()
    answered: tuple[claim.ClaimKey, ...] = ()
    abandoned: tuple[AbandonedHolder, ...] = ()


class ClaimTable:
    """Decide claims; equal operations at equal log times lead to equal tables.

    Every claim has a packed row. Its holder is kept only while it runs, and its answer within
    bounds of their own.
    """

    def __init__(self, limits: ClaimLimits, state: ClaimTableState | None = None) -> None:
        """Start empty or from a snapshot."""
        state = state or ClaimTableState()
        self._limits = limits
        self._rows = _claim_rows.ClaimRows(step_ms=max(1, limits.retention_ms // _STEPS))
        self._holder_by_digest: dict[bytes, claim.Holder] = {}
        self._answer_by_digest: collections.OrderedDict[bytes, claim.StoredAnswer]
        self._answer_by_digest = collections.OrderedDict()
        self._answers_bytes = 0
        self._refused_before_ms = 0
        self._abandoned = collections.OrderedDict.fromkeys(state.abandoned)
        packed = state.entries if isinstance(state.entries, PackedClaims) else None
        names = packed.accounts if packed else ()
        self._shares = _claim_quotas.ClaimQuotas(
            claims=limits.claims, accounts=limits.accounts, names=names
        )
        if packed:
            self._restore(packed)
        else:
            self._restore_entries(state)

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._rows)

    def state(self) -> ClaimTableState:
        """Return the table for a snapshot."""
        digests, rows = self._rows.pack()
        packed = PackedClaims(
            digests,
            rows,
            self._shares.names,
            tuple(self._holder_by_digest.items()),
            tuple(self._answer_by_digest.items()),
            self._refused_before_ms,
        )
        return ClaimTableState(packed, abandoned=tuple(self._abandoned))

    def holder_of(self, key: claim.ClaimKey) -> claim.Holder | None:
        """Return who holds the unfinished claim, if anyone does."""
        return self._holder_by_digest.get(_claim_rows.digest_of(key))

    def request(self, asked: claim.ClaimRequest, now_ms: int) -> claim.ClaimReply:
        """Grant the claim or say what became of it."""
        digest = _claim_rows.digest_of(asked.key)
        row = self._live(digest, now_ms)
        answer = None
        if row is None:
            verdict = self._verdict_on_new(digest, asked, now_ms)
        elif row.body != _claim_rows.body_of(asked.body_sha256):
            verdict = claim.Verdict.KEY_REUSED
        else:
            verdict = self._verdict_on(digest, row.state, asked.holder)
            answer = self._answer_by_digest.get(digest)
        return claim.ClaimReply(asked.key, asked.holder, verdict, answer)

    def finish(self, finished: claim.ClaimFinish, now_ms: int) -> None:
        """Record the end of the holder's dispatch; without effect for anyone else."""
        digest = _claim_rows.digest_of(finished.key)
        self._live(digest, now_ms)
        if self._holder_by_digest.get(digest) != finished.holder:
            return
        del self._holder_by_digest[digest]
        if finished.answer is None:
            self._rows.set_state(digest, _claim_rows.State.MAY_HAVE_RUN)
            return
        self._rows.set_state(digest, _claim_rows.State.RAN)
        if finished.answer.kept and len(finished.answer.body) <= self._limits.answer_bytes:
            self._keep_answer(digest, finished.answer)

    def abandon(self, abandoned: claim.ClaimAbandon, now_ms: int) -> None:
        """Drop the holder's own unfinished claim, and refuse its late request."""
        digest = _claim_rows.digest_of(abandoned.key)
        row = self._live(digest, now_ms)
        if row is not None and self._holder_by_digest.get(digest) == abandoned.holder:
            self._drop(digest, row)
        self._abandoned[AbandonedHolder(abandoned.key, abandoned.holder)] = None
        while len(self._abandoned) > self._limits.abandoned:
            self._abandoned.popitem(last=False)

    def expire(self, now_ms: int) -> None:
        """Drop claims past retention, a bounded number in one step."""
        # A longer retention, set later, must not make keys fresh whose claims are gone.
        refused_before_ms = self._oldest_fresh_ms(now_ms)
        self._refused_before_ms = max(self._refused_before_ms, refused_before_ms)
        for digest, row in itertools.islice(self._rows.expired(now_ms), _EXPIRED_PER_STEP):
            self._drop(digest, row)

    def _live(self, digest: bytes, now_ms: int) -> _claim_rows.ClaimRow | None:
        row = self._rows.get(digest)
        if row is not None and row.expires_at_ms <= now_ms:
            self._drop(digest, row)
            return None
        return row

    def _verdict_on_new(
        self, digest: bytes, asked: claim.ClaimRequest, now_ms: int
    ) -> claim.Verdict:
        if AbandonedHolder(asked.key, asked.holder) in self._abandoned:
            return claim.Verdict.HOLDER_LOST
        key_ms = uuid7.time_ms(asked.key.key)
        if key_ms is not None and self._out_of_time(key_ms, now_ms):
            return claim.Verdict.KEY_EXPIRED
        if not self._shares.may_add(asked.key.account):
            return claim.Verdict.FULL
        # The entry must outlive the key: otherwise a key from a fast clock could run again.
        expires_at_ms = now_ms + self._limits.undated_retention_ms
        if key_ms is not None:
            expires_at_ms = max(now_ms, key_ms) + self._limits.retention_ms
        self._add(digest, asked, expires_at_ms)
        return claim.Verdict.GRANTED

    def _verdict_on(
        self, digest: bytes, state: _claim_rows.State, asker: claim.Holder
    ) -> claim.Verdict:
        match state:
            case _claim_rows.State.RUNNING:
                granted = self._holder_by_digest[digest] == asker
                return claim.Verdict.GRANTED if granted else claim.Verdict.RUNNING
            case _claim_rows.State.MAY_HAVE_RUN:
                return claim.Verdict.HOLDER_LOST
            case _claim_rows.State.RAN:
                kept = digest in self._answer_by_digest
                return claim.Verdict.DONE if kept else claim.Verdict.ALREADY_RAN

    def _out_of_time(self, key_ms: int, now_ms: int) -> bool:
        if key_ms < max(self._refused_before_ms, self._oldest_fresh_ms(now_ms)):
            return True
        return key_ms > now_ms + self._limits.key_ahead_ms

    def _oldest_fresh_ms(self, now_ms: int) -> int:
        return now_ms - self._limits.retention_ms + 1

    def _add(self, digest: bytes, asked: claim.ClaimRequest, expires_at_ms: int) -> None:
        account = self._shares.number_of(asked.key.account)
        self._shares.add(account)
        body = _claim_rows.body_of(asked.body_sha256)
        running = _claim_rows.State.RUNNING
        self._rows.add(digest, _claim_rows.ClaimRow(expires_at_ms, account, running, body))
        self._holder_by_digest[digest] = asked.holder

    def _drop(self, digest: bytes, row: _claim_rows.ClaimRow) -> None:
        self._rows.drop(digest)
        self._shares.remove(row.account)
        self._holder_by_digest.pop(digest, None)
        answer = self._answer_by_digest.pop(digest, None)
        if answer is not None:
            self._answers_bytes -= len(answer.body)

    def _keep_answer(self, digest: bytes, answer: claim.StoredAnswer) -> None:
        self._answer_by_digest[digest] = answer
        self._answers_bytes += len(answer.body)
        limits = self._limits
        # Empty answers take no bytes of a body, but memory all the same.
        while (
            self._answers_bytes > limits.answers_bytes
            or len(self._answer_by_digest) > limits.answers
        ):
            _, oldest = self._answer_by_digest.popitem(last=False)
            self._answers_bytes -= len(oldest.body)

    def _restore(self, packed: PackedClaims) -> None:
        for account, count in self._rows.restore(packed.digests, packed.rows).items():
            self._shares.add(account, count)
        self._holder_by_digest.update(packed.holders)
        self._refused_before_ms = packed.refused_before_ms
        for digest, answer in packed.answers:
            self._keep_answer(digest, answer)

    def _restore_entries(self, state: ClaimTableState) -> None:
        """Take over the claims of a snapshot that an older version wrote."""
        assert not isinstance(state.entries, PackedClaims)
        for entry in state.entries:
            asked = claim.ClaimRequest(entry.key, entry.holder, entry.body_sha256)
            self._add(_claim_rows.digest_of(entry.key), asked, entry.expires_at_ms)
        entry_by_key = {entry.key: entry for entry in state.entries if entry.finished}
        # The kept answers come in their own order, so that the oldest is dropped first.
        in_order = dict.fromkeys((*state.answered, *entry_by_key))
        for key in in_order:
            entry = entry_by_key[key]
            self.finish(claim.ClaimFinish(key, entry.holder, entry.answer), now_ms=0)
