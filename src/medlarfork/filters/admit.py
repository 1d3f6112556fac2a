"""Admission control of an entry host: limits on concurrent requests and on held body bytes."""

from __future__ import annotations

import dataclasses

from medlarfork import errors
from medlarfork.filters import answers, deduplicate
from medlarfork.http import header_names


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """Whether this entry host may serve requests now.

    Attributes:
        refusing: Whether it is draining and rejects new requests.
        usable: Whether it has a configuration that it may use.
        proven: Whether control has confirmed the configuration recently.
        other_addresses: Other entry hosts that callers can use.
        is_cut_off: Whether it reaches no upstream, while another entry host does.
    """

    refusing: bool
    usable: bool
    proven: bool
    other_addresses: tuple[str, ...]
    is_cut_off: bool = False


class Admission:
    """Counts requests in progress and the bytes of their bodies; rejects beyond the limits."""

    def __init__(self, *, request_limit: int, bytes_limit: int) -> None:
        """Start with nothing in progress."""
        self._request_limit = request_limit
        self._bytes_limit = bytes_limit
        self.requests = 0
        self.held_bytes = 0

    @property
    def load(self) -> float:
        """Return the utilization of the limits, 0 to 1."""
        share = max(self.requests / self._request_limit, self.held_bytes / self._bytes_limit)
        return min(share, 1.0)

    def admit(self, body_bytes: int, standing: HostStatus, *, repeatable: bool) -> None:
        """Count one request; ``leave`` must be called once for it.

        Raises:
            errors.RequestRefusedError: It can't be admitted now; it is not counted.
        """
        check_host_status(standing)
        if not repeatable and not standing.proven:
            raise deduplicate.no_quorum_error()
        full = self.requests >= self._request_limit
        if full or self.held_bytes + body_bytes > self._bytes_limit:
            raise _use_other_host(
                errors.Code.OVERLOADED, "This entry host has too many requests.", standing
            )
        self.requests += 1
        self.held_bytes += body_bytes

    def leave(self, body_bytes: int) -> None:
        """Stop counting one request."""
        self.requests -= 1
        self.held_bytes -= body_bytes


def check_host_status(standing: HostStatus) -> None:
    """Check whether this host accepts requests at all.

    Raises:
        errors.RequestRefusedError: It is draining, may not use its configuration, or reaches no
            upstream.
    """
    if standing.refusing:
        raise _use_other_host(errors.Code.DRAINING, "This entry host is stopping.", standing)
    if not standing.usable:
        raise _use_other_host(
            errors.Code.STALE_CONFIGURATION,
            "This entry host can't prove that its configuration is current.",
            standing,
        )
    if standing.is_cut_off:
        raise _use_other_host(
            errors.Code.NO_CAPACITY, "This entry host reaches no upstream.", standing
        )


def _use_other_host(
    code: errors.Code, problem: str, standing: HostStatus
) -> errors.RequestRefusedError:
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
