"""Work out which labels can occur together, to find selectors that never match.

A request carries labels that its account fixes and labels that its target fixes: a model, or a
plain service and the call it matched. The two sets of keys don't share a key, so a selector can
match some request exactly if it can match some account and, on its own, some target.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from medlarfork import labels
from medlarfork.declared import configuration as configurations
from medlarfork.filters import classify

HTTP_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT", "TRACE"})
"""Values of the label ``method``."""

_OTHER = "*other*"
"""Stand-in for any value that a selector does not name, where any value may occur."""


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Hold the values that one label can have.

    Attributes:
        values: The values; None if any may occur.
        optional: Whether the label may also be absent.
    """

    values: frozenset[str] | None
    optional: bool = False

    def merged(self, other: Domain) -> Domain:
        """Return the domain of a label that may come from either."""
        optional = self.optional or other.optional
        if self.values is None or other.values is None:
            return Domain(None, optional)
        return Domain(self.values | other.values, optional)


DomainByKey = Mapping[str, Domain]
"""What one account or target fixes; a key that is not there is always absent."""

_ALWAYS_ABSENT = Domain(frozenset(), optional=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Hold what a request's target fixes, for requests of one kind of service."""

    kind: configurations.ServiceKind
    domains: DomainByKey


@dataclasses.dataclass(frozen=True, slots=True)
class LabelSpace:
    """Hold the labels that requests of a configuration can carry.

    Attributes:
        account_keys: The keys that accounts decide; targets decide all others.
        accounts: What each account fixes.
        targets: What each target fixes.
    """

    account_keys: frozenset[str]
    accounts: tuple[DomainByKey, ...]
    targets: tuple[Target, ...]

    def domain_by_key(self) -> dict[str, Domain]:
        """Return for each key that can occur all values it can have; each may be absent."""
        merged: dict[str, Domain] = {}
        for domains in (*self.accounts, *(target.domains for target in self.targets)):
            for key, domain in domains.items():
                merged[key] = merged.get(key, _ALWAYS_ABSENT).merged(domain)
        return merged

    def has_account(self, requirements: Iterable[labels.Requirement]) -> bool:
        """Return whether some account's requests can meet the requirements."""
        relevant = [item for item in requirements if item.key in self.account_keys]
        return any(satisfiable(relevant, domains) for domains in self.accounts)

    def has_target(
        self,
        requirements: Iterable[labels.Requirement],
        kind: configurations.ServiceKind | None = None,
    ) -> bool:
        """Return whether requests to some target, of a kind if given, can meet them."""
        relevant = [item for item in requirements if item.key not in self.account_keys]
        return any(
            satisfiable(relevant, target.domains)
            for target in self.targets
            if kind is None or target.kind is kind
        )


def satisfiable(requirements: Iterable[labels.Requirement], domains: DomainByKey) -> bool:
    """Return whether some label set within the domains meets all requirements."""
    by_key: dict[str, list[labels.Requirement]] = {}
    for requirement in requirements:
        by_key.setdefault(requirement.key, []).append(requirement)
    return all(
        _key_satisfiable(key, relevant, domains.get(key, _ALWAYS_ABSENT))
        for key, relevant in by_key.items()
    )


def upstream_domains(configuration: configurations.Configuration) -> dict[str, Domain]:
    """Return the labels that upstreams can announce, with their values.

    Upstreams are expected to announce ``service``, which nobody can declare since requests have
    a derived label of that name.
    """
    return {**_declared_domains(configuration), "service": Domain(None, optional=True)}


def request_space(configuration: configurations.Configuration, *, routed: bool) -> LabelSpace:
    """Return the labels that requests can carry.

    Args:
        configuration: What declares them.
        routed: Whether ``service`` is the service after routing, as classes see it, or the one
            that the caller asked for, as routes see it.
    """
    named = set().union(*(account.labels for account in configuration.accounts))
    # A derived key overrides an account's label; it is a mistake that is reported elsewhere.
    account_keys = {"account", *named.difference(classify.DERIVED_KEYS)}
    targets = tuple(_targets(configuration, frozenset(account_keys), routed))
    accounts = tuple(
        _account_domains(configuration, account, account_keys) for account in configuration.accounts
    )
    return LabelSpace(frozenset(account_keys), accounts, targets)


def _key_satisfiable(key: str, requirements: list[labels.Requirement], domain: Domain) -> bool:
    selector = labels.Selector("", tuple(requirements))
    if domain.optional and selector.matches({}):
        return True
    candidates = domain.values
    if candidates is None:
        candidates = frozenset({_OTHER}).union(
            *(getattr(requirement, "values", ()) for requirement in requirements)
        )
    return any(selector.matches({key: value}) for value in candidates)


def _declared_domains(configuration: configurations.Configuration) -> dict[str, Domain]:
    return {
        item.key: Domain(frozenset(item.values) or None, optional=True)
        for item in configuration.label_keys
    }


def _account_domains(
    configuration: configurations.Configuration,
    account: configurations.Account,
    account_keys: set[str],
) -> dict[str, Domain]:
    declared = _declared_domains(configuration)
    domains = {key: declared[key] for key in account_keys if key in declared}
    for key in account_keys.intersection(account.labels):
        domains[key] = Domain(frozenset({account.labels[key]}))
    for call in configuration.calls:
        for key in account_keys.intersection(call.labels):
            optional = key not in account.labels
            from_call = Domain(frozenset({call.labels[key]}), optional)
            domains[key] = domains.get(key, _ALWAYS_ABSENT).merged(from_call)
    domains["account"] = Domain(frozenset({account.name}))
    return domains


def _targets(
    configuration: configurations.Configuration, account_keys: frozenset[str], routed: bool
) -> Iterator[Target]:
    caller_domains = {
        key: domain
        for key, domain in _declared_domains(configuration).items()
        if key not in account_keys
    }
    for service in configuration.services:
        destinations = _route_destinations(configuration, service.kind) if routed else frozenset()
        common = {
            **caller_domains,
            "service": Domain(destinations | {service.name}),
            "stream": Domain(frozenset({"true", "false"})),
            "method": Domain(HTTP_METHODS),
        }
        if service.kind is configurations.ServiceKind.MODEL:
            yield from _model_targets(configuration, service, common)
            continue
        yield Target(service.kind, common)
        for call in configuration.calls_by_service.get(service.name, ()):
            yield Target(service.kind, {**common, **_call_domains(call, account_keys)})


def _model_targets(
    configuration: configurations.Configuration,
    service: configurations.Service,
    common: dict[str, Domain],
) -> Iterator[Target]:
    for model in service.models:
        if configuration.service_by_model[model] is service:
            named = {"model": Domain(frozenset({model})), "method": Domain(frozenset({"POST"}))}
            yield Target(service.kind, {**common, **named})


def _call_domains(call: configurations.Call, account_keys: frozenset[str]) -> dict[str, Domain]:
    domains = {
        key: Domain(frozenset({value}))
        for key, value in call.labels.items()
        if key not in account_keys
    }
    if call.method != "*":
        domains["method"] = Domain(frozenset({call.method}))
    return domains


def _route_destinations(
    configuration: configurations.Configuration, kind: configurations.ServiceKind
) -> frozenset[str]:
    service_by_name = configuration.service_by_name
    return frozenset(
        route.service
        for route in configuration.routes
        if route.service in service_by_name and service_by_name[route.service].kind is kind
    )
