"""Interval of the status messages between entry hosts and replicas, by the size of the fleet.

Each replica sends its status to each host, and each host to each replica, several times
a second, which grows with the product of both and is nearly all that an idle host does. So large
fleets use a longer interval, and longer timeouts where they depend on it.
"""

from __future__ import annotations

MIN_PERIOD_S = 0.4
"""Period of fleets up to 120 hosts, in seconds: a lost replica is skipped within half a second,
and each tenth of a second of placement without an owner makes streams late."""

MAX_PERIOD_S = 0.8
"""Longest period, in seconds: a lost host is named to callers for two and a half of them."""

HOSTS_PER_SECOND = 300.0
"""Hosts with which a replica exchanges statuses per second: a small part of its CPU time."""

SUSPECT_PERIODS = 1.125
"""Periods of silence after which a replica that also left a request unanswered is skipped."""

OWNER_PERIODS = 2.5
"""Periods after which a replica gets no more requests: two statuses may be lost."""

DIRECTORY_PERIODS = 2.5
"""Periods after which a host is not named to callers any more."""

RESEND_PERIODS = 2.0
"""Periods after which what was not confirmed is sent again."""

CONFIRM_PERIODS = 1.5
"""Periods within which a change is confirmed: time until the next status, and its latency."""


def period_s(entry_hosts: int) -> float:
    """Return the period for a fleet, in seconds."""
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, entry_hosts / HOSTS_PER_SECOND))
