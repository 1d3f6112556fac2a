"""Claims: the durable right to dispatch a not-repeatable request once.

A claim is identified by client account and idempotency key. Control replicates it to a majority
of the disk hosts before the entry host that requested it may dispatch.
"""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Key of a not-repeatable request."""

    account: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Holder of a claim: one request on one incarnation of one entry host."""

    entry_id: str
    incarnation: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Stored answer for duplicates; if it is too large, ``body`` is empty and ``kept`` is False."""

    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Verdict(enum.StrEnum):
    """Result of a claim request.

    GRANTED: the requester holds the claim and may dispatch once.
    RUNNING: another live holder has it; retry or give up with ``may_have_run``.
    DONE: it ran; the stored answer comes with the reply.
    ALREADY_RAN: it ran and its answer is no longer kept.
    HOLDER_LOST: its holder died or was replaced; it may have run and will not run again.
    KEY_EXPIRED: the key contains a time older than the retention; the request was not run.
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
    """Request a claim. A resent request of the same holder and key gets the same reply."""

    key: ClaimKey
    holder: Holder
    body_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim request."""

    key: ClaimKey
    holder: Holder
    verdict: Verdict
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFinish:
    """Record that the holder's only dispatch ended; ``answer`` None means that it may have run."""

    key: ClaimKey
    holder: Holder
    answer: StoredAnswer | None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAbandon:
    """Abandon a claim: the holder has not dispatched and will not."""

    key: ClaimKey
    holder: Holder


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecorded:
    """Confirm that a ``ClaimFinish`` or ``ClaimAbandon`` is durable on a majority."""

    key: ClaimKey
    holder: Holder
