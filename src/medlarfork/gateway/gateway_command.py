"""Run ``medlar-gateway``: an entry host of a routed deployment with the product's own names."""

from __future__ import annotations

import sys

from medlarfork import _quick_start

_quick_start.begin()

from medlarfork.gateway import gateway_settings  # noqa: E402 - what it would load is put off before
from medlarfork.http import listener  # noqa: E402
from medlarfork.settings import _settings_flag, program_exit  # noqa: E402


def _read() -> gateway_settings.GatewaySettings:
    return _settings_flag.read("medlar-gateway", gateway_settings.GatewaySettings)


def run() -> None:
    """Start the program from the command line."""
    with program_exit.exit_on_error():
        given = _read()
        opened = listener.open_address(given.serve)
        # Callers wait from here on; what follows takes most of the start.
        import curio

        from medlarfork import logs
        from medlarfork.gateway import gateway_program, request_header_names
        from medlarfork.routes import routing_format

        logs.configure(given.log_level, given.entry_id, stream=sys.stdout)
        program = gateway_program.GatewayProgram(
            given,
            names=request_header_names.RequestHeaderNames(),
            decode=routing_format.decode,
            read_seeds=lambda: _read().seeds,
            opened=opened,
        )
        _quick_start.end()
        curio.run(gateway_program.run_until_stopped, program)
