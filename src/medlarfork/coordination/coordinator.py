"""Decide everything that a coordinator does: its one door.

A coordinator is one replica of the control plane of a routed deployment. What operators declare is
in the replicated log. Which upstreams and entry hosts there are is soft: every replica hears it,
passes it on, and forgets it at a restart. The placement of requests is owned, shard by shard, by
replicas that entry hosts agree on; nothing that must hold rests on that, so they go on alone too.

The times are those of a clock that counts while the machine is suspended: the leader's lease, and
with it the right to answer reads, must run out while it stands still.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Any

from medlarfork import node
from medlarfork.backpressure import signal_messages
from medlarfork.coordination import (
    backpressure_manager,
    coordination_messages,
    coordinator_types,
    crash_manager,
    decision_log,
    duty_manager,
    entry_directory,
    entry_feed,
    membership_manager,
    routing_manager,
    routing_state,
    upstream_manager,
    upstream_registry,
)
from medlarfork.duties import duty_types, engine_messages, usage_messages
from medlarfork.placement import owner, placement_decision, placement_messages
from medlarfork.quarantine import crash_messages
from medlarfork.replica import replica, replica_types
from medlarfork.routes import routing

TICK_S = 0.1
"""How often timed work is looked at, in seconds: a fraction of every limit that rests on it."""

PLACEMENT_PERIOD_S = 0.02
"""How often requests that wait are looked at, in seconds: a fifth of the reading that an engine
may have ahead, so that none idles."""

VIEW_PERIOD_S = 0.1
"""Least time between two changes of the view that are told to entry hosts, in seconds, but for
leaves, which are told at once. At a start each upstream would else be a message from each replica
to each entry host."""

CLEANUP_PERIOD_S = 1.0
"""How often the owner looks for runs whose end was never reported, in seconds: they take many."""

LOAD_PERIOD_S = 0.25
"""How often the leader is told of the load that engines are ordered by, in seconds."""

MEMBERS_PERIOD_S = 2.0
"""How often that includes the replicas, in seconds, besides at each change of theirs: their names
are two thirds of its bytes, which 9 replicas send to each of hundreds of entry hosts."""

Decode = Callable[[bytes], routing.Routing]
"""Decodes an operator's body that was checked before."""


class Coordinator:
    """Turn the events of one replica into actions."""

    def __init__(
        self,
        *,
        replica_id: str,
        boot: int,
        part: replica.Replica,
        seeds: tuple[str, ...],
        announce_period_s: float,
        ttl_s: float,
        decode: Decode,
        duties: duty_types.DutySettings = duty_types.DutySettings(),  # noqa: B008 - frozen
    ) -> None:
        """Wire the parts together.

        Args:
            replica_id: Names this replica; others find its address by it.
            boot: Differs at every start.
            part: The replicated log.
            seeds: Replicas that the settings name.
            announce_period_s: How often upstreams announce themselves, in seconds.
            ttl_s: How long callers keep an answer of the directory, in seconds.
            decode: Decodes an operator's body.
            duties: Calls that one replica has to make.
        """
        self._replica_id = replica_id
        self._replica = part
        self._decode = decode
        self._state = routing_state.RoutingState()
        self._routing_desk = routing_manager.RoutingManager(replica_id, self._state)
        self._registry = upstream_registry.UpstreamRegistry(announce_period_s=announce_period_s)
        self._upstreams = upstream_manager.UpstreamManager(self._registry)
        self._members = membership_manager.MembershipManager(replica_id, seeds)
        self._entries = entry_directory.EntryDirectory(ttl_s=ttl_s)
        self._feed = entry_feed.EntryFeed(boot=boot)
        self._backpressure = backpressure_manager.BackpressureManager()
        self._owner = owner.PlacementOwner(self._backpressure.gate)
        self._crashes = crash_manager.CrashManager(replica_id)
        self._boot = boot
        self.duties = duty_manager.DutyManager(replica_id, boot, duties, self._state.duties)
        self._wall_offset_s: float | None = None
        self._load_due = -math.inf
        self._role = replica_types.Role.FOLLOWER
        self._leader_id = ""
        self._term = 0
        self._status_due = -math.inf
        self._members_due = -math.inf
        self._told_members: tuple[str, ...] = ()
        self._tick_due = -math.inf
        self._placement_due = -math.inf
        self._tidy_due = -math.inf
        self._view_due = -math.inf
        self._entry_ids: frozenset[str] = frozenset()
        self._actions: list[Any] = []
        self._now = 0.0
        self._started_at = math.inf

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a time in seconds and return the actions, in order."""
        self._actions = []
        self._now = now
        self._started_at = min(self._started_at, now)
        match event:
            case node.MessageReceived(sender, message):
                self._take_message(sender, message)
            case coordinator_types.OperationReceived(operation_id, operation):
                self._take_operation(operation_id, operation)
            case coordinator_types.SeedsChanged(seeds):
                self._members.use_seeds(seeds)
            case coordinator_types.WallTime(wall_s, at):
                self._wall_offset_s = wall_s - at
            case duty_types.PlatformCalled():
                self._run_duties(self.duties.on_call_end(event, now), None)
            case _:
                self._run_log(event)
        self._push_view()
        self._actions += self._crashes.push(self._entry_ids, now)
        self._actions += self._backpressure.push(self._entry_ids, leads=self.leads, now=now)
        self._serve_waiting()
        if now >= self._tick_due:
            self._tick()
        for answer in self._owner.drain_decisions():
            self._crashes.on_decided(answer)
            self._actions.append(decision_log.log_event(answer))
        return tuple(self._actions)

    def gauges(self) -> dict[str, float]:
        """Return the state by name, for the metrics."""
        return {
            "term": self._term,
            "leads": self.leads,
            "knows_leader": bool(self._leader_id),
            "routing_version": self._state.current.version,
            "upstreams": len(self._registry.present),
            "entry_hosts": len(self._entry_ids),
            "waiting": self._owner.waiting,
            "crash_cases": len(self._crashes.ledger),
            "limited_upstreams": self._backpressure.ledger.limited,
            **self.duties.gauges(),
        }

    @property
    def leads(self) -> bool:
        """Return whether this replica leads, as far as it knows."""
        return self._role is replica_types.Role.LEADER

    def _holds_lease(self) -> bool:
        return self._replica.holds_lease(self._now)

    def _take_message(self, sender: str, message: Any) -> None:
        match message:
            case coordination_messages.EntryStatus():
                self._take_entry_status(sender, message)
            case coordination_messages.ReplicaHello(known, wants_upstreams):
                self._members.hear(sender, self._now)
                self._members.learn(known)
                if wants_upstreams:
                    # Before the upstreams: it may own their placement as soon as it knows them.
                    self._actions += self._backpressure.tell_replica(sender, self._now)
                    self._actions.append(node.Send(sender, self._upstreams.whole()))
            case coordination_messages.UpstreamGossip():
                self._members.hear(sender, self._now)
                if message.is_whole:
                    self._members.record_upstreams_received(sender)
                self._actions += self._upstreams.on_gossip(sender, message, self._now)
            case coordination_messages.GossipReceipt():
                self._actions += self._upstreams.on_receipt(sender, message)
            case crash_messages.CrashReport():
                self._actions += self._crashes.take(message, self._now)
            case signal_messages.SignalReport():
                self._actions += self._backpressure.take(message, self._now)
                self._upstreams.note_leaving(message.leaving, self._now)
            case usage_messages.UsageTold() | engine_messages.LoadTold():
                self._actions += self.duties.take(sender, message, self._now)
            case _ if type(message) in placement_messages.PLACEMENT_MESSAGES:
                self._place(sender, message)
            case _:
                self._members.hear(sender, self._now)
                self._run_log(node.MessageReceived(sender, message))

    def _place(self, sender: str, message: Any) -> None:
        """Give a message on placement to the owner, but for trials that may not run now."""
        match message:
            case placement_messages.PlaceRequest() if message.trial_key:
                refused = self._crashes.ask_trial(message, self._now)
                if refused is not None:
                    answer = placement_decision.Decision(sender, refused)
                    self._actions += [decision_log.log_event(answer), node.Send(sender, refused)]
                    return
            case placement_messages.RunEnded():
                self._crashes.on_ended(message, self._now)
        self._actions += self._owner.handle(sender, message, self._now)

    def _take_entry_status(self, sender: str, status: coordination_messages.EntryStatus) -> None:
        is_new = sender not in self._entry_ids
        self._entries.hear(sender, status, self._now)
        self._feed.period_s = self._entries.period_s
        if is_new:
            self._entry_ids |= {sender}
            self._note("entry_host_heard", entry=sender, ready=status.is_ready)
            self._actions.append(node.Send(sender, self._own_status()))
        # One without routing has just started, perhaps before it was missed.
        if is_new or not status.routing_version:
            self._tell_learnt(sender)
        self._actions += self._feed.complete_view(sender, status, self._registry.whole, self._now)
        self._actions += self._feed.push_routing(
            {sender: status}, self._state.current, leads=self.leads, now=self._now
        )

    def _tell_learnt(self, entry_id: str) -> None:
        """Tell an entry host that has just come what others learnt from upstreams."""
        known = self._crashes.whole(self._now)
        if known.cases:
            self._actions.append(node.Send(entry_id, known))
        asked_for = self._backpressure.whole(entry_id, self._now)
        if not asked_for.is_empty:
            self._actions.append(node.Send(entry_id, asked_for))

    def _take_operation(self, operation_id: int, operation: coordinator_types.Operation) -> None:
        match operation:
            case coordinator_types.PutRouting():
                self._put(operation_id, operation)
            case coordinator_types.GetRouting():
                reply = self._routing_desk.get(holds_lease=self._holds_lease())
                if not self.leads and self._leader_id:
                    reply = coordinator_types.AskLeader(self._leader_id)
                self._reply(operation_id, reply)
            case coordinator_types.Announce(announcement):
                self._actions += self._upstreams.announce(
                    operation_id, announcement, self._members.peers, self._quorum(), self._now
                )
            case coordinator_types.Withdraw(upstream_id):
                self._actions += self._upstreams.withdraw(
                    operation_id, upstream_id, self._members.peers, self._quorum(), self._now
                )
            case coordinator_types.FindEntries(zone):
                self._reply(operation_id, self._entries.find(zone, self._now))
            case coordinator_types.LiftCrashCase(key):
                self._actions += self._crashes.lift(key, self._members.peers, self._now)
                self._reply(operation_id, coordinator_types.Accepted())
            case coordinator_types.ListCrashCases():
                held = self._crashes.whole(self._now)
                self._reply(operation_id, coordinator_types.CrashCasesFound(held.cases))
            case coordinator_types.ListDuties():
                self._reply(operation_id, self.duties.found(self._now))

    def _put(self, operation_id: int, operation: coordinator_types.PutRouting) -> None:
        if not self.leads:
            reply: coordinator_types.Reply = coordinator_types.Unavailable("No leader is known.")
            if self._leader_id:
                reply = coordinator_types.AskLeader(self._leader_id)
            self._reply(operation_id, reply)
            return
        results = self._routing_desk.put(
            operation_id, operation, holds_lease=self._holds_lease(), now=self._now
        )
        for result in results:
            if isinstance(result, replica_types.Propose):
                self._run_log(result)
            else:
                self._actions.append(result)

    def _quorum(self) -> int:
        """Return how many replicas, this one included, are a majority."""
        voters = self._replica.status.voters
        return 1 if voters is None else len(voters.voters) // 2 + 1

    def _run_log(self, event: Any) -> None:
        """Feed the log; events that its actions lead to are fed after the actions before them."""
        events = collections.deque((event,))
        while events:
            for action in self._replica.handle(events.popleft(), self._now):
                self._perform(action, events)

    def _run_duties(self, actions: tuple[Any, ...], events: collections.deque[Any] | None) -> None:
        """Perform what the duties ask for; inside the log's own work its events are to follow."""
        for action in actions:
            if not isinstance(action, replica_types.Propose):
                self._actions.append(action)
            elif events is None:
                self._run_log(action)
            else:
                events.append(action)

    def _perform(self, action: Any, events: collections.deque[Any]) -> None:
        match action:
            case replica_types.Apply(_, _, command, proposal_id):
                self._apply(command, proposal_id, events)
            case replica_types.RestoreSnapshot(_, state):
                self._state.restore(state)
                self._crashes.restore(self._state.held_by_key.values(), self._now)
                self._on_routing()
            case replica_types.TakeSnapshot(index):
                taken = replica_types.SnapshotTaken(index, self._state.snapshot())
                events.append(taken)
            case replica_types.RoleChanged(role, term, leader_id):
                self._on_role(role, term, leader_id, events)
            case replica_types.ProposalRefused(proposal_id, leader_id, _):
                self._actions += self._routing_desk.on_refused(proposal_id, leader_id)
            case replica_types.VotersChanged(index, voters):
                self._note(
                    "members_changed",
                    index=index,
                    voters=",".join(voters.voters),
                    learners=",".join(voters.learners) or None,
                )
            case _:
                self._actions.append(action)

    def _apply(self, command: bytes, proposal_id: str, events: collections.deque[Any]) -> None:
        match self._state.apply(command) if command else None:
            case routing_state.RoutingVersion(version):
                self._note("routing_applied", version=version)
                self._on_routing()
                self._push_routing()
            case routing_state.HeldRequest() as held:
                self._note("request_held_in_log", key=held.key)
                self._crashes.restore((held,), self._now)
            case routing_state.LiftedRequest(key):
                self._note("request_lifted_in_log", key=key)
                self._actions += self._crashes.lift(key, (), self._now)
            case None:
                pass
            case applied:
                self._run_duties(self.duties.on_applied(applied, self._now), events)
        self._actions += self._routing_desk.on_applied(proposal_id)

    def _on_routing(self) -> None:
        if self._state.current.version:
            services = self._decode(self._state.current.body).services
            self._owner.use_services(services)
            self.duties.use_services(services)

    def _on_role(
        self,
        role: replica_types.Role,
        term: int,
        leader_id: str,
        events: collections.deque[Any],
    ) -> None:
        if leader_id != self._leader_id:
            self._note("leader_changed", leader=leader_id or None, term=term, role=role.value)
        was_leading = self.leads
        self._role, self._term, self._leader_id = role, term, leader_id
        if self.leads and not was_leading:
            self._push_routing()
        if self.leads != was_leading:
            self._run_duties(self.duties.on_role(leads=self.leads, now=self._now), events)
        self._status_due = -math.inf
        self._tick_due = -math.inf

    def _push_view(self) -> None:
        """Tell entry hosts what changed: leaves at once, the rest by the next tick."""
        if not self._upstreams.has_change:
            return
        if self._now < self._view_due and not self._upstreams.has_leave:
            return
        self._view_due = self._now + VIEW_PERIOD_S
        change = self._upstreams.take_change()
        self._actions += self._feed.push_view(change, self._entry_ids, self._now)
        self._actions += self._owner.use_upstreams(self._registry.present, self._now)
        self._note(
            "upstreams_changed",
            present=",".join(item.upstream_id for item in change.present) or None,
            left=",".join(change.left) or None,
            silent=",".join(change.silent) or None,
        )

    def _push_routing(self) -> None:
        self._actions += self._feed.push_routing(
            self._entries.status_by_id(self._now),
            self._state.current,
            leads=self.leads,
            now=self._now,
        )

    def _tick(self) -> None:
        """Do what is due by time."""
        self._tick_due = self._now + TICK_S
        self._actions += self._routing_desk.expire(self._now)
        has_silent_peer = self._members.has_silent_peer(self._now)
        self._actions += self._upstreams.on_time(
            self._members.peers, self._now, has_silent_peer=has_silent_peer
        )
        self._push_view()
        self._look_after_entries()
        self._tidy_placement()
        if self.leads:
            for proposal in self._crashes.proposals(self._state.held_by_key, self._now):
                self._run_log(proposal)
        for action in self._members.on_time(self._replica.status, leads=self.leads, now=self._now):
            if isinstance(action, replica_types.ChangeVoters):
                self._note(
                    "member_change_asked", add=action.add or None, remove=action.remove or None
                )
                self._run_log(action)
            else:
                self._actions.append(action)
        self._run_duties(
            self.duties.on_time(self._entry_ids, self._registry.present, self._now), None
        )
        self._tell_load()
        if self._now >= self._status_due:
            self._status_due = self._now + self._entries.period_s
            status = self._periodic_status()
            self._actions += [node.Send(entry_id, status) for entry_id in self._entry_ids]
            self._crashes.on_time(self._now)
            self._backpressure.on_time(self._now)
            self._push_routing()
        self._actions.append(node.Wake(self._tick_due))

    def _tell_load(self) -> None:
        """Tell the leader what this replica was asked to place, if engines are ordered by it."""
        if self._now < self._load_due or not self.duties.orders_engines:
            return
        self._load_due = self._now + LOAD_PERIOD_S
        told = engine_messages.LoadTold(self._boot, self._owner.offered())
        if self.leads:
            self.duties.take(self._replica_id, told, self._now)
        elif self._leader_id:
            self._actions.append(node.Send(self._leader_id, told))

    def _serve_waiting(self) -> None:
        """Look at the requests that wait, at most once in a while."""
        if self._now < self._placement_due or not self._owner.waiting:
            return
        self._actions += self._owner.on_time(self._now)
        self._placement_due = self._now + PLACEMENT_PERIOD_S
        self._actions.append(node.Wake(self._placement_due))

    def _tidy_placement(self) -> None:
        if self._now < self._tidy_due:
            return
        self._tidy_due = self._now + CLEANUP_PERIOD_S
        overdue = self._owner.tidy(self._now)
        if overdue:
            self._note("run_ends_missed", runs=overdue)

    def _look_after_entries(self) -> None:
        """Drop the entry hosts that fell silent, and give routing to those that have none."""
        present = self._entries.status_by_id(self._now)
        for entry_id in self._entry_ids - present.keys():
            self._note("entry_host_silent", entry=entry_id)
            self._actions += self._owner.release_entry(entry_id, self._now)
        self._entry_ids = frozenset(present)
        self._owner.use_entries(self._entry_ids, self._entries.hosts)
        self._feed.forget_missing(present)
        # Those without routing serve nobody until they have one, and need not ask again meanwhile.
        without = {name: status for name, status in present.items() if not status.routing_version}
        self._actions += self._feed.push_routing(
            without, self._state.current, leads=self.leads, now=self._now
        )

    def _periodic_status(self) -> coordination_messages.ReplicaStatus:
        """Return the status for all entry hosts, most times without the replicas' names."""
        status = self._own_status()
        if status.members == self._told_members and self._now < self._members_due:
            return dataclasses.replace(status, members=())
        self._told_members = status.members
        self._members_due = self._now + MEMBERS_PERIOD_S
        return status

    def _own_status(self) -> coordination_messages.ReplicaStatus:
        voters = self._replica.status.voters
        members = () if voters is None else (*voters.voters, *voters.learners)
        return coordination_messages.ReplicaStatus(
            self._leader_id,
            self._term,
            members,
            self._entries.hosts,
            self._now - self._started_at,
            self._entries.period_s,
            0.0 if self._wall_offset_s is None else self._now + self._wall_offset_s,
        )

    def _reply(self, operation_id: int, reply: coordinator_types.Reply) -> None:
        self._actions.append(coordinator_types.OperationDone(operation_id, reply))

    def _note(self, event: str, **fields: Any) -> None:
        self._actions.append(coordinator_types.LogEvent(event, fields))
