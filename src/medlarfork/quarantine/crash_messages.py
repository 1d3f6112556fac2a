"""Messages in which entry hosts and replicas exchange reports on upstream crashes.

Messages may be lost, delayed or repeated. Merging them is commutative and idempotent.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The crash of an upstream while a subject ran there: a request, or one with a prompt part.

    Attributes:
        upstream_id: The incarnation, so that each start of an upstream counts once.
        ago_s: Age of the crash, in seconds. Ages are sent because the clocks of different hosts are
            not comparable.
        has_begun: Whether an event of each such run had arrived.
    """

    upstream_id: str
    ago_s: float
    has_begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashCase:
    """Everything known about one subject.

    Attributes:
        key: The subject's key (see ``crash_subject``).
        ends: The upstreams that crashed while they ran it.
        survived_ago_s: Time since an upstream last answered it completely, in seconds; negative if
            none has.
    """

    key: str
    ends: tuple[UpstreamCrash, ...] = ()
    survived_ago_s: float = -1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """Cases that are new, have changed, or may be missing at the receiver."""

    cases: tuple[CrashCase, ...]


RESEND_WINDOW_S = 2.0
"""How long an update is resent with each status message, in seconds. A link that is being
reopened drops what is sent meanwhile, and at least two status periods fit into the time within
which all have to know."""

CRASH_MESSAGES: tuple[type, ...] = (CrashReport,)
"""The message classes of this module, to be registered with the codec of the links."""
