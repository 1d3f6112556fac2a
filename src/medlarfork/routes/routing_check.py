"""Validate a version of the routing before it is accepted."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from medlarfork import errors
from medlarfork.routes import routing


def check(candidate: routing.Routing) -> tuple[str, ...]:
    """Return one sentence for each fault; empty if the version can be put in force."""
    return (
        *_service_faults(candidate),
        *_route_faults(candidate),
        *_duplicate_routes(candidate),
        *_shared_keys(candidate),
    )


def require_valid(candidate: routing.Routing) -> None:
    """Reject a version that can't be put in force.

    Raises:
        errors.ConfigurationError: The version has faults; the message lists them.
    """
    faults = check(candidate)
    if faults:
        raise errors.ConfigurationError(
            " ".join(faults), remedy="Correct this and send the version again."
        )


def _service_faults(candidate: routing.Routing) -> Iterator[str]:
    count_by_name = collections.Counter(service.name for service in candidate.services)
    for name, count in count_by_name.items():
        if count > 1:
            yield f"Service {name!r} is declared {count} times."


def _route_faults(candidate: routing.Routing) -> Iterator[str]:
    known = {service.name for service in candidate.services}
    for route in candidate.routes:
        for target in route.targets:
            if target.service not in known:
                yield f"Route {route.name!r} names the unknown service {target.service!r}."
            if target.weight < 0:
                yield f"Route {route.name!r} has a negative weight."
        if sum(target.weight for target in route.targets) <= 0:
            yield f"The weights of route {route.name!r} add up to 0."
        if route.timeout_ms <= 0:
            yield f"The timeout of route {route.name!r} is not above 0."
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield f"The path prefix of route {route.name!r} must start and end with a slash."


def _duplicate_routes(candidate: routing.Routing) -> Iterator[str]:
    count_by_prefix = collections.Counter(
        (route.host.lower(), route.path_prefix) for route in candidate.routes
    )
    for (host, prefix), count in count_by_prefix.items():
        if count > 1:
            yield f"{count} routes share the host {host!r} and the path prefix {prefix!r}."


def _shared_keys(candidate: routing.Routing) -> Iterator[str]:
    owner_by_key: dict[str, str] = {}
    for account in candidate.accounts:
        for key in account.api_keys:
            owner = owner_by_key.setdefault(key, account.name)
            if owner != account.name:
                # The key itself is a secret and must not appear in the message.
                yield f"Accounts {owner!r} and {account.name!r} share a key."
