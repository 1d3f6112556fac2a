"""Peers that send requests without end to each port of the processes of a deployment."""

import curio
import pytest

from medlarfork.coordination import coordinator_program
from medlarfork.gateway import gateway_program
from medlarfork.http import http_server
from tests import curio_world, endless_peers
from tests.routed import routed_harness

pytestmark = pytest.mark.usefixtures("frequent_switches")

LIMITS = http_server.HttpLimits(header_s=0.3, body_s=0.3, linger_s=0.3, body_bytes=1 << 20)
CLOSED_S = 1.8
"""Time until the connections of a port are closed, in seconds: twice the sum of its limits."""
HANGS_S = 30.0
BODY = b"PUT /v1/upstreams/u-1 HTTP/1.1\r\nhost: a.example\r\n"
REQUESTS = {
    "target": (b"GET /", b"x"),
    "headers": (b"GET /v1/entries HTTP/1.1\r\nhost: a.example\r\n", b"a: b\r\n"),
    "length": (BODY + b"content-length: 1000000\r\n\r\n", b" "),
    "chunks": (BODY + b"transfer-encoding: chunked\r\n\r\n", b"1\r\n \r\n"),
    "call": (b"POST /p/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 1000000\r\n\r\n", b"x"),
}


def ports(deployment):
    """Return the addresses of all ports that take requests over HTTP."""
    replica = f"http://{deployment.replica_ids[0]}"
    entry = f"http://{deployment.network}.{routed_harness.ENTRY_NUMBER}"
    at_replica = routed_harness.HTTP_PORT, routed_harness.DIRECTORY_PORT
    at_entry = routed_harness.ENTRY_PORT, routed_harness.RELAY_PORT
    return [
        *(f"{replica}:{port}" for port in (*at_replica, routed_harness.HEALTH_PORT)),
        *(f"{entry}:{port}" for port in (*at_entry, routed_harness.HEALTH_PORT)),
    ]


# Guards against: a port that reads a request without end, or serves no other meanwhile.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_each_port_closes_an_endless_request_and_serves_others(tmp_path, monkeypatch, pause_s):
    defaults = http_server.HttpServer.__init__.__kwdefaults__
    monkeypatch.setitem(defaults, "limits", LIMITS)
    monkeypatch.setattr(coordinator_program, "SERVER_LIMITS", LIMITS)
    monkeypatch.setattr(coordinator_program, "HEALTH_LIMITS", LIMITS)
    monkeypatch.setattr(gateway_program, "CALLER_LIMITS", LIMITS)
    monkeypatch.setattr(gateway_program, "HEALTH_LIMITS", LIMITS)

    async def main(deployment):
        await deployment.add_upstream()
        await deployment.put_routing()
        await deployment.until_upstreams(1)
        for address in ports(deployment):
            callers = [
                endless_peers.Caller(address, start, part, pause_s)
                for start, part in REQUESTS.values()
            ]
            # The floods share the interpreter with the port, which has to wait for it.
            async with curio_world.Stopwatch() as watch:
                for caller in callers:
                    caller.start()
                response = await deployment.call()
                assert (response.status, await response.read()) == (200, b"done")
                assert (await deployment.upstreams[0].announce())[0] == 200
                for caller in callers:
                    await curio.run_in_thread(caller.join, HANGS_S)
            assert not any(caller.is_alive() for caller in callers), f"{address}: {watch}"
            assert watch.active_s < CLOSED_S, f"{address}: {watch}"
            assert max(caller.sent_bytes for caller in callers) < endless_peers.MAX_SENT_BYTES

    routed_harness.run(tmp_path, main)
