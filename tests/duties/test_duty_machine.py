"""Stateful test of duties: one holder at a time, one report per window, no lost counts.

The simulated platform checks every call. Calls are lost and executed late, replicas are killed,
suspended, partitioned and lose their disks, and clocks jump.

For a long manual run, use a different seed each time:
``MEDLAR_MACHINE_EXAMPLES=2000 MEDLAR_MACHINE_SEED=1 pytest --timeout 0 FILE``.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.duties import duty_cluster

EXAMPLES = int(os.environ.get("MEDLAR_MACHINE_EXAMPLES", "8"))
SEED = os.environ.get("MEDLAR_MACHINE_SEED", "")
STEPS = 20
PLACES = st.integers(0, 4)


class DutyMachine(stateful.RuleBasedStateMachine):
    """Random faults; at most one disk is lost at a time."""

    def __init__(self):
        super().__init__()
        self.cluster = duty_cluster.DutyCluster()
        self.cluster.put_services(1)
        self.cluster.run_until_held()
        self.disk_lost_at = -100.0
        self.version = 1

    def replica(self, place):
        names = sorted(self.cluster.host_by_id)
        return names[place % len(names)]

    def is_calm(self):
        hosts = self.cluster.host_by_id.values()
        running = all(host.node is not None and host.suspended is None for host in hosts)
        return running and not self.cluster.cut and self.cluster.time - self.disk_lost_at > 8.0

    @stateful.rule(entry=st.integers(0, 2), account=st.sampled_from("ab"), seconds=st.floats(0, 1))
    def begin(self, entry, account, seconds):
        self.cluster.start_request(account, f"e-{entry}")
        self.cluster.run(seconds)

    @stateful.rule(seconds=st.floats(0.02, 6.0))
    def let_time_pass(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule(counts=st.tuples(st.integers(1, 10), st.integers(0, 9)))
    def announce(self, counts):
        self.cluster.announce((counts, counts, counts))

    @stateful.rule(spot_price=st.sampled_from((0.0, 0.2)))
    def change_routing(self, spot_price):
        self.version += 1
        self.cluster.put_services(self.version, spot_price)

    @stateful.rule(share=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_answers(self, share):
        self.cluster.platform.lost_share = share

    @stateful.rule(is_down=st.booleans())
    def switch_platform(self, is_down):
        self.cluster.platform.is_down = is_down

    @stateful.rule(call_latency_s=st.sampled_from((0.06, 1.5)))
    def slow_platform(self, call_latency_s):
        self.cluster.call_latency_s = call_latency_s

    @stateful.rule(zones=st.sets(st.sampled_from(duty_cluster.ZONES)))
    def exhausted(self, zones):
        self.cluster.platform.exhausted = {(zone, True) for zone in zones}

    @stateful.rule(place=PLACES, offset=st.sampled_from((0.0, 2.0, -2.0)))
    def step_clock(self, place, offset):
        self.cluster.wall_offset_by_id = {self.replica(place): offset}

    @stateful.rule(place=PLACES, kept=st.integers(0, 2))
    def restart(self, place, kept):
        self.cluster.kill(self.replica(place), kept_writes=kept)
        self.cluster.run(0.5)
        self.cluster.start(self.replica(place))

    @stateful.rule(kept=st.integers(0, 2))
    def restart_all(self, kept):
        for replica_id in tuple(self.cluster.host_by_id):
            self.cluster.kill(replica_id, kept_writes=kept)
            self.cluster.start(replica_id)

    @stateful.rule()
    def suspend_holder(self):
        holder = self.cluster.holder()
        if holder is not None:
            self.cluster.suspend(holder)

    @stateful.rule(place=PLACES)
    def wake(self, place):
        self.cluster.wake(self.replica(place))

    @stateful.rule(place=PLACES)
    def wipe(self, place):
        if self.is_calm():
            self.cluster.wipe(self.replica(place))
            self.cluster.start(self.replica(place))
            self.disk_lost_at = self.cluster.time

    @stateful.rule(place=PLACES)
    def cut(self, place):
        self.cluster.cut = {self.replica(place)}

    @stateful.rule()
    def heal(self):
        self.cluster.cut = set()

    def teardown(self):
        """Check that everything that was counted is reported after the faults have ended."""
        cluster = self.cluster
        cluster.cut, cluster.call_latency_s = set(), duty_cluster.CALL_LATENCY_S
        cluster.platform.lost_share, cluster.platform.is_down = 0.0, False
        for replica_id in cluster.host_by_id:
            cluster.wake(replica_id)
        cluster.run(5.0)
        cluster.run_until_held(40.0)
        cluster.run(25.0)
        reported = sum(
            sum(counts.values()) for counts in cluster.platform.counts_by_window.values()
        )
        assert (
            reported == cluster.started_requests
        ), f"{reported} of {cluster.started_requests} were reported"


TestDutyMachine = DutyMachine.TestCase
TestDutyMachine.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    suppress_health_check=list(hypothesis.HealthCheck),
    derandomize=not SEED,
)
if SEED:
    TestDutyMachine = hypothesis.seed(int(SEED))(TestDutyMachine)
