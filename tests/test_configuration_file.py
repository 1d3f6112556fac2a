"""Reading and writing the declared configuration as TOML."""

import hashlib
import pathlib

import hypothesis
import hypothesis.strategies as st
import pytest

from medlarfork import errors
from medlarfork.declared import configuration as configurations
from medlarfork.declared import configuration_file

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

VALID = """
[[account]]
name = "shop"
[[service]]
name = "lm"
kind = "model"
selector = "service=lm"
models = ["m"]
[[class]]
name = "chat"
tier = 1
selector = "model=m"
"""


@pytest.fixture
def read(tmp_path):
    def write_and_read(text):
        path = tmp_path / "c.toml"
        path.write_text(text, encoding="utf-8")
        return configuration_file.read(path)

    return write_and_read


def mistakes(read, text):
    with pytest.raises(errors.ConfigurationError) as caught:
        read(text)
    return str(caught.value).splitlines()[:-1]


@pytest.mark.parametrize("name", ["bazar", "strathtune"])
def test_an_example_is_valid_and_survives_a_round_trip(read, name):
    configuration = configuration_file.read(EXAMPLES / f"{name}.toml")
    assert read(configuration_file.render(configuration)) == configuration
    for account in configuration.accounts:
        digest = hashlib.sha256(f"{account.name}-key".encode()).hexdigest()
        assert account.key_sha256 == (digest,)


TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)


@hypothesis.given(
    st.builds(
        configurations.Configuration,
        name=TEXT,
        engine_lease_s=st.floats(allow_nan=False, allow_infinity=False),
        allow_undated_keys=st.booleans(),
        drained_upstreams=st.lists(TEXT, max_size=3).map(tuple),
        accounts=st.lists(
            st.builds(
                configurations.Account,
                TEXT,
                st.lists(TEXT, max_size=2).map(tuple),
                st.dictionaries(TEXT, TEXT, max_size=3),
                st.floats(allow_nan=False, allow_infinity=False),
                st.builds(configurations.AccountLimits, st.none() | st.integers(0, 99)),
            ),
            max_size=2,
        ).map(tuple),
        services=st.lists(
            st.builds(
                configurations.Service,
                TEXT,
                st.sampled_from(configurations.ServiceKind),
                TEXT,
                st.lists(TEXT, max_size=3).map(tuple),
            ),
            max_size=2,
        ).map(tuple),
        calls=st.lists(
            st.builds(configurations.Call, TEXT, TEXT, TEXT, st.booleans()), max_size=2
        ).map(tuple),
    )
)
def test_rendered_text_holds_the_same_values(tmp_path_factory, configuration):
    path = tmp_path_factory.mktemp("toml") / "c.toml"
    path.write_text(configuration_file.render(configuration), encoding="utf-8")
    document = configuration_file.settings.read_document(path)
    conversion = configuration_file.settings.convert(document, configuration_file._File)
    assert conversion.faults == ()
    assert configuration_file._configuration(conversion.value) == configuration


def test_conversion_and_validation_mistakes_are_reported_together(read):
    text = VALID + """
[[class]]
name = "odd"
tier = "one"
[[class]]
name = "late"
tier = 2
selector = "model=m, stream=true"
precedence = 5
whole_target_s = 900
deadline_s = 60
weigth = 1
[[account]]
name = "other"
weight = -1
"""
    found = [item.split("c.toml:")[1].split(";")[0] for item in mistakes(read, text)]
    assert found == [
        "16: class[1].tier: is text in quotes, not a whole number",
        "22: class.late.whole_target_s: 900 is longer than deadline_s, 60",
        "24: class[2].weigth: unknown key",
        "27: account.other.weight: -1 is out of range",
    ]


def test_a_finding_has_the_right_line_after_dropped_elements(read):
    text = VALID + '[[account]]\nname = 3\n[[account]]\nname = "b"\nweight = 0\n'
    found = mistakes(read, text)
    assert [item.split(":", 1)[1].split(";")[0] for item in found] == [
        "14: account[1].name: is a whole number, not text in quotes",
        "17: account.b.weight: 0 is out of range",
    ]


def test_findings_that_result_from_a_conversion_fault_are_not_reported(read):
    text = VALID.replace('kind = "model"', 'kind = "modle"')
    assert len(mistakes(read, text)) == 1


def test_a_wrong_number_suppresses_no_finding_elsewhere(read):
    text = VALID.replace("tier = 1", "tier = 1\nfloor_share = true")
    text += '[[class]]\nname = "b"\ntier = 1\nselector = "model=gone"\nprecedence = 1\n'
    found = mistakes(read, text)
    assert len(found) == 2
    assert "class[0].floor_share: is true or false" in found[0]
    assert "class.b.selector: the label model never has the value gone" in found[1]


def test_bad_syntax_is_a_configuration_error(read):
    assert "c.toml:1: not valid TOML" in mistakes(read, "[[account")[0]
