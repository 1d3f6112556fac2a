"""Probes upstreams while this host may have lost its links to them, and reports what it finds."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from medlarfork import logs
from medlarfork.http import http_client, upstream_reachability

CHECK_PERIOD_S = 0.1
"""Interval between two checks whether a probe is due, in seconds; none while nothing is sent."""

PROBE_PAUSE_S = 0.01
"""Pause between two probes, in seconds."""

_SCHEME = "http://"

_log = logging.getLogger(__name__)

Reach = Callable[..., Awaitable[http_client.Reachability]]
"""Probes an address (see ``http_client.HttpClient.reach``)."""


class ReachabilityProber:
    """Observes the connections to upstreams; see ``upstream_reachability`` for the decisions.

    Attributes:
        reachability: What the connections show so far.
    """

    def __init__(self, entry_id: str, on_change: Callable[[], None] | None = None) -> None:
        """Create a prober without upstreams.

        Args:
            entry_id: Id of this entry host.
            on_change: Called when a service has become unreachable, or reachable again.
        """
        self.reachability = upstream_reachability.UpstreamReachability(entry_id)
        self._on_change = on_change
        self._reach: Reach | None = None
        self._started = curio.Event()

    def use_client(self, reach: Reach) -> None:
        """Set the function that probes an address; the client's connections are observed here."""
        self._reach = reach

    async def run(self) -> None:
        """Probe whenever it is due, until cancelled."""
        while True:
            if not self.reachability.needs_checks:
                self._started.clear()
                await self._started.wait()
            address = self.reachability.next_probe(time.monotonic())
            if address:
                await self._probe(address)
            # A probe may fail at once, without having shown anything about the upstream.
            await curio.sleep(PROBE_PAUSE_S if address else CHECK_PERIOD_S)

    async def wait_verdict(self, service: str, within_s: float) -> bool:
        """Return whether no upstream of a service can be reached.

        Waits while that is suspected and probes may still show it.

        Args:
            service: Name of the service.
            within_s: How long to wait at most, in seconds.
        """
        until = time.monotonic() + within_s
        while not self.reachability.is_unreachable(service):
            if not self.reachability.is_suspect(service) or time.monotonic() >= until:
                return False
            await curio.sleep(PROBE_PAUSE_S)
        return True

    async def begin_attempt(self, attempt: str) -> None:
        """Record that an attempt is about to be sent."""
        self.reachability.begin_attempt(attempt, time.monotonic())
        if not self._started.is_set():
            await self._started.set()

    def end_attempt(self, attempt: str) -> None:
        """Record that an attempt has ended."""
        self.reachability.end_attempt(attempt)

    async def has_other_contact(self, address: str, since: float) -> bool:
        """Return whether another upstream can be reached, so that the failure of one is its own.

        Others may have crashed with it, so refusals lead to further probes; silence does not, as it
        takes long.

        Args:
            address: ``IP:PORT`` of the upstream that failed.
            since: Monotonic time from which contact counts, in seconds.
        """
        if self.reachability.has_contact_since(since):
            return True
        probed = {address}
        while len(probed) <= upstream_reachability.MAX_REFUSED:
            other = self.reachability.other_address(probed)
            if not other:
                return not self.reachability.is_address_unreachable(address)
            probed.add(other)
            found = await self._probe(other)
            if found is not http_client.Reachability.REFUSES:
                return found is http_client.Reachability.ACCEPTS
        return False

    def on_connected(self, address: str) -> None:
        """Handle an accepted connection."""
        upstream = address.removeprefix(_SCHEME)
        if self.reachability.record_connected(upstream, time.monotonic()):
            self._report_change(upstream)

    def on_connect_failed(self, address: str, *, is_refusal: bool = False) -> None:
        """Handle a connection that was refused, or an attempt that got no answer."""
        upstream = address.removeprefix(_SCHEME)
        if self.reachability.record_failure(upstream, time.monotonic(), is_refusal=is_refusal):
            self._report_change(upstream)

    def on_received(self) -> None:
        """Handle bytes that arrived from any upstream."""
        self.reachability.record_received(time.monotonic())

    async def _probe(self, address: str) -> http_client.Reachability:
        if self._reach is None:
            return http_client.Reachability.SILENT
        within_s = upstream_reachability.PROBE_TIMEOUT_S
        return await self._reach(f"{_SCHEME}{address}", within_s=within_s)

    def _report_change(self, address: str) -> None:
        logs.event(
            _log,
            "upstreams_reachable",
            unreachable=",".join(self.reachability.unreachable_services) or None,
            cut_off=self.reachability.is_cut_off,
            address=address,
        )
        if self._on_change is not None:
            self._on_change()
