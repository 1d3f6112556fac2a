"""Validate each declared object on its own: names, digests, numbers and labels."""

from __future__ import annotations

import dataclasses
import math
import re
from collections.abc import Iterator

from medlarfork import errors, labels
from medlarfork.declared import _finding
from medlarfork.declared import configuration as configurations
from medlarfork.filters import classify

_DIGEST = re.compile(r"[0-9a-f]{64}")
_METHOD = re.compile(r"\*|[A-Z]+")


@dataclasses.dataclass(frozen=True, slots=True)
class _Range:
    """Allowed range of a number: ``above`` is exclusive, ``minimum`` and ``maximum`` inclusive."""

    minimum: float = -math.inf
    maximum: float = math.inf
    above: float = -math.inf

    def holds(self, value: float) -> bool:
        """Return whether the value is a finite number within the range."""
        inside = self.minimum <= value <= self.maximum and value > self.above
        return inside and math.isfinite(value)

    def text(self) -> str:
        """Return the range in words."""
        if math.isfinite(self.above):
            return f"above {self.above:g}"
        if math.isfinite(self.maximum):
            return f"from {self.minimum:g} to {self.maximum:g}"
        return f"of at least {self.minimum:g}"


_POSITIVE = _Range(above=0)
_COUNT = _Range(minimum=1)

_RANGE_BY_FIELD: dict[str, dict[str, _Range]] = {
    "account": {
        "weight": _POSITIVE,
        "limits.concurrent": _COUNT,
        "limits.requests_per_second": _POSITIVE,
        "limits.tokens_per_minute": _COUNT,
    },
    "class": {
        "tier": _Range(minimum=1, maximum=configurations.LOWEST_TIER),
        "first_token_target_s": _POSITIVE,
        "whole_target_s": _POSITIVE,
        "deadline_s": _POSITIVE,
        "floor_share": _Range(minimum=0, maximum=1),
    },
    "service": {"slots": _COUNT, "shards": _Range(minimum=1, maximum=1024)},
}

_LEASE_RANGE = _Range(minimum=0.5, maximum=60)


def check_item(item: _finding.Item) -> Iterator[_finding.Finding]:
    """Yield the findings about one object that don't depend on other objects."""
    yield from _check_name(item)
    yield from _check_ranges(item)
    match item.value:
        case configurations.Account():
            yield from _check_account(item, item.value)
        case configurations.RequestClass():
            yield from _check_class(item, item.value)
        case configurations.Service():
            yield from _check_service(item, item.value)
        case configurations.Call():
            yield from _check_call(item, item.value)
        case configurations.LabelKey():
            yield from _check_label_key(item, item.value)


def check_deployment(
    configuration: configurations.Configuration,
) -> Iterator[_finding.Finding]:
    """Yield the findings about the settings of the deployment."""
    lease_s = configuration.engine_lease_s
    if not _LEASE_RANGE.holds(lease_s):
        yield _finding.Finding(
            _finding.FindingKind.OUT_OF_RANGE,
            "deployment.engine_lease_s",
            f"{lease_s:g} is out of range",
            f"Write a number {_LEASE_RANGE.text()}.",
            ("deployment", "engine_lease_s"),
        )


def _check_name(item: _finding.Item) -> Iterator[_finding.Finding]:
    if isinstance(item.value, configurations.Call | configurations.LabelKey):
        return
    # Names are used as label values and, for services, as path segments.
    name = item.name
    if _syntax_problem("account", name) or "/" in name or "*" in name:
        yield item.finding(
            _finding.FindingKind.BAD_NAME,
            "name",
            f"{name!r} can't be a name",
            "Use letters, digits, dots, hyphens and underscores only.",
        )


def _check_ranges(item: _finding.Item) -> Iterator[_finding.Finding]:
    for field, allowed in _RANGE_BY_FIELD.get(item.table, {}).items():
        value = item.value
        for part in field.split("."):
            value = getattr(value, part)
        if value is not None and not allowed.holds(value):
            yield item.finding(
                _finding.FindingKind.OUT_OF_RANGE,
                field,
                f"{value:g} is out of range",
                f"Write a number {allowed.text()}.",
            )


def _check_account(
    item: _finding.Item, account: configurations.Account
) -> Iterator[_finding.Finding]:
    yield from _check_labels(item, account.labels)
    for digest in account.key_sha256:
        if not _DIGEST.fullmatch(digest):
            yield item.finding(
                _finding.FindingKind.BAD_DIGEST,
                "key_sha256",
                f"{digest[:12]!r} is not the SHA-256 digest of a key",
                "Write the 64 lower-case digits that medlarctl hash-key prints.",
            )


def _check_class(
    item: _finding.Item, declared: configurations.RequestClass
) -> Iterator[_finding.Finding]:
    first_token_s = declared.first_token_target_s
    whole_s = declared.whole_target_s
    for field, target in (("first_token_target_s", first_token_s), ("whole_target_s", whole_s)):
        if target is not None and target > declared.deadline_s:
            yield item.finding(
                _finding.FindingKind.TARGET,
                field,
                f"{target:g} is longer than deadline_s, {declared.deadline_s:g}",
                "Lower the target or raise deadline_s.",
            )
    if first_token_s is not None and whole_s is not None and first_token_s > whole_s:
        yield item.finding(
            _finding.FindingKind.TARGET,
            "first_token_target_s",
            f"{first_token_s:g} is longer than whole_target_s, {whole_s:g}",
            "Lower it or raise whole_target_s.",
        )
    if declared.preemptible and not declared.repeatable:
        yield item.finding(
            _finding.FindingKind.PREEMPTIBLE,
            "preemptible",
            "a class that is not repeatable can't be preempted and resumed",
            "Set preemptible = false, or repeatable = true if its requests may run twice.",
        )


def _check_service(
    item: _finding.Item, service: configurations.Service
) -> Iterator[_finding.Finding]:
    if service.kind is configurations.ServiceKind.PLAIN and service.models:
        yield item.finding(
            _finding.FindingKind.PLAIN_WITH_MODELS,
            "models",
            "a plain service has no models",
            'Remove models, or set kind = "model".',
        )
    for model in service.models:
        if _syntax_problem("model", model):
            yield item.finding(
                _finding.FindingKind.BAD_NAME,
                "models",
                f"{model!r} can't be a model name",
                "Use letters, digits and the signs _ . - / : only.",
            )


def _check_call(item: _finding.Item, call: configurations.Call) -> Iterator[_finding.Finding]:
    yield from _check_labels(item, call.labels)
    if not _METHOD.fullmatch(call.method):
        yield item.finding(
            _finding.FindingKind.BAD_NAME,
            "method",
            f"{call.method!r} is not an HTTP method",
            "Write the method in upper case, or * for any.",
        )
    if not call.path.startswith(("/", "*")):
        yield item.finding(
            _finding.FindingKind.BAD_NAME,
            "path",
            f"{call.path!r} does not begin with /",
            "Write the path below /services/NAME, beginning with /.",
        )


def _check_label_key(
    item: _finding.Item, label_key: configurations.LabelKey
) -> Iterator[_finding.Finding]:
    if label_key.key in classify.DERIVED_KEYS:
        yield _reserved(item, "key", label_key.key)
    for value in label_key.values or ("any",):
        problem = _syntax_problem(label_key.key, value)
        if problem:
            yield item.finding(_finding.FindingKind.BAD_NAME, "key", *problem)


def _check_labels(item: _finding.Item, declared: dict[str, str]) -> Iterator[_finding.Finding]:
    for key, value in declared.items():
        if key in classify.DERIVED_KEYS:
            yield _reserved(item, "labels", key)
        problem = _syntax_problem(key, value)
        if problem:
            yield item.finding(_finding.FindingKind.BAD_NAME, "labels", *problem)


def _reserved(item: _finding.Item, field: str, key: str) -> _finding.Finding:
    return item.finding(
        _finding.FindingKind.RESERVED_LABEL,
        field,
        f"the label key {key} is taken from the request itself",
        f"Use a key other than {', '.join(classify.DERIVED_KEYS)}.",
    )


def _syntax_problem(key: str, value: str) -> tuple[str, str] | None:
    """Return the problem with a label and its remedy; None if the label is valid."""
    try:
        labels.check_label(key, value)
    except errors.SelectorSyntaxError as error:
        return error.problem.rstrip("."), error.remedy
    return None
