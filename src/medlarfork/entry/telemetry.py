"""Metrics of an entry host, rendered for Prometheus."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable, Iterable

import curio
import prometheus_client
from opentelemetry import metrics as metrics_api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics, resources
from opentelemetry.sdk.metrics import export

from medlarfork.entry import entry_types
from medlarfork.metrics import sdk_metrics, tally

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the text that ``Telemetry.render`` returns."""

_MAX_HISTOGRAM_SERIES = 4096
"""Maximum number of account and class pairs with their own histogram; further ones share one."""

_MAX_COUNTER_SERIES = 16384
"""Maximum number of label sets of a counter; further ones share one."""

NO_CODE = "none"
"""Label value of requests that ended without an error."""


class Gauge(enum.StrEnum):
    """Gauges, which are read when the metrics are rendered."""

    QUEUE_LENGTH = "medlar_queue_length"
    UPSTREAMS = "medlar_upstreams"
    REVISION = "medlar_configuration_revision"
    MEMBERS = "medlar_members"
    EXCHANGES = "medlar_exchanges"
    CONNECTIONS = "medlar_connections"
    UPSTREAM_HEALTH = "medlar_upstream_health"
    UPSTREAM_LIMIT = "medlar_upstream_limit"
    UPSTREAM_RUNNING = "medlar_upstream_running"


_GAUGE_HELP = {
    Gauge.QUEUE_LENGTH: "Requests queued.",
    Gauge.UPSTREAMS: "Upstreams known.",
    Gauge.REVISION: "Configuration revision in force.",
    Gauge.MEMBERS: "Members known.",
    Gauge.EXCHANGES: "Requests in progress.",
    Gauge.CONNECTIONS: "Callers' connections open.",
    Gauge.UPSTREAM_HEALTH: "1 for the present health of each upstream of the pools run here.",
    Gauge.UPSTREAM_LIMIT: "Requests at once that an upstream is given now.",
    Gauge.UPSTREAM_RUNNING: "Requests that run at an upstream.",
}


@dataclasses.dataclass(frozen=True, slots=True)
class GaugeValue:
    """A value of a gauge, with its labels."""

    value: float
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


ReadGauge = Callable[[], Iterable[GaugeValue]]
"""Returns the current values of a gauge."""


_Callback = Callable[[metrics_api.CallbackOptions], Iterable[metrics_api.Observation]]


class Telemetry:
    """The metrics of a process; instances share no state."""

    def __init__(self) -> None:
        """Create the metrics; instruments are created by ``start``."""
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = prometheus.PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
            cardinality_limits=_cardinality_limits(),
        )
        self._provider: metrics.MeterProvider | None = None
        self._requests = _make_tally("account", "class", "outcome", "code")
        self._attainment = _make_tally("account", "class", "result")
        self._tokens = _make_tally("account", "class")
        self._wasted = _make_tally("account", "class", "cause")
        self._read_by_gauge: dict[Gauge, ReadGauge] = {}
        self._readings_by_gauge: dict[Gauge, tuple[GaugeValue, ...]] = {}
        self._rendering = curio.Lock()

    def observe(self, gauge: Gauge, read: ReadGauge) -> None:
        """Register ``read`` as the source of a gauge; call this before ``start``."""
        self._read_by_gauge[gauge] = read

    def start(self) -> None:
        """Start counting."""
        self._provider = metrics.MeterProvider(
            metric_readers=[self._reader],
            resource=resources.Resource.get_empty(),
            exemplar_filter=metrics.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("medlarfork")
        for name, counts, description in (
            ("medlar_requests", self._requests, "Requests finished."),
            ("medlar_attainment", self._attainment, "Requests of classes with targets, by result."),
            ("medlar_tokens", self._tokens, "Tokens of answers."),
            ("medlar_wasted_tokens", self._wasted, "Tokens computed and not delivered, by cause."),
        ):
            meter.create_observable_counter(
                name, callbacks=[counts.observe], description=description
            )
        self._queued = _make_histogram(meter, "medlar_queue_time", "Arrival to first dispatch.")
        self._first = _make_histogram(meter, "medlar_first_token_time", "Arrival to first byte.")
        self._whole = _make_histogram(meter, "medlar_whole_time", "Arrival to the answer's end.")
        for gauge in self._read_by_gauge:
            meter.create_observable_gauge(
                gauge.value, callbacks=[self._make_callback(gauge)], description=_GAUGE_HELP[gauge]
            )

    def close(self) -> None:
        """Stop counting."""
        if self._provider is not None:
            self._provider.shutdown()
            self._provider = None

    def record(self, finished: entry_types.Record) -> None:
        """Count a finished request."""
        account = finished.account
        class_name = finished.class_name
        self._requests.add(1, account, class_name, finished.outcome.value, finished.code or NO_CODE)
        if finished.in_target is not None:
            result = "in_target" if finished.in_target else "missed"
            self._attainment.add(1, account, class_name, result)
        if finished.tokens:
            self._tokens.add(finished.tokens, account, class_name)
        for wasted in finished.wasted:
            self._wasted.add(wasted.tokens, account, class_name, wasted.cause)
        self._record_times(finished)

    def _record_times(self, finished: entry_types.Record) -> None:
        labels = {"account": finished.account, "class": finished.class_name}
        self._queued.record(finished.queued_s, labels)
        self._whole.record(finished.whole_s, labels)
        if finished.first_token_s is not None:
            self._first.record(finished.first_token_s, labels)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format.

        It takes about a second for a thousand pairs of account and class, and blocks other tasks
        meanwhile.
        """
        self._read_gauges()
        return prometheus_client.generate_latest(self._registry)

    async def render_in_thread(self) -> bytes:
        """Return the same as ``render`` without blocking other tasks.

        The gauges are read in the calling task, and the text is rendered in a thread.
        """
        async with self._rendering:
            self._read_gauges()
            return await curio.run_in_thread(prometheus_client.generate_latest, self._registry)

    def _make_callback(self, gauge: Gauge) -> _Callback:
        def _observe(_: metrics_api.CallbackOptions) -> Iterable[metrics_api.Observation]:
            readings = self._readings_by_gauge.get(gauge, ())
            return [metrics_api.Observation(item.value, item.labels) for item in readings]

        return _observe

    def _read_gauges(self) -> None:
        for gauge, read in self._read_by_gauge.items():
            self._readings_by_gauge[gauge] = tuple(read())


def _make_tally(*names: str) -> tally.Tally:
    return tally.Tally(names, max_label_sets=_MAX_COUNTER_SERIES - 1)


def _cardinality_limits() -> export.CardinalityLimits:
    return {
        metrics.ObservableCounter: _MAX_COUNTER_SERIES,
        metrics.Histogram: _MAX_HISTOGRAM_SERIES,
    }


def _make_histogram(meter: metrics_api.Meter, name: str, description: str) -> metrics_api.Histogram:
    return meter.create_histogram(
        name,
        unit="s",
        description=description,
        explicit_bucket_boundaries_advisory=sdk_metrics.BUCKETS_S,
    )
