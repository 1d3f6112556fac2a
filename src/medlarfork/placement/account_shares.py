"""Share a shard's upstream time fairly among the client accounts inside a tier. Pure.

It handles a client account that sends 6 to 10 times its usual rate for about 10 s: the other
accounts of its tier keep an equal share of the upstreams, and use what it leaves unused.

This is start-time fair queueing. Each tier has a virtual time, the latest start tag of a request
that has started. A request's start tag is the virtual time at its arrival, or the upstream time
already charged to its account if that is more. Tags are computed from the charges whenever requests
are ordered, so a withdrawn request costs its account nothing. An idle account returns at the
current virtual time and so has no credit.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

from medlarfork.placement import placement_messages, upstream_load

Kind = tuple[int, float]
"""Tier and target in milliseconds: a request class."""

DEFAULT_SLOT_MS = 500.0
"""Assumed time that a run occupies its slot until one has ended, in milliseconds. The difference
from the actual time is settled at the end of each run."""

SLOT_TIME_WEIGHT = 0.1
"""Weight of the latest run in the expected slot time: about the last ten runs count."""

MAX_KINDS = 64
"""Request classes whose slot times are learnt separately; further ones use that of the shard."""

REPORT_WINDOW_S = 10
"""Window of the counts reported for operators, in whole seconds, and the time after which an
account without starts and refusals is evicted. Its remaining charge is at most that of its last
runs."""

TOTALS_PERIOD_S = 0.25
"""Shortest interval between two sums over the window for the reasons of refusals, in seconds. An
overload has hundreds of refusals a second, and there may be hundreds of accounts."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountState:
    """State of one account at the owner of a shard, for operators.

    Attributes:
        account: Name of the client account; empty for all requests of public routes together.
        queued: Requests queued now.
        started: Requests started in the last 10 s.
        refused: Requests refused in the last 10 s.
        share: Fraction of the upstream time charged in the last 10 s that is this account's.
    """

    account: str
    queued: int
    started: int
    refused: int
    share: float


@dataclasses.dataclass(slots=True)
class _Second:
    """What an account did in one second."""

    number: int
    started: int = 0
    refused: int = 0
    charged_ms: float = 0.0


class _AccountRecord:
    """What one account did in the latest seconds."""

    def __init__(self) -> None:
        """Start without counts."""
        self._seconds: collections.deque[_Second] = collections.deque()

    def current(self, now: float) -> _Second:
        """Return the counts of the current second, to be added to."""
        number = math.floor(now)
        if not self._seconds or self._seconds[-1].number < number:
            self._drop_old(now)
            self._seconds.append(_Second(number))
        return self._seconds[-1]

    def latest(self, now: float) -> collections.deque[_Second]:
        """Return the counts of the seconds in the window."""
        self._drop_old(now)
        return self._seconds

    def _drop_old(self, now: float) -> None:
        while self._seconds and self._seconds[0].number <= math.floor(now) - REPORT_WINDOW_S:
            self._seconds.popleft()


class AccountShares:
    """Charge accounts for the upstream time of their requests; callers pass the time in seconds.

    The requests of public routes count together as one account with an empty name.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._record_by_account: dict[str, _AccountRecord] = {}
        self._virtual_ms_by_tier: dict[int, float] = {}
        self._charged_ms_by_account_by_tier: dict[int, dict[str, float]] = {}
        self._slot_ms_by_kind: dict[Kind, float] = {}
        self._shard_slot_ms = DEFAULT_SLOT_MS
        self._slots = 1.0
        self._recent_ms_by_account: dict[str, float] = {}
        self._totals_due = -math.inf

    def use_slots(self, slots: Sequence[int]) -> None:
        """Set the numbers of slots of the shard's upstreams."""
        self._slots = max(sum(slots) / max(len(slots), 1), 1.0)

    def virtual_ms(self, tier: int) -> float:
        """Return the virtual time of a tier, the earliest start tag of a request that arrives."""
        return self._virtual_ms_by_tier.get(tier, 0.0)

    def charged_ms_by_account(self, tier: int) -> Mapping[str, float]:
        """Return the upstream time charged to each account in a tier, as virtual time."""
        return self._charged_ms_by_account_by_tier.get(tier, {})

    def slot_cost_ms(self, kind: Kind) -> float:
        """Return the expected upstream time of a run of this class, beside its prefill.

        A run that occupies one of 16 slots accounts for a sixteenth of that time.
        """
        return self.run_ms(kind) / self._slots

    def run_ms(self, kind: Kind) -> float:
        """Return the expected time that a run of this class occupies its slot."""
        return self._slot_ms_by_kind.get(kind, self._shard_slot_ms)

    def record_start(
        self,
        request: placement_messages.PlaceRequest,
        virtual_ms: float,
        prefill_ms: float,
        now: float,
    ) -> float:
        """Charge a request that starts to its account.

        Args:
            request: The request.
            virtual_ms: The virtual time at its arrival.
            prefill_ms: Its prefill on the chosen upstream, in milliseconds.
            now: The time in seconds.

        Returns:
            The part charged for its slot, as ``Run.charged_slot_ms``; 0 if nothing is charged
            because no account has sent requests.
        """
        if not request.account and not self._record_by_account:
            return 0.0
        slot_ms = self.slot_cost_ms((request.tier, request.target_ms))
        charged_ms_by_account = self._charged_ms_by_account_by_tier.setdefault(request.tier, {})
        start_ms = max(virtual_ms, charged_ms_by_account.get(request.account, 0.0))
        self._virtual_ms_by_tier[request.tier] = max(self.virtual_ms(request.tier), start_ms)
        charged_ms_by_account[request.account] = start_ms + prefill_ms + slot_ms
        second = self._record(request.account).current(now)
        second.started += 1
        second.charged_ms += prefill_ms + slot_ms
        return slot_ms

    def record_end(
        self, run: upstream_load.Run, end: placement_messages.RunEnd, now: float
    ) -> None:
        """Settle the charge of a run by the time that it occupied its slot."""
        if run.charged_slot_ms <= 0.0:
            return
        request, slot_ms = run.request, (now - run.started_at) * 1000.0
        charged_ms_by_account = self._charged_ms_by_account_by_tier.get(request.tier, {})
        if request.account in charged_ms_by_account:
            difference_ms = slot_ms / self._slots - run.charged_slot_ms
            charged_ms_by_account[request.account] += difference_ms
            self._record(request.account).current(now).charged_ms += difference_ms
        if end is placement_messages.RunEnd.COMPLETE:
            self._learn_slot_time((request.tier, request.target_ms), slot_ms)

    def record_refusal(self, account: str, now: float) -> str:
        """Count a refused request.

        Returns:
            By how much its account exceeds an equal share, as a phrase for people; empty if it
            doesn't, or if fewer than two accounts use the shard.
        """
        if not account and not self._record_by_account:
            return ""
        self._record(account).current(now).refused += 1
        if now >= self._totals_due:
            self._totals_due = now + TOTALS_PERIOD_S
            self._recent_ms_by_account = self._sum_charges(now)
        total_ms = sum(self._recent_ms_by_account.values())
        used_ms = self._recent_ms_by_account.get(account, 0.0)
        users = len(self._recent_ms_by_account)
        if users < 2 or not account or used_ms * users <= total_ms:
            return ""
        return (
            f"its account used {used_ms / total_ms:.0%} of the upstream time in the last"
            f" {REPORT_WINDOW_S} s, and an equal share is {1 / users:.0%}"
        )

    def states(self, queued_by_account: Mapping[str, int], now: float) -> tuple[AccountState, ...]:
        """Return the state of each account that has requests or had some in the last 10 s."""
        charged_ms_by_account = self._sum_charges(now)
        total_ms = sum(charged_ms_by_account.values())
        accounts = {
            account for account, record in self._record_by_account.items() if record.latest(now)
        }
        if self._record_by_account or any(queued_by_account):
            accounts |= queued_by_account.keys()
        return tuple(
            AccountState(
                account,
                queued_by_account.get(account, 0),
                sum(second.started for second in self._latest(account, now)),
                sum(second.refused for second in self._latest(account, now)),
                charged_ms_by_account.get(account, 0.0) / total_ms if total_ms else 0.0,
            )
            for account in sorted(accounts)
        )

    def evict_idle(self, now: float) -> None:
        """Evict the accounts without starts and refusals in the window, which bounds the table."""
        for account, record in tuple(self._record_by_account.items()):
            if not record.latest(now):
                del self._record_by_account[account]
                for charged_ms_by_account in self._charged_ms_by_account_by_tier.values():
                    charged_ms_by_account.pop(account, None)

    def _record(self, account: str) -> _AccountRecord:
        record = self._record_by_account.get(account)
        if record is None:
            record = self._record_by_account[account] = _AccountRecord()
        return record

    def _latest(self, account: str, now: float) -> collections.deque[_Second]:
        record = self._record_by_account.get(account)
        return collections.deque() if record is None else record.latest(now)

    def _sum_charges(self, now: float) -> dict[str, float]:
        """Return the upstream time charged to each account in the window, if any was."""
        sums = {
            account: sum(second.charged_ms for second in record.latest(now))
            for account, record in self._record_by_account.items()
        }
        return {account: charged_ms for account, charged_ms in sums.items() if charged_ms > 0.0}

    def _learn_slot_time(self, kind: Kind, slot_ms: float) -> None:
        self._shard_slot_ms += SLOT_TIME_WEIGHT * (slot_ms - self._shard_slot_ms)
        known_ms = self._slot_ms_by_kind.get(kind)
        if known_ms is not None:
            self._slot_ms_by_kind[kind] += SLOT_TIME_WEIGHT * (slot_ms - known_ms)
        elif len(self._slot_ms_by_kind) < MAX_KINDS:
            self._slot_ms_by_kind[kind] = slot_ms
