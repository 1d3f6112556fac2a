"""Count upstream crashes per request and decide whether a request may run. Pure: no I/O, no clock.

It limits the damage of a request that crashes every upstream that runs it and that its caller
retries, each time with another id and at another entry host. Each run costs an upstream and
everything that runs beside it: seven crashes cost 93 other requests in 14.5 s. After a crash all
requests that ran there are suspects, and all but one of them are innocent. So no request is held
for one crash, and a complete answer clears a request of the crashes around that time.

Entry hosts and replicas each keep a ledger and exchange reports. Crashes are a set of incarnations,
each dated by its latest report, and only the latest completion counts, so ledgers that merged the
same reports agree, in any order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages

SUSPECT_CRASHES = 2
"""Crashes from which a request runs only one at a time, on the upstream with the fewest other
requests. Each of some twenty requests beside a crash gets one; a second one without a complete
answer in between is rare among them."""

HELD_CRASHES = 3
"""Crashes from which a request is refused, except for rare trials. Callers and operators were
promised this number."""

TRIAL_DELAYS_S = (30.0, 300.0)
"""Delays after the third and the fourth crash before one more trial, in seconds. An innocent
request runs again once a wave of crashes is over; a crash-inducing one costs at most two more
upstreams."""

EXONERATION_S = 10.0
"""Time after a complete answer in which crashes are attributed to other causes, in seconds.
Killing a third of the upstreams at once leaves several crashes with a request that many callers
send, whose next answer is seconds away. A request that crashes upstreams only occasionally is
held that much later."""

CASE_RETENTION_S = 3600.0
"""How long a case is kept after its last crash, in seconds: a crash-inducing request that
returns every hour costs three upstreams an hour."""

MAX_CASES = 2000
"""Cases that are kept, about 1 MB. Beyond it the oldest case of the client account with the most
cases is evicted, so that an account that sends many such requests can't evict the cases of
others."""

ACCOUNT_DIGITS = 6
"""Length of the key prefix that identifies the client account, in hexadecimal digits."""

MAX_CRASHES_PER_CASE = 16
"""Crashes that are kept of one case: far more than any decision needs."""


class Verdict(enum.StrEnum):
    """Whether a request may run."""

    FREE = "free"
    TRIAL = "trial"
    HELD = "held"


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """The decision on a request.

    Attributes:
        verdict: Whether it may run: freely, one at a time as a trial that a replica grants, or not
            at all.
        ends: Number of upstreams that crashed while they ran it.
        trial_in_s: Time until the next trial, in seconds; infinite if there will be none.
    """

    verdict: Verdict = Verdict.FREE
    ends: int = 0
    trial_in_s: float = 0.0


_FREE = Standing()


def refusal(ticket_id: str, standing: Standing) -> placement_messages.PlaceRefused:
    """Return the refusal of a held request."""
    wait_s = min(standing.trial_in_s, CASE_RETENTION_S)
    why = f"{standing.ends} upstreams crashed while running it"
    return placement_messages.PlaceRefused(ticket_id, wait_s * 1000.0, why)


@dataclasses.dataclass(slots=True)
class _Case:
    changed_at: float
    crashed_at_by_upstream: dict[str, float] = dataclasses.field(default_factory=dict)
    survived_at: float = -math.inf

    @property
    def last_at(self) -> float:
        """Return the time of the latest crash or completion, in seconds."""
        return max(self.survived_at, *self.crashed_at_by_upstream.values(), -math.inf)


class CrashLedger:
    """Keep the cases; callers pass the time, in seconds of one local clock."""

    def __init__(self) -> None:
        """Start without cases."""
        self._case_by_key: dict[str, _Case] = {}

    def __len__(self) -> int:
        """Return the number of cases."""
        return len(self._case_by_key)

    def ends(self, key: str) -> tuple[str, ...]:
        """Return the upstreams that crashed while they ran a request, in order of recording."""
        case = self._case_by_key.get(key)
        return () if case is None else tuple(case.crashed_at_by_upstream)

    def standing(self, key: str, now: float) -> Standing:
        """Decide whether a request may run."""
        case = self._case_by_key.get(key)
        if case is None or len(case.crashed_at_by_upstream) < SUSPECT_CRASHES:
            return _FREE
        count = len(case.crashed_at_by_upstream)
        if count < HELD_CRASHES:
            return Standing(Verdict.TRIAL, count)
        trials = count - HELD_CRASHES
        if trials >= len(TRIAL_DELAYS_S):
            return Standing(Verdict.HELD, count, math.inf)
        last_at = max(case.crashed_at_by_upstream.values())
        trial_in_s = max(0.0, last_at + TRIAL_DELAYS_S[trials] - now)
        verdict = Verdict.HELD if trial_in_s > 0 else Verdict.TRIAL
        return Standing(verdict, count, trial_in_s)

    def record_crash(self, key: str, upstream_id: str, at: float, now: float) -> bool:
        """Record an upstream crash under a request; return whether that is an update."""
        case = self._case_by_key.get(key)
        if case is None:
            case = self._add(key, now)
        if at <= case.survived_at + EXONERATION_S:
            return False
        known_at = case.crashed_at_by_upstream.get(upstream_id)
        if known_at is not None:
            # Not an update: ledgers would report a crash to each other without end, as it seems
            # later by the time that each report was in transit.
            case.crashed_at_by_upstream[upstream_id] = max(known_at, at)
            return False
        if len(case.crashed_at_by_upstream) >= MAX_CRASHES_PER_CASE:
            return False
        case.crashed_at_by_upstream[upstream_id] = at
        case.changed_at = now
        return True

    def withdraw_crash(self, key: str, upstream_id: str) -> None:
        """Remove a crash of an upstream that turned out to be running."""
        case = self._case_by_key.get(key)
        if case is not None:
            case.crashed_at_by_upstream.pop(upstream_id, None)

    def record_completion(self, key: str, at: float, now: float) -> bool:
        """Record a complete answer to a request; return whether it cleared any crash."""
        case = self._case_by_key.get(key)
        if case is None or at <= case.survived_at:
            return False
        case.survived_at = at
        cleared = [
            upstream_id
            for upstream_id, crashed_at in case.crashed_at_by_upstream.items()
            if crashed_at <= at + EXONERATION_S
        ]
        for upstream_id in cleared:
            del case.crashed_at_by_upstream[upstream_id]
        if cleared:
            case.changed_at = now
        return bool(cleared)

    def merge(self, report: crash_messages.CrashReport, now: float) -> tuple[str, ...]:
        """Merge a report from another ledger; return the keys whose cases changed."""
        changed: list[str] = []
        for reported in report.cases:
            is_update = False
            if reported.survived_ago_s >= 0:
                if reported.key not in self._case_by_key:
                    self._add(reported.key, now)
                is_update = self.record_completion(reported.key, now - reported.survived_ago_s, now)
            for crash in reported.ends:
                is_update |= self.record_crash(
                    reported.key, crash.upstream_id, now - crash.ago_s, now
                )
            if is_update:
                changed.append(reported.key)
        return tuple(changed)

    def changed_since(self, at: float) -> tuple[str, ...]:
        """Return the keys whose cases changed since a time."""
        return tuple(key for key, case in self._case_by_key.items() if case.changed_at >= at)

    def known(self) -> tuple[str, ...]:
        """Return the keys of all cases, the oldest first."""
        return tuple(self._case_by_key)

    def report(self, keys: tuple[str, ...], now: float) -> crash_messages.CrashReport:
        """Build a report on some requests for another ledger."""
        cases = ((key, self._case_by_key.get(key)) for key in keys)
        return crash_messages.CrashReport(
            tuple(_build_case(key, case, now) for key, case in cases if case is not None)
        )

    def tidy(self, now: float) -> None:
        """Evict expired cases."""
        for key, case in tuple(self._case_by_key.items()):
            kept_s = CASE_RETENTION_S if case.crashed_at_by_upstream else EXONERATION_S
            if max(case.last_at, case.changed_at) + kept_s < now:
                del self._case_by_key[key]

    def _add(self, key: str, now: float) -> _Case:
        if len(self._case_by_key) >= MAX_CASES:
            self._evict_one()
        case = _Case(now)
        self._case_by_key[key] = case
        return case

    def _evict_one(self) -> None:
        """Evict the oldest case of the client account that has the most."""
        by_account = collections.Counter(key[:ACCOUNT_DIGITS] for key in self._case_by_key)
        (account, _), *_ = by_account.most_common(1)
        oldest = next(key for key in self._case_by_key if key[:ACCOUNT_DIGITS] == account)
        del self._case_by_key[oldest]


def _build_case(key: str, case: _Case, now: float) -> crash_messages.CrashCase:
    survived_ago_s = -1.0 if case.survived_at == -math.inf else max(0.0, now - case.survived_at)
    ends = tuple(
        crash_messages.UpstreamCrash(upstream_id, max(0.0, now - at))
        for upstream_id, at in case.crashed_at_by_upstream.items()
    )
    return crash_messages.CrashCase(key, ends, survived_ago_s)
