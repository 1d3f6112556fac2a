"""Ask the owner of placement where to send requests, and do without it while it is silent."""

from __future__ import annotations

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Any

import curio

from medlarfork import logs
from medlarfork.backpressure import send_gate
from medlarfork.gateway import entry_session, request_hold
from medlarfork.placement import local_choice, placement_messages

_log = logging.getLogger(__name__)

OWNER_TIMEOUT_S = 0.15
"""How long the owner may take to say anything, in seconds: many round trips, and little of the
time within which callers expect an answer."""

QUEUE_CHECK_S = 0.25
"""How often a request that waits at the owner checks that the owner is there, in seconds."""

MIN_START_MS = 1.0
"""Least bound that a second shard is given, in milliseconds; 0 stands for a first question."""

Send = Callable[[str, Any], bool]
"""Sends a message to a replica; returns whether it was queued."""


@dataclasses.dataclass(slots=True)
class _Ticket:
    request: placement_messages.PlaceRequest
    owner_id: str = ""
    asked_count: int = 0
    is_queued: bool = False
    has_started: bool = False
    answer: (
        placement_messages.Placed | placement_messages.PlaceRefused | placement_messages.Busy | None
    ) = None
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)
    closed_ms_by_shard: dict[placement_messages.Shard, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_closed(self) -> bool:
        """Return whether it was refused since no upstream of the shard takes it now."""
        refused = self.answer
        return (
            isinstance(refused, placement_messages.PlaceRefused)
            and refused.cause is placement_messages.RefusalCause.CLOSED
        )

    def turn_from_closed(self, shards: tuple[placement_messages.Shard, ...]) -> bool:
        """Ask a shard next that has not refused; return False if all have.

        The refusal then says when the first of them takes the request.
        """
        refused = self.answer
        if not isinstance(refused, placement_messages.PlaceRefused):
            return False
        closed = self.closed_ms_by_shard
        closed[self.request.target_shard] = refused.retry_after_ms
        left = [shard for shard in shards if shard not in closed]
        if not left or self.request.trial_key:
            self.answer = dataclasses.replace(refused, retry_after_ms=min(closed.values()))
            return False
        self.request = dataclasses.replace(
            self.request, shard=left[0], other_shard=None, begins_within_ms=0.0, busy_shard=None
        )
        self._forget_answer()
        return True

    def turn(self, begins_ms: float) -> None:
        """Ask the other shard next: the one that may be free, and then the first one again.

        Args:
            begins_ms: When the request would begin at the shard that was asked.
        """
        request = self.request
        was_first = request.begins_within_ms == 0
        self.request = dataclasses.replace(
            request,
            shard=request.other_shard,
            other_shard=request.shard if was_first else None,
            begins_within_ms=max(begins_ms, MIN_START_MS) if was_first else 0.0,
            busy_shard=None if was_first else request.shard,
        )
        self._forget_answer()

    def _forget_answer(self) -> None:
        """Forget who was asked and what was answered, since another shard is asked next."""
        self.owner_id = ""
        self.answer = None
        self.is_queued = False


class OwnerClient:
    """Hold the tickets of this entry host: those that wait and those that run."""

    def __init__(
        self,
        entry_id: str,
        session: entry_session.EntrySession,
        send: Send,
        holds: request_hold.HoldQueue,
        gate: send_gate.SendGate,
        send_signals: Callable[[str], None],
    ) -> None:
        """Wire what it uses.

        Args:
            entry_id: Names this entry host.
            session: Knows who owns what.
            send: Sends a message to a replica.
            holds: Holds requests for which no upstream is known yet.
            gate: Says when an upstream may get a request that is placed here.
            send_signals: Tells a replica which signals of upstreams this host knows.
        """
        self._tell_signals = send_signals
        self._gate = gate
        self._holds = holds
        self._entry_id = entry_id
        self._session = session
        self._send = send
        self._tickets = 0
        self._prefix = f"{entry_id}-{time.time_ns():x}"
        self._ticket_by_id: dict[str, _Ticket] = {}
        self._runs_by_upstream: dict[str, int] = {}
        self._told_owner_by_shard: dict[placement_messages.Shard, str] = {}
        self._chosen_count = 0
        self._belief_by_service: dict[str, placement_messages.EngineEstimate] = {}
        self.local_placements = 0

    def new_ticket_id(self) -> str:
        """Return an id that was never used before."""
        self._tickets += 1
        return f"{self._prefix}-{self._tickets}"

    async def place(
        self, request: placement_messages.PlaceRequest
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        """Return where to send a request, or that it can't be served in time."""
        ticket = _Ticket(request)
        self._ticket_by_id[request.ticket_id] = ticket
        try:
            answer = await self._ask(ticket)
        except BaseException:
            self.end(request.ticket_id, placement_messages.RunEnd.CANCELLED, 0.0)
            raise
        ticket.answer = answer
        if isinstance(answer, placement_messages.PlaceRefused):
            self._ticket_by_id.pop(request.ticket_id, None)
        else:
            runs = self._runs_by_upstream
            runs[answer.upstream_id] = runs.get(answer.upstream_id, 0) + 1
        return answer

    def report_first_event(self, ticket_id: str, after_ms: float) -> None:
        """Report a stream's first event."""
        ticket = self._ticket_by_id.get(ticket_id)
        if ticket is None:
            return
        ticket.has_started = True
        if ticket.owner_id:
            self._send(ticket.owner_id, placement_messages.FirstEvent(ticket_id, after_ms))

    def end(
        self,
        ticket_id: str,
        end: placement_messages.RunEnd,
        after_ms: float,
        pauses: placement_messages.InterEventGaps | None = None,
    ) -> None:
        """Report that a placed request has ended, or is not asked for any more."""
        ticket = self._ticket_by_id.pop(ticket_id, None)
        if ticket is None:
            return
        if isinstance(ticket.answer, placement_messages.Placed):
            upstream_id = ticket.answer.upstream_id
            left = self._runs_by_upstream.get(upstream_id, 1) - 1
            self._runs_by_upstream[upstream_id] = left
            if left <= 0:
                del self._runs_by_upstream[upstream_id]
        if ticket.owner_id:
            ended = placement_messages.RunEnded(ticket_id, end, after_ms, pauses)
            self._send(ticket.owner_id, ended)

    async def take(self, sender: str, message: Any) -> None:
        """Take an owner's answer."""
        self._session.record_contact(sender, _now())
        ticket = self._ticket_by_id.get(message.ticket_id)
        if ticket is None or ticket.answer is not None or sender != ticket.owner_id:
            if isinstance(message, placement_messages.Placed) and not _runs_by(ticket, sender):
                self._give_back(sender, message.ticket_id)
            return
        match message:
            case placement_messages.Queued():
                ticket.is_queued = True
            case placement_messages.Placed(belief=belief) if belief is not None:
                ticket.answer = message
                self._belief_by_service[ticket.request.service] = belief
            case _:
                ticket.answer = message
        await ticket.changed.set()

    def notify_owners(self, now: float) -> None:
        """Tell replicas that have just become owners which requests run where."""
        for shard in tuple(self._told_owner_by_shard):
            self._tell_owner(self._session.resolve_shard(shard), now)

    def report_moved_runs(self, now: float) -> None:
        """Tell owners of requests that run on upstreams which have changed their shard.

        Both sides would count them wrongly: the one that placed them hears of their ends, the one
        that places there now would not know of them.
        """
        for ticket in tuple(self._ticket_by_id.values()):
            placed = ticket.answer
            if not isinstance(placed, placement_messages.Placed) or not ticket.owner_id:
                continue
            upstream = self._session.find_upstream(placed.upstream_id)
            if upstream is None:
                continue
            shard = self._session.shard_of(upstream)
            owner_id = self._tell_owner(shard, now)
            if owner_id and (owner_id, shard) != (ticket.owner_id, ticket.request.target_shard):
                self._tell_running(ticket, shard, owner_id)

    async def wake_queued(self) -> None:
        """Have those that wait at an owner see whether it still knows them."""
        for ticket in tuple(self._ticket_by_id.values()):
            if ticket.is_queued and ticket.asked_count != self._chosen_count:
                await ticket.changed.set()

    def _tell_owner(self, shard: placement_messages.Shard, now: float) -> str:
        """Return the owner of a shard, after telling it if it has just become so."""
        owner_id = self._session.owner(shard, now)
        told = self._told_owner_by_shard.get(shard, "")
        if not owner_id or owner_id == told:
            return owner_id
        if told:
            self._send(told, placement_messages.OwnerChosen(shard, is_chosen=False))
        self._told_owner_by_shard[shard] = owner_id
        self._chosen_count += 1
        logs.event(
            _log,
            "owner_chosen",
            service=shard.service,
            shard=shard.index,
            replica=owner_id,
            before=told or None,
        )
        # Before the first question: an owner that has just started may know none of them.
        self._tell_signals(owner_id)
        belief = self._belief_by_service.get(shard.service)
        self._send(owner_id, placement_messages.OwnerChosen(shard, True, belief))
        for ticket in tuple(self._ticket_by_id.values()):
            self._tell_running(ticket, shard, owner_id)
        return owner_id

    def _tell_running(
        self, ticket: _Ticket, shard: placement_messages.Shard, owner_id: str
    ) -> None:
        placed = ticket.answer
        if not isinstance(placed, placement_messages.Placed):
            return
        if ticket.request.service != shard.service or not shard.has(placed.upstream_id):
            return
        if (owner_id, shard) != (ticket.owner_id, ticket.request.target_shard):
            self._withdraw(ticket)
        request = dataclasses.replace(ticket.request, shard=shard)
        ticket.request = request
        ticket.owner_id = owner_id
        running = placement_messages.StillRunning(request, placed.upstream_id, ticket.has_started)
        self._send(owner_id, running)

    def _give_back(self, owner_id: str, ticket_id: str) -> None:
        """Free a slot that was granted after the request had gone, or turned to another owner."""
        ended = placement_messages.RunEnded(ticket_id, placement_messages.RunEnd.CANCELLED, 0.0)
        self._send(owner_id, ended)

    def _withdraw(self, ticket: _Ticket) -> None:
        """Tell the owner that was asked, if any, that it is not asked any more."""
        if ticket.owner_id:
            self._give_back(ticket.owner_id, ticket.request.ticket_id)
            ticket.owner_id = ""

    async def _ask(
        self, ticket: _Ticket
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        until = _now() + ticket.request.left_ms / 1000.0
        if not self._session.has_view:
            # Owners place on upstreams that a host which has just started doesn't know yet.
            await self._holds.wait(lambda: self._session.has_view, until - _now())
        while _now() < until:
            shard = self._session.resolve_shard(ticket.request.target_shard)
            ticket.request = dataclasses.replace(ticket.request, shard=shard)
            owner_id = self._tell_owner(shard, _now())
            if owner_id and not self._ask_owner(ticket, owner_id):
                continue
            is_heard = bool(owner_id) and await self._wait_answer(ticket, until)
            if isinstance(ticket.answer, placement_messages.Busy):
                ticket.turn(ticket.answer.begins_ms)
                continue
            if is_heard and ticket.answer is not None:
                if ticket.is_closed:
                    shards = self._session.service_shards(ticket.request.service)
                    if ticket.turn_from_closed(shards):
                        continue
                return ticket.answer
            if is_heard:
                continue
            if ticket.request.begins_within_ms > 0:
                self._withdraw(ticket)
                ticket.turn(0.0)
                continue
            if self._session.is_unresponsive(owner_id, _now()):
                self._pass_over(owner_id, "silent")
                continue
            if ticket.request.trial_key:
                return self._refuse_trial(ticket)
            if not await self._hold(ticket.request.service, until):
                return self._choose_alone(ticket)
        why = "its time ran out while it waited"
        return placement_messages.PlaceRefused(ticket.request.ticket_id, local_choice.RETRY_MS, why)

    def _ask_owner(self, ticket: _Ticket, owner_id: str) -> bool:
        """Ask an owner; return False if there is no connection to it, which passes it over."""
        if not self._send(owner_id, ticket.request):
            self._pass_over(owner_id, "no connection")
            return False
        ticket.owner_id = owner_id
        ticket.asked_count = self._chosen_count
        return True

    def _pass_over(self, owner_id: str, why: str) -> None:
        if self._session.mark_unreachable(owner_id):
            logs.event(_log, "owner_passed_over", replica=owner_id, why=why)

    async def _hold(self, service: str, until: float) -> bool:
        """Wait while no upstream of the service is known; return whether one became known."""
        if self._knows_upstream(service):
            return False
        return await self._holds.wait(lambda: self._knows_upstream(service), until - _now())

    def _knows_upstream(self, service: str) -> bool:
        return any(item.service == service for item in self._session.upstream_by_id.values())

    async def _wait_answer(self, ticket: _Ticket, until: float) -> bool:
        """Wait for an answer; return False if the owner has to be done without.

        Returns True without an answer if another owner is to be asked.
        """
        limit = min(until, _now() + OWNER_TIMEOUT_S)
        while ticket.answer is None:
            if not ticket.is_queued and _now() >= limit:
                return False
            if ticket.is_queued and _now() >= until:
                return True
            owner_id = self._session.owner(ticket.request.target_shard, _now())
            # One that was chosen anew, if only for another shard, may have dropped what waited.
            is_forgotten = ticket.asked_count != self._chosen_count
            if ticket.is_queued and (owner_id != ticket.owner_id or is_forgotten):
                ticket.is_queued = False
                return True
            pause = QUEUE_CHECK_S if ticket.is_queued else limit - _now()
            ticket.changed.clear()
            await curio.ignore_after(max(pause, 0.001), ticket.changed.wait)
        return True

    def _refuse_trial(self, ticket: _Ticket) -> placement_messages.PlaceRefused:
        """Refuse a trial that no replica grants: other entry hosts may begin one as well."""
        self._withdraw(ticket)
        why = "no replica says whether it may run, and upstreams ended while they ran it"
        return placement_messages.PlaceRefused(ticket.request.ticket_id, local_choice.RETRY_MS, why)

    def _choose_alone(
        self, ticket: _Ticket
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        request = ticket.request
        self._withdraw(ticket)
        self.local_placements += 1
        upstreams = tuple(
            item
            for item in self._session.upstream_by_id.values()
            if item.service == request.service and not self._gate.is_leaving(item.upstream_id)
        )
        return local_choice.place(
            request,
            upstreams,
            self._runs_by_upstream,
            self._gate,
            entry_id=self._entry_id,
            entry_hosts=self._session.entry_hosts,
            now=_now(),
        )


def _runs_by(ticket: _Ticket | None, owner_id: str) -> bool:
    """Say whether a request runs where this owner placed it."""
    return ticket is not None and ticket.answer is not None and ticket.owner_id == owner_id


def _now() -> float:
    return time.monotonic()
