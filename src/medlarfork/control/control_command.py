"""Command ``medlar-control``: runs a control replica of a declared deployment."""

from __future__ import annotations

from medlarfork import _early_signals

_early_signals.keep(_early_signals.STOP_SIGNALS)

from medlarfork.control import control_program  # noqa: E402 - its imports take most of the start


def run() -> None:
    """Run the program from the command line."""
    control_program.run()
