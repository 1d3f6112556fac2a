"""Validate a complete declared configuration, from a file or from the API."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from medlarfork import labels
from medlarfork.declared import _finding, _object_check, _selector_check
from medlarfork.declared import configuration as configurations

Finding = _finding.Finding
FindingKind = _finding.FindingKind

CROSS_REFERENCE_KINDS = frozenset(
    {
        FindingKind.MATCHES_NOTHING,
        FindingKind.MISSING_SERVICE,
        FindingKind.SHARED_MODEL,
        FindingKind.UNKNOWN_LABEL,
        FindingKind.UNKNOWN_VALUE,
        FindingKind.UNREACHABLE,
    }
)
"""Kinds that depend on all declared objects; false positives if some could not be read."""


def check(configuration: configurations.Configuration) -> tuple[Finding, ...]:
    """Return all findings; an empty tuple if the configuration can be accepted."""
    items = _finding.items(configuration)
    found: list[Finding] = [*_object_check.check_deployment(configuration)]
    for item in items:
        found += _object_check.check_item(item)
    found += _duplicates(items)
    found += _shared_digests(items)
    found += _missing_services(configuration, items)
    found += _floor_shares(configuration)
    syntax = tuple(_selector_check.syntax_findings(items))
    found += syntax
    found += _selector_check.findings(configuration, items)
    if not any(finding.location[0] in ("route", "service") for finding in syntax):
        found += _models(configuration, items)
    return tuple(found)


def _duplicates(items: Iterable[_finding.Item]) -> Iterator[Finding]:
    seen: set[tuple[str, str]] = set()
    field_by_table = {"call": "path", "label": "key"}
    for item in items:
        if (item.table, item.name) in seen:
            yield item.finding(
                FindingKind.DUPLICATE,
                field_by_table.get(item.table, "name"),
                f"there is another {item.table} {item.name!r}",
                "Rename or remove one of the two.",
            )
        seen.add((item.table, item.name))


def _shared_digests(items: Iterable[_finding.Item]) -> Iterator[Finding]:
    owner_by_digest: dict[str, str] = {}
    for item in items:
        if not isinstance(item.value, configurations.Account):
            continue
        for digest in item.value.key_sha256:
            owner = owner_by_digest.setdefault(digest, item.name)
            if owner != item.name:
                yield item.finding(
                    FindingKind.DUPLICATE,
                    "key_sha256",
                    f"the key {digest[:12]}... also belongs to account {owner}",
                    "Give each account keys of its own.",
                )


def _missing_services(
    configuration: configurations.Configuration, items: Iterable[_finding.Item]
) -> Iterator[Finding]:
    known = ", ".join(sorted(configuration.service_by_name)) or "none is declared yet"
    for item in items:
        if not isinstance(item.value, configurations.Route | configurations.Call):
            continue
        service = configuration.service_by_name.get(item.value.service)
        if service is None:
            yield item.finding(
                FindingKind.MISSING_SERVICE,
                "service",
                f"there is no service {item.value.service!r}",
                f"Name a declared service ({known}) or declare this one.",
            )
        elif item.table == "call" and service.kind is not configurations.ServiceKind.PLAIN:
            yield item.finding(
                FindingKind.WRONG_KIND,
                "service",
                f"{service.name} is a model service, which has no calls",
                "Name a plain service, or remove the call.",
            )


def _floor_shares(configuration: configurations.Configuration) -> Iterator[Finding]:
    """Check the sum of floor shares; the floor of a tier is the largest among its classes."""
    share_by_tier: dict[int, float] = collections.defaultdict(float)
    for declared in configuration.classes:
        share_by_tier[declared.tier] = max(share_by_tier[declared.tier], declared.floor_share)
    total = sum(share_by_tier.values())
    if total >= 1:
        yield Finding(
            FindingKind.FLOOR_SHARES,
            "class.floor_share",
            f"the floor shares of the tiers add up to {total:g}, which leaves nothing to priority",
            "Lower them until the largest shares of all tiers add up to less than 1.",
            ("class",),
        )


def _models(
    configuration: configurations.Configuration, items: Iterable[_finding.Item]
) -> Iterator[Finding]:
    """Check that requests can reach every model service, also if several list the same model."""
    for item in items:
        service = item.value
        if not isinstance(service, configurations.Service):
            continue
        if service.kind is not configurations.ServiceKind.MODEL:
            continue
        if not service.models and not _routes_to(configuration, service, ()):
            yield item.finding(
                FindingKind.UNREACHABLE,
                "models",
                "the service lists no model and no route leads to it",
                "List its models, or declare a route to it.",
            )
        yield from _shared_models(configuration, item, service)


def _shared_models(
    configuration: configurations.Configuration,
    item: _finding.Item,
    service: configurations.Service,
) -> Iterator[Finding]:
    for model in service.models:
        first = configuration.service_by_model[model]
        wanted = labels.OneOf("model", frozenset({model}))
        if first.name != service.name and not _routes_to(configuration, service, (wanted,)):
            yield item.finding(
                FindingKind.SHARED_MODEL,
                "models",
                f"service {first.name} lists the model {model} too and gets all its requests",
                f"Declare a route that sends some of them to {service.name}, or list it once.",
            )


def _routes_to(
    configuration: configurations.Configuration,
    service: configurations.Service,
    requirements: tuple[labels.Requirement, ...],
) -> bool:
    wanted = labels.Selector("", requirements)
    return any(
        route.service == service.name and selector.overlaps(wanted)
        for route, selector in configuration.ranked_routes
    )
