"""What callers meet while a deployment has just been started again."""

import time

import curio

from medlarfork.gateway import holding
from tests import curio_world
from tests.routed import routed_world
from tests.routed.routed_world import NAMES


def test_a_request_that_comes_before_the_routing_waits_for_it(tmp_path):
    async def main(world):
        await world.add_upstream()
        calling = await curio.spawn(lambda: world.call(**{NAMES.deadline_ms: "5000"}))
        await curio.sleep(0.2)
        await world.put_routing()
        response = await calling.join()
        assert (response.status, await response.read()) == (200, b"done")

    routed_world.run(tmp_path, main)


def test_a_request_that_comes_before_any_upstream_waits_for_one(tmp_path):
    async def main(world):
        await world.put_routing()
        calling = await curio.spawn(world.call)
        await curio.sleep(0.5)
        await world.add_upstream()
        response = await calling.join()
        assert (response.status, await response.read()) == (200, b"done")

    routed_world.run(tmp_path, main)


def test_a_request_that_can_not_be_held_to_its_end_is_told_when_to_come_back(tmp_path):
    async def main(world):
        began_at = time.monotonic()
        response = await world.call(**{NAMES.deadline_ms: "400"})
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert 0.2 < time.monotonic() - began_at < 0.4

    routed_world.run(tmp_path, main)


def test_a_caller_that_leaves_while_its_request_is_held_frees_its_place(tmp_path):
    async def main(world):
        upstream = await world.add_upstream()
        calling = await curio.spawn(world.call)
        await curio_world.until(lambda: world.entry._holds.held == 1)
        await calling.cancel()
        await curio_world.until(lambda: world.entry._holds.held == 0)
        await world.put_routing()
        assert upstream.seen == []

    routed_world.run(tmp_path, main)


def test_only_so_many_requests_are_held(monkeypatch):
    monkeypatch.setattr(holding, "MOST_HELD", 2)

    async def main():
        holds = holding.Holding()
        async with curio.TaskGroup() as group:
            for _ in range(2):
                await group.spawn(holds.wait, lambda: False, 0.3)
            await curio_world.until(lambda: holds.held == 2)
            began_at = time.monotonic()
            assert not await holds.wait(lambda: False, 9.0)
            assert time.monotonic() - began_at < 0.1

    curio_world.run(main)
