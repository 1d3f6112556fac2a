"""Entry point of ``medlarctl``, the operators' command line."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Sequence
from typing import Any

import curio
import msgspec
from absl import flags

from medlarfork import errors
from medlarfork.http import http_client
from medlarfork.operator import _ctl_commands, _ctl_flags, _ctl_types, operator_client

ExitStatus = _ctl_types.ExitStatus

_UNREACHABLE_CODES = frozenset({errors.Code.NOT_LEADER, errors.Code.NO_QUORUM})


def run() -> None:
    """Run the command line of this process and exit."""
    sys.exit(main(sys.argv))


def main(arguments: Sequence[str]) -> int:
    """Run a command line, starting with the program name, and return the exit status."""
    try:
        request = _ctl_flags.parse(arguments)
    except _ctl_flags.HelpRequested as help_request:
        print(help_request)
        return ExitStatus.OK
    except (flags.Error, errors.MedlarError) as error:
        print(error, file=sys.stderr)
        print(f"Run {_ctl_flags.PROGRAM} --help for the commands.", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    output = request.settings.output
    try:
        result = curio.run(_run, request)
    except errors.MedlarError as error:
        _print_error(error, output)
        return _status(error)
    print(_rendered(result, output))
    return result.status


async def _run(request: _ctl_types.Request) -> _ctl_types.Result:
    http = http_client.HttpClient()
    await http.start()
    try:
        client = operator_client.OperatorClient(http, _client_settings(request.settings))
        commands = _ctl_commands.Commands(request, client, _environment())
        command = getattr(commands, request.command)
        return await command(*request.arguments)
    finally:
        await http.close()


def _client_settings(settings: _ctl_types.CtlSettings) -> operator_client.ClientSettings:
    return operator_client.ClientSettings(
        controls=settings.control,
        operator_key=_operator_key(settings),
        operator=settings.operator,
        patience_s=settings.patience_s,
    )


def _operator_key(settings: _ctl_types.CtlSettings) -> str:
    if settings.operator_key_file is None:
        return ""
    try:
        return settings.operator_key_file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _ctl_types.UsageError(
            f"The operator key file can't be read: {error}.",
            remedy="Name a file that holds your key with --operator_key_file.",
        ) from error


def _environment() -> _ctl_types.Environment:
    return _ctl_types.Environment(
        read_input=sys.stdin.read,
        print_stderr=lambda line: print(line, file=sys.stderr, flush=True),
        time_ms=lambda: time.time_ns() // 1_000_000,
        random_bytes=os.urandom,
    )


def _rendered(result: _ctl_types.Result, output: _ctl_types.OutputFormat) -> str:
    match output:
        case _ctl_types.OutputFormat.JSON:
            return _json(result.reply)
        case _ctl_types.OutputFormat.TEXT:
            return result.text


def _print_error(error: errors.MedlarError, output: _ctl_types.OutputFormat) -> None:
    text = str(error)
    if output is _ctl_types.OutputFormat.JSON:
        detail = {"code": error.code.value, "message": error.problem, "remedy": error.remedy}
        text = _json({"error": detail})
    print(text, file=sys.stderr)


def _json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def _status(error: errors.MedlarError) -> ExitStatus:
    match error:
        case _ctl_types.UsageError() | errors.ConfigurationError() | errors.SettingsError():
            return ExitStatus.BAD_INPUT
        case errors.ControlUnreachableError() | errors.UpstreamError():
            return ExitStatus.UNREACHABLE
        case _ if error.code in _UNREACHABLE_CODES:
            return ExitStatus.UNREACHABLE
        case _:
            return ExitStatus.REFUSED
