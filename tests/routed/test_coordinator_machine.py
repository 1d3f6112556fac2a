"""Random fault histories of coordinators: no acknowledged version is lost or read back older.

Nor is a held request lost once it was in the log of any replica.

For a long run, with a seed: ``MEDLAR_MACHINE_EXAMPLES=20000 MEDLAR_MACHINE_SEED=1 pytest --timeout
0 FILE``.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from medlarfork import node
from medlarfork.quarantine import crash_messages
from tests.routed import coordinator_cluster

EXAMPLES = int(os.environ.get("MEDLAR_MACHINE_EXAMPLES", "12"))
SEED = os.environ.get("MEDLAR_MACHINE_SEED", "")
STEPS = 25
PLACES = st.integers(0, 7)
NUMBERS = st.sets(st.integers(0, 4), min_size=2)


class CoordinatorMachine(stateful.RuleBasedStateMachine):
    """Injects faults; at most one disk is lost at a time."""

    def __init__(self):
        super().__init__()
        self.cluster = coordinator_cluster.Cluster()
        self.cluster.run(6.0)
        self.version = 0
        self.spare = iter(f"spare{number}" for number in range(100))
        self.disk_lost_at = -100.0
        self.held = set()

    def host(self, place):
        """Return one of the hosts."""
        names = sorted(self.cluster.host_by_id)
        return self.cluster.host_by_id[names[place % len(names)]]

    def is_healthy(self):
        """Return whether all hosts run, are connected, and have recovered from a lost disk."""
        hosts = self.cluster.host_by_id.values()
        running = all(host.node is not None and host.suspended is None for host in hosts)
        return running and not self.cluster.cut and self.cluster.time - self.disk_lost_at > 8.0

    @stateful.rule(place=PLACES, step=st.integers(1, 5))
    def put(self, place, step):
        self.version += step
        self.cluster.put(self.host(place).replica_id, self.version)

    @stateful.rule(place=PLACES, back=st.integers(0, 5))
    def put_old(self, place, back):
        self.cluster.put(self.host(place).replica_id, max(1, self.version - back), "again")

    @stateful.rule(place=PLACES)
    def read(self, place):
        self.cluster.read(self.host(place).replica_id)

    @stateful.rule(places=st.sets(PLACES, min_size=3), key=st.sampled_from("kl"), numbers=NUMBERS)
    def transmit_crash_report(self, places, key, numbers):
        """Send an entry host's report of crashed upstreams to some replicas."""
        ends = tuple(crash_messages.UpstreamCrash(f"u-{number}", 0.0) for number in numbers)
        report = crash_messages.CrashReport((crash_messages.CrashCase(key, ends),))
        received = node.MessageReceived("e-0", report)
        for place in places:
            self.cluster.post(self.host(place).replica_id, received)
        self.cluster.run(0.3)

    @stateful.invariant()
    def record_held(self):
        """Record held requests that any replica has applied from the committed log."""
        for host in self.cluster.host_by_id.values():
            if host.node is not None:
                self.held |= set(host.node._state.held_by_key)

    @stateful.rule(seconds=st.floats(0.02, 3.0))
    def let_time_pass(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(place=PLACES, kept=st.integers(0, 3))
    def kill(self, place, kept):
        self.cluster.kill(self.host(place).replica_id, kept_writes=kept)

    @stateful.rule(place=PLACES)
    def start(self, place):
        host = self.host(place)
        if host.node is None:
            self.cluster.start(host.replica_id)

    @stateful.rule(kept=st.integers(0, 3))
    def kill_all(self, kept):
        for replica_id in tuple(self.cluster.host_by_id):
            self.cluster.kill(replica_id, kept_writes=kept)
            self.cluster.start(replica_id)

    @stateful.rule(place=PLACES)
    def wipe(self, place):
        if self.is_healthy():
            replica_id = self.host(place).replica_id
            self.cluster.wipe(replica_id)
            self.cluster.start(replica_id)
            self.disk_lost_at = self.cluster.time

    @stateful.rule(place=PLACES)
    def replace(self, place):
        if self.is_healthy():
            self.cluster.remove(self.host(place).replica_id)
            self.cluster.run(1.0)
            self.cluster.start(next(self.spare))
            self.disk_lost_at = self.cluster.time

    @stateful.rule(place=PLACES)
    def suspend(self, place):
        self.cluster.suspend(self.host(place).replica_id)

    @stateful.rule(place=PLACES)
    def wake(self, place):
        self.cluster.wake(self.host(place).replica_id)

    @stateful.rule(place=PLACES)
    def cut_off(self, place):
        self.cluster.cut.add(self.host(place).replica_id)

    @stateful.rule(place=PLACES, other=PLACES)
    def cut_one_way(self, place, other):
        self.cluster.cut.add((self.host(place).replica_id, self.host(other).replica_id))

    @stateful.rule()
    def heal(self):
        self.cluster.cut.clear()

    @stateful.rule(place=PLACES, is_full=st.booleans())
    def fill_disk(self, place, is_full):
        self.host(place).disk.is_full = is_full

    def teardown(self):
        """Heal all faults; everything acknowledged must then be present on every replica."""
        self.cluster.cut.clear()
        for host in tuple(self.cluster.host_by_id.values()):
            host.disk.is_full = False
            if host.node is None:
                self.cluster.start(host.replica_id)
            self.cluster.wake(host.replica_id)
        if self.cluster.acknowledged:
            self.cluster.until_read(40.0)
        if self.held:
            self.cluster.run(20.0)
        for host in self.cluster.host_by_id.values():
            assert self.held <= set(host.node._state.held_by_key)
            assert all(len(host.node._crashes.ledger.ends(key)) >= 3 for key in self.held)


TestCoordinators = CoordinatorMachine.TestCase
TestCoordinators.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=not SEED
)
if SEED:
    hypothesis.seed(int(SEED))(TestCoordinators)
