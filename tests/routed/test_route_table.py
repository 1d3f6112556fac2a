import random

import hypothesis
from hypothesis import strategies as st

from medlarfork.routes import route_table, routing


def _table(*routes, accounts=()):
    return route_table.RouteTable(routing.Routing(1, routes, (), accounts))


def test_the_longest_prefix_of_the_host_is_chosen(make_route):
    short = make_route(name="short", path_prefix="/")
    long = make_route(name="long", path_prefix="/p/q/")
    table = _table(short, long, make_route(name="other", host="b.example", path_prefix="/p/q/r/"))
    assert table.route("a.example", "/p/q/r/s") is long
    assert table.route("A.EXAMPLE:8080", "/p/q/") is long
    assert table.route("a.example", "/p/q") is short
    assert table.route("c.example", "/p/q/") is None


_PATH = st.text(alphabet="ab/", max_size=8).map(lambda text: f"/{text}")


@hypothesis.given(st.sets(_PATH.map(lambda path: path.rstrip("/") + "/"), max_size=6), _PATH)
def test_the_lookup_equals_a_scan_of_all_routes(prefixes, path):
    routes = [
        routing.Route(p, "h", p, routing.RouteKind.SAFE, 1.0, (routing.Target("s"),))
        for p in prefixes
    ]
    matching = [route for route in routes if path.startswith(route.path_prefix)]
    expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
    assert _table(*routes).route("h", path) is expected


def test_api_keys_identify_accounts():
    account = routing.Account("x", ("k1", "k2"))
    table = _table(accounts=(account,))
    assert table.needs_keys
    assert table.account("k2") is account
    assert table.account("") is None


def test_targets_are_drawn_by_weight(make_route):
    route = make_route(targets=(routing.Target("a", 9.0), routing.Target("b", 1.0)))
    draw = random.Random(1)
    chosen = [route_table.choose_target(route, draw.random()) for _ in range(2000)]
    assert 100 < chosen.count("b") < 300
    assert route_table.choose_target(route, 1.0) == "a"


def test_a_target_without_weight_is_never_drawn(make_route):
    route = make_route(targets=(routing.Target("a", 0.0), routing.Target("b", 1.0)))
    assert {route_table.choose_target(route, draw) for draw in (0.0, 0.5, 0.999)} == {"b"}
