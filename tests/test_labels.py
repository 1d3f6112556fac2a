"""Selectors: syntax, matching and overlap."""

import hypothesis
import pytest
from hypothesis import strategies as st

from medlarfork import errors, labels

KEYS = ("a", "b")
VALUES = ("x", "y", "z")
label_sets = st.dictionaries(st.sampled_from(KEYS), st.sampled_from(VALUES))
terms = st.one_of(
    st.builds("{}={}".format, st.sampled_from(KEYS), st.sampled_from(VALUES)),
    st.builds("{}!={}".format, st.sampled_from(KEYS), st.sampled_from(VALUES)),
    st.builds("{} in (x, y)".format, st.sampled_from(KEYS)),
    st.builds("{} not in (y, z)".format, st.sampled_from(KEYS)),
    st.sampled_from(KEYS),
    st.builds("!{}".format, st.sampled_from(KEYS)),
)
selectors = st.lists(terms, max_size=3).map(lambda parts: labels.Selector.parse(", ".join(parts)))


@hypothesis.given(selectors, selectors, label_sets)
def test_selectors_that_match_one_label_set_overlap(first, second, label_set):
    if first.matches(label_set) and second.matches(label_set):
        assert first.overlaps(second)


@pytest.mark.parametrize(
    ("text", "label_set", "expected"),
    [
        ("", {}, True),
        ("a=x", {"a": "x"}, True),
        ("a=x", {"a": "y"}, False),
        ("a in (x, y), b!=z", {"a": "y"}, True),
        ("a not in (x, y)", {"a": "x"}, False),
        ("!a", {"a": "x"}, False),
        ("a", {"a": "x"}, True),
    ],
)
def test_matching(text, label_set, expected):
    assert labels.Selector.parse(text).matches(label_set) is expected


@pytest.mark.parametrize("text", ["A=b", "a=b c", "a in ()", "=x", "a='b'"])
def test_bad_selector_names_the_remedy(text):
    with pytest.raises(errors.SelectorSyntaxError, match="Write keys"):
        labels.Selector.parse(text)
