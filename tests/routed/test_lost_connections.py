"""Connections that are lost or can't be opened, without a fault of any process."""

import curio
import pytest

from medlarfork.gateway import retry_policy
from tests import curio_world
from tests.routed import partition, routed_harness
from tests.routed.routed_harness import NAMES

REST_S = 0.2


# Guards against: a request that may not run twice failed on a connection that was lost at rest.
@pytest.mark.parametrize("how", ["reset", "forgotten"])
def test_a_request_that_may_not_run_twice_survives_connections_lost_at_rest(
    tmp_path, monkeypatch, how
):
    async def main(deployment):
        links = partition.Partition(deployment.entry)
        upstream = await deployment.add_upstream()
        await deployment.put_routing(kind="unsafe")
        await deployment.until_upstreams(1)
        for number in (1, 2):
            response = await deployment.call(**{NAMES.attempt_id: f"a-{number}"})
            assert (response.status, len(upstream.seen)) == (200, number)
            await response.read()
            await curio_world.until(lambda: deployment.entry._client.idle_connections == 1)
            await curio.sleep(2 * REST_S)
            if how == "reset":
                await links.reset()
            else:
                links.forget()

    monkeypatch.setattr(retry_policy, "MAX_IDLE_S", REST_S)
    routed_harness.run(tmp_path, main)
