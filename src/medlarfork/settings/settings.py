"""Load a program's settings from a TOML file into a frozen data class.

All mistakes in a file are reported together, each as ``FILE:LINE: key: problem; remedy``.
"""

from __future__ import annotations

import dataclasses
import functools
import pathlib
import re
import tomllib
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, TypeVar

from medlarfork import errors
from medlarfork.settings import _toml_convert

if TYPE_CHECKING:
    from medlarfork.settings import _toml_lines

T = TypeVar("T")

Conversion = _toml_convert.Conversion

_DECODE_LINE = re.compile(r"\(at line (\d+), column \d+\)")


@dataclasses.dataclass(frozen=True, slots=True)
class Mistake:
    """One mistake in a file.

    Attributes:
        line: Line in the file, counted from 1.
        key: Dotted key; empty if the mistake concerns the file, not a key.
        problem: What is wrong, without a full stop.
        remedy: How to correct it, as a full sentence.
    """

    line: int
    key: str
    problem: str
    remedy: str

    def render(self, file: pathlib.Path) -> str:
        """Return the mistake as one line of text."""
        # Imported only for mistakes: it makes the start-up slower.
        from medlarfork.settings import _wording

        key = f"{self.key}: " if self.key else ""
        return f"{file}:{self.line}: {key}{_wording.join(self.problem, self.remedy)}"


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A parsed TOML file.

    Attributes:
        file: Path of the file.
        table: Its content.
        text: The text that it was parsed from.
    """

    file: pathlib.Path
    table: dict[str, Any]
    text: str

    def line(self, path: _toml_lines.Path) -> int:
        """Return the line of a path, or of its closest enclosing key or table."""
        return _scan_lines(self.text).line(path)

    def mistake(self, fault: _toml_convert.Fault) -> Mistake:
        """Return a fault as a mistake with its line number."""
        return Mistake(self.line(fault.path), dotted(fault.path), fault.problem, fault.remedy)


@functools.lru_cache(maxsize=1)
def _scan_lines(text: str) -> _toml_lines.TomlLines:
    """Return the lines of a text; a file may have many mistakes."""
    # Imported only for mistakes: it makes the start-up slower.
    from medlarfork.settings import _toml_lines

    return _toml_lines.TomlLines(text)


def bounded(
    default: Any = dataclasses.MISSING,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
) -> Any:
    """Return a data-class field for a number within a range; both bounds are inclusive."""
    metadata = {"min": minimum, "max": maximum}
    return dataclasses.field(default=default, metadata=metadata)


def load(path: pathlib.Path, kind: type[T]) -> T:
    """Load a TOML file into a data class.

    Fields may be str, int, float, bool, enums, ``pathlib.Path``, data classes, tuples of any of
    these, ``dict[str, str]``, or any of these or None. A field's ``metadata`` may contain its range
    as ``min`` and ``max`` (see ``bounded``) and, as ``key``, the name of its key in the file.

    Raises:
        errors.SettingsError: The file can't be read or has mistakes; the message lists them all.
    """
    document = read_document(path)
    conversion = convert(document, kind)
    if conversion.faults or conversion.value is None:
        mistakes = [document.mistake(fault) for fault in conversion.faults]
        raise mistakes_error(path, mistakes)
    return conversion.value


def read_document(path: pathlib.Path) -> Document:
    """Read and parse a TOML file.

    Raises:
        errors.SettingsError: The file can't be read or is not TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        mistake = Mistake(1, "", f"can't be read: {error}", "Name a readable TOML file in UTF-8.")
        raise mistakes_error(path, (mistake,)) from error
    # Reading in text mode has already normalized line endings.
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise mistakes_error(path, (_syntax_mistake(error, text),)) from error
    return Document(path, table, text)


def convert(document: Document, kind: type[T]) -> Conversion[T]:
    """Convert a document to a data class, as far as possible."""
    return _toml_convert.convert(document.table, kind)


def dotted(path: _toml_lines.Path) -> str:
    """Return a path as text, such as ``account[2].weight``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def mistakes_error(
    path: pathlib.Path,
    mistakes: Sequence[Mistake],
    kind: type[errors.MedlarError] = errors.SettingsError,
) -> errors.MedlarError:
    """Return an error that lists the mistakes, sorted by line."""
    ordered = sorted(mistakes, key=lambda mistake: mistake.line)
    listing = "\n".join(mistake.render(path) for mistake in ordered)
    count = "1 mistake" if len(mistakes) == 1 else f"{len(mistakes)} mistakes"
    return kind(f"{listing}\n{path} has {count}.", remedy="Correct the file and try again.")


def _syntax_mistake(error: tomllib.TOMLDecodeError, text: str) -> Mistake:
    found = _DECODE_LINE.search(str(error))
    # The parser reports "end of document" instead of a line if the text is truncated.
    line = int(found[1]) if found else text.count("\n") + 1
    problem = _DECODE_LINE.sub("", str(error)).strip()
    return Mistake(line, "", f"not valid TOML: {problem}", "Correct the syntax of this line.")
