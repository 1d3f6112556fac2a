"""Tests of gauges, status and explanations for ejected, probing and starting upstreams."""

from __future__ import annotations

import json
import random
from typing import Any

import curio
import msgspec
import pytest

from medlarfork import errors, ticket, upstream
from medlarfork.entry import _upstream_gauges, entry_api, entry_status, telemetry
from medlarfork.http import http_server
from medlarfork.pool import pool, pool_events, pool_options, pool_view
from tests import entry_harness


class Exchange:
    """Fake of an operator's connection."""

    def __init__(self, path: str, query: str = "", key: str = "operator") -> None:
        headers = {"authorization": f"Bearer {key}"}
        self.head = http_server.RequestHead("GET", path, query, headers)
        self.status = 0
        self.body = b""

    async def respond(self, status: int, headers: Any, body: bytes) -> None:
        self.status, self.body = status, body


class BrokenNode:
    """Node that raises the given error for every query."""

    def __init__(self, error: errors.MedlarError) -> None:
        self._error = error

    def explain(self, *_: Any) -> Any:
        raise self._error


def announcement(upstream_id):
    return upstream.Announcement(
        upstream_id, 1, 1, upstream.UpstreamState.READY, f"http://{upstream_id}", slots=4
    )


@pytest.fixture
def bench():
    made = pool.Pool(
        name="lm/0",
        entry_id="e1",
        random=random.Random(1),
        options=pool_options.PoolOptions(slow_start_s=10.0),
    )
    for number in range(6):
        said = announcement(f"u{number}")
        made.handle(pool_events.UpstreamUp(said), 0.0)
    return made


def view_of(bench, upstream_id):
    return {item.upstream_id: item for item in bench.upstream_views()}[upstream_id]


def fail(bench, upstream_id, now):
    """Fail the requests granted to an upstream until it is ejected; return their number."""
    failed = 0
    for number in range(400):
        asked = ticket.Ticket(f"{now}.{number}", "e1", "lm/0", "shop", "chat", 1, 0.0, now + 99.0)
        for action in bench.handle(asked, now):
            if not isinstance(action, ticket.Grant):
                continue
            hit = action.upstream_id == upstream_id
            cause = ticket.ReleaseCause.FAILED if hit else ticket.ReleaseCause.UNUSED
            failed += hit
            bench.handle(ticket.Release(action.ticket_id, "lm/0", cause), now)
        if view_of(bench, upstream_id).ejected:
            return failed
    raise AssertionError(f"{failed} failures did not eject {upstream_id}")


def test_a_view_shows_ejection_probing_and_slow_start(bench):
    assert view_of(bench, "u0").health(20.0) is pool_view.Health.IN_USE
    fail(bench, "u0", 20.0)
    use = entry_status.use_of(view_of(bench, "u0"), 21.0)
    assert use.health is pool_view.Health.EJECTED
    assert use.ejected_for_s == pytest.approx(4.0)
    bench.handle(pool_events.UpstreamGone("u1"), 26.5)
    probed = entry_status.use_of(view_of(bench, "u0"), 26.5)
    assert (probed.health, probed.ejected_for_s) == (pool_view.Health.PROBING, None)
    assert probed.limit == 1
    bench.handle(pool_events.UpstreamUp(announcement("u9")), 30.0)
    assert view_of(bench, "u9").health(31.0) is pool_view.Health.SLOW_START
    assert view_of(bench, "u9").health(41.0) is pool_view.Health.IN_USE


def test_a_gauge_shows_the_upstreams_of_the_pools_that_run_here():
    use = entry_status.UpstreamUse(pool_view.Health.EJECTED, 3.0, 8, 4, 2, 1.0)
    other = entry_status.UpstreamStatus("u2", "http://u2", "lm/1", "ready", 0.1, ())
    shown = entry_status.UpstreamStatus("u1", "http://u1", "lm/0", "ready", 0.1, (), use)
    metrics = telemetry.Telemetry()
    _upstream_gauges.observe(metrics, lambda: (other, shown))
    metrics.start()
    text = metrics.render().decode()
    metrics.close()
    assert 'medlar_upstream_health{health="ejected",pool="lm/0",upstream="u1"} 1.0' in text
    assert 'medlar_upstream_limit{pool="lm/0",upstream="u1"} 4.0' in text
    assert 'medlar_upstream_running{pool="lm/0",upstream="u1"} 2.0' in text
    assert "u2" not in text


def test_the_number_of_series_is_bounded():
    use = entry_status.UpstreamUse(pool_view.Health.IN_USE, None, 8, 4, 2, 1.0)
    many = [
        entry_status.UpstreamStatus(f"u{number}", "http://u", "lm/0", "ready", 0.1, (), use)
        for number in range(5_000)
    ]
    assert len(_upstream_gauges._reported_upstreams(many)) == _upstream_gauges._MAX_UPSTREAMS


@pytest.mark.parametrize(
    ("health", "selected", "piece"),
    [
        ({"ejected": True, "ejected_until": 1e9, "usable": False}, False, "is ejected for another"),
        ({"ejected": True, "ejected_until": 1e9}, True, "too few others are left"),
        ({"probing": True}, True, "one request at a time"),
        ({"full_at": 1e9}, True, "gets 2 of 4 requests at once"),
        ({"drained": True, "usable": False}, False, "an order has taken it out"),
    ],
)
def test_status_and_explain_show_an_upstreams_health(monkeypatch, health, selected, piece):
    simulation = entry_harness.EntrySimulation()
    simulation.announce("e1", "u1")
    monkeypatch.setattr(pool.Pool, "upstream_views", lambda _: (_seen(**health),))
    raw = entry_harness.chat("x").raw
    owner = simulation.node_by_id["e1"].explain(raw, "shop", simulation.now).pools[0].owner
    explained = simulation.node_by_id[owner].explain(raw, "shop", simulation.now)
    found = {item.upstream_id: item for item in explained.pools[0].candidates}["u1"]
    assert found.selected is selected
    assert piece in found.reason
    listed = json.loads(msgspec.json.encode(simulation.node_by_id[owner].status(simulation.now)))[
        "upstreams"
    ]
    use = {item["upstream_id"]: item for item in listed}["u1"]["use"]
    assert (use["limit"], use["slots"]) == (2, 4)
    assert use["health"] == _seen(**health).health(simulation.now).value


def _seen(**health):
    base = {
        "upstream_id": "u1", "address": "http://u1", "usable": True, "drained": False,
        "ejected": False, "probing": False, "slots": 4, "limit": 2, "running": 1, "foreign": 0,
        "slowness": 1.0,
    }  # fmt: skip
    return pool_view.UpstreamView(**{**base, **health})


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (errors.OperatorError("No.", remedy="Go.", code=errors.Code.NOT_FOUND), 404),
        (errors.OperatorError("No.", remedy="Go.", code=errors.Code.MODEL_NOT_FOUND), 404),
        (errors.OperatorError("No.", remedy="Go.", code=errors.Code.BAD_REQUEST), 400),
        (
            errors.RequestRefusedError(
                "No.", remedy="Go.", code=errors.Code.STALE_CONFIGURATION, status=503
            ),
            503,
        ),
    ],
)
def test_explain_answers_with_the_status_of_the_error(error, status):
    api = entry_api.EntryApi(
        BrokenNode(error),
        telemetry.Telemetry(),
        announce_key_sha256=(),
        operator_key_sha256=(_OPERATOR_KEY,),
        clock=lambda: 0.0,
    )
    exchange = Exchange("/v1/explain", "account=shop&model=m")
    assert curio.run(api.serve, exchange, "r1")
    assert exchange.status == status
    assert json.loads(exchange.body)["error"]["code"] == error.code.value


_OPERATOR_KEY = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
