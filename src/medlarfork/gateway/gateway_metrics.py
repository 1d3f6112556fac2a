"""Count and time the requests of an entry host of a routed deployment."""

from __future__ import annotations

from medlarfork.metrics import gauges, process_metrics


class GatewayMetrics:
    """Keep the metrics of one entry host.

    Attributes:
        process: The instruments' process, which answers requests for them.
    """

    def __init__(self, read_gauges: gauges.ReadGauges) -> None:
        """Make the instruments; ``read_gauges`` is called when they are rendered."""
        self.process = process_metrics.ProcessMetrics("medlarfork.gateway", read_gauges)
        self._requests = self.process.tally(
            "medlar_routed_requests", "Requests finished.", ("account", "class", "status")
        )
        self._whole = self.process.timing("medlar_routed_time", "Arrival to the answer's end.")

    def count(self, account: str, route: str, status: int, took_ms: float) -> None:
        """Count a finished request."""
        self._requests.add(1, account, route, str(status))
        self._whole.record(took_ms / 1000.0, {"account": account, "class": route})
