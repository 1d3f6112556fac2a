"""Tests that compare complete sessions with golden files: each event and its actions.

Set MEDLAR_REGENERATE_GOLDEN=1 to rewrite the files, and review the difference.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib

import pytest

from medlarfork import claim, heartbeat, node, ticket, upstream
from medlarfork.entry import entry_types
from tests import entry_harness

FOLDER = pathlib.Path(__file__).parent / "golden"
LEFT_OUT = (node.Wake, heartbeat.Heartbeat, heartbeat.HeartbeatReply, ticket.Released)
MAX_FIELD_LENGTH = 120
"""Maximum characters of a field; longer ones are truncated for readability."""

Result = entry_types.AttemptResult


def format_value(value):
    """Format a message without the fields that have their default value."""
    if isinstance(value, entry_types.RawRequest):
        return f"{value.request_id} {value.method} {value.path} {value.body.decode()}"
    if isinstance(value, upstream.Announcement):
        return f"{value.upstream_id} {value.state} sequence={value.sequence}"
    if not dataclasses.is_dataclass(value):
        return f"{value:.3f}" if isinstance(value, float) else str(value)
    parts = [
        f"{field.name}={format_value(getattr(value, field.name))[:MAX_FIELD_LENGTH]}"
        for field in dataclasses.fields(value)
        if field.name not in ("holder", "body_sha256")
        and getattr(value, field.name) != field.default
        and getattr(value, field.name) not in ((), {}, "")
    ]
    return f"{type(value).__name__}({', '.join(parts)})"


def format_action(item):
    return (
        f"to {item.to}: {format_value(item.message)}"
        if isinstance(item, node.Send)
        else format_value(item)
    )


def is_left_out(item):
    return isinstance(getattr(item, "message", item), LEFT_OUT)


def render(simulation, start):
    lines = []
    for at, entry_id, event, actions in simulation.seen:
        shown = [item for item in actions if not is_left_out(item)]
        if is_left_out(event) or (isinstance(event, node.TimeDue) and not shown):
            continue
        received = isinstance(event, node.MessageReceived)
        came = (
            f"from {event.sender}: {format_value(event.message)}"
            if received
            else format_value(event)
        )
        lines.append(f"{at - start:7.3f} {entry_id} < {came}")
        lines += [f"           > {format_action(item)}" for item in shown]
    return "\n".join(lines) + "\n"


def chat(simulation):
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.run(0.05)
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    simulation.run(0.2)
    ended = entry_types.AttemptEnded("r1.1", Result.COMPLETE, 200, 12, relayed=True)
    simulation.post("e1", ended)


def not_repeatable_call_with_duplicate(simulation):
    simulation.post("e1", entry_harness.hold("r1", "key-1"))
    simulation.run(0.05)
    simulation.post("e2", entry_harness.hold("r2", "key-1"))
    simulation.run(0.2)
    answer = claim.StoredAnswer(201, "application/json", b'{"held":1}')
    ended = entry_types.AttemptEnded("r1.1", Result.COMPLETE, 201, relayed=True, answer=answer)
    simulation.post("e1", ended)
    simulation.run(0.5)


def preemption_and_resumption(simulation):
    for number in (1, 2):
        simulation.post("e1", entry_harness.chat(f"long{number}", model="long"))
    simulation.run(0.05)
    for number in (1, 2):
        simulation.post("e1", entry_types.AttemptStarted(f"long{number}.1"))
    simulation.post("e2", entry_harness.chat("quick"))
    simulation.run(0.01)
    paused = simulation.pop_actions(entry_types.CancelAttempt)[0].attempt_id
    ended = entry_types.AttemptEnded(paused, Result.BROKEN, 200, 7, relayed=True, resumable=True)
    simulation.post("e1", ended)
    simulation.run(0.05)
    simulation.post(
        "e2", entry_types.AttemptEnded("quick.1", Result.COMPLETE, 200, 3, relayed=True)
    )
    simulation.run(0.05)
    done = entry_types.AttemptEnded(
        paused.replace(".1", ".2"), Result.COMPLETE, 200, 20, relayed=True
    )
    simulation.post("e1", done)
    simulation.run(0.05)


def engine_lost_in_a_stream(simulation):
    simulation.announce("e2", "u2")
    simulation.run(0.05)
    simulation.post("e1", entry_harness.chat("r1"))
    simulation.run(0.05)
    simulation.post("e1", entry_types.AttemptStarted("r1.1"))
    cut = entry_types.AttemptEnded(
        "r1.1", Result.BROKEN, 200, 5, relayed=True, resumable=True, error="connection reset"
    )
    simulation.post("e1", cut)
    simulation.run(0.05)
    cut = entry_types.AttemptEnded("r1.2", Result.BROKEN, 200, 8, relayed=True, error="reset")
    simulation.post("e1", cut)
    simulation.run(0.05)


@pytest.mark.parametrize(
    "session",
    [chat, not_repeatable_call_with_duplicate, preemption_and_resumption, engine_lost_in_a_stream],
)
def test_a_session_equals_its_golden_file(session):
    simulation = entry_harness.EntrySimulation(("e1", "e2"))
    simulation.announce("e1", "u1")
    simulation.announce("e1", "d1", app="desk")
    simulation.run(0.05)
    simulation.records_events = True
    start = simulation.now
    session(simulation)
    file = FOLDER / f"entry_{session.__name__}.txt"
    got = render(simulation, start)
    if os.environ.get("MEDLAR_REGENERATE_GOLDEN") == "1":
        FOLDER.mkdir(exist_ok=True)
        file.write_text(got)
    assert got == file.read_text()
