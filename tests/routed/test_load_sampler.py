"""Measurements that feed the load estimate of an entry host."""

import errno
import time

import curio
import pytest

from medlarfork.gateway import entry_load, gateway_settings, load_sampler


# Guards against: a host that counts as idle because it has no descriptor left to count them with.
@pytest.mark.parametrize(
    ("code", "is_overloaded"), [(errno.EMFILE, True), (errno.ENFILE, True), (errno.ENOENT, False)]
)
def test_exhausted_descriptors_count_as_full(monkeypatch, code, is_overloaded):
    def fail(*_):
        raise OSError(code, "no listing")

    changes = []
    settings = gateway_settings.GatewaySettings("e", "z", "", "", 1, 2, (), max_descriptors=1638)
    sampler = load_sampler.LoadSampler(
        settings, read_requests=lambda: 0, on_change=lambda: changes.append(True)
    )
    monkeypatch.setattr(load_sampler.os, "scandir", fail)
    period_s = load_sampler.LAG_PERIOD_S * load_sampler.LAGS_PER_SAMPLE
    curio.run(curio.ignore_after, 3 * period_s, sampler.run)
    assert sampler.load.is_overloaded == is_overloaded
    assert len(changes) == is_overloaded
    if is_overloaded:
        assert (sampler.load.cause, sampler.load.utilisation) == ("descriptors", 1.0)


# Guards against: idle hosts that refuse requests where the processor-time clock shows elapsed time.
def test_an_idle_host_is_not_overloaded_by_a_processor_clock_that_shows_elapsed_time(
    monkeypatch,
):
    monkeypatch.setattr(time, "process_time", time.monotonic)
    monkeypatch.setattr(entry_load, "WARM_UP_S", 0.0)
    settings = gateway_settings.GatewaySettings("e", "z", "", "", 1, 2, (), cores=1.0)
    sampler = load_sampler.LoadSampler(settings, read_requests=lambda: 0, on_change=lambda: None)
    curio.run(curio.ignore_after, 3.2, sampler.run)
    assert sampler.load.utilisation < 0.7


# Guards against: a log line that treats the name of the resource as an exception.
def test_the_overloaded_line_names_the_resource(caplog):
    settings = gateway_settings.GatewaySettings("e", "z", "", "", 1, 2, (), max_descriptors=1)
    sampler = load_sampler.LoadSampler(settings, read_requests=lambda: 0, on_change=lambda: None)
    with caplog.at_level("INFO"):
        curio.run(curio.ignore_after, 0.8, sampler.run)
    (record,) = caplog.records
    assert record.exc_info is None
    assert "'resource': 'descriptors'" in record.getMessage()
