"""Nested timeouts in a process that stalls, on a clock that only waits and stalls move."""

import itertools
import pathlib
import re
import selectors
import types

import curio
import curio.kernel
import pytest

from medlarfork import timeouts

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "medlarfork"


class Clock:
    """Time that passes only while the kernel waits, or by a stall of the process."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now

    def stall(self, seconds):
        self.now += seconds


class ClockSelector(selectors.DefaultSelector):
    """Selector that moves the clock instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            assert timeout is not None, "nothing will ever happen"
            self._clock.stall(timeout)
        return events


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(curio.kernel, "time", types.SimpleNamespace(monotonic=clock.monotonic))
    return clock


def run(clock, main, *arguments):
    with curio.Kernel(selector=ClockSelector(clock)) as kernel:
        return kernel.run(main, *arguments)


async def wait_through_stall(clock, seconds):
    """Wait for an event that occurs just before the process stalls."""
    event = curio.Event()

    async def occur():
        await event.set()
        clock.stall(seconds)

    await curio.spawn(occur, daemon=True)
    await event.wait()


def test_a_timeout_that_passed_during_a_stall_is_not_delivered_after_its_block(clock):
    async def block():
        await wait_through_stall(clock, 0.2)
        clock.stall(1.0)

    async def main():
        with pytest.raises(curio.TaskTimeout):
            async with timeouts.timeout_after(1.0):
                await timeouts.call_until(0.1, block)
                async with timeouts.timeout_after(0.3):
                    await curio.sleep(10.0)

    run(clock, main)


def test_the_timeout_of_a_connect_is_that_of_the_request_if_it_passed_before(clock):
    async def main():
        with pytest.raises(curio.TaskTimeout):
            async with timeouts.timeout_after(0.1):
                await wait_through_stall(clock, 0.2)
                try:
                    await timeouts.call_with_timeout(0.3, curio.sleep, 10.0)
                except curio.TaskTimeout:
                    pytest.fail("delivered as the timeout of the connect")

    run(clock, main)


def test_an_enclosing_timeout_outlasts_a_block_that_does_not_wait(clock):
    async def nothing():
        pass

    async def main():
        started_at = clock.now
        with pytest.raises(curio.TaskTimeout):
            async with timeouts.timeout_after(0.1):
                await wait_through_stall(clock, 0.2)
                await timeouts.call_until(0.3, nothing)
                await curio.sleep(10.0)
        assert clock.now - started_at < 10.0

    run(clock, main)


def test_an_enclosing_timeout_interrupts_no_clean_up(clock):
    cleaned = []

    async def main():
        with pytest.raises(curio.TaskTimeout):
            async with timeouts.timeout_after(0.1):
                try:
                    await timeouts.call_until(0.3, curio.sleep, 10.0)
                finally:
                    await curio.sleep(1.0)
                    cleaned.append(clock.now)

    run(clock, main)
    assert cleaned


def test_a_cancellation_that_is_pending_is_kept(clock):
    async def nothing():
        pass

    async def work():
        await wait_through_stall(clock, 0.0)
        await timeouts.call_until(0.1, nothing)
        await curio.sleep(10.0)

    async def main():
        task = await curio.spawn(work)
        while task.state != "READY":
            await curio.sleep(0)
        await task.cancel()
        assert isinstance(task.exception, curio.TaskCancelled)

    run(clock, main)


LIMIT_S = 0.5
"""Timeout of the enclosing block; the waits are shorter, or longer when added up."""

WAITS = [("late event", 0.2), ("stall", 0.4), ("sleep", 0.5)]


def blocks():
    """Return blocks of up to two waits, with each kind of timeout."""
    for count in (1, 2):
        for inner in itertools.product(WAITS, repeat=count):
            yield timeouts.call_with_timeout, 0.1, inner
            yield timeouts.call_until, 0.1, inner


async def perform(clock, step, limits):
    """Perform a step; check that no wait outlasts a limit, and that a timeout is its own block's.

    Args:
        clock: The clock.
        step: A wait, a stall or a block.
        limits: When the timeouts of the enclosing blocks pass.
    """
    match step:
        case ("sleep", seconds):
            passed = [limit for limit in limits if limit < clock.now]
            await curio.sleep(seconds)
            assert not passed
        case ("stall", seconds):
            clock.stall(seconds)
        case ("late event", seconds):
            await wait_through_stall(clock, seconds)
        case (run_block, seconds, inner):
            until = clock.now + seconds
            try:
                await run_block(seconds, perform_all, clock, inner, (*limits, until))
            except curio.TaskTimeout:
                assert run_block is timeouts.call_with_timeout and until <= clock.now
            except curio.TimeoutCancellationError:
                assert any(limit <= clock.now for limit in limits)
                raise


async def perform_all(clock, program, limits):
    for step in program:
        await perform(clock, step, limits)


def test_each_timeout_ends_its_own_block(clock):
    for steps in itertools.product([*WAITS, *blocks()], repeat=2):
        block = (timeouts.call_with_timeout, LIMIT_S, (*steps, ("sleep", 1.0)))
        run(clock, perform, clock, block, ())


def test_all_code_uses_these_timeouts():
    """curio's own can't be nested safely."""
    own = re.compile(r"\bcurio\.(timeout_after|ignore_after)\b")
    users = {path.stem for path in SOURCE.rglob("*.py") if own.search(path.read_text())}
    assert users == {"timeouts"}
