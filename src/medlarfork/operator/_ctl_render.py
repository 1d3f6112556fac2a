"""Render control's replies as text."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from medlarfork.operator import operations

_EMPTY = "-"

_PROBLEM_WIDTH = 40
"""Maximum width of the column that shows connection problems, in characters."""

_AHEAD_REMEDY = (
    "Revisions of an earlier log are no part of this one. Restart these entry hosts, one after "
    "the other."
)


_STATUS_HEADINGS = (
    *("CONTROL", "ID", "ROLE", "TERM", "LEASE", "COMMITTED", "REVISION", "CLAIMS"),
    "PROBLEM",
)
"""Columns of the table of control hosts; the last is shown only if a host did not answer."""


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a plain-text table with aligned columns."""
    cells = [[str(heading) for heading in headings]]
    cells += [[str(cell) if cell != "" else _EMPTY for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def history(reply: operations.HistoryReply) -> str:
    """Return the table of accepted changes, newest first."""
    return table(
        ("REVISION", "ACCEPTED", "OPERATOR", "FROM", "CHANGE"),
        (
            (
                change.revision,
                utc(change.accepted_at_ms),
                change.operator,
                change.base_revision,
                change.change_id,
            )
            for change in reply.changes
        ),
    )


def members(statuses: Sequence[operations.MemberStatus], current: int) -> str:
    """Return the table of entry hosts with their confirmed revisions.

    Args:
        statuses: The entry hosts.
        current: Control's current revision.
    """
    ahead = [item.member.entry_id for item in statuses if item.revision > current]
    listed = table(
        ("ENTRY", "STATE", "DATA CENTRE", "REVISION", "LOAD", "ADDRESS"),
        (
            (
                status.member.entry_id,
                status.member.state.value,
                status.member.data_centre,
                _confirmed(status, current),
                f"{status.member.load:.2f}",
                status.member.http_address,
            )
            for status in statuses
        ),
    )
    return "\n".join((listed, *_ahead(ahead)))


def statuses(
    reply_by_address: Mapping[str, operations.StatusReply], problem_by_address: Mapping[str, str]
) -> str:
    """Return the status of the control hosts, and the entry hosts that the leader knows."""
    rows: list[tuple[Any, ...]] = []
    for address, reply in reply_by_address.items():
        lease = "yes" if reply.has_lease else "no"
        rows.append(
            (
                address,
                reply.replica_id,
                reply.role,
                reply.term,
                lease,
                reply.commit_index,
                reply.revision,
                reply.claims,
                _EMPTY,
            )
        )
    rows += [
        (address, *[_EMPTY] * 7, _short_problem(problem, address))
        for address, problem in problem_by_address.items()
    ]
    shown = len(_STATUS_HEADINGS) - (0 if problem_by_address else 1)
    parts = [table(_STATUS_HEADINGS[:shown], [row[:shown] for row in rows])]
    for reply in reply_by_address.values():
        if reply.has_lease:
            parts.append(f"voters: {', '.join(reply.voters)}")
            parts.append(f"learners: {', '.join(reply.learners) or 'none'}")
            parts.append(members(reply.members, reply.revision))
            break
    return "\n".join(parts)


def in_force(reply: operations.InForceReply) -> str:
    """Return at which entry hosts a revision is in force, and at which it is not yet."""
    lines = [f"revision {reply.revision} is in force at: {_names(reply.confirmed)}"]
    if not reply.confirmed:
        # "in force at: no entry host" could be mistaken for success.
        why = "no entry host has confirmed it" if reply.waiting else "no entry host holds a lease"
        lines = [f"revision {reply.revision} is in force nowhere: {why}"]
    late = [entry_id for entry_id in reply.waiting if entry_id not in reply.ahead]
    if late:
        lines.append(f"not confirmed by: {_names(late)}")
    lines += _ahead(reply.ahead)
    if reply.lost:
        lines.append(f"out of contact, so no longer members: {_names(reply.lost)}")
    return "\n".join(lines)


def tree(value: Any, indent: int = 0) -> str:
    """Return nested data as indented lines."""
    pad = "  " * indent
    match value:
        case dict():
            return "\n".join(_entry(f"{pad}{key}:", inner, indent) for key, inner in value.items())
        case list():
            return "\n".join(_entry(f"{pad}-", inner, indent) for inner in value)
        case _:
            return f"{pad}{_scalar(value)}"


def utc(unix_ms: int) -> str:
    """Return a time formatted in UTC."""
    moment = datetime.datetime.fromtimestamp(unix_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


def _confirmed(status: operations.MemberStatus, current: int) -> str:
    if not status.heard:
        return "unheard"
    return f"{status.revision} (ahead)" if status.revision > current else str(status.revision)


def _ahead(entry_ids: Iterable[str]) -> list[str]:
    """Return the lines about entry hosts whose revision is higher than control's."""
    listed = ", ".join(entry_ids)
    return [f"holds a later revision than control has: {listed}", _AHEAD_REMEDY] if listed else []


def _short_problem(problem: str, address: str) -> str:
    """Return a problem cut to the column width, without the address that the row shows."""
    text = problem.removeprefix(f"Can't connect to {address}: ")
    return text if len(text) <= _PROBLEM_WIDTH else f"{text[: _PROBLEM_WIDTH - 3]}..."


def _entry(start: str, value: Any, indent: int) -> str:
    if isinstance(value, dict | list) and value:
        return f"{start}\n{tree(value, indent + 1)}"
    return f"{start} {_scalar(value)}"


def _scalar(value: Any) -> str:
    match value:
        case None | "" | [] | {}:
            return _EMPTY
        case bool():
            return "yes" if value else "no"
        case _:
            return str(value)


def _names(names: Iterable[str]) -> str:
    return ", ".join(names) or "no entry host"
