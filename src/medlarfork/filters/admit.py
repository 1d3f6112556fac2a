"""Admit requests only while this entry host may take them and within its bounds."""

from __future__ import annotations

import dataclasses

from medlarfork import errors
from medlarfork.filters import answers, deduplicate
from medlarfork.http import header_names


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """Say how this entry host stands at the moment.

    Attributes:
        refusing: Whether it drains and no longer accepts.
        usable: Whether it has a configuration that it may act on.
        proven: Whether control has confirmed the configuration lately.
        other_addresses: Other entry hosts that callers can use.
    """

    refusing: bool
    usable: bool
    proven: bool
    other_addresses: tuple[str, ...]


class Admission:
    """Count requests in progress and the bytes of their bodies, and refuse beyond the bounds."""

    def __init__(self, *, request_limit: int, bytes_limit: int) -> None:
        """Start with nothing in progress."""
        self._request_limit = request_limit
        self._bytes_limit = bytes_limit
        self.requests = 0
        self.held_bytes = 0

    @property
    def load(self) -> float:
        """Return the share of the bounds in use, 0 to 1."""
        share = max(self.requests / self._request_limit, self.held_bytes / self._bytes_limit)
        return min(share, 1.0)

    def admit(self, body_bytes: int, standing: HostStatus, *, repeatable: bool) -> None:
        """Count one more request; ``leave`` must follow once.

        Raises:
            errors.RequestRefusedError: It can't be taken now; nothing was counted.
        """
        check_host_status(standing)
        if not repeatable and not standing.proven:
            raise deduplicate.no_quorum_error()
        full = self.requests >= self._request_limit
        if full or self.held_bytes + body_bytes > self._bytes_limit:
            raise _elsewhere(
                errors.Code.OVERLOADED, "This entry host has too many requests.", standing
            )
        self.requests += 1
        self.held_bytes += body_bytes

    def leave(self, body_bytes: int) -> None:
        """Count one request less."""
        self.requests -= 1
        self.held_bytes -= body_bytes


def check_host_status(standing: HostStatus) -> None:
    """Check whether this host takes requests at all.

    Raises:
        errors.RequestRefusedError: It drains, or may not act on its configuration.
    """
    if standing.refusing:
        raise _elsewhere(errors.Code.DRAINING, "This entry host is stopping.", standing)
    if not standing.usable:
        raise _elsewhere(
            errors.Code.STALE_CONFIGURATION,
            "This entry host can't prove that its configuration is current.",
            standing,
        )


def _elsewhere(code: errors.Code, problem: str, standing: HostStatus) -> errors.RequestRefusedError:
    headers = answers.retry_after(1.0)
    if standing.other_addresses:
        headers[header_names.ENTRIES] = ", ".join(standing.other_addresses)
    return errors.RequestRefusedError(
        problem,
        remedy=f"Use another entry host, such as one named in {header_names.ENTRIES}.",
        code=code,
        status=503,
        headers=headers,
    )
