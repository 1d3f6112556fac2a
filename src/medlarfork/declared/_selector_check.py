"""Validate selectors: each can match something, and no two are ambiguous for a request."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator, Mapping

from medlarfork import errors, labels
from medlarfork.declared import _finding, _label_domains
from medlarfork.declared import configuration as configurations


@dataclasses.dataclass(frozen=True, slots=True)
class _ParsedItem:
    """A declared object with its parsed selector; for a route also its service's kind."""

    item: _finding.Item
    selector: labels.Selector
    kind: configurations.ServiceKind | None = None


def syntax_findings(items: tuple[_finding.Item, ...]) -> Iterator[_finding.Finding]:
    """Yield a finding for each selector that does not parse."""
    for item in items:
        text = getattr(item.value, "selector", "")
        try:
            labels.Selector.parse(text)
        except errors.SelectorSyntaxError as error:
            problem = error.problem.rstrip(".")
            yield item.finding(
                _finding.FindingKind.SELECTOR_SYNTAX, "selector", problem, error.remedy
            )


def findings(
    configuration: configurations.Configuration, items: tuple[_finding.Item, ...]
) -> Iterator[_finding.Finding]:
    """Yield the findings about selectors; those that don't parse are skipped."""
    routed = _label_domains.request_space(configuration, routed=True)
    unrouted = _label_domains.request_space(configuration, routed=False)
    classes = _parsed(configuration, items, configurations.RequestClass)
    routes = _parsed(configuration, items, configurations.Route)
    services = _parsed(configuration, items, configurations.Service)
    yield from _request_selectors(classes, routed, "class")
    yield from _request_selectors(routes, unrouted, "route")
    yield from _upstream_selectors(services, configuration)


def _parsed(
    configuration: configurations.Configuration, items: tuple[_finding.Item, ...], kind: type
) -> tuple[_ParsedItem, ...]:
    found = []
    for item in items:
        if not isinstance(item.value, kind):
            continue
        try:
            selector = labels.Selector.parse(item.value.selector)
        except errors.SelectorSyntaxError:
            continue
        found.append(_ParsedItem(item, selector, _route_kind(configuration, item)))
    return tuple(found)


def _route_kind(
    configuration: configurations.Configuration, item: _finding.Item
) -> configurations.ServiceKind | None:
    if not isinstance(item.value, configurations.Route):
        return None
    service = configuration.service_by_name.get(item.value.service)
    return service.kind if service else None


def _request_selectors(
    parsed: tuple[_ParsedItem, ...], space: _label_domains.LabelSpace, noun: str
) -> Iterator[_finding.Finding]:
    domain_by_key = space.domain_by_key()
    usable = []
    for parsed_item in parsed:
        wrong = tuple(_unknown_labels(parsed_item, domain_by_key, "request")) or tuple(
            _unreachable(parsed_item, space, noun)
        )
        yield from wrong
        if not wrong:
            usable.append(parsed_item)
    for first, second in itertools.combinations(usable, 2):
        if _conflict(first, second, space):
            yield _same_precedence(first, second, noun)


def _upstream_selectors(
    parsed: tuple[_ParsedItem, ...], configuration: configurations.Configuration
) -> Iterator[_finding.Finding]:
    domain_by_key = _label_domains.upstream_domains(configuration)
    for parsed_item in parsed:
        unknown = tuple(_unknown_labels(parsed_item, domain_by_key, "upstream"))
        yield from unknown
        requirements = parsed_item.selector.requirements
        if not unknown and not _label_domains.satisfiable(requirements, domain_by_key):
            yield _contradiction(parsed_item, "upstream")


def _unknown_labels(
    parsed_item: _ParsedItem, domain_by_key: Mapping[str, _label_domains.Domain], carrier: str
) -> Iterator[_finding.Finding]:
    """Yield a finding for each label key and value of the selector that can never occur."""
    for requirement in parsed_item.selector.requirements:
        key = requirement.key
        domain = domain_by_key.get(key)
        if domain is None:
            known = ", ".join(sorted(domain_by_key))
            yield parsed_item.item.finding(
                _finding.FindingKind.UNKNOWN_LABEL,
                "selector",
                f"no {carrier} can carry the label {key}",
                f"Use one of {known}, or declare {key} as a [[label]].",
            )
            continue
        if domain.values is None:
            continue
        for value in sorted(getattr(requirement, "values", frozenset()) - domain.values):
            yield parsed_item.item.finding(
                _finding.FindingKind.UNKNOWN_VALUE,
                "selector",
                f"the label {key} never has the value {value}",
                f"Use one of {_abbreviated(domain.values)}, or declare {value} first.",
            )


def _unreachable(
    parsed_item: _ParsedItem, space: _label_domains.LabelSpace, noun: str
) -> Iterator[_finding.Finding]:
    requirements = parsed_item.selector.requirements
    if not _label_domains.satisfiable(requirements, space.domain_by_key()):
        yield _contradiction(parsed_item, "request")
    elif not space.has_account(requirements):
        yield parsed_item.item.finding(
            _finding.FindingKind.UNREACHABLE,
            "selector",
            f"no account's requests can reach this {noun}",
            "Give an account the labels that the selector asks for, or change the selector.",
        )
    elif not space.has_target(requirements, parsed_item.kind):
        yield parsed_item.item.finding(
            _finding.FindingKind.UNREACHABLE,
            "selector",
            f"no model, service or call leads to this {noun}",
            "Declare a model, service or call whose labels the selector asks for.",
        )


def _contradiction(parsed_item: _ParsedItem, carrier: str) -> _finding.Finding:
    return parsed_item.item.finding(
        _finding.FindingKind.MATCHES_NOTHING,
        "selector",
        f"its terms contradict each other, so it matches no {carrier}",
        "Remove one of the terms on the same label.",
    )


def _conflict(first: _ParsedItem, second: _ParsedItem, space: _label_domains.LabelSpace) -> bool:
    if first.item.value.precedence != second.item.value.precedence:
        return False
    if first.kind is not second.kind or not first.selector.overlaps(second.selector):
        return False
    both = first.selector.requirements + second.selector.requirements
    return space.has_account(both) and space.has_target(both, first.kind)


def _same_precedence(first: _ParsedItem, second: _ParsedItem, noun: str) -> _finding.Finding:
    return second.item.finding(
        _finding.FindingKind.SAME_PRECEDENCE,
        "selector",
        f"{noun} {first.item.name} can match the same requests at the same precedence, "
        f"{first.item.value.precedence}",
        "Give the two different precedence, or make their selectors exclude each other.",
    )


def _abbreviated(values: frozenset[str]) -> str:
    """Return the values as text, at most 12 of them."""
    shown = sorted(values)[:12]
    more = len(values) - len(shown)
    return ", ".join(shown) + (f" and {more} more" if more else "")
