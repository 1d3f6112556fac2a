"""Measurements that feed the load estimate of an entry host."""

import errno

import curio
import pytest

from medlarfork.gateway import gateway_settings, load_sampler


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
