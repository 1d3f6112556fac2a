"""Addresses of the upstreams that an entry host has used lately."""

from __future__ import annotations

RETENTION_S = 20.0
"""How long an address is kept after its last use, in seconds."""

MIN_ADDRESSES = 2
"""Fewer addresses show nothing about the links of this host: an upstream alone may be down."""


class RecentUpstreams:
    """Collects addresses; callers pass the time, in seconds."""

    def __init__(self) -> None:
        """Start without addresses."""
        self._used_at_by_address: dict[str, float] = {}

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses; none if they are too few."""
        kept = tuple(self._used_at_by_address)
        return kept if len(kept) >= MIN_ADDRESSES else ()

    def record(self, address: str, now: float) -> bool:
        """Record a use of an address; return whether it is a new one."""
        is_new = address not in self._used_at_by_address
        self._used_at_by_address[address] = now
        return is_new

    def expire(self, now: float) -> bool:
        """Drop the addresses that were not used lately; return whether there were any."""
        expired = [
            address
            for address, used_at in self._used_at_by_address.items()
            if used_at < now - RETENTION_S
        ]
        for address in expired:
            del self._used_at_by_address[address]
        return bool(expired)
