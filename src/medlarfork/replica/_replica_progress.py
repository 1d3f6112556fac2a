"""Replication progress of one follower, as tracked by the leader."""

from __future__ import annotations

import collections
import math

from medlarfork.replica import _replica_records, _replica_snapshot


class Progress:
    """Hold the leader's view of one follower.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Last index up to which the follower's synced log equals the leader's.
        acked_at: Send time of the latest message that the follower has answered.
        probing: True while the last common entry of the logs is unknown; only one message is in
            flight at a time then.
        transfer: The snapshot transfer in progress.
        round_target: Index that a learner must reach in this catch-up round.
        round_started_at: When that round started.
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
        """Say whether another message with entries may be sent."""
        limit = 1 if self.probing else max_in_flight
        return self.transfer is None and len(self._in_flight) < limit

    def on_sent(self, last_index: int) -> None:
        """Record that entries up to an index were sent."""
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def on_transfer(self, transfer: _replica_snapshot.SnapshotTransfer) -> None:
        """Switch to sending a snapshot; messages with entries in flight no longer count."""
        self.transfer = transfer
        self._in_flight.clear()

    def on_matched(self, match_index: int) -> None:
        """Record that the follower has synced everything up to an index."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False
        while self._in_flight and self._in_flight[0] <= self.match_index:
            self._in_flight.popleft()

    def on_mismatched(self, last_index: int) -> None:
        """Step back: the follower's log lacks the entry before those sent."""
        self._in_flight.clear()
        self.probing = True
        self.next_index = max(self.match_index, min(last_index, self.next_index - 2)) + 1
        self.next_index = max(self.next_index, 1)
