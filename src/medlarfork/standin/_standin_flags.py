"""Settings of a program from command-line flags, a TOML file, or both.

Every field of the settings' data class is a flag, whose help text is the field's line in the
class's doc comment. Flags take precedence over the file.
"""

from __future__ import annotations

import dataclasses
import pathlib
import re
import sys
from collections.abc import Sequence
from typing import Any, TypeVar, get_type_hints

from absl import flags

from medlarfork import errors
from medlarfork.settings import settings

T = TypeVar("T")

SETTINGS_FLAG = "settings"
"""Flag that names the TOML file."""

_HELP_FLAGS = ("--help", "-h")
_ATTRIBUTE = re.compile(r"^ {8}(\w+): (.+)$", re.MULTILINE)


def parse(kind: type[T], arguments: Sequence[str]) -> T:
    """Return the settings of a command line.

    Args:
        kind: Frozen data class; fields of str, int, float, bool, tuple[str, ...] or
            dict[str, str], each with a default.
        arguments: The command line, starting with the program name.

    Raises:
        errors.SettingsError: A flag or the file is invalid.
    """
    values = _define(kind)
    try:
        remaining = values(arguments)
    except flags.Error as error:
        raise errors.SettingsError(f"{error}.", remedy="See --help.") from error
    if len(remaining) > 1:
        raise errors.SettingsError(
            f"The argument {remaining[1]!r} is not understood.", remedy="See --help."
        )
    file = values[SETTINGS_FLAG].value
    base = settings.load(pathlib.Path(file), kind) if file else kind()
    return dataclasses.replace(base, **_flag_values(kind, values))


def main_arguments(kind: type[Any], program: str) -> list[str]:
    """Return ``sys.argv``, or print the help and exit if a help flag is set."""
    if any(argument in _HELP_FLAGS for argument in sys.argv[1:]):
        print(help_text(kind, program))
        raise SystemExit(0)
    return list(sys.argv)


def help_text(kind: type[Any], program: str) -> str:
    """Return the help text, with a line for each flag."""
    lines = [f"{program} [--{SETTINGS_FLAG}=FILE] [FLAGS]"]
    values = _define(kind)
    for name, default in dataclasses.asdict(kind()).items():
        lines.append(f"  --{name}: {values[name].help} (default: {default!r})")
    return "\n".join(lines)


def _define(kind: type[Any]) -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_string(SETTINGS_FLAG, "", "TOML file with the same names.", values)
    help_by_name = dict(_ATTRIBUTE.findall(kind.__doc__ or ""))
    hints = get_type_hints(kind)
    for field in dataclasses.fields(kind):
        _define_one(values, field.name, hints[field.name], help_by_name.get(field.name, ""))
        values[field.name].value = None
    return values


def _define_one(values: flags.FlagValues, name: str, hint: Any, text: str) -> None:
    if hint is bool:
        flags.DEFINE_bool(name, None, text, values)
    elif hint is int:
        flags.DEFINE_integer(name, None, text, flag_values=values)
    elif hint is float:
        flags.DEFINE_float(name, None, text, flag_values=values)
    elif hint is str:
        flags.DEFINE_string(name, None, text, values)
    else:
        flags.DEFINE_list(name, None, text, values)


def _flag_values(kind: type[Any], values: flags.FlagValues) -> dict[str, Any]:
    hints = get_type_hints(kind)
    value_by_name = {}
    for field in dataclasses.fields(kind):
        value = values[field.name].value
        if value is not None:
            value_by_name[field.name] = _convert(hints[field.name], field.name, value)
            _check_range(field, value_by_name[field.name])
    return value_by_name


def _check_range(field: dataclasses.Field[Any], value: Any) -> None:
    minimum, maximum = field.metadata.get("min"), field.metadata.get("max")
    if minimum is not None and value < minimum:
        raise errors.SettingsError(
            f"--{field.name} is {value}.", remedy=f"Set it to at least {minimum}."
        )
    if maximum is not None and value > maximum:
        raise errors.SettingsError(
            f"--{field.name} is {value}.", remedy=f"Set it to at most {maximum}."
        )


def _convert(hint: Any, name: str, value: Any) -> Any:
    if hint == dict[str, str]:
        return dict(_pair(name, item) for item in value)
    if isinstance(value, list):
        return tuple(value)
    return value


def _pair(name: str, item: str) -> tuple[str, str]:
    key, separator, value = item.partition("=")
    if not separator:
        raise errors.SettingsError(
            f"--{name} has {item!r}.", remedy="Write it as KEY=VALUE,KEY=VALUE."
        )
    return key.strip(), value.strip()
