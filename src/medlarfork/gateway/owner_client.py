"""Requests placement from the owning replica, and places locally while no owner replies."""

from __future__ import annotations

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Any

from medlarfork import logs, timeouts
from medlarfork.backpressure import send_gate
from medlarfork.gateway import (
    entry_session,
    given_promises,
    placement_ticket,
    request_hold,
    standalone_placer,
)
from medlarfork.placement import local_choice, placement_messages, reported_load
from medlarfork.routes import routing

_log = logging.getLogger(__name__)

OWNER_TIMEOUT_S = 0.15
"""Timeout for the owner's first reply, in seconds: many round trips, but a small part of the time
within which callers expect an answer."""

QUEUE_CHECK_S = 0.25
"""How often a request that is queued at the owner checks that it is still the owner, in seconds."""

MAX_SPEEDS = 1024
"""Upstreams of a service whose speed is remembered: several times as many as a service has, so that
only those that have ended are dropped."""

Send = Callable[[str, Any], bool]
"""Sends a message to a replica; returns whether it was queued."""


class OwnerClient:
    """Manages the placement tickets of this entry host, both queued and running."""

    def __init__(
        self,
        entry_id: str,
        session: entry_session.EntrySession,
        send: Send,
        hold_queue: request_hold.HoldQueue,
        gate: send_gate.SendGate,
        send_signals: Callable[[str], None],
    ) -> None:
        """Create a client without tickets.

        Args:
            entry_id: Id of this entry host.
            session: Knows the owner of each shard.
            send: Sends a message to a replica.
            hold_queue: Holds requests while no upstream of their service is known.
            gate: Decides when an upstream may get a request that is placed locally.
            send_signals: Sends a replica the backpressure signals that this host knows.
        """
        self._send_signals = send_signals
        self._hold_queue = hold_queue
        self._session = session
        self._send = send
        self._tickets = 0
        self._prefix = f"{entry_id}-{time.time_ns():x}"
        self._ticket_by_id: dict[str, placement_ticket.Ticket] = {}
        self._local = standalone_placer.StandalonePlacer(entry_id, session, gate)
        self._notified_owner_by_shard: dict[placement_messages.Shard, str] = {}
        self._owner_generation = 0
        self._estimate_by_service: dict[str, placement_messages.EngineEstimate] = {}
        self._speeds_by_service: dict[str, dict[str, float]] = {}
        self._promises = given_promises.GivenPromises()
        self.local_placements = 0

    @property
    def local_waiting(self) -> int:
        """Return how many requests wait at this host for a slot of its share."""
        return self._local.waiting

    def use_services(self, services: tuple[routing.Service, ...]) -> None:
        """Use the declared memory of the services' engines."""
        self._local.use_services(services)

    def record_load(self, upstream_id: str, load: reported_load.ReportedLoad) -> None:
        """Record the load that an upstream stated."""
        self._local.record_load(upstream_id, load, _now())

    def new_ticket_id(self) -> str:
        """Return a unique ticket id."""
        self._tickets += 1
        return f"{self._prefix}-{self._tickets}"

    async def place(
        self, request: placement_messages.PlaceRequest
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        """Return where to send a request, or a refusal if it can't be served in time."""
        ticket = placement_ticket.Ticket(request)
        self._ticket_by_id[request.ticket_id] = ticket
        try:
            answer = await self._find_placement(ticket)
        except BaseException:
            self.report_end(request.ticket_id, placement_messages.RunEnd.CANCELLED, 0.0)
            raise
        ticket.answer = answer
        if isinstance(answer, placement_messages.PlaceRefused):
            self._ticket_by_id.pop(request.ticket_id, None)
            self._promises.record(request, answer, _now())
        elif ticket.waiting is None:
            self._local.slots.record_start(answer.upstream_id, request)
        return answer

    def report_first_event(
        self, ticket_id: str, after_ms: float, load: reported_load.ReportedLoad | None = None
    ) -> None:
        """Report a stream's first event to the owner."""
        ticket = self._ticket_by_id.get(ticket_id)
        if ticket is None:
            return
        ticket.has_started = True
        self._local.record_first_event(ticket.request, after_ms)
        if ticket.owner_id:
            self._send(ticket.owner_id, placement_messages.FirstEvent(ticket_id, after_ms, load))

    def report_end(
        self,
        ticket_id: str,
        end: placement_messages.RunEnd,
        after_ms: float,
        pauses: placement_messages.InterEventGaps | None = None,
        load: reported_load.ReportedLoad | None = None,
    ) -> None:
        """Report that a placed request has ended, or that its placement is no longer needed."""
        ticket = self._ticket_by_id.pop(ticket_id, None)
        if ticket is None:
            return
        if isinstance(ticket.answer, placement_messages.Placed):
            upstream_id = ticket.answer.upstream_id
            self._local.record_end(upstream_id, ticket.request, end, after_ms, _now())
        if ticket.owner_id:
            ended = placement_messages.RunEnded(ticket_id, end, after_ms, pauses, load)
            self._send(ticket.owner_id, ended)

    async def handle_reply(self, sender: str, message: Any) -> None:
        """Handle an owner's reply."""
        self._session.record_contact(sender, _now())
        ticket = self._ticket_by_id.get(message.ticket_id)
        if ticket is None or ticket.answer is not None or sender != ticket.owner_id:
            if isinstance(message, placement_messages.Placed) and not _was_placed_by(
                ticket, sender
            ):
                self._release_grant(sender, message.ticket_id)
            return
        match message:
            case placement_messages.Queued():
                ticket.is_queued = True
            case placement_messages.Placed(belief=estimate):
                ticket.answer = message
                self._remember_speed(ticket.request.service, message)
                if estimate is not None:
                    self._estimate_by_service[ticket.request.service] = estimate
            case _:
                ticket.answer = message
        await ticket.changed.set()
        self._local.release_for_reply(sender, self._ticket_by_id.values())

    def _remember_speed(self, service: str, placed: placement_messages.Placed) -> None:
        """Remember an upstream's relative time, unless it is the usual."""
        speeds = self._speeds_by_service.setdefault(service, {})
        speeds.pop(placed.upstream_id, None)
        if placed.speed != 1.0:
            speeds[placed.upstream_id] = placed.speed
            if len(speeds) > MAX_SPEEDS:
                del speeds[next(iter(speeds))]

    def _speeds_of(
        self, shard: placement_messages.Shard
    ) -> tuple[placement_messages.UpstreamSpeed, ...]:
        speeds = self._speeds_by_service.get(shard.service, {})
        return tuple(
            placement_messages.UpstreamSpeed(upstream_id, factor)
            for upstream_id, factor in speeds.items()
            if shard.has(upstream_id)
        )

    def notify_owners(self, now: float) -> None:
        """Notify replicas that have just become owners, with the requests that are running."""
        for shard in tuple(self._notified_owner_by_shard):
            self._notify_owner(self._session.resolve_shard(shard), now)

    def report_moved_runs(self, now: float) -> None:
        """Report running requests to the new owners of upstreams that have changed their shard.

        Otherwise both owners would count them wrongly: the old one would get the reports of their
        ends, and the new one would not know of them.
        """
        for ticket in tuple(self._ticket_by_id.values()):
            placed = ticket.answer
            if not isinstance(placed, placement_messages.Placed) or not ticket.owner_id:
                continue
            upstream = self._session.find_upstream(placed.upstream_id)
            if upstream is None:
                continue
            shard = self._session.shard_of(upstream)
            owner_id = self._notify_owner(shard, now)
            if owner_id and (owner_id, shard) != (ticket.owner_id, ticket.request.target_shard):
                self._report_running(ticket, shard, owner_id)

    def use_view(self, now: float) -> None:
        """Use changed upstreams for the requests that wait at this host."""
        self._local.use_view(now)

    async def wake_queued(self) -> None:
        """Wake queued requests, so that they are sent again if owners have changed."""
        self._local.release_for_new_owners(self._ticket_by_id.values(), _now())
        for ticket in tuple(self._ticket_by_id.values()):
            if ticket.is_queued and ticket.owner_generation != self._owner_generation:
                await ticket.changed.set()

    def _notify_owner(self, shard: placement_messages.Shard, now: float) -> str:
        """Return the owner of a shard; notify it first if it has just become the owner."""
        owner_id = self._session.owner(shard, now)
        previous = self._notified_owner_by_shard.get(shard, "")
        if not owner_id or owner_id == previous:
            return owner_id
        if previous:
            self._send(previous, placement_messages.OwnerChosen(shard, is_chosen=False))
        self._notified_owner_by_shard[shard] = owner_id
        self._owner_generation += 1
        logs.event(
            _log,
            "owner_chosen",
            service=shard.service,
            shard=shard.index,
            replica=owner_id,
            before=previous or None,
        )
        # Before the first request: an owner that has just started may know no signals.
        self._send_signals(owner_id)
        estimate = self._estimate_by_service.get(shard.service)
        speeds = self._speeds_of(shard)
        promises = self._promises.of_service(shard.service, now)
        chosen = placement_messages.OwnerChosen(shard, True, estimate, speeds, promises)
        self._send(owner_id, chosen)
        for ticket in tuple(self._ticket_by_id.values()):
            self._report_running(ticket, shard, owner_id)
        return owner_id

    def _report_running(
        self, ticket: placement_ticket.Ticket, shard: placement_messages.Shard, owner_id: str
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

    def _release_grant(self, owner_id: str, ticket_id: str) -> None:
        """Release a slot that was granted after the request ended or moved to another owner."""
        ended = placement_messages.RunEnded(ticket_id, placement_messages.RunEnd.CANCELLED, 0.0)
        self._send(owner_id, ended)

    def _withdraw(self, ticket: placement_ticket.Ticket) -> None:
        """Withdraw the request from the owner that was asked, if any."""
        if ticket.owner_id:
            self._release_grant(ticket.owner_id, ticket.request.ticket_id)
            ticket.owner_id = ""

    async def _find_placement(
        self, ticket: placement_ticket.Ticket
    ) -> placement_messages.Placed | placement_messages.PlaceRefused:
        until = _now() + ticket.request.left_ms / 1000.0
        if not self._session.has_view:
            # Owners may choose upstreams that a host without a view does not know yet.
            await self._hold_queue.wait(lambda: self._session.has_view, until - _now())
        is_tried_alone = False
        while _now() < until:
            shard = self._session.resolve_shard(ticket.request.target_shard)
            ticket.request = dataclasses.replace(ticket.request, shard=shard)
            owner_id = self._notify_owner(shard, _now())
            if owner_id and not self._send_request(ticket, owner_id):
                continue
            has_reply = bool(owner_id) and await self._wait_answer(ticket, until)
            if isinstance(ticket.answer, placement_messages.Busy):
                ticket.try_other_shard(ticket.answer.begins_ms)
                continue
            if has_reply and ticket.answer is not None:
                if ticket.is_closed:
                    request = ticket.request
                    shards = self._session.service_shards(request.service, request.version)
                    if ticket.try_open_shard(shards):
                        continue
                if is_tried_alone or not self._knows_upstream_for(ticket):
                    return ticket.answer
                # An owner that has just restarted may not have heard of all upstreams.
                is_tried_alone = True
                ticket.answer = None
                placed = await self._place_locally(ticket, owner_id, until)
                if placed is not None:
                    return placed
            if has_reply:
                continue
            if ticket.request.begins_within_ms > 0:
                self._withdraw(ticket)
                ticket.try_other_shard(0.0)
                continue
            if self._may_ask_again(ticket, owner_id):
                continue
            if ticket.request.trial_key:
                return self._refuse_trial(ticket)
            if not await self._wait_for_upstream(ticket.request.service, until):
                placed = await self._place_locally(ticket, owner_id, until)
                if placed is not None:
                    return placed
        why = "its deadline passed while it waited for placement"
        return placement_messages.PlaceRefused(ticket.request.ticket_id, local_choice.RETRY_MS, why)

    def _send_request(self, ticket: placement_ticket.Ticket, owner_id: str) -> bool:
        """Send the request to an owner; return False and skip the owner if it is not connected."""
        if not self._send(owner_id, ticket.request):
            self._skip_owner(owner_id, "no connection")
            return False
        ticket.owner_id = owner_id
        ticket.owner_generation = self._owner_generation
        return True

    def _may_ask_again(self, ticket: placement_ticket.Ticket, owner_id: str) -> bool:
        """Return whether to ask an owner that did not reply again, or the one that replaces it."""
        if self._session.is_unresponsive(owner_id, _now()):
            self._skip_owner(owner_id, "silent")
            return True
        return bool(owner_id) and ticket.awaits_trial(_now())

    def _skip_owner(self, owner_id: str, why: str) -> None:
        if self._session.mark_unreachable(owner_id):
            logs.event(_log, "owner_passed_over", replica=owner_id, why=why)

    async def _wait_for_upstream(self, service: str, until: float) -> bool:
        """Wait while no upstream of the service is known; return whether one has become known."""
        if self._knows_upstream(service):
            return False
        return await self._hold_queue.wait(lambda: self._knows_upstream(service), until - _now())

    def _knows_upstream(self, service: str) -> bool:
        return any(item.service == service for item in self._session.upstream_by_id.values())

    async def _wait_answer(self, ticket: placement_ticket.Ticket, until: float) -> bool:
        """Wait for the owner's answer; return False if it does not reply in time.

        Returns True without an answer if the request has to be sent again, or its time is up.
        """
        reply_until = min(until, _now() + OWNER_TIMEOUT_S)
        while ticket.answer is None:
            if not ticket.is_queued and _now() >= reply_until:
                return False
            if ticket.is_queued and _now() >= until:
                return True
            owner_id = self._session.owner(ticket.request.target_shard, _now())
            # A replica that became owner again, even of another shard, may have dropped its queue.
            may_be_dropped = ticket.owner_generation != self._owner_generation
            if ticket.is_queued and (owner_id != ticket.owner_id or may_be_dropped):
                ticket.is_queued = False
                return True
            wait_s = QUEUE_CHECK_S if ticket.is_queued else reply_until - _now()
            ticket.changed.clear()
            await timeouts.call_until(max(wait_s, 0.001), ticket.changed.wait)
        return True

    def _knows_upstream_for(self, ticket: placement_ticket.Ticket) -> bool:
        """Return whether this host knows an upstream for a request, while the owners do not."""
        request, refused = ticket.request, ticket.answer
        if request.trial_key or not isinstance(refused, placement_messages.PlaceRefused):
            return False
        causes = placement_messages.RefusalCause
        if refused.cause not in (causes.EXCLUDED, causes.VERSION):
            return False
        return any(
            item.service == request.service and request.may_run_at(item.upstream_id, item.version)
            for item in self._session.upstream_by_id.values()
        )

    def _refuse_trial(self, ticket: placement_ticket.Ticket) -> placement_messages.PlaceRefused:
        """Refuse a trial that no replica can grant: other entry hosts might start one, too."""
        self._withdraw(ticket)
        why = "upstreams crashed while running it, and no replica can grant a trial"
        return placement_messages.PlaceRefused(ticket.request.ticket_id, local_choice.RETRY_MS, why)

    async def _place_locally(
        self, ticket: placement_ticket.Ticket, owner_id: str, until: float
    ) -> placement_messages.Placed | placement_messages.PlaceRefused | None:
        """Place a request within this host's share of the slots, after a wait if need be.

        Returns:
            The answer; None if the owner is to be asked again.
        """
        self._withdraw(ticket)
        answer = await self._local.place(ticket, owner_id, until)
        if isinstance(answer, placement_messages.Placed):
            self.local_placements += 1
        return answer


def _was_placed_by(ticket: placement_ticket.Ticket | None, owner_id: str) -> bool:
    """Return whether a request runs where this owner placed it."""
    return ticket is not None and ticket.answer is not None and ticket.owner_id == owner_id


def _now() -> float:
    return time.monotonic()
