"""Watch for requests that end the upstreams that run them, and say whether one may run.

After each run that broke it looks whether its upstream still listens: a connection that was reset
tells nothing of a process. What it finds it tells all replicas, and hears from them what other
entry hosts found.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import math
import time
from collections.abc import Callable

import curio

from medlarfork import logs
from medlarfork.coordination import upstream_types
from medlarfork.gateway import entry_session, replica_reporter, request_types
from medlarfork.http import http_client
from medlarfork.quarantine import crash_ledger, crash_messages

_log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.3
"""How long an upstream whose run broke may take to accept a connection, in seconds: one that has
ended refuses within a round trip, and what is silent longer is cut off or without power."""

REPLACEMENT_WINDOW_S = 15.0
"""How long an upstream that still listened is watched for a later start in its place, in seconds:
it may have been that start that listened. Upstreams are back within some seconds."""

MAX_PENDING_KEYS = 200
"""Requests remembered of one such upstream: more than run there at once."""

MAX_COMPLETIONS = 20_000
"""Requests remembered that were answered whole, about 3 MB: ten minutes at 30 a second."""


@dataclasses.dataclass(slots=True)
class _Look:
    """Hold the requests whose runs broke at an upstream that is being looked at."""

    keys: list[str]
    done: curio.Event = dataclasses.field(default_factory=curio.Event)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """Hold the requests whose runs ended at an upstream that may have ended, and when they did."""

    upstream: upstream_types.Announcement
    at_by_key: dict[str, float]


class CrashTracker:
    """Keep this entry host's ledger of requests that ended upstreams."""

    def __init__(
        self,
        client: http_client.HttpClient,
        session: entry_session.EntrySession,
        send: Callable[[str, crash_messages.CrashReport], bool],
    ) -> None:
        """Use the client of the upstreams, what the replicas tell, and a link to send by."""
        self._client = client
        self._session = session
        self._ledger = crash_ledger.CrashLedger()
        self._news = replica_reporter.ReplicaReporter(
            session, send, self._ledger.report, retell_s=crash_messages.RESEND_WINDOW_S
        )
        self._look_by_upstream: dict[str, _Look] = {}
        self._pending_by_upstream: dict[str, _Pending] = {}
        self._survived_at_by_key: collections.OrderedDict[str, float] = collections.OrderedDict()

    @property
    def cases(self) -> int:
        """Return how many requests are known under which upstreams ended."""
        return len(self._ledger)

    def standing(self, key: str) -> crash_ledger.Standing:
        """Return whether a request may run."""
        return self._ledger.standing(key, _now())

    async def handle_broken_run(
        self, admitted: request_types.AdmittedRequest, upstream: upstream_types.Announcement
    ) -> None:
        """Note a run without a whole answer; its upstream is looked at once for all that broke."""
        logs.event(
            _log,
            "run_broken",
            request=admitted.facts.attempt_id or None,
            key=admitted.key,
            account=admitted.account or None,
            upstream=upstream.upstream_id,
        )
        look = self._look_by_upstream.get(upstream.upstream_id)
        if look is not None:
            look.keys.append(admitted.key)
            return
        self._look_by_upstream[upstream.upstream_id] = _Look([admitted.key])
        await curio.spawn(self._look, upstream, daemon=True)

    def record_abandoned_run(self, key: str, upstream: upstream_types.Announcement) -> None:
        """Note a run that nobody waits for any more: its upstream may have ended without a word."""
        self._watch(upstream, {key: _now()})

    async def wait_probed(self, upstream_id: str) -> None:
        """Wait until it is known whether an upstream whose run broke has ended."""
        look = self._look_by_upstream.get(upstream_id)
        if look is not None:
            await look.done.wait()

    async def is_suspect(self, key: str, upstream_id: str, own_breaks: int) -> bool:
        """Say whether a request is not to be sent on, since upstreams ended under it.

        Only after a second break of its own it waits for what the look at the upstream brings, so
        that a request whose first upstream was lost goes on at once, on trial if others like it
        lost another one.

        Args:
            key: The request's key.
            upstream_id: Where it ran last.
            own_breaks: How many of its own runs broke.
        """
        if own_breaks <= 1:
            return self.standing(key).verdict is crash_ledger.Verdict.HELD
        await self.wait_probed(upstream_id)
        return self.standing(key).verdict is not crash_ledger.Verdict.FREE

    def record_completed_run(self, key: str) -> None:
        """Note that an upstream answered a request whole."""
        now = _now()
        self._survived_at_by_key[key] = now
        self._survived_at_by_key.move_to_end(key)
        if len(self._survived_at_by_key) > MAX_COMPLETIONS:
            self._survived_at_by_key.popitem(last=False)
        if self._ledger.record_completion(key, now, now):
            self._news.tell((key,), now)

    def take(self, report: crash_messages.CrashReport) -> None:
        """Take what a replica tells; answer with what this host knows better."""
        now = _now()
        changed = self._ledger.merge(report, now)
        self._note("told", changed)
        cleared = tuple(
            key
            for key in changed
            if key in self._survived_at_by_key
            and self._ledger.record_completion(key, self._survived_at_by_key[key], now)
        )
        self._news.tell(cleared, now)

    def check_replacements(self) -> None:
        """Look whether other starts took the place of upstreams that seemed to live on."""
        now = _now()
        for upstream_id, pending in tuple(self._pending_by_upstream.items()):
            recent = {
                key: at for key, at in pending.at_by_key.items() if now <= at + REPLACEMENT_WINDOW_S
            }
            if self._is_replaced(pending.upstream):
                self._note_ends(upstream_id, recent)
                recent = {}
            if recent:
                kept = dataclasses.replace(pending, at_by_key=recent)
                self._pending_by_upstream[upstream_id] = kept
            else:
                del self._pending_by_upstream[upstream_id]

    def sync_if_restarted(self, replica_id: str, up_s: float) -> None:
        """Tell a replica that has started, or that was not heard before, all that is known."""
        self._news.sync_if_restarted(replica_id, up_s, self._ledger.known(), _now())

    def on_time(self) -> None:
        """Tell again what is new, and forget what is old; called with each status."""
        now = _now()
        self._news.resend(now)
        self._ledger.tidy(now)
        self.check_replacements()

    async def _look(self, upstream: upstream_types.Announcement) -> None:
        broke_at = _now()
        look = self._look_by_upstream[upstream.upstream_id]
        try:
            reach = await self._client.reach(f"http://{upstream.address}", within_s=PROBE_TIMEOUT_S)
            self._judge(upstream, look, reach, broke_at)
        finally:
            del self._look_by_upstream[upstream.upstream_id]
            await look.done.set()

    def _judge(
        self,
        upstream: upstream_types.Announcement,
        look: _Look,
        reach: http_client.Reach,
        broke_at: float,
    ) -> None:
        """Note the end of an upstream, or watch it if it seems to live on."""
        logs.event(
            _log,
            "upstream_looked_at",
            upstream=upstream.upstream_id,
            reach=reach.value,
            runs=len(look.keys),
        )
        at_by_key = dict.fromkeys(look.keys, broke_at)
        if reach is http_client.Reach.ACCEPTS:
            self._watch(upstream, at_by_key)
        else:
            # What is undecided counts too: it must not go on without end, and an answer clears it.
            self._note_ends(upstream.upstream_id, at_by_key)

    def _watch(self, upstream: upstream_types.Announcement, at_by_key: dict[str, float]) -> None:
        """Count an end of an upstream if another start takes its place soon."""
        before = self._pending_by_upstream.get(upstream.upstream_id)
        known = {} if before is None else before.at_by_key
        latest = list((known | at_by_key).items())[-MAX_PENDING_KEYS:]
        self._pending_by_upstream[upstream.upstream_id] = _Pending(upstream, dict(latest))

    def _is_replaced(self, upstream: upstream_types.Announcement) -> bool:
        present = self._session.upstream_by_id
        return upstream.upstream_id not in present and any(
            item.address == upstream.address or item.own_name == upstream.own_name
            for item in present.values()
        )

    def _note_ends(self, upstream_id: str, at_by_key: dict[str, float]) -> None:
        now = _now()
        news = tuple(
            key
            for key, at in at_by_key.items()
            if not self._is_shielded(key, at)
            and self._ledger.record_crash(key, upstream_id, at, now)
        )
        self._note("seen", news)
        self._news.tell(news, now)

    def _is_shielded(self, key: str, at: float) -> bool:
        """Return whether this host had a whole answer shortly before an upstream ended.

        The ledger knows of answers only where it has a case already.
        """
        survived_at = self._survived_at_by_key.get(key, -math.inf)
        return at <= survived_at + crash_ledger.EXONERATION_S

    def _note(self, how: str, keys: tuple[str, ...]) -> None:
        for key in keys:
            standing = self.standing(key)
            ends = self._ledger.ends(key)
            if len(ends) >= crash_ledger.SUSPECT_CRASHES:
                logs.event(
                    _log,
                    "crash_case",
                    key=key,
                    how=how,
                    verdict=standing.verdict.value,
                    upstreams=",".join(ends),
                )


def _now() -> float:
    return time.monotonic()
