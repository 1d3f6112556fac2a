"""Determine which labels can occur together, to detect selectors that never match.

Some labels of a request are set by its account, the others by its target: a model, or a plain
service and the matched call. No key belongs to both sets. A selector can therefore match some
request if and only if it can match some account and, independently, some target.
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
"""Placeholder for any value that a selector does not mention, for labels with arbitrary values."""


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """Set of values that one label can have.

    Attributes:
        values: The possible values; None if any value is possible.
        optional: Whether the label may also be absent.
    """

    values: frozenset[str] | None
    optional: bool = False

    def merged(self, other: Domain) -> Domain:
        """Return the union of both domains."""
        optional = self.optional or other.optional
        if self.values is None or other.values is None:
            return Domain(None, optional)
        return Domain(self.values | other.values, optional)


DomainByKey = Mapping[str, Domain]
"""Domains of the labels that one account or target sets; keys not in it are always absent."""

_ALWAYS_ABSENT = Domain(frozenset(), optional=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Kind of service of one possible request target, and the label domains that it sets."""

    kind: configurations.ServiceKind
    domains: DomainByKey


@dataclasses.dataclass(frozen=True, slots=True)
class LabelSpace:
    """All labels that requests can carry under a configuration.

    Attributes:
        account_keys: Keys that accounts set; targets set all others.
        accounts: Label domains of each account.
        targets: Label domains of each target.
    """

    account_keys: frozenset[str]
    accounts: tuple[DomainByKey, ...]
    targets: tuple[Target, ...]

    def domain_by_key(self) -> dict[str, Domain]:
        """Return the domain of each possible key over all requests; every key may be absent."""
        merged: dict[str, Domain] = {}
        for domains in (*self.accounts, *(target.domains for target in self.targets)):
            for key, domain in domains.items():
                merged[key] = merged.get(key, _ALWAYS_ABSENT).merged(domain)
        return merged

    def has_account(self, requirements: Iterable[labels.Requirement]) -> bool:
        """Return whether requests of some account can meet the requirements on account labels."""
        relevant = [item for item in requirements if item.key in self.account_keys]
        return any(satisfiable(relevant, domains) for domains in self.accounts)

    def has_target(
        self,
        requirements: Iterable[labels.Requirement],
        kind: configurations.ServiceKind | None = None,
    ) -> bool:
        """Return whether requests to some target can meet the requirements on target labels.

        Args:
            requirements: The requirements; those on account labels are ignored.
            kind: Kind of service that the target must have; None for any.
        """
        relevant = [item for item in requirements if item.key not in self.account_keys]
        return any(
            satisfiable(relevant, target.domains)
            for target in self.targets
            if kind is None or target.kind is kind
        )


def satisfiable(requirements: Iterable[labels.Requirement], domains: DomainByKey) -> bool:
    """Return whether some set of labels within the domains meets all requirements."""
    by_key: dict[str, list[labels.Requirement]] = {}
    for requirement in requirements:
        by_key.setdefault(requirement.key, []).append(requirement)
    return all(
        _key_satisfiable(key, relevant, domains.get(key, _ALWAYS_ABSENT))
        for key, relevant in by_key.items()
    )


def upstream_domains(configuration: configurations.Configuration) -> dict[str, Domain]:
    """Return the domains of the labels that upstreams can announce.

    Upstreams are expected to announce ``service``. It can't be declared, because requests have a
    derived label of the same name.
    """
    return {**_declared_domains(configuration), "service": Domain(None, optional=True)}


def request_space(configuration: configurations.Configuration, *, routed: bool) -> LabelSpace:
    """Return the labels that requests can carry.

    Args:
        configuration: The configuration that declares them.
        routed: Whether the label ``service`` holds the service after routing, which class selectors
            match, or the service that the caller requested, which route selectors match.
    """
    named = set().union(*(account.labels for account in configuration.accounts))
    # Derived labels override account labels of the same key, which ``_object_check`` reports.
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
