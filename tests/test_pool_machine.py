"""Drive the pool with random events and check after every one what must always hold."""

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
_OWN_REASONS = (ticket.ShedReason.HOPELESS, ticket.ShedReason.ACCOUNT_LIMIT)
_UPSTREAM_IDS = strategies.sampled_from(["u1", "u2", "u3", "u4"])


class PoolMachine(stateful.RuleBasedStateMachine):
    """Keep a plain record of what was asked, granted and refused beside the real pool."""

    def __init__(self):
        super().__init__()
        self.options = pool.PoolOptions(max_queued=6, slow_start_s=0.0, preempt_cooldown_s=0.5)
        self.pool = pool.Pool(
            name=_POOL, entry_id="owner", random=random.Random(5), options=self.options
        )
        self.now = 100.0
        self.count = 0
        self.sequence = 0
        self.item_by_id = {}
        self.queued = set()
        self.upstream_by_running = {}
        self.finals = {}
        self.taken_back_at = {}
        self.orphans = set()
        self.incarnation_by_upstream = {}
        self.slots_by_upstream = {}
        self.closed = set()
        self.drained = ()
        self._handle(pool_events.PolicyChanged(_CLASSES, _ACCOUNTS, _SERVICE))

    def _handle(self, event):
        actions = self.pool.handle(event, self.now)
        for action in actions:
            match action:
                case ticket.Grant():
                    self._granted(action, event)
                case ticket.Shed():
                    self._refused(action, event)
                case ticket.Preempt():
                    self._preempted(action)
        return actions

    def _granted(self, grant, event):
        if grant.ticket_id in self.upstream_by_running:
            assert isinstance(event, ticket.Ticket) and event.ticket_id == grant.ticket_id
            assert self.upstream_by_running[grant.ticket_id][0] == grant.upstream_id
            return
        assert grant.ticket_id in self.queued, "granted without being queued"
        assert grant.upstream_id in self.slots_by_upstream
        assert grant.upstream_id not in self.closed
        assert grant.upstream_id not in self.drained
        self.queued.discard(grant.ticket_id)
        here = (grant.upstream_id, self.incarnation_by_upstream[grant.upstream_id])
        self.upstream_by_running[grant.ticket_id] = here
        running = list(self.upstream_by_running.values()).count(here)
        assert running <= self.slots_by_upstream[grant.upstream_id]

    def _refused(self, shed, event):
        if shed.ticket_id in self.finals:
            assert isinstance(event, ticket.Ticket) and event.ticket_id == shed.ticket_id
            assert self.finals[shed.ticket_id] == shed
            return
        assert shed.ticket_id in self.queued
        assert shed.retry_after_s > 0
        self.queued.discard(shed.ticket_id)
        self.finals[shed.ticket_id] = shed
        tier = self.item_by_id[shed.ticket_id].tier
        if shed.reason not in _OWN_REASONS:
            lower = [held for held in self.queued if self.item_by_id[held].tier > tier]
            assert not lower, f"tier {tier} shed while {lower} are queued"

    def _preempted(self, preempt):
        assert preempt.ticket_id in self.upstream_by_running
        item = self.item_by_id[preempt.ticket_id]
        assert item.repeatable
        if preempt.stalled:
            assert self.upstream_by_running[preempt.ticket_id][0] in self.closed
            return
        assert item.preemptible
        assert any(self.item_by_id[held].tier < item.tier for held in self.queued)

    @stateful.rule(
        tier=strategies.integers(1, 3),
        account=strategies.sampled_from("abc"),
        entry=strategies.sampled_from(["e1", "e2"]),
        left=strategies.sampled_from([0.2, 5.0, 60.0]),
        aim=strategies.sampled_from([None, 0.1, 1.0]),
        repeatable=strategies.booleans(),
        preemptible=strategies.booleans(),
        avoid=strategies.lists(_UPSTREAM_IDS, max_size=2),
    )
    def ask(self, tier, account, entry, left, aim, repeatable, preemptible, avoid):
        self.count += 1
        item = ticket.Ticket(
            ticket_id=f"r{self.count}/1", entry_id=entry, pool=_POOL, account=account,
            class_name=_CLASSES[tier - 1].name, tier=tier, waited_s=0.0, time_left_s=left,
            target_left_s=aim, repeatable=repeatable, preemptible=preemptible,
            avoid=tuple(avoid),
        )  # fmt: skip
        self.item_by_id[item.ticket_id] = item
        self.taken_back_at[item.ticket_id] = self.now + left + self.options.release_grace_s
        self.queued.add(item.ticket_id)
        self._handle(item)

    @stateful.precondition(lambda self: self.item_by_id)
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def repeat(self, pick):
        known = pick.choice(sorted(self.item_by_id))
        queued = set(self.queued)
        actions = self._handle(self.item_by_id[known])
        if known in queued and known in self.queued:
            assert not any(getattr(action, "ticket_id", "") == known for action in actions)

    @stateful.precondition(lambda self: self.upstream_by_running)
    @stateful.rule(
        pick=strategies.randoms(use_true_random=False),
        cause=strategies.sampled_from(list(ticket.ReleaseCause)),
        whole=strategies.sampled_from([0.05, 0.5, 5.0]),
        twice=strategies.booleans(),
    )
    def release(self, pick, cause, whole, twice):
        known = pick.choice(sorted(self.upstream_by_running))
        del self.upstream_by_running[known]
        self.finals[known] = "released"
        release = ticket.Release(known, _POOL, cause, None, whole, 10)
        self._handle(release)
        if twice:
            running = self.pool.summary(self.now).running
            self._handle(release)
            assert self.pool.summary(self.now).running == running

    @stateful.precondition(lambda self: self.item_by_id)
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def withdraw(self, pick):
        known = pick.choice(sorted(self.item_by_id))
        self.queued.discard(known)
        self.upstream_by_running.pop(known, None)
        self.finals.setdefault(known, "withdrawn")
        self._handle(ticket.Withdraw(known, _POOL))

    @stateful.rule(upstream_id=_UPSTREAM_IDS, slots=strategies.integers(1, 3))
    def come_up(self, upstream_id, slots):
        if upstream_id in self.slots_by_upstream and upstream_id not in self.closed:
            return
        self.sequence += 1
        self.slots_by_upstream[upstream_id] = slots
        self.incarnation_by_upstream[upstream_id] = self.sequence
        self.closed.discard(upstream_id)
        ready = self._announcement(upstream_id, upstream.UpstreamState.READY)
        self._handle(pool_events.UpstreamUp(ready))

    @stateful.precondition(lambda self: set(self.slots_by_upstream) - self.closed)
    @stateful.rule(pick=strategies.randoms(use_true_random=False), gone=strategies.booleans())
    def leave(self, pick, gone):
        upstream_id = pick.choice(sorted(set(self.slots_by_upstream) - self.closed))
        self.closed.add(upstream_id)
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
    def lose_entry(self, entry):
        lost = {held for held in self.queued if self.item_by_id[held].entry_id == entry}
        self.queued -= lost
        self.finals.update(dict.fromkeys(lost, "lost"))
        self._handle(pool_events.EntryGone(entry))
        for known in self.upstream_by_running:
            if self.item_by_id[known].entry_id == entry:
                orphaned_until = self.now + self.options.orphan_s
                self.taken_back_at[known] = min(self.taken_back_at[known], orphaned_until)
                self.orphans.add(known)

    @stateful.precondition(lambda self: self._may_still_run())
    @stateful.rule(pick=strategies.randoms(use_true_random=False))
    def announce_running(self, pick):
        known = pick.choice(self._may_still_run())
        item = self.item_by_id[known]
        if known not in self.upstream_by_running or known in self.orphans:
            self.taken_back_at[known] = self.now + item.time_left_s + self.options.release_grace_s
            self.orphans.discard(known)
        here = self.upstream_by_running.get(known) or self.finals.pop(known)
        self.upstream_by_running[known] = here
        self._handle(ticket.Running(item, here[0], 0.5))

    def _may_still_run(self):
        taken_back = [known for known, final in self.finals.items() if isinstance(final, tuple)]
        return sorted([*self.upstream_by_running, *taken_back])

    @stateful.rule()
    def take_over(self):
        self._handle(pool_events.TookOver())

    @stateful.rule(elapsed=strategies.sampled_from([0.001, 0.05, 0.4, 3.0]))
    def pass_time(self, elapsed):
        self.now += elapsed
        for known in list(self.upstream_by_running):
            if self.taken_back_at[known] <= self.now:
                # The upstream's name stays in the record: its holder may still claim the slot.
                self.finals[known] = self.upstream_by_running.pop(known)
        self._handle(node.TimeDue())

    @stateful.invariant()
    def counts_agree(self):
        summary = self.pool.summary(self.now)
        assert summary.queued == len(self.queued)
        assert summary.queued <= 6
        assert summary.running == len(self.upstream_by_running)

    @stateful.invariant()
    def no_ticket_has_two_finals(self):
        assert not self.queued & set(self.finals)
        assert not self.queued & set(self.upstream_by_running)
        assert not set(self.upstream_by_running) & set(self.finals)


PoolMachine.TestCase.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=60, suppress_health_check=list(hypothesis.HealthCheck)
)
TestPoolMachine = PoolMachine.TestCase
