"""Convert parsed TOML to data classes, collecting all faults instead of stopping at the first."""

from __future__ import annotations

import dataclasses
import difflib
import enum
import functools
import math
import pathlib
import types
import typing
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

if TYPE_CHECKING:
    from medlarfork.settings import _toml_lines

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A problem with the value at a path, and its remedy."""

    path: _toml_lines.Path
    problem: str
    remedy: str


class _ConversionFailedError(Exception):
    """Signal that a value can't be converted; its faults have been recorded."""


_TOML_TYPE_NAME = {
    str: "text in quotes",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    dict: "a table",
    list: "an array",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Conversion(Generic[T]):
    """Result of a conversion, which may be partial.

    Attributes:
        value: The data class; None if a required field is missing or invalid. An optional field
            with an invalid value holds its default.
        faults: All faults found.
        dropped: Paths of array elements and table entries that were left out because they could
            not be converted.
    """

    value: T | None
    faults: tuple[Fault, ...]
    dropped: tuple[_toml_lines.Path, ...]


def convert(table: dict[str, Any], kind: type[T]) -> Conversion[T]:
    """Convert a table to a data class, as far as possible."""
    converter = _Converter()
    try:
        value = converter.data_class(table, kind, ())
    except _ConversionFailedError:
        value = None
    return Conversion(value, tuple(converter.faults), tuple(converter.dropped))


class _Converter:
    """Converts values to their declared types and collects faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.dropped: list[_toml_lines.Path] = []

    def data_class(self, value: Any, kind: type, path: _toml_lines.Path) -> Any:
        """Build a data class from a table."""
        table = self._checked(value, dict, path)
        fields = _field_by_key(kind)
        for key in table:
            if key not in fields:
                self._record_fault((*path, key), "unknown key", _unknown_remedy(key, fields))
        arguments: dict[str, Any] = {}
        complete = True
        for key, field in fields.items():
            try:
                if key in table:
                    arguments[field.name] = self._field(table[key], kind, field, (*path, key))
                elif _required(field):
                    remedy = f"Add it as {_example(_type_hints(kind)[field.name])}."
                    self._fail((*path, key), "missing key", remedy)
            except _ConversionFailedError:
                complete = complete and not _required(field)
        if not complete:
            raise _ConversionFailedError
        return kind(**arguments)

    def _field(
        self, value: Any, kind: type, field: dataclasses.Field[Any], path: _toml_lines.Path
    ) -> Any:
        converted = self._value(value, _type_hints(kind)[field.name], path)
        self._check_range(converted, field, path)
        return converted

    def _value(self, value: Any, kind: Any, path: _toml_lines.Path) -> Any:
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            inner = [item for item in typing.get_args(kind) if item is not types.NoneType]
            return self._value(value, inner[0], path)
        if origin is tuple:
            return self._tuple(value, typing.get_args(kind)[0], path)
        if origin is dict:
            table = self._checked(value, dict, path)
            item_kind = typing.get_args(kind)[1]
            return self._convert_each(table.items(), item_kind, path)
        if dataclasses.is_dataclass(kind):
            return self.data_class(value, typing.cast(type, kind), path)
        return self._scalar(value, kind, path)

    def _tuple(self, value: Any, kind: Any, path: _toml_lines.Path) -> tuple[Any, ...]:
        items = self._checked(value, list, path)
        built = self._convert_each(enumerate(items), kind, path)
        if len(built) < len(items) and not dataclasses.is_dataclass(kind):
            raise _ConversionFailedError
        return tuple(built.values())

    def _convert_each(
        self, items: Iterable[tuple[Any, Any]], kind: Any, path: _toml_lines.Path
    ) -> dict[Any, Any]:
        """Convert each item independently, so that the faults of all of them are found."""
        built: dict[Any, Any] = {}
        for key, item in items:
            try:
                built[key] = self._value(item, kind, (*path, key))
            except _ConversionFailedError:
                self.dropped.append((*path, key))
        return built

    def _scalar(self, value: Any, kind: Any, path: _toml_lines.Path) -> Any:
        if issubclass(kind, enum.Enum):
            return self._enum(value, kind, path)
        if issubclass(kind, pathlib.PurePath):
            return kind(self._checked(value, str, path))
        if kind is float:
            return self._float(value, path)
        return self._checked(value, kind, path)

    def _enum(self, value: Any, kind: type[enum.Enum], path: _toml_lines.Path) -> enum.Enum:
        try:
            return kind(value)
        except ValueError:
            names = ", ".join(f'"{item.value}"' for item in kind)
            return self._fail(path, f"{value!r} is not a choice here", f"Write one of {names}.")

    def _float(self, value: Any, path: _toml_lines.Path) -> float:
        number = float(value) if type(value) is int else self._checked(value, float, path)
        if not math.isfinite(number):
            return self._fail(path, f"{number} is not finite", "Write a finite number.")
        return number

    def _checked(self, value: Any, kind: type, path: _toml_lines.Path) -> Any:
        # Compare types exactly: ``isinstance`` would accept True as an int.
        if type(value) is kind:
            return value
        found = _TOML_TYPE_NAME.get(type(value), f"a {type(value).__name__}")
        wanted = _TOML_TYPE_NAME.get(kind, kind.__name__)
        return self._fail(path, f"is {found}, not {wanted}", f"Write {_example(kind)}.")

    def _check_range(
        self, value: Any, field: dataclasses.Field[Any], path: _toml_lines.Path
    ) -> None:
        minimum = field.metadata.get("min")
        maximum = field.metadata.get("max")
        if value is None or (minimum is None and maximum is None):
            return
        low = -math.inf if minimum is None else minimum
        high = math.inf if maximum is None else maximum
        if not low <= value <= high:
            remedy = f"Write a number {_range_text(minimum, maximum)}."
            self._fail(path, f"{value} is out of range", remedy)

    def _record_fault(self, path: _toml_lines.Path, problem: str, remedy: str) -> None:
        self.faults.append(Fault(path, problem, remedy))

    def _fail(self, path: _toml_lines.Path, problem: str, remedy: str) -> Any:
        self._record_fault(path, problem, remedy)
        raise _ConversionFailedError


@functools.cache
def _type_hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


@functools.cache
def _field_by_key(kind: Any) -> dict[str, dataclasses.Field[Any]]:
    return {field.metadata.get("key", field.name): field for field in dataclasses.fields(kind)}


def _required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _unknown_remedy(key: str, known: Iterable[str]) -> str:
    names = sorted(known)
    near = difflib.get_close_matches(key, names, n=1)
    if near:
        return f"Did you mean {near[0]}?"
    return f"Remove it, or use one of {', '.join(names)}."


def _range_text(minimum: float | None, maximum: float | None) -> str:
    if minimum is None:
        return f"of at most {maximum}"
    if maximum is None:
        return f"of at least {minimum}"
    return f"from {minimum} to {maximum}"


def _example(kind: Any) -> str:
    """Return a description of a value of the type in TOML."""
    origin = typing.get_origin(kind)
    if origin in (types.UnionType, typing.Union):
        return _example(typing.get_args(kind)[0])
    if origin is tuple or kind is list:
        return "an array, such as [...]"
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return "one of " + ", ".join(f'"{item.value}"' for item in kind)
    if isinstance(kind, type) and issubclass(kind, pathlib.PurePath):
        return "a path in quotes"
    if origin is dict or dataclasses.is_dataclass(kind):
        return "a table"
    return _TOML_TYPE_NAME.get(kind, str(kind))
