"""Run a test's body under curio, and wait for conditions a bounded number of times."""

from collections.abc import Awaitable, Callable

import curio

TIMEOUT_S = 20.0
TRIES = 1000
PAUSE_S = 0.01


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a test's body; one that hangs is ended."""

    async def bounded() -> None:
        async with curio.timeout_after(TIMEOUT_S):
            await main()

    curio.run(bounded)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    for _ in range(TRIES):
        if condition():
            return
        await curio.sleep(PAUSE_S)
    raise AssertionError("the condition did not come true")
