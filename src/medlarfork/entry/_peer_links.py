"""Links to other entry hosts, opened on demand and closed when idle."""

from __future__ import annotations

import collections
from typing import Any, Protocol

IDLE_TIMEOUT_S = 300.0
"""Idle time after which a link is closed, in seconds."""

MAX_LINKS = 128
"""Maximum number of links opened from here; the least recently used is closed first.

Each link takes two file descriptors.
"""


class Link(Protocol):
    """Interface for messages to peers, implemented by ``link.Link``."""

    def connect(self, peer_id: str, address: str) -> bool:
        """Connect to a peer."""
        ...

    def disconnect(self, peer_id: str) -> None:
        """Close the connection to a peer."""
        ...

    def has_route(self, peer_id: str) -> bool:
        """Return whether the peer has a connection to this side."""
        ...

    def send(self, peer_id: str, message: Any) -> bool:
        """Send a message without waiting."""
        ...


class PeerLinks:
    """Sends messages to entry hosts over a small number of connections.

    If a peer has connected to this host, messages to it use that connection, so two hosts need only
    one between them.
    """

    def __init__(self, link: Link) -> None:
        """Start without connections to entry hosts; other links are not touched."""
        self._link = link
        self._used_at_by_id: collections.OrderedDict[str, float] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of connections opened from here."""
        return len(self._used_at_by_id)

    def send(self, to: str, address: str, message: Any, now: float) -> bool:
        """Send a message to an entry host; it is lost if no connection is established yet."""
        uses_peer_route = to not in self._used_at_by_id and self._link.has_route(to)
        if uses_peer_route and self._link.send(to, message):
            return True
        self._link.connect(to, address)
        self._used_at_by_id[to] = now
        self._used_at_by_id.move_to_end(to)
        self.close_idle(now)
        return self._link.send(to, message)

    def close_idle(self, now: float) -> None:
        """Close the connections that are idle, and the least recently used above the limit."""
        while self._used_at_by_id:
            peer_id, used_at = next(iter(self._used_at_by_id.items()))
            if len(self._used_at_by_id) <= MAX_LINKS and now < used_at + IDLE_TIMEOUT_S:
                return
            del self._used_at_by_id[peer_id]
            self._link.disconnect(peer_id)
