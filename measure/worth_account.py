"""Print where the worth of a played day was lost, from its report and the processes' logs.

Run as ``python -m measure.worth_account REPORT [LOG]``: REPORT is the JSON file that a play wrote,
LOG what its processes wrote, with the simulated time before each line. The first table splits what
is missing to 1 among the parts of the score and its prices, the second tells for each two seconds
and route what the entry hosts' own lines say of requests that were not answered on time.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import re
import sys
from collections.abc import Iterable, Iterator

import msgspec

_WINDOW_S = 2.0
_LEAST_LOSS = 0.0005
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
_LATE_FIRST_MS = 400.0
_LATE_PAUSE_MS = 300.0
_MOST_ROWS = 40


class _Report(msgspec.Struct, frozen=True):
    """Decode what is needed of a report: parts and prices are name, weight or amount, value."""

    worth: float = msgspec.field(name="G")
    parts: tuple[tuple[str, float, float], ...]
    prices: tuple[tuple[str, float, float], ...]
    unserved_by: tuple[tuple[str, int, tuple[str, ...]], ...] = ()


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
        msgspec.MsgspecError: The report can't be read.
    """
    report = msgspec.json.decode(data, type=_Report)
    rows = [Loss(name, weight * (1.0 - value)) for name, weight, value in report.parts]
    rows += [Loss(f"price: {name}", worth) for name, _, worth in report.prices]
    dear = [row for row in rows if abs(row.worth) >= _LEAST_LOSS]
    return tuple(sorted(dear, key=lambda row: -row.worth))


def endings(lines: Iterable[str]) -> Iterator[Ending]:
    """Yield the requests in a log that were refused, failed, left or were late."""
    for line in lines:
        if " event=request " not in line:
            continue
        fields = {name: value.strip('"') for name, value in _FIELD.findall(line)}
        reason = _reason(fields)
        if reason:
            began_at = float(line.split(maxsplit=1)[0]) - float(fields["took_ms"]) / 1000.0
            window_s = began_at // _WINDOW_S * _WINDOW_S
            yield Ending(window_s, fields["route"], reason)


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
    for last, count, _ in msgspec.json.decode(data, type=_Report).unserved_by:
        print(f"{count:8d}  not served, last try: {last}")
    for log in logs:
        with log.open() as lines:
            counted = collections.Counter(endings(lines))
        for ending, count in counted.most_common(_MOST_ROWS):
            print(f"{count:8d}  from {ending.window_s:g} s  {ending.route}  {ending.reason}")


if __name__ == "__main__":
    main(sys.argv[1:])
