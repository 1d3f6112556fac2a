"""Line numbers of keys and tables in TOML text, which ``tomllib`` does not provide."""

from __future__ import annotations

import collections
import re
from collections.abc import Iterator

Path = tuple[str | int, ...]
"""Keys and array indexes from the root of a document down to one value."""

_TOKEN = re.compile(
    r'"""(?:\\.|[^\\])*?"{3,5}'
    r"|'''.*?'{3,5}"
    r'|"(?:\\.|[^"\\\n])*"'
    r"|'[^'\n]*'"
    r"|#[^\n]*"
    r"|[\[\]{}\n]"
    r"|[^\"'#\[\]{}\n]+",
    re.DOTALL,
)
_KEY_PART = re.compile(r"""\s*("(?:\\.|[^"\\])*"|'[^']*'|[A-Za-z0-9_-]+)\s*""")
_HEADER = re.compile(r"\s*(\[\[?)(.*?)\]\]?\s*$", re.DOTALL)


class TomlLines:
    """Mapping of paths to line numbers, for text that is known to be valid TOML."""

    def __init__(self, text: str) -> None:
        """Scan the text."""
        self._line_by_path: dict[Path, int] = {(): 1}
        self._count_by_array: collections.Counter[Path] = collections.Counter()
        table: Path = ()
        for line, statement in _statements(text):
            header = _HEADER.match(statement)
            if header:
                table = self._table(header, line)
            else:
                self._record_line((*table, *_key(statement)), line)

    def line(self, path: Path) -> int:
        """Return the line of the path, or of its closest enclosing key or table."""
        while path not in self._line_by_path:
            path = path[:-1]
        return self._line_by_path[path]

    def _table(self, header: re.Match[str], line: int) -> Path:
        keys = _key(header[2])
        parent = self._resolve(keys[:-1])
        path: Path = (*parent, keys[-1])
        if header[1] == "[[":
            index = self._count_by_array[path]
            self._count_by_array[path] += 1
            self._record_line(path, line)
            path = (*path, index)
        elif self._count_by_array[path]:
            path = (*path, self._count_by_array[path] - 1)
        self._record_line(path, line)
        return path

    def _resolve(self, keys: tuple[str, ...]) -> Path:
        """Return the path of a table, within the last element of each array along the keys."""
        path: Path = ()
        for key in keys:
            path = (*path, key)
            if self._count_by_array[path]:
                path = (*path, self._count_by_array[path] - 1)
        return path

    def _record_line(self, path: Path, line: int) -> None:
        self._line_by_path.setdefault(path, line)


def _statements(text: str) -> Iterator[tuple[int, str]]:
    """Yield each table header and each assignment with the number of its first line."""
    line = 1
    first_line = 1
    depth = 0
    parts: list[str] = []
    for match in _TOKEN.finditer(text + "\n"):
        token = match[0]
        if token in ("[", "{"):
            depth += 1
        elif token in ("]", "}"):
            depth -= 1
        if token == "\n" and depth == 0:
            statement = "".join(parts)
            if statement.strip():
                yield first_line, statement
            parts = []
            first_line = line + 1
        elif not token.startswith("#"):
            parts.append(token)
        line += token.count("\n")


def _key(text: str) -> tuple[str, ...]:
    """Return the parts of the dotted key at the start of the text."""
    parts: list[str] = []
    position = 0
    while match := _KEY_PART.match(text, position):
        parts.append(match[1].strip("\"'"))
        position = match.end()
        if text[position : position + 1] != ".":
            break
        position += 1
    return tuple(parts)
