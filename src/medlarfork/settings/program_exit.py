"""Exit from a program that can't start, with an error message and an exit status."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator

from medlarfork import errors

USAGE_STATUS = 2
"""Exit status of a program whose command line, settings or configuration has mistakes."""

START_FAILURE_STATUS = 1
"""Exit status of a program whose disk, keys or links can't be used."""


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """Print an error that an operator can fix and exit, without a traceback."""
    try:
        yield
    except (errors.SettingsError, errors.ConfigurationError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(USAGE_STATUS) from error
    except (errors.DamagedJournalError, errors.JournalError, errors.LinkError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(START_FAILURE_STATUS) from error
