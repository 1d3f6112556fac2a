"""Define the messages in which entry hosts and replicas exchange backpressure signals.

Any message may be lost, late or repeated: reports are merged, in any order, to the same state.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Tell the latest rate limit of one incarnation of an upstream.

    Attributes:
        upstream_id: The incarnation.
        rate: Requests a second that it takes from all hosts together; None if it names no limit
            any more.
        ago_s: How long ago that was known, in seconds: clocks of different hosts have nothing in
            common.
    """

    upstream_id: str
    rate: float | None
    ago_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Tell that an incarnation of an upstream wants no request from an entry host for a while.

    Attributes:
        upstream_id: The incarnation.
        entry_id: The entry host that it turned away.
        left_s: How much longer, in seconds.
    """

    upstream_id: str
    entry_id: str
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SignalReport:
    """Tell what is new, what changed, or what the receiver may not know.

    Attributes:
        limits: Rate limits, and those that ended.
        pauses: Pauses that entry hosts were asked for.
        leaving: Incarnations that say that they are leaving.
    """

    limits: tuple[RateLimit, ...] = ()
    pauses: tuple[Backoff, ...] = ()
    leaving: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether it tells nothing."""
        return not (self.limits or self.pauses or self.leaving)


RESEND_WINDOW_S = 2.0
"""How long news are told again with each status, in seconds: a link that is being opened again
loses what is sent meanwhile."""

SIGNAL_MESSAGES: tuple[type, ...] = (SignalReport,)
"""Every message class of this module, for the codec of the links."""
