"""Duties of a deployment, their calls to the platform, and the results of calls."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork import errors

USAGE = "usage"
"""Duty of reporting the usage of client accounts."""

ENGINES = "engines"
"""Duty of scaling engines."""

MIN_MARGIN = 1.0
"""Minimum engine margin: below it, a service has fewer engines than its load keeps busy, and its
queue grows."""


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """Settings of a deployment's duties and of its platform.

    Attributes:
        address: ``IP:PORT`` of the platform; empty if the deployment has no duties.
        duties: Names of the duties, among ``USAGE`` and ``ENGINES``.
        lease_s: Time in which the platform must not get calls of two holders alternately, in
            seconds.
        calls_per_s: Rate limit of the platform over all duties, in calls per second.
        usage_window_s: Length of a usage window, in seconds.
        engine_margin: Engines provisioned per engine that the offered load would keep busy.
    """

    address: str = ""
    duties: tuple[str, ...] = ()
    lease_s: float = 3.0
    calls_per_s: float = 10.0
    usage_window_s: float = 5.0
    engine_margin: float = 3.0

    def __post_init__(self) -> None:
        """Validate the settings.

        Raises:
            errors.SettingsError: A setting is invalid.
        """
        unknown = [duty for duty in self.duties if duty not in (USAGE, ENGINES)]
        if unknown:
            raise errors.SettingsError(
                f"Unknown duty {unknown[0]!r}.", remedy=f"Use {USAGE!r} or {ENGINES!r}."
            )
        if self.duties and not self.address:
            raise errors.SettingsError(
                "Duties require the address of a platform.", remedy="Set address to its IP:PORT."
            )
        for name in ("lease_s", "calls_per_s", "usage_window_s"):
            if self.duties and getattr(self, name) <= 0:
                raise errors.SettingsError(
                    f"{name} of the duties must be greater than 0.",
                    remedy=f"Set {name} to the value that the platform uses.",
                )
        if self.engine_margin < MIN_MARGIN:
            raise errors.SettingsError(
                f"engine_margin must be at least {MIN_MARGIN:g}.",
                remedy="Provision at least as many engines as the load keeps busy.",
            )

    @property
    def is_empty(self) -> bool:
        """Return whether the deployment has no duties."""
        return not (self.address and self.duties)

    def has(self, duty: str) -> bool:
        """Return whether the deployment has a duty."""
        return bool(self.address) and duty in self.duties


@dataclasses.dataclass(frozen=True, slots=True)
class ReportUsage:
    """Report to the platform how many requests of each client account started in a window.

    Attributes:
        window: Number of the window; it starts this many window lengths after the Unix epoch.
        count_by_account: Requests that upstreams started to run.
    """

    window: int
    count_by_account: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ScaleEngines:
    """Set the number of engines of one kind in a data centre.

    Attributes:
        service: Name of the service.
        zone: Name of the data centre.
        count: Total number of engines there, including those that already run.
        is_spot: Whether they are spot engines, which cost less but can be reclaimed.
    """

    service: str
    zone: str
    count: int
    is_spot: bool


PlatformCall = ReportUsage | ScaleEngines


class CallEnd(enum.StrEnum):
    """Result of a call to the platform."""

    DONE = "done"
    REFUSED = "refused"
    """The platform has seen a higher fence, or has no such engines now; nothing was done."""
    THROTTLED = "throttled"
    """The platform's rate limit was exceeded; nothing was done."""
    NOT_SENT = "not_sent"
    """The call was not sent."""
    UNKNOWN = "unknown"
    """There was no answer: the call may have been executed, or may still be."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallPlatform:
    """Action: make a call, if this replica may still act with its fence.

    Attributes:
        call_id: Repeated in ``PlatformCalled``.
        fence: Fence of the lease under which the call is made.
        call: The call.
    """

    call_id: int
    fence: int
    call: PlatformCall


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCalled:
    """Event: a call ended."""

    call_id: int
    end: CallEnd
