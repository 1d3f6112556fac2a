"""Crash cases of one replica: subjects that crashed upstreams, and their distribution.

A subject is a request or a prompt part. Every entry host reports the crashes that it saw to every
replica. A replica forwards to all entry hosts the subjects that crashed two or more upstreams, and
those cleared since. Those with a single crash are not forwarded: each crash leaves about twenty
innocent requests with one, and each replica would send them to hundreds of hosts. Pure: no I/O, no
clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from medlarfork import node
from medlarfork.coordination import coordinator_types, routing_state
from medlarfork.placement import placement_decision, placement_messages
from medlarfork.quarantine import crash_ledger, crash_messages, trial_manager
from medlarfork.replica import replica_types

PUSH_PERIOD_S = 0.05
"""Minimum interval between two reports to entry hosts, in seconds: reports of hundreds of hosts
about the same crash arrive within milliseconds and are sent together, well within a request's usual
time."""

PROPOSAL_RETRY_S = 1.0
"""Time after which a change that the log has not taken is proposed again, in seconds."""

PROPOSAL_WINDOW_S = 10.0
"""Time after a change of a case in which it is proposed to a log that is full, in seconds: enough
for an election and several proposals."""

MAX_PROPOSALS = 20
"""Maximum cases proposed to the log at once: a crash of many upstreams must not delay changes of
the routing."""

MAX_CASES_PER_REPORT = 200
"""Maximum cases in one report: 20 KB, which a slow link transfers in 30 ms; the rest follows in the
next report."""


class CrashManager:
    """Crash ledger and trials of one replica."""

    def __init__(self, replica_id: str) -> None:
        """Start without cases; the replica's id prefixes its proposal ids."""
        self._replica_id = replica_id
        self._proposals = 0
        self.ledger = crash_ledger.CrashLedger()
        self._trials = trial_manager.TrialManager(self.ledger)
        self._published: set[str] = set()
        self._pending: dict[str, None] = {}
        self._push_due = -math.inf
        self._proposal_due_by_key: dict[str, float] = {}

    def merge_report(self, report: crash_messages.CrashReport, now: float) -> tuple[Any, ...]:
        """Merge an entry host's report and return the events to log."""
        return self._record_changes(self.ledger.merge(report, now), now)

    def lift(self, key: str, peers: tuple[str, ...], now: float) -> tuple[Any, ...]:
        """Clear a subject, as an operator or the log demands, and notify the other replicas."""
        if not self.ledger.record_completion(key, now, now):
            return ()
        lifted = coordinator_types.LogEvent("crash_case_lifted", {"key": key})
        report = self.ledger.report((key,), now)
        sends = (node.Send(peer, report) for peer in peers)
        return (lifted, *sends, *self._record_changes((key,), now))

    def check_trial(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_messages.PlaceRefused | None:
        """Return the refusal if a request may not run as a trial now; None if it may."""
        return self._trials.request_trial(request, now)

    def on_run_ended(self, message: placement_messages.RunEnded, now: float) -> None:
        """Record the end of a run, which may be a trial."""
        self._trials.on_ended(message.ticket_id, message.end, now)

    def on_decision(self, answer: placement_decision.Decision) -> None:
        """Record a placement decision: a trial that is refused does not run."""
        if isinstance(answer.message, placement_messages.PlaceRefused):
            self._trials.release(answer.message.ticket_id)

    def restore(self, held: Iterable[routing_state.HeldRequest], now: float) -> None:
        """Restore the subjects in the log; after a restart nothing else is known.

        The times of these crashes are not in the log; they count as of now, which delays a trial.
        """
        for item in held:
            for upstream_id in item.upstream_ids:
                has_begun = upstream_id in item.begun_ids
                self.ledger.record_crash(item.key, upstream_id, now, now, has_begun=has_begun)
            if self._is_for_all_hosts(item.key):
                self._pending[item.key] = None

    def proposals(
        self, held_by_key: dict[str, routing_state.HeldRequest], now: float
    ) -> tuple[replica_types.Propose, ...]:
        """Return the changes that the leader has to propose; each is retried periodically.

        While the log is full, cases that it has evicted are not proposed again.
        """
        is_full = len(held_by_key) >= routing_state.MAX_HELD
        candidates = (
            self.ledger.changed_since(now - PROPOSAL_WINDOW_S) if is_full else self.ledger.known()
        )
        changes: list[routing_state.HeldRequest | routing_state.LiftedRequest] = []
        for key in candidates:
            ends = self.ledger.ends(key)
            recorded = held_by_key.get(key)
            begun = self.ledger.begun_ends(key)
            is_recorded = (
                recorded is not None
                and set(ends) <= set(recorded.upstream_ids)
                and set(recorded.begun_ids) <= set(begun)
            )
            if self.ledger.is_durable(key) and not is_recorded:
                changes.append(routing_state.HeldRequest(key, ends, begun))
        for key in held_by_key:
            if not self.ledger.is_durable(key):
                changes.append(routing_state.LiftedRequest(key))
        due = [item for item in changes if self._proposal_due_by_key.get(item.key, now) <= now]
        for item in due[:MAX_PROPOSALS]:
            self._proposal_due_by_key[item.key] = now + PROPOSAL_RETRY_S
        return tuple(self._proposal(item) for item in due[:MAX_PROPOSALS])

    def on_tick(self, now: float) -> None:
        """Schedule recent changes to be resent, and remove expired cases."""
        for key in self.ledger.changed_since(now - crash_messages.RESEND_WINDOW_S):
            if self._is_for_all_hosts(key):
                self._pending[key] = None
        self.ledger.tidy(now)
        self._trials.tidy(now)
        known = self.ledger.known()
        self._published.intersection_update(known)
        self._proposal_due_by_key = {
            key: due for key, due in self._proposal_due_by_key.items() if due > now
        }

    def push(self, entry_ids: frozenset[str], now: float) -> tuple[Any, ...]:
        """Return the reports of pending changes to all entry hosts."""
        if not self._pending:
            return ()
        if now < self._push_due:
            return (node.Wake(self._push_due),)
        self._push_due = now + PUSH_PERIOD_S
        keys = tuple(self._pending)[:MAX_CASES_PER_REPORT]
        for key in keys:
            del self._pending[key]
        self._published.update(keys)
        report = self.ledger.report(keys, now)
        more = (node.Wake(self._push_due),) if self._pending else ()
        return (*(node.Send(entry_id, report) for entry_id in entry_ids), *more)

    def full_reports(self, now: float) -> tuple[crash_messages.CrashReport, ...]:
        """Return the reports for an entry host that has just connected, durable cases first."""
        keys = [key for key in reversed(self.ledger.known()) if self._is_for_all_hosts(key)]
        keys.sort(key=self.ledger.is_durable, reverse=True)
        return tuple(
            self.ledger.report(tuple(keys[start : start + MAX_CASES_PER_REPORT]), now)
            for start in range(0, min(len(keys), routing_state.MAX_HELD), MAX_CASES_PER_REPORT)
        )

    def _proposal(
        self, change: routing_state.HeldRequest | routing_state.LiftedRequest
    ) -> replica_types.Propose:
        self._proposals += 1
        proposal_id = f"{self._replica_id}-crash-{self._proposals}"
        return replica_types.Propose(proposal_id, routing_state.pack_held(change))

    def _is_for_all_hosts(self, key: str) -> bool:
        return (
            key in self._published or len(self.ledger.ends(key)) >= crash_ledger.PUBLISHED_CRASHES
        )

    def _record_changes(self, keys: tuple[str, ...], now: float) -> tuple[Any, ...]:
        """Mark changed cases as pending for entry hosts, and return the events to log."""
        events: list[Any] = []
        for key in keys:
            if not self._is_for_all_hosts(key):
                continue
            self._pending[key] = None
            standing = self.ledger.standing(key, now)
            fields = {
                "key": key,
                "verdict": standing.verdict.value,
                "upstreams": ",".join(self.ledger.ends(key)) or None,
            }
            events.append(coordinator_types.LogEvent("crash_case", fields))
        return tuple(events)
