"""Route the messages of entry hosts to the owners of the shards that this replica places for."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable
from typing import Any

from medlarfork import node
from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    account_shares,
    limit_share,
    placement_decision,
    placement_messages,
    retry_schedule,
    shard_owner,
    shard_speeds,
)
from medlarfork.routes import routing

IDLE_SHARD_S = 30.0
"""Time without a message after which a shard's owner is removed, in seconds: longer than any
request takes, so that nothing runs there any more."""


_TERMINAL_ANSWERS = (placement_messages.PlaceRefused, placement_messages.Busy)
"""Answers after which no state of the request is kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardSummary:
    """State of one shard, for operators.

    Attributes:
        service: The service of the shard.
        index: Number of the shard.
        upstreams: Its upstreams by incarnation.
        accounts: Client accounts with requests now or in the last 10 s.
        retries: Scheduled retries of refused callers.
    """

    service: str
    index: int
    upstreams: dict[str, shard_speeds.UpstreamSummary]
    accounts: tuple[account_shares.AccountState, ...]
    retries: retry_schedule.RetryState


class PlacementOwner:
    """Keep one owner per shard and pass each message to it. Pure: no I/O, no clock."""

    def __init__(self, gate: send_gate.SendGate | None = None) -> None:
        """Start without services and upstreams.

        Args:
            gate: Paces requests to upstreams; None if no upstream sends backpressure signals.
        """
        self._gate = gate
        self._shares = limit_share.LimitShare()
        self._owner_by_shard: dict[placement_messages.Shard, shard_owner.ShardOwner] = {}
        self._last_message_at_by_shard: dict[placement_messages.Shard, float] = {}
        self._count_by_shard: dict[placement_messages.Shard, int] = {}
        self._engine_by_service: dict[str, routing.EngineSpec | None] = {}
        self._present_by_service: dict[str, dict[str, upstream_types.Announcement]] = {}
        self._shard_by_ticket: dict[str, placement_messages.Shard] = {}
        self._decisions: list[placement_decision.Decision] = []
        self._complete_at = -math.inf

    def expect_upstreams(self, until: float) -> None:
        """Expect that upstreams which are not known yet announce themselves until a time.

        Until then, requests that no known upstream may run wait for the others. Call it before the
        first message: shards that have an owner already keep what they expect.

        Args:
            until: When all upstreams must be known, in seconds.
        """
        self._complete_at = until

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Apply the services of a new routing version."""
        for service in services:
            self._engine_by_service[service.name] = service.engine
        for shard, owner in self._owner_by_shard.items():
            owner.use_engine(self._engine_by_service.get(shard.service))

    def use_upstreams(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[node.Send, ...]:
        """Apply a new view of the upstreams; return answers to queued requests that now start."""
        by_service: dict[str, dict[str, upstream_types.Announcement]] = collections.defaultdict(
            dict
        )
        for announcement in present:
            by_service[announcement.service][announcement.upstream_id] = announcement
        self._present_by_service = dict(by_service)
        answers: list[placement_decision.Decision] = []
        for shard, owner in self._owner_by_shard.items():
            owner.use_upstreams(self._present_in(shard))
            answers += owner.serve_waiting(now)
        return self._sends(answers)

    def use_entries(self, entry_ids: frozenset[str], max_entries: int) -> None:
        """Set the current entry hosts, and their highest number in the last seconds."""
        self._shares.use_entries(entry_ids, max_entries)

    def handle(self, entry_id: str, message: Any, now: float) -> tuple[node.Send, ...]:
        """Handle a message of an entry host and return the answers."""
        match message:
            case placement_messages.PlaceRequest(ticket_id):
                self._shard_by_ticket[ticket_id] = message.target_shard
                owner = self._owner(message.target_shard, now)
                return self._sends(owner.place(entry_id, message, now))
            case placement_messages.FirstEvent(ticket_id):
                owner = self._owner_of(self._shard_by_ticket.get(ticket_id), now)
                if owner is not None:
                    owner.on_first_event(message, now)
            case placement_messages.RunEnded(ticket_id):
                owner = self._owner_of(self._shard_by_ticket.pop(ticket_id, None), now)
                if owner is not None:
                    return self._sends(owner.on_ended(message, now))
            case placement_messages.OwnerChosen(shard, is_chosen, estimate):
                self._shares.record_choice(shard, entry_id, is_chosen=is_chosen, now=now)
                owner = self._owner(shard, now)
                if estimate is not None:
                    owner.estimator.adopt(estimate)
                owner.adopt_speeds(message.speeds, now)
                owner.retries.adopt(entry_id, message.promises if is_chosen else (), now)
                return self._sends(owner.release_entry(entry_id, now))
            case placement_messages.StillRunning(request):
                self._shard_by_ticket[request.ticket_id] = request.target_shard
                owner = self._owner(request.target_shard, now)
                owner.on_still_running(entry_id, message, now)
        return ()

    @property
    def waiting(self) -> int:
        """Return the number of queued requests; while there are any, call ``on_time`` often."""
        return sum(owner.waiting for owner in self._owner_by_shard.values())

    def offered(self) -> tuple[placement_messages.ServiceLoad, ...]:
        """Return the offered load of each service whose engines prefill prompts."""
        prefill_ms: collections.Counter[str] = collections.Counter()
        requests: collections.Counter[str] = collections.Counter()
        for shard, owner in self._owner_by_shard.items():
            if self._engine_by_service.get(shard.service) is not None:
                prefill_ms[shard.service] += owner.offered_prefill_ms
                requests[shard.service] += owner.waiting + owner.running
        return tuple(
            placement_messages.ServiceLoad(service, prefill_ms[service], requests[service])
            for service in prefill_ms
        )

    def shards(self, now: float) -> tuple[ShardSummary, ...]:
        """Return the state of the shards that entry hosts use this replica for, for operators."""
        return tuple(
            ShardSummary(
                shard.service,
                shard.index,
                owner.upstreams(now),
                owner.account_states(now),
                owner.retry_state(now),
            )
            for shard, owner in self._owner_by_shard.items()
        )

    def upstreams(self, now: float) -> dict[str, shard_speeds.UpstreamSummary]:
        """Return the state of the upstreams of these shards by incarnation, for the metrics."""
        # Metrics are rendered in a thread, so this takes an atomic copy.
        owners = list(self._owner_by_shard.values())
        return {
            upstream_id: upstream
            for owner in owners
            for upstream_id, upstream in owner.upstreams(now).items()
        }

    def on_time(self, now: float) -> tuple[node.Send, ...]:
        """Start queued requests that can start now, and refuse those that have expired."""
        answers: list[placement_decision.Decision] = []
        for shard, owner in self._owner_by_shard.items():
            if owner.waiting:
                owner.gate.share = self._shares.share(shard, now)
                answers += owner.serve_due(now)
        return self._sends(answers)

    def release_entry(self, entry_id: str, now: float) -> tuple[node.Send, ...]:
        """Release the slots and queued requests of a lost entry host."""
        answers: list[placement_decision.Decision] = []
        for owner in self._owner_by_shard.values():
            answers += owner.release_entry(entry_id, now)
        return self._sends(answers)

    def tidy(self, now: float) -> int:
        """Evict idle shards and overdue runs; return the number of overdue runs."""
        self._evict_idle_shards(now)
        overdue = [
            ticket_id
            for owner in self._owner_by_shard.values()
            for ticket_id in owner.end_overdue(now)
        ]
        for ticket_id in overdue:
            self._shard_by_ticket.pop(ticket_id, None)
        return len(overdue)

    def _evict_idle_shards(self, now: float) -> None:
        """Remove the owners of shards that have had no message for long."""
        idle = {
            shard
            for shard, last_message_at in self._last_message_at_by_shard.items()
            if now - last_message_at > IDLE_SHARD_S
        }
        if not idle:
            return
        for shard in idle:
            del self._last_message_at_by_shard[shard]
            del self._owner_by_shard[shard]
            del self._count_by_shard[shard]
            self._shares.evict(shard)
        self._shard_by_ticket = {
            ticket_id: shard
            for ticket_id, shard in self._shard_by_ticket.items()
            if shard not in idle
        }

    def drain_decisions(self) -> tuple[placement_decision.Decision, ...]:
        """Return and clear the decisions since the last call, for the log."""
        decisions, self._decisions = tuple(self._decisions), []
        return decisions

    def _owner_of(
        self, shard: placement_messages.Shard | None, now: float
    ) -> shard_owner.ShardOwner | None:
        """Return the owner of a shard that an earlier request named, for a report on that request.

        The shard count in the earlier request may be outdated, so it is ignored here.
        """
        if shard is None or shard not in self._owner_by_shard:
            return None
        self._last_message_at_by_shard[shard] = now
        return self._owner_by_shard[shard]

    def _owner(self, shard: placement_messages.Shard, now: float) -> shard_owner.ShardOwner:
        """Return a shard's owner, with the shard's upstreams by the latest shard count received.

        The count does not come from the upstreams known here: a replica that is cut off knows
        fewer, and would look for those of a shard that does not exist.
        """
        self._last_message_at_by_shard[shard] = now
        owner = self._owner_by_shard.get(shard)
        if owner is None:
            owner = shard_owner.ShardOwner(self._gate)
            owner.use_engine(self._engine_by_service.get(shard.service))
            owner.expect_upstreams(self._complete_at)
            self._owner_by_shard[shard] = owner
        if self._count_by_shard.get(shard) != shard.count:
            self._count_by_shard[shard] = shard.count
            owner.use_upstreams(self._present_in(shard))
        owner.gate.share = self._shares.share(shard, now)
        return owner

    def _present_in(
        self, shard: placement_messages.Shard
    ) -> dict[str, upstream_types.Announcement]:
        present = self._present_by_service.get(shard.service, {})
        counted = dataclasses.replace(shard, count=self._count_by_shard[shard])
        return {
            upstream_id: announcement
            for upstream_id, announcement in present.items()
            if counted.has(upstream_id)
        }

    def _sends(self, answers: Iterable[placement_decision.Decision]) -> tuple[node.Send, ...]:
        answers = tuple(answers)
        self._decisions += answers
        for answer in answers:
            if isinstance(answer.message, _TERMINAL_ANSWERS):
                self._shard_by_ticket.pop(answer.message.ticket_id, None)
        return tuple(node.Send(answer.entry_id, answer.message) for answer in answers)
