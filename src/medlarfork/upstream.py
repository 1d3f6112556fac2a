"""Announcements of upstreams: messages that engines and plain services send to entry hosts."""

from __future__ import annotations

import dataclasses
import enum

ANNOUNCEMENTS_PATH = "/v1/announcements"
"""HTTP path at which entry hosts receive announcements."""


class UpstreamState(enum.StrEnum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load reported by an upstream; always somewhat out of date.

    Attributes:
        running: Number of requests being executed.
        waiting: Number of requests accepted and not yet started.
        kv_used: Share of KV-cache memory in use, 0 to 1.
        age_s: Age of the values when they were sent, in seconds.
    """

    running: int = 0
    waiting: int = 0
    kv_used: float = 0.0
    age_s: float = 0.0


class CacheChange(enum.StrEnum):
    """Change of a cached prompt prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of one cached prompt prefix; events may be late or lost (gaps in ``number``)."""

    number: int
    change: CacheChange
    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Periodic message with which an upstream announces itself to an entry host.

    Attributes:
        upstream_id: Stable identity.
        incarnation: Increases with each start of the upstream (for example its start time in ms).
        sequence: Increases with each announcement of one incarnation.
        state: READY or LEAVING; LEAVING is final for the incarnation.
        address: ``http://IP:PORT`` at which it serves requests.
        labels: Labels that service selectors match.
        data_centre: Data centre in which it runs.
        slots: Concurrent requests that it can run efficiently; 0 for the service's default.
        models: Currently loaded models and adapters.
        role: Role of an engine, such as ``mixed``, ``prefill`` or ``decode``.
        checks_fence: Whether it refuses orders with an outdated fencing number.
        load: Its last load report.
        cache_events: Changes of its prompt cache since the previous announcement.
        version: Version of its software; a stream is resumed only at the version that began it.
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
    version: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementReply:
    """Reply to an announcement.

    Attributes:
        announce_to: Base addresses of the entry hosts to send announcements to, best first.
        period_s: Interval until the next announcement.
        lease_s: Time for which the upstream stays in use without a new announcement.
    """

    announce_to: tuple[str, ...]
    period_s: float
    lease_s: float
