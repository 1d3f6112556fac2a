"""Test that each event is logged as one line of key=value pairs without secrets."""

import fcntl
import io
import logging
import os
import re

import hypothesis
import pytest
from hypothesis import strategies
from pythonjsonlogger import core

from medlarfork import _log_output, errors, logs

LOGGER = logging.getLogger("medlarfork.test")


@pytest.fixture(autouse=True)
def restored_root():
    root = logging.getLogger()
    handlers, level = root.handlers, root.level
    yield
    root.handlers, root.level = handlers, level


@pytest.fixture
def written():
    stream = io.StringIO()
    logs.configure("INFO", "entry-1", stream=stream)
    return stream


def test_fields_follow_the_common_ones(written):
    logs.event(LOGGER, "request_finished", request_id="r1", whole_s=0.25, tokens=3, whole=True)
    assert re.fullmatch(
        r"event=request_finished ts=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO"
        r" process=entry-1 pid=\d+ logger=medlarfork\.test"
        r" request_id=r1 whole_s=0\.25 tokens=3 whole=true\n",
        written.getvalue(),
    )


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        ("two words", '"two words"'),
        ("", '""'),
        ('a"b', '"a\\"b"'),
        ("a=b", '"a=b"'),
        ("a\nevent=forged", '"a\\nevent=forged"'),
        ("\x1b[31m", '"\\u001b[31m"'),
        ("a\u2028b\x85", '"aU+2028bU+0085"'),
        ("\ud800", '"U+D800"'),
        ("São", "São"),
        (1e-9, "1e-09"),
        (("a", 1), "\"('a', 1)\""),
    ],
)
def test_values_are_quoted_where_needed(written, value, shown):
    logs.event(LOGGER, "e", field=value)
    assert written.getvalue().endswith(f" field={shown}\n")


def test_fields_without_a_value_are_left_out(written):
    logs.event(LOGGER, "e", field=None)
    assert "field" not in written.getvalue()


def test_common_fields_can_not_be_overwritten(written):
    logs.event(LOGGER, "e", pid="x", level="FORGED", ts="never")
    assert "FORGED" not in written.getvalue()
    assert "never" not in written.getvalue()


@pytest.mark.parametrize(
    "fields",
    [
        {"api_key": "hunter2"},
        {"Authorization": "hunter2"},
        {"secret_key": "hunter2"},
        {"token": "hunter2"},
        {"headers": {"authorization": "Bearer hunter2"}},
        {"text": "sent Bearer hunter2 and failed"},
        {"text": "Basic hunter2"},
        {"text": "key sk-hunter2hunter2"},
        {"cause": ValueError("Bearer hunter2")},
    ],
)
def test_secrets_are_not_logged(written, fields):
    logs.event(LOGGER, "e", **fields)
    assert "hunter2" not in written.getvalue()
    assert logs.REDACTED in written.getvalue()


def test_other_loggers_messages_have_the_same_form(written):
    logging.getLogger("library").warning("it %s", "failed")
    assert written.getvalue().startswith("event=message ts=")
    assert written.getvalue().endswith('logger=library message="it failed"\n')


def test_traceback_stays_on_the_line(written):
    try:
        raise ValueError("broken")
    except ValueError as error:
        logs.event(LOGGER, "e", severity=logging.ERROR, cause=error)
    assert written.getvalue().count("\n") == 1
    assert "ValueError: broken" in written.getvalue()


def test_levels_below_the_configured_one_are_dropped(written):
    logs.event(LOGGER, "e", severity=logging.DEBUG)
    assert written.getvalue() == ""


def test_unknown_level_names_the_known_ones():
    with pytest.raises(errors.SettingsError, match="WARNING"):
        logs.configure("LOUD", "entry-1")


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["event", "pid", "message", "a-b", "Token", "x"]),
        strategies.none() | strategies.text() | strategies.floats() | strategies.booleans(),
    )
    | strategies.just({"event": "e", "x": "SK-hunter2hunter2", "y": "\u017f\u212a-hunter2hunter2"})
)
def test_the_fast_path_renders_the_same_line(fields):
    formatter = logs.KeyValueFormatter("entry-1")
    record = logging.LogRecord("n", logging.INFO, "p", 1, fields, (), None)
    assert formatter.format(record) == core.BaseJsonFormatter.format(formatter, record)


@hypothesis.given(strategies.text(), strategies.text(alphabet="ab =\n\"'\u2028"))
def test_any_text_stays_on_one_line(first, second):
    stream = io.StringIO()
    logs.configure("INFO", "entry-1", stream=stream)
    logs.event(LOGGER, "e", first=first, second=second)
    assert len(stream.getvalue().splitlines()) == 1
    stream.getvalue().encode("utf-8")


def test_lines_beyond_the_rate_limit_are_dropped_and_counted():
    limit = _log_output.LineLimit(2)
    records = [
        logging.makeLogRecord({"msg": {"event": str(n)}, "created": 5.0, "levelno": 20})
        for n in range(5)
    ]
    assert [limit.filter(record) for record in records] == [True, True, False, False, False]
    error = logging.makeLogRecord({"msg": {"event": "e"}, "created": 5.1, "levelno": 40})
    assert limit.filter(error)
    assert error.msg == {"event": "e", "dropped_lines": 3}
    later = logging.makeLogRecord({"msg": {"event": "l"}, "created": 6.0, "levelno": 20})
    assert limit.filter(later)
    assert later.msg == {"event": "l"}


@pytest.fixture
def full_pipe():
    """Return the ends of a pipe whose buffer is full."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    os.write(write_end, b"x" * fcntl.fcntl(write_end, fcntl.F_GETPIPE_SZ))
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


@pytest.mark.timeout(10)
def test_a_blocked_reader_loses_lines_and_does_not_block_the_process(full_pipe):
    read_end, write_end = full_pipe
    with open(write_end, "w", closefd=False) as stream:  # noqa: PTH123 - not a path
        logs.configure("INFO", "entry-1", stream=stream)
        logs.event(LOGGER, "lost")
        logs.event(LOGGER, "lost_too", severity=logging.ERROR)
        os.read(read_end, 1 << 16)
        logs.event(LOGGER, "kept")
        text = os.read(read_end, 1 << 16).decode()
    assert "event=lost" not in text
    assert "event=kept" in text
    assert text.endswith(" dropped_lines=2\n")


@pytest.mark.timeout(10)
def test_a_truncated_line_does_not_corrupt_the_next_one(full_pipe):
    read_end, write_end = full_pipe
    os.read(read_end, 1 << 16)
    with open(write_end, "w", closefd=False) as stream:  # noqa: PTH123 - not a path
        logs.configure("INFO", "entry-1", stream=stream)
        logs.event(LOGGER, "long", why="w" * 10_000)
        first = os.read(read_end, 1 << 16).decode()
        logs.event(LOGGER, "next")
        text = os.read(read_end, 1 << 16).decode()
    assert first.startswith("event=long")
    assert text.startswith("\nevent=next")
    assert text.endswith(" dropped_lines=1\n")
