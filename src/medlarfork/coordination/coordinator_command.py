"""Command ``medlar-coordinator``: runs a replica of a routed deployment with the default API."""

from __future__ import annotations

import sys

from medlarfork import _early_signals

_early_signals.keep()

from medlarfork import _quick_start  # noqa: E402 - after keep(), as it takes a part of the start

_quick_start.begin()

import curio  # noqa: E402 - its imports are deferred above

from medlarfork import logs  # noqa: E402
from medlarfork.coordination import (  # noqa: E402
    coordinator_program,
    coordinator_settings,
    operations_format,
)
from medlarfork.duties import platform_format  # noqa: E402
from medlarfork.settings import _settings_flag, program_exit  # noqa: E402


def _read_settings() -> coordinator_settings.CoordinatorSettings:
    return _settings_flag.read("medlar-coordinator", coordinator_settings.CoordinatorSettings)


def run() -> None:
    """Run the program from the command line."""
    with program_exit.exit_on_error():
        settings = _read_settings()
        logs.configure(settings.log_level, settings.replica_id, stream=sys.stdout)
        port = int(settings.serve.rpartition(":")[2])
        program = coordinator_program.CoordinatorProgram(
            settings,
            api_format=operations_format.OwnFormat(http_port=port),
            read_seeds=lambda: _read_settings().seeds,
            platform_api_format=platform_format.DefaultFormat(settings.replica_id),
        )
        _quick_start.end()
        curio.run(coordinator_program.run_until_stopped, program)
