import pytest

from medlarfork import errors
from medlarfork.routes import routing, routing_check


def _routing(*routes, services=("engines",), accounts=()):
    return routing.Routing(1, routes, tuple(routing.Service(name) for name in services), accounts)


def test_a_valid_routing_has_no_fault(make_route):
    routing_check.require_valid(_routing(make_route()))


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"targets": (routing.Target("nobody"),)}, "unknown service"),
        ({"targets": (routing.Target("engines", 0.0),)}, "add up to 0"),
        ({"targets": ()}, "add up to 0"),
        ({"targets": (routing.Target("engines", -1.0),)}, "negative"),
        ({"timeout_ms": 0.0}, "timeout"),
        ({"path_prefix": "/p"}, "slash"),
    ],
)
def test_a_faulty_route_is_rejected(make_route, changes, word):
    with pytest.raises(errors.ConfigurationError, match=word):
        routing_check.require_valid(_routing(make_route(**changes)))


def test_two_routes_can_not_share_host_and_prefix(make_route):
    candidate = _routing(make_route(name="a"), make_route(name="b", host="A.example"))
    with pytest.raises(errors.ConfigurationError, match="share the host"):
        routing_check.require_valid(candidate)


def test_two_accounts_can_not_share_a_key_and_the_key_is_not_shown(make_route):
    accounts = (routing.Account("x", ("secret-key",)), routing.Account("y", ("secret-key",)))
    with pytest.raises(errors.ConfigurationError, match="share a key") as caught:
        routing_check.require_valid(_routing(make_route(), accounts=accounts))
    assert "secret-key" not in str(caught.value)


def test_a_service_declared_twice_is_rejected(make_route):
    with pytest.raises(errors.ConfigurationError, match="2 times"):
        routing_check.require_valid(_routing(make_route(), services=("engines", "engines")))
