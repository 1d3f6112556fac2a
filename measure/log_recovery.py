"""Measure how long a replica takes to recover its log, and how fast its disk takes appends.

Run it with ``python -m measure.log_recovery``. Recovery is timed from opening the data folder of
a single replica until every command is applied; waits for elections take no time here, as the
replica is given the time it waits for.
"""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import random
import statistics
import tempfile
import time
from typing import Any

from medlarfork import node
from medlarfork.replica import journal, replica, replica_types

LENGTHS = (100, 1_000, 10_000)
BATCH_SIZES = (1, 16, 64)
COMMAND = bytes(200)
"""A command of the size of a claim."""

NO_SNAPSHOTS = 10**9
SNAPSHOT_EVERY = 600
"""Chosen so that the longer logs end between two snapshots."""

RUNS = 3
APPENDED_SECONDS = 1.0
REPLICA_ID = "one"


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Report the median recovery time of a log."""

    commands: int
    has_snapshots: bool
    journal_bytes: int
    seconds: float
    slowest_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Appends:
    """Report how many records a second are appended and synced."""

    batch_size: int
    syncs: int
    records_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Hold everything that was measured."""

    recoveries: tuple[Recovery, ...]
    appends: tuple[Appends, ...]


class _Driver:
    """Run a single replica on a journal, without waiting."""

    def __init__(self, folder: pathlib.Path, snapshot_every_entries: int) -> None:
        self.applied = 0
        self.now = 0.0
        self._journal = journal.Journal(folder)
        self._replica = replica.Replica(
            replica_id=REPLICA_ID,
            initial_voters=replica_types.Voters((REPLICA_ID,)),
            restored=self._journal.start(),
            random=random.Random(),
            options=replica.ReplicaOptions(snapshot_every_entries=snapshot_every_entries),
        )
        self.post(node.Started())

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()

    def lead(self) -> None:
        """Let time pass until the replica leads and has applied its whole log."""
        while not self._replica.holds_lease(self.now):
            self.now += 1.0
            self.post(node.TimeDue())

    def post(self, event: Any) -> None:
        """Handle an event and everything that follows from it."""
        events = collections.deque([event])
        while events:
            for action in self._replica.handle(events.popleft(), self.now):
                events.extend(self._perform(action))

    def _perform(self, action: Any) -> tuple[Any, ...]:
        match action:
            case node.Persist(records=records, token=token):
                self._journal.append_and_sync(records)
                return (node.Synced(token),)
            case replica_types.SaveSnapshot(snapshot=snapshot, records=records, token=token):
                self._journal.save_snapshot(snapshot, records)
                return (node.Synced(token),)
            case replica_types.TakeSnapshot(index=index):
                state = self.applied.to_bytes(8, "big") + bytes(len(COMMAND) * 100)
                return (replica_types.SnapshotTaken(index, state),)
            case replica_types.RestoreSnapshot(state=state):
                self.applied = int.from_bytes(state[:8], "big")
            case replica_types.Apply():
                self.applied += 1
            case node.Wake(at=at) if at <= self.now:
                return (node.TimeDue(),)
        return ()


def measure_recovery(commands: int, *, has_snapshots: bool) -> Recovery:
    """Fill a log, then time its recovery a few times."""
    snapshot_every_entries = SNAPSHOT_EVERY if has_snapshots else NO_SNAPSHOTS
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "data"
        _fill(folder, commands, snapshot_every_entries)
        journal_bytes = (folder / journal.JOURNAL_NAME).stat().st_size
        seconds = [_recover(folder, commands, snapshot_every_entries) for _ in range(RUNS)]
    return Recovery(
        commands, has_snapshots, journal_bytes, statistics.median(seconds), max(seconds)
    )


def measure_appends(batch_size: int) -> Appends:
    """Append batches of records for a while, each with a sync."""
    with tempfile.TemporaryDirectory() as name:
        opened = journal.Journal(pathlib.Path(name) / "data")
        opened.start()
        syncs = 0
        started = time.perf_counter()
        while time.perf_counter() - started < APPENDED_SECONDS:
            opened.append_and_sync([COMMAND] * batch_size)
            syncs += 1
        took = time.perf_counter() - started
        opened.close()
    return Appends(batch_size, syncs, syncs * batch_size / took)


def main() -> Figures:
    """Measure, print the tables and return the figures."""
    recoveries = tuple(
        measure_recovery(commands, has_snapshots=has_snapshots)
        for has_snapshots in (False, True)
        for commands in LENGTHS
    )
    appends = tuple(measure_appends(batch_size) for batch_size in BATCH_SIZES)
    print(f"{'commands':>9} {'snapshots':>9} {'journal KiB':>12} {'median ms':>10} {'max ms':>8}")
    for row in recoveries:
        print(
            f"{row.commands:>9} {'yes' if row.has_snapshots else 'no':>9} "
            f"{row.journal_bytes / 1024:>12.0f} {row.seconds * 1e3:>10.1f} "
            f"{row.slowest_seconds * 1e3:>8.1f}"
        )
    print(f"{'batch':>9} {'syncs':>9} {'records/s':>12}")
    for rate in appends:
        print(f"{rate.batch_size:>9} {rate.syncs:>9} {rate.records_per_second:>12.0f}")
    return Figures(recoveries, appends)


def _fill(folder: pathlib.Path, commands: int, snapshot_every_entries: int) -> None:
    driver = _Driver(folder, snapshot_every_entries)
    driver.lead()
    for number in range(commands):
        driver.post(replica_types.Propose(f"p{number}", COMMAND))
    driver.close()
    if driver.applied != commands:
        raise RuntimeError(f"Only {driver.applied} of {commands} commands were applied.")


def _recover(folder: pathlib.Path, commands: int, snapshot_every_entries: int) -> float:
    started = time.perf_counter()
    driver = _Driver(folder, snapshot_every_entries)
    driver.lead()
    seconds = time.perf_counter() - started
    driver.close()
    if driver.applied != commands:
        raise RuntimeError(f"Only {driver.applied} of {commands} commands were recovered.")
    return seconds


if __name__ == "__main__":
    main()
