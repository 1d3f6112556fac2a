"""Own the placement of all services while this replica leads."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

from medlarfork import node
from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, service_owner
from medlarfork.routes import routing


class Owner:
    """Give each question to its service's owner; pure."""

    def __init__(self) -> None:
        """Start without services and upstreams."""
        self._owner_by_service: dict[str, service_owner.ServiceOwner] = {}
        self._engine_by_service: dict[str, routing.EngineFacts | None] = {}
        self._service_by_ticket: dict[str, str] = {}
        self._decided: list[service_owner.Answer] = []

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Take what a new version of the routing says of services."""
        for service in services:
            self._engine_by_service[service.name] = service.engine
            if service.name in self._owner_by_service:
                self._owner_by_service[service.name].use_engine(service.engine)

    def use_upstreams(
        self, present: tuple[upstream_types.Announcement, ...], now: float
    ) -> tuple[node.Send, ...]:
        """Take the view of the upstreams; those that wait may now be placed."""
        by_service: dict[str, dict[str, upstream_types.Announcement]] = collections.defaultdict(
            dict
        )
        for announcement in present:
            by_service[announcement.service][announcement.upstream_id] = announcement
        answers: list[service_owner.Answer] = []
        for service in {*by_service, *self._owner_by_service}:
            owner = self._owner(service)
            owner.use_upstreams(by_service.get(service, {}))
            answers += owner.serve_waiting(now)
        return self._sends(answers)

    def handle(self, entry_id: str, message: Any, now: float) -> tuple[node.Send, ...]:
        """Take a message of an entry host and return the answers."""
        match message:
            case placement_messages.PlaceRequest(ticket_id, service):
                self._service_by_ticket[ticket_id] = service
                return self._sends(self._owner(service).place(entry_id, message, now))
            case placement_messages.FirstEvent(ticket_id):
                service = self._service_by_ticket.get(ticket_id)
                if service is not None:
                    self._owner(service).on_first_event(message, now)
            case placement_messages.RunEnded(ticket_id):
                service = self._service_by_ticket.pop(ticket_id, None)
                if service is not None:
                    return self._sends(self._owner(service).on_ended(message, now))
            case placement_messages.OwnerChosen():
                return self.forget_entry(entry_id, now)
            case placement_messages.StillRunning(request):
                self._service_by_ticket[request.ticket_id] = request.service
                self._owner(request.service).on_still_running(entry_id, message, now)
        return ()

    @property
    def waiting(self) -> int:
        """Return how many requests wait; while any does, ``on_time`` has to be called often."""
        return sum(owner.waiting for owner in self._owner_by_service.values())

    def on_time(self, now: float) -> tuple[node.Send, ...]:
        """Refuse those whose time is over."""
        answers: list[service_owner.Answer] = []
        for owner in self._owner_by_service.values():
            if owner.waiting:
                answers += owner.serve_waiting(now)
        return self._sends(answers)

    def forget_entry(self, entry_id: str, now: float) -> tuple[node.Send, ...]:
        """Free what a lost entry host held."""
        answers: list[service_owner.Answer] = []
        for owner in self._owner_by_service.values():
            answers += owner.forget_entry(entry_id, now)
        return self._sends(answers)

    def take_decisions(self) -> tuple[service_owner.Answer, ...]:
        """Return what was decided since the last call, for the log."""
        decided, self._decided = tuple(self._decided), []
        return decided

    def _owner(self, service: str) -> service_owner.ServiceOwner:
        owner = self._owner_by_service.get(service)
        if owner is None:
            owner = service_owner.ServiceOwner()
            owner.use_engine(self._engine_by_service.get(service))
            self._owner_by_service[service] = owner
        return owner

    def _sends(self, answers: Iterable[service_owner.Answer]) -> tuple[node.Send, ...]:
        answers = tuple(answers)
        self._decided += answers
        for answer in answers:
            if isinstance(answer.message, placement_messages.PlaceRefused):
                self._service_by_ticket.pop(answer.message.ticket_id, None)
        return tuple(node.Send(answer.entry_id, answer.message) for answer in answers)
