"""Report of a load run: a summary for each class, as a table or as JSON."""

from __future__ import annotations

import collections
import dataclasses
import statistics

from medlarfork import request
from medlarfork.load import _load_caller, _load_experiment, _load_request

_PERCENTILES = (50, 95, 99)


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of a time, in seconds; None if there are no values."""

    p50: float | None = None
    p95: float | None = None
    p99: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClassReport:
    """Summary of one class.

    Attributes:
        name: Name of the class.
        sent: Requests started.
        completed: Requests with a complete response.
        not_run: Requests that did not run in their last attempt.
        may_have_run: Requests with an unknown outcome.
        errors: Those of ``may_have_run`` that had no HTTP status, such as after a reset.
        unfinished: Requests still in progress when the run ended.
        skipped: Arrivals that were not sent because too many requests were in progress.
        retries: Attempts beyond the first ones.
        attainment: Share of the requests sent that were completed correctly within all targets.
        goodput_per_s: Correct responses within all targets, per second of arrivals.
        wasted_tokens: Tokens received in incomplete responses.
        cut: Responses that looked complete but lack their end.
        foreign: Complete responses that belong to something else.
        doubled: Calls that were executed more than once though not repeatable.
        first_byte: Time to the first byte of completed responses.
        whole: Time to the end of completed responses.
    """

    name: str
    sent: int
    completed: int
    not_run: int
    may_have_run: int
    errors: int
    unfinished: int
    skipped: int
    retries: int
    attainment: float
    goodput_per_s: float
    wasted_tokens: int
    cut: int
    foreign: int
    doubled: int
    first_byte: Percentiles
    whole: Percentiles


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of a run.

    Attributes:
        seed: Seed of the run.
        duration_s: How long requests arrived, in seconds.
        latest_s: Maximum delay of a request because this process was busy, in seconds.
        classes: A report for each class.
    """

    seed: int
    duration_s: float
    latest_s: float
    classes: tuple[ClassReport, ...]

    @property
    def passed(self) -> bool:
        """Return whether the run completed and every complete response was correct."""
        return not any(
            item.cut or item.foreign or item.doubled or item.unfinished or item.skipped
            for item in self.classes
        )


class ClassTally:
    """Results of one class, collected during the run.

    Attributes:
        sent: Requests started.
        skipped: Arrivals that were not sent.
    """

    def __init__(self, load_class: _load_experiment.LoadClass) -> None:
        """Start empty."""
        self.sent = 0
        self.skipped = 0
        self._class = load_class
        self._finished = 0
        self._good_count = 0
        self._retries = 0
        self._wasted_tokens = 0
        self._errors = 0
        self._by_outcome: collections.Counter[request.Outcome] = collections.Counter()
        self._by_verdict: collections.Counter[_load_request.Verdict] = collections.Counter()
        self._first_byte_s: list[float] = []
        self._whole_s: list[float] = []

    def add(self, result: _load_caller.Result) -> None:
        """Count one result."""
        last = result.last
        self._finished += 1
        self._retries += result.retries
        self._wasted_tokens += result.wasted_tokens
        self._by_outcome[last.outcome] += 1
        if last.outcome is request.Outcome.MAY_HAVE_RUN and last.status == 0:
            self._errors += 1
        if last.verdict is None:
            return
        self._by_verdict[last.verdict] += 1
        self._whole_s.append(result.whole_s)
        if result.first_byte_s is not None:
            self._first_byte_s.append(result.first_byte_s)
        if last.verdict is _load_request.Verdict.OWN and self._meets_targets(result):
            self._good_count += 1

    def report(self, duration_s: float) -> ClassReport:
        """Return the summary of the results."""
        return ClassReport(
            name=self._class.name,
            sent=self.sent,
            completed=self._by_outcome[request.Outcome.COMPLETED],
            not_run=self._by_outcome[request.Outcome.NOT_RUN],
            may_have_run=self._by_outcome[request.Outcome.MAY_HAVE_RUN],
            errors=self._errors,
            unfinished=self.sent - self._finished,
            skipped=self.skipped,
            retries=self._retries,
            attainment=self._good_count / self.sent if self.sent else 1.0,
            goodput_per_s=self._good_count / duration_s,
            wasted_tokens=self._wasted_tokens,
            cut=self._by_verdict[_load_request.Verdict.CUT],
            foreign=self._by_verdict[_load_request.Verdict.FOREIGN],
            doubled=self._by_verdict[_load_request.Verdict.DOUBLED],
            first_byte=percentiles(self._first_byte_s),
            whole=percentiles(self._whole_s),
        )

    def _meets_targets(self, result: _load_caller.Result) -> bool:
        first_s, whole_s = self._class.first_token_target_s, self._class.whole_target_s
        if first_s is not None and (result.first_byte_s is None or result.first_byte_s > first_s):
            return False
        return whole_s is None or result.whole_s <= whole_s


def percentiles(values: list[float]) -> Percentiles:
    """Return the percentiles of some times."""
    if not values:
        return Percentiles()
    if len(values) == 1:
        return Percentiles(*values * len(_PERCENTILES))
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return Percentiles(*(cuts[percent - 1] for percent in _PERCENTILES))


def render(report: LoadReport) -> str:
    """Return the report as a table."""
    head = (
        "class sent completed not_run may_have_run errors unfinished skipped retries attainment"
        " goodput/s wasted_tokens cut foreign doubled"
        " first_p50 first_p95 first_p99 whole_p50 whole_p95 whole_p99"
    )
    rows = [head.split()] + [_row(item) for item in report.classes]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = ["  ".join(_pad(row, widths)) for row in rows]
    lines.append(
        f"seed={report.seed} duration_s={report.duration_s:g} latest_s={report.latest_s:.3f}"
    )
    return "\n".join(lines)


def _row(item: ClassReport) -> list[str]:
    counts = (
        *(item.sent, item.completed, item.not_run, item.may_have_run, item.errors),
        *(item.unfinished, item.skipped, item.retries),
    )
    checks = (item.wasted_tokens, item.cut, item.foreign, item.doubled)
    times = (
        *(item.first_byte.p50, item.first_byte.p95, item.first_byte.p99),
        *(item.whole.p50, item.whole.p95, item.whole.p99),
    )
    return [
        item.name,
        *(str(count) for count in counts),
        f"{item.attainment:.3f}",
        f"{item.goodput_per_s:.2f}",
        *(str(count) for count in checks),
        *("-" if time_s is None else f"{time_s:.3f}" for time_s in times),
    ]


def _pad(row: list[str], widths: list[int]) -> list[str]:
    first, *others = [cell.rjust(width) for cell, width in zip(row, widths, strict=True)]
    return [first.strip().ljust(widths[0]), *others]
