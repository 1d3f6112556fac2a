"""Read and write the declared configuration as TOML."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import re
from collections.abc import Iterable, Iterator
from typing import Any

from medlarfork import errors
from medlarfork.declared import configuration as configurations
from medlarfork.declared import configuration_check
from medlarfork.settings import settings

_INDEPENDENT_FIELDS = frozenset(
    {
        "allow_undated_keys",
        "deadline_s",
        "engine_lease_s",
        "first_token_target_s",
        "floor_share",
        "limits",
        "preemptible",
        "repeatable",
        "shards",
        "slots",
        "tier",
        "weight",
        "whole_target_s",
    }
)
"""Fields that no other object refers to: a mistake in one affects no finding elsewhere."""

_CROSS_OBJECT_KINDS = frozenset(
    {
        configuration_check.FindingKind.FLOOR_SHARES,
        configuration_check.FindingKind.SAME_PRECEDENCE,
    }
)
"""Kinds of findings that compare the objects of one table with each other."""

_CROSS_FIELD_KINDS = frozenset(
    {
        configuration_check.FindingKind.PREEMPTIBLE,
        configuration_check.FindingKind.TARGET,
    }
)
"""Kinds of findings that compare the fields of one object with each other."""

_CROSS_CHECKED_FIELDS = frozenset(
    {"deadline_s", "first_token_target_s", "preemptible", "repeatable", "whole_target_s"}
)
"""Fields that ``_CROSS_FIELD_KINDS`` compare."""

_BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")


@dataclasses.dataclass(frozen=True, slots=True)
class _Deployment:
    """Schema of the table ``[deployment]``."""

    revision: int | None = None
    name: str = ""
    engine_lease_s: float = configurations.DEFAULT_LEASE_S
    allow_undated_keys: bool = True
    drained_upstreams: tuple[str, ...] = ()
    drained_entries: tuple[str, ...] = ()


def _table(key: str) -> Any:
    """Return a field for an array of tables, whose key in the file is singular."""
    return dataclasses.field(default=(), metadata={"key": key})


@dataclasses.dataclass(frozen=True, slots=True)
class _File:
    """Schema of the complete file."""

    deployment: _Deployment = _Deployment()
    label_keys: tuple[configurations.LabelKey, ...] = _table("label")
    accounts: tuple[configurations.Account, ...] = _table("account")
    classes: tuple[configurations.RequestClass, ...] = _table("class")
    services: tuple[configurations.Service, ...] = _table("service")
    routes: tuple[configurations.Route, ...] = _table("route")
    calls: tuple[configurations.Call, ...] = _table("call")


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationFile:
    """Content of a configuration file.

    Attributes:
        revision: The revision that the file is based on; None if the file doesn't state it.
    """

    configuration: configurations.Configuration
    revision: int | None = None


def read(path: pathlib.Path) -> configurations.Configuration:
    """Return the configuration of a file, like ``load`` but without its revision."""
    return load(path).configuration


def load(path: pathlib.Path) -> ConfigurationFile:
    """Read and validate a configuration file.

    Raises:
        errors.ConfigurationError: The file can't be read or has mistakes; the message lists all
            of them, each with its line, key and remedy.
    """
    try:
        document = settings.read_document(path)
    except errors.SettingsError as error:
        raise errors.ConfigurationError(error.problem, remedy=error.remedy) from error
    conversion = settings.convert(document, _File)
    file = conversion.value or _File()
    configuration = _configuration(file)
    mistakes = [document.mistake(fault) for fault in conversion.faults]
    for finding in configuration_check.check(configuration):
        if _is_independent(finding, conversion):
            mistakes.append(_mistake(document, finding, conversion))
    if mistakes:
        raise settings.mistakes_error(path, mistakes, errors.ConfigurationError)
    return ConfigurationFile(configuration, file.deployment.revision)


def render(configuration: configurations.Configuration, revision: int | None = None) -> str:
    """Return the configuration as TOML; ``load`` of that text returns an equal configuration."""
    blocks = [_block("[deployment]", _deployment(configuration, revision))]
    for field in dataclasses.fields(_File):
        if "key" in field.metadata:
            header = f"[[{field.metadata['key']}]]"
            blocks += [_block(header, item) for item in getattr(configuration, field.name)]
    return "\n".join(blocks)


def _configuration(file: _File) -> configurations.Configuration:
    deployment = {name: getattr(file.deployment, name) for name in _deployment_keys()}
    return configurations.Configuration(
        **deployment,
        accounts=file.accounts,
        classes=file.classes,
        services=file.services,
        routes=file.routes,
        calls=file.calls,
        label_keys=file.label_keys,
    )


def _deployment(configuration: configurations.Configuration, revision: int | None) -> _Deployment:
    declared = {name: getattr(configuration, name) for name in _deployment_keys()}
    return _Deployment(revision, **declared)


def _deployment_keys() -> list[str]:
    """Return the keys of ``[deployment]`` that are part of the configuration itself."""
    return [item.name for item in dataclasses.fields(_Deployment) if item.name != "revision"]


def _is_independent(
    finding: configuration_check.Finding, conversion: settings.Conversion[_File]
) -> bool:
    """Return whether a finding can't merely result from a conversion fault listed already."""
    faulty = {fault.path[:2] for fault in conversion.faults}
    complete = not conversion.dropped and all(
        fault.path[2:3] and fault.path[2] in _INDEPENDENT_FIELDS for fault in conversion.faults
    )
    if finding.kind in configuration_check.CROSS_REFERENCE_KINDS:
        return complete
    if finding.kind in _CROSS_OBJECT_KINDS:
        return not any(path[0] == finding.location[0] for path in faulty)
    location = _location_in_file(conversion, finding)
    if location in {fault.path[: len(location)] for fault in conversion.faults}:
        return False
    faulty_fields = {
        fault.path[2]
        for fault in conversion.faults
        if fault.path[:2] == location[:2] and fault.path[2:]
    }
    return finding.kind not in _CROSS_FIELD_KINDS or not faulty_fields & _CROSS_CHECKED_FIELDS


def _mistake(
    document: settings.Document,
    finding: configuration_check.Finding,
    conversion: settings.Conversion[_File],
) -> settings.Mistake:
    line = document.line(_location_in_file(conversion, finding))
    return settings.Mistake(line, finding.key, finding.problem, finding.remedy)


def _location_in_file(
    conversion: settings.Conversion[_File], finding: configuration_check.Finding
) -> tuple[str | int, ...]:
    """Return a finding's location in the file, whose arrays may hold elements that were dropped."""
    location = finding.location
    if len(location) < 2 or not isinstance(location[1], int):
        return location
    table, index, *rest = location
    for dropped in sorted(path for path in conversion.dropped if path[:1] == (table,)):
        if len(dropped) == 2 and dropped[1] <= index:
            index += 1
    return (table, index, *rest)


def _block(header: str, item: Any) -> str:
    return "\n".join((header, *_assignments(item), ""))


def _assignments(item: Any) -> Iterator[str]:
    """Yield a line for each field that differs from its default."""
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        default = field.default
        if field.default_factory is not dataclasses.MISSING:
            default = field.default_factory()
        if value != default:
            yield f"{field.name} = {_value(value)}"


def _value(value: Any) -> str:
    match value:
        case enum.Enum():
            return _text(value.value)
        case bool():
            return "true" if value else "false"
        case int() | float():
            return repr(value)
        case str():
            return _text(value)
        case tuple():
            return _array(value)
        case dict():
            return _inline(f"{_key(key)} = {_value(inner)}" for key, inner in value.items())
        case _:
            return _inline(_assignments(value))


def _array(values: tuple[Any, ...]) -> str:
    if len(values) < 2:
        return f"[{''.join(map(_value, values))}]"
    rows = "".join(f"    {_value(value)},\n" for value in values)
    return f"[\n{rows}]"


def _inline(assignments: Iterable[str]) -> str:
    return f"{{ {', '.join(assignments)} }}"


def _key(key: str) -> str:
    return key if _BARE_KEY.fullmatch(key) else _text(key)


def _text(text: str) -> str:
    # JSON's escapes are valid in TOML, but TOML also requires DEL to be escaped.
    return json.dumps(text, ensure_ascii=False).replace("\x7f", "\\u007f")
