"""A small deployment for scripts: the project's roles as processes, and sound stand-ins around them.

The roles are started with the commands of ``deploy/system.toml`` and settings files as the users'
pages show them. Engines, clients and the operator are stand-ins in this process, written from the
pages. All addresses are loopback addresses.
"""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
CONTROL, DIRECTORY, FRONT, READY, ENGINE = 8229, 8231, 8227, 8220, 8080
HELD, BROKEN, NOT_RUN = 0, 1, 2
GROWN_BOUNDS = (
    ("ContactMs", 3000, 4000),
    ("AckMs", 4000, 5000),
    ("CatchUpS", 4, 6),
    ("DrainMs", 2000, 2500),
    ("ConfigApplyMs", 2000, 2500),
    ("MaxStretchMs", 5000, 6000),
    ("RetryBudgetBurst", 52, 156),
    ("RecoveryS", 12, 15),
    ("ReuseWindowS", 5.9, 6.7),
)
FIRST_PAUSE_S, BACKOFF, MOST_PAUSE_S = 0.05, 1.05, 1.0


def free_prefix():
    """Return the first two numbers of loopback addresses that nothing uses now."""
    for offset in range(200):
        prefix = f"127.{20 + (os.getpid() + offset) % 200}"
        probe = socket.socket()
        try:
            probe.bind((f"{prefix}.250.250", 6998))
        except OSError:
            probe.close()
            continue
        return prefix, probe
    raise RuntimeError("no free loopback addresses")


class Record:
    """Writes what was sent, answered and run to a case's ``record.txt``."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open("w")
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{time.monotonic() - self._begun:8.3f} {what} {text}\n")
            self._file.flush()


class Answer:
    def __init__(self, status, headers=None, body=b"", end="complete"):
        self.status, self.headers, self.body, self.end = status, headers or {}, body, end


def exchange(host, port, method, path, headers=None, body=b"", *, timeout_s=5.0):
    """Send one request on a new connection and return the answer; status 0 if there is none."""
    lines = [f"{method} {path} HTTP/1.1"]
    sent = {"Host": f"{host}:{port}", **(headers or {})}
    if body or method == "POST":
        sent["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in sent.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    until = time.monotonic() + timeout_s
    try:
        with socket.create_connection((host, port), timeout=min(1.0, timeout_s)) as connection:
            connection.settimeout(max(0.01, until - time.monotonic()))
            connection.sendall(data)
            return read_answer(connection, until)
    except OSError as error:
        return Answer(0, end=f"no connection: {type(error).__name__}")


def read_answer(connection, until):
    """Read one answer; its end says whether it is complete."""
    data = b""

    def more():
        nonlocal data
        connection.settimeout(max(0.01, until - time.monotonic()))
        part = connection.recv(65536)
        data += part
        return bool(part)

    try:
        while b"\r\n\r\n" not in data:
            if not more():
                return Answer(0, end="closed without an answer")
        head, _, data = data.partition(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        status = int(first.split()[1])
        headers = {}
        for line in rest:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(data) < length:
                if not more():
                    return Answer(status, headers, data, "cut")
            return Answer(status, headers, data[:length])
        body = b""
        while headers.get("transfer-encoding") == "chunked":
            while b"\r\n" not in data:
                if not more():
                    return Answer(status, headers, body, "cut")
            size_line, _, data = data.partition(b"\r\n")
            size = int(size_line, 16)
            while len(data) < size + 2:
                if not more():
                    return Answer(status, headers, body, "cut")
            body += data[:size]
            data = data[size + 2 :]
            if not size:
                return Answer(status, headers, body)
        return Answer(status, headers, data)
    except TimeoutError:
        return Answer(0, end="no answer in time")
    except OSError as error:
        return Answer(0, end=f"reset: {type(error).__name__}")


class Fleet:
    """Core and front machines, each with one process of the project."""

    def __init__(self, record, *, core=5, fronts=3, machines=1):
        self.record = record
        self._machines = machines
        self.prefix, self._reserved = free_prefix()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.core = [f"{self.prefix}.1.{number + 1}" for number in range(core)]
        self.fronts = [f"{self.prefix}.2.{number + 1}" for number in range(fronts)]
        self.seeds = self.core[:3]
        self.process_by_host = {}
        self.engines = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._run_by_role = {name: role["run"].split() for name, role in deploy.items()}

    def settings(self, host, role, *, bootstrap, seeds=None):
        """Return the settings of a small site, with the bounds of a grown one if two may be lost."""
        text = self._small_settings(host, role, bootstrap=bootstrap, seeds=seeds)
        if self._machines == 2:
            for name, small, grown in GROWN_BOUNDS:
                text = text.replace(f"{name} = {small}\n", f"{name} = {grown}\n")
        return text

    def _small_settings(self, host, role, *, bootstrap, seeds):
        listed = ",".join(f'"{seed}:{CONTROL}"' for seed in seeds or self.seeds)
        listen = f'Control = "{host}:{CONTROL}"\nDirectory = "{host}:{DIRECTORY}"'
        serves, machine, data = '["control","directory"]', "core", ""
        if role == "entry":
            listen = f'Front = "{host}:{FRONT}"\nReady = "{host}:{READY}"'
            serves, machine = '["front"]', "front"
        else:
            data = f'DataDir = "{self.folder / host}"'
        return f"""
NodeName = "{machine}-{host}"
Role = "{role}"
MachineClass = "{machine}"
Serves = {serves}
Ip = "{host}"
Zone = "glasgow-hall"
Region = "central-belt"
InternalPorts = [7340,7355]
Seeds = [{listed}]
Bootstrap = {"true" if bootstrap else "false"}
InTolerance = {"true" if machine == "core" else "false"}
Discovery = "registration"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
ConfigMode = "highest"
{data}
[Zones]
glasgow-hall = "central-belt"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = {128 if machine == "core" else 0}
[FaultTolerance]
Machines = {self._machines}
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 52
RecoveryS = 12
PassMs = 120
ReuseWindowS = 5.9
ttl_max_s = 5
"""

    def settings_file(self, host):
        return self.folder / f"{host}.toml"

    def start(self, host, *, bootstrap=False, seeds=None):
        role = "control" if host.startswith(f"{self.prefix}.1.") else "entry"
        file = self.settings_file(host)
        file.write_text(self.settings(host, role, bootstrap=bootstrap, seeds=seeds))
        if role == "control":
            (self.folder / host).mkdir(exist_ok=True)
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "JAVA_HOME", "LANG")
        }
        environment["MEDLARFORK_SETTINGS"] = str(file)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{host}.log").open("ab") as log:
            self.process_by_host[host] = subprocess.Popen(
                self._run_by_role[role], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("started", host=host, role=role)

    def start_all(self):
        for host in (*self.core, *self.fronts):
            self.start(host, bootstrap=True)

    def send_signal(self, host, number):
        self.record("signal", host=host, number=int(number))
        self.process_by_host[host].send_signal(number)

    def kill(self, *hosts):
        """End the processes of machines at the same moment, as a loss of power does."""
        self.record("killed", hosts=",".join(hosts))
        for host in hosts:
            self.process_by_host[host].kill()
        for host in hosts:
            self.process_by_host[host].wait()

    def lose_disk(self, host):
        shutil.rmtree(self.folder / host)
        self.record("lost its disk", host=host)

    def has_ended(self, host):
        return self.process_by_host[host].poll() is not None

    def log(self, host):
        return (self.folder / f"{host}.log").read_text(errors="replace")

    def is_ready(self, front):
        return exchange(front, READY, "GET", "/ready", timeout_s=1.0).status == 200

    def close(self):
        for engine in self.engines:
            engine.close()
        for process in self.process_by_host.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._reserved.close()
        self._temporary.cleanup()

    # The operator.

    def order(self, method, path, body=b"", *, within_s=20.0):
        """Call nodes of control in turn until one gives a clear answer, as the operator does."""
        until = time.monotonic() + within_s
        number, pause_s = 0, FIRST_PAUSE_S
        last = Answer(0)
        while time.monotonic() < until:
            host = self.core[number % len(self.core)]
            number += 1
            port, target = CONTROL, path
            for _ in range(3):
                last = exchange(host, port, method, target, {}, body, timeout_s=1.0)
                if last.status != 307:
                    break
                address, _, target = last.headers["location"].removeprefix("http://").partition("/")
                host, _, port = address.rpartition(":")
                port, target = int(port), f"/{target}"
            last.headers["host"] = host
            if last.status in (200, 400, 409, 412, 413, 422):
                break
            time.sleep(pause_s)
            pause_s = min(MOST_PAUSE_S, pause_s * BACKOFF)
        self.record("order", path=path, status=last.status, body=last.body[:60])
        return last

    def put(self, configuration, **options):
        body = json.dumps(configuration).encode()
        self.record("put", version=configuration["Version"])
        return self.order("POST", "/config/put", body, **options)

    def wait_ready(self, hosts=None, *, within_s=25.0):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if all(self.is_ready(front) for front in hosts or self.fronts):
                return True
            time.sleep(0.1)
        return False

    # Clients.

    def call(self, front, path, *, attempt, body=b"", deadline_ms=4000, key="k-1", method="POST"):
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
        }
        self.record("sent", attempt=attempt, front=front, path=path)
        answer = exchange(
            front, FRONT, method, path, headers, body, timeout_s=deadline_ms / 1000.0 + 1.0
        )
        self.record("answered", attempt=attempt, status=answer.status, end=answer.end)
        return answer


def route(name, prefix, service, *, kind="unsafe", timeout_ms=4000, attempts=1):
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 250,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": False,
        "SessionAffinity": False,
        "StreamResume": False,
        "TargetGapMs": 200,
    }


def configuration(version, routes, services=("desk",)):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthCheckPath": "/health",
                "MaxConnections": 96,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "shop", "ApiKeys": ["k-1"], "Priority": 1}],
    }


class Engine:
    """A sound server of one service: it heartbeats, checks its id, and answers after its work."""

    def __init__(
        self, fleet, number, service, *, work_s=0.05, beats=True, slots=6, born=False
    ):
        self.fleet = fleet
        self.record = fleet.record
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.host = f"{fleet.prefix}.3.{number + 1}"
        self.id = f"i-{service}-{number}-{time.time_ns():x}"
        self.runs = []
        self.beats_acknowledged = 0
        self._born_ms = time.time_ns() // 1_000_000 if born else 0
        self._sequence = 0
        self._stopping = threading.Event()
        self._listener = socket.create_server((self.host, ENGINE))
        threading.Thread(target=self._accept, daemon=True).start()
        if beats:
            self.begin_beats()
        fleet.engines.append(self)

    def begin_beats(self):
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self):
        self._stopping.set()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()

    def heartbeat(self, state="ready"):
        self._sequence += 1
        born = {"born": self._born_ms} if self._born_ms else {}
        return born | {
            "Service": self.service,
            "Address": f"{self.host}:{ENGINE}",
            "Zone": "glasgow-hall",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
        }

    def _beat(self):
        number = 0
        while not self._stopping.is_set():
            body = json.dumps(self.heartbeat()).encode()
            for _ in range(len(self.fleet.core)):
                host = self.fleet.core[number % len(self.fleet.core)]
                path = f"/instances/{self.id}/heartbeat"
                answer = exchange(host, CONTROL, "POST", path, {}, body, timeout_s=1.0)
                if 200 <= answer.status < 300:
                    self.beats_acknowledged += 1
                    break
                number += 1
            self._stopping.wait(1.2)

    def _accept(self):
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        file = connection.makefile("rb")
        try:
            while self._serve_one(connection, file):
                pass
        except (OSError, ValueError):
            pass
        finally:
            file.close()
            connection.close()

    def _serve_one(self, connection, file):
        first = file.readline()
        if not first:
            return False
        method, path, _ = first.decode().split()
        headers = {}
        while (line := file.readline().strip()) :
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        file.read(int(headers.get("content-length", "0")))
        attempt = headers.get("x-attempt-id", "")
        if method == "GET" and path == "/health":
            self._answer(connection, 200, {"X-Instance-Id": self.id}, b"")
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            self.record("misdirected", attempt=attempt, engine=self.id)
            self._answer(connection, 421, {"X-Instance-Id": self.id}, b"")
            return True
        if not attempt:
            self._answer(connection, 400, {"X-Not-Executed": "1"}, b"")
            return True
        self.runs.append((attempt, time.monotonic()))
        self.record("run", attempt=attempt, engine=self.id, service=self.service)
        time.sleep(self.work_s)
        body = f"{self.service} {attempt}".encode()
        named = {"X-Attempt-Id": attempt, "X-Response-Seal": f"{self.id}.{attempt}"}
        self._answer(connection, 200, named, body)
        return True

    def _answer(self, connection, status, headers, body):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Traffic:
    """Clients that send requests of several routes at a steady rate, each with one retry.

    A client retries on a new connection after 429 and 503, after the time in ``Retry-After``, as
    the pages say; an attempt has an id of its own.
    """

    def __init__(self, fleet, shares, *, per_s=20.0, deadline_ms=4000):
        self.fleet = fleet
        self.sent = dict.fromkeys(shares, 0)
        self.served = dict.fromkeys(shares, 0)
        self._deadline_s = deadline_ms / 1000.0
        self._lock = threading.Lock()
        self._order = [path for path, share in shares.items() for _ in range(share)]
        self._period_s = 1.0 / per_s

    def run(self, seconds):
        threads = []
        begun = time.monotonic()
        number = 0
        while time.monotonic() < begun + seconds:
            path = self._order[number % len(self._order)]
            thread = threading.Thread(target=self._request, args=(number, path), daemon=True)
            thread.start()
            threads.append(thread)
            number += 1
            time.sleep(max(0.0, begun + number * self._period_s - time.monotonic()))
        for thread in threads:
            thread.join(timeout=10.0)

    def _request(self, number, path):
        until = time.monotonic() + self._deadline_s
        fronts = self.fleet.fronts
        is_served = False
        for retry in range(2):
            left_ms = int((until - time.monotonic()) * 1000.0)
            if left_ms < 50:
                break
            front = fronts[(number + retry) % len(fronts)]
            answer = self.fleet.call(
                front, path, attempt=f"t-{number}-{retry}", body=b"x", deadline_ms=left_ms
            )
            if answer.status not in (429, 503):
                is_served = 200 <= answer.status < 300 and answer.end == "complete"
                break
            asked_s = float(answer.headers.get("retry-after", "0"))
            time.sleep(min(asked_s, left_ms / 3000.0))
        with self._lock:
            self.sent[path] += 1
            self.served[path] += is_served

    def share(self, path=None):
        """Return the share of the requests of a path, or of all, that was served."""
        sent = sum(self.sent.values()) if path is None else self.sent[path]
        served = sum(self.served.values()) if path is None else self.served[path]
        return served / max(1, sent)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(record_path, play, **fleet_options):
    """Run a case and exit with its result: 1 if the rule was broken, 0 if not, 2 if it couldn't."""
    record = Record(record_path)
    result = NOT_RUN
    fleet = None
    try:
        fleet = Fleet(record, **fleet_options)
        result = play(fleet, record)
    except Exception as error:  # the case could not run
        record("could not run", error=repr(error))
    finally:
        if fleet is not None:
            fleet.close()
    record("result", exit=result)
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "could not run"))
    raise SystemExit(result)
