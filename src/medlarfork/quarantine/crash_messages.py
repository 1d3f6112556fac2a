"""Define what entry hosts and replicas tell each other of requests that ended upstreams.

Any message may be lost, late or repeated: whatever is told is merged, in any order, to the same.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """Tell that an upstream ended while a request ran there.

    Attributes:
        upstream_id: The incarnation, so that each start of an upstream counts once.
        ago_s: How long ago, in seconds: clocks of different hosts have nothing in common.
    """

    upstream_id: str
    ago_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCase:
    """Tell all that is known of one request.

    Attributes:
        key: Names the request (see ``request_key``).
        ends: The upstreams that ended under it.
        survived_ago_s: How long ago an upstream last answered it whole, in seconds; below 0 if
            none has.
    """

    key: str
    ends: tuple[UpstreamCrash, ...] = ()
    survived_ago_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell cases that are new, that changed, or that the receiver may not know."""

    cases: tuple[CrashCase, ...]


RESEND_WINDOW_S = 2.0
"""How long news are told again with each status, in seconds: a link that is being opened again
loses what is sent meanwhile, and two periods or more fit into the time until all have to know."""

CRASH_MESSAGES: tuple[type, ...] = (CrashReport,)
"""Every message class of this module, for the codec of the links."""
