"""The entry host's node: its single event interface and the request pipeline.

A request passes parse, identify, classify, deduplicate and admit in ``EntryNode._accept``. Its
flow (``flow_machine``) then waits for the claim and a slot, dispatches, retries and records.
"""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from medlarfork import claim, errors, member, node, ticket
from medlarfork.entry import (
    control_session,
    drain,
    entry_flow,
    entry_options,
    entry_pools,
    entry_queries,
    entry_requests,
    entry_status,
    entry_types,
    explain,
    pool_directory,
)
from medlarfork.filters import admit, answers, classify, deduplicate, identify, parse, record
from medlarfork.pool import owned_pool, ownership, pool, pool_events


class EntryNode:
    """Handles events and returns actions; see ``entry_types`` for both."""

    def __init__(
        self,
        *,
        options: entry_options.EntryNodeOptions,
        random: random.Random,
        make_scheduler: Callable[[str], owned_pool.Scheduler] | None = None,
    ) -> None:
        """Create the node of an entry host process.

        Args:
            options: Options of this entry host.
            random: Seeded generator; the only source of randomness.
            make_scheduler: Creates the scheduler of a pool from the pool's name; ``pool.Pool`` by
                default.
        """
        self._options = options
        self._random = random
        self._stage: drain.Stage = drain.Serving()
        self._is_cut_off = False
        self._scheduled_wake_at = math.inf
        self._directory = pool_directory.PoolDirectory(options.entry_id)
        self._pools = entry_pools.EntryPools(
            options.entry_id, self._directory, make_scheduler or self._make_scheduler
        )
        self._session = control_session.ControlSession(
            options, generator=random, member_now=self._member
        )
        self._requests = entry_requests.EntryRequests(options, self._session, random)
        self._queries = entry_queries.EntryQueries(
            options, self._session, self._requests, self._pools, self._directory, random
        )

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        actions = self._apply_internal(self._on_event(event, now), now)
        if not isinstance(self._stage, drain.Serving):
            actions += self._apply_internal(self._advance_stage(now), now)
        actions += self._session.report()
        actions += self._wake(now)
        return tuple(actions)

    @property
    def view(self) -> member.View:
        """Return the entry hosts that hold a lease, as last received from control."""
        return self._session.view

    def entries(self, raw: entry_types.RawRequest, now: float) -> entry_types.Answer:
        """Answer ``GET /v1/entries``."""
        listed = isinstance(self._stage, drain.Serving)
        return self._queries.entries(raw, now, listed=listed)

    def models(self, raw: entry_types.RawRequest) -> entry_types.Answer:
        """Answer ``GET /v1/models``."""
        return self._queries.models(raw)

    def status(self, now: float) -> entry_status.EntryStatus:
        """Describe this host to operators."""
        return self._queries.status(now, type(self._stage).__name__.lower())

    def explain(self, raw: entry_types.RawRequest, account: str, now: float) -> explain.Explanation:
        """Explain where a request of an account would go.

        Raises:
            errors.MedlarError: The account is not declared, or the request would be refused.
        """
        return self._queries.explain(raw, account, now)

    def is_ready(self, now: float) -> bool:
        """Return whether this host accepts requests."""
        host_status = self._queries.host_status(now, refusing=drain.refuses(self._stage))
        return host_status.usable and not host_status.refusing

    def _on_event(self, event: Any, now: float) -> Iterable[Any]:
        match event:
            case entry_types.RequestArrived(raw):
                return self._on_request(raw, now)
            case entry_types.CallerGone(request_id):
                return self._requests.handle(request_id, event, now)
            case entry_types.AttemptStarted(attempt_id) | entry_types.AttemptEnded(attempt_id):
                request_id = entry_flow.request_id_of(attempt_id)
                return self._requests.handle(request_id, event, now)
            case entry_types.AnnouncementReceived(call_id, announcement):
                reply = self._directory.reply(announcement, self._session.view)
                answered = entry_types.AnnouncementAnswered(call_id, reply)
                return (*self._directory.handle_announcement(announcement, now), answered)
            case _ if isinstance(self._stage, drain.Stopped):
                return ()
            case entry_types.ReachabilityChanged(is_cut_off):
                self._is_cut_off = is_cut_off
                return self._session.beat(now)
            case node.MessageReceived(sender, message):
                return self._on_message(sender, message, now)
            case node.Started():
                return self._session.handle(event, now)
            case node.TimeDue():
                return self._on_time(event, now)
            case entry_types.DrainRequested() if isinstance(self._stage, drain.Serving):
                self._stage = drain.start(self._options, now)
                return self._session.beat(now)
            case _:
                return ()

    def _on_request(self, raw: entry_types.RawRequest, now: float) -> Iterable[Any]:
        try:
            return self._accept(raw, now)
        except errors.MedlarError as error:
            headers = error.headers if isinstance(error, errors.RequestRefusedError) else {}
            status = answers.status_of(error)
            answer = answers.refusal(raw.request_id, error, status=status, headers=headers)
            return answer, record.refused(answer, error, self._session.revision)

    def _accept(self, raw: entry_types.RawRequest, now: float) -> Iterable[Any]:
        """Run the filters that need no other process, and start the request's flow."""
        declared = self._session.configuration
        host_status = self._queries.host_status(
            now, refusing=drain.refuses(self._stage), is_cut_off=self._is_cut_off
        )
        admit.check_host_status(host_status)
        parsed = parse.parse(raw)
        account = identify.identify(declared, raw.headers)
        incoming = classify.assign(declared, account, parsed, now=now)
        deduplicate.check_key(declared, incoming)
        self._requests.admission.admit(len(raw.body), host_status, repeatable=incoming.repeatable)
        return self._requests.start(incoming, len(raw.body), now)

    def _on_message(self, sender: str, message: Any, now: float) -> Iterable[Any]:
        match message:
            case ticket.Ticket() | ticket.Running() | ticket.Withdraw() | ticket.Release():
                return self._pools.on_message(sender, message, now)
            case ticket.Released():
                self._requests.confirm_release(sender, message)
                return ()
            case ticket.Grant() | ticket.Shed() | ticket.Preempt() | ticket.Queued():
                return self._requests.on_peer(sender, message, now)
            case ticket.PoolSummary():
                self._requests.shards.record_summary(message, now)
                return ()
            case entry_types.UpstreamSeen():
                return self._directory.handle_forwarded(message, now)
            case _ if sender in self._options.control_ids:
                return self._on_control(sender, message, now)
            case _:
                return ()

    def _on_control(self, sender: str, message: Any, now: float) -> Iterable[Any]:
        match message:
            case claim.ClaimReply():
                return self._requests.on_claim_reply(message, now)
            case claim.ClaimRecorded():
                self._requests.confirm_claim(message)
                return ()
            case _:
                return self._session.handle(node.MessageReceived(sender, message), now)

    def _on_time(self, event: node.TimeDue, now: float) -> Iterable[Any]:
        yield from self._session.handle(event, now)
        yield from self._directory.expire(now)
        yield from self._pools.handle_due(now)
        yield from self._requests.handle_due(now)

    def _apply_internal(self, actions: Iterable[Any], now: float) -> list[Any]:
        """Apply actions internal to this node and return the external ones, in order."""
        external: list[Any] = []
        pending = collections.deque(actions)
        while pending:
            action = pending.popleft()
            match action:
                case node.Send(to, message) if to == self._options.entry_id:
                    pending.extend(self._on_message(to, message, now))
                case pool_directory.ToPool(pool_name, event):
                    self._report_upstream(pool_name, event)
                    pending.extend(self._pools.handle(pool_name, event, now))
                case control_session.OutOfServiceApplied(upstream_ids):
                    pending.extend(self._pools.set_out_of_service(upstream_ids, now))
                case control_session.ViewApplied(previous):
                    pending.extend(self._on_view(previous, now))
                case entry_types.ConfigurationApplied():
                    external.append(action)
                    pending.extend(self._reconfigure(frozenset(), now))
                case _:
                    external.append(action)
        return external

    def _report_upstream(self, pool_name: str, event: pool_events.UpstreamEvent) -> None:
        """Update the inventory report to control for an upstream whose pool is owned here."""
        match event:
            case pool_events.UpstreamGone(upstream_id):
                self._session.upstreams.remove(upstream_id)
            case _ if self._requests.pool_ownership.owns(pool_name):
                self._session.upstreams.observe(event.announcement)

    def _on_view(self, previous: member.View, now: float) -> Iterable[Any]:
        current = self._session.view.member_by_id
        lost = {
            item.entry_id
            for item in previous.members
            if item.entry_id not in current
            or current[item.entry_id].incarnation != item.incarnation
        }
        if self._options.entry_id in lost:
            # Other hosts have dropped the state they held for this host; its own pools keep theirs.
            lost.remove(self._options.entry_id)
            return self._reconfigure(frozenset(current), now)
        sends = [send for item in sorted(lost) for send in self._pools.entry_lost(item, now)]
        return (*sends, *self._reconfigure(frozenset(lost), now))

    def _reconfigure(self, restarted: frozenset[str], now: float) -> Iterable[Any]:
        """Apply the session's configuration and view; takes time linear in all state."""
        declared = self._session.configuration
        view, before = self._session.view, self._requests.pool_ownership
        pool_ownership = ownership.Ownership(self._options.entry_id, declared, view, before)
        self._requests.pool_ownership = pool_ownership
        names = frozenset(
            name for item in declared.services for name in pool_ownership.pools(item.name)
        )
        self._requests.shards.retain_only(names)
        directory_actions = self._directory.apply(declared, pool_ownership, now)
        pool_sends = self._pools.apply(declared, pool_ownership, now)
        leases = self._directory.leases
        self._session.upstreams.retain_only(
            lease.announcement for lease in leases if pool_ownership.owns(lease.pool)
        )
        changed = entry_flow.OwnersChanged(restarted)
        return (*pool_sends, *directory_actions, *self._requests.handle_all(changed, now))

    def _advance_stage(self, now: float) -> Iterable[Any]:
        """Advance a graceful stop to the stage that is due."""
        before = self._stage
        remaining = drain.RemainingWork(len(self._requests), self._requests.unconfirmed)
        self._stage = drain.advance(before, remaining, self._options, now)
        if type(self._stage) is type(before):
            return ()
        match self._stage:
            case drain.Cutting():
                return self._requests.handle_all(entry_flow.Stop(), now)
            case drain.Stopped():
                leaving = self._session.beat(now, leaving=True)
                return (*self._pools.close(), *leaving, entry_types.Drained())
            case _:
                return ()

    def _wake(self, now: float) -> list[node.Wake]:
        at = min(
            self._session.wake_at,
            self._directory.wake_at(),
            self._pools.wake_at(),
            self._requests.wake_at(),
            drain.wake_at(self._stage),
        )
        if isinstance(self._stage, drain.Stopped) or at == math.inf:
            return []
        if now < self._scheduled_wake_at <= at:
            return []
        self._scheduled_wake_at = at
        return [node.Wake(at)]

    def _member(self) -> member.Member:
        options = self._options
        serving = isinstance(self._stage, drain.Serving)
        return member.Member(
            options.entry_id,
            options.incarnation,
            member.MemberState.SERVING if serving else member.MemberState.DRAINING,
            options.link_address,
            options.http_address,
            options.data_centre,
            self._requests.admission.load,
            self._is_cut_off,
        )

    def _make_scheduler(self, name: str) -> pool.Pool:
        seeded = random.Random(self._random.getrandbits(64))
        return pool.Pool(
            name=name,
            entry_id=self._options.entry_id,
            random=seeded,
            options=pool.PoolOptions(),
        )
