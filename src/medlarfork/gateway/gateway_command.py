"""Runs ``medlar-gateway``: an entry host of a routed deployment with the default header names."""

from __future__ import annotations

import sys

from medlarfork import _early_signals

_early_signals.keep()

from medlarfork import _quick_start  # noqa: E402 - after keep(), as it takes a part of the start

_quick_start.begin()

from medlarfork.gateway import gateway_settings  # noqa: E402 - after begin() defers slow imports
from medlarfork.http import listener  # noqa: E402
from medlarfork.settings import _settings_flag, program_exit  # noqa: E402


def _read() -> gateway_settings.GatewaySettings:
    return _settings_flag.read("medlar-gateway", gateway_settings.GatewaySettings)


def run() -> None:
    """Start the program from the command line."""
    with program_exit.exit_on_error():
        settings = _read()
        listening_socket = listener.open_address(settings.serve)
        # From here on callers can connect and wait; the imports below take most of the start-up.
        import curio

        from medlarfork import logs
        from medlarfork.gateway import gateway_program, request_header_names
        from medlarfork.routes import routing_format

        logs.configure(settings.log_level, settings.entry_id, stream=sys.stdout)
        program = gateway_program.GatewayProgram(
            settings,
            names=request_header_names.RequestHeaderNames(),
            decode=routing_format.decode,
            read_seeds=lambda: _read().seeds,
            listening_socket=listening_socket,
        )
        _quick_start.end()
        curio.run(gateway_program.run_until_stopped, program)
