"""OpenTelemetry instruments of one process; imported lazily, because loading the SDK is slow."""

from __future__ import annotations

from collections.abc import Iterable

import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics, resources

from medlarfork.metrics import gauges, tally, timing

BUCKETS_S = (
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0, 300.0, 600.0),
)
"""Upper bounds of histogram buckets, in seconds: from a counter lookup to a long review."""


class SdkMetrics:
    """Creates the instruments and renders them."""

    def __init__(self, scope: str, read_gauges: gauges.ReadGauges) -> None:
        """Start with the state gauge.

        Args:
            scope: Instrumentation scope, the component that records the metrics.
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

    def add_tally(self, name: str, description: str, counts: tally.Tally) -> None:
        """Export a tally as a counter."""
        self._meter.create_observable_counter(
            name, callbacks=[counts.observe], description=description
        )

    def add_gauge(self, name: str, description: str, read: gauges.ReadGauge) -> None:
        """Export a gauge without labels."""

        def observe(_: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
            return [metrics_api.Observation(read())]

        self._meter.create_observable_gauge(name, callbacks=[observe], description=description)

    def add_timing(self, times: timing.Timing) -> None:
        """Export times as a histogram, starting with those recorded before the SDK was loaded."""
        histogram = self._meter.create_histogram(
            times.name,
            unit="s",
            description=times.description,
            explicit_bucket_boundaries_advisory=BUCKETS_S,
        )
        times.attach(histogram)

    def add_labelled_gauge(
        self, name: str, description: str, label: str, read_values: gauges.ReadGauges
    ) -> None:
        """Export a gauge with one label."""

        def observe(_: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
            return [
                metrics_api.Observation(value, {label: label_value})
                for label_value, value in read_values().items()
            ]

        self._meter.create_observable_gauge(name, callbacks=[observe], description=description)

    def render(self) -> bytes:
        """Return all values in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()

    def _observe_state(self, _: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
        return [
            metrics_api.Observation(value, {"name": name})
            for name, value in self._read_gauges().items()
        ]
