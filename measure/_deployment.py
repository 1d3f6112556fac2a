"""Run a small deployment of real processes for a measurement."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

from examples import local_deployment, local_processes

_EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "bazar.toml"
_ENTRY_SETTINGS = 'entries_lifetime_s = 1.0\nlog_level = "WARNING"\n'


@contextlib.contextmanager
def running(
    *, controls: int, entries: int
) -> Iterator[tuple[local_deployment.LocalDeployment, local_processes.LocalProcesses]]:
    """Give a deployment in one data centre whose processes end with the block."""
    with (
        tempfile.TemporaryDirectory(prefix="medlarfork-measure-") as folder,
        local_processes.local_processes() as processes,
    ):
        local = local_deployment.LocalDeployment(
            pathlib.Path(folder),
            processes,
            data_centres=("recife-hall",),
            controls=controls,
            entries=entries,
            entry_settings=_ENTRY_SETTINGS,
        )
        yield local, processes


def declare_example(
    local: local_deployment.LocalDeployment, text_by_present: dict[str, str]
) -> None:
    """Apply the example's configuration with parts of its text replaced.

    Args:
        local: A deployment whose system runs.
        text_by_present: What is to stand in place of which text, such as a limit that would refuse
            what the measurement sends.

    Raises:
        RuntimeError: The configuration is refused.
    """
    text = _EXAMPLE.read_text()
    for present, new in text_by_present.items():
        text = text.replace(present, new)
    declared = local.folder / "bazar.toml"
    declared.write_text(text)
    applied = local.apply(declared)
    if applied.status != 0:
        raise RuntimeError(applied.errors)
