"""Start a program quickly: import only what it uses, and collect no garbage meanwhile.

The load that this answers: a host's process is killed, and its callers wait until it serves again;
a fleet of hundreds is started at once, and again after a loss of power. Nearly all of that time
goes into imports, so what serving does not need is left out or put off: other processes, OpenSSL
and the compiling of data classes. A program calls ``begin`` before its other imports and ``end``
once it is wired; code that embeds the package calls neither.
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
    "multiprocessing": {"cpu_count": os.cpu_count},
    "multiprocessing.connection": {
        "MESSAGE_LENGTH": 20,
        "CHALLENGE": b"#CHALLENGE#",
        "WELCOME": b"#WELCOME#",
        "FAILURE": b"#FAILURE#",
    },
}
"""Modules of the standard library that libraries import for uses which this product does not make
of them, with what those look up at once: an event loop and other processes."""

BLOCKED_MODULES = ("ssl", "_hashlib")
"""Modules without which libraries do as well: no link of this product uses TLS, and the interpreter
has its own hash functions. Loading OpenSSL takes a twentieth of a start."""


class _DeferredModule(types.ModuleType):
    """Stand in for a module until something is looked up in it that was not given."""

    def __getattr__(self, name: str) -> Any:
        """Import the module and take its place; called for names that are not there."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(module.__dict__)
        return getattr(module, name)


class CompiledMethods:
    """Keep the compiled code of the methods that ``dataclasses`` writes for each class.

    It writes them as text and compiles it anew at each start, which took a fifth of that: an entry
    host loads 74 such classes with 390 methods.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._code_by_text: dict[str, types.CodeType] = {}
        self._saved = b""

    def load(self, path: str) -> None:
        """Read what ``save`` wrote; nothing if there is no such file, or of another interpreter."""
        try:
            with open(path, "rb") as file:  # noqa: PTH123 - pathlib is not loaded yet
                data = file.read()
        except OSError:
            return
        magic = importlib.util.MAGIC_NUMBER
        if data.startswith(magic):
            self._code_by_text = marshal.loads(data[len(magic) :])

    def save(self, path: str) -> None:
        """Write what was compiled, in place of what is there."""
        data = importlib.util.MAGIC_NUMBER + marshal.dumps(self._code_by_text)
        with open(f"{path}.new", "wb") as file:  # noqa: PTH123 - as above
            file.write(data)
        os.replace(f"{path}.new", path)  # noqa: PTH105 - as above

    def begin(self) -> None:
        """Have ``dataclasses`` run this instead of compiling: a name of its own hides ``exec``."""
        dataclasses.exec = self._run  # type: ignore[attr-defined]

    def end(self) -> None:
        """Let it compile again, and forget the code."""
        del dataclasses.exec  # type: ignore[attr-defined]
        self._code_by_text = {}

    def _run(self, text: str, global_names: dict[str, Any], namespace: dict[str, Any]) -> None:
        code = self._code_by_text.get(text)
        if code is None:
            code = self._code_by_text[text] = compile(text, "<dataclass>", "exec")
        exec(code, global_names, namespace)


compiled_methods = CompiledMethods()
"""Those of this process."""


def begin(compiled_path: str = "") -> None:
    """Stop collecting garbage, and put off or leave out the imports of what is not used.

    Args:
        compiled_path: Where ``CompiledMethods.save`` wrote, if anywhere.
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
    """Collect garbage again, among what comes from now on: what was imported stays."""
    compiled_methods.end()
    for name in BLOCKED_MODULES:
        if sys.modules.get(name, sys) is None:
            del sys.modules[name]
    gc.freeze()
    gc.enable()


def _defer(name: str, attributes: dict[str, Any]) -> None:
    """Have a module imported only when something of it is used that is not given."""
    if name in sys.modules:
        return
    module = _DeferredModule(name)
    module.__dict__.update(attributes)
    sys.modules[name] = module
    parent, _, last = name.rpartition(".")
    if parent:
        sys.modules[parent].__dict__[last] = module
