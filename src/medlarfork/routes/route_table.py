"""Look up what a version of the routing says about a request."""

from __future__ import annotations

from medlarfork.routes import routing


class RouteTable:
    """Index one version of the routing; it never changes afterwards."""

    def __init__(self, whole: routing.Routing) -> None:
        """Build the index; the routing has been checked."""
        self.version = whole.version
        self.service_by_name = {service.name: service for service in whole.services}
        self.needs_keys = bool(whole.accounts)
        self._account_by_key = {
            key: account for account in whole.accounts for key in account.api_keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, routing.Route]] = {}
        for route in whole.routes:
            of_host = self._route_by_prefix_by_host.setdefault(route.host.lower(), {})
            of_host[route.path_prefix] = route

    def route(self, host: str, path: str) -> routing.Route | None:
        """Return the route of the host with the longest prefix that begins the path."""
        of_host = self._route_by_prefix_by_host.get(host.partition(":")[0].lower())
        if of_host is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = of_host.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def account(self, api_key: str) -> routing.Account | None:
        """Return the client account that holds a key."""
        return self._account_by_key.get(api_key)


def choose_target(route: routing.Route, draw: float) -> str:
    """Return the service that a number drawn evenly from 0 to 1 falls to."""
    rest = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        rest -= target.weight
        if rest < 0:
            return target.service
    return max(route.targets, key=lambda target: target.weight).service
