"""What the connections of a process share: room for what they receive, and turns to parse it."""

from __future__ import annotations

import logging
import time

import h11

from medlarfork import logs
from medlarfork.http import _http_input, _http_stream, receive_budget, turns

DEFAULT_RECEIVE_MB = 512
"""Room of a process whose memory is not stated, in megabytes."""

MIN_RECEIVE_MB = 24
"""Least room, in megabytes: that of a body of the maximum size, and of requests beside it."""


_REPORT_PERIOD_S = 1.0
"""Least time between two log lines about evicted requests, in seconds."""

_log = logging.getLogger(__name__)


class InputGate:
    """The room and the turns of one process.

    Attributes:
        budget: Room for the bytes of requests.
        turns: Turns of connections with much input.
    """

    def __init__(self, receive_mb: float = DEFAULT_RECEIVE_MB) -> None:
        """Create it with room for so many megabytes of requests."""
        limit_bytes = int(max(receive_mb, MIN_RECEIVE_MB) * 1e6)
        self.budget = receive_budget.ReceiveBudget(limit_bytes)
        self.turns = turns.Turns()
        self._reported_evictions = 0
        self._reported_at = -_REPORT_PERIOD_S

    def open_input(self, stream: _http_stream.Stream, parser: h11.Connection) -> _http_input.Input:
        """Return the input of an accepted connection."""
        return _http_input.Input(stream, parser, self.budget, self.turns)

    async def report_evictions(self) -> None:
        """Log how many requests were evicted since the last report, if there were any."""
        evicted = self.budget.evictions - self._reported_evictions
        now = time.monotonic()
        if not evicted or now - self._reported_at < _REPORT_PERIOD_S:
            return
        self._reported_evictions += evicted
        self._reported_at = now
        logs.event(
            _log,
            "requests_evicted",
            severity=logging.WARNING,
            count=evicted,
            held_bytes=self.budget.held_bytes,
            served_bytes=self.budget.served_bytes,
            limit_bytes=self.budget.limit_bytes,
            arriving=self.budget.arriving,
        )
