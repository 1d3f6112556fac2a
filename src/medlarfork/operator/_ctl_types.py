"""Types shared by the modules of ``medlarctl``."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
from collections.abc import Callable
from typing import Any

from medlarfork import errors
from medlarfork.settings import program_exit, settings


class ExitStatus(enum.IntEnum):
    """Exit status of ``medlarctl``."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = program_exit.USAGE_STATUS
    UNREACHABLE = 3
    NOT_IN_FORCE = 4

    @property
    def meaning(self) -> str:
        """Return the description of the status for the help text."""
        match self:
            case ExitStatus.OK:
                return "it was done"
            case ExitStatus.REFUSED:
                return "it was refused, or another operator's change came first"
            case ExitStatus.BAD_INPUT:
                return "the command line or a file has mistakes; nothing was sent"
            case ExitStatus.UNREACHABLE:
                return "no leader or host answered in time"
            case ExitStatus.NOT_IN_FORCE:
                return "the change was accepted and is not in force everywhere yet"


class UsageError(errors.MedlarError):
    """A command line with mistakes."""


class OutputFormat(enum.StrEnum):
    """Format of the output."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class CtlSettings:
    """Settings of ``medlarctl``; flags of the same names override them.

    Attributes:
        control: Base addresses of the control hosts, ``http://IP:PORT``.
        entry: Base addresses of entry hosts, for ``explain``.
        operator: Name of the operator for the history of changes.
        operator_key_file: File that holds the operator's key.
        output: Output format.
        patience_s: Timeout for finding a leader, in seconds.
        wait_s: Timeout of ``--wait``, in seconds.
    """

    control: tuple[str, ...] = ()
    entry: tuple[str, ...] = ()
    operator: str = ""
    operator_key_file: pathlib.Path | None = None
    output: OutputFormat = OutputFormat.TEXT
    patience_s: float = settings.bounded(15.0, minimum=0, maximum=600)
    wait_s: float = settings.bounded(30.0, minimum=0, maximum=3600)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One parsed command line.

    Attributes:
        command: Name of the subcommand.
        arguments: Arguments of the subcommand.
        settings: Settings with flags applied.
        wait: Whether to wait until a change is in force.
        change_id: Id of the change; empty to generate one.
        base_revision: Revision that the change is based on; None for that of the file, or
            the current one.
        account: For ``explain``, like the five fields after it.
    """

    command: str
    arguments: tuple[str, ...]
    settings: CtlSettings
    wait: bool = False
    change_id: str = ""
    base_revision: int | None = None
    account: str = ""
    model: str = ""
    path: str = ""
    method: str = ""
    stream: bool = False
    labels: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a command.

    Attributes:
        reply: Output of ``--output=json``.
        text: Output of ``--output=text``.
        status: Exit status.
    """

    reply: Any
    text: str
    status: ExitStatus = ExitStatus.OK


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Input, output, clock and randomness that commands use.

    Attributes:
        read_input: Reads standard input.
        print_stderr: Prints a line to standard error and flushes it.
        time_ms: Returns Unix milliseconds.
        random_bytes: Returns the given number of random bytes.
    """

    read_input: Callable[[], str]
    print_stderr: Callable[[str], None]
    time_ms: Callable[[], int]
    random_bytes: Callable[[int], bytes]
