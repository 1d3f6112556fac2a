"""Prometheus metrics of a control replica."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics, resources

from medlarfork.operator import operations

ReadStatus = Callable[[], operations.StatusReply]

_VALUE_BY_NAME: dict[str, tuple[str, Callable[[operations.StatusReply], float]]] = {
    "medlar_control_leader": ("1 if it leads and holds its lease.", lambda s: s.has_lease),
    "medlar_control_term": ("Term of the replicated log.", lambda s: s.term),
    "medlar_control_commit_index": ("Last committed index.", lambda s: s.commit_index),
    "medlar_control_claims": ("Idempotency keys remembered.", lambda s: s.claims),
    "medlar_configuration_revision": ("Configuration revision.", lambda s: s.revision),
    "medlar_members": ("Entry hosts that hold a lease here.", lambda s: len(s.members)),
    "medlar_members_behind": (
        "Entry hosts that have not confirmed the revision.",
        lambda s: sum(member.revision != s.revision for member in s.members),
    ),
}


class ControlMetrics:
    """Metrics of one control replica."""

    def __init__(self, read_status: ReadStatus) -> None:
        """Read all values through ``read_status`` when the metrics are rendered."""
        self._read_status = read_status
        self._registry = prometheus_client.CollectorRegistry()
        self._provider: metrics.MeterProvider | None = None

    def start(self) -> None:
        """Create the instruments."""
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.get_empty(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("medlarfork")
        for name, (description, read) in _VALUE_BY_NAME.items():
            callback = self._callback(read)
            meter.create_observable_gauge(name, callbacks=[callback], description=description)

    def close(self) -> None:
        """Shut down the instruments."""
        if self._provider is not None:
            self._provider.shutdown()
            self._provider = None

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest(self._registry)

    def _callback(
        self, read: Callable[[operations.StatusReply], float]
    ) -> Callable[[metrics_api.CallbackOptions], Iterable[metrics_api.Observation]]:
        def _observe(_: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
            return [metrics_api.Observation(float(read(self._read_status())))]

        return _observe
