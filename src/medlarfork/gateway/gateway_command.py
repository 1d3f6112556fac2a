"""Run ``medlar-gateway``: an entry host of a routed deployment with the product's own names."""

from __future__ import annotations

import sys

import curio

from medlarfork import logs
from medlarfork.coordination import operations_format
from medlarfork.gateway import gateway_program, gateway_settings, request_names
from medlarfork.settings import _settings_flag, settings


def _read() -> gateway_settings.GatewaySettings:
    return _settings_flag.read("medlar-gateway", gateway_settings.GatewaySettings)


def run() -> None:
    """Start the program from the command line."""
    with settings.exit_on_error():
        given = _read()
        logs.configure(given.log_level, given.entry_id, stream=sys.stdout)
        program = gateway_program.GatewayProgram(
            given,
            names=request_names.RequestNames(),
            decode=operations_format.OwnFormat(http_port=0).decode_routing,
            read_seeds=lambda: _read().seeds,
        )
        curio.run(gateway_program.run_until_stopped, program)
