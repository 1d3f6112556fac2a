"""Connections that are lost or can't be opened, without a fault of any process."""

import time

import curio
import pytest

from medlarfork.gateway import retry_policy
from medlarfork.placement import placement_messages
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


class LostLinks:
    """Discards what an entry host and some replicas send to each other, as a closed link does."""

    def __init__(self, entry):
        self.replica_ids = frozenset()
        self._send = entry._link._send_parts
        self._accept = entry._link._accept
        entry._link._send_parts = self.send
        entry._link._accept = self.accept

    def send(self, peer_id, parts):
        return peer_id in self.replica_ids or self._send(peer_id, parts)

    def accept(self, socket, frames):
        received = self._accept(socket, frames)
        return None if received is not None and received.sender in self.replica_ids else received


async def _answer_slowly(exchange):
    await curio.sleep(0.15)
    await routed_harness.answer_plainly(exchange)


# Guards against: a request, or its slot, was lost with what was queued on a link that was closed.
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("lost", ["owner", "all"])
def test_no_request_or_slot_is_lost_with_the_messages_of_a_link(tmp_path, kind, lost):
    async def main(deployment):
        links = LostLinks(deployment.entry)
        upstream = await deployment.add_upstream(_answer_slowly)
        await deployment.put_routing(kind=kind, timeout_ms=4000)
        await deployment.until_upstreams(1)

        async def call(number):
            return (
                await deployment.call(**{routed_harness.NAMES.attempt_id: f"a-{number}"})
            ).status

        calling = []
        for number in range(60):
            calling.append(await curio.spawn(call, number))
            await curio.sleep(0.05)
            if number == 10:
                replica_ids = set(deployment.replica_ids)
                shard = deployment.entry._session.resolve_shard(placement_messages.Shard("engines"))
                owner_id = deployment.entry._session.owner(shard, time.monotonic())
                links.replica_ids = replica_ids if lost == "all" else {owner_id}
            elif number == 50:
                links.replica_ids = frozenset()
        assert {await task.join() for task in calling} == {200}
        assert len(upstream.seen) == len(calling)
        assert not deployment.entry._owner._ticket_by_id
        owners = [program._node._owner for program in deployment.control_by_id.values()]
        shards = [shard for owner in owners for shard in owner._owner_by_shard.values()]
        assert shards
        await curio_world.until(lambda: not any(shard.running for shard in shards))

    routed_harness.run(tmp_path, main)
