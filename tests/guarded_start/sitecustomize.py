"""Guard the descriptors of a Python process whose path begins with this folder."""

import importlib.util
import pathlib
import sys

_GUARD = pathlib.Path(__file__).parent.parent / "descriptor_guard.py"
_spec = importlib.util.spec_from_file_location("tests.descriptor_guard", _GUARD)
_guard = importlib.util.module_from_spec(_spec)
# Workers of the tests import the same module again by this name.
sys.modules[_spec.name] = _guard
_spec.loader.exec_module(_guard)
_guard.install()
