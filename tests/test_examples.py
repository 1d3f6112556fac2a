"""Run the examples that embed one part alone; they stay short enough to read at once."""

import importlib
import pathlib
import re

import pytest

_FOLDER = pathlib.Path(__file__).parent.parent / "examples"
_MOST_LINES = 60
_EMBEDDED = ("lease", "replicated_log", "scheduler")


@pytest.mark.parametrize("name", _EMBEDDED)
def test_the_example_is_short(name):
    assert len((_FOLDER / f"{name}.py").read_text().splitlines()) < _MOST_LINES


@pytest.mark.parametrize("name", _EMBEDDED)
def test_the_example_says_how_to_run_it(name):
    assert f"python -m examples.{name}" in (_FOLDER / f"{name}.py").read_text()


def test_replicas_agree_on_the_words():
    example = _imported("replicated_log")
    assert example.main() == {name: list(example.WORDS) for name in example.IDS}


def test_the_lease_passes_on_with_a_higher_fence(capsys):
    _imported("lease").main()
    printed = capsys.readouterr().out
    events = re.findall(r"^t= ?[\d.]+ (.+)$", printed, re.MULTILINE)
    assert events == [
        "first acquired the lease with fence 1",
        "second acquired the lease with fence 2",
        "first lost the lease with fence 1",
    ]
    assert printed.endswith("first may act: False\nsecond may act: True\n")


def test_the_scheduler_sheds_and_preempts_the_lowest_tier(capsys):
    _imported("scheduler").main()
    lines = capsys.readouterr().out.splitlines()
    granted = [line for line in lines if "Grant(" in line]
    shed = [line for line in lines if "Shed(" in line]
    preempted = [line for line in lines if "Preempt(" in line]
    assert ["review-1/1" in granted[0], "review-2/1" in granted[1]] == [True, True]
    assert len(shed) == len(preempted) == 1
    assert "review-3/1" in shed[0]
    assert "review-2/1" in preempted[0]


def _imported(name):
    return importlib.import_module(f"examples.{name}")
