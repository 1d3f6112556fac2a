"""Open-loop load generator: requests arrive whether or not earlier ones are finished."""

from __future__ import annotations

import pathlib
import sys
import time

import curio
import msgspec
from absl import flags

from medlarfork import timeouts
from medlarfork.http import http_client
from medlarfork.load import (
    _load_arrivals,
    _load_caller,
    _load_directory,
    _load_experiment,
    _load_report,
    _load_request,
)
from medlarfork.settings import program_exit, settings

PROGRAM = "medlar-load"
"""Name of the program."""

FAILED_STATUS = 1
"""Exit status if the run did not complete or a complete response was wrong."""

_MAX_CONNECTIONS = 100_000
"""Maximum number of connections, so large that a load run never waits for one."""


class LoadProgram:
    """Run of one experiment."""

    def __init__(self, experiment: _load_experiment.Experiment) -> None:
        """Create the components of the run."""
        self._experiment = experiment
        limits = http_client.ClientLimits(connections=_MAX_CONNECTIONS)
        self._client = http_client.HttpClient(limits=limits)
        directory = _load_directory.LoadDirectory(
            self._client, experiment.entries, data_centre=experiment.data_centre
        )
        self._caller = _load_caller.LoadCaller(self._client, directory, experiment)
        self._tallies = [_load_report.ClassTally(item) for item in experiment.classes]
        self._outstanding = 0
        self._all_finished = curio.Event()
        self._latest_s = 0.0

    async def run(self) -> _load_report.LoadReport:
        """Send all requests, wait for their responses and return the report."""
        await self._client.start()
        started_at = time.monotonic()
        async with curio.TaskGroup() as group:
            for load_class, tally in zip(self._experiment.classes, self._tallies, strict=True):
                await group.spawn(self._send_class, load_class, tally, started_at)
        await self._wait_for_responses()
        report = self._report()
        await self._client.close()
        return report

    def _report(self) -> _load_report.LoadReport:
        duration_s = self._experiment.duration_s
        return _load_report.LoadReport(
            self._experiment.seed,
            duration_s,
            self._latest_s,
            tuple(tally.report(duration_s) for tally in self._tallies),
        )

    async def _send_class(
        self,
        load_class: _load_experiment.LoadClass,
        tally: _load_report.ClassTally,
        started_at: float,
    ) -> None:
        arrivals = _load_arrivals.arrivals(
            load_class, seed=self._experiment.seed, duration_s=self._experiment.duration_s
        )
        for arrival in arrivals:
            due_at = started_at + arrival.at_s
            await curio.sleep(max(0.0, due_at - time.monotonic()))
            self._latest_s = max(self._latest_s, time.monotonic() - due_at)
            if self._outstanding >= self._experiment.outstanding_limit:
                tally.skipped += 1
                continue
            tally.sent += 1
            self._outstanding += 1
            await curio.spawn(self._send_one, load_class, tally, arrival, due_at, daemon=True)

    async def _send_one(
        self,
        load_class: _load_experiment.LoadClass,
        tally: _load_report.ClassTally,
        arrival: _load_arrivals.Arrival,
        due_at: float,
    ) -> None:
        request = _load_request.build(
            load_class,
            arrival,
            seed=self._experiment.seed,
            time_ms=time.time_ns() // 1_000_000,
        )
        result = await self._caller.send(request, due_at=due_at, timeout_s=load_class.timeout_s)
        tally.add(result)
        self._outstanding -= 1
        if not self._outstanding:
            await self._all_finished.set()

    async def _wait_for_responses(self) -> None:
        deadline_at = time.monotonic() + self._experiment.drain_s
        while self._outstanding and time.monotonic() < deadline_at:
            self._all_finished.clear()
            await timeouts.call_until(deadline_at - time.monotonic(), self._all_finished.wait)


def run() -> None:
    """Run the program: ``medlar-load EXPERIMENT.toml [--json]``."""
    values = flags.FlagValues()
    flags.DEFINE_bool("json", False, "Print the report as JSON.", values)
    with program_exit.exit_on_error():
        path = _experiment_path(values)
        experiment = settings.load(path, _load_experiment.Experiment)
        _load_experiment.check(experiment)
    report = curio.run(LoadProgram(experiment).run)
    if values["json"].value:
        print(msgspec.json.format(msgspec.json.encode(report), indent=2).decode())
    else:
        print(_load_report.render(report))
    raise SystemExit(0 if report.passed else FAILED_STATUS)


def _experiment_path(values: flags.FlagValues) -> pathlib.Path:
    try:
        arguments = values(sys.argv)
    except flags.Error as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        raise SystemExit(program_exit.USAGE_STATUS) from error
    if len(arguments) != 2:
        print(f"usage: {PROGRAM} EXPERIMENT.toml [--json]", file=sys.stderr)
        raise SystemExit(program_exit.USAGE_STATUS)
    return pathlib.Path(arguments[1])
