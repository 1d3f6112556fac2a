"""Fault injection into a running stand-in."""

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
"""Exit status of a stand-in that crashes by fault injection."""

_FREEZE_POLL_S = 0.02
"""Interval at which frozen work checks whether it may continue, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Active faults; a change replaces all of them, so that omitted ones are switched off.

    Attributes:
        slow: Factor by which all work takes longer.
        refuse: Refuse all work before it runs.
        freeze_s: Make no progress for this long from now on, in seconds.
        crash_after_tokens: Exit immediately after this many more tokens; 0 for never.
        crash_after_calls: Exit immediately after this many more executed calls; 0 for never.
        cut_after_tokens: Abort every answer that exceeds this many tokens; 0 for never.
        cut_before_reply: Reset the connection after a call was executed, before its reply.
        ignore_resume: Ignore resume offsets: start every answer anew and confirm no offset.
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
    """Applies the active faults.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, *, crash: Callable[[], None] = _exit_at_once) -> None:
        """Start without faults; ``crash`` ends the process immediately."""
        self.faults = Faults()
        self._crash = crash
        self._frozen_until = 0.0
        self._tokens = 0
        self._calls = 0

    def switch(self, body: bytes) -> None:
        """Replace the active faults with those in a JSON object.

        Raises:
            errors.UpstreamError: The object is malformed or names an unknown fault.
        """
        names = {field.name for field in dataclasses.fields(Faults)}
        try:
            fault_values = msgspec.json.decode(body, type=dict[str, Any])
            unknown = sorted(set(fault_values) - names)
            if unknown:
                raise _malformed(f"{unknown[0]} is not a known fault")
            self.faults = msgspec.convert(fault_values, Faults)
        except msgspec.MsgspecError as error:
            raise _malformed(str(error)) from error
        self._frozen_until = time.monotonic() + self.faults.freeze_s
        self._tokens = 0
        self._calls = 0

    async def work(self, seconds: float) -> None:
        """Simulate work of a nominal duration, which active faults extend."""
        await curio.sleep(seconds * self.faults.slow)
        while time.monotonic() < self._frozen_until:
            await curio.sleep(_FREEZE_POLL_S)

    def count_token(self) -> None:
        """Count a computed token, and crash if the fault's limit is reached."""
        self._tokens += 1
        if self.faults.crash_after_tokens and self._tokens >= self.faults.crash_after_tokens:
            self._crash()

    def count_call(self) -> None:
        """Count an executed call, and crash if the fault's limit is reached."""
        self._calls += 1
        if self.faults.crash_after_calls and self._calls >= self.faults.crash_after_calls:
            self._crash()


def _malformed(problem: str) -> errors.UpstreamError:
    names = ", ".join(field.name for field in dataclasses.fields(Faults))
    return errors.UpstreamError(
        f"The faults can't be changed: {problem}.",
        remedy=f"Send a JSON object with any of {names}.",
        code=errors.Code.BAD_REQUEST,
    )
