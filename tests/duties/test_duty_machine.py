"""Random histories of duties: one holder at a time, one report a window, nothing counted is lost.

The platform's stand-in checks every call. Calls are lost and carried out late, replicas are killed,
frozen, cut off and lose their disks, and clocks jump.

By hand, for long, each run with a seed of its own:
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
    """Lose at most one disk at a time, and everything else at will."""

    def __init__(self):
        super().__init__()
        self.world = duty_cluster.World()
        self.world.put_services(1)
        self.world.until_held()
        self.disk_lost_at = -100.0
        self.version = 1

    def replica(self, place):
        names = sorted(self.world.host_by_id)
        return names[place % len(names)]

    def is_calm(self):
        hosts = self.world.host_by_id.values()
        running = all(host.node is not None and host.suspended is None for host in hosts)
        return running and not self.world.cut and self.world.time - self.disk_lost_at > 8.0

    @stateful.rule(entry=st.integers(0, 2), account=st.sampled_from("ab"), seconds=st.floats(0, 1))
    def begin(self, entry, account, seconds):
        self.world.begin(account, f"e-{entry}")
        self.world.run(seconds)

    @stateful.rule(seconds=st.floats(0.02, 6.0))
    def let_time_pass(self, seconds):
        self.world.run(seconds)

    @stateful.rule(counts=st.tuples(st.integers(1, 10), st.integers(0, 9)))
    def announce(self, counts):
        self.world.announce((counts, counts, counts))

    @stateful.rule(spot_price=st.sampled_from((0.0, 0.2)))
    def change_routing(self, spot_price):
        self.version += 1
        self.world.put_services(self.version, spot_price)

    @stateful.rule(share=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_answers(self, share):
        self.world.platform.lost_share = share

    @stateful.rule(is_down=st.booleans())
    def switch_platform(self, is_down):
        self.world.platform.is_down = is_down

    @stateful.rule(call_s=st.sampled_from((0.06, 1.5)))
    def slow_platform(self, call_s):
        self.world.call_s = call_s

    @stateful.rule(zones=st.sets(st.sampled_from(duty_cluster.ZONES)))
    def dry(self, zones):
        self.world.platform.dry = {(zone, True) for zone in zones}

    @stateful.rule(place=PLACES, offset=st.sampled_from((0.0, 2.0, -2.0)))
    def step_clock(self, place, offset):
        self.world.wall_offset_by_id = {self.replica(place): offset}

    @stateful.rule(place=PLACES, kept=st.integers(0, 2))
    def restart(self, place, kept):
        self.world.kill(self.replica(place), kept_writes=kept)
        self.world.run(0.5)
        self.world.start(self.replica(place))

    @stateful.rule(kept=st.integers(0, 2))
    def restart_all(self, kept):
        for replica_id in tuple(self.world.host_by_id):
            self.world.kill(replica_id, kept_writes=kept)
            self.world.start(replica_id)

    @stateful.rule()
    def suspend_holder(self):
        holder = self.world.holder()
        if holder is not None:
            self.world.suspend(holder)

    @stateful.rule(place=PLACES)
    def wake(self, place):
        self.world.wake(self.replica(place))

    @stateful.rule(place=PLACES)
    def wipe(self, place):
        if self.is_calm():
            self.world.wipe(self.replica(place))
            self.world.start(self.replica(place))
            self.disk_lost_at = self.world.time

    @stateful.rule(place=PLACES)
    def cut(self, place):
        self.world.cut = {self.replica(place)}

    @stateful.rule()
    def heal(self):
        self.world.cut = set()

    def teardown(self):
        """Once all is well, everything that was counted is reported."""
        world = self.world
        world.cut, world.call_s = set(), duty_cluster.CALL_S
        world.platform.lost_share, world.platform.is_down = 0.0, False
        for replica_id in world.host_by_id:
            world.wake(replica_id)
        world.run(5.0)
        world.until_held(40.0)
        world.run(25.0)
        reported = sum(sum(counts.values()) for counts in world.platform.counts_by_window.values())
        assert reported == world.begun, f"{reported} of {world.begun} were reported"


TestDutyMachine = DutyMachine.TestCase
TestDutyMachine.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    suppress_health_check=list(hypothesis.HealthCheck),
    derandomize=not SEED,
)
if SEED:
    TestDutyMachine = hypothesis.seed(int(SEED))(TestDutyMachine)
