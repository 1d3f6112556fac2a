"""Look up routes, services and client accounts in one version of the routing."""

from __future__ import annotations

from medlarfork.routes import routing


class RouteTable:
    """Immutable index over one version of the routing."""

    def __init__(self, source: routing.Routing) -> None:
        """Build the index from a routing that has passed ``routing_check``."""
        self.version = source.version
        self.service_by_name = {service.name: service for service in source.services}
        self.needs_keys = bool(source.accounts)
        self._account_by_key = {
            key: account for account in source.accounts for key in account.api_keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, routing.Route]] = {}
        for route in source.routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(route.host.lower(), {})
            route_by_prefix[route.path_prefix] = route

    def route(self, host: str, path: str) -> routing.Route | None:
        """Return the route of the host with the longest matching path prefix, if any."""
        route_by_prefix = self._route_by_prefix_by_host.get(host.partition(":")[0].lower())
        if route_by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = route_by_prefix.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def account(self, api_key: str) -> routing.Account | None:
        """Return the client account that an API key belongs to, if any."""
        return self._account_by_key.get(api_key)


def choose_target(route: routing.Route, draw: float) -> str:
    """Return the service of the target selected by weight.

    Args:
        route: The route to choose a target of.
        draw: Random number, uniformly distributed between 0 and 1.
    """
    remainder = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        remainder -= target.weight
        if remainder < 0:
            return target.service
    return max(route.targets, key=lambda target: target.weight).service
