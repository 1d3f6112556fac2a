"""Command-line parser of ``medlarctl``."""

from __future__ import annotations

import dataclasses
import os
import pathlib
from collections.abc import Sequence

from absl import flags

from medlarfork.operator import _ctl_types
from medlarfork.settings import settings

PROGRAM = "medlarctl"


class HelpRequested(Exception):
    """Signal that the command line requests help; carries the help text."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Command:
    """One subcommand.

    Attributes:
        words: The words that select it.
        arguments: Names of its arguments.
        method: Name of the method of ``_ctl_commands.Commands``.
        summary: Text for the help.
        needs_control: Whether it needs addresses of control hosts.
    """

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    method: str
    summary: str
    needs_control: bool = True

    def usage(self) -> str:
        """Return the usage line of the command."""
        return " ".join((*self.words, *self.arguments))


_COMMANDS = (
    _Command(("check",), ("FILE",), "check", "check a configuration file", False),
    _Command(("apply",), ("FILE",), "apply", "put a configuration file in force"),
    _Command(("fetch",), (), "fetch", "print the current configuration as a file"),
    _Command(("diff",), ("FILE",), "diff", "show what applying a file would change"),
    _Command(("history",), (), "history", "list the accepted changes"),
    _Command(("status",), (), "status", "show the status of the control hosts"),
    _Command(("members",), (), "members", "list the entry hosts"),
    _Command(("explain",), (), "explain", "show where a request would go, and why", False),
    _Command(("drain",), ("upstream|entry", "ID"), "drain", "stop sending it new work"),
    _Command(("undrain",), ("upstream|entry", "ID"), "undrain", "end a drain"),
    _Command(("new-id",), (), "new_id", "print a new id for --change_id", False),
    _Command(("hash-key",), (), "hash_key", "print the digest of the key on input", False),
    _Command(("keygen",), ("FOLDER", "NAME"), "keygen", "generate a process's link keys", False),
    _Command(("orders", "list"), (), "orders_list", "list the orders to engines"),
    _Command(
        ("orders", "issue"), ("FILE",), "orders_issue", "declare the desired state of engines"
    ),
    _Command(("voters", "add"), ("ID",), "voters_add", "add a control replica"),
    _Command(("voters", "remove"), ("ID",), "voters_remove", "remove a control replica"),
)


def parse(arguments: Sequence[str]) -> _ctl_types.Request:
    """Return the parsed command line.

    Raises:
        HelpRequested: The command line requests help.
        flags.Error: A flag is unknown or malformed.
        errors.MedlarError: The command, its arguments or the settings file have mistakes.
    """
    values = _define()
    words = values(list(arguments))[1:]
    if values["help"].value or words[:1] == ["help"]:
        raise HelpRequested(_help(values))
    command = _find(words)
    chosen = _settings(values)
    if command.needs_control and not chosen.control:
        raise _ctl_types.UsageError(
            f"{' '.join(command.words)} needs the addresses of the control hosts.",
            remedy="Give --control=http://IP:PORT,... or --settings=FILE.",
        )
    return _ctl_types.Request(
        command=command.method,
        arguments=tuple(words[len(command.words) :]),
        settings=chosen,
        **{name: values[name].value for name in _REQUEST_FLAGS},
    )


_REQUEST_FLAGS = (
    "wait",
    "change_id",
    "base_revision",
    "account",
    "model",
    "path",
    "method",
    "stream",
    "labels",
)


def _define() -> flags.FlagValues:
    """Return new flag definitions, so that repeated parsing in one process shares no state."""
    values = flags.FlagValues()
    # Allow flags after the command.
    values.set_gnu_getopt(True)
    common = {"flag_values": values}
    flags.DEFINE_bool("help", False, "show this text", short_name="h", **common)
    flags.DEFINE_string("settings", None, "TOML file with the settings below", **common)
    flags.DEFINE_list("control", None, "addresses of the control hosts", **common)
    flags.DEFINE_list("entry", None, "addresses of entry hosts, for explain", **common)
    flags.DEFINE_string("operator", None, "your name, for the history", **common)
    flags.DEFINE_string("operator_key_file", None, "file that holds your key", **common)
    flags.DEFINE_enum("output", None, ["text", "json"], "output format", **common)
    flags.DEFINE_float("patience_s", None, "seconds to look for a leader", **common)
    flags.DEFINE_float("wait_s", None, "seconds that --wait waits at most", **common)
    flags.DEFINE_bool("wait", False, "return once the change is in force", **common)
    flags.DEFINE_string("change_id", "", "id of the change, to retry it safely", **common)
    flags.DEFINE_integer("base_revision", None, "revision that the change is based on", **common)
    flags.DEFINE_string("account", "", "explain: client account", **common)
    flags.DEFINE_string("model", "", "explain: requested model", **common)
    flags.DEFINE_string("path", "", "explain: requested path, /services/...", **common)
    flags.DEFINE_string("method", "", "explain: HTTP method", **common)
    flags.DEFINE_bool("stream", False, "explain: whether a stream is requested", **common)
    flags.DEFINE_string("labels", "", "explain: caller's labels, k=v,k2=v2", **common)
    return values


def _find(words: list[str]) -> _Command:
    for command in _COMMANDS:
        if tuple(words[: len(command.words)]) != command.words:
            continue
        if len(words) != len(command.words) + len(command.arguments):
            raise _ctl_types.UsageError(
                f"{' '.join(words)!r} has the wrong number of arguments.",
                remedy=f"Write {PROGRAM} {command.usage()}.",
            )
        return command
    typed = " ".join(words)
    raise _ctl_types.UsageError(
        f"There is no command {typed!r}." if typed else "No command is given.",
        remedy="Use one of " + ", ".join(" ".join(item.words) for item in _COMMANDS) + ".",
    )


def _settings(values: flags.FlagValues) -> _ctl_types.CtlSettings:
    chosen = _ctl_types.CtlSettings(operator=os.environ.get("USER", ""))
    if values["settings"].value:
        chosen = settings.load(pathlib.Path(values["settings"].value), _ctl_types.CtlSettings)
    overrides = {
        field.name: values[field.name].value
        for field in dataclasses.fields(_ctl_types.CtlSettings)
        if values[field.name].value is not None
    }
    for name in ("control", "entry"):
        if name in overrides:
            overrides[name] = tuple(overrides[name])
    if "operator_key_file" in overrides:
        overrides["operator_key_file"] = pathlib.Path(overrides["operator_key_file"])
    if "output" in overrides:
        overrides["output"] = _ctl_types.OutputFormat(overrides["output"])
    return dataclasses.replace(chosen, **overrides)


def _help(values: flags.FlagValues) -> str:
    width = max(len(command.usage()) for command in _COMMANDS)
    commands = "\n".join(f"  {item.usage().ljust(width)}  {item.summary}" for item in _COMMANDS)
    options = "\n".join(
        f"  --{name.ljust(width - 2)}  {values[name].help}" for name in values if len(name) > 1
    )
    numbered = "\n".join(f"  {item.value}  {item.meaning}" for item in _ctl_types.ExitStatus)
    return (
        f"usage: {PROGRAM} [flags] COMMAND\n\ncommands:\n{commands}\n\nflags:\n{options}"
        f"\n\nexit status:\n{numbered}"
    )
