"""Origins of resumable streams at one replica: what entry hosts report and ask. Pure.

Each entry host reports the streams that it began to a few replicas, and asks all of them about a
stream that it doesn't know.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from medlarfork import node
from medlarfork.coordination import upstream_types
from medlarfork.resumption import origin_messages, origin_table, stream_origin

MAX_ORIGINS = 500_000
"""Maximum number of origins that a replica keeps."""

TIDY_PERIOD_S = 5.0
"""Interval at which expired origins are dropped, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeepOrigins:
    """Action: append origins to the replica's file; no event follows."""

    groups: tuple[origin_messages.OriginGroup, ...]


class OriginManager:
    """Origin table of one replica, and the versions that its upstreams ran lately."""

    def __init__(
        self, restored: tuple[origin_messages.OriginGroup, ...], *, is_complete: bool
    ) -> None:
        """Start with what the replica's file held.

        Args:
            restored: The origins in the file, the newest last.
            is_complete: Whether it holds the versions of all streams that may be resumed.
        """
        self._restored = restored
        self._is_complete = is_complete
        self._table = origin_table.OriginTable(MAX_ORIGINS)
        self._seen_at: dict[tuple[str, str | None], float] = {}
        self._started_at: float | None = None
        self._tidy_due = 0.0

    @property
    def origins(self) -> int:
        """Return the number of known streams."""
        return len(self._table)

    def on_report(
        self, report: origin_messages.OriginReport, now: float
    ) -> tuple[KeepOrigins, ...]:
        """Add an entry host's streams."""
        for group in report.groups:
            self._table.add(group, now)
        return (KeepOrigins(report.groups),)

    def on_query(self, sender: str, query: origin_messages.OriginQuery, now: float) -> node.Send:
        """Answer an entry host's query."""
        found = self._table.find(query.key, now) if query.key else None
        origin, left_s = found or (None, 0.0)
        seen = {version for service, version in self._seen_at if service == query.service}
        named = {version for version in seen if version is not None}
        reply = origin_messages.OriginReply(
            query.query_id,
            origin,
            left_s,
            tuple(sorted(named | self._table.versions(query.service))),
            is_complete=self._knows_all(now) and None not in seen,
        )
        return node.Send(sender, reply)

    def see_upstreams(
        self, upstreams: Iterable[upstream_types.Announcement], now: float
    ) -> tuple[KeepOrigins, ...]:
        """Record the versions of upstreams that have joined, or that still run."""
        versions = {(upstream.service, upstream.version) for upstream in upstreams}
        new = versions - self._seen_at.keys()
        self._seen_at.update(dict.fromkeys(versions, now))
        return _keep_versions(new)

    def on_tick(
        self, present: Iterable[upstream_types.Announcement], now: float
    ) -> tuple[KeepOrigins, ...]:
        """Drop what no caller comes back for; called several times a second."""
        if self._started_at is None:
            self._started_at = now
            for group in self._restored:
                self._table.add(group, now)
            self._restored = ()
        if now < self._tidy_due:
            return ()
        self._tidy_due = now + TIDY_PERIOD_S
        self.see_upstreams(present, now)
        self._table.expire(now)
        oldest = now - origin_table.MAX_KEEP_S - TIDY_PERIOD_S
        self._seen_at = {key: at for key, at in self._seen_at.items() if at >= oldest}
        # The file drops what is old, whether it is still of use or not.
        return _keep_versions(self._seen_at)

    def _knows_all(self, now: float) -> bool:
        """Return whether it has run for as long as a caller may come back, or had a file."""
        up_s = 0.0 if self._started_at is None else now - self._started_at
        return self._is_complete or up_s > origin_table.MAX_KEEP_S


def _keep_versions(versions: Iterable[tuple[str, str | None]]) -> tuple[KeepOrigins, ...]:
    """Keep versions that may have begun streams of which this replica has not been told."""
    groups = tuple(
        origin_messages.OriginGroup(
            stream_origin.StreamOrigin(service, version), origin_table.MAX_KEEP_S, b""
        )
        for service, version in versions
        if version is not None
    )
    return (KeepOrigins(groups),) if groups else ()
