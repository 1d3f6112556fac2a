"""Run ``medlar-coordinator``: a replica of a routed deployment with the product's own names."""

from __future__ import annotations

import sys

import curio

from medlarfork import logs
from medlarfork.coordination import (
    coordinator_program,
    coordinator_settings,
    operations_format,
)
from medlarfork.settings import _settings_flag, settings


def _read() -> coordinator_settings.CoordinatorSettings:
    return _settings_flag.read("medlar-coordinator", coordinator_settings.CoordinatorSettings)


def run() -> None:
    """Start the program from the command line."""
    with settings.exit_on_error():
        given = _read()
        logs.configure(given.log_level, given.replica_id, stream=sys.stdout)
        port = int(given.serve.rpartition(":")[2])
        program = coordinator_program.CoordinatorProgram(
            given,
            speaks=operations_format.OwnFormat(http_port=port),
            read_seeds=lambda: _read().seeds,
        )
        curio.run(coordinator_program.run_until_stopped, program)
