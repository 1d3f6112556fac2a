"""Every row of docs/PROOFS.md names tests that exist."""

import pathlib
import re

import pytest

TESTS = pathlib.Path(__file__).parent
PAGE = (TESTS.parent / "docs" / "PROOFS.md").read_text()
_TEST = re.compile(r"`((?:processes/|routed/|duties/)?test_\w+\.py)(?:::(\w+))?`")
NAMED = sorted(set(_TEST.findall(PAGE)))


def test_the_page_names_tests():
    assert len(NAMED) > 40


@pytest.mark.parametrize(("file", "function"), NAMED)
def test_a_named_test_exists(file, function):
    source = (TESTS / file).read_text()
    assert not function or re.search(rf"^(async )?def {function}\(", source, re.MULTILINE)


def test_every_row_states_whether_it_is_proved():
    rows = [line for line in PAGE.splitlines() if line.startswith("|") and "`test_" in line]
    for row in rows:
        state = row.rstrip("| ").rsplit("|", 1)[1]
        assert re.search(r"proved|partly", state), row
