"""Announcements of upstreams and changes of the view of them."""

from __future__ import annotations

import dataclasses
import ipaddress


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One announcement of one incarnation of an upstream.

    Attributes:
        upstream_id: Identifies the incarnation (see ``incarnation_id``).
        service: The service that it belongs to.
        address: ``IP:PORT`` that it serves on.
        zone: The data centre that it runs in.
        slots: Maximum concurrent requests.
        sequence: Increases with each announcement of the incarnation, to detect late ones.
        is_leaving: Whether it accepts no new requests any more; final for an incarnation.
        slow_for_ms: Remaining time of its slow phase after a start, in milliseconds.
        name: The upstream's own name; empty if it equals ``upstream_id``.
        born_ms: Its start time, in Unix milliseconds by its own clock; 0 if unknown.
        is_spot: Whether it is a spot instance, which its platform may reclaim.
        version: The version of its software; empty if it names none, None if not known.
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
    version: str | None = None

    @property
    def own_name(self) -> str:
        """Return the name that the upstream uses for itself and recognises in requests."""
        return self.name or self.upstream_id

    def with_version_of(self, other: Announcement | None) -> Announcement:
        """Return this with the version of another announcement of the incarnation, if unknown.

        Processes of earlier builds pass announcements on without it.
        """
        if other is None or self.version is not None or other.version is None:
            return self
        return dataclasses.replace(self, version=other.version)

    def is_outdated_by(self, other: Announcement) -> bool:
        """Return whether another announcement is of a later start at its address or of its name.

        The announced start times are compared. A name that has announced a start time always
        announces one after a restart.
        """
        if self.own_name == other.own_name:
            return self.born_ms < other.born_ms
        return self.address == other.address and 0 < self.born_ms < other.born_ms


def incarnation_id(name: str, born_ms: int) -> str:
    """Return the id of one start of an upstream, which may restart under the same name."""
    return f"{name}@{born_ms}" if born_ms else name


MAX_SLOTS = 100_000
"""Slots above which an announcement is invalid: more than an engine of any size runs at once."""

MAX_NAME_LENGTH = 200
"""Length of names above which an announcement is invalid."""

MAX_PORT_DIGITS = 5
"""Digits of the largest port."""

MAX_SLOW_MS = 7 * 24 * 3600 * 1000.0
"""Remaining time of a slow phase above which an announcement is invalid, in milliseconds."""


def is_name(text: str) -> bool:
    """Return whether a text from another process can be kept and shown as a name."""
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


def invalid_reason(announcement: Announcement) -> str:
    """Return why an announcement is invalid; empty if it is valid."""
    # Imported only by replicas: it makes the start-up of entry hosts slower.
    from medlarfork import bounds

    if not is_name(announcement.own_name):
        return "its name is missing, too long, or has characters that can't be shown"
    if not (0 < len(announcement.service) <= MAX_NAME_LENGTH):
        return "its service is missing or too long"
    if len(announcement.zone) > MAX_NAME_LENGTH:
        return "its zone is too long"
    if not 0 < announcement.slots <= MAX_SLOTS:
        return "its slots are not a number of requests"
    if announcement.version and not is_name(announcement.version):
        return "its version is too long, or has characters that can't be shown"
    for counter in (announcement.sequence, announcement.born_ms):
        if not 0 <= counter <= bounds.MAX_INTEGER:
            return "its sequence or its start is negative, or does not fit into 64 bits"
    if not abs(announcement.slow_for_ms) <= MAX_SLOW_MS:
        return "its slow phase has no end"
    return "" if _is_address(announcement.address) else "its address is not IP:PORT"


def _is_address(text: str) -> bool:
    host, _, port = text[-MAX_NAME_LENGTH:].rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(port) < 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChange:
    """A change of a replica's view of the upstreams.

    Attributes:
        present: Announcements of upstreams that may take requests.
        left: Incarnations that left permanently, or were replaced at their address.
        silent: Incarnations that this replica has not heard recently; they may return.
        is_whole: Whether ``present`` is the full view of the replica.
    """

    present: tuple[Announcement, ...] = ()
    left: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    is_whole: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether it changes nothing."""
        return not (self.present or self.left or self.silent or self.is_whole)
