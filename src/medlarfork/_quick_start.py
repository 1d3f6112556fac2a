"""Fast program start: fewer imports, saved compiled methods, and no garbage collection meanwhile.

Start time matters when a process was killed and its callers wait until it serves again, and when
hundreds of processes start at once, as after a power failure. Imports take nearly all of it, so
imports that serving does not need are blocked or deferred (such as asyncio and OpenSSL), and the
methods of data classes can be compiled in advance. A program calls ``begin`` before its other
imports and ``end`` once its components are created; code that embeds the package calls neither.
"""

from __future__ import annotations

import dataclasses
import gc
import importlib
import importlib.util
import marshal
import os
import sys
import types
from typing import Any

DEFERRED_MODULES: dict[str, dict[str, Any]] = {
    "asyncio": {},
    "importlib.abc": {"MetaPathFinder": object},
    "multiprocessing": {"cpu_count": os.cpu_count},
    "multiprocessing.connection": {
        "MESSAGE_LENGTH": 20,
        "CHALLENGE": b"#CHALLENGE#",
        "WELCOME": b"#WELCOME#",
        "FAILURE": b"#FAILURE#",
    },
    "csv": {},
    "xml.dom.minidom": {"Document": object, "Element": object},
    "pickle": {"DEFAULT_PROTOCOL": 4, "HIGHEST_PROTOCOL": 5},
}
"""Modules of the standard library that libraries import for features unused here, such as another
event loop, loaders of modules, multiprocessing, pickling and help in XML, with the attributes that
the libraries read during their import. The classes of ``minidom`` occur in annotations only, and
``MetaPathFinder`` is a base class without methods that its subclass needs."""

BLOCKED_MODULES = ("ssl", "_hashlib", "bz2", "lzma")
"""Modules that are optional for libraries: no link of this product uses TLS, the interpreter has
its own hash functions, and nothing packs archives. Loading OpenSSL takes a twentieth of the start
time."""


class _DeferredModule(types.ModuleType):
    """Placeholder of a module, which is imported when a missing attribute is read."""

    def __getattr__(self, name: str) -> Any:
        """Import the real module and copy its attributes; called for missing attributes."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(module.__dict__)
        return getattr(module, name)


class CompiledMethods:
    """Saved compiled code of the methods that ``dataclasses`` generates for each class.

    ``dataclasses`` generates source text and compiles it at each start. This took a fifth of the
    start time, because an entry host loads 74 data classes with 390 methods.
    """

    def __init__(self) -> None:
        """Start without compiled code."""
        self._code_by_text: dict[str, types.CodeType] = {}
        self._saved = b""

    def load(self, path: str) -> None:
        """Read a file of ``save``; ignored if missing or of another interpreter version."""
        try:
            with open(path, "rb") as file:  # noqa: PTH123 - pathlib is not loaded yet
                data = file.read()
        except OSError:
            return
        magic = importlib.util.MAGIC_NUMBER
        if data.startswith(magic):
            self._code_by_text = marshal.loads(data[len(magic) :])

    def save(self, path: str) -> None:
        """Write the compiled code, replacing the file atomically."""
        data = importlib.util.MAGIC_NUMBER + marshal.dumps(self._code_by_text)
        with open(f"{path}.new", "wb") as file:  # noqa: PTH123 - as above
            file.write(data)
        os.replace(f"{path}.new", path)  # noqa: PTH105 - as above

    def begin(self) -> None:
        """Make ``dataclasses`` use the saved code, by shadowing ``exec`` in its namespace."""
        dataclasses.exec = self._run  # type: ignore[attr-defined]

    def end(self) -> None:
        """Restore ``exec`` in ``dataclasses``, and release the code."""
        del dataclasses.exec  # type: ignore[attr-defined]
        self._code_by_text = {}

    def _run(self, text: str, global_names: dict[str, Any], namespace: dict[str, Any]) -> None:
        code = self._code_by_text.get(text)
        if code is None:
            code = self._code_by_text[text] = compile(text, "<dataclass>", "exec")
        exec(code, global_names, namespace)


compiled_methods = CompiledMethods()
"""Compiled methods of this process."""


def begin(compiled_path: str = "") -> None:
    """Disable garbage collection, and defer or block the imports of unused modules.

    Args:
        compiled_path: File that ``CompiledMethods.save`` wrote; empty for none.
    """
    gc.disable()
    for name, attributes in DEFERRED_MODULES.items():
        _defer(name, attributes)
    for name in BLOCKED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]
    compiled_methods.load(compiled_path)
    compiled_methods.begin()


def end() -> None:
    """Enable garbage collection again, excluding existing objects, and unblock the modules."""
    compiled_methods.end()
    for name in BLOCKED_MODULES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]
    gc.freeze()
    gc.enable()


def _defer(name: str, attributes: dict[str, Any]) -> None:
    """Defer the import of a module until an attribute outside ``attributes`` is read."""
    if name in sys.modules:
        return
    module = _DeferredModule(name)
    module.__dict__.update(attributes)
    sys.modules[name] = module
    parent, _, last = name.rpartition(".")
    if parent:
        importlib.import_module(parent).__dict__[last] = module
