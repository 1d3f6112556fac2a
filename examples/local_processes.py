"""Start, watch and stop the system's programs on this machine, for the demo and for tests."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
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
from typing import TypeVar

_Value = TypeVar("_Value")

_WAIT_LIMIT_S = 60.0
_POLL_S = 0.05

_FIRST_PORT = 10_000
_PORTS = 22_000
"""Ports to hand out; they lie below those that the system gives to outgoing connections."""

_PORTS_PER_PROCESS = 512
"""How far apart processes with successive ids begin, so that they don't race for a port."""

_port_offsets = itertools.count(os.getpid() * _PORTS_PER_PROCESS)


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
        self._frozen: set[str] = set()

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

    def responsive(self, name: str) -> bool:
        """Return whether a program is running and not frozen."""
        return self.running(name) and name not in self._frozen

    def freeze(self, name: str) -> None:
        """Stop a program from doing anything, as a host that hangs would.

        Raises:
            ProcessLookupError: It has ended.
        """
        self._signal_and_wait(name, signal.SIGSTOP, os.WSTOPPED)
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """Let a frozen program go on.

        Raises:
            ProcessLookupError: It has ended.
        """
        self._frozen.discard(name)
        self._signal_and_wait(name, signal.SIGCONT, os.WCONTINUED)

    def _signal_and_wait(self, name: str, number: signal.Signals, change: int) -> None:
        """Send a signal and wait until the system reports its effect."""
        self.signal(name, number)
        if self.running(name):
            os.waitid(os.P_PID, self.pid(name), change | os.WEXITED | os.WNOWAIT)
        if not self.running(name):
            raise ProcessLookupError(f"{name} ended with status {self.wait(name)}")

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
                self.terminate(name)
        return {name: self.wait(name, limit_s) for name in names}

    def terminate(self, name: str) -> None:
        """Ask a program to stop gracefully, without waiting for it."""
        self.signal(name, signal.SIGTERM)

    def kill(self, name: str) -> None:
        """End a program at once, as a host failure would."""
        self.signal(name, signal.SIGKILL)
        self._frozen.discard(name)
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
    """Return a TCP port of the loopback interface that nobody listens on now.

    Raises:
        OSError: All ports are taken.
    """
    for offset in itertools.islice(_port_offsets, _PORTS):
        port = _FIRST_PORT + offset % _PORTS
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port")


def wait_until(
    condition: Callable[[], _Value], what: str, limit_s: float = _WAIT_LIMIT_S
) -> _Value:
    """Poll a condition until it holds, and return its value.

    Raises:
        TimeoutError: It did not hold in time.
    """
    end = time.monotonic() + limit_s
    while not (value := condition()):
        if time.monotonic() > end:
            raise TimeoutError(f"{what}: not within {limit_s} s")
        time.sleep(_POLL_S)
    return value


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
