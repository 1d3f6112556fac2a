"""Test that metrics are recorded without the SDK and rendered with it."""

import subprocess
import sys

import curio

from medlarfork.metrics import process_metrics, timing

MAX_PENDING = 5


class _FakeHistogram:
    """Histogram that collects the recorded times."""

    def __init__(self):
        self.seconds = []

    def record(self, amount, attributes=None):
        self.seconds.append(amount)


class _FakeExchange:
    def __init__(self):
        self.answer = None

    async def respond(self, status, headers, body):
        self.answer = status, body.decode()


def _scrape(metrics):
    exchange = _FakeExchange()
    curio.run(metrics.respond, exchange)
    status, text = exchange.answer
    assert status == 200
    return text


def test_times_recorded_before_the_sdk_is_loaded_are_exported_with_later_ones():
    metrics = process_metrics.ProcessMetrics("tests", lambda: {"open": 3.0})
    times = metrics.timing("medlar_time", "Times.")
    counts = metrics.tally("medlar_counts", "Counts.", ("account",))
    times.record(0.2, {"account": "a"})
    counts.add(2, "a")
    assert 'medlar_time_seconds_count{account="a"} 1.0' in _scrape(metrics)
    times.record(0.4, {"account": "a"})
    text = _scrape(metrics)
    assert 'medlar_time_seconds_count{account="a"} 2.0' in text
    assert 'medlar_counts_total{account="a"} 2.0' in text
    assert 'medlar_routed_state{name="open"} 3.0' in text
    metrics.close()


def test_a_full_buffer_requests_the_sdk_once():
    load_requests = []
    times = timing.Timing(
        "t", "Times.", max_pending=MAX_PENDING, on_full=lambda: load_requests.append(True)
    )
    for _ in range(3 * MAX_PENDING):
        times.record(1.0)
    assert load_requests == [True]
    histogram = _FakeHistogram()
    times.attach(histogram)
    times.record(2.0)
    assert len(histogram.seconds) == 3 * MAX_PENDING + 1


def test_an_unscraped_process_does_not_load_the_sdk():
    script = (
        "import sys\n"
        "from medlarfork.metrics import process_metrics\n"
        "metrics = process_metrics.ProcessMetrics('tests', dict)\n"
        "metrics.timing('t', 'Times.').record(1.0)\n"
        "metrics.close()\n"
        "assert not [name for name in sys.modules if name.startswith('opentelemetry')]\n"
    )
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60)


def test_a_gauge_has_its_own_name_and_is_read_when_it_is_rendered():
    """Guards against gauges that keep the value of the start, or are missing."""
    metrics = process_metrics.ProcessMetrics("tests", dict)
    values = [1.0]
    metrics.gauge("medlar_waiting", "Requests that wait.", lambda: values[0])
    assert "medlar_waiting 1.0" in _scrape(metrics)
    values[0] = 2.0
    assert "medlar_waiting 2.0" in _scrape(metrics)
    metrics.close()
