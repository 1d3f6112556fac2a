"""A stopping host finishes what it takes, and says of all else that it has not run."""

import contextlib
import json
import time

import curio
import pytest

from medlarfork.gateway import stopping
from tests import curio_world
from tests.routed import routed_harness

TAKE_S = 1.0
"""Time for which a host of the harness takes requests after its signal, in seconds. It cuts what is
left 0.4 s later."""


async def _answer_late(exchange):
    number = float(exchange.head.path.rpartition("/")[2])
    await curio.sleep(number)
    await routed_harness.answer_plainly(exchange)


async def _start(deployment, answer=_answer_late, **announced):
    upstream = await deployment.add_upstream(answer, **announced)
    await deployment.put_routing()
    await deployment.until_upstreams(1)
    return upstream


@contextlib.asynccontextmanager
async def _stopping(deployment):
    started_at = time.monotonic()
    stopping = await curio.spawn(deployment.entry.stop)
    yield started_at
    await stopping.join()


async def _sleep_until(at):
    await curio.sleep(max(at - time.monotonic(), 0.0))


async def _assert_draining(response):
    assert response.status == 503
    assert json.loads(await response.read())["error"]["code"] == "draining"


# Guards against: requests that a stopping host took so late that it had to cut them, and callers
# with an old directory answer, whose connections were closed instead of answered.
def test_a_stopping_host_refuses_late_requests_until_it_ends(tmp_path):
    async def main(deployment):
        upstream = await _start(deployment)
        assert (await deployment.call("/p/0")).status == 200
        async with _stopping(deployment) as started_at:
            last = await curio.spawn(deployment.call, "/p/1.2")
            await _sleep_until(started_at + TAKE_S - 0.1)
            assert (
                await deployment.call("/p/0", **{routed_harness.NAMES.deadline_ms: "300"})
            ).status == 200
            for after_s in (TAKE_S + 0.02, TAKE_S + 0.1):
                await _sleep_until(started_at + after_s)
                asked_at = time.monotonic()
                refused = await deployment.call("/p/0")
                assert float(refused.headers["retry-after"]) < 0.2
                await _assert_draining(refused)
                assert time.monotonic() < asked_at + 0.2
            assert (await last.join()).status == 200
        assert len(upstream.seen) == 3

    routed_harness.run(tmp_path, main)


# Guards against: the first request of a route, which may last until its deadline, taken and cut.
def test_a_stopping_host_takes_the_first_of_a_route_only_if_its_deadline_comes_before_the_cut(
    tmp_path,
):
    async def main(deployment):
        upstream = await _start(deployment)
        async with _stopping(deployment):
            await _assert_draining(await deployment.call("/p/0"))
            in_time = {routed_harness.NAMES.deadline_ms: "500"}
            assert (await deployment.call("/p/0", **in_time)).status == 200
        assert len(upstream.seen) == 1

    routed_harness.run(tmp_path, main)


# Guards against: a host that went by short answers only, while long ones of the route ran there.
def test_a_stopping_host_goes_by_the_answers_still_in_progress(tmp_path):
    async def main(deployment):
        upstream = await _start(deployment)
        assert (await deployment.call("/p/0")).status == 200
        running = await curio.spawn(deployment.call, "/p/1.5")
        await curio.sleep(0.7)
        async with _stopping(deployment) as started_at:
            assert (await deployment.call("/p/0")).status == 200
            await _sleep_until(started_at + 0.5)
            await _assert_draining(await deployment.call("/p/0"))
            assert (await running.join()).status == 200
        assert len(upstream.seen) == 3

    routed_harness.run(tmp_path, main)


# Guards against: requests that waited for a slot, or for the first byte, and whose connections were
# reset at the cut.
def test_the_cut_answers_every_request_that_has_no_answer_yet(tmp_path):
    async def main(deployment):
        upstream = await _start(deployment, slots=1)
        calls = [await curio.spawn(deployment.call, f"/p/{10 + number}") for number in range(12)]
        await curio_world.until(lambda: deployment.entry._handler.serving == len(calls))
        async with _stopping(deployment) as started_at:
            answers = [await call.join() for call in calls]
            assert time.monotonic() < started_at + 2.0
        statuses = [answer.status for answer in answers]
        assert statuses.count(504) == len(upstream.seen) < len(calls)
        for answer in answers:
            if answer.status == 503:
                await _assert_draining(answer)
        assert statuses.count(503) + statuses.count(504) == len(calls)

    routed_harness.run(tmp_path, main)


# Guards against: a stream far longer than all recent ones of its route, taken and cut.
@pytest.mark.parametrize(
    ("recent", "late"),
    [
        ({routed_harness.NAMES.length_hint: "10"}, {routed_harness.NAMES.length_hint: "100"}),
        ({routed_harness.NAMES.token_usage: "5,10"}, {routed_harness.NAMES.token_usage: "5,100"}),
        (
            {routed_harness.NAMES.length_hint: "10", routed_harness.NAMES.token_usage: "5,500"},
            {routed_harness.NAMES.length_hint: "100", routed_harness.NAMES.token_usage: "5,500"},
        ),
    ],
    ids=["hint", "limit", "both"],
)
def test_a_stopping_host_refuses_an_answer_that_is_expected_to_outlast_it(tmp_path, recent, late):
    async def main(deployment):
        upstream = await _start(deployment)
        assert (await deployment.call("/p/0.2", **recent)).status == 200
        async with _stopping(deployment):
            await _assert_draining(await deployment.call("/p/2", **late))
            assert (await deployment.call("/p/0.2", **recent)).status == 200
            assert (await deployment.call("/p/0.2")).status == 200
        assert len(upstream.seen) == 3

    routed_harness.run(tmp_path, main)


def test_an_expected_answer_takes_longer_in_proportion_but_never_less():
    durations = stopping.AnswerDurations()
    number = durations.begin("r", 0.0)
    durations.end("r", number, 2.0, is_answered=True, expected_tokens=100)
    for tokens, factor in ((0, 1.0), (10, 1.0), (100, 1.0), (250, 2.5)):
        assert durations.bound_s("r", 15.0, 2.0, tokens) == stopping.MARGIN * 2.0 * factor
    assert durations.bound_s("r", 15.0, 2.0, 10_000) == 15.0


# Guards against: a busy host that counted its grace period from when it got round to the signal.
def test_a_stop_counts_from_the_moment_of_its_signal(tmp_path):
    async def main(deployment):
        await _start(deployment)
        assert (await deployment.call("/p/0")).status == 200
        running = await curio.spawn(deployment.call, "/p/0.7")
        await curio.sleep(0.1)
        requested_at = time.monotonic() - 0.6
        stopping_host = await curio.spawn(deployment.entry.stop, requested_at)
        in_time = {routed_harness.NAMES.deadline_ms: "300"}
        assert (await deployment.call("/p/0", **in_time)).status == 200
        await _sleep_until(requested_at + TAKE_S + 0.05)
        await _assert_draining(await deployment.call("/p/0", **in_time))
        assert (await running.join()).status == 200
        await stopping_host.join()
        assert time.monotonic() < requested_at + 2.0

    routed_harness.run(tmp_path, main)


# Guards against: requests that waited for a slot at a stopping host, were sent when too little time
# was left, and were cut though they may have run.
def test_a_stopping_host_sends_no_request_that_it_would_cut(tmp_path):
    async def main(deployment):
        upstream = await _start(deployment, slots=1)
        assert (await deployment.call("/p/0.5")).status == 200
        calls = [await curio.spawn(deployment.call, "/p/0.5") for _ in range(6)]
        await curio_world.until(lambda: len(upstream.seen) == 2)
        async with _stopping(deployment):
            answers = [await call.join() for call in calls]
        statuses = [answer.status for answer in answers]
        assert statuses.count(200) == len(upstream.seen) - 1 >= 2
        for answer in answers:
            if answer.status != 200:
                await _assert_draining(answer)

    routed_harness.run(tmp_path, main)
