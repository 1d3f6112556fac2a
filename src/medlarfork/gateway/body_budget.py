"""Budget for the bytes of large request bodies that an entry host serves.

The load it handles: bursts of bodies of megabytes on hosts of 160 to 440 MB, where a few dozen of
them take the memory of all other requests. A body that does not fit is refused before it is read,
so its request has not run. Bodies that are still arriving take no room here: their clients may
never send the rest (see ``receive_budget``).

Pure: no I/O, no clock.
"""

from __future__ import annotations

import collections

from medlarfork import errors
from medlarfork.gateway import entry_load

HOST_SHARE = 0.48
"""Share of the memory for requests that large bodies may take; the rest is left for small requests,
for bodies that are still arriving, and for responses that are held."""

ACCOUNT_SHARE = 0.8
"""Share of that which one client account may take, so that another one has room as well."""

FREE_BYTES = 64 * 1024
"""Size up to which a body is part of the usual memory of a request and does not count, in bytes."""


MIN_HOST_BYTES = 1 << 20
"""Least limit for the host, in bytes, if the stated memory is too small."""

RETRY_AFTER_S = 0.3
"""Time in ``Retry-After`` of a refusal, in seconds: what a body of megabytes takes on a slow link,
after which another one has room here; other hosts mostly have room at once."""


class BodyBudget:
    """The bytes of large bodies that one entry host holds.

    Attributes:
        host_bytes: Limit for the host, in bytes.
        held_bytes: Bytes of large bodies held now.
    """

    def __init__(self, memory_mb: float) -> None:
        """Derive the limit from the memory that the host may use, in megabytes."""
        for_requests = (memory_mb - entry_load.BASE_MB) * 1e6
        self.host_bytes = max(int(HOST_SHARE * for_requests), MIN_HOST_BYTES)
        self.held_bytes = 0
        self._held_by_account: collections.Counter[str] = collections.Counter()

    @property
    def held_requests(self) -> int:
        """Return the number of requests of usual size that would take as much memory."""
        return self.held_bytes // entry_load.REQUEST_BYTES

    def open_lease(self) -> BodyLease:
        """Return the lease of a request, which holds nothing yet."""
        return BodyLease(self)

    def has_room(self, account: str, size: int) -> bool:
        """Return whether there is room; there always is for the only large body.

        Args:
            account: The client account; empty for none.
            size: Size that counts, in bytes.
        """
        if size <= 0 or not self.held_bytes:
            return True
        of_account = self._held_by_account[account] + size
        is_beyond = self.held_bytes + size > self.host_bytes
        return not is_beyond and of_account <= ACCOUNT_SHARE * self.host_bytes

    def hold(self, account: str, size: int) -> None:
        """Record that a body is held."""
        self.held_bytes += size
        self._held_by_account[account] += size

    def release(self, account: str, size: int) -> None:
        """Record that a body is no longer held."""
        self.held_bytes -= size
        self._held_by_account[account] -= size
        if not self._held_by_account[account]:
            del self._held_by_account[account]


class BodyLease:
    """What one request holds of the budget; ``close`` gives it back.

    Attributes:
        account: The client account that it counts for; empty for none.
        free_bytes: Size up to which a body needs no room, in bytes.
    """

    free_bytes = FREE_BYTES

    def __init__(self, budget: BodyBudget) -> None:
        """Start with nothing held."""
        self.account = ""
        self._budget = budget
        self._held = 0
        self._read = 0

    def check(self, size: int) -> None:
        """Check that there is room for a body of a size in bytes.

        Raises:
            errors.RequestRefusedError: There is no room.
        """
        if not self._budget.has_room(self.account, size - FREE_BYTES):
            raise errors.RequestRefusedError(
                "This entry host has no memory for the request's body now.",
                remedy="Use another entry host, or retry after the time in Retry-After.",
                code=errors.Code.OVERLOADED,
                status=503,
                headers={"Retry-After": f"{RETRY_AFTER_S:.3f}"},
            )

    def add_part(self, size: int) -> None:
        """Check that there is room for all parts that were read, with one of a size in bytes.

        Raises:
            errors.RequestRefusedError: There is no room.
        """
        self._read += size
        self.check(self._read)

    def hold(self, size: int) -> None:
        """Hold room for a complete body of a size in bytes.

        Raises:
            errors.RequestRefusedError: There is no room.
        """
        self.check(size)
        self._held = max(size - FREE_BYTES, 0)
        self._budget.hold(self.account, self._held)

    def close(self) -> None:
        """Give back what is held."""
        self._budget.release(self.account, self._held)
        self._held = 0
