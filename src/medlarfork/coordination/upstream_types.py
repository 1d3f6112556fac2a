"""Define what upstreams announce of themselves, and what replicas and entry hosts keep of it."""

from __future__ import annotations

import dataclasses
import ipaddress


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Hold one announcement of one incarnation of an upstream.

    Attributes:
        upstream_id: Names the incarnation (see ``incarnation_id``).
        service: The service that it belongs to.
        address: ``IP:PORT`` that it serves on.
        zone: The data centre that it runs in.
        slots: Requests that it runs at once.
        sequence: Grows with each announcement of the incarnation, so that late ones are seen.
        is_leaving: Whether it takes no new request any more; final for an incarnation.
        slow_for_ms: How much longer it works slowly after its start, in milliseconds.
        name: What the upstream calls itself; empty if that is its ``upstream_id``.
        born_ms: When it was started, in Unix milliseconds by its own clock; 0 if it does not say.
        is_spot: Whether it is of the cheap kind that its platform may take back.
    """

    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int
    sequence: int = 0
    is_leaving: bool = False
    slow_for_ms: float = 0.0
    name: str = ""
    born_ms: int = 0
    is_spot: bool = False

    @property
    def own_name(self) -> str:
        """Return what the upstream calls itself, by which it knows requests that are for it."""
        return self.name or self.upstream_id

    def is_outdated_by(self, other: Announcement) -> bool:
        """Say whether another announcement is of a later start at its address or of its name.

        Starts are compared by what both say of themselves; a name that says when it was started
        can't have been started again without saying so.
        """
        if self.own_name == other.own_name:
            return self.born_ms < other.born_ms
        return self.address == other.address and 0 < self.born_ms < other.born_ms


def incarnation_id(name: str, born_ms: int) -> str:
    """Return what names one start of an upstream, which may start again under its name."""
    return f"{name}@{born_ms}" if born_ms else name


MAX_SLOTS = 100_000
"""Slots beyond which an announcement is a mistake: more than engines of any size run at once."""

MAX_NAME_LENGTH = 200
"""Characters of names beyond which an announcement is a mistake."""


def invalid_reason(announcement: Announcement) -> str:
    """Return why an announcement names no upstream that could be used; empty if it does."""
    if not (
        0 < len(announcement.own_name) <= MAX_NAME_LENGTH and announcement.own_name.isprintable()
    ):
        return "its name is missing, too long, or has characters that can't be shown"
    if not (0 < len(announcement.service) <= MAX_NAME_LENGTH):
        return "its service is missing or too long"
    if not 0 < announcement.slots <= MAX_SLOTS:
        return "its slots are not a number of requests"
    if announcement.sequence < 0 or announcement.born_ms < 0:
        return "its sequence or its start is negative"
    return "" if _is_address(announcement.address) else "its address is not IP:PORT"


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 1 << 16


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
