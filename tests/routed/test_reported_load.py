"""Reports of load: malformed ones must never count, and old and new builds must read each other."""

import dataclasses

import msgspec
import pytest

from medlarfork.placement import placement_messages, reported_load


def test_three_figures_state_no_slowdown():
    assert reported_load.parse("3, 0,8") == reported_load.ReportedLoad(3, 0, 8)


def test_a_fourth_figure_states_the_slowdown():
    assert reported_load.parse("3,1,8,250") == reported_load.ReportedLoad(3, 1, 8, 2.5)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3,0",
        "3,0,0",
        "-1,0,8",
        "3,0,8,",
        "3,0,8,nan",
        "3,0,8,5",
        "3,0,8,100,1",
        "9" * 5000 + ",0,8",
        "³,0,8",
        "3,0,8,1e9",
    ],
)
def test_malformed_figures_are_no_report(text):
    assert reported_load.parse(text) is None


@dataclasses.dataclass(frozen=True)
class RunEnded:
    """The message as builds without load reports know it."""

    ticket_id: str
    end: placement_messages.RunEnd
    after_ms: float


def test_builds_without_load_reports_read_newer_messages():
    load = reported_load.ReportedLoad(3, 1, 8, 2.5)
    end = placement_messages.RunEnd.COMPLETE
    message = placement_messages.RunEnded("t", end, 4.0, load=load)
    body = msgspec.msgpack.encode(message)
    assert msgspec.msgpack.decode(body, type=RunEnded) == RunEnded("t", end, 4.0)


def test_messages_of_builds_without_load_reports_are_read():
    body = msgspec.msgpack.encode(RunEnded("t", placement_messages.RunEnd.COMPLETE, 4.0))
    message = msgspec.msgpack.decode(body, type=placement_messages.RunEnded)
    assert message.load is None
