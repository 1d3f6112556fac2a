"""Define claims: the durable right to dispatch a not-repeatable request once.

A claim is identified by client account and idempotency key. Control replicates it to a majority
of the disk hosts before the entry host that asked for it may dispatch.
"""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Identify a not-repeatable request."""

    account: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Identify who may dispatch: one request on one incarnation of one entry host."""

    entry_id: str
    incarnation: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Keep a finished answer for duplicates; ``body`` is empty with ``kept`` False if too large."""

    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Verdict(enum.StrEnum):
    """Say what a claim request found.

    GRANTED: the asker holds the claim and may dispatch once.
    RUNNING: another live holder has it; ask again or give up with ``may_have_run``.
    DONE: it ran; the stored answer comes with the reply.
    ALREADY_RAN: it ran and its answer is no longer kept.
    HOLDER_LOST: its holder died or was replaced; it may have run and never will again.
    KEY_EXPIRED: the key carries a time older than retention; it was not run now.
    KEY_REUSED: the key was used with another body.
    FULL: the claim table is full; not run.
    NO_QUORUM: control has no majority; not run.
    """

    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"
    ALREADY_RAN = "already_ran"
    HOLDER_LOST = "holder_lost"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    FULL = "full"
    NO_QUORUM = "no_quorum"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask for a claim. Resending the same holder and key is answered the same way."""

    key: ClaimKey
    holder: Holder
    body_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer a claim request."""

    key: ClaimKey
    holder: Holder
    verdict: Verdict
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFinish:
    """Record that the holder's one dispatch ended; ``answer`` None means it may have run."""

    key: ClaimKey
    holder: Holder
    answer: StoredAnswer | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAbandon:
    """Give a claim back: the holder never dispatched and never will."""

    key: ClaimKey
    holder: Holder


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecorded:
    """Confirm that a ``ClaimFinish`` or ``ClaimAbandon`` is durable on a majority."""

    key: ClaimKey
    holder: Holder
