"""Assigns a caller's request to its service and its request class.

Selectors match labels from four sources: the account, the caller's ``Medlar-Labels`` header, the
matching call of a plain service, and the request itself (``DERIVED_KEYS``).

Pure: no I/O, no clock.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from medlarfork import errors, labels, request
from medlarfork.declared import configuration as configurations
from medlarfork.filters import plain_call

DERIVED_KEYS = ("account", "service", "model", "method", "stream")
"""Label keys derived from the request itself; they can be neither declared nor sent."""

_LABELS_LIMIT = 32
"""Maximum number of labels that a caller may send."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A parsed request before classification.

    Attributes:
        request_id: Unique over connections, hosts and restarts.
        method: HTTP method in upper case.
        path: Path below ``/services/NAME`` for a plain service; empty for a model.
        service: Service in the path; empty for a model request.
        model: Model in the body; empty for a plain service.
        stream: Whether the caller requested a stream.
        max_tokens: The caller's limit of output tokens; None if it gave none.
        prefix: Digest of the prompt's prefix; may be empty.
        caller_labels: Labels from the ``Medlar-Labels`` header.
        key: The caller's idempotency key; empty if it gave none.
        body_sha256: Hex digest of the body.
    """

    request_id: str
    method: str
    path: str = ""
    service: str = ""
    model: str = ""
    stream: bool = False
    max_tokens: int | None = None
    prefix: str = ""
    caller_labels: Mapping[str, str] = dataclasses.field(default_factory=dict)
    key: str = ""
    body_sha256: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SelectorMatch:
    """Whether one selector matched a request.

    Attributes:
        name: The class or route of the selector.
        precedence: Its precedence.
        matched: Whether the request meets every requirement.
        chosen: Whether it has the highest precedence of those that matched.
        unmet: For each unmet requirement, a text with the request's label value.
    """

    name: str
    precedence: int
    matched: bool
    chosen: bool
    unmet: tuple[str, ...] = ()


def parse_labels(header: str) -> dict[str, str]:
    """Parse a ``Medlar-Labels`` header of the form ``key=value, key=value``.

    Raises:
        errors.RequestLabelsError: The header is malformed, or has a key twice.
    """
    parsed: dict[str, str] = {}
    for term in header.split(","):
        if not term.strip():
            continue
        key, separator, value = (part.strip() for part in term.partition("="))
        if not separator or key in parsed or len(parsed) == _LABELS_LIMIT:
            raise errors.RequestLabelsError(
                f"The Medlar-Labels header can't be used at {term.strip()[:80]!r}.",
                remedy=f"Send at most {_LABELS_LIMIT} labels as key=value, each key once.",
            )
        _check_syntax(key, value)
        parsed[key] = value
    return parsed


def assign(
    configuration: configurations.Configuration,
    account: configurations.Account,
    parsed: ParsedRequest,
    *,
    now: float,
) -> request.Request:
    """Return the request with its service, class, labels and deadline.

    Raises:
        errors.ModelNotFoundError: No service lists the model.
        errors.ServiceNotFoundError: The service in the path is not declared.
        errors.RequestLabelsError: The caller sent labels that it may not send.
    """
    call = _find_call(configuration, parsed)
    request_labels = _labels(configuration, account, parsed, call)
    service = route(configuration, request_labels)
    request_labels["service"] = service.name
    request_class = choose_class(configuration, request_labels)
    repeatable = request_class.repeatable and _call_is_repeatable(parsed, call)
    # The request id is unique, so it is the idempotency key where the caller gave none.
    key = "" if repeatable else parsed.key or parsed.request_id
    return request.Request(
        request_id=parsed.request_id,
        account=account.name,
        class_name=request_class.name,
        tier=request_class.tier,
        service=service.name,
        labels=request_labels,
        arrived_at=now,
        deadline_at=now + request_class.deadline_s,
        repeatable=repeatable,
        preemptible=request_class.preemptible and repeatable,
        key=key,
        key_given=bool(key and parsed.key),
        model=parsed.model,
        stream=parsed.stream,
        prefix=parsed.prefix,
        max_tokens=parsed.max_tokens,
        body_sha256=parsed.body_sha256,
    )


def route(
    configuration: configurations.Configuration, request_labels: Mapping[str, str]
) -> configurations.Service:
    """Return the service of the best matching route, or else the requested one.

    ``request_labels`` holds the requested service as ``service``. A route to a service of the other
    kind never applies, because the two kinds have different protocols.
    """
    requested = configuration.service_by_name[request_labels["service"]]
    for candidate, selector in configuration.ranked_routes:
        service = configuration.service_by_name.get(candidate.service)
        if service is None or service.kind is not requested.kind:
            continue
        if selector.matches(request_labels):
            return service
    return requested


def choose_class(
    configuration: configurations.Configuration, request_labels: Mapping[str, str]
) -> configurations.RequestClass:
    """Return the matching class of the highest precedence, or the default class."""
    for request_class, selector in configuration.ranked_classes:
        if selector.matches(request_labels):
            return request_class
    return configuration.class_by_name[configurations.DEFAULT_CLASS.name]


def explain_class(
    configuration: configurations.Configuration, request_labels: Mapping[str, str]
) -> tuple[SelectorMatch, ...]:
    """Return for each class, highest precedence first, whether it matches, and why not."""
    return _explain(
        tuple((item.name, item.precedence, found) for item, found in configuration.ranked_classes),
        request_labels,
    )


def explain_route(
    configuration: configurations.Configuration, request_labels: Mapping[str, str]
) -> tuple[SelectorMatch, ...]:
    """Return for each route, highest precedence first, whether it matches, and why not.

    ``request_labels`` are the same as for ``route``.
    """
    requested = configuration.service_by_name[request_labels["service"]]
    ranked = tuple(
        (item.name, item.precedence, found)
        for item, found in configuration.ranked_routes
        if configuration.service_by_name[item.service].kind is requested.kind
    )
    return _explain(ranked, request_labels)


def route_labels(
    configuration: configurations.Configuration,
    account: configurations.Account,
    parsed: ParsedRequest,
) -> dict[str, str]:
    """Return the labels that routes match; ``service`` is the requested service.

    Raises:
        errors.MedlarError: The same errors as ``assign``.
    """
    return _labels(configuration, account, parsed, _find_call(configuration, parsed))


def _find_call(
    configuration: configurations.Configuration, parsed: ParsedRequest
) -> configurations.Call | None:
    calls = configuration.calls_by_service.get(parsed.service, ())
    return plain_call.find(calls, parsed.method, parsed.path)


def _call_is_repeatable(parsed: ParsedRequest, call: configurations.Call | None) -> bool:
    if not parsed.service:
        return True
    return plain_call.is_repeatable(call, parsed.method)


def _labels(
    configuration: configurations.Configuration,
    account: configurations.Account,
    parsed: ParsedRequest,
    call: configurations.Call | None,
) -> dict[str, str]:
    merged = dict(account.labels)
    if call is not None:
        merged.update(call.labels)
    for key, value in parsed.caller_labels.items():
        _check_allowed(configuration, merged, key, value)
        merged[key] = value
    merged["account"] = account.name
    merged["service"] = _requested_service(configuration, parsed).name
    merged["method"] = parsed.method
    merged["stream"] = "true" if parsed.stream else "false"
    if parsed.model:
        merged["model"] = parsed.model
    return merged


def _requested_service(
    configuration: configurations.Configuration, parsed: ParsedRequest
) -> configurations.Service:
    if not parsed.service:
        return _service_of_model(configuration, parsed.model)
    service = configuration.service_by_name.get(parsed.service)
    if service is None or service.kind is not configurations.ServiceKind.PLAIN:
        raise errors.ServiceNotFoundError(
            f"There is no plain service {parsed.service[:80]!r}.",
            remedy="Call /services/NAME/... with the name of a declared plain service.",
        )
    return service


def _service_of_model(
    configuration: configurations.Configuration, model: str
) -> configurations.Service:
    service = configuration.service_by_model.get(model)
    if service is None:
        raise errors.ModelNotFoundError(
            f"There is no model {model[:80]!r}.",
            remedy="Ask for one of the models that GET /v1/models lists.",
        )
    return service


def _check_allowed(
    configuration: configurations.Configuration,
    fixed: Mapping[str, str],
    key: str,
    value: str,
) -> None:
    """Refuse a caller's label that is undeclared or would override a label set elsewhere."""
    if key in DERIVED_KEYS or fixed.get(key, value) != value:
        raise errors.RequestLabelsError(
            f"The label {key} is set by the operators or by the request itself.",
            remedy=f"Leave {key} out of the Medlar-Labels header.",
        )
    values = configuration.values_by_label_key.get(key)
    if values is None and key not in fixed:
        raise errors.RequestLabelsError(
            f"The label key {key!r} is not declared.",
            remedy="Leave it out, or ask the operators to declare it as a [[label]].",
        )
    if values and value not in values:
        raise errors.RequestLabelsError(
            f"The label {key} can't have the value {value!r}.",
            remedy=f"Use one of {', '.join(values)}.",
        )


def _check_syntax(key: str, value: str) -> None:
    try:
        labels.check_label(key, value)
    except errors.SelectorSyntaxError as error:
        raise errors.RequestLabelsError(error.problem, remedy=error.remedy) from error


def _explain(
    ranked: tuple[tuple[str, int, labels.Selector], ...], request_labels: Mapping[str, str]
) -> tuple[SelectorMatch, ...]:
    explained = []
    won = False
    for name, precedence, selector in ranked:
        unmet = _unmet(selector, request_labels)
        matched = not unmet
        explained.append(SelectorMatch(name, precedence, matched, matched and not won, unmet))
        won = won or matched
    return tuple(explained)


def _unmet(selector: labels.Selector, request_labels: Mapping[str, str]) -> tuple[str, ...]:
    return tuple(
        _unmet_text(requirement, request_labels)
        for requirement in selector.requirements
        if not labels.Selector("", (requirement,)).matches(request_labels)
    )


def _unmet_text(requirement: labels.Requirement, request_labels: Mapping[str, str]) -> str:
    carried = request_labels.get(requirement.key)
    found = f"the request has {requirement.key}={carried}"
    if carried is None:
        found = f"the request has no label {requirement.key}"
    match requirement:
        case labels.OneOf(key, values):
            return f"{key} must be one of {', '.join(sorted(values))}; {found}"
        case labels.NoneOf(key, values):
            return f"{key} must be none of {', '.join(sorted(values))}; {found}"
        case labels.Present(key):
            return f"{key} must be present; {found}"
        case labels.Absent(key):
            return f"{key} must be absent; {found}"
