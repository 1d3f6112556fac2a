"""Switch a stand-in's faults on and off while it runs."""

from __future__ import annotations

import dataclasses
import os
import time
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from medlarfork import errors

CRASH_STATUS = 70
"""Exit status of a stand-in that was told to crash."""

_FREEZE_POLL_S = 0.02
"""Period at which frozen work looks whether it may go on, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Name the faults that are on; those left out of a change are off after it.

    Attributes:
        slow: Factor by which all work takes longer.
        refuse: Refuse all work before it is run.
        freeze_s: Make no progress for this long from now on, in seconds.
        crash_after_tokens: Exit at once after so many more tokens; 0 for never.
        crash_after_calls: Exit at once after so many more calls were executed; 0 for never.
        cut_after_tokens: Cut every answer after so many tokens; 0 for never.
        cut_before_reply: Cut the connection after a call was executed, before its reply.
        ignore_resume: Start every answer anew, and say nothing of an offset.
    """

    slow: float = 1.0
    refuse: bool = False
    freeze_s: float = 0.0
    crash_after_tokens: int = 0
    crash_after_calls: int = 0
    cut_after_tokens: int = 0
    cut_before_reply: bool = False
    ignore_resume: bool = False


def _exit_at_once() -> None:
    os._exit(CRASH_STATUS)


class FaultSwitches:
    """Apply the faults that are on.

    Attributes:
        faults: The faults that are on.
    """

    def __init__(self, *, crash: Callable[[], None] = _exit_at_once) -> None:
        """Start without faults; ``crash`` ends the process at once."""
        self.faults = Faults()
        self._crash = crash
        self._frozen_until = 0.0
        self._tokens = 0
        self._calls = 0

    def switch(self, body: bytes) -> None:
        """Replace the faults by those of a JSON object.

        Raises:
            errors.UpstreamError: The object is malformed or names an unknown fault.
        """
        names = {field.name for field in dataclasses.fields(Faults)}
        try:
            fault_values = msgspec.json.decode(body, type=dict[str, Any])
            unknown = sorted(set(fault_values) - names)
            if unknown:
                raise _malformed(f"{unknown[0]} is no fault")
            self.faults = msgspec.convert(fault_values, Faults)
        except msgspec.MsgspecError as error:
            raise _malformed(str(error)) from error
        self._frozen_until = time.monotonic() + self.faults.freeze_s
        self._tokens = 0
        self._calls = 0

    async def work(self, seconds: float) -> None:
        """Take as long as so much work takes now."""
        await curio.sleep(seconds * self.faults.slow)
        while time.monotonic() < self._frozen_until:
            await curio.sleep(_FREEZE_POLL_S)

    def count_token(self) -> None:
        """Count a token that was computed, and crash if it was the last."""
        self._tokens += 1
        if self.faults.crash_after_tokens and self._tokens >= self.faults.crash_after_tokens:
            self._crash()

    def count_call(self) -> None:
        """Count a call that was executed, and crash if it was the last."""
        self._calls += 1
        if self.faults.crash_after_calls and self._calls >= self.faults.crash_after_calls:
            self._crash()


def _malformed(problem: str) -> errors.UpstreamError:
    names = ", ".join(field.name for field in dataclasses.fields(Faults))
    return errors.UpstreamError(
        f"The faults can't be switched: {problem}.",
        remedy=f"Send a JSON object with any of {names}.",
        code=errors.Code.BAD_REQUEST,
    )
