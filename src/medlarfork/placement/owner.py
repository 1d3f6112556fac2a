"""Own the placement of the shards for which entry hosts ask this replica."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from typing import Any

from medlarfork import node
from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.placement import (
    limit_share,
    placement_decision,
    placement_messages,
    shard_owner,
)
from medlarfork.routes import routing

IDLE_SHARD_S = 30.0
"""Time without a question after which a shard's owner is dropped, in seconds: longer than any
request takes, so that nothing runs there any more."""


_TERMINAL_ANSWERS = (placement_messages.PlaceRefused, placement_messages.Busy)
"""Answers after which nothing is kept of a question."""


class PlacementOwner:
    """Give each question to its shard's owner; pure."""

    def __init__(self, gate: send_gate.SendGate | None = None) -> None:
        """Start without services and upstreams.

        Args:
            gate: Says which upstreams may get a request; None where none asks for anything.
        """
        self._gate = gate
        self._shares = limit_share.LimitShare()
        self._owner_by_shard: dict[placement_messages.Shard, shard_owner.ShardOwner] = {}
        self._asked_at_by_shard: dict[placement_messages.Shard, float] = {}
        self._count_by_shard: dict[placement_messages.Shard, int] = {}
        self._engine_by_service: dict[str, routing.EngineFacts | None] = {}
        self._present_by_service: dict[str, dict[str, upstream_types.Announcement]] = {}
        self._shard_by_ticket: dict[str, placement_messages.Shard] = {}
        self._decided: list[placement_decision.Decision] = []

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Take what a new version of the routing says of services."""
        for service in services:
            self._engine_by_service[service.name] = service.engine
        for shard, owner in self._owner_by_shard.items():
            owner.use_engine(self._engine_by_service.get(shard.service))

    def use_upstreams(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[node.Send, ...]:
        """Take the view of the upstreams; those that wait may now be placed."""
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
        """Take which entry hosts are there now, and the most of them in the last seconds."""
        self._shares.use_entries(entry_ids, max_entries)

    def handle(self, entry_id: str, message: Any, now: float) -> tuple[node.Send, ...]:
        """Take a message of an entry host and return the answers."""
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
            case placement_messages.OwnerChosen(shard, is_chosen, belief):
                self._shares.record_choice(shard, entry_id, is_chosen=is_chosen, now=now)
                owner = self._owner(shard, now)
                if belief is not None:
                    owner.estimator.adopt(belief)
                return self._sends(owner.release_entry(entry_id, now))
            case placement_messages.StillRunning(request):
                self._shard_by_ticket[request.ticket_id] = request.target_shard
                owner = self._owner(request.target_shard, now)
                owner.on_still_running(entry_id, message, now)
        return ()

    @property
    def waiting(self) -> int:
        """Return how many requests wait; while any does, ``on_time`` has to be called often."""
        return sum(owner.waiting for owner in self._owner_by_shard.values())

    def offered(self) -> tuple[placement_messages.ServiceLoad, ...]:
        """Return the work that was offered to each service whose engines read prompts."""
        read_ms: collections.Counter[str] = collections.Counter()
        requests: collections.Counter[str] = collections.Counter()
        for shard, owner in self._owner_by_shard.items():
            if self._engine_by_service.get(shard.service) is not None:
                read_ms[shard.service] += owner.offered_prefill_ms
                requests[shard.service] += owner.waiting + owner.running
        return tuple(
            placement_messages.ServiceLoad(service, read_ms[service], requests[service])
            for service in read_ms
        )

    def on_time(self, now: float) -> tuple[node.Send, ...]:
        """Place those that can start now, and refuse those whose time is over."""
        answers: list[placement_decision.Decision] = []
        for shard, owner in self._owner_by_shard.items():
            if owner.waiting:
                owner.gate.share = self._shares.share(shard, now)
                answers += owner.serve_due(now)
        return self._sends(answers)

    def release_entry(self, entry_id: str, now: float) -> tuple[node.Send, ...]:
        """Free what a lost entry host held."""
        answers: list[placement_decision.Decision] = []
        for owner in self._owner_by_shard.values():
            answers += owner.release_entry(entry_id, now)
        return self._sends(answers)

    def tidy(self, now: float) -> int:
        """Drop what nobody will report or ask for any more; return how many runs that ended."""
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
        """Drop the owners of shards for which nobody has asked for long."""
        idle = {
            shard
            for shard, asked_at in self._asked_at_by_shard.items()
            if now - asked_at > IDLE_SHARD_S
        }
        if not idle:
            return
        for shard in idle:
            del self._asked_at_by_shard[shard]
            del self._owner_by_shard[shard]
            del self._count_by_shard[shard]
            self._shares.evict(shard)
        self._shard_by_ticket = {
            ticket_id: shard
            for ticket_id, shard in self._shard_by_ticket.items()
            if shard not in idle
        }

    def drain_decisions(self) -> tuple[placement_decision.Decision, ...]:
        """Return what was decided since the last call, for the log."""
        decided, self._decided = tuple(self._decided), []
        return decided

    def _owner_of(
        self, shard: placement_messages.Shard | None, now: float
    ) -> shard_owner.ShardOwner | None:
        """Return the owner of a shard that was asked before, for what is told of such a question.

        The question named the number of shards that there was then, which tells nothing any more.
        """
        if shard is None or shard not in self._owner_by_shard:
            return None
        self._asked_at_by_shard[shard] = now
        return self._owner_by_shard[shard]

    def _owner(self, shard: placement_messages.Shard, now: float) -> shard_owner.ShardOwner:
        """Return a shard's owner, which takes the shard's upstreams by the number last told.

        Not by the upstreams that are present here: a replica that is cut off knows fewer, and would
        look for those of a shard that there isn't.
        """
        self._asked_at_by_shard[shard] = now
        owner = self._owner_by_shard.get(shard)
        if owner is None:
            owner = shard_owner.ShardOwner(self._gate)
            owner.use_engine(self._engine_by_service.get(shard.service))
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
        self._decided += answers
        for answer in answers:
            if isinstance(answer.message, _TERMINAL_ANSWERS):
                self._shard_by_ticket.pop(answer.message.ticket_id, None)
        return tuple(node.Send(answer.entry_id, answer.message) for answer in answers)
