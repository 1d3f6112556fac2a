"""Load reports of upstreams, from their response heads to the placement owner."""

import curio
import pytest

from medlarfork.http import event_framer
from medlarfork.placement import placement_messages, reported_load
from tests import curio_world
from tests.routed import routed_harness
from tests.routed.routed_harness import NAMES

LOAD = reported_load.ReportedLoad(3, 1, 8, 2.5)


def _record_reports(deployment):
    """Return a list that collects the run reports that the entry host sends to the owner."""
    reports = []
    client = deployment.entry._owner
    send = client._send

    def record(replica_id, message):
        if isinstance(message, placement_messages.FirstEvent | placement_messages.RunEnded):
            reports.append(message)
        return send(replica_id, message)

    client._send = record
    return reports


@pytest.mark.parametrize(
    ("stated", "load"),
    [({NAMES.load: "3,1,8,250"}, LOAD), ({NAMES.load: "3,1,0"}, None), ({}, None)],
)
def test_reports_of_a_stream_have_the_load_of_its_response_head(tmp_path, stated, load):
    """Guards against owners that never see a load, and against malformed loads that reach them."""

    async def answer(exchange):
        media = {"content-type": event_framer.MEDIA_TYPE}
        await exchange.begin(200, routed_harness.echo_headers(exchange, **media, **stated))
        await exchange.send(b"id: 1\ndata: a\n\n")
        await exchange.finish()

    async def main(deployment):
        await deployment.add_upstream(answer)
        await deployment.put_routing(kind="streaming")
        await deployment.until_upstreams(1)
        reports = _record_reports(deployment)
        response = await deployment.call()
        assert response.status == 200
        await response.read()
        await curio_world.until(lambda: len(reports) == 2)
        assert [report.load for report in reports] == [load, load]

    routed_harness.run(tmp_path, main)


# Guards against: loads that are attributed to the upstream of the retry.
def test_the_load_of_a_failed_attempt_is_not_reported_for_the_next_one(tmp_path):
    seen = []

    async def refuse_first(exchange):
        seen.append(exchange)
        if len(seen) > 1:
            await routed_harness.answer_plainly(exchange)
            return
        stated = {NAMES.load: "8,0,8", NAMES.not_executed: "1"}
        await exchange.respond(503, routed_harness.echo_headers(exchange, **stated), b"")

    async def main(deployment):
        for _ in range(2):
            await deployment.add_upstream(refuse_first)
        await deployment.put_routing(max_attempts=2)
        await deployment.until_upstreams(2)
        reports = _record_reports(deployment)
        response = await deployment.call()
        assert response.status == 200
        await response.read()
        await curio_world.until(lambda: reports and reports[-1].end == "complete")
        full = reported_load.ReportedLoad(8, 0, 8)
        assert [report.load for report in reports] == [full, None]
        assert [len(upstream.seen) for upstream in deployment.upstreams] == [1, 1]

    routed_harness.run(tmp_path, main)


def test_an_entry_host_without_replicas_keeps_to_the_slots(tmp_path):
    """Without an owner, a host sent all requests at once to upstreams that could not hold them."""
    running = []

    async def answer(exchange):
        running.append(running[-1] + 1 if running else 1)
        await curio.sleep(0.05)
        running.append(running[-1] - 1)
        load = {NAMES.load: f"{running[-1]},0,4"}
        await exchange.respond(200, routed_harness.echo_headers(exchange, **load), b"done")

    async def main(deployment):
        await deployment.add_upstream(answer)
        await deployment.put_routing()
        await deployment.until_upstreams(1)
        await deployment.control_by_id.popitem()[1].close()
        async with curio.TaskGroup() as group:
            for _ in range(20):
                await group.spawn(deployment.call)
        assert [response.status for response in group.results] == [200] * 20
        assert max(running) == 4
        assert deployment.entry._owner.local_placements == 20
        assert deployment.entry._owner._local.slots.reports == 1

    routed_harness.run(tmp_path, main, replicas=1)
