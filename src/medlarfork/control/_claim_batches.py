"""Gather claim operations so that many share one log entry."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.control import replicated_state

_BATCH_LIMIT = 256
"""Most operations in one log entry."""

_BATCH_BYTES = 512 * 1024
"""Most bytes of stored answers in one log entry, unless a single one is larger."""

_IN_FLIGHT_LIMIT = 2
"""Batches in flight at once; what arrives meanwhile shares the next one."""

WAITING_LIMIT = 4096
"""Most operations that wait for a batch; more are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCall:
    """Hold one claim operation and who waits for its reply."""

    sender: str
    operation: replicated_state.ClaimOperation


class ClaimBatches:
    """Cut waiting operations into batches and remember those in flight."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._waiting: collections.deque[ClaimCall] = collections.deque()
        self._calls_by_proposal: dict[str, tuple[ClaimCall, ...]] = {}

    @property
    def in_progress(self) -> bool:
        """Return whether any operation waits or is in flight."""
        return bool(self._waiting or self._calls_by_proposal)

    def add(self, call: ClaimCall) -> bool:
        """Let an operation wait for the next batch; return False if too many do."""
        if len(self._waiting) >= WAITING_LIMIT:
            return False
        self._waiting.append(call)
        return True

    def cut(self, proposal_id: str) -> tuple[ClaimCall, ...]:
        """Return the next batch, now in flight under that id; empty if none is due."""
        if not self._waiting or len(self._calls_by_proposal) >= _IN_FLIGHT_LIMIT:
            return ()
        calls: list[ClaimCall] = []
        size = 0
        while self._waiting and len(calls) < _BATCH_LIMIT and size < _BATCH_BYTES:
            calls.append(self._waiting.popleft())
            size += _answer_size(calls[-1].operation)
        self._calls_by_proposal[proposal_id] = tuple(calls)
        return tuple(calls)

    def end(self, proposal_id: str) -> tuple[ClaimCall, ...]:
        """Return the batch of that id, which is no longer in flight; empty if there is none."""
        return self._calls_by_proposal.pop(proposal_id, ())

    def end_all(self) -> tuple[ClaimCall, ...]:
        """Return all that waits or is in flight, and forget it."""
        calls = [call for batch in self._calls_by_proposal.values() for call in batch]
        calls.extend(self._waiting)
        self._calls_by_proposal.clear()
        self._waiting.clear()
        return tuple(calls)


def _answer_size(operation: replicated_state.ClaimOperation) -> int:
    if operation.finish is None or operation.finish.answer is None:
        return 0
    return len(operation.finish.answer.body)
