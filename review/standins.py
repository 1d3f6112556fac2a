"""Stand-ins for the review cases: a platform that starts the programs, an operator, engines, clients.

They speak what PROTOCOL and DEPLOY say, on loopback addresses, with the standard library alone.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
CONFIG_APPLY_S = 2.0
GRACE_S = 8
PORTS = {"Front": 8227, "Ready": 8220, "Control": 8229, "Directory": 8231}
INTERNAL = (7340, 7355)

SETTINGS = """NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = {serves}
Ip = "{ip}"
Zone = "hall-1"
Region = "region-1"
InternalPorts = [{first},{last}]
Seeds = {seeds}
Bootstrap = {bootstrap}
InTolerance = {in_tolerance}
Discovery = "registration"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
ConfigMode = "highest"
{data_dir}
[Zones]
hall-1 = "region-1"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = {disk_mb}
[FaultTolerance]
Machines = 1
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
RetryBudgetBurst = 58
RecoveryS = 12
PassMs = 120
ReuseWindowS = 10
ttl_max_s = 5
"""


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, *words):
        line = f"{time.monotonic() - self._start:8.3f} s  " + " ".join(str(word) for word in words)
        with self._lock:
            if not self._file.closed:
                self._file.write(line + "\n")
                self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


def free_network():
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(100):
        network = f"127.{random.randrange(20, 240)}.{random.randrange(1, 250)}"
        probes = []
        try:
            for host in (1, 2, 3, 4, 5, 11, 12, 13):
                for port in (*PORTS.values(), *range(INTERNAL[0], INTERNAL[0] + 4)):
                    probe = socket.socket()
                    probes.append(probe)
                    probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CouldNotRun("no free loopback addresses")


class Fleet:
    """Start the roles of the deploy file as processes, as the platform does, and end them."""

    def __init__(self, record, *, cores=3, fronts=2):
        self.record = record
        self.network = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="medlar-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._run_by_role = {name: role["run"].split() for name, role in deploy.items()}
        self.cores = [f"{self.network}.{n + 1}" for n in range(cores)]
        self.fronts = [f"{self.network}.{n + 11}" for n in range(fronts)]
        self.processes = {}
        self._stopped = []
        self.ended = []
        self._stopping = False
        self._lock = threading.Lock()

    def start(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRun("target/deps is missing: run the build of the deploy file first")
        for ip in self.cores:
            self.start_machine(ip, bootstrap=True)
        for ip in self.fronts:
            self.start_machine(ip, bootstrap=True)
        self._keeper = threading.Thread(target=self._keep_running, daemon=True)
        self._keeper.start()

    def start_machine(self, ip, *, bootstrap=False):
        is_core = ip in self.cores
        role = "control" if is_core else "entry"
        serves = ["control", "directory"] if is_core else ["front"]
        names = ("Control", "Directory") if is_core else ("Front", "Ready")
        data = self.folder / f"data-{ip}"
        if is_core:
            data.mkdir(exist_ok=True)
        settings = self.folder / f"{ip}.toml"
        settings.write_text(
            SETTINGS.format(
                name=f"{role}-{ip.rpartition('.')[2]}",
                role=role,
                machine_class="core" if is_core else "front",
                serves=json.dumps(serves),
                ip=ip,
                first=INTERNAL[0],
                last=INTERNAL[1],
                seeds=json.dumps([f"{core}:{PORTS['Control']}" for core in self.cores[:3]]),
                bootstrap=json.dumps(bootstrap),
                in_tolerance=json.dumps(is_core),
                data_dir=f'DataDir = "{data}"' if is_core else "",
                listen="\n".join(f'{name} = "{ip}:{PORTS[name]}"' for name in names),
                disk_mb=128 if is_core else 0,
            )
        )
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MEDLARFORK_SETTINGS"] = str(settings)
        with (self.folder / f"{ip}.log").open("ab") as log:
            process = subprocess.Popen(
                self._run_by_role[role], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        with self._lock:
            self.processes[ip] = process
        self.record("platform starts", role, ip, "process", process.pid)

    def _keep_running(self):
        """Start a process again that has ended by itself."""
        while not self._stopping:
            time.sleep(0.1)
            with self._lock:
                ended = [(ip, p) for ip, p in self.processes.items() if p.poll() is not None]
            for ip, process in ended:
                if self._stopping:
                    return
                self.record("PROCESS ENDED BY ITSELF:", ip, "exit status", process.returncode)
                self.ended.append(ip)
                time.sleep(0.3)
                self.start_machine(ip)

    def stop_machine(self, ip):
        """Send SIGTERM to a machine's process, which is then not started again by itself."""
        with self._lock:
            process = self.processes.pop(ip)
            self._stopped.append(process)
        process.terminate()

    def log_lines(self, ip, *words):
        """Return the lines of a machine's log that have these words."""
        path = self.folder / f"{ip}.log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [line for line in lines if all(word in line for word in words)]

    def close(self):
        self._stopping = True
        with self._lock:
            processes = [*self.processes.values(), *self._stopped]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, timeout_s=1.0):
    """Make one call; return status, headers and body, or status 0 if there is no answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


class Operator:
    """Send configurations and read them, as PROTOCOL says: follow two redirects, then move on."""

    def __init__(self, fleet):
        self._fleet = fleet

    def put(self, configuration, within_s=30.0):
        """Send a configuration until it is acknowledged."""
        body = json.dumps(configuration).encode()
        until = time.monotonic() + within_s
        pause_s = 0.1
        while time.monotonic() < until:
            for core in self._fleet.cores:
                status, _ = self.ask(core, "POST", "/config/put", body)
                if status == 200:
                    self._fleet.record("operator: version", configuration["Version"], "acknowledged")
                    return True
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)
        return False

    def ask(self, core, method, path, body=None):
        """Return status and body of a call to one node, after two redirects at most."""
        address = f"{core}:{PORTS['Control']}"
        for _ in range(3):
            status, headers, answer = call(address, method, path, body)
            if status != 307:
                return status, answer
            address = headers["Location"].removeprefix("http://").partition("/")[0]
        return 0, b"too many redirects"


class Engine:
    """One engine: announces itself, runs requests in its slots, rejects what it can't take."""

    def __init__(self, fleet, number, service, *, slots=6, queue=24, work_s=0.06):
        self.fleet, self.record = fleet, fleet.record
        self.id = f"i-{random.getrandbits(40):010x}"
        self.service, self.slots, self.queue, self.work_s = service, slots, queue, work_s
        self.ip = f"{fleet.network}.{100 + number}"
        self.runs = []  # (attempt id, when)
        self.lock = threading.Lock()
        self.taken = 0  # slots and places in the queue that are taken
        self.closed = False
        self._slots = threading.Semaphore(slots)
        self._listener = socket.create_server((self.ip, 0), backlog=256)
        self.address = f"{self.ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def close(self):
        self.closed = True
        self._listener.close()

    def heartbeat(self, sequence):
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "hall-1",
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": sequence,
        }

    def _announce(self):
        sequence = 0
        while not self.closed:
            sequence += 1
            body = json.dumps(self.heartbeat(sequence)).encode()
            cores = random.sample(self.fleet.cores, len(self.fleet.cores))
            for core in cores:
                status, _, _ = call(
                    f"{core}:{PORTS['Control']}", "POST", f"/instances/{self.id}/heartbeat", body
                )
                if 200 <= status < 300:
                    break
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while not self.closed:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted):
        state = {}
        with accepted, accepted.makefile("rb") as reader:
            try:
                while not self.closed:
                    request = read_request(reader)
                    if request is None:
                        return
                    self.handle(accepted, request, state)
            except OSError:
                return

    def handle(self, connection, request, state):
        """Answer one request; ``state`` belongs to the connection."""
        connection.sendall(self.answer(request))

    def answer(self, request):
        """Run a request, or reject it; return the bytes of the answer."""
        method, target, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        if target == "/health":
            return encode(200, {"X-Instance-Id": self.id}, b"ok")
        if not attempt:
            return encode(400, {"X-Not-Executed": "1"}, b"no id")
        if headers.get("x-expect-instance", self.id) != self.id:
            return encode(421, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"")
        with self.lock:
            is_full = self.taken >= self.slots + self.queue
            if not is_full:
                self.taken += 1
        if is_full:
            self.record(f"engine {self.id} is full and rejects {attempt}")
            return encode(503, {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}, b"full")
        with self._slots:
            with self.lock:
                self.runs.append((attempt, time.monotonic()))
            self.record(f"engine {self.id} runs {attempt}")
            time.sleep(self.work_s)
        with self.lock:
            self.taken -= 1
        seal = {"X-Attempt-Id": attempt, "X-Response-Seal": f"{self.id}.{attempt}"}
        return encode(200, seal, f"done {attempt}".encode())


def encode(status, headers, body):
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_head(reader):
    """Return the first line and the headers, by lower-case names; None at the end."""
    first = reader.readline().decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while line := reader.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def read_request(reader):
    """Return method, target, headers and body; None at the end of the connection."""
    head = read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    size = int(headers.get("content-length", "0"))
    body = reader.read(size) if size else b""
    return None if len(body) < size else (method, target, headers, body)


class Client:
    """A client with one kept connection: resolves an address, sends requests, reads answers."""

    def __init__(self, fleet, host):
        self._fleet, self._host = fleet, host
        self._socket = self._reader = None
        self._addresses, self._until = [], 0.0

    def close(self):
        if self._socket is not None:
            self._reader.close()
            self._socket.close()
        self._socket = None

    def forget(self):
        """Forget the directory's response."""
        self._addresses, self._until = [], 0.0

    def lists(self, ip):
        """Return whether the directory's response names an entry host."""
        return any(address.rpartition(":")[0] == ip for address in self._addresses)

    def resolve(self):
        """Ask the directory, unless its last response still counts."""
        if time.monotonic() >= self._until or not self._addresses:
            for core in self._fleet.cores:
                address = f"{core}:{PORTS['Directory']}"
                path = f"/resolve?Name={self._host}&Region=region-1&Zone=hall-1"
                status, _, body = call(address, "GET", path)
                if status == 200 and json.loads(body).get("Addresses"):
                    found = json.loads(body)
                    self._addresses = found["Addresses"]
                    self._until = time.monotonic() + found["TtlS"]
                    break

    def _connect(self):
        self.resolve()
        if not self._addresses:
            raise OSError("no address")
        host, _, port = random.choice(self._addresses).rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout=1.0)
        self._reader = self._socket.makefile("rb")

    def ask(self, method, path, headers, body=b"", timeout_s=3.0):
        """Send a request; return status, headers and body, or status 0 if the connection ends."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            if self._socket is None:
                self._connect()
            self._socket.settimeout(timeout_s)
            self._socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = read_head(self._reader)
            if head is None:
                self.close()
                return 0, {}, b"closed"
            first, answered = head
            size = int(answered.get("content-length", "0"))
            content = self._reader.read(size)
            if answered.get("connection", "").lower() == "close":
                self.close()
            return int(first.split(" ")[1]), answered, content
        except OSError as error:
            self.close()
            return 0, {}, repr(error).encode()


def configuration(version, services, routes, tenants=()):
    """Return a configuration as PROTOCOL shows it."""
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": [
            {"Name": name, "HealthCheckPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": name, "ApiKeys": [key]} for name, key in tenants],
    }


def route(name, host, prefix, service, *, kind="unsafe", attempts=1, timeout_ms=1500, target_ms=300):
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": target_ms,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": False,
        "SessionAffinity": False,
        "StreamResume": False,
        "TargetGapMs": 0,
    }


def wait_ready(fleet, within_s=30.0):
    """Wait until every entry host says that it is ready."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        statuses = [call(f"{ip}:{PORTS['Ready']}", "GET", "/ready")[0] for ip in fleet.fronts]
        if all(status == 200 for status in statuses):
            return
        time.sleep(0.2)
    raise CouldNotRun("the entry hosts did not become ready")


def run_case(record_path, play):
    """Play a case; return its exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_path)
    fleet = None
    try:
        fleet = Fleet(record)
        is_broken = play(fleet)
        record("RULE BROKEN" if is_broken else "rule held")
        return 1 if is_broken else 0
    except Exception as error:
        record("could not run:", repr(error))
        return 2
    finally:
        if fleet is not None:
            fleet.close()
        record.close()
