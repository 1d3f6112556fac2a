"""A signal at any moment of a program's start has the effect that it has later."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import curio
import pytest

from medlarfork import _early_signals, _stop_signal
from tests import loopback

ROOT = pathlib.Path(__file__).parent.parent.parent
START = "from medlarfork.{0} import {1}; {1}.run()"
ENTRY = """
entry_id = "{ip}"
serve = "{ip}:7004"
health = "{ip}:7005"
link_host = "{ip}"
link_port = 7003
replica_link_port = 7003
seeds = ["{ip}"]
grace_s = 1.0
zone = "z1"
"""
REPLICA = """
replica_id = "{ip}"
serve = "{ip}:7001"
directory = "{ip}:7002"
link_port = 7003
seeds = ["{ip}"]
may_found = true
data_folder = "{folder}"
"""
ROLE = """
NodeName = "node-1"
Ip = "{ip}"
Zone = "z1"
InternalPorts = [7340, 7355]
Seeds = ["{ip}:8229"]
Bootstrap = true
HeartbeatMs = 1200
DataDir = "{folder}"
[Listen]
Control = "{ip}:8229"
Directory = "{ip}:8231"
Front = "{ip}:8227"
Ready = "{ip}:8220"
[Bounds]
GraceS = 1
RetryBudgetBurst = 58
"""
CONTROL = """
replica_id = "control-1"
data_folder = "{folder}"
[[operators]]
name = "ana"
key_sha256 = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"
[[replicas]]
replica_id = "control-1"
link_address = "tcp://{ip}:7201"
http_address = "http://{ip}:7101"
"""
DECLARED_ENTRY = """
entry_id = "entry-1"
http_host = "{ip}"
http_port = 7102
link_address = "tcp://{ip}:7202"
entries_lifetime_s = 0.5
[[controls]]
replica_id = "control-1"
link_address = "tcp://{ip}:7201"
"""
DECLARED = {
    "medlar-control": (START.format("control", "control_command"), CONTROL),
    "medlar-entry": (START.format("entry", "entry_command"), DECLARED_ENTRY),
}
PROGRAMS = {
    "medlar-gateway": (["-c", START.format("gateway", "gateway_command")], ENTRY),
    "medlar-coordinator": (["-c", START.format("coordination", "coordinator_command")], REPLICA),
    "role entry": ([str(ROOT / "platform" / "start.py"), "entry"], ROLE),
    "role control": ([str(ROOT / "platform" / "start.py"), "control"], ROLE),
}


def _reset_hangup():
    """Undo what ``nohup`` does: a process that ignores SIGHUP has children that ignore it."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def _catches_hangup(process):
    return _catches(process, signal.SIGHUP)


def _catches(process, number):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    caught = int(status.partition("SigCgt:")[2].split()[0], 16)
    return bool(caught >> (number - 1) & 1)


# Guards against: processes that a change of settings or a stop ended during their imports.
@pytest.mark.parametrize("stop_after_s", [0.0, 0.05, 0.3, 0.8])
@pytest.mark.parametrize("name", PROGRAMS)
def test_signals_during_the_start_count(tmp_path, name, stop_after_s):
    arguments, template = PROGRAMS[name]
    settings, log = tmp_path / "settings.toml", tmp_path / "log"
    settings.write_text(template.format(ip=f"{loopback.prefix()}.251.1", folder=tmp_path / "data"))
    (tmp_path / "data").mkdir()
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, *arguments, *(["--settings", settings] if template != ROLE else [])],
            env={**os.environ, "MEDLARFORK_SETTINGS": str(settings)},
            stdout=output,
            stderr=output,
            preexec_fn=_reset_hangup,
        )
    try:
        while not _catches_hangup(process):
            assert process.poll() is None
            time.sleep(0.001)
        assert "zmq" not in pathlib.Path(f"/proc/{process.pid}/maps").read_text()
        process.send_signal(signal.SIGHUP)
        time.sleep(stop_after_s)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0
    finally:
        process.kill()
        process.wait()
    logged = log.read_text()
    assert "reloaded" in logged
    assert "stopped" in logged


# Guards against: a stop during the imports ended a program without its graceful stop.
@pytest.mark.parametrize("after_s", [0.01, 0.1, 0.25, 0.5])
@pytest.mark.parametrize("name", DECLARED)
@pytest.mark.parametrize(
    ("number", "status", "ends_with"),
    [(signal.SIGTERM, 0, "event=stopped"), (signal.SIGHUP, -signal.SIGHUP, "")],
)
def test_a_signal_during_the_start_of_a_declared_program_does_what_it_does_later(
    tmp_path, name, after_s, number, status, ends_with
):
    code, template = DECLARED[name]
    settings, log = tmp_path / "settings.toml", tmp_path / "log"
    settings.write_text(template.format(ip=f"{loopback.prefix()}.252.1", folder=tmp_path / "data"))
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-c", code, f"--settings={settings}"],
            stdout=output,
            stderr=output,
            preexec_fn=_reset_hangup,
        )
    try:
        while not _catches(process, signal.SIGTERM):
            assert process.poll() is None
            time.sleep(0.001)
        assert "zmq" not in pathlib.Path(f"/proc/{process.pid}/maps").read_text()
        time.sleep(after_s)
        process.send_signal(number)
        assert process.wait(timeout=30) == status
    finally:
        process.kill()
        process.wait()
    assert ends_with in log.read_text()


# Guards against: a busy event loop that dated a stop when it noticed it.
def test_a_stop_is_dated_when_its_signal_is_handled(monkeypatch):
    monkeypatch.setattr(_early_signals, "handled_at", {})

    async def main(caught):
        sent_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)
        assert await caught.wait() == signal.SIGTERM
        assert time.monotonic() >= sent_at + 0.3
        assert caught.stop_requested_at() < sent_at + 0.2

    caught = _stop_signal.StopSignal()
    caught.start()
    try:
        curio.run(main, caught)
    finally:
        caught.close()


ORDER = """
import os, signal, sys
import curio
from medlarfork import _early_signals, _stop_signal

RELOAD, STOP = signal.SIGHUP, signal.SIGTERM

def order(first_line):
    lines = iter(range(first_line + 2))

    def trace(frame, event, argument):
        if frame.f_globals.get("__name__", "").startswith("medlarfork"):
            match next(lines, None):
                case number if number == first_line:
                    os.kill(os.getpid(), RELOAD)
                case number if number == first_line + 1:
                    os.kill(os.getpid(), STOP)
        return trace

    caught = _stop_signal.StopSignal((*_early_signals.STOP_SIGNALS, signal.SIGHUP))
    sys.settrace(trace)
    _early_signals.keep()
    caught.start()
    sys.settrace(None)
    is_sent = next(lines, None) is None
    read = [curio.run(caught.wait), curio.run(caught.wait)] if is_sent else None
    caught.close()
    return read

def together():
    caught = _stop_signal.StopSignal((*_early_signals.STOP_SIGNALS, signal.SIGHUP))
    caught.start()
    signal.pthread_sigmask(signal.SIG_BLOCK, (RELOAD, STOP))
    os.kill(os.getpid(), RELOAD)
    os.kill(os.getpid(), STOP)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (RELOAD, STOP))
    read = [curio.run(caught.wait), curio.run(caught.wait)]
    caught.close()
    return read

signal.signal(RELOAD, signal.SIG_IGN)
signal.signal(STOP, signal.SIG_IGN)
_early_signals.keep()
print("together", *(signal.Signals(number).name for number in together()))
line = 0
while (read := order(line)) is not None:
    print(line, *(signal.Signals(number).name for number in read))
    line += 1
"""


# Guards against: a stop that overtook the reload before it, during the start or while pending.
def test_a_stop_overtakes_no_reload():
    cases = subprocess.run(
        [sys.executable, "-c", ORDER], stdout=subprocess.PIPE, check=True, text=True, timeout=30
    ).stdout.splitlines()
    assert len(cases) > 5
    assert [case for case in cases if not case.endswith(" SIGHUP SIGTERM")] == []
