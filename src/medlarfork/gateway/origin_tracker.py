"""Tracks the origins of the streams that this entry host began, and finds those of others.

Origins are reported in batches to a few replicas, the holders. A holder that has restarted, or is
new, gets all that are still of use.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random
import time
from collections.abc import Callable
from typing import Any

import curio

from medlarfork import rendezvous, timeouts
from medlarfork.gateway import entry_session
from medlarfork.resumption import origin_messages, origin_table, stream_origin

HOLDERS = 3
"""Replicas that keep the origins of one host: two may be lost before it has told another one."""

MAX_ORIGINS = 20_000
"""Maximum number of origins that a host keeps."""

DEFAULT_KEEP_S = 60.0
"""How long the origin of a stream without a deadline is kept, in seconds."""

KEEP_MARGIN_S = 5.0
"""How much longer than the caller's deadline an origin is kept, in seconds: the deadline of its
first attempt may begin later than the caller's own."""

MIN_BATCH_S = 0.02
"""Shortest time for which origins are collected, in seconds: a host that is killed loses those of
this time."""

MAX_BATCH_S = 0.25
"""Longest such time, in seconds: callers come back to another host within it at the earliest."""

HOSTS_PER_SECOND = 1500.0
"""Hosts whose batches the replicas take per second: a small part of their processor time."""

QUERY_BITS = 48
"""Size of the random number from which queries are counted."""

QUERY_TIMEOUT_S = 0.15
"""Timeout for the replicas' replies, in seconds: many round trips, and little to a caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What is known about a stream that a caller takes up again.

    Attributes:
        origin: Its origin; None if it is unknown.
        source: Who knows it: ``host``, ``relay``, or the id of a replica; empty for none.
        left_s: How long it is kept there, in seconds.
        replies: How many replicas replied.
    """

    origin: stream_origin.StreamOrigin | None = None
    source: str = ""
    left_s: float = 0.0
    replies: int = 0


@dataclasses.dataclass(slots=True)
class _Query:
    """A query that waits for replies."""

    asked: int
    replies: dict[str, origin_messages.OriginReply] = dataclasses.field(default_factory=dict)
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)

    @property
    def is_answered(self) -> bool:
        """Return whether all replicas that were asked have replied."""
        return len(self.replies) >= self.asked


class OriginTracker:
    """The origins of this entry host's streams, and its queries for others."""

    def __init__(
        self, entry_id: str, session: entry_session.EntrySession, send: Callable[[str, Any], bool]
    ) -> None:
        """Create a tracker without origins.

        Args:
            entry_id: Id of this entry host.
            session: Lists replicas and upstreams.
            send: Sends a message to a replica.
        """
        self._entry_id = entry_id
        self._session = session
        self._send = send
        self._table = origin_table.OriginTable(MAX_ORIGINS)
        self._pending: dict[tuple[stream_origin.StreamOrigin, int], bytearray] = (
            collections.defaultdict(bytearray)
        )
        self._has_pending = curio.UniversalEvent()
        self._up_to_date: set[str] = set()
        self._up_s_by_replica: dict[str, float] = {}
        # A reply to a query of the process before a restart must match none of this one.
        self._queries = random.SystemRandom().getrandbits(QUERY_BITS)
        self._query_by_id: dict[int, _Query] = {}

    @property
    def origins(self) -> int:
        """Return the number of streams that this host began and that may be resumed."""
        return len(self._table)

    def record(
        self, key: bytes, origin: stream_origin.StreamOrigin, deadline_s: float | None
    ) -> None:
        """Record a stream whose first event has arrived.

        Args:
            key: The stream's key.
            origin: Its origin.
            deadline_s: How long its caller waits, in seconds; None if it did not say.
        """
        wait_s = DEFAULT_KEEP_S if deadline_s is None else deadline_s
        keep_s = math.ceil(min(wait_s + KEEP_MARGIN_S, origin_table.MAX_KEEP_S))
        self._table.add(origin_messages.OriginGroup(origin, keep_s, key), time.monotonic())
        self._pending[origin, keep_s] += key
        self._has_pending.set()

    async def report_periodically(self) -> None:
        """Report new origins to the holders, until cancelled."""
        while True:
            await self._has_pending.wait()
            batch_s = self._session.entry_hosts / HOSTS_PER_SECOND
            await curio.sleep(min(MAX_BATCH_S, max(MIN_BATCH_S, batch_s)))
            self._has_pending.clear()
            self.report()

    def report(self) -> None:
        """Report new origins to the holders; a holder that is not up to date gets all."""
        groups = tuple(
            origin_messages.OriginGroup(origin, keep_s, bytes(keys))
            for (origin, keep_s), keys in self._pending.items()
        )
        self._pending.clear()
        news = origin_messages.OriginReport(groups)
        holders: set[str] = set()
        for replica_id in rendezvous.rank(self._entry_id, self._session.replicas):
            if len(holders) == HOLDERS:
                break
            report = news if replica_id in self._up_to_date else self._full_report()
            if not report.groups or self._send(replica_id, report):
                holders.add(replica_id)
        self._up_to_date = holders

    def sync_if_restarted(self, replica_id: str, up_s: float) -> None:
        """Report everything to a holder that has restarted, or that is new.

        Args:
            replica_id: The replica.
            up_s: Its uptime as it states it, in seconds.
        """
        previous_up_s = self._up_s_by_replica.get(replica_id)
        self._up_s_by_replica[replica_id] = up_s
        if previous_up_s is None or up_s < previous_up_s:
            self._up_to_date.discard(replica_id)
            self.report()

    def on_tick(self) -> None:
        """Drop the origins whose callers no longer come back; called with each status."""
        self._table.expire(time.monotonic())

    async def find(self, key: bytes, service: str) -> Found:
        """Return the origin of a stream that a caller takes up again."""
        own = self._table.find(key, time.monotonic())
        if own is not None:
            return Found(own[0], "host", own[1])
        query = await self._ask(key, service, lambda reply: reply.origin is not None)
        for replica_id, reply in query.replies.items():
            if reply.origin is not None:
                return Found(reply.origin, replica_id, reply.left_s, len(query.replies))
        return Found(replies=len(query.replies))

    async def find_only_version(self, service: str) -> Found:
        """Return the version of a service if only one can have begun a stream.

        A majority of the replicas has to agree: one that is cut off hears of no new versions.
        """
        own = {
            upstream.version
            for upstream in self._session.upstream_by_id.values()
            if upstream.service == service
        }
        own |= self._table.versions(service)
        if len(own) > 1 or None in own:
            return Found()
        query = await self._ask(b"", service, lambda reply: False)
        complete = [name for name, reply in query.replies.items() if reply.is_complete]
        versions = own.union(*(reply.versions for reply in query.replies.values()))
        is_majority = 2 * len(complete) > len(self._session.replicas)
        if not is_majority or len(versions) != 1:
            return Found(replies=len(query.replies))
        (version,) = versions
        return Found(
            stream_origin.StreamOrigin(service, version or ""), complete[0], 0.0, len(query.replies)
        )

    async def apply_reply(self, replica_id: str, reply: origin_messages.OriginReply) -> None:
        """Apply a replica's reply."""
        query = self._query_by_id.get(reply.query_id)
        if query is not None:
            query.replies[replica_id] = reply
            await query.changed.set()

    async def _ask(
        self, key: bytes, service: str, is_enough: Callable[[origin_messages.OriginReply], bool]
    ) -> _Query:
        """Ask all replicas; return once one reply is enough, all have replied, or time is up."""
        self._queries += 1
        message = origin_messages.OriginQuery(self._queries, key, service)
        query = _Query(0)
        self._query_by_id[message.query_id] = query
        until = time.monotonic() + QUERY_TIMEOUT_S
        try:
            query.asked = sum(
                self._send(replica_id, message) for replica_id in self._session.replicas
            )
            while not query.is_answered and not any(map(is_enough, query.replies.values())):
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                query.changed.clear()
                await timeouts.call_until(left_s, query.changed.wait)
        finally:
            del self._query_by_id[message.query_id]
        return query

    def _full_report(self) -> origin_messages.OriginReport:
        return origin_messages.OriginReport(tuple(self._table.groups(time.monotonic())))
