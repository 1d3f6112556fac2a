"""Count the upstreams that ended under each request, and decide whether it may run: pure.

The load that this answers: a request that ends every upstream that runs it, sent again and again by
its caller, each time with another id and to another entry host. Each run costs an upstream and all
that runs beside it: seven ends cost 93 other requests in 14.5 s. When an upstream ends, all that
ran there are suspects, and all but one of these are innocent: so no request is held for one end,
and one that was answered whole is cleared of the ends around that time.

Entry hosts and replicas keep a ledger each and tell each other. Ends are a set by incarnation, and
only the latest survival counts, so ledgers that heard the same agree, in whatever order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages

SUSPECT_CRASHES = 2
"""Ends from which a request runs one at a time, on the upstream where least runs beside it. One end
is what each of some twenty neighbours of a crash has; a second one, with no answer in between, is
rare among them."""

HELD_CRASHES = 3
"""Ends from which it is refused, but for rare trials: what callers and operators were promised."""

TRIAL_DELAYS_S = (30.0, 300.0)
"""Pauses after the third and the fourth end before one more trial, in seconds: an innocent request
is back once a wave of crashes is over, and a guilty one costs two upstreams more at most."""

EXONERATION_S = 10.0
"""Time after a whole answer in which ends are put down to something else, in seconds: a third of
the upstreams killed at once leaves several ends for a request that many callers send, while its
next answer is seconds away. A request that ends upstreams only now and then is held so much
later."""

CASE_RETENTION_S = 3600.0
"""How long a case is kept after its last end, in seconds: one that comes again after an hour costs
three upstreams an hour."""

MAX_CASES = 2000
"""Cases kept at once, about 1 MB. Beyond, the client account with most of them loses its oldest, so
that nobody who sends many such requests makes others' cases forgotten."""

ACCOUNT_DIGITS = 6
"""Digits at the beginning of a key that its client account's requests share."""

MAX_CRASHES_PER_CASE = 16
"""Ends kept of one case: far more than any decision needs."""


class Verdict(enum.StrEnum):
    """Say whether a request may run."""

    FREE = "free"
    TRIAL = "trial"
    HELD = "held"


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Hold what is decided of a request.

    Attributes:
        verdict: Whether it may run: freely, one at a time with a replica's leave, or not.
        ends: Upstreams that ended under it.
        trial_in_s: Time until it may be tried, in seconds; infinite if it won't be.
    """

    verdict: Verdict = Verdict.FREE
    ends: int = 0
    trial_in_s: float = 0.0


_FREE = Standing()


def refusal(ticket_id: str, standing: Standing) -> placement_messages.PlaceRefused:
    """Return the refusal of a request that is held."""
    wait_s = min(standing.trial_in_s, CASE_RETENTION_S)
    why = f"{standing.ends} upstreams ended while they ran it"
    return placement_messages.PlaceRefused(ticket_id, wait_s * 1000.0, why)


@dataclasses.dataclass(slots=True)
class _Case:
    changed_at: float
    end_at_by_upstream: dict[str, float] = dataclasses.field(default_factory=dict)
    survived_at: float = -math.inf

    @property
    def last_at(self) -> float:
        """Return when it was last heard of, in seconds."""
        return max(self.survived_at, *self.end_at_by_upstream.values(), -math.inf)


class CrashLedger:
    """Keep the cases; the time is handed in, in seconds of a clock of the holder's own."""

    def __init__(self) -> None:
        """Start without a case."""
        self._case_by_key: dict[str, _Case] = {}

    def __len__(self) -> int:
        """Return how many cases are kept."""
        return len(self._case_by_key)

    def ends(self, key: str) -> tuple[str, ...]:
        """Return the upstreams that ended under a request, in the order in which that was heard."""
        case = self._case_by_key.get(key)
        return () if case is None else tuple(case.end_at_by_upstream)

    def standing(self, key: str, now: float) -> Standing:
        """Return whether a request may run."""
        case = self._case_by_key.get(key)
        if case is None or len(case.end_at_by_upstream) < SUSPECT_CRASHES:
            return _FREE
        count = len(case.end_at_by_upstream)
        if count < HELD_CRASHES:
            return Standing(Verdict.TRIAL, count)
        trials = count - HELD_CRASHES
        if trials >= len(TRIAL_DELAYS_S):
            return Standing(Verdict.HELD, count, math.inf)
        last_at = max(case.end_at_by_upstream.values())
        trial_in_s = max(0.0, last_at + TRIAL_DELAYS_S[trials] - now)
        verdict = Verdict.HELD if trial_in_s > 0 else Verdict.TRIAL
        return Standing(verdict, count, trial_in_s)

    def record_crash(self, key: str, upstream_id: str, at: float, now: float) -> bool:
        """Note that an upstream ended under a request; return whether that is news."""
        case = self._case_by_key.get(key)
        if case is None:
            case = self._add(key, now)
        is_old = upstream_id in case.end_at_by_upstream or at <= case.survived_at + EXONERATION_S
        if is_old or len(case.end_at_by_upstream) >= MAX_CRASHES_PER_CASE:
            return False
        case.end_at_by_upstream[upstream_id] = at
        case.changed_at = now
        return True

    def withdraw_crash(self, key: str, upstream_id: str) -> None:
        """Take back an end of an upstream that turned out to live on."""
        case = self._case_by_key.get(key)
        if case is not None:
            case.end_at_by_upstream.pop(upstream_id, None)

    def record_completion(self, key: str, at: float, now: float) -> bool:
        """Note that an upstream answered a request whole; return whether that clears it of ends."""
        case = self._case_by_key.get(key)
        if case is None or at <= case.survived_at:
            return False
        case.survived_at = at
        cleared = [
            upstream_id
            for upstream_id, ended_at in case.end_at_by_upstream.items()
            if ended_at <= at + EXONERATION_S
        ]
        for upstream_id in cleared:
            del case.end_at_by_upstream[upstream_id]
        if cleared:
            case.changed_at = now
        return bool(cleared)

    def merge(self, report: crash_messages.CrashReport, now: float) -> tuple[str, ...]:
        """Take what another ledger holds; return the requests of which that told anything new."""
        changed: list[str] = []
        for told in report.cases:
            is_news = False
            if told.survived_ago_s >= 0:
                if told.key not in self._case_by_key:
                    self._add(told.key, now)
                is_news = self.record_completion(told.key, now - told.survived_ago_s, now)
            for end in told.ends:
                is_news |= self.record_crash(told.key, end.upstream_id, now - end.ago_s, now)
            if is_news:
                changed.append(told.key)
        return tuple(changed)

    def changed_since(self, at: float) -> tuple[str, ...]:
        """Return the requests of which anything became known since a time."""
        return tuple(key for key, case in self._case_by_key.items() if case.changed_at >= at)

    def known(self) -> tuple[str, ...]:
        """Return all requests that have a case, the first ones first."""
        return tuple(self._case_by_key)

    def report(self, keys: tuple[str, ...], now: float) -> crash_messages.CrashReport:
        """Return what is known of some requests, for another ledger."""
        cases = ((key, self._case_by_key.get(key)) for key in keys)
        return crash_messages.CrashReport(
            tuple(_told(key, case, now) for key, case in cases if case is not None)
        )

    def tidy(self, now: float) -> None:
        """Forget the cases that tell nothing any more."""
        for key, case in tuple(self._case_by_key.items()):
            kept_s = CASE_RETENTION_S if case.end_at_by_upstream else EXONERATION_S
            if max(case.last_at, case.changed_at) + kept_s < now:
                del self._case_by_key[key]

    def _add(self, key: str, now: float) -> _Case:
        if len(self._case_by_key) >= MAX_CASES:
            self._drop_one()
        case = _Case(now)
        self._case_by_key[key] = case
        return case

    def _drop_one(self) -> None:
        """Drop the oldest case of the client account that has most."""
        by_account = collections.Counter(key[:ACCOUNT_DIGITS] for key in self._case_by_key)
        (account, _), *_ = by_account.most_common(1)
        oldest = next(key for key in self._case_by_key if key[:ACCOUNT_DIGITS] == account)
        del self._case_by_key[oldest]


def _told(key: str, case: _Case, now: float) -> crash_messages.CrashCase:
    survived_ago_s = -1.0 if case.survived_at == -math.inf else max(0.0, now - case.survived_at)
    ends = tuple(
        crash_messages.UpstreamCrash(upstream_id, max(0.0, now - at))
        for upstream_id, at in case.end_at_by_upstream.items()
    )
    return crash_messages.CrashCase(key, ends, survived_ago_s)
