"""Print where the worth of a played day was lost, from its report and the processes' logs.

Run as ``python3 -m measure.worth_account REPORT [LOG]``; any Python 3.11 will do, no library is
needed. REPORT is the JSON file that a play wrote, LOG what its processes wrote, with the simulated
time before each line. The first table splits what is missing to 1 among the parts of the score and
its prices, the second tells for each two seconds and route what the entry hosts' own lines say of
requests that were not answered on time. Requests that an owner placed for an entry host that then
ended without a line of them are rows of their own.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import pathlib
import re
import sys
from collections.abc import Iterable, Iterator
from typing import Any

_WINDOW_S = 2.0
_LEAST_LOSS = 0.0005
_TELLING = re.compile(r" event=(request|placed|started) ")
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
_LATE_FIRST_MS = 400.0
_LATE_PAUSE_MS = 300.0
_MOST_ROWS = 40


HOST_ENDED = "its entry host ended"
"""Reason of a request of which its entry host wrote no line."""

NO_ROUTE = "any route"
"""Stands for the route of a request that only its placement tells of."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Hold one row: what cost how much of the day's worth."""

    what: str
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """Hold how one request ended that was not answered on time, as its entry host saw it."""

    window_s: float
    route: str
    reason: str


def losses(data: bytes) -> tuple[Loss, ...]:
    """Return what a report's day lost, the dearest first.

    Raises:
        ValueError: The report can't be read.
    """
    report = _read(data)
    rows = [Loss(name, weight * (1.0 - value)) for name, weight, value in report["parts"]]
    rows += [Loss(f"price: {name}", worth) for name, _, worth in report["prices"]]
    dear = [row for row in rows if abs(row.worth) >= _LEAST_LOSS]
    return tuple(sorted(dear, key=lambda row: -row.worth))


def _read(data: bytes) -> dict[str, Any]:
    """Return a report: parts and prices are lists of name, weight or amount, and value."""
    report = json.loads(data)
    if not isinstance(report, dict) or not {"parts", "prices"} <= report.keys():
        raise ValueError("not a report of a play: it has no parts and prices")
    return report


def endings(lines: Iterable[str]) -> Iterator[Ending]:
    """Yield the requests in a log that were refused, failed, left or were late."""
    placed_at_by_ticket: dict[str, float] = {}
    logged_hosts: set[str] = set()
    for line in lines:
        if not _TELLING.search(line):
            continue
        at = float(line.split(maxsplit=1)[0])
        fields = {name: value.strip('"') for name, value in _FIELD.findall(line)}
        match fields["event"]:
            case "started" if "entry" in fields:
                logged_hosts.add(fields["entry"])
            case "placed":
                placed_at_by_ticket[fields["ticket"]] = at
            case "request":
                for ticket in fields.get("tickets", "").split(","):
                    placed_at_by_ticket.pop(ticket, None)
                reason = _reason(fields)
                if reason:
                    began_at = at - float(fields["took_ms"]) / 1000.0
                    yield Ending(_window(began_at), fields["route"], reason)
    for ticket, at in placed_at_by_ticket.items():
        # A ticket begins with the entry host's name; of hosts that are not in the log nothing is
        # known.
        if ticket.partition("-")[0] in logged_hosts:
            yield Ending(_window(at), NO_ROUTE, HOST_ENDED)


def _window(at: float) -> float:
    return at // _WINDOW_S * _WINDOW_S


def _reason(fields: dict[str, str]) -> str:
    if fields["result"] != "answered" or not fields["status"].startswith("2"):
        return f"{fields['result']} {fields['status']}"
    late = []
    if float(fields["first_ms"]) > _LATE_FIRST_MS:
        waited = float(fields["waited_ms"]) > _LATE_FIRST_MS / 2
        late.append("waited" if waited else "slow first event")
    if float(fields.get("pause_ms", 0.0)) > _LATE_PAUSE_MS:
        late.append("pause")
    return " and ".join(late)


def main(arguments: list[str]) -> None:
    """Print both tables."""
    report, *logs = (pathlib.Path(argument) for argument in arguments)
    data = report.read_bytes()
    for loss in losses(data):
        print(f"{loss.worth:8.4f}  {loss.what}")
    for last, count, _ in _read(data).get("unserved_by", ()):
        print(f"{count:8d}  not served, last try: {last}")
    for log in logs:
        with log.open() as lines:
            counted = collections.Counter(endings(lines))
        for ending, count in counted.most_common(_MOST_ROWS):
            print(f"{count:8d}  from {ending.window_s:g} s  {ending.route}  {ending.reason}")


if __name__ == "__main__":
    main(sys.argv[1:])
