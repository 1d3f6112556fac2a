"""Messages in which entry hosts and replicas exchange backpressure signals.

Messages may be lost, delayed or repeated. Merging reports is commutative and idempotent, so the
order of arrival does not matter.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The latest known rate limit of one upstream incarnation.

    Attributes:
        upstream_id: The incarnation.
        rate: Requests a second that it accepts from all entry hosts together; None once it states
            no limit any more.
        ago_s: Age of the observation, in seconds. Ages are sent because the clocks of different
            hosts are not comparable.
    """

    upstream_id: str
    rate: float | None
    ago_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """A request by an upstream incarnation that one entry host send it nothing for a while.

    Attributes:
        upstream_id: The incarnation.
        entry_id: The entry host whose request was rejected.
        left_s: Remaining time, in seconds.
    """

    upstream_id: str
    entry_id: str
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SignalReport:
    """Signals that are new, have changed, or may be missing at the receiver.

    Attributes:
        limits: Rate limits, including those that have ended.
        pauses: Backoffs that upstreams requested from entry hosts.
        leaving: Incarnations that reported that they are leaving.
    """

    limits: tuple[RateLimit, ...] = ()
    pauses: tuple[Backoff, ...] = ()
    leaving: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether the report carries no signal."""
        return not (self.limits or self.pauses or self.leaving)


RESEND_WINDOW_S = 2.0
"""How long an update is resent with each status message, in seconds. A link that is being
reopened drops what is sent meanwhile."""

SIGNAL_MESSAGES: tuple[type, ...] = (SignalReport,)
"""The message classes of this module, to be registered with the codec of the links."""
