"""Requests that every upstream has rejected or failed, over sockets of a complete deployment."""

import time

import curio
import pytest

from medlarfork import errors
from tests.routed import partition, routed_harness
from tests.routed.routed_harness import NAMES

RELAY_HOST = 51
MAX_ANSWER_S = 1.0
"""Longest time to a refusal, in seconds: a few round trips on a busy machine, and a part of the 3 s
that callers of these tests have."""


async def reject(exchange):
    headers = routed_harness.echo_headers(exchange, **{NAMES.not_executed: "1"})
    await exchange.respond(503, headers, b"")


async def start(deployment, *answers, upstream=None, **route):
    for answer in answers:
        await deployment.add_upstream(answer, **(upstream or {}))
    await deployment.put_routing(**route)
    await deployment.until_upstreams(len(answers))


async def call(deployment, attempt="a-1"):
    """Return a response and the seconds that it took."""
    began = time.monotonic()
    response = await deployment.call(**{NAMES.attempt_id: attempt})
    await response.read()
    return response, time.monotonic() - began


# Guards against: a request that all upstreams had rejected waited for its deadline to be refused.
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_a_request_that_every_upstream_rejected_is_refused_at_once(tmp_path, kind):
    async def main(deployment):
        await start(deployment, reject, reject, reject, kind=kind)
        response, took_s = await call(deployment)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert [len(upstream.seen) for upstream in deployment.upstreams] == [1, 1, 1]
        assert took_s < MAX_ANSWER_S

    routed_harness.run(tmp_path, main)


def test_a_rejected_request_waits_for_a_full_upstream_that_has_not_rejected_it(tmp_path):
    async def main(deployment):
        async def run_slowly(exchange):
            await curio.sleep(0.3)
            await routed_harness.answer_plainly(exchange)

        await start(deployment, run_slowly, reject, kind="unsafe", upstream={"slots": 1})
        calling = [await curio.spawn(call, deployment, f"a-{number}") for number in range(4)]
        statuses = [(await task.join())[0].status for task in calling]
        assert statuses == [200] * 4

    routed_harness.run(tmp_path, main)


# Guards against: the same at a relay host.
def test_a_forwarded_request_that_every_upstream_rejected_is_refused_at_once(tmp_path):
    async def main(deployment):
        await deployment.start_entry(RELAY_HOST)
        await start(deployment, reject, reject, reject, kind="unsafe")
        await partition.Partition(deployment.entry).cut("refused")
        for number in range(100):
            reachability = deployment.entry._prober.reachability
            if reachability.is_cut_off and deployment.entry._relaying._named.is_set():
                break
            await curio.spawn(call, deployment, f"cut-{number}", daemon=True)
            await curio.sleep(0.05)
        seen = sum(len(upstream.seen) for upstream in deployment.upstreams)
        response, took_s = await call(deployment)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert sum(len(upstream.seen) for upstream in deployment.upstreams) >= seen + 3
        assert took_s < MAX_ANSWER_S

    routed_harness.run(tmp_path, main)


# Guards against: a request whose silent upstream broke off waited for others that had rejected it.
def test_a_failover_ends_once_every_other_upstream_has_rejected_the_request(tmp_path):
    async def main(deployment):
        async def break_off(exchange):
            """End without an answer, so that the connection is aborted."""

        await start(deployment, break_off, kind="safe", max_attempts=3, timeout_ms=8000)
        silent = deployment.upstreams[0]
        silent.read_after_s = 2.2
        calling = await curio.spawn(call_long, deployment)
        await curio.sleep(0.3)
        await deployment.add_upstream(reject)
        status, took_s = await calling.join()
        assert status == 502
        assert took_s < silent.read_after_s + MAX_ANSWER_S

    routed_harness.run(tmp_path, main)


async def call_long(deployment):
    """Send more than the kernel buffers for an upstream that does not read."""
    began = time.monotonic()
    try:
        response = await deployment.call(body=b"x" * (4 << 20))
        status = response.status
    except errors.MedlarError:
        status = 0
    return status, time.monotonic() - began
