"""Describe upstreams: what engines and plain services announce of themselves."""

from __future__ import annotations

import dataclasses
import enum

ANNOUNCEMENTS_PATH = "/v1/announcements"
"""Where entry hosts take announcements."""


class UpstreamState(enum.StrEnum):
    """Say whether an upstream accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Report an upstream's load; it lags behind reality.

    Attributes:
        running: Requests being executed.
        waiting: Requests accepted and not yet started.
        kv_used: Share of cache memory in use, 0 to 1.
        age_s: How old the reading was when it was sent, in seconds.
    """

    running: int = 0
    waiting: int = 0
    kv_used: float = 0.0
    age_s: float = 0.0


class CacheChange(enum.StrEnum):
    """Say what happened to a cached prompt prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Report a cached prompt prefix; events come late and with gaps in ``number``."""

    number: int
    change: CacheChange
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Announce an upstream to an entry host; repeated while it lives.

    Attributes:
        upstream_id: Stable identity.
        incarnation: Grows with each start of the upstream (for example start time in ms).
        sequence: Grows with each announcement of one incarnation.
        state: READY, or LEAVING, which no later announcement of the incarnation undoes.
        address: ``http://IP:PORT`` where it serves.
        labels: What services select it by.
        data_centre: Where it stands.
        slots: Concurrent requests it runs well; 0 to take the service's default.
        models: Models and adapters loaded now.
        role: Role of an engine, such as ``mixed``, ``prefill`` or ``decode``.
        checks_fence: Whether it refuses orders that carry an old fencing number.
        load: Its last load report.
        cache_events: Changes to its prompt cache since the last announcement.
    """

    upstream_id: str
    incarnation: int
    sequence: int
    state: UpstreamState
    address: str
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    data_centre: str = ""
    slots: int = 0
    models: tuple[str, ...] = ()
    role: str = ""
    checks_fence: bool = False
    load: Load = Load()
    cache_events: tuple[CacheEvent, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReply:
    """Answer an announcement.

    Attributes:
        announce_to: Base addresses of the entry hosts to announce to next, best first.
        period_s: How long to wait before the next announcement.
        lease_s: How long the upstream stays in use without one.
    """

    announce_to: tuple[str, ...]
    period_s: float
    lease_s: float
