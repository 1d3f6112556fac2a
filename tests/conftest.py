"""Shared fixtures and the hypothesis profile: the same examples on every run."""

import os
import pathlib
import sys

import hypothesis
import pytest

from tests import descriptor_guard

# Before any test module imports curio, which takes its selector from the standard library then.
descriptor_guard.install()
_GUARDED_START = pathlib.Path(__file__).parent / "guarded_start"
_PATHS = [str(_GUARDED_START), os.environ.get("PYTHONPATH", "")]
os.environ["PYTHONPATH"] = os.pathsep.join(path for path in _PATHS if path)

hypothesis.settings.register_profile(
    "medlarfork", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile("medlarfork")


@pytest.fixture(autouse=True)
def no_descriptor_closed_in_use():
    """Fail a test in which a descriptor was closed while a task was registered for it."""
    descriptor_guard.reports.clear()
    yield
    assert descriptor_guard.reports == []


@pytest.fixture
def frequent_switches():
    """Let the threads of the peers take turns with the tested one as processes would."""
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(0.0002)
    yield
    sys.setswitchinterval(interval_s)
