"""The requests in progress on an entry host, and the effects of their flows."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

from medlarfork import claim, member, node, request, ticket
from medlarfork.declared import configuration
from medlarfork.entry import (
    _claim_settlements,
    _outbox,
    _shard_choice,
    _timer_heap,
    control_session,
    entry_flow,
    entry_options,
    flow_machine,
)
from medlarfork.filters import admit, deduplicate, retry_rules
from medlarfork.pool import ownership

_MAX_RELEASES = 20_000
"""Maximum number of unconfirmed slot releases."""

_RELEASE_TIMEOUT_S = 20.0
"""How long an unconfirmed release is resent, in seconds."""


class EntryRequests:
    """Holds each request's flow and timer; it is the ``FlowContext`` of the flows."""

    def __init__(
        self,
        options: entry_options.EntryNodeOptions,
        session: control_session.ControlSession,
        generator: random.Random,
    ) -> None:
        """Start with no request in progress."""
        self.options = options
        self.pool_ownership = ownership.Ownership(
            options.entry_id, configuration.Configuration(), member.View()
        )
        self.shards = _shard_choice.ShardChoice(options.entry_id, generator)
        self.admission = admit.Admission(
            request_limit=options.request_limit, bytes_limit=options.held_bytes_limit
        )
        self._session = session
        self._budgets = retry_rules.RetryBudgets(
            share=options.retry_share, burst=options.retry_burst
        )
        self._machine = flow_machine.FlowMachine(self)
        self._flow_by_id: dict[str, entry_flow.Flow] = {}
        self._timers = _timer_heap.TimerHeap[str]()
        self._releases = _outbox.Outbox(limit=_MAX_RELEASES, timeout_s=_RELEASE_TIMEOUT_S)
        self._claims = _claim_settlements.ClaimSettlements()

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return len(self._flow_by_id)

    @property
    def unconfirmed(self) -> int:
        """Return the number of messages whose receipt has not been confirmed."""
        return len(self._releases) + len(self._claims)

    def count(self, state: type) -> int:
        """Return the number of requests in a state; takes time linear in the requests."""
        return sum(isinstance(flow.state, state) for flow in self._flow_by_id.values())

    def wake_at(self) -> float:
        """Return when the next timer is due."""
        earliest = min(self._releases.earliest(), self._claims.earliest())
        return min(earliest, self._timers.earliest())

    def choose_pool(self, service: str, now: float) -> str:
        """Return the pool to queue at; an empty string if the service has none any more."""
        hosts = len(self._session.view.members)
        return self.shards.choose(self.pool_ownership.pools(service), hosts, now)

    def owners(self, pool: str) -> tuple[str, ...]:
        """Return the entry hosts to send the pool's tickets to, owner first."""
        return self.pool_ownership.owners(pool)

    def spend_retry(self, service: str) -> bool:
        """Take one retry from the service's budget; return whether there was one."""
        return self._budgets.spend(service)

    def holds_lease(self, now: float) -> bool:
        """Return whether this host's lease is certain to be valid at control."""
        return self._session.holds_lease(now)

    def start(self, incoming: request.Request, body_bytes: int, now: float) -> tuple[Any, ...]:
        """Start the flow of an admitted request."""
        self._budgets.earn(incoming.service)
        request_class = self._session.configuration.class_by_name[incoming.class_name]
        state = entry_flow.Claiming(last_reply_at=now, ask_at=now)
        flow = entry_flow.Flow(incoming, request_class, self._session.revision, body_bytes, state)
        self._flow_by_id[incoming.request_id] = flow
        return self._after(incoming.request_id, self._machine.start(flow, now), now)

    def handle(self, request_id: str, event: Any, now: float) -> tuple[Any, ...]:
        """Apply an event to a request; ignored if the request is not in progress any more."""
        flow = self._flow_by_id.get(request_id)
        if flow is None:
            return ()
        return self._after(request_id, self._machine.handle(flow, event, now), now)

    def handle_all(self, event: Any, now: float) -> tuple[Any, ...]:
        """Apply an event to every request in progress."""
        ids = tuple(self._flow_by_id)
        return tuple(action for item in ids for action in self.handle(item, event, now))

    def on_peer(self, sender: str, message: Any, now: float) -> tuple[Any, ...]:
        """Handle a message of a pool's owner about a ticket."""
        request_id = entry_flow.request_id_of(message.ticket_id)
        if request_id in self._flow_by_id:
            return self.handle(request_id, entry_flow.PeerMessage(sender, message), now)
        if not isinstance(message, ticket.Grant):
            return ()
        release = ticket.Release(message.ticket_id, message.pool, ticket.ReleaseCause.UNUSED)
        return self._release_slot(sender, release, now)

    def on_claim_reply(self, reply: claim.ClaimReply, now: float) -> tuple[Any, ...]:
        """Apply a claim reply of control; replies to other incarnations are ignored."""
        holder = reply.holder
        mine = (holder.entry_id, holder.incarnation)
        if mine != (self.options.entry_id, self.options.incarnation):
            return ()
        flow = self._flow_by_id.get(holder.request_id)
        if flow is None:
            stray = self._claims.settle_stray(reply, now)
            return () if stray is None else self._to_leader(stray)
        if deduplicate.key_of(flow.request) != reply.key:
            return ()
        return self.handle(holder.request_id, reply, now)

    def confirm_release(self, sender: str, released: ticket.Released) -> None:
        """Stop resending a release."""
        self._releases.confirm((sender, released.ticket_id))

    def confirm_claim(self, recorded: claim.ClaimRecorded) -> None:
        """Stop resending the settlement of a claim."""
        self._claims.confirm(recorded)

    def handle_due(self, now: float) -> tuple[Any, ...]:
        """Run the timers that are due and resend unconfirmed messages."""
        actions: list[Any] = []
        while (request_id := self._timers.pop_due(now)) is not None:
            actions += self.handle(request_id, entry_flow.TimerDue(), now)
        for pending in (*self._releases.collect_due(now), *self._claims.collect_due(now)):
            actions += self._to_leader(pending.message, pending.to)
        return tuple(actions)

    def _after(self, request_id: str, step: entry_flow.Step, now: float) -> tuple[Any, ...]:
        if step.flow is None:
            flow = self._flow_by_id.pop(request_id)
            self._timers.clear(request_id)
            self.admission.leave(flow.body_bytes)
        else:
            self._flow_by_id[request_id] = step.flow
            self._timers.set(request_id, entry_flow.wake_at(step.flow))
        return tuple(action for effect in step.effects for action in self._perform(effect, now))

    def _perform(self, effect: Any, now: float) -> Iterator[Any]:
        match effect:
            case entry_flow.SendToOwner(owner, message):
                yield node.Send(owner, message)
            case entry_flow.ReleaseSlot(owner, release):
                yield from self._release_slot(owner, release, now)
            case entry_flow.SendClaimRequest(claim_request):
                yield from self._to_leader(claim_request)
            case entry_flow.SettleClaim(message):
                self._claims.put(message, now)
                yield from self._to_leader(message)
            case action:
                yield action

    def _release_slot(
        self, owner: str, release: ticket.Release, now: float
    ) -> tuple[node.Send, ...]:
        if owner != self.options.entry_id:
            self._releases.put((owner, release.ticket_id), owner, release, now)
        return (node.Send(owner, release),)

    def _to_leader(self, message: Any, to: str = "") -> tuple[node.Send, ...]:
        to = to or self._session.leader_id
        return (node.Send(to, message),) if to else ()
