"""Overload protection of an entry host, through a complete deployment."""

import json

import curio

from medlarfork.gateway import entry_load
from tests import curio_world
from tests.routed import routed_harness

SIZES = {"cores": 64.0, "memory_mb": 1.0, "max_descriptors": 100_000, "link_mbps": 12.5}


async def _send_head(deployment, length):
    """Send the head of a request without its body; return the bytes of the response."""
    host = f"{deployment.network}.50"
    lines = ["POST /p/x HTTP/1.1", "Host: a.example", f"Content-Length: {length}", "", ""]
    async with await curio.open_connection(host, routed_harness.ENTRY_PORT) as caller:
        await caller.sendall("\r\n".join(lines).encode())
        return await curio.timeout_after(2.0, caller.recv, 4096)


async def _ask_entry_hosts(deployment):
    status, body = await deployment.ask_control(0, "GET", "/v1/entry-hosts")
    assert status == 200
    return json.loads(body)["hosts"]


# Guards against: a host that reads more bodies than its memory holds, and one that is overloaded
# without its replicas, its log and its metrics saying so.
def test_a_full_host_refuses_before_it_reads_the_body(tmp_path, caplog):
    async def main(deployment):
        released = curio.Event()

        async def answer_when_released(exchange):
            await released.wait()
            await routed_harness.answer_plainly(exchange)

        await deployment.entry.close()
        await deployment.start_entry(**SIZES)
        for _ in range(entry_load.MIN_REQUESTS):
            await deployment.add_upstream(answer_when_released)
        await deployment.put_routing(timeout_ms=8000)
        await deployment.until_upstreams(entry_load.MIN_REQUESTS)
        calls = [await curio.spawn(deployment.call) for _ in range(entry_load.MIN_REQUESTS)]
        await curio_world.until(
            lambda: deployment.entry._server.exchanges == entry_load.MIN_REQUESTS
        )
        response = (await _send_head(deployment, 70_000)).decode().lower()
        assert response.startswith("http/1.1 503")
        assert "connection: close" in response
        assert "retry-after: 0.100" in response
        await curio_world.until(lambda: deployment.entry._sampler.load.is_overloaded)
        await curio.sleep(0.1)
        (host,) = await _ask_entry_hosts(deployment)
        assert (host["capacity"], host["is_overloaded"], host["weight"]) == (1.25, True, 1.0)
        await released.set()
        assert [(await call.join()).status for call in calls] == [200] * len(calls)
        await curio_world.until(lambda: not deployment.entry._sampler.load.is_overloaded)
        assert (await deployment.call()).status == 200
        rendered = deployment.entry._metrics.process._render().decode()
        assert "medlar_entry_utilisation " in rendered
        assert 'medlar_entry_refused_total{cause="requests",tier="0"} 1.0' in rendered

    with caplog.at_level("INFO"):
        routed_harness.run(tmp_path, main)
    changes = [record for record in caplog.records if "entry_overloaded" in record.getMessage()]
    assert len(changes) == 2
