"""A prompt part that crashes engines, while processes are killed, stopped and started again."""

import contextlib
import random
import signal
import time

import pytest

from tests.processes import routed_fleet, soak_seeds, traffic

CONTACT_S = 3.0
TURNS = 6
CALM_S = 7.0


class History:
    """What a seed draws: each turn ends some processes, which are started again at once."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._random = random.Random(seed)
        self._turns = [self._kill_host, self._kill_replica, self._kill_engines, self._pause_replica]
        self._turns += [fleet.restart_all]

    def turn(self):
        time.sleep(self._random.uniform(0.3, 1.5))
        self._random.choice(self._turns)()

    def _kill_host(self):
        entry = self._random.choice(self._fleet.entries)
        self._fleet.kill(entry)
        self._fleet.start_entry(entry)

    def _kill_replica(self):
        replica = self._random.choice(self._fleet.replicas)
        self._fleet.kill(replica)
        self._fleet.start_replica(replica)

    def _kill_engines(self):
        for engine in self._random.sample(self._fleet.engines, 2):
            engine.kill()

    def _pause_replica(self):
        process = self._fleet.process_by_host[self._random.choice(self._fleet.replicas)]
        process.send_signal(signal.SIGSTOP)
        time.sleep(1.0)
        process.send_signal(signal.SIGCONT)


@pytest.fixture
def fleet(tmp_path):
    with contextlib.closing(routed_fleet.Fleet(tmp_path, engines=8)) as made:
        made.put_route(kind="streaming", has_prompt=True)
        made.until_known()
        yield made


@pytest.mark.parametrize("seed", soak_seeds.seeds(default=(1, 2)))
def test_a_crashing_part_reaches_few_engines_and_sound_requests_go_on(fleet, seed):
    history = History(fleet, seed)
    sound = traffic.Traffic(fleet, "sound", ("tmpl", "good"), 10)
    with sound, traffic.Traffic(fleet, "deadly", ("tmpl", "deadly"), 5):
        for _ in range(TURNS):
            history.turn()
        calm_at = time.monotonic() + CONTACT_S
        time.sleep(CALM_S)
        stopped_at = time.monotonic()
    runs = fleet.prompt_runs("deadly")
    fifth_at = runs[min(5, len(runs)) - 1]
    assert sum(at > fifth_at + CONTACT_S for at in runs) <= 3, [at - runs[0] for at in runs]
    assert sound.served_share(calm_at, stopped_at) >= 0.9
