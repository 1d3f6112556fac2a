"""Shared fixtures of the duties tests."""

import pytest

from medlarfork.coordination import upstream_types
from medlarfork.duties import engine_plan
from medlarfork.placement import placement_messages
from medlarfork.routes import routing

ZONES = ("z1", "z2", "z3")


@pytest.fixture
def make_scaling():
    """Return a factory of scaling limits; by default, spot engines cost a fifth."""

    def make(**changes):
        prices = (1.0, 0.8, 1.25)
        zones = tuple(
            routing.ZonePrice(zone, price) for zone, price in zip(ZONES, prices, strict=True)
        )
        values = {"least": 1, "most": 20, "boot_s": 4.0, "spot_price": 0.2, "zones": zones}
        return routing.Scaling(**(values | changes))

    return make


@pytest.fixture
def make_service(make_scaling):
    """Return a factory of services whose engines are scaled."""

    def make(**changes):
        engine = routing.EngineSpec(slots=32, memory_tokens=500_000)
        return routing.Service("engines", engine=engine, scaling=make_scaling(**changes))

    return make


@pytest.fixture
def make_fleet():
    """Return a factory of ``engine_plan.Fleet`` from (on-demand, spot) counts by data centre."""

    def make(*counts, unavailable=()):
        running = {}
        for zone, (on_demand, spot) in zip(ZONES, counts, strict=True):
            running[engine_plan.Group(zone, False)] = on_demand
            running[engine_plan.Group(zone, True)] = spot
        return engine_plan.Fleet(running, frozenset(unavailable))

    return make


@pytest.fixture
def make_announcements():
    """Return a factory of announcements from (on-demand, spot) counts by data centre."""

    def make(*counts):
        present = []
        for zone, kinds in zip(ZONES, counts, strict=True):
            for is_spot, count in zip((False, True), kinds, strict=True):
                present += [
                    upstream_types.Announcement(
                        f"{zone}-{is_spot}-{number}",
                        "engines",
                        "10.0.0.1:80",
                        zone,
                        32,
                        is_spot=is_spot,
                    )
                    for number in range(count)
                ]
        return tuple(present)

    return make


@pytest.fixture
def make_work():
    """Return a factory of offered work: total prefill in milliseconds, and current requests."""

    def make(read_ms, requests=0):
        return placement_messages.ServiceLoad("engines", read_ms, requests)

    return make
