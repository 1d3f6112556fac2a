"""Stages of a graceful stop of an entry host.

The host is first left out of ``/v1/entries``. It accepts requests until the last answer that
listed it has expired, then finishes the requests in progress, and then waits for outstanding
confirmations. Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses

from medlarfork.entry import entry_options


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """Stage: requests are accepted, and the host is listed for callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepting:
    """Stage: requests are still accepted, but the host is no longer listed.

    Attributes:
        refuse_at: When the last ``/v1/entries`` answer that listed this host expires.
        cancel_at: When to cancel the requests still in progress.
    """

    refuse_at: float
    cancel_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finishing:
    """Stage: new requests are refused, and those in progress finish."""

    cancel_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cutting:
    """Stage: attempts were cancelled because the stop took too long, and have to end.

    Attributes:
        until: When to continue even if attempts have not ended.
    """

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settling:
    """Stage: nothing is in progress, and confirmations are outstanding until a time limit."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Stage: the host holds nothing any more, and the process may exit."""


Stage = Serving | Accepting | Finishing | Cutting | Settling | Stopped


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Work that keeps this host from stopping.

    Attributes:
        requests: Requests in progress.
        unconfirmed: Messages whose receipt has not been confirmed.
    """

    requests: int
    unconfirmed: int


def start(options: entry_options.EntryNodeOptions, now: float) -> Accepting:
    """Return the first stage of a stop."""
    refuse_at = now + options.drain_notice_s + options.entries_lifetime_s
    return Accepting(refuse_at, max(refuse_at, now + options.drain_limit_s))


def advance(
    stage: Stage, remaining: RemainingWork, options: entry_options.EntryNodeOptions, now: float
) -> Stage:
    """Return the next stage if the time or the remaining work requires it, else the same one."""
    match stage:
        case Accepting(refuse_at, cancel_at) if now >= refuse_at:
            return advance(Finishing(cancel_at), remaining, options, now)
        case Finishing() if not remaining.requests:
            return advance(Settling(now + options.settle_s), remaining, options, now)
        case Finishing(cancel_at) if now >= cancel_at:
            return Cutting(now + options.settle_s)
        case Cutting(until) if not remaining.requests or now >= until:
            return advance(Settling(now + options.settle_s), remaining, options, now)
        case Settling(until) if not remaining.unconfirmed or now >= until:
            return Stopped()
        case _:
            return stage


def wake_at(stage: Stage) -> float:
    """Return when the stage changes by time alone; infinite if it does not."""
    match stage:
        case Accepting(refuse_at):
            return refuse_at
        case Finishing(cancel_at):
            return cancel_at
        case Cutting(until) | Settling(until):
            return until
        case _:
            return float("inf")


def refuses(stage: Stage) -> bool:
    """Return whether new requests are refused."""
    return isinstance(stage, Finishing | Cutting | Settling | Stopped)
