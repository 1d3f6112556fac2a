"""Events of a pool, besides the messages of entry hosts in ``ticket``.

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
    """Apply the classes, accounts and service of a new configuration revision.

    Attributes:
        classes: Every declared class; a tier's floor is the largest of its classes' shares. A
            ticket keeps the tier that it was classified with.
        accounts: Every declared account; an undeclared one has weight 1 and no limits.
        service: The service that the pool's upstreams belong to.
        drained_upstreams: Ids of upstreams that get no new grants; running requests continue.
    """

    classes: tuple[configuration.RequestClass, ...]
    accounts: tuple[configuration.Account, ...]
    service: configuration.Service
    drained_upstreams: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUp:
    """Add an upstream whose lease has started; the sender enforces the lease.

    For an upstream that is already up, it has the effect of ``UpstreamChanged``.

    Attributes:
        age_s: How long ago the announcement was received.
    """

    announcement: upstream.Announcement
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """Apply a newer announcement of an upstream that is up, with its load and cache events.

    State LEAVING ends new grants for the rest of the incarnation; running requests continue.

    Attributes:
        age_s: How long ago the announcement was received.
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
    """Take over the pool from another owner.

    Not all grants of the earlier owner may be known yet. During the settling time a slot is
    therefore granted only if a load report of the upstream since the takeover shows it free.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class EntryGone:
    """Drop the queued tickets of a lost entry host.

    Its running tickets keep their slots until a timeout, because the upstreams may still be
    processing them.
    """

    entry_id: str
