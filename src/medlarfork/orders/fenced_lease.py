"""Lease held through a replicated log, with a fencing token that increases with each holder.

A taker first reads the lease's version by a take that may be refused. If the lease is held, the
taker waits for the holder's full duration on its own monotonic clock and takes the lease only if
its version is unchanged, that is, if it was not renewed meanwhile. A holder measures its duration
from the time at which it proposed the take or renewal, before that can have been committed. Both
sides allow for clock drift, so a new holder starts only after the old one has stopped, without
comparing clocks between hosts.

The clock must keep running while the process is stopped. If hosts can be suspended, use a clock
that includes suspended time (``CLOCK_BOOTTIME`` on Linux).
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from medlarfork import node
from medlarfork.orders import lease_types


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings of a lease.

    Attributes:
        name: Name of the lease in the log.
        holder: Identity of this process, unique for each of its starts.
        duration_s: How long a take or renewal lasts, in seconds.
        renew_s: Time between renewals, in seconds; must be well below ``duration_s``.
        retry_s: Time after which an unanswered proposal is retried, in seconds.
        drift: Maximum clock drift, as a fraction of elapsed time.
    """

    name: str
    holder: str
    duration_s: float = 6.0
    renew_s: float = 2.0
    retry_s: float = 1.0
    drift: float = 0.01


class _Phase(enum.Enum):
    IDLE = enum.auto()
    TAKING = enum.auto()
    WAITING_FOR_EXPIRY = enum.auto()
    HOLDING = enum.auto()


class FencedLease:
    """State machine that acquires, renews and releases one lease.

    Pure: no I/O, no clock (see ``node.Node``).
    """

    def __init__(self, settings: LeaseSettings) -> None:
        """Start without the lease; nothing is proposed before the first event."""
        self._settings = settings
        self._phase = _Phase.IDLE
        # A version under which no other process acts: free, our own, or expired.
        self._takeable_version = lease_types.LeaseVersion()
        self._waited_version = lease_types.LeaseVersion()
        self._attempt = 0
        self._proposed_at = 0.0
        self._timer_at = 0.0
        self._valid_until = 0.0
        self._fence = 0

    @property
    def fence(self) -> int:
        """Return the fence of the last acquisition; 0 before the first."""
        return self._fence

    @property
    def valid_until(self) -> float:
        """Return the monotonic time at which the lease expires unless renewed, in seconds."""
        return self._valid_until if self._phase is _Phase.HOLDING else 0.0

    def may_act(self, now: float) -> bool:
        """Return whether this process may act as the holder; check right before each act.

        ``now`` must be read from the clock just before the call, so that a process that was
        suspended notices the expiry here, before any timer has fired.
        """
        return self._phase is _Phase.HOLDING and now < self._valid_until

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        actions = self._expire(now)
        match event:
            case node.Started() | lease_types.LeadershipWon() if self._phase is _Phase.IDLE:
                actions += self._take(now)
            case lease_types.LeadershipLost():
                actions += self._end_holding()
            case lease_types.RaiseFence() if self._phase is _Phase.HOLDING:
                actions += self._take(now)
            case lease_types.Stopping():
                actions += self._release()
            case lease_types.TakeCommitted(attempt, reply):
                actions += self._on_take_reply(attempt, reply, now)
            case lease_types.RenewCommitted(attempt, reply):
                actions += self._on_renew_reply(attempt, reply, now)
            case node.TimeDue():
                actions += self._on_timer(now)
        return actions

    def _expire(self, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.HOLDING or now < self._valid_until:
            return ()
        lost = self._end_holding()
        return lost + self._take(now)

    def _end_holding(self) -> tuple[Any, ...]:
        was_holding = self._phase is _Phase.HOLDING
        self._phase = _Phase.IDLE
        self._attempt += 1
        return (lease_types.Lost(self._fence),) if was_holding else ()

    def _release(self) -> tuple[Any, ...]:
        lost = self._end_holding()
        if not lost:
            return ()
        release = lease_types.ReleaseLease(
            self._settings.name, self._fence, self._settings.holder, self._attempt
        )
        return (*lost, lease_types.Propose(release))

    def _on_timer(self, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.IDLE and now < self._timer_at:
            return (node.Wake(self._timer_at),)
        match self._phase:
            case _Phase.TAKING:
                return self._take(now)
            case _Phase.WAITING_FOR_EXPIRY:
                self._takeable_version = self._waited_version
                return self._take(now)
            case _Phase.HOLDING:
                return self._renew(now)
            case _:
                return ()

    def _take(self, now: float) -> tuple[Any, ...]:
        self._phase = _Phase.TAKING
        self._start_attempt(now)
        command = lease_types.TakeLease(
            name=self._settings.name,
            holder=self._settings.holder,
            attempt=self._attempt,
            duration_s=self._settings.duration_s,
            seen=self._takeable_version,
        )
        return (lease_types.Propose(command), self._wake_at(now + self._settings.retry_s))

    def _renew(self, now: float) -> tuple[Any, ...]:
        self._start_attempt(now)
        command = lease_types.RenewLease(
            self._settings.name, self._fence, self._settings.holder, self._attempt
        )
        wake = self._wake_at(min(now + self._settings.retry_s, self._valid_until))
        return (lease_types.Propose(command), wake)

    def _start_attempt(self, now: float) -> None:
        self._attempt += 1
        self._proposed_at = now

    def _wake_at(self, at: float) -> node.Wake:
        self._timer_at = at
        return node.Wake(at)

    def _on_take_reply(
        self, attempt: int, reply: lease_types.LeaseReply, now: float
    ) -> tuple[Any, ...]:
        if self._phase is not _Phase.TAKING or attempt != self._attempt:
            return ()
        if reply.accepted:
            self._takeable_version = reply.version
            return self._on_acquired(reply, now)
        if reply.holder in ("", self._settings.holder):
            # Nobody acts under this version: the lease is free, or it is ours by a take whose reply
            # came too late.
            self._takeable_version = reply.version
            return self._take(now)
        self._phase = _Phase.WAITING_FOR_EXPIRY
        self._waited_version = reply.version
        return (self._wake_at(now + reply.duration_s * (1 + self._settings.drift)),)

    def _on_acquired(self, reply: lease_types.LeaseReply, now: float) -> tuple[Any, ...]:
        valid_until = self._proposed_at + self._safe_duration_s()
        if now >= valid_until:
            return self._take(now)
        self._phase = _Phase.HOLDING
        self._fence = reply.version.fence
        self._valid_until = valid_until
        wake = self._wake_at(min(now + self._settings.renew_s, valid_until))
        return (lease_types.Acquired(self._fence), wake)

    def _on_renew_reply(
        self, attempt: int, reply: lease_types.LeaseReply, now: float
    ) -> tuple[Any, ...]:
        if self._phase is not _Phase.HOLDING or attempt != self._attempt:
            return ()
        if not reply.accepted:
            lost = self._end_holding()
            return lost + self._take(now)
        self._takeable_version = reply.version
        self._valid_until = self._proposed_at + self._safe_duration_s()
        return (self._wake_at(min(now + self._settings.renew_s, self._valid_until)),)

    def _safe_duration_s(self) -> float:
        return self._settings.duration_s * (1 - self._settings.drift)
