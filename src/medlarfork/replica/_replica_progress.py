"""Track, on the leader, how far one follower is and what is under way to it."""

from __future__ import annotations

import collections
import math

from medlarfork.replica import _replica_records, _replica_snapshot


class Progress:
    """Hold the leader's view of one follower.

    Attributes:
        next_index: The next entry to send.
        match_index: Up to where the follower's synced log equals the leader's.
        acked_at: When the latest message that it answered was sent.
        probing: True while it is unknown where the logs meet; one message at a time then.
        transfer: The snapshot under way to it.
        round_target: What a learner must reach in this round of catching up.
        round_started_at: When that round began.
    """

    def __init__(self, member: _replica_records.Member, last_index: int, now: float) -> None:
        """Start by probing with the last entry of the leader's log."""
        self.member = member
        self.next_index = last_index
        self.match_index = 0
        self.acked_at = -math.inf
        self.probing = True
        self.transfer: _replica_snapshot.SnapshotTransfer | None = None
        self.round_target = last_index
        self.round_started_at = now
        self._in_flight: collections.deque[int] = collections.deque()

    def may_send(self, max_in_flight: int) -> bool:
        """Say whether another message with entries may go out."""
        limit = 1 if self.probing else max_in_flight
        return self.transfer is None and len(self._in_flight) < limit

    def on_sent(self, last_index: int) -> None:
        """Note a message with entries up to an index."""
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def on_transfer(self, transfer: _replica_snapshot.SnapshotTransfer) -> None:
        """Note a snapshot that is sent instead of entries, whatever became of those."""
        self.transfer = transfer
        self._in_flight.clear()

    def on_matched(self, match_index: int) -> None:
        """Note a follower that holds everything up to an index on disk."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self._in_flight and self._in_flight[0] <= self.match_index:
            self._in_flight.popleft()

    def on_mismatched(self, last_index: int) -> None:
        """Go back: the follower lacks the entry before what was sent."""
        self._in_flight.clear()
        self.probing = True
        self.next_index = max(self.match_index, min(last_index, self.next_index - 2)) + 1
        self.next_index = max(self.next_index, 1)
