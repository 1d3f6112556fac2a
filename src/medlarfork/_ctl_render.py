"""Turn control's replies into tables for people to read."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from medlarfork import operations

_EMPTY = "-"


def table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a plain table whose columns are as wide as their widest cell."""
    cells = [[str(heading) for heading in headings]]
    cells += [[str(cell) if cell != "" else _EMPTY for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def history(reply: operations.HistoryReply) -> str:
    """Return the accepted changes, newest first."""
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


def members(statuses: Iterable[operations.MemberStatus]) -> str:
    """Return the entry hosts with the revisions they confirmed."""
    return table(
        ("ENTRY", "STATE", "DATA CENTRE", "REVISION", "LOAD", "ADDRESS"),
        (
            (
                status.member.entry_id,
                status.member.state.value,
                status.member.data_centre,
                status.revision if status.heard else "unheard",
                f"{status.member.load:.2f}",
                status.member.http_address,
            )
            for status in statuses
        ),
    )


def statuses(
    reply_by_address: Mapping[str, operations.StatusReply], problem_by_address: Mapping[str, str]
) -> str:
    """Return how the control hosts stand, and what the leader knows of the entry hosts."""
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
            )
        )
    rows += [
        (address, _EMPTY, problem, *[_EMPTY] * 5) for address, problem in problem_by_address.items()
    ]
    headings = ("CONTROL", "ID", "ROLE", "TERM", "LEASE", "COMMITTED", "REVISION", "CLAIMS")
    parts = [table(headings, rows)]
    for reply in reply_by_address.values():
        if reply.has_lease:
            parts.append(f"voters: {', '.join(reply.voters)}")
            parts.append(f"learners: {', '.join(reply.learners) or 'none'}")
            parts.append(members(reply.members))
            break
    return "\n".join(parts)


def in_force(reply: operations.InForceReply) -> str:
    """Return where a revision is in force."""
    lines = [f"revision {reply.revision} is in force at: {_names(reply.confirmed)}"]
    if reply.waiting:
        lines.append(f"not confirmed by: {_names(reply.waiting)}")
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
    """Return a time as text in UTC."""
    moment = datetime.datetime.fromtimestamp(unix_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")


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
