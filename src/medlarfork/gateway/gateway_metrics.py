"""Count what an entry host of a routed deployment does, and render it for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import curio
import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics, resources

from medlarfork.entry import _tally, telemetry

_MOST_LABEL_SETS = 4096
"""Label sets that are counted apart; further ones share one, which bounds memory."""

ReadGauges = Callable[[], dict[str, float]]
"""Returns the present values of the gauges by name."""


class GatewayMetrics:
    """Keep the metrics of one entry host."""

    def __init__(self, read_gauges: ReadGauges) -> None:
        """Make the instruments; ``read_gauges`` is called when they are rendered."""
        self._read_gauges = read_gauges
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = _tally.Tally(("account", "class", "status"), most=_MOST_LABEL_SETS)
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.get_empty(),
            exemplar_filter=metrics.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("medlarfork.gateway")
        meter.create_observable_counter(
            "medlar_routed_requests",
            callbacks=[self._requests.observe],
            description="Requests finished.",
        )
        self._whole = meter.create_histogram(
            "medlar_routed_time",
            unit="s",
            description="Arrival to the answer's end.",
            explicit_bucket_boundaries_advisory=telemetry.BUCKETS_S,
        )
        meter.create_observable_gauge(
            "medlar_routed_state", callbacks=[self._observe_state], description="State by name."
        )

    def close(self) -> None:
        """Stop counting."""
        self._provider.shutdown()

    def count(self, account: str, route: str, status: int, took_ms: float) -> None:
        """Count a finished request."""
        self._requests.add(1, account, route, str(status))
        self._whole.record(took_ms / 1000.0, {"account": account, "class": route})

    async def render_aside(self) -> bytes:
        """Return all metrics in Prometheus' text format, while other tasks go on."""
        return await curio.run_in_thread(prometheus_client.generate_latest, self._registry)

    def _observe_state(self, _: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
        return [
            metrics_api.Observation(value, {"name": name})
            for name, value in self._read_gauges().items()
        ]
