"""Singleton duties of a deployment, carried out by one replica at a time: the leader.

The leader takes a lease in the log, which decides who may act; its fencing token lets the platform
reject outdated calls. Calls are executed by the caller of this module; a call in progress blocks
nothing else. Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

from medlarfork import node
from medlarfork.coordination import coordinator_types, routing_state, upstream_types
from medlarfork.duties import (
    duty_state,
    duty_types,
    engine_autoscaler,
    engine_messages,
    usage_duty,
    usage_ledger,
    usage_messages,
)
from medlarfork.orders import fenced_lease, lease_types
from medlarfork.replica import replica_types
from medlarfork.routes import routing

LEASE_NAME = "duties"
"""Name of the lease in the log; all duties share one, since one replica has them all."""

LEASE_MARGIN = 1.1
"""Lease duration as a multiple of the configured time in which no two holders may alternate."""

RENEW_SHARE = 0.3
"""Renewal interval as a share of the lease: two renewals may fail before it expires."""

RATE_SHARE = 0.5
"""Share of the platform's rate limit that is used; the previous holder may have used the rest."""

ENGINES_PERIOD_S = 0.25
"""Interval at which the number of engines is re-evaluated, in seconds: a fraction of an engine's
start-up time."""


class DutyManager:
    """State of the duties on one replica."""

    def __init__(
        self,
        replica_id: str,
        boot: int,
        settings: duty_types.DutySettings,
        log: duty_state.DutyState,
    ) -> None:
        """Start without the lease.

        Args:
            replica_id: Identifies this replica.
            boot: Identifier that is unique to each start of it.
            settings: The deployment's duties.
            log: State of the duties in the replicated log.
        """
        self._replica_id = replica_id
        self._holder = f"{replica_id}@{boot}"
        self._settings = settings
        self._log = log
        duration_s = LEASE_MARGIN * settings.lease_s
        renew_s = RENEW_SHARE * duration_s
        self.lease = fenced_lease.FencedLease(
            fenced_lease.LeaseSettings(
                LEASE_NAME, self._holder, duration_s, renew_s=renew_s, retry_s=renew_s
            )
        )
        self._ledger = usage_ledger.UsageLedger(boot)
        self._usage = usage_duty.UsageDuty(log, random.Random(boot))
        self._engines = engine_autoscaler.EngineAutoscaler(settings.engine_margin)
        self._call_by_id: dict[int, duty_types.PlatformCall] = {}
        self._calls = 0
        self._proposals = 0
        self._call_tokens = 0.0
        self._refilled_at = 0.0
        self._engines_due = 0.0
        self._last_fence = -1
        self._started_at = math.inf

    @property
    def orders_engines(self) -> bool:
        """Return whether this deployment orders engines."""
        return self._settings.has(duty_types.ENGINES)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name, for the metrics; empty where there are no duties."""
        if self._settings.is_empty:
            return {}
        windows = self._log.usage_by_window.values()
        return {
            "duty_fence": self.lease.fence,
            "duty_calls": len(self._call_by_id),
            "usage_windows_unreported": sum(not item.is_reported for item in windows),
        }

    def summary(self, now: float) -> coordinator_types.DutiesFound:
        """Return what this replica knows of the duties, for operators."""
        usage = tuple(
            coordinator_types.UsageWindow(
                window, sum(fixed.count_by_account.values()), fixed.is_reported
            )
            for window, fixed in sorted(self._log.usage_by_window.items())
        )
        return coordinator_types.DutiesFound(
            holder=self._log.holder(LEASE_NAME),
            fence=self._log.fence(LEASE_NAME),
            is_holder=self.lease.may_act(now),
            usage=usage,
            calls=tuple(self._call_by_id.values()),
            needs=self._engines.needs,
        )

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Apply the services of a new routing version."""
        self._engines.use_services(services)

    def on_role(self, *, leads: bool, now: float) -> tuple[Any, ...]:
        """Acquire or give up the duties with the leadership of the log."""
        if self._settings.is_empty:
            return ()
        event = lease_types.LeadershipWon() if leads else lease_types.LeadershipLost()
        return self._run_lease(event, now)

    def handle_message(self, sender: str, message: Any, now: float) -> tuple[Any, ...]:
        """Handle a message about usage or load."""
        match message:
            case usage_messages.UsageTold():
                return (node.Send(sender, self._ledger.take(sender, message, now)),)
            case engine_messages.LoadTold():
                self._engines.update_load(sender, message, now)
        return ()

    def on_applied(self, applied: Any, now: float) -> tuple[Any, ...]:
        """Handle the result of a duty command that the log applied."""
        match applied:
            case duty_state.LeaseApplied(command, reply) if command.holder == self._holder:
                is_take = isinstance(command, lease_types.TakeLease)
                kind = lease_types.TakeCommitted if is_take else lease_types.RenewCommitted
                return self._run_lease(kind(command.attempt, reply), now)
            case duty_state.FixUsage(window, counts):
                self._ledger.drop(window)
                total = sum(counts.values())
                return (
                    _log_event("usage_fixed", window=window, requests=total, accounts=len(counts)),
                )
        return ()

    def on_call_end(self, call_result: duty_types.PlatformCalled, now: float) -> tuple[Any, ...]:
        """Handle the end of a platform call."""
        call = self._call_by_id.pop(call_result.call_id, None)
        if call is None:
            return ()
        actions: list[Any] = [
            _log_event("platform_called", end=call_result.end.value, **_call_fields(call))
        ]
        match call:
            case duty_types.ReportUsage():
                command = self._usage.on_call_end(call, call_result.end, now)
                if command is not None:
                    actions.append(self._propose(command))
            case duty_types.ScaleEngines():
                self._engines.on_call_end(call, call_result.end, now)
        if _needs_higher_fence(call, call_result.end):
            actions += self._run_lease(lease_types.RaiseFence(), now)
        return tuple(actions)

    def on_tick(
        self,
        entry_ids: frozenset[str],
        present: tuple[upstream_types.Announcement, ...],
        now: float,
    ) -> tuple[Any, ...]:
        """Perform due work: renew the lease, fix usage windows, and make calls."""
        if self._settings.is_empty:
            return ()
        self._started_at = min(self._started_at, now)
        actions = list(self._run_lease(node.TimeDue(), now))
        if not self.lease.may_act(now):
            return tuple(actions)
        self._refill(now)
        if self._settings.has(duty_types.USAGE):
            fixes = self._usage.windows_to_fix(self._ledger, entry_ids, now)
            actions += [self._propose(fix) for fix in fixes]
            actions += self._report_usage(now)
        if self._settings.has(duty_types.ENGINES) and now >= self._engines_due:
            self._engines_due = now + ENGINES_PERIOD_S
            actions += self._order_engines(present, now)
        return tuple(actions)

    def _report_usage(self, now: float) -> tuple[Any, ...]:
        if any(isinstance(call, duty_types.ReportUsage) for call in self._call_by_id.values()):
            return ()
        report = self._usage.next_report(now)
        return () if report is None or not self._can_call() else (self._start_call(report),)

    def _order_engines(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[Any, ...]:
        actions: list[Any] = []
        orders = self._engines.next_requests(present, now)
        if orders:
            actions += [
                _log_event("engines_needed", **dataclasses.asdict(need))
                for need in self._engines.needs
            ]
        for order in orders:
            if self._can_call():
                actions.append(self._start_call(order))
            else:
                self._engines.on_call_end(order, duty_types.CallEnd.NOT_SENT, now)
        return tuple(actions)

    def _start_call(self, call: duty_types.PlatformCall) -> duty_types.CallPlatform:
        self._calls += 1
        self._call_tokens -= 1.0
        self._call_by_id[self._calls] = call
        return duty_types.CallPlatform(self._calls, self.lease.fence, call)

    def _can_call(self) -> bool:
        return self._call_tokens >= 1.0

    def _refill(self, now: float) -> None:
        rate = RATE_SHARE * self._settings.calls_per_s
        self._call_tokens = min(rate, self._call_tokens + rate * (now - self._refilled_at))
        self._refilled_at = now

    def _run_lease(self, event: Any, now: float) -> tuple[Any, ...]:
        actions: list[Any] = []
        for action in self.lease.handle(event, now):
            match action:
                case lease_types.Propose(command):
                    actions.append(self._propose(command))
                case lease_types.Acquired(fence):
                    if fence != self._last_fence + 1:
                        self._engines.on_duty_acquired(self._started_at, now)
                    self._last_fence = fence
                    actions.append(_log_event("duties_taken", fence=fence))
                case lease_types.Lost(fence):
                    actions.append(_log_event("duties_lost", fence=fence))
                case _:
                    actions.append(action)
        return tuple(actions)

    def _propose(self, command: Any) -> replica_types.Propose:
        self._proposals += 1
        proposal_id = f"{self._replica_id}-duty-{self._proposals}"
        return replica_types.Propose(proposal_id, routing_state.pack_duty(command))


def _needs_higher_fence(call: duty_types.PlatformCall, end: duty_types.CallEnd) -> bool:
    """Return whether an ended call could still undo a later one that has the same fence.

    A usage report has the same effect whenever it is executed; an order whose outcome is unknown
    may be executed after a newer one. A call that was refused may have met a higher fence.
    """
    if end is duty_types.CallEnd.REFUSED:
        return True
    return end is duty_types.CallEnd.UNKNOWN and isinstance(call, duty_types.ScaleEngines)


def _call_fields(call: duty_types.PlatformCall) -> dict[str, Any]:
    match call:
        case duty_types.ReportUsage(window, counts):
            return {"call": "usage", "window": window, "requests": sum(counts.values())}
        case duty_types.ScaleEngines(service, zone, count, is_spot):
            return {
                "call": "engines",
                "service": service,
                "zone": zone,
                "count": count,
                "spot": is_spot,
            }


def _log_event(event: str, **fields: Any) -> coordinator_types.LogEvent:
    return coordinator_types.LogEvent(event, fields)
