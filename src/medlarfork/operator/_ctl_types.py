"""Define what the parts of ``medlarctl`` hand to each other."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
from collections.abc import Callable
from typing import Any

from medlarfork import errors
from medlarfork.settings import program_exit, settings


class ExitStatus(enum.IntEnum):
    """Number the exit statuses of ``medlarctl``."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = program_exit.USAGE_STATUS
    UNREACHABLE = 3
    NOT_IN_FORCE = 4

    @property
    def meaning(self) -> str:
        """Return what the status says, for the help text."""
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
    """Report a command line that can't be carried out."""


class OutputFormat(enum.StrEnum):
    """Name the forms of what is printed."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True, slots=True)
class CtlSettings:
    """Hold the settings of ``medlarctl``; flags of the same names replace them.

    Attributes:
        control: Base addresses of the control hosts, ``http://IP:PORT``.
        entry: Base addresses of entry hosts, for ``explain``.
        operator: Name that the history shows.
        operator_key_file: File that holds the operator's key.
        output: Form of the output.
        patience_s: How long to look for a leader, in seconds.
        wait_s: How long ``apply --wait`` waits, in seconds.
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
    """Hold one command line.

    Attributes:
        command: Name of the subcommand.
        arguments: What follows it.
        settings: Settings and flags together.
        wait: Whether to wait until a change is in force.
        change_id: Id to send a change with; empty to make one.
        base_revision: Revision a change was made from; None for the current one.
        account: For ``explain``, as the five below.
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
    """Hold what a command found.

    Attributes:
        reply: What ``--output=json`` prints.
        text: What ``--output=text`` prints.
        status: The exit status.
    """

    reply: Any
    text: str
    status: ExitStatus = ExitStatus.OK


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Hand a command what it may use besides its arguments.

    Attributes:
        read_input: Reads standard input.
        print_stderr: Prints a line on standard error at once.
        time_ms: Returns Unix milliseconds.
        random_bytes: Returns so many random bytes.
    """

    read_input: Callable[[], str]
    print_stderr: Callable[[str], None]
    time_ms: Callable[[], int]
    random_bytes: Callable[[int], bytes]
