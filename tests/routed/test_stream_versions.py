"""Streams at upstreams of two software versions, over sockets of a complete deployment."""

import contextlib
import re

import curio
import pytest

from medlarfork import errors
from tests.routed import routed_harness
from tests.routed.routed_harness import NAMES

OTHER = 51
STREAMS = 12
WHOLE = 4


def event(version, number):
    return f"id: {number}\ndata: {version}\n\n".encode()


def streaming(version, breaks):
    """Return an answer with the events that a caller lacks; it may break off after the first.

    Args:
        version: The version that each event names.
        breaks: Returns whether a stream that begins breaks off.
    """

    async def answer(exchange):
        first = int(exchange.head.headers.get(NAMES.last_event_id, "0")) + 1
        headers = routed_harness.echo_headers(exchange, **{"content-type": "text/event-stream"})
        await exchange.begin(200, headers)
        for number in range(first, WHOLE + 1):
            await exchange.send(event(version, number))
            if first == 1 and breaks():
                await curio.sleep(0.05)
                return
            await curio.sleep(0.01)
        await exchange.finish()

    return answer


async def start(deployment, *, versions=("v1", "v1", "v2", "v2"), breaks=lambda: True, **route):
    """Start a second entry host, and upstreams of these versions."""
    await deployment.start_entry(OTHER)
    for version in versions:
        await deployment.add_upstream(streaming(version, breaks), version=version, slots=16)
    declared = {"kind": "streaming", "may_resume": True, "max_attempts": 2} | route
    await deployment.put_routing(**declared)
    await deployment.until_upstreams(len(versions))


def versions_in(body):
    return re.findall(rb"data: (\w+)\n", body)


async def read(response):
    """Return what a caller receives of a stream, which may be cut."""
    received = b""
    with contextlib.suppress(errors.UpstreamError):
        async for part in response.chunks():
            received += part
    return received


async def begin(deployment, attempt, **headers):
    """Begin a stream that is cut after its first event; return that event."""
    response = await deployment.call(**{NAMES.attempt_id: attempt} | headers)
    received = await read(response)
    assert len(versions_in(received)) == 1
    return received


async def resume(deployment, attempt, *, number=OTHER, **headers):
    """Take a stream up again after its first event; return status, headers and body."""
    taken_up = {
        NAMES.attempt_id: f"{attempt}-again",
        NAMES.last_event_id: "1",
        NAMES.resumes: attempt,
    }
    response = await deployment.call(number=number, **taken_up | headers)
    return response.status, response.headers, await read(response)


# Guards against: a stream went on within one answer at an upstream of another version.
def test_a_stream_goes_on_at_its_version_within_one_answer(tmp_path):
    async def main(deployment):
        await start(deployment)
        for number in range(STREAMS):
            response = await deployment.call(**{NAMES.attempt_id: f"a-{number}"})
            versions = versions_in(await read(response))
            assert len(versions) == WHOLE
            assert len(set(versions)) == 1

    routed_harness.run(tmp_path, main)


async def restart_nothing(deployment):
    pass


async def restart_host(deployment):
    await deployment.stop_entry(deployment.entry)


async def restart_replica(deployment):
    await deployment.restart_replica(deployment.replica_ids[0])


async def restart_everything(deployment):
    for entry in tuple(deployment.entries):
        await deployment.stop_entry(entry)
    for replica_id in deployment.replica_ids:
        await deployment.control_by_id[replica_id].close()
    for replica_id in deployment.replica_ids:
        await deployment.start_replica(replica_id)
    await deployment.start_entry(OTHER)
    await deployment.put_routing(2, kind="streaming", may_resume=True, max_attempts=1)
    await deployment.until_upstreams(4)


# Guards against: a stream that its caller took up again went on at another version.
@pytest.mark.parametrize(
    "restart", [restart_nothing, restart_host, restart_replica, restart_everything]
)
def test_a_stream_that_is_taken_up_again_goes_on_at_its_version(tmp_path, restart):
    async def main(deployment):
        await start(deployment, max_attempts=1)
        begun = [await begin(deployment, f"a-{number}") for number in range(STREAMS)]
        await curio.sleep(0.3)
        await restart(deployment)
        for number, received in enumerate(begun):
            status, _, rest = await resume(deployment, f"a-{number}")
            assert status == 200
            versions = versions_in(received + rest)
            assert len(versions) == WHOLE
            assert len(set(versions)) == 1

    routed_harness.run(tmp_path, main)


# Guards against: a stream whose version had gone went on at another one.
def test_a_stream_without_an_upstream_of_its_version_is_refused_as_not_run(tmp_path):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1",))
        await begin(deployment, "a-1")
        await deployment.add_upstream(streaming("v2", lambda: False), version="v2")
        await deployment.until_upstreams(2)
        await deployment.upstreams[0].announce(is_leaving=True)
        await deployment.until_upstreams(1)
        status, headers, _ = await resume(deployment, "a-1")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert deployment.upstreams[1].seen == []

    routed_harness.run(tmp_path, main)
