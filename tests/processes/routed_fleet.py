"""Run a routed deployment as processes, with engines that are started again when they end."""

import http.client
import itertools
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

from tests import descriptor_guard, loopback

_NETWORKS = itertools.count(100)
_START = "import sys; from medlarfork.{package} import {module}; {module}.run()"
_CUT_OFF = (
    "import sys; sys.path.insert(0, {root!r}); from tests.processes import cut_off_client;"
    " cut_off_client.install({file!r}); "
)
_ROOT = pathlib.Path(__file__).parent.parent.parent
_ENGINE = "tests.processes.scripted_engine"
RESTART_S = 1.0
"""How long an engine that ended is away."""


CALL_TIMEOUT_S = 5.0


def ask(method, url, body=None, headers=None, *, timeout_s=5.0):
    """Return the status and the body of an answer; 0 and the reason if there is none."""
    sent = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(url, sent, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()


def until(status, *call):
    """Ask until an answer has this status, and return its body."""
    for _ in range(200):
        found = ask(*call)
        if found[0] == status:
            return found[1]
        time.sleep(0.1)
    raise AssertionError(found)


def wait_for(condition):
    """Wait until a condition holds."""
    end_at = time.monotonic() + 20.0
    while not condition():
        assert time.monotonic() < end_at
        time.sleep(0.1)


def event(number):
    """Return one event of a stream of the scripted engine."""
    return f"id: {number}\ndata: {number}\n\n".encode()


def stream(count):
    """Return a whole stream of the scripted engine."""
    return b"".join(event(number) for number in range(1, count + 1))


def new_network():
    """Return the first three numbers of addresses that no other deployment uses."""
    return f"{loopback.prefix()}.{next(_NETWORKS)}"


class Engine:
    """Keep one engine running: a supervisor that starts it again after it ended."""

    def __init__(self, fleet, number, version):
        self.name = f"u-{number}"
        self.version = version
        self.starts = 0
        self._fleet = fleet
        self._host = f"{fleet.network}.{100 + number}"
        self._log = fleet.folder / f"{self.name}.log"
        self._script = fleet.folder / f"{self.name}.json"
        self._stopping = threading.Event()
        self._process = None
        self._thread = threading.Thread(target=self._keep_running, daemon=True)
        self._thread.start()

    def _keep_running(self):
        while not self._stopping.is_set():
            command = [sys.executable, "-m", self._fleet.engine_module]
            command += ["--name", self.name, "--host", self._host]
            command += ["--port", "7401", "--replicas", *self._fleet.replicas]
            command += ["--script", str(self._script), "--version", self.version]
            command += self._fleet.engine_options
            with self._log.open("ab") as log:
                self._process = subprocess.Popen(command, cwd=_ROOT, stdout=log, stderr=log)
            self.starts += 1
            self._process.wait()
            self._stopping.wait(RESTART_S)

    def kill(self):
        self._process.kill()

    def listens(self):
        """Return whether it answers; it refuses this method, but only once it serves."""
        return ask("GET", f"http://{self._host}:7401/")[0] != 0

    def pause(self):
        """Let it stand still until ``resume``; its connections stay open."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)

    def close(self):
        self._stopping.set()
        while self._thread.is_alive():
            self._process.kill()
            self._thread.join(0.2)

    def answer(self, status=200, **headers):
        """Have it answer with this status and these headers from now on."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        whole = self._script.with_suffix(".new")
        whole.write_text(json.dumps({"status": status, "headers": named}))
        whole.replace(self._script)

    def runs(self, body):
        """Return when it began to work on requests with this body, in monotonic seconds."""
        return self._logged("run", body)

    def rejected(self, body):
        """Return when it turned requests with this body away, in monotonic seconds."""
        return self._logged("rejected", body)

    def log_text(self):
        """Return what it has written so far."""
        return self._log.read_text() if self._log.exists() else ""

    def _logged(self, what, body):
        lines = self.log_text().splitlines()
        parts = [line.split(maxsplit=2) for line in lines]
        return [float(part[0]) for part in parts if part[1:] == [what, body]]


class Fleet:
    """Own the processes of a deployment."""

    def __init__(
        self,
        folder,
        *,
        replicas=3,
        entries=3,
        engines=6,
        duties="",
        usage_window_s=0.0,
        can_be_cut_off=False,
        versions=("",),
        engine_module=_ENGINE,
        engine_options=(),
        entry_settings="",
        replica_settings="",
    ):
        self.folder = folder
        self.engine_module = engine_module
        self.entry_settings = entry_settings
        self.replica_settings = replica_settings
        self.engine_options = engine_options
        self.can_be_cut_off = can_be_cut_off
        self.duties = duties
        self.usage_window_s = usage_window_s
        self.network = new_network()
        self.replicas = [f"{self.network}.{number + 1}" for number in range(replicas)]
        self.entries = [f"{self.network}.{50 + number}" for number in range(entries)]
        self.process_by_host = {}
        self._attempts = itertools.count(1)
        for replica in self.replicas:
            self.start_replica(replica, may_found=True)
        for entry in self.entries:
            self.start_entry(entry)
        self.engines = [
            Engine(self, number, versions[number % len(versions)]) for number in range(engines)
        ]

    def start_replica(self, replica, *, may_found=False):
        settings = f"""
            replica_id = "{replica}"
            serve = "{replica}:7001"
            directory = "{replica}:7002"
            health = "{replica}:7007"
            link_port = 7003
            seeds = {json.dumps(self.replicas)}
            may_found = {str(may_found).lower()}
            data_folder = "{self.folder / replica}"
            {self.replica_settings}
            {self.duties}
            """
        self._start("coordination", "coordinator_command", replica, settings)

    def start_entry(self, entry):
        settings = f"""
            entry_id = "{entry}"
            zone = "z1"
            serve = "{entry}:7004"
            health = "{entry}:7005"
            link_host = "{entry}"
            link_port = 7003
            replica_link_port = 7003
            seeds = {json.dumps(self.replicas)}
            grace_s = 1.0
            usage_window_s = {self.usage_window_s}
            relay = "{entry}:7006"
            {self.entry_settings}
            """
        prelude = ""
        if self.can_be_cut_off:
            prelude = _CUT_OFF.format(root=str(_ROOT), file=str(self._cut_file(entry)))
        self._start("gateway", "gateway_command", entry, settings, prelude)

    def cut_off(self, entry, mode):
        """Cut an entry host off from all engines (see ``cut_off_client``)."""
        self._cut_file(entry).write_text(mode)

    def heal(self, entry):
        """Give an entry host its links to engines back."""
        self._cut_file(entry).unlink()

    def _cut_file(self, entry):
        return self.folder / f"{entry}.cut"

    def kill(self, host):
        """End a replica or an entry host, and wait until it is gone."""
        self.process_by_host[host].kill()
        self.process_by_host[host].wait()

    def restart_all(self):
        """Kill every replica and entry host at once, and start them again."""
        for process in self.process_by_host.values():
            process.kill()
        for process in self.process_by_host.values():
            process.wait()
        for replica in self.replicas:
            self.start_replica(replica)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            until(200, "GET", f"http://{entry}:7005/")

    def _start(self, package, module, host, settings, prelude=""):
        file = self.folder / f"{host}.toml"
        file.write_text(settings)
        code = prelude + _START.format(package=package, module=module)
        with (self.folder / f"{host}.log").open("ab") as log:
            self.process_by_host[host] = subprocess.Popen(
                [sys.executable, "-c", code, f"--settings={file}"], stdout=log, stderr=log
            )

    def put_route(self, **route):
        self.put_routes(route)

    def put_routes(self, *routes, services=()):
        declared = {
            "name": "r",
            "host": "a.example",
            "path_prefix": "/p/",
            "kind": "unsafe",
            "timeout_ms": 3000,
            "targets": [{"service": "engines"}],
        }
        routing = {
            "version": 1,
            "routes": [declared | route for route in routes],
            "services": [{"name": name} for name in ("engines", *services)],
            "accounts": [{"name": "shop", "api_keys": ["k-1"]}],
        }
        until(200, "PUT", f"http://{self.replicas[0]}:7001/v1/routing", routing)
        for entry in self.entries:
            until(200, "GET", f"http://{entry}:7005/")

    def until_known(self):
        """Wait until each entry host knows all engines."""
        known = f" upstreams={len(self.engines)}"
        end_at = time.monotonic() + 40.0
        while not all(known in (self.folder / f"{host}.log").read_text() for host in self.entries):
            assert time.monotonic() < end_at
            time.sleep(0.1)

    def call(self, body):
        """Send one attempt of a request to the next entry host; return its status and answer."""
        number = next(self._attempts)
        return self._call_at(self.entries[number % len(self.entries)], number, body)

    def call_at(self, entry, body, *, timeout_s=CALL_TIMEOUT_S):
        """Send one attempt of a request to an entry host; return its status and answer."""
        return self._call_at(entry, next(self._attempts), body, timeout_s)

    def _call_at(self, entry, number, body, timeout_s=CALL_TIMEOUT_S):
        url = f"http://{entry}:7004/p/x"
        return ask("POST", url, body.encode(), self._headers(number), timeout_s=timeout_s)

    def call_prompt(self, name, parts, *, path="/p/x", key="k-1", timeout_s=CALL_TIMEOUT_S):
        """Send a request whose prompt ends with a part of its own to the next entry host.

        Its body begins with ``name`` and is never that of another request.
        """
        number = next(self._attempts)
        entry = self.entries[number % len(self.entries)]
        listed = ",".join(f"{part}:100" for part in (*parts, f"own-{number}"))
        headers = self._headers(number) | {"medlar-prompt-parts": listed}
        headers["Authorization"] = f"Bearer {key}"
        body = f"{name} {number}".encode()
        return ask("POST", f"http://{entry}:7004{path}", body, headers, timeout_s=timeout_s)

    def headers(self):
        """Return the headers of the next attempt of a request."""
        return self._headers(next(self._attempts))

    def _headers(self, number):
        return {
            "Host": "a.example",
            "Authorization": "Bearer k-1",
            "medlar-attempt-id": f"a-{number}",
        }

    def runs(self, body):
        """Return when engines began to work on requests with this body, in order."""
        return sorted(at for engine in self.engines for at in engine.runs(body))

    def prompt_runs(self, name):
        """Return when engines began to work on requests of ``call_prompt``, in order."""
        logs = [engine.log_text().splitlines() for engine in self.engines]
        lines = [line.split(maxsplit=2) for log in logs for line in log]
        return sorted(
            float(line[0])
            for line in lines
            if line[1:2] == ["run"] and line[2].partition(" ")[0] == name
        )

    def lines(self, event):
        """Return the log lines of an event, of all replicas and entry hosts."""
        logs = [(self.folder / f"{host}.log").read_text() for host in self.process_by_host]
        return [line for log in logs for line in log.splitlines() if f"event={event} " in line]

    def close(self):
        for engine in self.engines:
            engine.close()
        for process in self.process_by_host.values():
            process.kill()
            process.wait()
        assert descriptor_guard.logs_with_reports(self.folder) == []
