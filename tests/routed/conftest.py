"""Fixtures shared by the tests of routed deployments."""

import pytest

from medlarfork.coordination import upstream_types
from medlarfork.placement import placement_messages, shard_owner
from medlarfork.routes import routing
from tests.routed import placement_helpers


@pytest.fixture
def make_route():
    """Return a factory of routes to the service ``engines``."""

    def make(**changes):
        values = {
            "name": "r",
            "host": "a.example",
            "path_prefix": "/p/",
            "kind": routing.RouteKind.SAFE,
            "timeout_ms": 1000.0,
            "targets": (routing.Target("engines"),),
        }
        return routing.Route(**(values | changes))

    return make


@pytest.fixture
def make_announcement():
    """Return a factory of upstream announcements."""

    def make(upstream_id="u-1", **changes):
        values = {
            "service": "engines",
            "address": "10.0.0.1:80",
            "zone": "z1",
            "slots": 2,
            "sequence": 1,
        }
        return upstream_types.Announcement(upstream_id, **(values | changes))

    return make


@pytest.fixture
def make_place_request():
    """Return a factory of placement requests."""

    def make(ticket_id="t-1", parts=(), **changes):
        values = {"service": "engines", "tier": 0, "left_ms": 1000.0, "zone": "z1"}
        named = tuple(
            placement_messages.PromptSegment(part_id, tokens) for part_id, tokens in parts
        )
        return placement_messages.PlaceRequest(ticket_id, parts=named, **(values | changes))

    return make


@pytest.fixture
def make_shard_owner(make_announcement):
    def make(count=2, **changes):
        service = shard_owner.ShardOwner()
        service.use_engine(placement_helpers.ENGINE)
        service.use_upstreams(
            {
                f"u-{n}": make_announcement(f"u-{n}", address=f"10.0.0.{n}:80", **changes)
                for n in range(count)
            }
        )
        return service

    return make
