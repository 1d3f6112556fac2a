"""Calls to a platform over HTTP: their results, and the release of finished calls."""

import curio
import pytest

from medlarfork.duties import duty_types, platform_caller, platform_format
from tests.processes import platform_server, routed_fleet


@pytest.fixture
def platform():
    made = platform_server.PlatformServer(f"{routed_fleet.new_network()}.1")
    yield made
    made.close()


def _call(platform, fences, *, may_act=lambda fence: True):
    """Send one report under each fence; return the results and the number of unfinished calls."""
    ended = []

    async def on_call_end(end):
        ended.append(end.end)

    async def run():
        caller = platform_caller.PlatformCaller(
            platform.address,
            api_format=platform_format.DefaultFormat("r-1"),
            may_act=may_act,
            on_call_end=on_call_end,
        )
        await caller.start()
        for number, fence in enumerate(fences):
            report = duty_types.ReportUsage(number, {"a": 1})
            await caller.call(duty_types.CallPlatform(number, fence, report))
            while len(ended) <= number:
                await curio.sleep(0.005)
        await curio.sleep(0.05)
        calls_in_progress = caller.calls_in_progress
        await caller.close()
        return calls_in_progress

    return ended, curio.run(run)


def test_a_call_ends_as_the_platform_answers(platform):
    ended, _ = _call(platform, (2, 1, 3))
    assert ended == [
        duty_types.CallEnd.DONE,
        duty_types.CallEnd.REFUSED,
        duty_types.CallEnd.DONE,
    ]


def test_nothing_is_sent_without_the_lease(platform):
    ended, _ = _call(platform, (1,), may_act=lambda fence: False)
    assert ended == [duty_types.CallEnd.NOT_SENT]
    assert platform.calls == []


def test_finished_calls_are_released(platform):
    """A finished call's task must not be kept until the process ends."""
    _, calls_in_progress = _call(platform, (1,) * 20)
    assert calls_in_progress == 0
