"""Tracks what crashes the upstreams that run it, and decides whether a request may run.

After a broken run it probes whether the upstream still listens, since a reset connection does not
show whether the process has crashed. Crashes found here are reported to all replicas, which report
those found by other entry hosts.
"""

from __future__ import annotations

import collections
import dataclasses
import logging
import math
import time
from collections.abc import Awaitable, Callable

import curio

from medlarfork import logs
from medlarfork.coordination import upstream_types
from medlarfork.gateway import entry_session, replica_reporter, request_types
from medlarfork.http import http_client
from medlarfork.quarantine import crash_ledger, crash_messages

_log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 0.3
"""Timeout of the probe of an upstream whose run broke, in seconds: a crashed process refuses the
connection within a round trip, and one that is silent for longer is unreachable or without
power."""

REPEAT_DELAYS_S = (0.05, 0.45)
"""Delays before further probes of an upstream that accepted the first one, in seconds: the sockets
of a process that ends are closed one by one, and its listening socket may be the last one."""

REPLACEMENT_WINDOW_S = 15.0
"""Time within which a new incarnation in place of an upstream counts as its crash, in seconds, even
if a probe was accepted: the new incarnation may have accepted it. Upstreams restart within a few
seconds."""

MAX_PENDING_KEYS = 400
"""Maximum number of subjects kept for one such upstream: more than run there at once."""

MAX_COMPLETIONS = 20_000
"""Maximum number of subjects with complete answers kept, about 3 MB: the requests of ten minutes
and their prompt parts at 15 a second."""

MAX_REFUSALS = 16
"""Refusals that are kept of one upstream: as many as crashes of one case."""

MAX_REFUSING_UPSTREAMS = 1000
"""Upstreams whose refusals are kept, the latest ones."""

SAME_MOMENT_S = 0.01
"""Time after a broken run in which bytes of other upstreams may still have been on their way before
a partition of this host, in seconds."""

HasOtherContact = Callable[[str, float], Awaitable[bool]]
"""Returns whether this host reaches another upstream than the one at an address, since a time."""


@dataclasses.dataclass(slots=True)
class _Probe:
    """The runs that broke at an upstream that is being probed.

    Attributes:
        runs: Their number.
        has_begun_by_key: Whether an event of each run had arrived, by subject.
        sent_at: When the first of them was sent, in monotonic seconds.
        done: Set once the probe has finished.
    """

    runs: int = 0
    has_begun_by_key: dict[str, bool] = dataclasses.field(default_factory=dict)
    sent_at: float = math.inf
    done: curio.Event = dataclasses.field(default_factory=curio.Event)

    def add(self, keys: tuple[str, ...], *, has_begun: bool) -> None:
        """Add a broken run."""
        self.runs += 1
        for key in keys:
            self.has_begun_by_key[key] = has_begun and self.has_begun_by_key.get(key, True)


@dataclasses.dataclass(frozen=True, slots=True)
class _RunEnd:
    """When runs of a subject ended, and whether an event of each had arrived."""

    at: float
    has_begun: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """The subjects whose runs ended at a possibly crashed upstream."""

    upstream: upstream_types.Announcement
    end_by_key: dict[str, _RunEnd]


class CrashTracker:
    """This entry host's record of requests and prompt parts that crashed upstreams."""

    def __init__(
        self,
        client: http_client.HttpClient,
        session: entry_session.EntrySession,
        send: Callable[[str, crash_messages.CrashReport], bool],
        has_other_contact: HasOtherContact | None = None,
    ) -> None:
        """Create a tracker without cases.

        Args:
            client: Probes upstreams.
            session: Lists replicas and upstreams.
            send: Sends a message to a replica.
            has_other_contact: Tells a crash from a partition of this host; None if it never loses
                its links.
        """
        self._client = client
        self._has_other_contact = has_other_contact
        self._session = session
        self._ledger = crash_ledger.CrashLedger()
        self._reporter = replica_reporter.ReplicaReporter(
            session, send, self._ledger.report, resend_s=crash_messages.RESEND_WINDOW_S
        )
        self._probe_by_upstream: dict[str, _Probe] = {}
        self._pending_by_upstream: dict[str, _Pending] = {}
        self._completed_at_by_key: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._refused_at_by_upstream: collections.OrderedDict[str, tuple[float, ...]] = (
            collections.OrderedDict()
        )

    @property
    def cases(self) -> int:
        """Return the number of requests and prompt parts with known upstream crashes."""
        return len(self._ledger)

    def standing(self, keys: tuple[str, ...]) -> crash_ledger.Standing:
        """Return whether a request with these subjects may run, only on trial, or not at all."""
        return self._ledger.standing_of(keys, _now())

    async def handle_broken_run(
        self,
        admitted: request_types.AdmittedRequest,
        upstream: upstream_types.Announcement,
        *,
        has_begun: bool = False,
        sent_at: float = math.inf,
    ) -> None:
        """Handle a run without a complete answer; runs that break together share one probe.

        Args:
            admitted: The request.
            upstream: The upstream that ran it.
            has_begun: Whether an event of this run had arrived.
            sent_at: When the run was sent, in monotonic seconds.
        """
        logs.event(
            _log,
            "run_broken",
            request=admitted.metadata.attempt_id or None,
            key=admitted.key,
            account=admitted.account or None,
            parts=request_types.format_parts(admitted.shared_parts),
            begun=has_begun or None,
            upstream=upstream.upstream_id,
        )
        is_first = upstream.upstream_id not in self._probe_by_upstream
        probe = self._probe_by_upstream.setdefault(upstream.upstream_id, _Probe())
        probe.add(admitted.crash_keys, has_begun=has_begun)
        probe.sent_at = min(probe.sent_at, sent_at)
        if is_first:
            await curio.spawn(self._probe, upstream, daemon=True)

    def record_abandoned_run(
        self,
        keys: tuple[str, ...],
        upstream: upstream_types.Announcement,
        *,
        has_begun: bool = False,
    ) -> None:
        """Record a run whose caller no longer waits: its upstream may have lost power unnoticed."""
        self._await_replacement(upstream, dict.fromkeys(keys, _RunEnd(_now(), has_begun)))

    async def wait_probed(self, upstream_id: str) -> None:
        """Wait until the running probe of an upstream, if any, has finished."""
        probe = self._probe_by_upstream.get(upstream_id)
        if probe is not None:
            await probe.done.wait()

    async def is_suspect(self, keys: tuple[str, ...], upstream_id: str, broken_runs: int) -> bool:
        """Return whether a request must not be retried, because its subjects crashed upstreams.

        After its first broken run only a held request is stopped. Any other is retried at once, on
        trial if requests with the same key crashed another upstream. After the second one, or if
        one of its prompt parts crashed another upstream, this waits for the probe. Then a request
        that may only run on trial is stopped, too, and one whose part has crashed two.

        Args:
            keys: The request's key and those of its prompt parts.
            upstream_id: The upstream of its last run.
            broken_runs: Number of its own broken runs.
        """
        parts = keys[1:]
        if broken_runs <= 1 and not any(self._ledger.unexplained_ends(key) for key in parts):
            return self.standing(keys).verdict is crash_ledger.Verdict.HELD
        await self.wait_probed(upstream_id)
        if self.standing(keys).verdict is not crash_ledger.Verdict.FREE:
            return True
        return any(len(self._ledger.unexplained_ends(key)) > 1 for key in parts)

    def record_completed_run(self, keys: tuple[str, ...]) -> None:
        """Record that an upstream answered a request completely."""
        now = _now()
        for key in keys:
            self._completed_at_by_key[key] = now
            self._completed_at_by_key.move_to_end(key)
        while len(self._completed_at_by_key) > MAX_COMPLETIONS:
            self._completed_at_by_key.popitem(last=False)
        cleared = tuple(key for key in keys if self._ledger.record_completion(key, now, now))
        self._reporter.report(cleared, now)

    def apply_report(self, report: crash_messages.CrashReport) -> None:
        """Merge a replica's report; report back subjects with answers on this host."""
        now = _now()
        changed = self._ledger.merge(report, now)
        self._log_cases("told", changed)
        cleared = tuple(
            key
            for key in changed
            if key in self._completed_at_by_key
            and self._ledger.record_completion(key, self._completed_at_by_key[key], now)
        )
        self._reporter.report(cleared, now)

    def check_replacements(self) -> None:
        """Record crashes of pending upstreams that a new incarnation has replaced."""
        for upstream_id, pending in tuple(self._pending_by_upstream.items()):
            recent = self._take_pending(upstream_id)
            if self._session.is_replaced(pending.upstream):
                self._record_crashes(upstream_id, recent)
            elif recent:
                kept = dataclasses.replace(pending, end_by_key=recent)
                self._pending_by_upstream[upstream_id] = kept

    def sync_if_restarted(self, replica_id: str, up_s: float) -> None:
        """Send all known cases to a replica that has restarted or was not known before."""
        self._reporter.sync_if_restarted(replica_id, up_s, self._ledger.known(), _now())

    def on_tick(self) -> None:
        """Resend recent changes and evict expired cases; called with each status."""
        now = _now()
        self._reporter.resend(now)
        self._ledger.tidy(now)
        self.check_replacements()

    async def _probe(self, upstream: upstream_types.Announcement) -> None:
        broken_at = _now()
        probe = self._probe_by_upstream[upstream.upstream_id]
        try:
            reach, is_crash = await self._look_at(upstream)
            self._apply_probe(upstream, probe, reach, broken_at, is_crash=is_crash)
        finally:
            del self._probe_by_upstream[upstream.upstream_id]
            await probe.done.set()
        if reach is http_client.Reachability.ACCEPTS:
            await self._probe_again(upstream, probe)

    async def _probe_again(self, upstream: upstream_types.Announcement, probe: _Probe) -> None:
        """Record a crash if an upstream that accepted the first probe refuses a later one."""
        for delay_s in REPEAT_DELAYS_S:
            await curio.sleep(delay_s)
            reach, is_crash = await self._look_at(upstream)
            if reach is http_client.Reachability.REFUSES:
                _log_probe(upstream.upstream_id, reach, probe.runs, crash=is_crash)
                if is_crash:
                    crash_id = self._crash_id(upstream.upstream_id, probe.sent_at)
                    self._record_crashes(crash_id, self._take_pending(upstream.upstream_id))
                    self._record_refusal(upstream.upstream_id, probe.sent_at)
                return

    async def _look_at(
        self, upstream: upstream_types.Announcement
    ) -> tuple[http_client.Reachability, bool]:
        """Probe an upstream; return the result, and whether it shows a crash."""
        began_at = _now()
        reach = await self._client.reach(f"http://{upstream.address}", within_s=PROBE_TIMEOUT_S)
        is_crash = reach is not http_client.Reachability.ACCEPTS
        if is_crash and self._has_other_contact is not None:
            is_crash = await self._has_other_contact(upstream.address, began_at + SAME_MOMENT_S)
        return reach, is_crash

    def _apply_probe(
        self,
        upstream: upstream_types.Announcement,
        probe: _Probe,
        reach: http_client.Reachability,
        broken_at: float,
        *,
        is_crash: bool,
    ) -> None:
        """Record a crash, or wait for a replacement if the upstream may still run."""
        _log_probe(upstream.upstream_id, reach, probe.runs, crash=is_crash)
        end_by_key = {
            key: _RunEnd(broken_at, has_begun) for key, has_begun in probe.has_begun_by_key.items()
        }
        if is_crash:
            # An unclear result counts as a crash, too: retries must end, and an answer clears it.
            crash_id = self._crash_id(upstream.upstream_id, probe.sent_at)
            self._record_crashes(crash_id, end_by_key)
            if reach is http_client.Reachability.REFUSES:
                self._record_refusal(upstream.upstream_id, probe.sent_at)
        else:
            self._await_replacement(upstream, end_by_key)

    def _crash_id(self, upstream_id: str, sent_at: float) -> str:
        """Return the id of a start of an upstream, by the number of earlier starts that refused.

        While no replica can be reached, this host hears of no new incarnation. Another host may
        have seen fewer refusals and use a lower number, never a higher one than there were starts.
        """
        refused_at = self._refused_at_by_upstream.get(upstream_id, ())
        starts = sum(at < sent_at for at in refused_at)
        return f"{upstream_id}+{starts}" if starts and sent_at < math.inf else upstream_id

    def _record_refusal(self, upstream_id: str, sent_at: float) -> None:
        """Record that the process that got a run no longer listens; a later run is of another."""
        earlier = self._refused_at_by_upstream.get(upstream_id, ())
        if earlier and not earlier[-1] < sent_at < math.inf:
            return
        self._refused_at_by_upstream[upstream_id] = (*earlier, _now())[-MAX_REFUSALS:]
        self._refused_at_by_upstream.move_to_end(upstream_id)
        if len(self._refused_at_by_upstream) > MAX_REFUSING_UPSTREAMS:
            self._refused_at_by_upstream.popitem(last=False)

    def _await_replacement(
        self, upstream: upstream_types.Announcement, end_by_key: dict[str, _RunEnd]
    ) -> None:
        """Count a crash if a new incarnation replaces the upstream soon."""
        previous = self._pending_by_upstream.get(upstream.upstream_id)
        known = {} if previous is None else previous.end_by_key
        latest = list((known | end_by_key).items())[-MAX_PENDING_KEYS:]
        self._pending_by_upstream[upstream.upstream_id] = _Pending(upstream, dict(latest))

    def _take_pending(self, upstream_id: str) -> dict[str, _RunEnd]:
        """Remove a pending upstream; return the recent ends of its runs."""
        pending = self._pending_by_upstream.pop(upstream_id, None)
        ends = {} if pending is None else pending.end_by_key
        earliest = _now() - REPLACEMENT_WINDOW_S
        return {key: end for key, end in ends.items() if end.at >= earliest}

    def _record_crashes(self, upstream_id: str, end_by_key: dict[str, _RunEnd]) -> None:
        now = _now()
        new_keys = tuple(
            key
            for key, end in end_by_key.items()
            if not self._is_shielded(key, end.at)
            and self._ledger.record_crash(key, upstream_id, end.at, now, has_begun=end.has_begun)
        )
        self._log_cases("seen", new_keys)
        self._reporter.report(new_keys, now)

    def _is_shielded(self, key: str, at: float) -> bool:
        """Return whether a subject was answered here shortly before an upstream crashed.

        The ledger records completions only of subjects that already have a case.
        """
        completed_at = self._completed_at_by_key.get(key, -math.inf)
        return at <= completed_at + crash_ledger.EXONERATION_S

    def _log_cases(self, how: str, keys: tuple[str, ...]) -> None:
        for key in keys:
            standing = self.standing((key,))
            ends = self._ledger.ends(key)
            if len(ends) >= crash_ledger.PUBLISHED_CRASHES:
                logs.event(
                    _log,
                    "crash_case",
                    key=key,
                    how=how,
                    verdict=standing.verdict.value,
                    upstreams=",".join(ends),
                )


def _log_probe(
    upstream_id: str, reach: http_client.Reachability, runs: int, *, crash: bool
) -> None:
    fields = {"upstream": upstream_id, "reach": reach.value, "crash": crash, "runs": runs}
    logs.event(_log, "upstream_looked_at", **fields)


def _now() -> float:
    return time.monotonic()
