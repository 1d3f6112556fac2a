"""Findings of the configuration check, and the declared objects that they refer to."""

from __future__ import annotations

import dataclasses
import enum

from medlarfork.declared import configuration as configurations
from medlarfork.settings import _wording


class FindingKind(enum.StrEnum):
    """Kind of a finding."""

    BAD_DIGEST = "bad_digest"
    BAD_NAME = "bad_name"
    DUPLICATE = "duplicate"
    FLOOR_SHARES = "floor_shares"
    MATCHES_NOTHING = "matches_nothing"
    MISSING_SERVICE = "missing_service"
    OUT_OF_RANGE = "out_of_range"
    PLAIN_WITH_MODELS = "plain_with_models"
    PREEMPTIBLE = "preemptible"
    RESERVED_LABEL = "reserved_label"
    SAME_PRECEDENCE = "same_precedence"
    SELECTOR_SYNTAX = "selector_syntax"
    SHARED_MODEL = "shared_model"
    TARGET = "target"
    UNKNOWN_LABEL = "unknown_label"
    UNKNOWN_VALUE = "unknown_value"
    UNREACHABLE = "unreachable"
    WRONG_KIND = "wrong_kind"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One mistake in a configuration.

    Attributes:
        kind: Kind of mistake.
        key: Dotted key of the value, such as ``class.counter.selector``.
        problem: What is wrong, without a full stop.
        remedy: How to correct it, as a full sentence.
        location: Position of the value: table, index within the table, and field.
    """

    kind: FindingKind
    key: str
    problem: str
    remedy: str
    location: tuple[str | int, ...] = ()

    def render(self) -> str:
        """Return the finding as one line of text."""
        return f"{self.key}: {_wording.join(self.problem, self.remedy)}"


Declared = (
    configurations.Account
    | configurations.RequestClass
    | configurations.Service
    | configurations.Route
    | configurations.Call
    | configurations.LabelKey
)


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One declared object with its table and its index within the table."""

    table: str
    index: int
    value: Declared

    @property
    def name(self) -> str:
        """Return the name that identifies the object within its table."""
        match self.value:
            case configurations.Call(service, method, path):
                return f"{service} {method} {path}"
            case configurations.LabelKey(key):
                return key
            case _:
                return self.value.name

    def finding(self, kind: FindingKind, field: str, problem: str, remedy: str) -> Finding:
        """Return a finding about one field of the object."""
        name = f"{self.table}.{self.name}" if self.name else f"{self.table}[{self.index}]"
        if isinstance(self.value, configurations.Call):
            name = f"{self.table}[{self.index}]"
        location = (self.table, self.index, *field.split("."))
        return Finding(kind, f"{name}.{field}", problem, remedy, location)


def items(configuration: configurations.Configuration) -> tuple[Item, ...]:
    """Return all declared objects, table by table."""
    tables = {
        "account": configuration.accounts,
        "class": configuration.classes,
        "service": configuration.services,
        "route": configuration.routes,
        "call": configuration.calls,
        "label": configuration.label_keys,
    }
    return tuple(
        Item(table, index, value)
        for table, values in tables.items()
        for index, value in enumerate(values)
    )
