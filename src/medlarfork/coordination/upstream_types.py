"""Define what upstreams announce of themselves, and what replicas and entry hosts keep of it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Hold one announcement of one incarnation of an upstream.

    Attributes:
        upstream_id: Names the incarnation; a restart draws a new one.
        service: The service that it belongs to.
        address: ``IP:PORT`` that it serves on.
        zone: The data centre that it runs in.
        slots: Requests that it runs at once.
        sequence: Grows with each announcement of the incarnation, so that late ones are seen.
        is_leaving: Whether it takes no new request any more; final for an incarnation.
        slow_for_ms: How much longer it works slowly after its start, in milliseconds.
    """

    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int = 0
    is_leaving: bool = False
    slow_for_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """Say that an incarnation leaves for good; its address may be unknown."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChange:
    """Tell what changed in a replica's view of the upstreams.

    Attributes:
        present: Announcements of upstreams that may take requests.
        left: Incarnations that left for good, or whose address another one took.
        silent: Incarnations that this replica has not heard of lately; they may come back.
        is_whole: Whether ``present`` is all that the replica knows.
    """

    present: tuple[Announcement, ...] = ()
    left: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    is_whole: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether it changes nothing."""
        return not (self.present or self.left or self.silent or self.is_whole)
