"""The number of entry hosts among which shared limits are divided, from replicas' statuses.

Shares add up to the limit only if no host divides by less than the number of hosts that use one.
So a count falls only after a while, and a host that replicas may have dropped from theirs, because
it is cut off from them or was frozen, holds no share.

Pure: no I/O, no clock.
"""

from __future__ import annotations

import collections
import math

from medlarfork.coordination import coordination_messages

RETENTION_S = 20.0
"""How long the highest count is used, in seconds: a host that restarted replicas do not know goes
on with its share for less."""

CONFIRMED_S = 15.0
"""How long a host holds its share without a status, in seconds: replicas drop it from their counts
20 s after they last heard it, and send it statuses for another 2 s at most."""

MIN_UPTIME_S = 2.0
"""Uptime from which a replica has heard all hosts that reach it, in seconds: two status periods of
the largest fleets."""

MIN_GAP_S = 0.2
"""Least time between two statuses that are compared, in seconds: those that a frozen host receives
once it goes on arrive together."""

MAX_DELAY_S = 1.0
"""Delay from which a status confirms nothing, in seconds."""


class HostCount:
    """The highest count that replicas stated lately, and whether this host is among the counted.

    Attributes:
        count: The number of hosts, at least 1; it can be read from another thread.
    """

    def __init__(self) -> None:
        """Start without any count."""
        self.count = 1
        self._highest: collections.deque[tuple[float, int]] = collections.deque()
        self._heard_by_replica: dict[str, tuple[float, float]] = {}
        self._confirmed_at = -math.inf

    def record(
        self, replica_id: str, status: coordination_messages.ReplicaStatus, now: float
    ) -> None:
        """Record the count in a replica's status."""
        while self._highest and self._highest[0][0] < now - RETENTION_S:
            self._highest.popleft()
        while self._highest and self._highest[-1][1] <= status.entry_hosts:
            self._highest.pop()
        self._highest.append((now, status.entry_hosts))
        self.count = max(self._highest[0][1], 1)
        is_timely = self._is_timely(replica_id, status.up_s, now)
        if is_timely and status.leader_id and status.up_s >= MIN_UPTIME_S:
            self._confirmed_at = now

    def share(self, now: float) -> float:
        """Return this host's share of a common limit; 0 while it may not be counted."""
        is_confirmed = now - self._confirmed_at <= CONFIRMED_S
        return 1.0 / self.count if is_confirmed else 0.0

    def _is_timely(self, replica_id: str, up_s: float, now: float) -> bool:
        """Return whether a status was sent about as long after an earlier one as it arrived."""
        heard_at, heard_up_s = self._heard_by_replica.get(replica_id, (-math.inf, 0.0))
        if now - heard_at < MIN_GAP_S:
            return False
        self._heard_by_replica[replica_id] = now, up_s
        for other_id, (at, _) in tuple(self._heard_by_replica.items()):
            if at < now - RETENTION_S:
                del self._heard_by_replica[other_id]
        return abs((now - heard_at) - (up_s - heard_up_s)) <= MAX_DELAY_S
