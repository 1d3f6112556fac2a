"""Keep the metrics of one process of a routed deployment, and render them for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import curio
import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics, resources

from medlarfork.http import http_server
from medlarfork.metrics import tally

PATH = "/metrics"
"""Path of a process's metrics on its health address."""

CONTENT_TYPE = "text/plain; version=0.0.4"
"""Content type of what ``ProcessMetrics.render_aside`` returns."""

MOST_LABEL_SETS = 4096
"""Label sets that are counted apart; further ones share one, which bounds memory."""

BUCKETS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0),
)
"""Upper bounds of the histograms' buckets, in seconds: from a counter lookup to a review."""

ReadGauges = Callable[[], dict[str, float]]
"""Returns the present values of the gauges by name."""


class ProcessMetrics:
    """Make the instruments of one process; nothing is shared with other instances."""

    def __init__(self, scope: str, read_gauges: ReadGauges) -> None:
        """Start without instruments but one gauge of states.

        Args:
            scope: Names the part of the product that counts.
            read_gauges: Called when the metrics are rendered.
        """
        self._read_gauges = read_gauges
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.get_empty(),
            exemplar_filter=metrics.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(scope)
        self._meter.create_observable_gauge(
            "medlar_routed_state", callbacks=[self._observe_state], description="State by name."
        )

    def tally(self, name: str, description: str, labels: tuple[str, ...]) -> tally.Tally:
        """Return a counter by labels."""
        counts = tally.Tally(labels, most=MOST_LABEL_SETS)
        self._meter.create_observable_counter(
            name, callbacks=[counts.observe], description=description
        )
        return counts

    def histogram(self, name: str, description: str) -> metrics_api.Histogram:
        """Return a histogram of times in seconds."""
        return self._meter.create_histogram(
            name,
            unit="s",
            description=description,
            explicit_bucket_boundaries_advisory=BUCKETS_S,
        )

    def close(self) -> None:
        """Stop counting."""
        self._provider.shutdown()

    async def respond(self, exchange: http_server.Exchange) -> None:
        """Answer a request for the metrics, while other tasks go on."""
        body = await curio.run_in_thread(prometheus_client.generate_latest, self._registry)
        await exchange.respond(200, {"Content-Type": CONTENT_TYPE}, body)

    def _observe_state(self, _: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
        return [
            metrics_api.Observation(value, {"name": name})
            for name, value in self._read_gauges().items()
        ]
