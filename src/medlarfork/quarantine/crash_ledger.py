"""Count upstream crashes per subject and decide whether a request may run. Pure: no I/O, no clock.

A subject is a request or a prompt part (see ``crash_subject``). This limits the damage of one that
crashes every upstream that runs it and that callers send again, each time with another id, at
another entry host, and in the case of a part within another prompt. Each run costs an upstream and
everything that runs beside it. After a crash all requests that ran there are suspects, and all but
one of them are innocent. So no subject is held for one crash, and a complete answer clears a
subject of the crashes around that time.

Entry hosts and replicas each keep a ledger and exchange reports. Crashes are a set of incarnations,
each dated by its latest report, and only the latest completion counts, so ledgers that merged the
same reports agree, in any order.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence

from medlarfork.placement import placement_messages
from medlarfork.quarantine import crash_messages, crash_subject

PUBLISHED_CRASHES = 2
"""Crashes from which all entry hosts know a subject. Each of some twenty requests beside a crash
gets one; a second one without a complete answer in between is rare among them."""

HELD_CRASHES = 3
"""Crashes from which a request is refused, except for rare trials; with one crash less it runs only
one at a time, on the upstream with the fewest other requests. Callers and operators were promised
this number."""

HELD_PART_CRASHES = 4
"""The same for a prompt part, of crashes before the first event of a run: one more than for a
request, since parts are in many requests that run beside a crash."""

HELD_BEGUN_CRASHES = 6
"""The same for a prompt part, of all crashes. Most requests beside a crash have had events, so
those count less, but a part may also crash upstreams later in the answer."""

TRIAL_DELAYS_S = (30.0, 300.0)
"""Delays after the crash that held a subject, and after the next one, before one more trial, in
seconds. An innocent one runs again once a wave of crashes is over; a crash-inducing one costs at
most two more upstreams."""

EXONERATION_S = 10.0
"""Time after a complete answer in which crashes are attributed to other causes, in seconds.
Killing a third of the upstreams at once leaves several crashes with a request that many callers
send, whose next answer is seconds away. A request that crashes upstreams only occasionally is
held that much later."""

CASE_RETENTION_S = 3600.0
"""How long a case is kept after its last crash, in seconds: a crash-inducing request that
returns every hour costs three upstreams an hour. Suspect parts are kept without a time limit: what
they come with changes, so they return at any time."""

MAX_CASES = 2000
"""Cases of requests, and cases of prompt parts, that are kept, about 1 MB each. Beyond it the
oldest case of the client account with the most requests is evicted, so that an account that sends
many such requests can't evict the cases of others, and the oldest of the parts with the fewest
crashes."""

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
    """The decision on a subject, or on a request by the worst of its subjects.

    Attributes:
        verdict: Whether it may run: freely, one at a time as a trial that a replica grants, or not
            at all.
        ends: Number of upstreams that crashed while they ran it and that nothing else explains.
        trial_in_s: Time until the next trial, in seconds; infinite if there will be none.
        key: The subject; empty if it may run freely.
    """

    verdict: Verdict = Verdict.FREE
    ends: int = 0
    trial_in_s: float = 0.0
    key: str = ""


_FREE = Standing()

_SEVERITY = {Verdict.FREE: 0, Verdict.TRIAL: 1, Verdict.HELD: 2}


def refusal(
    ticket_id: str, standing: Standing, running: str = "it"
) -> placement_messages.PlaceRefused:
    """Return the refusal of a held request; ``running`` says what upstreams ran as they crashed."""
    wait_s = min(standing.trial_in_s, CASE_RETENTION_S)
    why = f"{standing.ends} upstreams crashed while running {running}"
    return placement_messages.PlaceRefused(ticket_id, wait_s * 1000.0, why)


_Weight = tuple[int, int]
"""Crashes before the first event of a run, and all crashes."""


@dataclasses.dataclass(slots=True)
class _Case:
    changed_at: float
    crashed_at_by_upstream: dict[str, float] = dataclasses.field(default_factory=dict)
    begun_ids: set[str] = dataclasses.field(default_factory=set)
    survived_at: float = -math.inf

    @property
    def weight(self) -> _Weight:
        """Return the number of crashes before the first event, and of all crashes."""
        total = len(self.crashed_at_by_upstream)
        return total - len(self.begun_ids), total

    @property
    def last_at(self) -> float:
        """Return the time of the latest crash or completion, in seconds."""
        return max(self.survived_at, *self.crashed_at_by_upstream.values(), -math.inf)


class CrashLedger:
    """Keep the cases; callers pass the time, in seconds of one local clock."""

    def __init__(self) -> None:
        """Start without cases."""
        self._case_by_key: dict[str, _Case] = {}
        self._held_by_key: dict[str, _Case] | None = None
        self._weight_by_explained: dict[str, _Weight] = {}

    def __len__(self) -> int:
        """Return the number of cases."""
        return len(self._case_by_key)

    def ends(self, key: str) -> tuple[str, ...]:
        """Return the upstreams that crashed while they ran a subject, in order of recording."""
        case = self._case_by_key.get(key)
        return () if case is None else tuple(case.crashed_at_by_upstream)

    def begun_ends(self, key: str) -> tuple[str, ...]:
        """Return those of the upstreams that crashed after an event of each run."""
        case = self._case_by_key.get(key)
        return () if case is None else tuple(sorted(case.begun_ids))

    def unexplained_ends(self, key: str) -> tuple[str, ...]:
        """Return the upstreams of ``ends`` that no held subject with more crashes explains."""
        case = self._case_by_key.get(key)
        if case is None:
            return ()
        self._held()
        weight = case.weight
        return tuple(
            upstream_id
            for upstream_id in case.crashed_at_by_upstream
            if self._weight_by_explained.get(upstream_id, weight) <= weight
        )

    def is_durable(self, key: str) -> bool:
        """Return whether the log has to keep a subject: a held one, or a part on trial."""
        case = self._case_by_key.get(key)
        if case is None:
            return False
        return _excess(key, case.weight) >= (-1 if crash_subject.is_part(key) else 0)

    def standing(self, key: str, now: float) -> Standing:
        """Decide by one subject whether a request may run."""
        case = self._case_by_key.get(key)
        if case is None or len(case.crashed_at_by_upstream) < HELD_CRASHES - 1:
            return _FREE
        left = self.unexplained_ends(key)
        weight = len(left) - len(case.begun_ids.intersection(left)), len(left)
        excess = _excess(key, weight)
        if excess < -1:
            return _FREE
        _, count = weight
        if excess < 0:
            return Standing(Verdict.TRIAL, count, key=key)
        if excess >= len(TRIAL_DELAYS_S):
            return Standing(Verdict.HELD, count, math.inf, key)
        last_at = max(case.crashed_at_by_upstream.values())
        trial_in_s = max(0.0, last_at + TRIAL_DELAYS_S[excess] - now)
        verdict = Verdict.HELD if trial_in_s > 0 else Verdict.TRIAL
        return Standing(verdict, count, trial_in_s, key)

    def suspects(self, keys: Sequence[str], now: float) -> tuple[Standing, ...]:
        """Return the decisions on those subjects of a request that may not run freely.

        The one that decides is the first. Of several trials it is the same for all requests that
        share the worst subject.
        """
        found = [standing for key in keys if (standing := self.standing(key, now)) is not _FREE]
        suspects = (self._with_contrast(standing, keys) for standing in found)
        return tuple(sorted(suspects, key=_rank, reverse=True))

    def standing_of(self, keys: Sequence[str], now: float) -> Standing:
        """Decide by all subjects of a request whether it may run: the worst one counts."""
        return next(iter(self.suspects(keys, now)), _FREE)

    def _with_contrast(self, standing: Standing, keys: Sequence[str]) -> Standing:
        """Allow a trial that tells a held part apart from another one with the same crashes."""
        has_trials = standing.verdict is Verdict.HELD and standing.trial_in_s < math.inf
        if not has_trials or not crash_subject.is_part(standing.key):
            return standing
        crashed = self._case_by_key[standing.key].crashed_at_by_upstream.keys()
        for key, case in self._held().items():
            is_other = crash_subject.is_part(key) and key not in keys
            if is_other and crashed <= case.crashed_at_by_upstream.keys():
                return dataclasses.replace(standing, verdict=Verdict.TRIAL, trial_in_s=0.0)
        return standing

    def _held(self) -> dict[str, _Case]:
        """Return the cases that are held by all their crashes, explained or not."""
        if self._held_by_key is None:
            self._held_by_key = {
                key: case
                for key, case in self._case_by_key.items()
                if _excess(key, case.weight) >= 0
            }
            self._weight_by_explained = _largest_weights(self._held_by_key.values())
        return self._held_by_key

    def record_crash(
        self, key: str, upstream_id: str, at: float, now: float, *, has_begun: bool = False
    ) -> bool:
        """Record an upstream crash under a subject; return whether that is an update.

        Args:
            key: The subject.
            upstream_id: The incarnation that crashed.
            at: Time of the crash.
            now: The time.
            has_begun: Whether an event of the run had arrived.
        """
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
            if has_begun or upstream_id not in case.begun_ids:
                return False
            case.begun_ids.discard(upstream_id)
            self._mark_changed(case, now)
            return True
        if len(case.crashed_at_by_upstream) >= MAX_CRASHES_PER_CASE:
            return False
        case.crashed_at_by_upstream[upstream_id] = at
        if has_begun:
            case.begun_ids.add(upstream_id)
        self._mark_changed(case, now)
        return True

    def withdraw_crash(self, key: str, upstream_id: str) -> None:
        """Remove a crash of an upstream that turned out to be running."""
        case = self._case_by_key.get(key)
        if case is not None:
            case.crashed_at_by_upstream.pop(upstream_id, None)
            case.begun_ids.discard(upstream_id)
            self._held_by_key = None

    def record_completion(self, key: str, at: float, now: float) -> bool:
        """Record a complete answer to a subject; return whether it cleared any crash."""
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
            case.begun_ids.discard(upstream_id)
        if cleared:
            self._mark_changed(case, now)
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
                    reported.key,
                    crash.upstream_id,
                    now - crash.ago_s,
                    now,
                    has_begun=crash.has_begun,
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
        """Build a report on some subjects for another ledger."""
        cases = ((key, self._case_by_key.get(key)) for key in keys)
        return crash_messages.CrashReport(
            tuple(_build_case(key, case, now) for key, case in cases if case is not None)
        )

    def tidy(self, now: float) -> None:
        """Evict expired cases."""
        for key, case in tuple(self._case_by_key.items()):
            if crash_subject.is_part(key) and self.is_durable(key):
                continue
            kept_s = CASE_RETENTION_S if case.crashed_at_by_upstream else EXONERATION_S
            if max(case.last_at, case.changed_at) + kept_s < now:
                self._remove(key)

    def _add(self, key: str, now: float) -> _Case:
        if len(self._case_by_key) >= MAX_CASES:
            self._evict_one(is_part=crash_subject.is_part(key))
        case = _Case(now)
        self._case_by_key[key] = case
        return case

    def _remove(self, key: str) -> None:
        del self._case_by_key[key]
        self._held_by_key = None

    def _mark_changed(self, case: _Case, now: float) -> None:
        case.changed_at = now
        self._held_by_key = None

    def _evict_one(self, *, is_part: bool) -> None:
        """Evict a case to make room for a request or a part, if there are too many of its kind."""
        same = [key for key in self._case_by_key if crash_subject.is_part(key) == is_part]
        if len(same) < MAX_CASES:
            return
        if is_part:
            self._remove(min(same, key=lambda key: self._case_by_key[key].weight))
            return
        by_account = collections.Counter(key[:ACCOUNT_DIGITS] for key in same)
        (account, _), *_ = by_account.most_common(1)
        self._remove(next(key for key in same if key[:ACCOUNT_DIGITS] == account))


def _excess(key: str, weight: _Weight) -> int:
    """Return how many crashes a subject has beyond those that hold it; -1 puts it on trial."""
    unbegun, total = weight
    if not crash_subject.is_part(key):
        return total - HELD_CRASHES
    return max(unbegun - HELD_PART_CRASHES, total - HELD_BEGUN_CRASHES)


def _largest_weights(cases: Iterable[_Case]) -> dict[str, _Weight]:
    """Return the largest weight of a case by the upstreams that crashed."""
    weights: dict[str, _Weight] = {}
    for case in cases:
        weight = case.weight
        for upstream_id in case.crashed_at_by_upstream:
            if weights.get(upstream_id, (0, 0)) < weight:
                weights[upstream_id] = weight
    return weights


def _rank(standing: Standing) -> tuple[int, float, int, str]:
    return _SEVERITY[standing.verdict], standing.trial_in_s, standing.ends, standing.key


def _build_case(key: str, case: _Case, now: float) -> crash_messages.CrashCase:
    survived_ago_s = -1.0 if case.survived_at == -math.inf else max(0.0, now - case.survived_at)
    ends = tuple(
        crash_messages.UpstreamCrash(
            upstream_id, max(0.0, now - at), has_begun=upstream_id in case.begun_ids
        )
        for upstream_id, at in case.crashed_at_by_upstream.items()
    )
    return crash_messages.CrashCase(key, ends, survived_ago_s)
