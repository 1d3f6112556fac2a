"""Define the duties of a deployment, the calls that they make, and how calls end."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import errors

USAGE = "usage"
"""Names the duty of reporting what client accounts used."""

ENGINES = "engines"
"""Names the duty of ordering engines."""

MIN_MARGIN = 1.0
"""Smallest margin of engines: with fewer than its load keeps busy, a service falls behind."""


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Say which duties a deployment has, and how its platform is reached.

    Attributes:
        address: ``IP:PORT`` of the platform; empty if the deployment has no duties.
        duties: Names of the duties, among ``USAGE`` and ``ENGINES``.
        lease_s: Within this time the platform must not see two holders take turns, in seconds.
        calls_per_s: Calls that the platform takes in a second, over all duties.
        usage_window_s: Length of one window of usage, in seconds.
        engine_margin: Engines held for each engine's worth of reading that is offered.
    """

    address: str = ""
    duties: tuple[str, ...] = ()
    lease_s: float = 3.0
    calls_per_s: float = 10.0
    usage_window_s: float = 5.0
    engine_margin: float = 3.0

    def __post_init__(self) -> None:
        """Check what can't work.

        Raises:
            errors.SettingsError: Something can't.
        """
        unknown = [duty for duty in self.duties if duty not in (USAGE, ENGINES)]
        if unknown:
            raise errors.SettingsError(
                f"There is no duty {unknown[0]!r}.", remedy=f"Name {USAGE!r} or {ENGINES!r}."
            )
        if self.duties and not self.address:
            raise errors.SettingsError(
                "Duties need the address of a platform.", remedy="Set address to its IP:PORT."
            )
        for name in ("lease_s", "calls_per_s", "usage_window_s"):
            if self.duties and getattr(self, name) <= 0:
                raise errors.SettingsError(
                    f"{name} of the duties is not above 0.",
                    remedy=f"Set {name} as the platform does.",
                )
        if self.engine_margin < MIN_MARGIN:
            raise errors.SettingsError(
                f"engine_margin is under {MIN_MARGIN:g}.",
                remedy="Hold at least as many engines as the load keeps busy.",
            )

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to be done."""
        return not (self.address and self.duties)

    def has(self, duty: str) -> bool:
        """Return whether a deployment has a duty."""
        return bool(self.address) and duty in self.duties


@dataclasses.dataclass(frozen=True, slots=True)
class ReportUsage:
    """Tell the platform how many requests of each client account began in a window.

    Attributes:
        window: Number of the window; it begins this many windows after the start of 1970.
        count_by_account: Requests that upstreams began to run.
    """

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleEngines:
    """Ask the platform for a number of engines of one kind in a data centre.

    Attributes:
        service: The service.
        zone: The data centre.
        count: Engines to have there, those that run included.
        is_spot: Whether they are of the cheap kind that may be taken back.
    """

    service: str
    zone: str
    count: int
    is_spot: bool


PlatformCall = ReportUsage | ScaleEngines


class CallEnd(enum.StrEnum):
    """Say how a call to the platform ended."""

    DONE = "done"
    REFUSED = "refused"
    """A higher fence was seen, or there are no such engines now; nothing was done."""
    THROTTLED = "throttled"
    """Too many calls; nothing was done."""
    NOT_SENT = "not_sent"
    """Nothing left this host."""
    UNKNOWN = "unknown"
    """No answer came: it may have been done, or may be done later."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallPlatform:
    """Action: make a call, if this replica may still act with its fence.

    Attributes:
        call_id: Returned with its end.
        fence: The fence of the lease under which it is made.
        call: What is asked.
    """

    call_id: int
    fence: int
    call: PlatformCall


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCalled:
    """Event: a call has ended."""

    call_id: int
    end: CallEnd
