"""Stateful property test of the pool: random events, with invariants checked after each."""

import random

import hypothesis
from hypothesis import stateful, strategies

from medlarfork import node, ticket, upstream
from medlarfork.declared import configuration
from medlarfork.pool import pool, pool_events

_POOL = "lm/0"
_CLASSES = (
    configuration.RequestClass("counter", 1),
    configuration.RequestClass("chat", 2),
    configuration.RequestClass("review", 3, preemptible=True),
)
_SERVICE = configuration.Service("lm", configuration.ServiceKind.MODEL, "")
_ACCOUNTS = (
    configuration.Account("a", limits=configuration.AccountLimits(concurrent=6)),
    configuration.Account("b", weight=2.0),
)
_TICKET_SPECIFIC_REASONS = (ticket.ShedReason.HOPELESS, ticket.ShedReason.ACCOUNT_LIMIT)
_UPSTREAM_IDS = strategies.sampled_from(["u1", "u2", "u3", "u4"])


class PoolMachine(stateful.RuleBasedStateMachine):
    """Model of submitted, granted and refused tickets, compared with the pool under test."""

    def __init__(self):
        super().__init__()
        self.options = pool.PoolOptions(max_queued=6, slow_start_s=0.0, preempt_cooldown_s=0.5)
        self.pool = pool.Pool(
            name=_POOL, entry_id="owner", random=random.Random(5), options=self.options
        )
        self.now = 100.0
        self.ticket_count = 0
        self.sequence = 0
        self.item_by_id = {}
        self.queued = set()
        self.upstream_by_running = {}
        self.outcomes = {}
        self.reclaim_at = {}
        self.orphans = set()
        self.incarnation_by_upstream = {}
        self.slots_by_upstream = {}
        self.unavailable = set()
        self.drained = ()
        self._handle(pool_events.PolicyChanged(_CLASSES, _ACCOUNTS, _SERVICE))

    def _handle(self, event):
        actions = self.pool.handle(event, self.now)
        for action in actions:
            match action:
                case ticket.Grant():
                    self._check_grant(action, event)
                case ticket.Shed():
                    self._check_shed(action, event)
                case ticket.Preempt():
                    self._check_preemption(action)
        return actions

    def _check_grant(self, grant, event):
        if grant.ticket_id in self.upstream_by_running:
            assert isinstance(event, ticket.Ticket) and event.ticket_id == grant.ticket_id
            assert self.upstream_by_running[grant.ticket_id][0] == grant.upstream_id
            return
        assert grant.ticket_id in self.queued, "granted without being queued"
        assert grant.upstream_id in self.slots_by_upstream
        assert grant.upstream_id not in self.unavailable
        assert grant.upstream_id not in self.drained
        self.queued.discard(grant.ticket_id)
        location = (grant.upstream_id, self.incarnation_by_upstream[grant.upstream_id])
        self.upstream_by_running[grant.ticket_id] = location
        running = list(self.upstream_by_running.values()).count(location)
        assert running <= self.slots_by_upstream[grant.upstream_id]

    def _check_shed(self, shed, event):
        if shed.ticket_id in self.outcomes:
            assert isinstance(event, ticket.Ticket) and event.ticket_id == shed.ticket_id
            assert self.outcomes[shed.ticket_id] == shed
            return
        assert shed.ticket_id in self.queued
        assert shed.retry_after_s > 0
        self.queued.discard(shed.ticket_id)
        self.outcomes[shed.ticket_id] = shed
        tier = self.item_by_id[shed.ticket_id].tier
        if shed.reason not in _TICKET_SPECIFIC_REASONS:
            lower = [other for other in self.queued if self.item_by_id[other].tier > tier]
            assert not lower, f"tier {tier} shed while {lower} are queued"

    def _check_preemption(self, preempt):
        assert preempt.ticket_id in self.upstream_by_running
        item = self.item_by_id[preempt.ticket_id]
        assert item.repeatable
        if preempt.stalled:
            assert self.upstream_by_running[preempt.ticket_id][0] in self.unavailable
            return
        assert item.preemptible
        assert any(self.item_by_id[other].tier < item.tier for other in self.queued)

    @stateful.rule(
        tier=strategies.integers(1, 3),
        account=strategies.sampled_from("abc"),
        entry=strategies.sampled_from(["e1", "e2"]),
        time_left=strategies.sampled_from([0.2, 5.0, 60.0]),
        target_left=strategies.sampled_from([None, 0.1, 1.0]),
        repeatable=strategies.booleans(),
        preemptible=strategies.booleans(),
        avoid=strategies.lists(_UPSTREAM_IDS, max_size=2),
    )
    def submit(self, tier, account, entry, time_left, target_left, repeatable, preemptible, avoid):
        self.ticket_count += 1
        item = ticket.Ticket(
            ticket_id=f"r{self.ticket_count}/1", entry_id=entry, pool=_POOL, account=account,
            class_name=_CLASSES[tier - 1].name, tier=tier, waited_s=0.0, time_left_s=time_left,
            target_left_s=target_left, repeatable=repeatable, preemptible=preemptible,
            avoid=tuple(avoid),
        )  # fmt: skip
        self.item_by_id[item.ticket_id] = item
        self.reclaim_at[item.ticket_id] = self.now + time_left + self.options.release_grace_s
        self.queued.add(item.ticket_id)
        self._handle(item)

    @stateful.precondition(lambda self: self.item_by_id)
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def resend(self, pick):
        ticket_id = pick.choice(sorted(self.item_by_id))
        queued = set(self.queued)
        actions = self._handle(self.item_by_id[ticket_id])
        if ticket_id in queued and ticket_id in self.queued:
            assert not any(getattr(action, "ticket_id", "") == ticket_id for action in actions)

    @stateful.precondition(lambda self: self.upstream_by_running)
    @stateful.rule(
        pick=strategies.randoms(use_true_random=False),
        cause=strategies.sampled_from(list(ticket.ReleaseCause)),
        duration_s=strategies.sampled_from([0.05, 0.5, 5.0]),
        twice=strategies.booleans(),
    )
    def release(self, pick, cause, duration_s, twice):
        ticket_id = pick.choice(sorted(self.upstream_by_running))
        del self.upstream_by_running[ticket_id]
        self.outcomes[ticket_id] = "released"
        release = ticket.Release(ticket_id, _POOL, cause, None, duration_s, 10)
        self._handle(release)
        if twice:
            running = self.pool.summary(self.now).running
            self._handle(release)
            assert self.pool.summary(self.now).running == running

    @stateful.precondition(lambda self: self.item_by_id)
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def withdraw(self, pick):
        ticket_id = pick.choice(sorted(self.item_by_id))
        self.queued.discard(ticket_id)
        self.upstream_by_running.pop(ticket_id, None)
        self.outcomes.setdefault(ticket_id, "withdrawn")
        self._handle(ticket.Withdraw(ticket_id, _POOL))

    @stateful.rule(upstream_id=_UPSTREAM_IDS, slots=strategies.integers(1, 3))
    def register_upstream(self, upstream_id, slots):
        if upstream_id in self.slots_by_upstream and upstream_id not in self.unavailable:
            return
        self.sequence += 1
        self.slots_by_upstream[upstream_id] = slots
        self.incarnation_by_upstream[upstream_id] = self.sequence
        self.unavailable.discard(upstream_id)
        ready = self._announcement(upstream_id, upstream.UpstreamState.READY)
        self._handle(pool_events.UpstreamUp(ready))

    @stateful.precondition(lambda self: set(self.slots_by_upstream) - self.unavailable)
    @stateful.rule(pick=strategies.randoms(use_true_random=False), gone=strategies.booleans())
    def remove_upstream(self, pick, gone):
        upstream_id = pick.choice(sorted(set(self.slots_by_upstream) - self.unavailable))
        self.unavailable.add(upstream_id)
        if gone:
            self._handle(pool_events.UpstreamGone(upstream_id))
            return
        self.sequence += 1
        leaving = self._announcement(upstream_id, upstream.UpstreamState.LEAVING)
        self._handle(pool_events.UpstreamChanged(leaving))
        self.sequence += 1
        late = self._announcement(upstream_id, upstream.UpstreamState.READY)
        self._handle(pool_events.UpstreamChanged(late))

    def _announcement(self, upstream_id, state):
        return upstream.Announcement(
            upstream_id, self.incarnation_by_upstream[upstream_id], self.sequence, state,
            f"http://{upstream_id}", slots=self.slots_by_upstream[upstream_id],
        )  # fmt: skip

    @stateful.rule(drained=strategies.lists(_UPSTREAM_IDS, max_size=1))
    def change_policy(self, drained):
        self.drained = tuple(drained)
        changed = pool_events.PolicyChanged(_CLASSES, _ACCOUNTS, _SERVICE, self.drained)
        self._handle(changed)

    @stateful.rule(entry=strategies.sampled_from(["e1", "e2"]))
    def lose_entry_host(self, entry):
        lost = {other for other in self.queued if self.item_by_id[other].entry_id == entry}
        self.queued -= lost
        self.outcomes.update(dict.fromkeys(lost, "lost"))
        self._handle(pool_events.EntryGone(entry))
        for ticket_id in self.upstream_by_running:
            if self.item_by_id[ticket_id].entry_id == entry:
                orphaned_until = self.now + self.options.orphan_s
                self.reclaim_at[ticket_id] = min(self.reclaim_at[ticket_id], orphaned_until)
                self.orphans.add(ticket_id)

    @stateful.precondition(lambda self: self._running_or_reclaimed())
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def report_running(self, pick):
        ticket_id = pick.choice(self._running_or_reclaimed())
        item = self.item_by_id[ticket_id]
        if ticket_id not in self.upstream_by_running or ticket_id in self.orphans:
            self.reclaim_at[ticket_id] = self.now + item.time_left_s + self.options.release_grace_s
            self.orphans.discard(ticket_id)
        location = self.upstream_by_running.get(ticket_id) or self.outcomes.pop(ticket_id)
        self.upstream_by_running[ticket_id] = location
        self._handle(ticket.Running(item, location[0], 0.5))

    def _running_or_reclaimed(self):
        reclaimed = [
            ticket_id for ticket_id, outcome in self.outcomes.items() if isinstance(outcome, tuple)
        ]
        return sorted([*self.upstream_by_running, *reclaimed])

    @stateful.rule()
    def take_over(self):
        self._handle(pool_events.TookOver())

    @stateful.rule(elapsed=strategies.sampled_from([0.001, 0.05, 0.4, 3.0]))
    def advance_time(self, elapsed):
        self.now += elapsed
        for ticket_id in list(self.upstream_by_running):
            if self.reclaim_at[ticket_id] <= self.now:
                # The outcome keeps the upstream: the holder may still report the ticket as running.
                self.outcomes[ticket_id] = self.upstream_by_running.pop(ticket_id)
        self._handle(node.TimeDue())

    @stateful.invariant()
    def summary_matches_model(self):
        summary = self.pool.summary(self.now)
        assert summary.queued == len(self.queued)
        assert summary.queued <= 6
        assert summary.running == len(self.upstream_by_running)

    @stateful.invariant()
    def ticket_states_are_disjoint(self):
        assert not self.queued & set(self.outcomes)
        assert not self.queued & set(self.upstream_by_running)
        assert not set(self.upstream_by_running) & set(self.outcomes)


PoolMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=60, suppress_health_check=list(hypothesis.HealthCheck)
)
TestPoolMachine = PoolMachine.TestCase
