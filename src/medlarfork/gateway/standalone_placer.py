"""Places the requests of an entry host without an owner, within its share of the slots."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

import curio

from medlarfork import logs, timeouts
from medlarfork.backpressure import send_gate
from medlarfork.coordination import upstream_types
from medlarfork.gateway import entry_session, placement_ticket
from medlarfork.placement import placement_messages, reported_load, standalone_queue
from medlarfork.routes import routing

_log = logging.getLogger(__name__)

MIN_PAUSE_S = 0.001
"""Shortest wait for a slot, in seconds: a limit that has just ended is checked after it."""


class StandalonePlacer:
    """The queue of requests that wait for this host's share, and the tickets in it.

    Attributes:
        slots: This host's runs at the upstreams, and its shares of them.
    """

    def __init__(
        self, entry_id: str, session: entry_session.EntrySession, gate: send_gate.SendGate
    ) -> None:
        """Create an empty queue.

        Args:
            entry_id: Id of this entry host.
            session: Knows the upstreams, the owners and the number of entry hosts.
            gate: Decides when an upstream may get a request.
        """
        self._session = session
        self._gate = gate
        self._queue = standalone_queue.StandaloneQueue(
            entry_id, gate, self._service_upstreams, lambda: session.entry_hosts
        )
        self.slots = self._queue.slots

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return self._queue.waiting

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Use the declared memory of the services' engines."""
        self.slots.use_engines(
            {item.name: item.engine.memory_tokens for item in services if item.engine is not None}
        )

    def use_view(self, now: float) -> None:
        """Use changed upstreams for the requests that wait."""
        self._queue.use_view(tuple(self._session.upstream_by_id.values()), now)

    def record_load(self, upstream_id: str, load: reported_load.ReportedLoad, now: float) -> None:
        """Record the load that an upstream stated."""
        upstream = self._session.find_upstream(upstream_id)
        if upstream is not None:
            self._queue.record_load(upstream, load, now)

    def record_first_event(self, request: placement_messages.PlaceRequest, after_ms: float) -> None:
        """Record the time to the first event of a stream, whoever placed it."""
        self._queue.record_first_event(request, after_ms)

    def record_end(
        self,
        upstream_id: str,
        request: placement_messages.PlaceRequest,
        end: placement_messages.RunEnd,
        after_ms: float,
        now: float,
    ) -> None:
        """Record the end of a run, whoever placed it."""
        self._queue.record_end(upstream_id, request, end, after_ms, now)

    async def place(
        self, ticket: placement_ticket.Ticket, owner_id: str, until: float
    ) -> placement_messages.Placed | placement_messages.PlaceRefused | None:
        """Place a request, after a wait if need be.

        Args:
            ticket: The request.
            owner_id: The owner that did not reply to it; empty for none.
            until: The caller's deadline, in monotonic seconds.

        Returns:
            The answer; None if the owner is to be asked again.
        """
        changed = curio.UniversalEvent()
        ticket.silent_owner_id = owner_id
        ticket.waiting = waiting = self._queue.place(
            ticket.request,
            arrived_at=ticket.arrived_at,
            deadline_at=until,
            first_by_at=ticket.first_by_at,
            now=time.monotonic(),
            notify=changed.set,
        )
        await self._wait_for_slot(waiting, changed)
        match waiting.outcome:
            case standalone_queue.Granted() as granted:
                _log_placed(granted)
                return granted.placed
            case placement_messages.PlaceRefused() as refused:
                return refused
        ticket.leave_local_queue(time.monotonic())
        return None

    def release_for_reply(self, owner_id: str, tickets: Iterable[placement_ticket.Ticket]) -> None:
        """Release the requests that an owner left unanswered, since it replies again."""
        for ticket in self._waiting_tickets(tickets):
            if ticket.silent_owner_id == owner_id:
                self._release(ticket)

    def release_for_new_owners(
        self, tickets: Iterable[placement_ticket.Ticket], now: float
    ) -> None:
        """Release the requests that wait at this host if there is an owner that they did not ask.

        One that did not reply to a request gets it again only once it has replied to another one:
        otherwise a slow owner would get the same requests again and again.
        """
        owner_by_shard: dict[placement_messages.Shard, str] = {}
        for ticket in self._waiting_tickets(tickets):
            shard = ticket.request.target_shard
            if shard not in owner_by_shard:
                owner_by_shard[shard] = self._session.owner(shard, now)
            owner_id = owner_by_shard[shard]
            if owner_id == ticket.silent_owner_id:
                continue
            ticket.silent_owner_id = owner_id
            if owner_id:
                self._release(ticket)

    def _waiting_tickets(
        self, tickets: Iterable[placement_ticket.Ticket]
    ) -> list[placement_ticket.Ticket]:
        """Return those of the tickets that wait for a slot."""
        if not self._queue.waiting:
            return []
        return [
            ticket
            for ticket in tickets
            if ticket.waiting is not None and not ticket.waiting.is_done
        ]

    def _release(self, ticket: placement_ticket.Ticket) -> None:
        """Release a request that waits, to ask an owner."""
        if ticket.waiting is not None:
            self._queue.release(ticket.waiting)

    async def _wait_for_slot(
        self, waiting: standalone_queue.Waiting, changed: curio.UniversalEvent
    ) -> None:
        """Wait until a request has left the queue.

        Args:
            waiting: The request.
            changed: Set when it is to be checked again.
        """
        try:
            while not waiting.is_done:
                check_at = self._queue.check(waiting, time.monotonic())
                if not waiting.is_done:
                    changed.clear()
                    pause_s = max(check_at - time.monotonic(), MIN_PAUSE_S)
                    await timeouts.call_until(pause_s, changed.wait)
        except BaseException:
            self._queue.withdraw(waiting, time.monotonic())
            raise

    def _service_upstreams(self, service: str) -> tuple[upstream_types.Announcement, ...]:
        """Return the upstreams of a service that are not leaving."""
        return tuple(
            item
            for item in self._session.upstream_by_id.values()
            if item.service == service and not self._gate.is_leaving(item.upstream_id)
        )


def _log_placed(granted: standalone_queue.Granted) -> None:
    """Log a placement without an owner, with the share and the report that it rests on."""
    allowance = granted.allowance
    age_s = allowance.report_age_s
    logs.event(
        _log,
        "placed_locally",
        ticket=granted.placed.ticket_id,
        upstream=granted.placed.upstream_id,
        running=granted.running,
        share=round(allowance.share, 3),
        slots=allowance.slots,
        report_ms=None if age_s is None else round(age_s * 1000.0),
        waited_ms=round(granted.waited_s * 1000.0, 1),
    )
