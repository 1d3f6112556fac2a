"""Keep a replica's part in what is known of requests that end upstreams; pure.

Every entry host tells every replica what it saw. A replica passes on to all entry hosts what
concerns them: requests under which two upstreams or more ended, and those that were cleared since.
One end is not passed on: each crash leaves some twenty innocent requests with one, which would be
told by each replica to hundreds of hosts.
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
"""Least time between two reports to entry hosts, in seconds: what hundreds of hosts see of one
crash within some milliseconds is told together, well within a request's usual time."""

PROPOSAL_RETRY_S = 1.0
"""Time after which the log is asked once more for what it did not take, in seconds."""

MAX_PROPOSALS = 20
"""Cases that the log is asked to keep at once: a crash of many upstreams must not hold up changes
of the routing."""

MAX_CASES_PER_REPORT = 200
"""Cases in one report: 20 KB, which a slow link carries in 30 ms; the rest follows."""


class CrashManager:
    """Hold the ledger and the trials of one replica; the time is handed in."""

    def __init__(self, replica_id: str) -> None:
        """Start without a case; the replica's id names its proposals to the log."""
        self._replica_id = replica_id
        self._proposals = 0
        self.ledger = crash_ledger.CrashLedger()
        self._trials = trial_manager.TrialManager(self.ledger)
        self._told: set[str] = set()
        self._untold: dict[str, None] = {}
        self._push_due = -math.inf
        self._record_due_by_key: dict[str, float] = {}

    def take(self, report: crash_messages.CrashReport, now: float) -> tuple[Any, ...]:
        """Take what an entry host tells."""
        return self._note(self.ledger.merge(report, now), now)

    def lift(self, key: str, peers: tuple[str, ...], now: float) -> tuple[Any, ...]:
        """Let a request run again, as an operator or the log asks, and tell the other replicas."""
        if not self.ledger.record_completion(key, now, now):
            return ()
        noted = coordinator_types.LogEvent("crash_case_lifted", {"key": key})
        report = self.ledger.report((key,), now)
        sends = (node.Send(peer, report) for peer in peers)
        return (noted, *sends, *self._note((key,), now))

    def ask_trial(
        self, request: placement_messages.PlaceRequest, now: float
    ) -> placement_messages.PlaceRefused | None:
        """Return why a request may not run on trial now; None if it may."""
        return self._trials.request_trial(request, now)

    def on_ended(self, message: placement_messages.RunEnded, now: float) -> None:
        """Take the end of a run, which may be a trial."""
        self._trials.on_ended(message.ticket_id, message.end, now)

    def on_decided(self, answer: placement_decision.Decision) -> None:
        """Take a decision of placement: a trial that is refused does not run."""
        if isinstance(answer.message, placement_messages.PlaceRefused):
            self._trials.release(answer.message.ticket_id)

    def restore(self, held: Iterable[routing_state.HeldRequest], now: float) -> None:
        """Take what the log holds: after a restart nothing else is known.

        The time of these ends is not known any more; they count as of now, which delays a trial.
        """
        for item in held:
            for upstream_id in item.upstream_ids:
                self.ledger.record_crash(item.key, upstream_id, now, now)
            if self._concerns_all(item.key):
                self._untold[item.key] = None

    def proposals(
        self, held_by_key: dict[str, routing_state.HeldRequest], now: float
    ) -> tuple[replica_types.Propose, ...]:
        """Return what the leader has to put into the log; each is asked for once in a while."""
        changes: list[routing_state.HeldRequest | routing_state.LiftedRequest] = []
        for key in self.ledger.known():
            ends = self.ledger.ends(key)
            recorded = held_by_key.get(key)
            is_recorded = recorded is not None and set(ends) <= set(recorded.upstream_ids)
            if len(ends) >= crash_ledger.HELD_CRASHES and not is_recorded:
                changes.append(routing_state.HeldRequest(key, ends))
        for key in held_by_key:
            if len(self.ledger.ends(key)) < crash_ledger.HELD_CRASHES:
                changes.append(routing_state.LiftedRequest(key))
        due = [item for item in changes if self._record_due_by_key.get(item.key, now) <= now]
        for item in due[:MAX_PROPOSALS]:
            self._record_due_by_key[item.key] = now + PROPOSAL_RETRY_S
        return tuple(self._proposal(item) for item in due[:MAX_PROPOSALS])

    def on_time(self, now: float) -> None:
        """Have what is new told once more, and forget what is old."""
        for key in self.ledger.changed_since(now - crash_messages.RESEND_WINDOW_S):
            if self._concerns_all(key):
                self._untold[key] = None
        self.ledger.tidy(now)
        self._trials.tidy(now)
        known = self.ledger.known()
        self._told.intersection_update(known)
        self._record_due_by_key = {
            key: due for key, due in self._record_due_by_key.items() if due > now
        }

    def push(self, entry_ids: frozenset[str], now: float) -> tuple[Any, ...]:
        """Tell all entry hosts what they have not been told."""
        if not self._untold:
            return ()
        if now < self._push_due:
            return (node.Wake(self._push_due),)
        self._push_due = now + PUSH_PERIOD_S
        keys = tuple(self._untold)[:MAX_CASES_PER_REPORT]
        for key in keys:
            del self._untold[key]
        self._told.update(keys)
        report = self.ledger.report(keys, now)
        more = (node.Wake(self._push_due),) if self._untold else ()
        return (*(node.Send(entry_id, report) for entry_id in entry_ids), *more)

    def whole(self, now: float) -> crash_messages.CrashReport:
        """Return all that concerns an entry host, for one that has just come."""
        keys = tuple(key for key in self.ledger.known() if self._concerns_all(key))
        return self.ledger.report(keys[-MAX_CASES_PER_REPORT:], now)

    def _proposal(
        self, change: routing_state.HeldRequest | routing_state.LiftedRequest
    ) -> replica_types.Propose:
        self._proposals += 1
        proposal_id = f"{self._replica_id}-crash-{self._proposals}"
        return replica_types.Propose(proposal_id, routing_state.pack_held(change))

    def _concerns_all(self, key: str) -> bool:
        return key in self._told or len(self.ledger.ends(key)) >= crash_ledger.SUSPECT_CRASHES

    def _note(self, keys: tuple[str, ...], now: float) -> tuple[Any, ...]:
        """Have what changed told to entry hosts, and return the log lines."""
        noted: list[Any] = []
        for key in keys:
            if not self._concerns_all(key):
                continue
            self._untold[key] = None
            standing = self.ledger.standing(key, now)
            fields = {
                "key": key,
                "verdict": standing.verdict.value,
                "upstreams": ",".join(self.ledger.ends(key)) or None,
            }
            noted.append(coordinator_types.LogEvent("crash_case", fields))
        return tuple(noted)
