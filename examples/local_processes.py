"""Start, watch and stop the system's programs on this machine, for the demo and for tests."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator, Sequence

_WAIT_LIMIT_S = 60.0
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Program:
    """Name one process: the command to run, its arguments and where its log goes."""

    name: str
    command: str
    arguments: tuple[str, ...]
    log: pathlib.Path


class LocalProcesses:
    """Own a set of processes by name; every one started here is ended here."""

    def __init__(self) -> None:
        """Start with no process."""
        self._program_by_name: dict[str, Program] = {}
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, program: Program) -> None:
        """Start a program, appending its standard error to its log."""
        self._program_by_name[program.name] = program
        with program.log.open("ab") as log:
            self._process_by_name[program.name] = subprocess.Popen(
                [installed(program.command), *program.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def restart(self, name: str) -> None:
        """Start a program again after it ended."""
        self.start(self._program_by_name[name])

    def names(self) -> tuple[str, ...]:
        """Return the names of all programs started so far."""
        return tuple(self._process_by_name)

    def pid(self, name: str) -> int:
        """Return the process id of a program."""
        return self._process_by_name[name].pid

    def running(self, name: str) -> bool:
        """Return whether a program is running."""
        return self._process_by_name[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program."""
        self._process_by_name[name].send_signal(number)

    def wait(self, name: str, limit_s: float = _WAIT_LIMIT_S) -> int:
        """Wait until a program ends and return its exit status."""
        return self._process_by_name[name].wait(limit_s)

    def stop(self, names: Sequence[str], limit_s: float = _WAIT_LIMIT_S) -> dict[str, int]:
        """Ask programs to stop gracefully and return their exit statuses by name."""
        for name in names:
            if self.running(name):
                self.signal(name, signal.SIGTERM)
        return {name: self.wait(name, limit_s) for name in names}

    def kill(self, name: str) -> None:
        """End a program at once, as a host failure would."""
        self.signal(name, signal.SIGKILL)
        self.wait(name)

    def close(self) -> None:
        """Kill whatever still runs."""
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.kill()
                process.wait()


@contextlib.contextmanager
def local_processes() -> Iterator[LocalProcesses]:
    """Yield a set of processes and end them all afterwards."""
    processes = LocalProcesses()
    try:
        yield processes
    finally:
        processes.close()


def installed(command: str) -> str:
    """Return the path of one of the package's commands, as installed beside the interpreter."""
    return str(pathlib.Path(sys.executable).parent / command)


def free_port() -> int:
    """Return a TCP port of the loopback interface that nobody listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition: Callable[[], bool], what: str, limit_s: float = _WAIT_LIMIT_S) -> None:
    """Poll a condition until it holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {limit_s} s")
        time.sleep(_POLL_S)


def answers(url: str) -> bool:
    """Return whether an HTTP GET succeeds."""
    try:
        with urllib.request.urlopen(url, timeout=2.0) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory in bytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def processor_seconds(pid: int) -> float:
    """Return the processor time a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
