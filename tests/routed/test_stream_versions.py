"""Streams at upstreams of two software versions, over sockets of a complete deployment."""

import contextlib
import re
import time

import curio
import pytest

from medlarfork import errors
from medlarfork.gateway import origin_tracker
from tests import curio_world
from tests.routed import partition, routed_harness

NAMES = routed_harness.NAMES

OTHER = 51
STREAMS = 12
WHOLE = 4
RESUMABLE = {"kind": "streaming", "may_resume": True, "max_attempts": 2}


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
    await deployment.put_routing(**RESUMABLE | route)
    await deployment.until_upstreams(len(versions))


def versions_in(body):
    return re.findall(rb"data: (\w*)\n", body)


async def read(response):
    """Return what a caller receives of a stream, which may be cut."""
    received = b""
    with contextlib.suppress(errors.UpstreamError):
        async for part in response.chunks():
            received += part
    return received


async def replace_version(deployment):
    """Have an upstream of another version take the place of the only one."""
    await deployment.add_upstream(streaming("v2", lambda: False), version="v2")
    await deployment.until_upstreams(2)
    await deployment.upstreams[0].announce(is_leaving=True)
    await deployment.until_upstreams(1)


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
    await deployment.put_routing(2, **RESUMABLE | {"max_attempts": 1})
    await deployment.until_upstreams(len(deployment.upstreams))


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
        await replace_version(deployment)
        status, headers, _ = await resume(deployment, "a-1")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert deployment.upstreams[1].seen == []

    routed_harness.run(tmp_path, main)


# Guards against: a stream without a known origin went on at any version.
@pytest.mark.parametrize(
    "changes",
    [
        {NAMES.resumes: "never-was"},
        {NAMES.resumes: ""},
        {"authorization": "Bearer k-2"},
    ],
    ids=["no such attempt", "no attempt named", "another account"],
)
def test_a_stream_of_unknown_origin_is_refused_while_two_versions_serve(tmp_path, changes):
    async def main(deployment):
        accounts = [{"name": name, "api_keys": [f"k-{name}"]} for name in ("1", "2")]
        await start(deployment, max_attempts=1, accounts=accounts)
        key = {"authorization": "Bearer k-1"}
        await begin(deployment, "a-1", **key)
        await curio.sleep(0.1)
        seen = sum(len(upstream.seen) for upstream in deployment.upstreams)
        status, headers, _ = await resume(deployment, "a-1", **key | changes)
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert sum(len(upstream.seen) for upstream in deployment.upstreams) == seen
        status, _, rest = await resume(deployment, "a-1", **key)
        assert (status, len(versions_in(rest))) == (200, WHOLE - 1)

    routed_harness.run(tmp_path, main)


@pytest.mark.parametrize("version", ["v1", ""])
def test_a_caller_that_names_no_attempt_is_served_while_one_version_serves(tmp_path, version):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=(version, version))
        await begin(deployment, "a-1")
        status, _, rest = await resume(deployment, "a-1", **{NAMES.resumes: ""})
        assert (status, rest.count(b"id: ")) == (200, WHOLE - 1)

    routed_harness.run(tmp_path, main)


# Guards against: a host whose process stalled gave up before it read the replicas' replies.
@pytest.mark.parametrize("names_attempt", [True, False])
def test_a_stream_goes_on_at_a_host_that_stalls_while_it_asks(tmp_path, names_attempt):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1", "v1"))
        await begin(deployment, "a-1")
        await curio.sleep(0.3)
        stalling = await curio.spawn(stall_at_query, deployment.entries[1])
        named = {} if names_attempt else {NAMES.resumes: ""}
        status, _, rest = await resume(deployment, "a-1", **named)
        await stalling.join()
        assert (status, rest.count(b"id: ")) == (200, WHOLE - 1)

    routed_harness.run(tmp_path, main)


async def stall_at_query(entry):
    """Stall the process once a host has asked the replicas."""
    while not entry._origins._query_by_id:
        await curio.sleep(0)
    time.sleep(2 * origin_tracker.QUERY_TIMEOUT_S)


# Guards against: the version that began the stream had gone, and the one left looked like the only.
def test_a_caller_that_names_no_attempt_is_refused_after_a_change_of_the_version(tmp_path):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1",))
        await begin(deployment, "a-1")
        await replace_version(deployment)
        status, _, _ = await resume(deployment, "a-1", **{NAMES.resumes: ""})
        assert status == 503

    routed_harness.run(tmp_path, main)


# Guards against: replicas that had restarted forgot versions of whose streams they were not told.
def test_a_version_that_left_is_known_after_a_restart_of_everything(tmp_path, monkeypatch):
    # As if the host had been killed before its first report.
    monkeypatch.setattr(origin_tracker.OriginTracker, "report", lambda self: None)

    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1",))
        await begin(deployment, "a-1")
        await replace_version(deployment)
        del deployment.upstreams[0]
        await restart_everything(deployment)
        status, _, rest = await resume(deployment, "a-1", **{NAMES.resumes: ""})
        assert (status, versions_in(rest)) == (503, [])

    routed_harness.run(tmp_path, main)


# Guards against: a host that reaches no replica went on at any version.
@pytest.mark.parametrize("number", [routed_harness.ENTRY_NUMBER, OTHER])
def test_without_replicas_a_stream_goes_on_only_at_the_host_that_began_it(tmp_path, number):
    async def main(deployment):
        await start(deployment, max_attempts=1)
        await begin(deployment, "a-1")
        await curio.sleep(0.1)
        for program in deployment.control_by_id.values():
            await program.close()
        began = time.monotonic()
        status, _, rest = await resume(deployment, "a-1", number=number)
        took_s = time.monotonic() - began
        if number == OTHER:
            assert status == 503
            assert took_s < 0.3
        else:
            assert status == 200
            assert len(set(versions_in(rest))) == 1
            assert versions_in(rest)[0] == begun_version(deployment, "a-1")

    routed_harness.run(tmp_path, main)


def begun_version(deployment, attempt):
    """Return the version that received an attempt."""
    (version,) = (
        upstream.announced["version"].encode()
        for upstream in deployment.upstreams
        for seen in upstream.seen
        if seen.head.headers[NAMES.attempt_id] == attempt
    )
    return version


# Guards against: another service went on with a stream after its route was split or moved.
@pytest.mark.parametrize(
    ("targets", "status"),
    [
        ([{"service": "engines", "weight": 1}, {"service": "others", "weight": 99}], 200),
        ([{"service": "engines", "weight": 0}, {"service": "others", "weight": 1}], 503),
        ([{"service": "others"}], 503),
    ],
    ids=["split", "weight 0", "moved"],
)
def test_a_stream_goes_on_only_at_the_service_that_began_it(tmp_path, targets, status):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1",))
        received = await begin(deployment, "a-1")
        await deployment.add_upstream(
            streaming("other", lambda: False), version="v1", service="others"
        )
        await deployment.put_routing(
            2,
            services=("engines", "others"),
            targets=targets,
            **RESUMABLE | {"max_attempts": 1},
        )
        await deployment.until_upstreams(2)
        for _ in range(4):
            found, _, rest = await resume(deployment, "a-1")
            assert found == status
            assert status == 503 or set(versions_in(received + rest)) == {b"v1"}

    routed_harness.run(tmp_path, main)


# Guards against: a route that no longer allows to resume let a stream go on at any version.
def test_a_stream_keeps_to_its_version_where_its_route_lost_the_right_to_resume(tmp_path):
    async def main(deployment):
        await start(deployment, max_attempts=1)
        begun = [await begin(deployment, f"a-{number}") for number in range(STREAMS)]
        await deployment.put_routing(2, kind="streaming", may_resume=False)
        for number, received in enumerate(begun):
            _, _, rest = await resume(deployment, f"a-{number}")
            assert len(set(versions_in(received + rest))) == 1

    routed_harness.run(tmp_path, main)


# Guards against: a relay host went on at another version with a stream that another one began.
def test_a_forwarded_stream_keeps_to_its_version_and_service(tmp_path):
    async def main(deployment):
        await deployment.start_entry(OTHER + 1)
        await start(deployment, max_attempts=4)
        links = partition.Partition(deployment.entry)
        await links.cut("refused")
        reachability = deployment.entry._prober.reachability
        for number in range(200):
            if reachability.is_cut_off and deployment.entry._relaying._named.is_set():
                break
            await curio.spawn(cancel_call, deployment, f"cut-{number}", daemon=True)
            await curio.sleep(0.05)
        assert reachability.is_cut_off
        for number in range(STREAMS):
            response = await deployment.call(**{NAMES.attempt_id: f"f-{number}"})
            assert NAMES.origin not in response.headers
            received = await read(response)
            known = reachability._service_by_name, deployment.entry._relaying._addresses
            assert response.status == 200, (received, known)
            assert len(set(versions_in(received))) == 1
            if len(versions_in(received)) < WHOLE:
                status, _, rest = await resume(deployment, f"f-{number}")
                assert status == 200
                assert len(set(versions_in(received + rest))) == 1

    routed_harness.run(tmp_path, main)


async def cancel_call(deployment, attempt):
    with contextlib.suppress(errors.MedlarError):
        response = await deployment.call(**{NAMES.attempt_id: attempt, NAMES.deadline_ms: "500"})
        await read(response)


# Guards against: a start under the same name and address, of another version, got a placed request.
def test_an_upstream_that_came_back_with_another_version_goes_on_with_no_stream(tmp_path):
    async def main(deployment):
        await start(deployment, max_attempts=1, versions=("v1",))
        await begin(deployment, "a-1")
        upstream = deployment.upstreams[0]
        upstream.announced["version"] = "v2"
        await upstream.announce()
        await curio_world.until(
            lambda: all(
                entry._session.find_upstream("u-1").version == "v2" for entry in deployment.entries
            )
        )
        seen = len(upstream.seen)
        status, _, _ = await resume(deployment, "a-1")
        assert (status, len(upstream.seen)) == (503, seen)

    routed_harness.run(tmp_path, main)


# Guards against: a third try named the first attempt, whose origin only the first host had told.
def test_a_stream_goes_on_at_its_version_at_its_third_try(tmp_path):
    async def main(deployment):
        await start(deployment, max_attempts=1, breaks=lambda: True)
        received = await begin(deployment, "a-1")
        await curio.sleep(0.1)
        for event_id in (1, 2):
            status, _, rest = await resume(
                deployment, "a-1", **{NAMES.last_event_id: str(event_id)}
            )
            assert status == 200
            assert set(versions_in(rest)) == set(versions_in(received))

    routed_harness.run(tmp_path, main)
