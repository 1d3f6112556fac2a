"""Read the settings file named by ``--settings`` on a program's command line.

Flags are not registered globally, so that several programs can be imported into one process.
"""

from __future__ import annotations

import pathlib
import sys
from typing import TypeVar

from absl import flags

from medlarfork import errors
from medlarfork.settings import settings

T = TypeVar("T")


def read(program: str, kind: type[T]) -> T:
    """Return the settings of a program that was started with ``--settings=FILE``.

    Raises:
        errors.SettingsError: The command line or the file has mistakes.
    """
    values = flags.FlagValues()
    flags.DEFINE_string("settings", "", "TOML file with the settings.", flag_values=values)
    flags.DEFINE_bool("help", False, "Show this text.", short_name="h", flag_values=values)
    try:
        remaining = values(sys.argv)
    except flags.Error as error:
        raise errors.SettingsError(f"{error}.", remedy="See --help.") from error
    if values["help"].value:
        print(f"{program} --settings=FILE\n\n{kind.__doc__}")
        raise SystemExit(0)
    if len(remaining) > 1:
        raise errors.SettingsError(
            f"The argument {remaining[1]!r} is not understood.", remedy="See --help."
        )
    if not values["settings"].value:
        raise errors.SettingsError(
            "No settings file is named.", remedy=f"Start {program} with --settings=FILE."
        )
    return settings.load(pathlib.Path(values["settings"].value), kind)
