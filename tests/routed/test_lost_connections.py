"""Connections that are lost or can't be opened, without a fault of any process."""

import curio
import pytest

from medlarfork.gateway import retry_policy
from tests import curio_world
from tests.routed import partition, routed_harness

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
            response = await deployment.call(**{routed_harness.NAMES.attempt_id: f"a-{number}"})
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


# Guards against: a request that was lost since an attempt to connect got no answer.
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize(("upstreams", "hosts", "status"), [(2, 1, 200), (1, 2, 200), (1, 1, 503)])
def test_a_request_whose_attempt_to_connect_is_lost_goes_elsewhere(
    tmp_path, kind, upstreams, hosts, status
):
    async def main(deployment):
        links = partition.Partition(deployment.entry)
        for number in range(1, hosts):
            await deployment.start_entry(routed_harness.ENTRY_NUMBER + number)
        for _ in range(upstreams):
            await deployment.add_upstream()
        await deployment.put_routing(kind=kind, max_attempts=2)
        await deployment.until_upstreams(upstreams)
        links.lose(1)
        assert (await deployment.call()).status == status
        assert sum(len(upstream.seen) for upstream in deployment.upstreams) == (status == 200)
        assert (await deployment.call()).status == 200

    routed_harness.run(tmp_path, main)


# Guards against: a service that accepts no connection for a while stayed unreachable later on.
def test_a_small_service_that_accepts_no_connection_refuses_as_not_run_and_recovers(tmp_path):
    async def main(deployment):
        links = partition.Partition(deployment.entry)
        upstream = await deployment.add_upstream()
        await deployment.put_routing(kind="unsafe", timeout_ms=1500)
        await deployment.until_upstreams(1)
        links.lose(1000)
        refused = [await curio.spawn(deployment.call) for _ in range(3)]
        assert {(await calling.join()).status for calling in refused} == {503}
        assert not upstream.seen
        links.lose(0)
        reachability = deployment.entry._prober.reachability
        await curio_world.until(lambda: not reachability.unreachable_services)
        assert (await deployment.call()).status == 200

    routed_harness.run(tmp_path, main)
