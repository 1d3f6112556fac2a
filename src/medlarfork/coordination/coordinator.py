"""State machine of a coordinator, driven through a single event interface.

A coordinator is one replica of the control plane of a routed deployment. What operators declare is
in the replicated log. The known upstreams and entry hosts are soft state: every replica receives
announcements, gossips them, and starts without them after a restart. Placement of requests is
owned, shard by shard, by replicas that entry hosts agree on; no safety property depends on the
owner, so entry hosts can also place alone.

All times are of a clock that also advances while the machine is suspended: the leader's lease, and
with it the right to answer reads, must expire during a suspension.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Any

from medlarfork import errors, node
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
    origin_manager,
    read_manager,
    routing_manager,
    routing_state,
    upstream_manager,
    upstream_registry,
)
from medlarfork.duties import duty_types, engine_messages, usage_messages
from medlarfork.placement import owner, placement_decision, placement_messages
from medlarfork.quarantine import crash_messages
from medlarfork.replica import replica, replica_types
from medlarfork.resumption import origin_messages
from medlarfork.routes import routing

TICK_S = 0.1
"""Interval of periodic work, in seconds: a fraction of every timeout that it enforces."""

PLACEMENT_PERIOD_S = 0.02
"""Interval at which queued requests are re-evaluated, in seconds: a fifth of the prefill backlog
that an engine may have, so that no engine idles."""

VIEW_PERIOD_S = 0.1
"""Minimum interval between two view changes that are pushed to entry hosts, in seconds. Leaves are
pushed at once. Without it each upstream that starts would cause one message from each replica to
each entry host."""

LEARNING_PERIODS = 2.0
"""Announcement periods after a restart in which a replica may not know all upstreams yet: each
announces itself once a period, and one announcement may be lost."""

CLEANUP_PERIOD_S = 1.0
"""Interval at which the owner scans for runs whose end was never reported, in seconds; the scan
covers many runs."""

LOAD_PERIOD_S = 0.25
"""Interval at which load is reported to the leader, which orders engines by it, in seconds."""

MEMBERS_PERIOD_S = 2.0
"""Interval at which a status lists the replicas, in seconds, besides at each change of the
membership: their names are two thirds of its bytes, which 9 replicas send to each of hundreds of
entry hosts."""

Decode = Callable[[bytes], routing.Routing]
"""Decodes an operator's body that has already been validated."""


class Coordinator:
    """Turns the events of one replica into actions."""

    def __init__(
        self,
        *,
        replica_id: str,
        boot: int,
        log_replica: replica.Replica,
        seeds: tuple[str, ...],
        announce_period_s: float,
        ttl_s: float,
        decode: Decode,
        duties: duty_types.DutySettings = duty_types.DutySettings(),  # noqa: B008 - frozen
        origins: origin_manager.OriginManager | None = None,
        is_restarted: bool = False,
        tolerated_losses: int = membership_manager.TOLERATED_LOSSES,
    ) -> None:
        """Create the components of a coordinator.

        Args:
            replica_id: Identifies this replica; others derive its address from it.
            boot: Identifier that is unique to each start.
            log_replica: The replicated log.
            seeds: Replicas listed in the settings.
            announce_period_s: How often upstreams announce themselves, in seconds.
            ttl_s: How long callers cache an answer of the directory, in seconds.
            decode: Decodes an operator's body.
            duties: Singleton duties: platform calls that exactly one replica makes.
            origins: Origins of streams, with those of the replica's file; None for an empty one.
            is_restarted: Whether an earlier process of this replica left its data: upstreams that
                it knew announce themselves again.
            tolerated_losses: How many replicas may be lost at the same time, disks included.
        """
        self._replica_id = replica_id
        self._replica = log_replica
        self._decode = decode
        self._state = routing_state.RoutingState()
        self._routing_manager = routing_manager.RoutingManager(replica_id, self._state)
        self._announce_period_s = announce_period_s
        self._is_restarted = is_restarted
        self._registry = upstream_registry.UpstreamRegistry(announce_period_s=announce_period_s)
        self._upstreams = upstream_manager.UpstreamManager(self._registry)
        self._members = membership_manager.MembershipManager(replica_id, seeds, tolerated_losses)
        self._entries = entry_directory.EntryDirectory(ttl_s=ttl_s, replica_id=replica_id)
        self._feed = entry_feed.EntryFeed(boot=boot)
        self._backpressure = backpressure_manager.BackpressureManager()
        self._owner = owner.PlacementOwner(self._backpressure.gate)
        self._crashes = crash_manager.CrashManager(replica_id)
        self._origins = origins or origin_manager.OriginManager((), is_complete=False)
        self._reads = read_manager.ReadManager(boot)
        self._boot = boot
        self.duties = duty_manager.DutyManager(replica_id, boot, duties, self._state.duties)
        self._wall_offset_s: float | None = None
        self._load_due = -math.inf
        self._role = replica_types.Role.FOLLOWER
        self._leader_id = ""
        self._term = 0
        self._status_due = -math.inf
        self._members_due = -math.inf
        self._sent_members: tuple[str, ...] = ()
        self._tick_due = -math.inf
        self._placement_due = -math.inf
        self._cleanup_due = -math.inf
        self._view_due = -math.inf
        self._entry_ids: frozenset[str] = frozenset()
        self._actions: list[Any] = []
        self._now = 0.0
        self._started_at = math.inf

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a time in seconds and return the actions, in order."""
        self._actions = []
        self._now = now
        if self._started_at == math.inf:
            self._started_at = now
            if self._is_restarted:
                self._owner.expect_upstreams(now + LEARNING_PERIODS * self._announce_period_s)
        self._run_part(self._handle_event, event)
        self._run_part(self._perform_reads)
        self._run_part(self._push_view)
        self._run_part(self._push_reports)
        self._run_part(self._place_waiting)
        if now >= self._tick_due:
            self._tick()
        self._run_part(self._log_decisions)
        return tuple(self._actions)

    def _handle_event(self, event: Any) -> None:
        match event:
            case node.MessageReceived(sender, message):
                self._handle_message(sender, message)
            case coordinator_types.OperationReceived(operation_id, operation):
                self._handle_operation(operation_id, operation)
            case coordinator_types.SeedsChanged(seeds):
                self._members.use_seeds(seeds)
            case coordinator_types.WallTime(wall_s, at):
                self._wall_offset_s = wall_s - at
            case duty_types.PlatformCalled():
                self._run_duties(self.duties.on_call_end(event, self._now), None)
            case _:
                self._run_log(event)

    def _run_part(self, part: Callable[..., None], *arguments: Any) -> None:
        """Run a part of the work; one that fails is reported, and the others go on.

        Raises:
            errors.BrokenStateError: The log failed.
        """
        try:
            part(*arguments)
        except errors.BrokenStateError:
            raise
        except Exception as error:
            self._actions.append(node.Fault(part.__name__, error))

    def _push_reports(self) -> None:
        """Push what the replicas learnt of crashes and backpressure to entry hosts."""
        self._actions += self._crashes.push(self._entry_ids, self._now)
        self._actions += self._backpressure.push(self._entry_ids, leads=self.leads, now=self._now)

    def _log_decisions(self) -> None:
        for answer in self._owner.drain_decisions():
            self._crashes.on_decision(answer)
            self._actions.append(decision_log.log_event(answer))

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name, for the metrics."""
        return {
            "term": self._term,
            "leads": self.leads,
            "knows_leader": bool(self._leader_id),
            "routing_version": self._state.current.version,
            "upstreams": len(self._registry.present),
            "entry_hosts": len(self._entry_ids),
            "waiting": self._owner.waiting,
            "crash_cases": len(self._crashes.ledger),
            "stream_origins": self._origins.origins,
            "limited_upstreams": self._backpressure.ledger.limited,
            **self.duties.gauges(),
        }

    def placement_gauges(self, now: float) -> dict[str, dict[str, float]]:
        """Return the speed and the unknown runs of each upstream by metric, for the metrics."""
        upstreams = self._owner.upstreams(now).items()
        return {
            "medlar_upstream_speed": {name: item.factor for name, item in upstreams},
            "medlar_unknown_runs": {name: item.unknown_runs for name, item in upstreams},
        }

    @property
    def leads(self) -> bool:
        """Return whether this replica leads, as far as it knows."""
        return self._role is replica_types.Role.LEADER

    def _holds_lease(self) -> bool:
        return self._replica.holds_lease(self._now)

    def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case coordination_messages.EntryStatus():
                self._handle_entry_status(sender, message)
            case coordination_messages.ReplicaHello(known, wants_upstreams):
                self._members.record_contact(sender, self._now)
                self._members.add_known(known)
                if wants_upstreams:
                    # Sent before the upstreams: the receiver may own their placement once it knows
                    # them.
                    self._actions += self._backpressure.sync_replica(sender, self._now)
                    self._actions.append(node.Send(sender, self._upstreams.full_gossip()))
            case coordination_messages.UpstreamGossip():
                self._members.record_contact(sender, self._now)
                if message.is_whole:
                    self._members.record_upstreams_received(sender)
                self._actions += self._upstreams.on_gossip(sender, message, self._now)
            case coordination_messages.GossipReceipt():
                self._actions += self._upstreams.on_receipt(sender, message)
            case coordination_messages.CommitQuery(boot, number):
                if self._holds_lease():
                    found = self._replica.status.commit_index
                    reply = coordination_messages.CommitFound(boot, number, found)
                    self._actions.append(node.Send(sender, reply))
            case coordination_messages.CommitFound():
                self._reads.confirm(message)
            case crash_messages.CrashReport():
                self._actions += self._crashes.merge_report(message, self._now)
            case signal_messages.SignalReport():
                self._actions += self._backpressure.take(message, self._now)
                self._upstreams.mark_leaving(message.leaving, self._now)
            case origin_messages.OriginReport():
                self._actions += self._origins.on_report(message, self._now)
            case origin_messages.OriginQuery():
                self._actions.append(self._origins.on_query(sender, message, self._now))
            case usage_messages.UsageTold() | engine_messages.LoadTold():
                self._actions += self.duties.handle_message(sender, message, self._now)
            case _ if type(message) in placement_messages.PLACEMENT_MESSAGES:
                self._place(sender, message)
            case _:
                self._members.record_contact(sender, self._now)
                self._run_log(node.MessageReceived(sender, message))

    def _place(self, sender: str, message: Any) -> None:
        """Pass a placement message to the owner, unless it is a trial that may not run now."""
        match message:
            case placement_messages.PlaceRequest() if message.trial_key:
                refused = self._crashes.check_trial(message, self._now)
                if refused is not None:
                    answer = placement_decision.Decision(sender, refused)
                    self._actions += [decision_log.log_event(answer), node.Send(sender, refused)]
                    return
            case placement_messages.RunEnded():
                self._crashes.on_run_ended(message, self._now)
        self._actions += self._owner.handle(sender, message, self._now)

    def _handle_entry_status(self, sender: str, status: coordination_messages.EntryStatus) -> None:
        is_new = sender not in self._entry_ids
        self._entries.record_status(sender, status, self._now)
        self._feed.period_s = self._entries.period_s
        if is_new:
            self._entry_ids |= {sender}
            self._log_event("entry_host_heard", entry=sender, ready=status.is_ready)
            self._actions.append(node.Send(sender, self._own_status()))
        # A host without routing has just restarted, perhaps before its silence was noticed.
        if is_new or not status.routing_version:
            self._send_learned_state(sender)
        if status.unreachable:
            relay_hosts = self._entries.relay_hosts(sender, self._now)
            self._actions.append(node.Send(sender, coordination_messages.RelayHosts(relay_hosts)))
        self._actions += self._feed.repair_view(sender, status, self._registry.full_view, self._now)
        self._actions += self._feed.push_routing(
            {sender: status}, self._state.current, leads=self.leads, now=self._now
        )

    def _send_learned_state(self, entry_id: str) -> None:
        """Send crash cases and backpressure signals to an entry host that has just connected."""
        known = self._crashes.full_reports(self._now)
        self._actions += [node.Send(entry_id, report) for report in known]
        backpressure = self._backpressure.whole(entry_id, self._now)
        if not backpressure.is_empty:
            self._actions.append(node.Send(entry_id, backpressure))

    def _handle_operation(self, operation_id: int, operation: coordinator_types.Operation) -> None:
        match operation:
            case coordinator_types.PutRouting():
                self._put(operation_id, operation)
            case coordinator_types.GetRouting():
                reply = self._routing_manager.get(holds_lease=self._holds_lease())
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
            case coordinator_types.LiftCrashCase(key) if self._crashes.ledger.ends(key):
                self._lift(operation_id, key)
            case coordinator_types.LiftCrashCase() | coordinator_types.ListCrashCases():
                received = coordinator_types.OperationReceived(operation_id, operation)
                self._reads.add(received, self._now)
                self._ask_committed()
            case coordinator_types.ListDuties():
                self._reply(operation_id, self.duties.summary(self._now))
            case coordinator_types.ListEntryHosts():
                self._reply(operation_id, self._entries.list_hosts(self._now))
            case coordinator_types.ListPlacement():
                shards = self._owner.shards(self._now)
                self._reply(operation_id, coordinator_types.PlacementFound(shards))

    def _ask_committed(self) -> None:
        """Find out how much is committed, if an operation has to know."""
        if not self._reads.waits_for_index:
            return
        if self._holds_lease():
            self._reads.confirm_all(self._replica.status.commit_index)
        elif self._leader_id and not self.leads:
            self._actions += self._reads.queries(self._leader_id)

    def _perform_reads(self) -> None:
        """Perform the operations that waited for what is committed."""
        if self._reads.is_idle:
            return
        for received in self._reads.take_ready(self._replica.status.applied_index):
            match received.operation:
                case coordinator_types.LiftCrashCase(key):
                    self._lift(received.operation_id, key)
                case coordinator_types.ListCrashCases():
                    reports = self._crashes.full_reports(self._now)
                    cases = tuple(case for report in reports for case in report.cases)
                    reply = coordinator_types.CrashCasesFound(cases)
                    self._reply(received.operation_id, reply)

    def _lift(self, operation_id: int, key: str) -> None:
        self._actions += self._crashes.lift(key, self._members.peers, self._now)
        self._reply(operation_id, coordinator_types.Accepted())

    def _put(self, operation_id: int, operation: coordinator_types.PutRouting) -> None:
        if not self.leads:
            reply: coordinator_types.Reply = coordinator_types.Unavailable("No leader is known.")
            if self._leader_id:
                reply = coordinator_types.AskLeader(self._leader_id)
            self._reply(operation_id, reply)
            return
        results = self._routing_manager.put(
            operation_id, operation, holds_lease=self._holds_lease(), now=self._now
        )
        for result in results:
            if isinstance(result, replica_types.Propose):
                self._run_log(result)
            else:
                self._actions.append(result)

    def _quorum(self) -> int:
        """Return the number of replicas, this one included, that form a majority."""
        voters = self._replica.status.voters
        return 1 if voters is None else len(voters.voters) // 2 + 1

    def _run_log(self, event: Any) -> None:
        """Pass an event to the log; events that result from its actions follow those actions.

        Raises:
            errors.BrokenStateError: The log failed, and what it was to write may be lost.
        """
        events = collections.deque((event,))
        try:
            while events:
                for action in self._replica.handle(events.popleft(), self._now):
                    self._perform(action, events)
        except Exception as error:
            raise errors.BrokenStateError(
                f"The replicated log failed: {error}.", remedy="Start the process again."
            ) from error

    def _run_duties(self, actions: tuple[Any, ...], events: collections.deque[Any] | None) -> None:
        """Perform actions of the duties; proposals during log work are queued in ``events``."""
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
                self._run_part(self._use_restored)
            case replica_types.TakeSnapshot(index):
                taken = replica_types.SnapshotTaken(index, self._state.snapshot())
                events.append(taken)
            case replica_types.RoleChanged(role, term, leader_id):
                self._on_role(role, term, leader_id, events)
            case replica_types.ProposalRefused(proposal_id, leader_id, _):
                self._actions += self._routing_manager.on_refused(proposal_id, leader_id)
            case replica_types.VotersChanged(index, voters):
                self._log_event(
                    "members_changed",
                    index=index,
                    voters=",".join(voters.voters),
                    learners=",".join(voters.learners) or None,
                )
            case _:
                self._actions.append(action)

    def _use_restored(self) -> None:
        self._crashes.restore(self._state.held_by_key.values(), self._now)
        self._use_routing()

    def _apply(self, command: bytes, proposal_id: str, events: collections.deque[Any]) -> None:
        applied = self._state.apply(command) if command else None
        self._run_part(self._use_applied, applied, events)
        self._actions += self._routing_manager.on_applied(proposal_id)

    def _use_applied(self, applied: Any, events: collections.deque[Any]) -> None:
        match applied:
            case routing_state.RoutingVersion(version):
                self._log_event("routing_applied", version=version)
                self._use_routing()
                self._push_routing()
            case routing_state.HeldRequest() as held:
                self._log_event("request_held_in_log", key=held.key)
                self._crashes.restore((held,), self._now)
            case routing_state.LiftedRequest(key):
                self._log_event("request_lifted_in_log", key=key)
                self._actions += self._crashes.lift(key, (), self._now)
            case None:
                pass
            case _:
                self._run_duties(self.duties.on_applied(applied, self._now), events)

    def _use_routing(self) -> None:
        if self._state.current.version:
            services = self._decode(self._state.current.body).services
            self._registry.use_services(frozenset(service.name for service in services))
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
            self._log_event("leader_changed", leader=leader_id or None, term=term, role=role.value)
        was_leading = self.leads
        self._role, self._term, self._leader_id = role, term, leader_id
        if self.leads and not was_leading:
            self._push_routing()
        if self.leads != was_leading:
            self._run_duties(self.duties.on_role(leads=self.leads, now=self._now), events)
        self._status_due = -math.inf
        self._tick_due = -math.inf

    def _push_view(self) -> None:
        """Push view changes to entry hosts: leaves at once, other changes by the next tick."""
        if not self._upstreams.has_change:
            return
        if self._now < self._view_due and not self._upstreams.has_leave:
            return
        self._view_due = self._now + VIEW_PERIOD_S
        change = self._upstreams.take_change()
        self._actions += self._origins.see_upstreams(change.present, self._now)
        self._actions += self._feed.push_view(change, self._entry_ids, self._now)
        self._actions += self._owner.use_upstreams(self._registry.present, self._now)
        self._log_event(
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
        """Perform periodic work that is due."""
        self._tick_due = self._now + TICK_S
        for part in (
            self._tick_upstreams,
            self._push_view,
            self._update_entries,
            self._clean_up_placement,
            self._propose_crash_cases,
            self._tick_members,
            self._tick_duties,
            self._report_load,
            self._send_status,
        ):
            self._run_part(part)
        self._actions.append(node.Wake(self._tick_due))

    def _tick_upstreams(self) -> None:
        self._actions += self._routing_manager.expire(self._now)
        self._actions += self._reads.expire(self._now)
        self._ask_committed()
        has_silent_peer = self._members.has_silent_peer(self._now)
        self._actions += self._upstreams.on_tick(
            self._members.peers, self._now, has_silent_peer=has_silent_peer
        )

    def _propose_crash_cases(self) -> None:
        if self.leads:
            for proposal in self._crashes.proposals(self._state.held_by_key, self._now):
                self._run_log(proposal)

    def _tick_members(self) -> None:
        for action in self._members.on_tick(self._replica.status, leads=self.leads, now=self._now):
            if isinstance(action, replica_types.ChangeVoters):
                self._log_event(
                    "member_change_asked", add=action.add or None, remove=action.remove or None
                )
                self._run_log(action)
            else:
                self._actions.append(action)

    def _tick_duties(self) -> None:
        self._actions += self._origins.on_tick(self._registry.present, self._now)
        self._run_duties(
            self.duties.on_tick(self._entry_ids, self._registry.present, self._now), None
        )

    def _send_status(self) -> None:
        if self._now >= self._status_due:
            self._status_due = self._now + self._entries.period_s
            status = self._periodic_status()
            self._actions += [node.Send(entry_id, status) for entry_id in self._entry_ids]
            self._crashes.on_tick(self._now)
            self._backpressure.on_tick(self._now)
            self._push_routing()

    def _report_load(self) -> None:
        """Report the load offered to this replica to the leader, if it orders engines by load."""
        if self._now < self._load_due or not self.duties.orders_engines:
            return
        self._load_due = self._now + LOAD_PERIOD_S
        report = engine_messages.LoadTold(self._boot, self._owner.offered())
        if self.leads:
            self.duties.handle_message(self._replica_id, report, self._now)
        elif self._leader_id:
            self._actions.append(node.Send(self._leader_id, report))

    def _place_waiting(self) -> None:
        """Re-evaluate queued requests, at most once per ``PLACEMENT_PERIOD_S``."""
        if self._now < self._placement_due or not self._owner.waiting:
            return
        self._actions += self._owner.on_time(self._now)
        self._placement_due = self._now + PLACEMENT_PERIOD_S
        self._actions.append(node.Wake(self._placement_due))

    def _clean_up_placement(self) -> None:
        if self._now < self._cleanup_due:
            return
        self._cleanup_due = self._now + CLEANUP_PERIOD_S
        overdue = self._owner.tidy(self._now)
        if overdue:
            self._log_event("run_ends_missed", runs=overdue)

    def _update_entries(self) -> None:
        """Remove silent entry hosts, and push routing to hosts that have none."""
        present = self._entries.status_by_id(self._now)
        for entry_id in self._entry_ids - present.keys():
            self._log_event("entry_host_silent", entry=entry_id)
            self._actions += self._owner.release_entry(entry_id, self._now)
        self._entry_ids = frozenset(present)
        self._owner.use_entries(self._entry_ids, self._entries.host_count)
        self._feed.remove_missing(present)
        # A host without routing serves nobody, so it is pushed without waiting for its next status.
        without = {name: status for name, status in present.items() if not status.routing_version}
        self._actions += self._feed.push_routing(
            without, self._state.current, leads=self.leads, now=self._now
        )

    def _periodic_status(self) -> coordination_messages.ReplicaStatus:
        """Return the status for all entry hosts, which usually omits the list of replicas."""
        status = self._own_status()
        if status.members == self._sent_members and self._now < self._members_due:
            return dataclasses.replace(status, members=())
        self._sent_members = status.members
        self._members_due = self._now + MEMBERS_PERIOD_S
        return status

    def _own_status(self) -> coordination_messages.ReplicaStatus:
        voters = self._replica.status.voters
        members = () if voters is None else (*voters.voters, *voters.learners)
        return coordination_messages.ReplicaStatus(
            self._leader_id,
            self._term,
            members,
            self._entries.host_count,
            self._now - self._started_at,
            self._entries.period_s,
            0.0 if self._wall_offset_s is None else self._now + self._wall_offset_s,
        )

    def _reply(self, operation_id: int, reply: coordinator_types.Reply) -> None:
        self._actions.append(coordinator_types.OperationDone(operation_id, reply))

    def _log_event(self, event: str, **fields: Any) -> None:
        self._actions.append(coordinator_types.LogEvent(event, fields))
