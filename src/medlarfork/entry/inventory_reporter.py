"""Reporter of the upstreams whose pools an entry host owns, to control.

``digest`` covers everything reported so far. A leader that lacks a report detects it by the digest
of the next heartbeat and requests a full resend; see ``inventory``.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from medlarfork import upstream
from medlarfork.orders import inventory


class InventoryReporter:
    """Turns announcements into notices, only for changes that control needs.

    Attributes:
        digest: Digest of all notices that have been reported.
    """

    def __init__(self, entry_id: str) -> None:
        """Start with nothing reported."""
        self.digest = 0
        self._entry_id = entry_id
        self._reported_by_id: dict[str, inventory.UpstreamNotice] = {}
        self._changed_by_id: dict[str, inventory.UpstreamNotice] = {}
        self._resend_pending = False

    def observe(self, announcement: upstream.Announcement) -> None:
        """Record an announcement of an upstream whose pool is owned here."""
        upstream_id = announcement.upstream_id
        if announcement.state is upstream.UpstreamState.LEAVING:
            self.remove(upstream_id)
            return
        notice = _notice(announcement)
        if self._reported_by_id.get(upstream_id) == notice:
            self._changed_by_id.pop(upstream_id, None)
        elif self._has_room(upstream_id):
            self._changed_by_id[upstream_id] = notice

    def remove(self, upstream_id: str) -> None:
        """Report an upstream as gone: its lease ended, or another host owns its pool."""
        self._changed_by_id.pop(upstream_id, None)
        reported = self._reported_by_id.get(upstream_id)
        if reported is not None:
            self._changed_by_id[upstream_id] = dataclasses.replace(reported, gone=True)

    def retain_only(self, announcements: Iterable[upstream.Announcement]) -> None:
        """Report exactly these upstreams from now on, after a change of pool ownership."""
        announcement_by_id = {each.upstream_id: each for each in announcements}
        for upstream_id in (*self._reported_by_id, *self._changed_by_id):
            if upstream_id not in announcement_by_id:
                self.remove(upstream_id)
        for announcement in announcement_by_id.values():
            self.observe(announcement)

    def resend(self) -> None:
        """Make the next report a full one, because the leader lacks a report."""
        self._resend_pending = True

    def pop_reports(self) -> tuple[inventory.InventoryReport, ...]:
        """Return the pending reports and mark them as reported; the caller sends them in order."""
        if not self._changed_by_id and not self._resend_pending:
            return ()
        changed = tuple(self._changed_by_id.values())
        self._changed_by_id.clear()
        for notice in changed:
            self._apply(notice)
        notices = tuple(self._reported_by_id.values()) if self._resend_pending else changed
        full, self._resend_pending = self._resend_pending, False
        return tuple(self._split(notices, full=full))

    def _split(
        self, notices: tuple[inventory.UpstreamNotice, ...], *, full: bool
    ) -> Iterator[inventory.InventoryReport]:
        # An empty full resend is sent, too: the leader may list upstreams that are gone.
        for start in range(0, max(len(notices), 1), inventory.MAX_NOTICES):
            part = notices[start : start + inventory.MAX_NOTICES]
            yield inventory.InventoryReport(self._entry_id, part, full and start == 0)

    def _has_room(self, upstream_id: str) -> bool:
        # The leader would reject further ones, and the digests would never match.
        if upstream_id in self._reported_by_id or upstream_id in self._changed_by_id:
            return True
        held = len(self._reported_by_id) + len(self._changed_by_id)
        return held < inventory.MAX_UPSTREAMS_PER_ENTRY

    def _apply(self, notice: inventory.UpstreamNotice) -> None:
        known = self._reported_by_id.pop(notice.upstream_id, None)
        if known is not None:
            self.digest ^= inventory.notice_digest(known)
        if not notice.gone:
            self._reported_by_id[notice.upstream_id] = notice
            self.digest ^= inventory.notice_digest(notice)


def _notice(announcement: upstream.Announcement) -> inventory.UpstreamNotice:
    return inventory.UpstreamNotice(
        upstream_id=announcement.upstream_id,
        incarnation=announcement.incarnation,
        address=announcement.address,
        checks_fence=announcement.checks_fence,
        models=announcement.models,
        role=announcement.role,
        labels=announcement.labels,
    )
