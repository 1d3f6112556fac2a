"""Check that docs/MODULES.md lists every module once, by the first line of its doc comment."""

import ast
import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_SOURCE = _ROOT / "src" / "medlarfork"
_CODE = re.compile(r"`(\w+)`")
_ENTRY = re.compile(r"^(?P<indent> *)- `(?P<module>[\w.]+)`: (?P<line>.+)$", re.MULTILINE)


def _entries() -> list[re.Match[str]]:
    return list(_ENTRY.finditer((_ROOT / "docs" / "MODULES.md").read_text()))


def _name(path: pathlib.Path) -> str:
    return ".".join(path.relative_to(_SOURCE).with_suffix("").parts)


def _path(module: str) -> pathlib.Path:
    return _SOURCE.joinpath(*module.split(".")).with_suffix(".py")


def _first_line(path: pathlib.Path) -> str:
    docstring = ast.get_docstring(ast.parse(path.read_text()))
    assert docstring, f"{path.name} has no doc comment"
    return docstring.splitlines()[0]


def test_every_module_stands_on_the_page_once():
    modules = sorted(_name(path) for path in _SOURCE.rglob("*.py") if path.stem != "__init__")
    assert sorted(entry["module"] for entry in _entries()) == modules


def test_every_line_is_that_of_the_module():
    listed = {entry["module"]: entry["line"] for entry in _entries()}
    written = {module: _first_line(_path(module)) for module in listed}
    assert listed == written


def test_private_helpers_stand_under_a_public_module():
    entries = _entries()
    assert not entries[0]["indent"]
    for entry in entries:
        name = entry["module"].rpartition(".")[2]
        assert bool(entry["indent"]) == name.startswith("_"), entry["module"]


def test_the_line_of_filters_names_modules():
    text = (_ROOT / "docs" / "ARCHITECTURE.md").read_text()
    table = text.partition("| filter | module | decides |")[2].partition("\n\n")[0]
    named = [cell for row in table.splitlines()[2:] for cell in _CODE.findall(row.split("|")[2])]
    assert named
    modules = {path.stem for path in _SOURCE.rglob("*.py")}
    assert set(named) - modules == set()
