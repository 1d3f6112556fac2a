"""Loading of settings files: types, ranges, and the line and key of every mistake."""

import dataclasses
import enum
import pathlib

import hypothesis
import hypothesis.strategies as st
import pytest

from medlarfork import errors, uuid7
from medlarfork.settings import _toml_lines, program_exit, settings


class Colour(enum.StrEnum):
    RED = "red"
    BLUE = "blue"


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    name: str
    weight: float = settings.bounded(1.0, minimum=0.5, maximum=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Example:
    name: str
    port: int = settings.bounded(0, minimum=0, maximum=65535)
    ratio: float = 0.5
    colour: Colour = Colour.RED
    folder: pathlib.Path | None = None
    verbose: bool = False
    peers: tuple[Peer, ...] = ()
    tags: tuple[str, ...] = ()
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    main: Peer | None = None


@pytest.fixture
def load(tmp_path):
    def write_and_load(text, kind=Example):
        path = tmp_path / "node.toml"
        path.write_text(text, encoding="utf-8")
        return settings.load(path, kind)

    return write_and_load


def test_every_supported_type_is_converted(load):
    text = """
name = "n"
port = 65535
ratio = 1
colour = "blue"
folder = "/tmp/x"
verbose = true
tags = ["a", "b"]
labels = { k = "v" }
[main]
name = "m"
[[peers]]
name = "p"
weight = 2
"""
    assert load(text) == Example(
        "n", 65535, 1.0, Colour.BLUE, pathlib.Path("/tmp/x"), True,
        (Peer("p", 2.0),), ("a", "b"), {"k": "v"}, Peer("m"),
    )  # fmt: skip


@pytest.mark.parametrize(
    ("text", "line", "pieces"),
    [
        ('name = "n"\nprot = 1', 2, ("prot: unknown key", "did you mean port?")),
        ("port = 1", 1, ("name: missing key", "add it as text in quotes")),
        ("name = 3", 1, ("name: is a whole number", "write text in quotes")),
        ('name = "n"\nport = true', 2, ("port: is true or false", "write a whole number")),
        ('name = "n"\nport = 65536', 2, ("port: 65536 is out of range", "from 0 to 65535")),
        ('name = "n"\nport = -1', 2, ("port: -1 is out of range", "from 0 to 65535")),
        ('name = "n"\nratio = nan', 2, ("ratio: nan is not finite", "write a finite number")),
        ('name = "n"\ncolour = "green"', 2, ("colour: 'green'", 'one of "red", "blue"')),
        ('name = "n"\nfolder = 1', 2, ("folder: is a whole number", "text in quotes")),
        ('name = "n"\ntags = "a"', 2, ("tags: is text in quotes", "an array")),
        ('name = "n"\ntags = [\n"a",\n3]', 2, ("tags[1]: is a whole number",)),
        ('name = "n"\nlabels = { a = 1 }', 2, ("labels.a: is a whole number",)),
        ('name = "n"\n[[peers]]\nname = "p"\n[[peers]]\n', 4, ("peers[1].name: missing key",)),
        ('name = "n"\n[main]\nname = "p"\nweight = 3.0', 4, ("main.weight: 3.0 is out of",)),
        ('name = "n"\nport = ', 2, ("not valid TOML", "correct the syntax")),
        ('name = "n"\nname = "m"', 2, ("not valid TOML",)),
    ],
)
def test_a_mistake_is_reported_with_file_line_key_and_remedy(load, tmp_path, text, line, pieces):
    with pytest.raises(errors.SettingsError) as caught:
        load(text)
    first = str(caught.value).splitlines()[0]
    assert first.startswith(f"{tmp_path / 'node.toml'}:{line}: ")
    for piece in pieces:
        assert piece in first
    assert "has 1 mistake." in str(caught.value)


def test_all_mistakes_are_listed_by_line(load):
    text = (
        'port = "x"\nverbose = 1\nzzz = 1\n[[peers]]\nname = 1\n[[peers]]\nname = "b"\nweight = 9'
    )
    with pytest.raises(errors.SettingsError) as caught:
        load(text)
    message = str(caught.value)
    keys = [line.split(": ")[1] for line in message.splitlines()[:-1]]
    assert sorted(keys) == [
        "name", "peers[0].name", "peers[1].weight", "port", "verbose", "zzz"
    ]  # fmt: skip
    lines = [int(line.split(":")[1]) for line in message.splitlines()[:-1]]
    assert lines == sorted(lines)


def test_an_unreadable_file_is_reported(tmp_path):
    with pytest.raises(errors.SettingsError, match=r"none.toml:1: can't be read.*name a readable"):
        settings.load(tmp_path / "none.toml", Example)


def test_a_program_exits_with_status_2_and_prints_the_mistakes(load, capsys):
    with pytest.raises(SystemExit) as caught, program_exit.exit_on_error():
        load("port = 1")
    assert caught.value.code == 2
    assert "name: missing key" in capsys.readouterr().err


@pytest.mark.parametrize(
    "kind", [errors.LinkError, errors.JournalError, errors.DamagedJournalError]
)
def test_a_program_that_fails_to_start_prints_the_error_and_exits_with_status_1(kind, capsys):
    with pytest.raises(SystemExit) as caught, program_exit.exit_on_error():
        raise kind("The disk is full.", remedy="Make room.")
    assert caught.value.code == program_exit.START_FAILURE_STATUS == 1
    assert capsys.readouterr().err == "The disk is full. Make room.\n"


def test_lines_are_found_after_strings_comments_and_arrays():
    text = '''# [no]
a = """
[[x]]
b = 1
"""
c = [ # ]
  "]", [1,
  2],
]
d = '[['
[t . "u.v"]
e.f = 1
[[x]]
[[x.y]]
g = 1
[[x]]
[x.z]
h = { i = 1 }
'''
    lines = _toml_lines.TomlLines(text)
    found = {
        path: lines.line(path)
        for path in [
            ("a",), ("c",), ("d",), ("t", "u.v", "e", "f"), ("x", 0, "y", 0, "g"),
            ("x", 1), ("x", 1, "z", "h", "i"), ("x", 1, "missing"), ("nowhere",),
        ]
    }  # fmt: skip
    assert list(found.values()) == [2, 6, 10, 12, 15, 16, 18, 16, 1]


@hypothesis.given(st.integers(0, (1 << 48) - 1), st.binary(min_size=10, max_size=10))
def test_uuid7_contains_its_time(time_ms, random_bytes):
    text = uuid7.make(time_ms, random_bytes)
    assert uuid7.time_ms(text) == time_ms
    assert text == uuid7.make(time_ms, random_bytes)


@pytest.mark.parametrize(
    "text",
    ["", "x", "00000000-0000-4000-8000-000000000000", "00000000-0000-7000-c000-000000000000"],
)
def test_other_text_contains_no_time(text):
    assert uuid7.time_ms(text) is None


@pytest.mark.parametrize(("time_ms", "size"), [(-1, 10), (1 << 48, 10), (1, 9)])
def test_uuid7_rejects_out_of_range_arguments(time_ms, size):
    with pytest.raises(ValueError, match="48 bits"):
        uuid7.make(time_ms, bytes(size))
