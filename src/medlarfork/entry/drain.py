"""Decide the order of a graceful stop of an entry host.

It stops being named to callers first; then it accepts until the last answer that named it has
run out; then it finishes what is in progress; then nothing holds it any more.
"""

from __future__ import annotations

import dataclasses

from medlarfork.entry import entry_options


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """Take requests and be named to callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Accepting:
    """Still take requests, but be named to nobody.

    Attributes:
        refuse_at: When the last answer that named this host has run out.
        cut_at: When to end what is still in progress.
    """

    refuse_at: float
    cut_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finishing:
    """Take nothing new and finish what is in progress."""

    cut_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cutting:
    """Wait for the end of the attempts that were cancelled because the stop took too long.

    Attributes:
        until: When to stop all the same.
    """

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settling:
    """Wait for outstanding confirmations, with nothing in progress."""

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """Hold nothing any more; the process may exit."""


Stage = Serving | Accepting | Finishing | Cutting | Settling | Stopped


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Say what keeps this host from stopping.

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
    """Return the stage that follows from the time and from what is left."""
    match stage:
        case Accepting(refuse_at, cut_at) if now >= refuse_at:
            return advance(Finishing(cut_at), remaining, options, now)
        case Finishing() if not remaining.requests:
            return advance(Settling(now + options.settle_s), remaining, options, now)
        case Finishing(cut_at) if now >= cut_at:
            return Cutting(now + options.settle_s)
        case Cutting(until) if not remaining.requests or now >= until:
            return advance(Settling(now + options.settle_s), remaining, options, now)
        case Settling(until) if not remaining.unconfirmed or now >= until:
            return Stopped()
        case _:
            return stage


def wake_at(stage: Stage) -> float:
    """Return when time alone changes the stage."""
    match stage:
        case Accepting(refuse_at):
            return refuse_at
        case Finishing(cut_at):
            return cut_at
        case Cutting(until) | Settling(until):
            return until
        case _:
            return float("inf")


def refuses(stage: Stage) -> bool:
    """Return whether new requests are refused."""
    return isinstance(stage, Finishing | Cutting | Settling | Stopped)
