"""Detects that this host reaches no upstream of a service, from its connections to upstreams.

A crashed upstream fails for every host, a network partition of this host fails for all upstreams.
A service is unreachable once ``MAX_UNANSWERED`` of its upstreams did not answer an attempt to
connect, or ``MAX_REFUSED`` did not or refused, or all if it has fewer, with no connection accepted
in between. Since a request on an open connection ends at its deadline without any failure, silence
leads to probes, one at a time.

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping

from medlarfork import rendezvous

MAX_UNANSWERED = 4
"""Unanswered upstreams that make a service of any size unreachable: that many rarely lose power at
once."""

MAX_REFUSED = 12
"""Unanswered or refusing upstreams that make a service of any size unreachable. A crashed upstream
refuses, and a request can crash several; refusals take no time."""

MIN_SUSPECT = 2
"""Failed upstreams of a service from which this host probes: one alone has usually crashed."""

FAILURE_WINDOW_S = 3.0
"""How long a failed connection counts, in seconds; a lost packet now and then is no partition."""

SILENCE_S = 0.4
"""Time without a byte from any upstream, while requests are in progress, after which this host
probes, in seconds: engines rarely all pause for that long."""

PROBE_TIMEOUT_S = 0.25
"""Timeout of a probe, in seconds: many round trips in one region."""

RECOVERY_PERIOD_S = 0.5
"""Interval between the probes of an unreachable service, in seconds."""

TRUST_S = 1.0
"""How long silence alone causes no further probe after a connection was accepted, in seconds."""


@dataclasses.dataclass(slots=True)
class _Service:
    """Connections to the upstreams of one service; times in seconds.

    Attributes:
        addresses: Addresses of the present upstreams.
        failed_at: Time of the failure at each address where connecting failed last.
        refused: Those of them that refused each time.
        accepted_at: Time at which a connection was accepted last.
        is_unreachable: Whether no upstream can be reached.
        probe_at: Time from which an unreachable service is probed again.
        probes: Number of probes of an unreachable service, which take turns.
    """

    addresses: tuple[str, ...] = ()
    failed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    accepted_at: float = -math.inf
    is_unreachable: bool = False
    probe_at: float = -math.inf
    probes: int = 0

    def drop_old_failures(self, now: float) -> None:
        """Forget failures that no longer count, unless the service is unreachable."""
        if self.is_unreachable:
            return
        for address, at in tuple(self.failed_at.items()):
            if at < now - FAILURE_WINDOW_S:
                self.drop_failure(address)

    def drop_failure(self, address: str) -> None:
        """Forget the failure at an address."""
        del self.failed_at[address]
        self.refused.discard(address)

    def has_failed_everywhere(self) -> bool:
        """Return whether enough upstreams have failed for the service to be unreachable."""
        unanswered = len(self.failed_at) - len(self.refused)
        return (
            unanswered >= min(MAX_UNANSWERED, len(self.addresses)) > 0
            or len(self.failed_at) >= min(MAX_REFUSED, len(self.addresses)) > 0
        )


class UpstreamReachability:
    """Reachability of the services' upstreams from this host; callers pass the time, in seconds."""

    def __init__(self, entry_id: str) -> None:
        """Start with no upstreams; each entry host probes them in another order."""
        self._entry_id = entry_id
        self._service_by_name: dict[str, _Service] = {}
        self._name_by_address: dict[str, str] = {}
        self._started_at_by_attempt: dict[str, float] = {}
        self._received_at = -math.inf
        self._suspected_at: float | None = None

    @property
    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services of which no upstream can be reached, sorted."""
        return tuple(
            sorted(name for name, item in self._service_by_name.items() if item.is_unreachable)
        )

    @property
    def is_cut_off(self) -> bool:
        """Return whether no upstream of any service can be reached."""
        services = self._service_by_name.values()
        return bool(services) and all(item.is_unreachable for item in services)

    @property
    def needs_checks(self) -> bool:
        """Return whether ``next_probe`` has to be called again soon."""
        return bool(
            self._started_at_by_attempt
            or self._suspected_at is not None
            or self.unreachable_services
        )

    def is_unreachable(self, service: str) -> bool:
        """Return whether no upstream of a service can be reached."""
        found = self._service_by_name.get(service)
        return found is not None and found.is_unreachable

    def is_address_unreachable(self, address: str) -> bool:
        """Return whether no upstream of the service at an address can be reached."""
        found = self._find(address)
        return found is not None and found.is_unreachable

    def use_addresses(self, addresses_by_service: Mapping[str, Collection[str]]) -> None:
        """Use the ``IP:PORT`` of the present upstreams; services without any are dropped."""
        for name in self._service_by_name.keys() - addresses_by_service.keys():
            del self._service_by_name[name]
        self._name_by_address.clear()
        for name, addresses in addresses_by_service.items():
            service = self._service_by_name.setdefault(name, _Service())
            service.addresses = rendezvous.rank(self._entry_id, addresses)
            for address in service.failed_at.keys() - set(addresses):
                service.drop_failure(address)
            self._name_by_address.update(dict.fromkeys(addresses, name))

    def begin_attempt(self, attempt: str, now: float) -> None:
        """Record that an attempt is about to be sent."""
        self._started_at_by_attempt[attempt] = now

    def end_attempt(self, attempt: str) -> None:
        """Record that an attempt has ended."""
        self._started_at_by_attempt.pop(attempt, None)

    def record_received(self, now: float) -> None:
        """Record that bytes have arrived from some upstream."""
        self._received_at = now

    def record_connected(self, address: str, now: float) -> bool:
        """Record that an upstream accepted a connection.

        Returns:
            Whether its service was unreachable before.
        """
        service = self._find(address)
        if service is None:
            return False
        was_unreachable = service.is_unreachable
        service.failed_at.clear()
        service.refused.clear()
        service.accepted_at = now
        service.is_unreachable = False
        return was_unreachable

    def record_failure(self, address: str, now: float, *, is_refusal: bool = False) -> bool:
        """Record that an upstream refused a connection or did not answer the attempt to connect.

        Returns:
            Whether its service has become unreachable.
        """
        service = self._find(address)
        if service is None:
            return False
        service.drop_old_failures(now)
        if is_refusal and address not in service.failed_at:
            service.refused.add(address)
        elif not is_refusal:
            service.refused.discard(address)
        service.failed_at[address] = now
        if self._suspected_at is None and len(service.failed_at) >= MIN_SUSPECT:
            self._suspected_at = now
        if service.is_unreachable or not service.has_failed_everywhere():
            return False
        service.is_unreachable = True
        service.probe_at = now + RECOVERY_PERIOD_S
        return True

    def is_suspect(self, service: str) -> bool:
        """Return whether the failures at a service may be this host's own.

        That is the case if connecting failed at ``MIN_SUSPECT`` of its upstreams with no connection
        accepted in between.
        """
        found = self._service_by_name.get(service)
        return found is not None and (found.is_unreachable or len(found.failed_at) >= MIN_SUSPECT)

    def has_contact_since(self, at: float) -> bool:
        """Return whether any upstream has accepted a connection or sent bytes since a time."""
        accepted_at = (item.accepted_at for item in self._service_by_name.values())
        return max(self._received_at, *accepted_at, -math.inf) >= at

    def next_probe(self, now: float) -> str:
        """Return the address of the upstream to probe now; empty for none."""
        return self._recovery_probe(now) or self._suspicion_probe(now)

    def other_address(self, excluded: Collection[str]) -> str:
        """Return the address of another upstream that has not failed; empty if there is none."""
        for service in self._service_by_name.values():
            for other in service.addresses:
                if other not in excluded and other not in service.failed_at:
                    return other
        return ""

    def _find(self, address: str) -> _Service | None:
        return self._service_by_name.get(self._name_by_address.get(address, ""))

    def _recovery_probe(self, now: float) -> str:
        for service in self._service_by_name.values():
            if service.is_unreachable and service.addresses and now >= service.probe_at:
                service.probe_at = now + RECOVERY_PERIOD_S
                service.probes += 1
                return service.addresses[service.probes % len(service.addresses)]
        return ""

    def _suspicion_probe(self, now: float) -> str:
        """Return an upstream that has not failed, of a service without contact since then."""
        if self._suspected_at is None and self._is_silent(now):
            self._suspected_at = now
        if self._suspected_at is None:
            return ""
        for service in self._service_by_name.values():
            service.drop_old_failures(now)
            if service.is_unreachable or service.accepted_at >= self._suspected_at:
                continue
            for address in service.addresses:
                if address not in service.failed_at:
                    return address
        self._suspected_at = None
        return ""

    def _is_silent(self, now: float) -> bool:
        if not self._started_at_by_attempt:
            return False
        started_at = next(iter(self._started_at_by_attempt.values()))
        if self.has_contact_since(now - SILENCE_S) or started_at > now - SILENCE_S:
            return False
        accepted_at = (item.accepted_at for item in self._service_by_name.values())
        return max(accepted_at, default=-math.inf) < now - TRUST_S
