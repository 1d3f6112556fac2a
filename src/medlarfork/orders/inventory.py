"""Inventory of upstreams at the control leader, built from the notices of entry hosts.

Entry hosts receive the announcements and send a notice only when its content changes. Each keeps a
digest of all its current notices and includes it in its heartbeats; if the leader's own digest for
that entry host differs, because the leader is new or a message was lost, it requests a resend.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable

import msgspec

MAX_NOTICES = 200
"""Maximum number of notices in one message; entry hosts split longer lists."""

MAX_UPSTREAMS_PER_ENTRY = 5_000
"""Maximum number of upstreams of one entry host; further ones are refused."""

MAX_ENTRIES = 2_000
"""Maximum number of entry hosts; notices from further ones are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """Latest announcement of an upstream, as reported to the control leader.

    Attributes:
        incarnation: Increases with each start of the upstream.
        gone: True once it has left or its lease has expired at the sender.
    """

    upstream_id: str
    incarnation: int
    address: str
    checks_fence: bool = False
    models: tuple[str, ...] = ()
    role: str = ""
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    gone: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InventoryReport:
    """Notices of an entry host; ``whole`` starts a resend and discards earlier notices."""

    entry_id: str
    notices: tuple[UpstreamNotice, ...]
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResendInventory:
    """Request all notices of an entry host; its first report is marked ``whole``."""

    entry_id: str


def notice_digest(notice: UpstreamNotice) -> int:
    """Return a 64-bit digest of a notice; 0 if the upstream is gone.

    The digest of a set of notices is the XOR of their digests, so that both sides can update it
    one notice at a time.
    """
    if notice.gone:
        return 0
    encoded = msgspec.msgpack.encode(notice, order="deterministic")
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=8).digest(), "big")


def notices_digest(notices: Iterable[UpstreamNotice]) -> int:
    """Return the digest of a set of notices."""
    digest = 0
    for notice in notices:
        digest ^= notice_digest(notice)
    return digest


class Inventory:
    """Merges the notices of all entry hosts; the highest incarnation of an upstream wins."""

    def __init__(self) -> None:
        """Start empty."""
        self._notices_by_entry: dict[str, dict[str, UpstreamNotice]] = {}
        self._digest_by_entry: dict[str, int] = {}
        self._entries_by_upstream: dict[str, dict[str, None]] = {}
        self._upstream_by_id: dict[str, UpstreamNotice] = {}
        self.refused = 0

    @property
    def upstream_by_id(self) -> dict[str, UpstreamNotice]:
        """Return the present upstreams, keyed by id."""
        return self._upstream_by_id

    def apply(self, report: InventoryReport) -> tuple[str, ...]:
        """Apply a report and return the ids of upstreams that were added, changed or removed.

        Notices beyond a limit are ignored and counted in ``refused``.
        """
        if report.entry_id not in self._notices_by_entry:
            if len(self._notices_by_entry) >= MAX_ENTRIES:
                self.refused += len(report.notices)
                return ()
            self._notices_by_entry[report.entry_id] = {}
            self._digest_by_entry[report.entry_id] = 0
        touched: dict[str, None] = {}
        if report.whole:
            touched.update(self._clear_notices(report.entry_id))
        for notice in report.notices[:MAX_NOTICES]:
            self._apply_notice(report.entry_id, notice)
            touched[notice.upstream_id] = None
        return self._merge(touched)

    def check_digest(self, entry_id: str, digest: int) -> ResendInventory | None:
        """Compare with the digest in a heartbeat; return a resend request if they differ."""
        if self._digest_by_entry.get(entry_id, 0) == digest:
            return None
        return ResendInventory(entry_id)

    def remove_entry(self, entry_id: str) -> tuple[str, ...]:
        """Remove an entry host that is no longer a member; return the ids as ``apply`` does."""
        touched = self._clear_notices(entry_id)
        self._notices_by_entry.pop(entry_id, None)
        self._digest_by_entry.pop(entry_id, None)
        return self._merge(touched)

    def _clear_notices(self, entry_id: str) -> dict[str, None]:
        touched = dict.fromkeys(self._notices_by_entry.get(entry_id, ()))
        for upstream_id in touched:
            del self._entries_by_upstream[upstream_id][entry_id]
        self._notices_by_entry[entry_id] = {}
        self._digest_by_entry[entry_id] = 0
        return touched

    def _apply_notice(self, entry_id: str, notice: UpstreamNotice) -> None:
        notices = self._notices_by_entry[entry_id]
        known = notices.get(notice.upstream_id)
        if known is not None and known.incarnation > notice.incarnation:
            return
        if known is None and not notice.gone and len(notices) >= MAX_UPSTREAMS_PER_ENTRY:
            self.refused += 1
            return
        before = 0 if known is None else notice_digest(known)
        self._digest_by_entry[entry_id] ^= before ^ notice_digest(notice)
        entries = self._entries_by_upstream.setdefault(notice.upstream_id, {})
        if notice.gone:
            notices.pop(notice.upstream_id, None)
            entries.pop(entry_id, None)
        else:
            notices[notice.upstream_id] = notice
            entries[entry_id] = None

    def _merge(self, touched: Iterable[str]) -> tuple[str, ...]:
        return tuple(upstream_id for upstream_id in touched if self._merge_one(upstream_id))

    def _merge_one(self, upstream_id: str) -> bool:
        before = self._upstream_by_id.get(upstream_id)
        entries = self._entries_by_upstream.get(upstream_id, {})
        if not entries:
            self._entries_by_upstream.pop(upstream_id, None)
            self._upstream_by_id.pop(upstream_id, None)
            return before is not None
        notices = (self._notices_by_entry[entry_id][upstream_id] for entry_id in entries)
        best = max(notices, key=lambda notice: notice.incarnation)
        self._upstream_by_id[upstream_id] = best
        return best != before
