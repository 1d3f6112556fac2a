"""Programs that are frozen really stand still, and one that ended is not taken for such a one."""

import os
import pathlib
import signal

import pytest
from examples import local_processes


def _state(processes):
    """Return the system's letter for the program; T is stopped."""
    stat = pathlib.Path(f"/proc/{processes.pid('sleeper')}/stat").read_text()
    return stat.rpartition(")")[2].split()[0]


# Guards against: a test that goes on as if a program stood still, or ran again, that had ended.
@pytest.mark.parametrize("ended_while_frozen", [True, False])
def test_a_frozen_program_stands_still_and_one_that_ended_is_reported(tmp_path, ended_while_frozen):
    program = local_processes.Program("sleeper", "/bin/sleep", ("60",), tmp_path / "log")
    with local_processes.local_processes() as processes:
        processes.start(program)
        for _ in range(20):
            processes.freeze("sleeper")
            assert _state(processes) == "T"
            processes.thaw("sleeper")
            assert _state(processes) != "T"
        if ended_while_frozen:
            processes.freeze("sleeper")
        os.kill(processes.pid("sleeper"), signal.SIGKILL)
        act = processes.thaw if ended_while_frozen else processes.freeze
        with pytest.raises(ProcessLookupError, match="sleeper ended with status -9"):
            act("sleeper")
