"""Report descriptors that are closed while a curio task is still registered for them.

Curio keeps the registration of a task until it has run again. If its descriptor is closed before,
the task may never wake up, or the next socket with the same number ends the process. Both depend
on the moment, so the guard reports each such close, whether or not it does any harm.

Imported by ``guarded_start/sitecustomize.py`` in the processes that tests start, before anything
else: it needs nothing but the standard library.
"""

import selectors
import socket
import sys
import traceback
import weakref

MARK = "descriptor closed in use"
"""Begins each report, in ``reports`` and on the standard error of the process."""

reports = []
"""What was found in this process so far."""

_guarded = weakref.WeakSet()
_STACK_DEPTH = 12


class GuardedSelector(selectors.DefaultSelector):
    """Selector whose registrations are looked at whenever a descriptor is closed."""

    def __init__(self):
        super().__init__()
        _guarded.add(self)

    def waiting_tasks(self, number):
        """Return the curio tasks that are registered for a descriptor."""
        key = self._fd_to_key.get(number)
        if key is None or not isinstance(key.data, tuple):
            return ()
        tasks = [task for task in key.data if task is not None]
        # The kernel drops the registration of the running task before another task runs.
        return tuple(task for task in tasks if task.state != "RUNNING")


def install():
    """Guard the selectors and closes of this process; call it before curio is imported."""
    if selectors.DefaultSelector is GuardedSelector:
        return
    selectors.DefaultSelector = GuardedSelector
    _guard_close(socket.socket)
    _guard_close(selectors.EpollSelector)


def logs_with_reports(folder):
    """Return the names of the logs in a folder that hold a report."""
    return [log.name for log in sorted(folder.glob("*.log")) if MARK in log.read_text()]


def _guard_close(owner):
    """Check the descriptor of such objects before each close."""
    original = owner.close

    def close(self):
        if not isinstance(self, GuardedSelector):
            _check(self)
        original(self)

    owner.close = close


def _check(closing):
    try:
        number = closing.fileno()
    except ValueError:
        return  # Closed before.
    for selector in tuple(_guarded):
        tasks = selector.waiting_tasks(number) if number >= 0 else ()
        if tasks:
            _report(number, tasks)


def _report(number, tasks):
    stack = "".join(traceback.format_stack(limit=_STACK_DEPTH)[:-3])
    names = ", ".join(f"{task!r} at {task.where()}" for task in tasks)
    report = f"{MARK}: descriptor {number}, registered: {names}; closed at:\n{stack}"
    reports.append(report)
    print(report, file=sys.stderr, flush=True)
