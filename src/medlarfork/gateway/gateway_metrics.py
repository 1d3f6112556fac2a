"""Metrics of an entry host of a routed deployment: requests by status, and their duration."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from medlarfork.metrics import process_metrics

if TYPE_CHECKING:
    from medlarfork.metrics import gauges


class GatewayMetrics:
    """The metrics of one entry host.

    Attributes:
        process: The registry of the instruments, which also serves them over HTTP.
    """

    def __init__(self, read_gauges: gauges.ReadGauges) -> None:
        """Create the instruments; ``read_gauges`` is called when they are rendered."""
        self.process = process_metrics.ProcessMetrics("medlarfork.gateway", read_gauges)
        self._requests = self.process.tally(
            "medlar_routed_requests", "Requests finished.", ("account", "class", "status")
        )
        self._refused = self.process.tally(
            "medlar_entry_refused", "Requests refused by an overloaded host.", ("tier", "cause")
        )
        self._held = self.process.tally(
            "medlar_held_refused", "Requests refused because upstreams crashed.", ("subject",)
        )
        self._whole = self.process.timing("medlar_routed_time", "Arrival to the answer's end.")

    def count(self, account: str, route: str, status: int, took_ms: float) -> None:
        """Count a finished request."""
        self._requests.add(1, account, route, str(status))
        self._whole.record(took_ms / 1000.0, {"account": account, "class": route})

    def count_refused(self, tier: int, cause: str) -> None:
        """Count a request that was refused because this host is overloaded."""
        self._refused.add(1, str(tier), cause)

    def count_held(self, *, is_part: bool) -> None:
        """Count a request that was refused because it, or a part of its prompt, is held."""
        self._held.add(1, "part" if is_part else "request")

    def observe_utilisation(self, read: Callable[[], float]) -> None:
        """Export the utilisation of this host; ``read`` is called when it is rendered."""
        self.process.gauge("medlar_entry_utilisation", "Highest utilisation of a resource.", read)
