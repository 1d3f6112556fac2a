"""Gauges of the upstreams whose pools run on an entry host."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from medlarfork.entry import entry_status, telemetry

_MAX_UPSTREAMS = 1_500
"""Maximum number of upstreams in the metrics; ``/v1/status`` lists all of them."""

ReadUpstreams = Callable[[], Iterable[entry_status.UpstreamStatus]]


def observe(metrics: telemetry.Telemetry, read: ReadUpstreams) -> None:
    """Register the gauges, with ``read`` as their source; call this before the metrics start."""

    def _health() -> list[telemetry.GaugeValue]:
        return [
            telemetry.GaugeValue(1.0, {**_labels(item), "health": use.health.value})
            for item, use in _reported_upstreams(read())
        ]

    def _limit() -> list[telemetry.GaugeValue]:
        return [
            telemetry.GaugeValue(use.limit, _labels(item))
            for item, use in _reported_upstreams(read())
        ]

    def _running() -> list[telemetry.GaugeValue]:
        return [
            telemetry.GaugeValue(use.running, _labels(item))
            for item, use in _reported_upstreams(read())
        ]

    metrics.observe(telemetry.Gauge.UPSTREAM_HEALTH, _health)
    metrics.observe(telemetry.Gauge.UPSTREAM_LIMIT, _limit)
    metrics.observe(telemetry.Gauge.UPSTREAM_RUNNING, _running)


def _reported_upstreams(
    upstreams: Iterable[entry_status.UpstreamStatus],
) -> list[tuple[entry_status.UpstreamStatus, entry_status.UpstreamUse]]:
    """Return the upstreams whose pool runs here, up to the maximum number in the metrics."""
    used = [(item, item.use) for item in upstreams if item.use is not None]
    return sorted(used, key=lambda pair: pair[0].upstream_id)[:_MAX_UPSTREAMS]


def _labels(item: entry_status.UpstreamStatus) -> dict[str, str]:
    return {"pool": item.pool, "upstream": item.upstream_id}
