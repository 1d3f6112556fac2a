"""Decide how often entry hosts and replicas tell each other that they are there: pure arithmetic.

The load that this answers: each replica tells each host, and each host each replica, several times
a second, which grows with the product of both and is nearly all that an idle host does. So large
fleets tell it less often, and what is taken for silence there is longer.
"""

from __future__ import annotations

MIN_PERIOD_S = 0.4
"""Period of fleets up to 120 hosts, in seconds: a lost replica is passed over within half a second,
and each tenth of a second of placement without an owner makes streams late."""

MAX_PERIOD_S = 0.8
"""Longest period, in seconds: a lost host is named to callers for two and a half of them."""

HOSTS_PER_SECOND = 300.0
"""Hosts that a replica tells, and hears, in a second: a small part of its processor."""

SUSPECT_PERIODS = 1.125
"""Periods of silence after which one that did not answer either is passed over."""

OWNER_PERIODS = 2.5
"""Periods after which one is not asked any more: two may be lost."""

DIRECTORY_PERIODS = 2.5
"""Periods after which a host is not named to callers any more."""

RESEND_PERIODS = 2.0
"""Periods after which what was not confirmed is sent again."""

CONFIRM_PERIODS = 1.5
"""Periods within which a change is confirmed: the next status and its way."""


def period_s(entry_hosts: int) -> float:
    """Return the period for a fleet, in seconds."""
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, entry_hosts / HOSTS_PER_SECOND))
