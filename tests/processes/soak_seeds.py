"""Seeds of random histories, in CI and by hand."""

import os

VARIABLE = "MEDLAR_SOAK_SEEDS"
"""Seeds to run instead of those of CI: one, or the first and the last joined by a hyphen."""


def seeds(*, default):
    """Return the seeds to run."""
    given = os.environ.get(VARIABLE, "")
    if not given:
        return default
    first, _, last = given.partition("-")
    return tuple(range(int(first), int(last or first) + 1))
