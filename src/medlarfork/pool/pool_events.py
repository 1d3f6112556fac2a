"""Define the events of a pool besides the tickets that entry hosts send (see ``ticket``).

``Pool.handle`` takes these, ``node.TimeDue``, and from module ``ticket``: ``Ticket``,
``Withdraw``, ``Release`` and ``Running``. Its actions are ``ticket.Grant``, ``ticket.Shed``,
``ticket.Preempt`` and ``node.Wake``.
"""

from __future__ import annotations

import dataclasses

from medlarfork import upstream
from medlarfork.declared import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyChanged:
    """Put a revision's classes, accounts and service in force for what comes next.

    Attributes:
        classes: Every declared class; a tier's floor is the largest of its classes' shares. A
            ticket keeps the tier that it was classified with.
        accounts: Every declared account; an undeclared one has weight 1 and no limits.
        service: The service that the pool's upstreams answer.
        drained_upstreams: Ids of upstreams that get no new grants; running ones go on.
    """

    classes: tuple[configuration.RequestClass, ...]
    accounts: tuple[configuration.Account, ...]
    service: configuration.Service
    drained_upstreams: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUp:
    """Add an upstream whose lease has begun; the sender enforces the lease.

    A repeated one, or one for a known upstream, counts as ``UpstreamChanged``.

    Attributes:
        age_s: How long ago the announcement was heard.
    """

    announcement: upstream.Announcement
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """Hand over a newer announcement of an upstream that is up, with its load and cache events.

    State LEAVING ends new grants for the rest of the incarnation; running ones go on.

    Attributes:
        age_s: How long ago the announcement was heard.
    """

    announcement: upstream.Announcement
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone:
    """Remove an upstream whose lease ended; its running tickets stay until they are released."""

    upstream_id: str


UpstreamEvent = UpstreamUp | UpstreamChanged | UpstreamGone


@dataclasses.dataclass(frozen=True, slots=True)
class TookOver:
    """Say that the pool now decides for its upstreams in another owner's place.

    What that one granted may not be known yet, so that for a while only slots are granted which
    a reading of the upstream's load since then shows free.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class EntryGone:
    """Drop a lost entry host's queued tickets.

    Its running tickets keep their slots until a timeout, since the upstreams may still be at
    work for them.
    """

    entry_id: str
