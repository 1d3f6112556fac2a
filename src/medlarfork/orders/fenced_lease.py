"""Hold a named lease through a replicated log, with a fence number that grows with each holder.

A taker first reads the lease's state by a take that may be refused. If somebody holds it, the
taker waits the holder's whole duration on its own monotonic clock and takes the lease only if its
state is still the same, that is, if no renewal came in between. A holder counts its time from the
moment at which it proposed the take or renewal, before it can have committed. Both ends allow for
clocks that run at different rates, so a new holder begins after the old one has stopped, without
any clock being compared with another.

The clock must not stop while the process can't run. Where whole hosts are suspended, pass times
of a clock that counts the suspension too (``CLOCK_BOOTTIME`` on Linux).
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

from medlarfork import node
from medlarfork.orders import lease_types


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Configure a lease.

    Attributes:
        name: Name of the lease in the log.
        holder: Identity of this process, different for each of its starts.
        duration_s: How long a take or renewal lasts, in seconds.
        renew_s: Time between renewals, in seconds; well under ``duration_s``.
        retry_s: Time after which an unanswered proposal is made again, in seconds.
        drift: Largest difference of a clock's rate from true time, as a share.
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
    WAITING_OUT = enum.auto()
    HOLDING = enum.auto()


class FencedLease:
    """Acquire, renew and give up one lease; pure, see ``node.Node``."""

    def __init__(self, settings: LeaseSettings) -> None:
        """Start without the lease and without wanting it."""
        self._settings = settings
        self._phase = _Phase.IDLE
        # The state nobody else acts under any more: free, our own, or waited out.
        self._takeable = lease_types.LeaseVersion()
        self._waiting_for = lease_types.LeaseVersion()
        self._attempt = 0
        self._proposed_at = 0.0
        self._due = 0.0
        self._valid_until = 0.0
        self._fence = 0

    @property
    def fence(self) -> int:
        """Return the fence of the last acquisition; 0 before the first."""
        return self._fence

    @property
    def valid_until(self) -> float:
        """Return the monotonic time at which the lease ends unless renewed, in seconds."""
        return self._valid_until if self._phase is _Phase.HOLDING else 0.0

    def may_act(self, now: float) -> bool:
        """Return whether this process may act as the holder; ask right before each act.

        ``now`` must have been read from the clock just before the call: a process that was
        frozen finds out here, before any timer has run.
        """
        return self._phase is _Phase.HOLDING and now < self._valid_until

    def handle(self, event: Any, now: float) -> tuple[Any, ...]:
        """Handle an event at a monotonic time in seconds and return the actions, in order."""
        actions = self._expire(now)
        match event:
            case node.Started() | lease_types.LeadershipWon() if self._phase is _Phase.IDLE:
                actions += self._take(now)
            case lease_types.LeadershipLost():
                actions += self._stop()
            case lease_types.RaiseFence() if self._phase is _Phase.HOLDING:
                actions += self._take(now)
            case lease_types.Stopping():
                actions += self._release()
            case lease_types.TakeCommitted(attempt, reply):
                actions += self._on_take(attempt, reply, now)
            case lease_types.RenewCommitted(attempt, reply):
                actions += self._on_renew(attempt, reply, now)
            case node.TimeDue():
                actions += self._on_due(now)
        return actions

    def _expire(self, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.HOLDING or now < self._valid_until:
            return ()
        lost = self._stop()
        return lost + self._take(now)

    def _stop(self) -> tuple[Any, ...]:
        was_holding = self._phase is _Phase.HOLDING
        self._phase = _Phase.IDLE
        self._attempt += 1
        return (lease_types.Lost(self._fence),) if was_holding else ()

    def _release(self) -> tuple[Any, ...]:
        lost = self._stop()
        if not lost:
            return ()
        release = lease_types.ReleaseLease(
            self._settings.name, self._fence, self._settings.holder, self._attempt
        )
        return (*lost, lease_types.Propose(release))

    def _on_due(self, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.IDLE and now < self._due:
            return (node.Wake(self._due),)
        match self._phase:
            case _Phase.TAKING:
                return self._take(now)
            case _Phase.WAITING_OUT:
                self._takeable = self._waiting_for
                return self._take(now)
            case _Phase.HOLDING:
                return self._renew(now)
            case _:
                return ()

    def _take(self, now: float) -> tuple[Any, ...]:
        self._phase = _Phase.TAKING
        self._propose_at(now)
        command = lease_types.TakeLease(
            name=self._settings.name,
            holder=self._settings.holder,
            attempt=self._attempt,
            duration_s=self._settings.duration_s,
            seen=self._takeable,
        )
        return (lease_types.Propose(command), self._wake_at(now + self._settings.retry_s))

    def _renew(self, now: float) -> tuple[Any, ...]:
        self._propose_at(now)
        command = lease_types.RenewLease(
            self._settings.name, self._fence, self._settings.holder, self._attempt
        )
        wake = self._wake_at(min(now + self._settings.retry_s, self._valid_until))
        return (lease_types.Propose(command), wake)

    def _propose_at(self, now: float) -> None:
        self._attempt += 1
        self._proposed_at = now

    def _wake_at(self, at: float) -> node.Wake:
        self._due = at
        return node.Wake(at)

    def _on_take(self, attempt: int, reply: lease_types.LeaseReply, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.TAKING or attempt != self._attempt:
            return ()
        if reply.accepted:
            self._takeable = reply.version
            return self._on_taken(reply, now)
        if reply.holder in ("", self._settings.holder):
            # Nobody acts under it: it is free, or ours by a take whose reply came too late.
            self._takeable = reply.version
            return self._take(now)
        self._phase = _Phase.WAITING_OUT
        self._waiting_for = reply.version
        return (self._wake_at(now + reply.duration_s * (1 + self._settings.drift)),)

    def _on_taken(self, reply: lease_types.LeaseReply, now: float) -> tuple[Any, ...]:
        valid_until = self._proposed_at + self._measured_duration()
        if now >= valid_until:
            return self._take(now)
        self._phase = _Phase.HOLDING
        self._fence = reply.version.fence
        self._valid_until = valid_until
        wake = self._wake_at(min(now + self._settings.renew_s, valid_until))
        return (lease_types.Acquired(self._fence), wake)

    def _on_renew(self, attempt: int, reply: lease_types.LeaseReply, now: float) -> tuple[Any, ...]:
        if self._phase is not _Phase.HOLDING or attempt != self._attempt:
            return ()
        if not reply.accepted:
            lost = self._stop()
            return lost + self._take(now)
        self._takeable = reply.version
        self._valid_until = self._proposed_at + self._measured_duration()
        return (self._wake_at(min(now + self._settings.renew_s, self._valid_until)),)

    def _measured_duration(self) -> float:
        return self._settings.duration_s * (1 - self._settings.drift)
