"""Tests of the budget for the bytes of request bodies."""

import json

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarfork import errors
from medlarfork.gateway import body_budget
from tests import curio_world
from tests.routed import routed_harness

LARGE = b"x" * 4_000_000
MEMORY_MB = 90.0


# Guards against: bytes that stay held, a budget that is exceeded, and one that nothing fits into.
@given(st.lists(st.tuples(st.sampled_from(["a", "b"]), st.integers(0, 9_000_000)), max_size=30))
def test_held_bodies_stay_within_the_budget(sizes):
    budget = body_budget.BodyBudget(MEMORY_MB)
    leases = []
    for account, size in sizes:
        lease = body_budget.BodyLease(budget)
        lease.account = account
        was_empty = not budget.held_bytes
        try:
            lease.check(size)
            assert budget.held_bytes == sum(held for held, _ in leases)
            lease.hold(size)
        except errors.RequestRefusedError:
            assert not was_empty
            size = 0
        leases.append((max(size - body_budget.FREE_BYTES, 0), lease))
        assert budget.held_bytes <= max(budget.host_bytes, 9_000_000)
    for _, lease in leases:
        lease.close()
    assert budget.held_bytes == 0


def test_one_account_leaves_room_for_another():
    budget = body_budget.BodyBudget(MEMORY_MB)
    while budget.has_room("a", 1_000_000):
        budget.hold("a", 1_000_000)
    assert budget.has_room("b", 1_000_000)


# Guards against: bodies of which the rest never comes that keep those of others from being served.
def test_a_body_that_arrives_takes_no_room_of_others():
    budget = body_budget.BodyBudget(MEMORY_MB)
    for _ in range(100):
        budget.open_lease().add_part(4_000_000)
    assert budget.held_bytes == 0


# Guards against: a host whose process was ended as bodies took more than its memory.
@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_beyond_the_budget_is_refused_as_not_run(tmp_path, is_chunked):
    async def main(deployment):
        entry = await deployment.start_entry(number=51, memory_mb=MEMORY_MB)
        upstream = await deployment.add_upstream(_answer_late)
        await deployment.put_routing(timeout_ms=8000)
        await deployment.until_upstreams(1)
        first = await curio.spawn(_call_large, deployment)
        await curio_world.until(lambda: upstream.seen)
        if is_chunked:
            refused = await _call_chunked(deployment)
        else:
            refused = await (await curio.spawn(_call_large, deployment)).join()
        assert refused[0] == 503
        assert json.loads(refused[1])["error"]["code"] == "overloaded"
        assert (await deployment.call(number=51)).status == 200
        assert (await first.join())[0] == 200
        assert len(upstream.seen) == 2
        # The caller has its answer before the handler has ended.
        await curio_world.until(lambda: entry._bodies.held_bytes == 0)
        assert (await _call_large(deployment))[0] == 200

    routed_harness.run(tmp_path, main)


async def _answer_late(exchange):
    await curio.sleep(0.5)
    await routed_harness.answer_plainly(exchange)


async def _call_large(deployment):
    response = await deployment.call(number=51, body=LARGE)
    return response.status, await response.read()


async def _call_chunked(deployment):
    """Send the body in chunks, and read the answer meanwhile as callers may."""
    host = f"{deployment.network}.51"
    head = "POST /p/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection = await curio.open_connection(host, routed_harness.ENTRY_PORT)
    async with connection:
        await connection.sendall(head.encode())
        part = b"%x\r\n%s\r\n" % (65536, b"x" * 65536)
        for _ in range(40):
            await connection.sendall(part)
        answer = b""
        while b"}}" not in answer:
            answer += await connection.recv(65536)
    return int(answer.split()[1]), answer.partition(b"\r\n\r\n")[2]
