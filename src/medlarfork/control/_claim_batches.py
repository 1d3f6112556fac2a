"""Batching of claim operations, so that many share one log entry."""

from __future__ import annotations

import collections
import dataclasses

from medlarfork.control import replicated_state

_BATCH_LIMIT = 256
"""Maximum operations in one log entry."""

_BATCH_BYTES = 512 * 1024
"""Maximum bytes of stored answers in one log entry, unless a single one is larger."""

_IN_FLIGHT_LIMIT = 2
"""Maximum batches in flight; operations that arrive meanwhile share the next one."""

WAITING_LIMIT = 4096
"""Maximum operations that wait for a batch; more are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimCall:
    """A claim operation and the sender that waits for its reply."""

    sender: str
    operation: replicated_state.ClaimOperation


class ClaimBatches:
    """Groups waiting operations into batches and tracks the batches in flight."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: collections.deque[ClaimCall] = collections.deque()
        self._calls_by_proposal: dict[str, tuple[ClaimCall, ...]] = {}

    @property
    def in_progress(self) -> bool:
        """Return whether any operation waits or is in flight."""
        return bool(self._waiting or self._calls_by_proposal)

    def add(self, call: ClaimCall) -> bool:
        """Queue an operation for the next batch; return False if the queue is full."""
        if len(self._waiting) >= WAITING_LIMIT:
            return False
        self._waiting.append(call)
        return True

    def next_batch(self, proposal_id: str) -> tuple[ClaimCall, ...]:
        """Return the next batch, now in flight under the proposal's id; empty if none is due."""
        if not self._waiting or len(self._calls_by_proposal) >= _IN_FLIGHT_LIMIT:
            return ()
        calls: list[ClaimCall] = []
        size = 0
        while self._waiting and len(calls) < _BATCH_LIMIT and size < _BATCH_BYTES:
            calls.append(self._waiting.popleft())
            size += _answer_size(calls[-1].operation)
        self._calls_by_proposal[proposal_id] = tuple(calls)
        return tuple(calls)

    def complete(self, proposal_id: str) -> tuple[ClaimCall, ...]:
        """Remove and return the batch in flight under that id; empty if there is none."""
        return self._calls_by_proposal.pop(proposal_id, ())

    def drain(self) -> tuple[ClaimCall, ...]:
        """Remove and return all operations that wait or are in flight."""
        calls = [call for batch in self._calls_by_proposal.values() for call in batch]
        calls.extend(self._waiting)
        self._calls_by_proposal.clear()
        self._waiting.clear()
        return tuple(calls)


def _answer_size(operation: replicated_state.ClaimOperation) -> int:
    if operation.finish is None or operation.finish.answer is None:
        return 0
    return len(operation.finish.answer.body)
