"""Table of claims: who may dispatch a non-repeatable request, and its outcome."""

from __future__ import annotations

import collections
import dataclasses
import itertools

from medlarfork import claim, uuid7
from medlarfork.control import _claim_quotas, _claim_rows

_MAX_EXPIRED_PER_CALL = 1000
"""Maximum claims removed in one call, so that its duration is bounded."""

_EXPIRY_STEPS = 1024
"""Number of time steps of the retention; an expired claim is removed up to one step late."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits of the claim table; must be equal on all replicas.

    Attributes:
        retention_ms: How long a claim is kept after its grant or its key's time, whichever is
            later. A key that carries a time is refused once that is longer ago.
        claims: Maximum claims; beyond it new ones are refused.
        answer_bytes: Maximum size of an answer body that is kept for duplicates.
        answers_bytes: Maximum total size of the kept answer bodies; the oldest are evicted first.
        key_ahead_ms: How far a key's time may be ahead of the log's time.
        abandoned: Maximum abandoned holders that are remembered.
        undated_retention_ms: Like ``retention_ms``, for keys that carry no time. The age of such a
            key is unknown: if it is sent again later than this, the request runs again.
        accounts: Number of client accounts with reserved room; see ``_claim_quotas``.
        answers: Maximum answers kept; the oldest are evicted first.
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
    """A claim of an older snapshot; ``answer`` None with ``finished``: it may have run."""

    key: claim.ClaimKey
    holder: claim.Holder
    body_sha256: str
    expires_at_ms: int
    finished: bool = False
    answer: claim.StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedHolder:
    """A holder that abandoned its claim, so that its late request is not granted."""

    key: claim.ClaimKey
    holder: claim.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class PackedClaims:
    """All claims of a snapshot.

    Attributes:
        digests: The keys' digests in the order of their grant, concatenated.
        rows: The packed rows in the same order, concatenated.
        accounts: The accounts in the order of the numbers that the rows contain.
        holders: Holders of the running claims, by digest.
        answers: The kept answers, by digest, oldest first.
        refused_before_ms: Keys from before this time are refused permanently.
    """

    digests: bytes
    rows: bytes
    accounts: tuple[str, ...]
    holders: tuple[tuple[bytes, claim.Holder], ...]
    answers: tuple[tuple[bytes, claim.StoredAnswer], ...]
    refused_before_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTableState:
    """State of the table in a snapshot.

    Attributes:
        entries: The claims; separate entries in a snapshot of an older version. An older version
            rejects packed ones, as it would otherwise start without any claim.
        answered: Keys of the entries whose answers are kept, oldest answer first.
        abandoned: Holders that abandoned their claims, oldest first.
    """

    entries: tuple[ClaimEntry, ...] | PackedClaims = ()
    answered: tuple[claim.ClaimKey, ...] = ()
    abandoned: tuple[AbandonedHolder, ...] = ()


class ClaimTable:
    """Decides claims; equal operations at equal log times lead to equal tables.

    Every claim has a packed row. Its holder is kept only while it runs, and its answer within
    separate limits.
    """

    def __init__(self, limits: ClaimLimits, state: ClaimTableState | None = None) -> None:
        """Start empty or from a snapshot."""
        state = state or ClaimTableState()
        self._limits = limits
        self._rows = _claim_rows.ClaimRows(step_ms=max(1, limits.retention_ms // _EXPIRY_STEPS))
        self._holder_by_digest: dict[bytes, claim.Holder] = {}
        self._answer_by_digest: collections.OrderedDict[bytes, claim.StoredAnswer]
        self._answer_by_digest = collections.OrderedDict()
        self._answers_bytes = 0
        self._refused_before_ms = 0
        self._abandoned = collections.OrderedDict.fromkeys(state.abandoned)
        packed = state.entries if isinstance(state.entries, PackedClaims) else None
        names = packed.accounts if packed else ()
        self._quotas = _claim_quotas.ClaimQuotas(
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
        """Return the state for a snapshot."""
        digests, rows = self._rows.pack()
        packed = PackedClaims(
            digests,
            rows,
            self._quotas.names,
            tuple(self._holder_by_digest.items()),
            tuple(self._answer_by_digest.items()),
            self._refused_before_ms,
        )
        return ClaimTableState(packed, abandoned=tuple(self._abandoned))

    def holder_of(self, key: claim.ClaimKey) -> claim.Holder | None:
        """Return the holder of an unfinished claim, if there is one."""
        return self._holder_by_digest.get(_claim_rows.key_digest(key))

    def request(self, request: claim.ClaimRequest, now_ms: int) -> claim.ClaimReply:
        """Grant the claim or return its outcome so far."""
        digest = _claim_rows.key_digest(request.key)
        row = self._unexpired(digest, now_ms)
        answer = None
        if row is None:
            verdict = self._decide_new(digest, request, now_ms)
        elif row.body != _claim_rows.body_digest(request.body_sha256):
            verdict = claim.Verdict.KEY_REUSED
        else:
            verdict = self._decide_known(digest, row.state, request.holder)
            answer = self._answer_by_digest.get(digest)
        return claim.ClaimReply(request.key, request.holder, verdict, answer)

    def finish(self, finished: claim.ClaimFinish, now_ms: int) -> None:
        """Record the end of the holder's dispatch; ignored from anyone else."""
        digest = _claim_rows.key_digest(finished.key)
        self._unexpired(digest, now_ms)
        if self._holder_by_digest.get(digest) != finished.holder:
            return
        del self._holder_by_digest[digest]
        if finished.answer is None:
            self._rows.set_state(digest, _claim_rows.State.MAY_HAVE_RUN)
            return
        self._rows.set_state(digest, _claim_rows.State.RAN)
        if finished.answer.kept and len(finished.answer.body) <= self._limits.answer_bytes:
            self._store_answer(digest, finished.answer)

    def abandon(self, abandoned: claim.ClaimAbandon, now_ms: int) -> None:
        """Remove the holder's own unfinished claim, and refuse its late request."""
        digest = _claim_rows.key_digest(abandoned.key)
        row = self._unexpired(digest, now_ms)
        if row is not None and self._holder_by_digest.get(digest) == abandoned.holder:
            self._remove(digest, row)
        self._abandoned[AbandonedHolder(abandoned.key, abandoned.holder)] = None
        while len(self._abandoned) > self._limits.abandoned:
            self._abandoned.popitem(last=False)

    def expire(self, now_ms: int) -> None:
        """Remove claims past retention, a bounded number in one call."""
        # A retention that is lengthened later must not accept keys whose claims are gone.
        refused_before_ms = self._oldest_accepted_ms(now_ms)
        self._refused_before_ms = max(self._refused_before_ms, refused_before_ms)
        for digest, row in itertools.islice(self._rows.expired(now_ms), _MAX_EXPIRED_PER_CALL):
            self._remove(digest, row)

    def _unexpired(self, digest: bytes, now_ms: int) -> _claim_rows.ClaimRow | None:
        row = self._rows.get(digest)
        if row is not None and row.expires_at_ms <= now_ms:
            self._remove(digest, row)
            return None
        return row

    def _decide_new(self, digest: bytes, request: claim.ClaimRequest, now_ms: int) -> claim.Verdict:
        if AbandonedHolder(request.key, request.holder) in self._abandoned:
            return claim.Verdict.HOLDER_LOST
        key_ms = uuid7.time_ms(request.key.key)
        if key_ms is not None and self._is_out_of_window(key_ms, now_ms):
            return claim.Verdict.KEY_EXPIRED
        if not self._quotas.can_add(request.key.account):
            return claim.Verdict.FULL
        # The entry must outlive the key: otherwise a key from a fast clock could run again.
        expires_at_ms = now_ms + self._limits.undated_retention_ms
        if key_ms is not None:
            expires_at_ms = max(now_ms, key_ms) + self._limits.retention_ms
        self._add(digest, request, expires_at_ms)
        return claim.Verdict.GRANTED

    def _decide_known(
        self, digest: bytes, state: _claim_rows.State, requester: claim.Holder
    ) -> claim.Verdict:
        match state:
            case _claim_rows.State.RUNNING:
                granted = self._holder_by_digest[digest] == requester
                return claim.Verdict.GRANTED if granted else claim.Verdict.RUNNING
            case _claim_rows.State.MAY_HAVE_RUN:
                return claim.Verdict.HOLDER_LOST
            case _claim_rows.State.RAN:
                kept = digest in self._answer_by_digest
                return claim.Verdict.DONE if kept else claim.Verdict.ALREADY_RAN

    def _is_out_of_window(self, key_ms: int, now_ms: int) -> bool:
        if key_ms < max(self._refused_before_ms, self._oldest_accepted_ms(now_ms)):
            return True
        return key_ms > now_ms + self._limits.key_ahead_ms

    def _oldest_accepted_ms(self, now_ms: int) -> int:
        return now_ms - self._limits.retention_ms + 1

    def _add(self, digest: bytes, request: claim.ClaimRequest, expires_at_ms: int) -> None:
        account = self._quotas.assign_number(request.key.account)
        self._quotas.add(account)
        body = _claim_rows.body_digest(request.body_sha256)
        running = _claim_rows.State.RUNNING
        self._rows.add(digest, _claim_rows.ClaimRow(expires_at_ms, account, running, body))
        self._holder_by_digest[digest] = request.holder

    def _remove(self, digest: bytes, row: _claim_rows.ClaimRow) -> None:
        self._rows.remove(digest)
        self._quotas.remove(row.account)
        self._holder_by_digest.pop(digest, None)
        answer = self._answer_by_digest.pop(digest, None)
        if answer is not None:
            self._answers_bytes -= len(answer.body)

    def _store_answer(self, digest: bytes, answer: claim.StoredAnswer) -> None:
        self._answer_by_digest[digest] = answer
        self._answers_bytes += len(answer.body)
        limits = self._limits
        # Empty answers have no body bytes, but still take memory.
        while (
            self._answers_bytes > limits.answers_bytes
            or len(self._answer_by_digest) > limits.answers
        ):
            _, oldest = self._answer_by_digest.popitem(last=False)
            self._answers_bytes -= len(oldest.body)

    def _restore(self, packed: PackedClaims) -> None:
        for account, count in self._rows.restore(packed.digests, packed.rows).items():
            self._quotas.add(account, count)
        self._holder_by_digest.update(packed.holders)
        self._refused_before_ms = packed.refused_before_ms
        for digest, answer in packed.answers:
            self._store_answer(digest, answer)

    def _restore_entries(self, state: ClaimTableState) -> None:
        """Restore the claims of a snapshot of an older version."""
        assert not isinstance(state.entries, PackedClaims)
        for entry in state.entries:
            request = claim.ClaimRequest(entry.key, entry.holder, entry.body_sha256)
            self._add(_claim_rows.key_digest(entry.key), request, entry.expires_at_ms)
        entry_by_key = {entry.key: entry for entry in state.entries if entry.finished}
        # Answers are restored in their own order, so that the oldest is evicted first.
        in_order = dict.fromkeys((*state.answered, *entry_by_key))
        for key in in_order:
            entry = entry_by_key[key]
            self.finish(claim.ClaimFinish(key, entry.holder, entry.answer), now_ms=0)
