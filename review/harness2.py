"""A small deployment on loopback for the scripts of the second review: programs, engines, clients.

The project's programs are started with the ``run`` lines of ``deploy/system.toml`` and a settings
file as DEPLOY describes it. Engines, clients, the operator and the platform are stand-ins in the
script's own process; they use the standard library alone and follow the users' pages.
"""

import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESERVING_PORT = 6997
CONTROL, DIRECTORY, FRONT, READY, INTERNAL = 8229, 8228, 8227, 8220, 7340
MEMORY_MB = 300  # of an entry host of the small sites
SEAL = "X-Response-Seal"


BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetBurst": 52,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 5.9,
    "ttl_max_s": 5,
}
"""The bounds of the small site strathtune-router."""

CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]


class CannotRun(Exception):
    """The case could not be run; this is neither a pass nor a failure."""


def _reserve_network():
    """Return the first three numbers of free loopback addresses and the reserving socket."""
    for offset in range(200):
        prefix = f"127.{20 + (os.getpid() + offset) % 200}.77"
        reserving = socket.socket()
        try:
            reserving.bind((f"{prefix}.254", RESERVING_PORT))
        except OSError:
            reserving.close()
            continue
        return prefix, reserving
    raise CannotRun("no loopback network is free")


class Record:
    """Write what was sent, answered and run, one line each, to the record of a case."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began = time.monotonic()

    def __call__(self, *words):
        since = time.monotonic() - self._began
        self._file.write(f"{since:8.3f} " + " ".join(str(word) for word in words) + "\n")


class Deployment:
    """Own the processes of a small deployment."""

    def __init__(self, record, *, cores=3, fronts=2, bounds=None, cloud=None, more=None):
        self.record = record
        self.prefix, self._reserving = _reserve_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="medlar-review-"))
        self.bounds = BOUNDS | (bounds or {})
        self.cloud = cloud
        self.more = more or {}
        self.cores = [f"{self.prefix}.{1 + n}" for n in range(cores)]
        self.fronts = [f"{self.prefix}.{50 + n}" for n in range(fronts)]
        self.seeds = [f"{ip}:{CONTROL}" for ip in self.cores[:3]]
        self.process_by_ip = {}
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.run_by_class = {role["on"]: role["run"].split() for role in roles.values()}
        if not (ROOT / "target/deps").exists():
            raise CannotRun("the build of the deploy file has not run")

    def settings_file(self, ip):
        return self.folder / f"{ip}.toml"

    def write_settings(self, ip, *, bootstrap=False, seeds=None):
        """Write the settings file of a machine, in one step."""
        on_core = ip in self.cores
        name = ("core" if on_core else "front") + "-" + ip.rpartition(".")[2]
        fields = {
            "NodeName": name,
            "Role": "control" if on_core else "entry",
            "MachineClass": "core" if on_core else "front",
            "Serves": ["control", "directory"] if on_core else ["front"],
            "Ip": ip,
            "Zone": "z1",
            "Region": "r1",
            "InternalPorts": [INTERNAL, INTERNAL + 15],
            "Seeds": self.seeds if seeds is None else seeds,
            "Bootstrap": bootstrap,
            "InTolerance": on_core,
            "Discovery": "registration",
            "Entry": "directory",
            "HeartbeatMs": 1200,
            "Contracts": CONTRACTS,
            "ConfigMode": "highest",
        }
        tables = {
            "Zones": {"z1": "r1"},
            "Listen": (
                {"Control": f"{ip}:{CONTROL}", "Directory": f"{ip}:{DIRECTORY}"}
                if on_core
                else {"Front": f"{ip}:{FRONT}", "Ready": f"{ip}:{READY}"}
            ),
            "Limits": {
                "CpuShare": 0.645 if on_core else 0.537,
                "Cores": 1 if on_core else 2,
                "MemoryMb": 296 if on_core else MEMORY_MB,
                "MaxFds": 4096 if on_core else 4200,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if on_core else 0,
            },
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds,
        }
        if on_core:
            data = self.folder / f"data-{ip}"
            data.mkdir(exist_ok=True)
            fields["DataDir"] = str(data)
        if self.cloud:
            tables["CloudApi"] = self.cloud
        fields |= self.more
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, items in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in items.items()]
        file = self.settings_file(ip)
        new = file.with_suffix(".new")
        new.write_text("\n".join(lines) + "\n")
        new.replace(file)

    def start(self, ip, *, bootstrap=False):
        self.write_settings(ip, bootstrap=bootstrap)
        command = self.run_by_class["core" if ip in self.cores else "front"]
        program = shutil.which(command[0]) or command[0]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MEDLARFORK_SETTINGS": str(self.settings_file(ip)),
        }
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.process_by_ip[ip] = subprocess.Popen(
                [program, *command[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("start", ip)

    def start_all(self):
        for ip in (*self.cores, *self.fronts):
            self.start(ip, bootstrap=True)

    def signal(self, ip, number):
        self.record("signal", ip, signal.Signals(number).name)
        self.process_by_ip[ip].send_signal(number)

    def kill(self, ip):
        self.signal(ip, signal.SIGKILL)
        self.process_by_ip[ip].wait()

    def log(self, ip):
        file = self.folder / f"{ip}.log"
        return file.read_text(errors="replace") if file.exists() else ""

    def ended(self):
        """Return the processes that have ended by themselves, with their status."""
        polled = {ip: process.poll() for ip, process in self.process_by_ip.items()}
        return {ip: status for ip, status in polled.items() if status is not None}

    def close(self):
        for process in self.process_by_ip.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._reserving.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """Return the first line and the headers of a message, names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Answer:
    """An answer; ``is_whole`` says whether it came completely."""

    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


async def call(address, method, target, headers, body=b"", *, within_s=5.0):
    """Send one request on a new connection; return the answer, or None if there is none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await writer.drain()
            first, received = await read_head(reader)
            status = int(first.split()[1])
            try:
                return Answer(status, received, await read_body(reader, received), True)
            except (OSError, EOFError, ValueError):
                return Answer(status, received, b"", False)
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


class Operator:
    """Send configurations to control as the operator does: any node, 307 twice, then the next."""

    def __init__(self, deployment):
        self._deployment = deployment

    async def ask(self, method, path, body=b"", *, nodes=None, within_s=20.0):
        """Return the first clear answer."""
        until = time.monotonic() + within_s
        last = None
        nodes = list(nodes or self._deployment.cores)
        for node in itertools.cycle(nodes):
            if time.monotonic() > until:
                return last
            target = f"{node}:{CONTROL}"
            for _ in range(3):
                headers = {"Host": target, "Content-Type": "application/json"}
                last = await call(target, method, path, headers, body, within_s=1.0)
                if last is None or last.status != 307:
                    break
                target = last.headers["location"].split("/")[2]
            if last is not None and (last.status < 300 or last.status in (400, 409, 412, 413, 422)):
                return last
            await asyncio.sleep(0.1)

    async def put(self, config, **options):
        answer = await self.ask("POST", "/config/put", json.dumps(config).encode(), **options)
        status = None if answer is None else answer.status
        self._deployment.record("config", config["Version"], "answered", status)
        return answer


def route(name, prefix, service, kind="unsafe", **more):
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": "a.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 500,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "SessionAffinity": False,
        "StreamResume": False,
        "TargetGapMs": 500,
    } | more


def configuration(version, routes, services, tenants=None):
    """Return a complete configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthCheckPath": "/health", "MaxConnections": 300, "Protocol": "h1"}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants or [{"Name": "shop", "ApiKeys": ["key-shop"], "Priority": 1}],
    }


class Engine:
    """An engine: announces itself, runs requests, and keeps what it ran.

    ``runs`` holds (time, attempt id, method, target, headers, body) of each request that it ran.
    """

    def __init__(self, deployment, number, service, *, port=8080, slots=8, born=None, name=None):
        self.deployment = deployment
        self.ip = f"{deployment.prefix}.{100 + number}"
        self.address = f"{self.ip}:{port}"
        self.name = name or f"i-{number:02d}{random.randrange(16**6):06x}"
        self.service = service
        self.slots = slots
        self.born = born
        self.state = "ready"
        self.runs = []
        self.rejections = []
        self.work_s = 0.02
        self.sequence = 0
        self.beats = True
        self._server = None
        self._port = port
        self._beating = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, self._port, limit=1 << 20)
        self._beating = asyncio.create_task(self._beat())

    async def close(self):
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()

    async def _beat(self):
        while True:
            if self.beats:
                await self.heartbeat()
            await asyncio.sleep(1.2)

    def said(self):
        self.sequence += 1
        said = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
        }
        return said if self.born is None else said | {"born": self.born}

    async def tell(self, path, said, nodes=None):
        """Call control as engines do: one second each, then the next node."""
        nodes = list(nodes or random.sample(self.deployment.cores, len(self.deployment.cores)))
        for node in nodes:
            headers = {"Host": f"{node}:{CONTROL}", "Content-Type": "application/json"}
            answer = await call(
                f"{node}:{CONTROL}", "POST", path, headers, json.dumps(said).encode(), within_s=1.0
            )
            if answer is not None and answer.status // 100 == 2:
                return node
        return None

    async def heartbeat(self, nodes=None):
        return await self.tell(f"/instances/{self.name}/heartbeat", self.said(), nodes)

    async def deregister(self, nodes=None):
        said = {} if self.born is None else {"born": self.born}
        return await self.tell(f"/instances/{self.name}/deregister", said, nodes)

    async def _serve(self, reader, writer):
        try:
            while await self.exchange(reader, writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def exchange(self, reader, writer):
        """Serve one request; return whether the connection stays open."""
        first, headers = await read_head(reader)
        method, target, _ = first.split()
        body = await read_body(reader, headers)
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            writer.write(self.head("421 Misdirected Request", attempt, 0, not_run=True))
            return True
        return await self.run(reader, writer, method, target, headers, body)

    async def run(self, reader, writer, method, target, headers, body):
        attempt = headers.get("x-attempt-id", "")
        self.note_run(attempt, method, target, headers, body)
        await asyncio.sleep(self.work_s)
        data = f"{self.name} {attempt}".encode()
        writer.write(self.head("200 OK", attempt, len(data)) + data)
        await writer.drain()
        return True

    def note_run(self, attempt, method, target, headers, body):
        self.runs.append((time.monotonic(), attempt, method, target, headers, body))
        self.deployment.record("run", attempt, "at", self.name, self.service, method, target)

    def head(self, status, attempt, length, *, not_run=False, more=""):
        mark = "X-Not-Executed: 1\r\n" if not_run else f"{SEAL}: seal.{attempt}\r\n"
        return (
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n{mark}"
            f"X-Server-Load: 1,0,{self.slots}\r\n{more}Content-Length: {length}\r\n\r\n"
        ).encode()


class Client:
    """Send requests to entry hosts, each attempt with an id of its own."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self._salt = f"{random.randrange(16**6):06x}"

    def new_id(self):
        return f"{self._salt}{next(self._numbers):06x}"

    async def send(
        self,
        front,
        target,
        *,
        method="POST",
        body=b"x",
        key="key-shop",
        attempt=None,
        deadline_ms=4000,
        more=None,
    ):
        attempt = attempt or self.new_id()
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": deadline_ms,
            "Authorization": f"Token {key}",
        } | (more or {})
        self._deployment.record("sent", attempt, method, target, "to", front)
        answer = await call(
            f"{front}:{FRONT}", method, target, headers, body, within_s=deadline_ms / 1000 + 0.5
        )
        said = "nothing" if answer is None else f"{answer.status} whole={answer.is_whole}"
        self._deployment.record("answered", attempt, said)
        return attempt, answer


class Platform:
    """End a process that uses more than MemoryMb, and start it again after a short delay."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.ends = collections.Counter()
        self.most = collections.Counter()

    def _resident_bytes(self, ip):
        process = self._deployment.process_by_ip[ip]
        try:
            lines = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
        except OSError:
            return 0
        sizes = [int(line.split()[1]) for line in lines if line.startswith("VmRSS")]
        return 1024 * sizes[0] if sizes else 0

    async def watch(self, ip):
        while True:
            used = self._resident_bytes(ip)
            self.most[ip] = max(self.most[ip], used)
            if used > MEMORY_MB * 1024 * 1024:
                self._deployment.record("memory", ip, used // 1_000_000, "MB")
                self._deployment.kill(ip)
                self.ends[ip] += 1
                await asyncio.sleep(0.5)
                self._deployment.start(ip)
            await asyncio.sleep(0.02)


async def until(condition, within_s=20.0, what="the deployment is ready"):
    """Wait until an asynchronous condition holds."""
    end = time.monotonic() + within_s
    while not await condition():
        if time.monotonic() > end:
            raise CannotRun(f"not in time: {what}")
        await asyncio.sleep(0.1)


async def wait_ready(deployment, client, targets):
    """Wait until each entry host is ready and serves each target."""
    for front in deployment.fronts:

        async def is_ready(front=front):
            answer = await call(f"{front}:{READY}", "GET", "/ready", {"Host": front}, within_s=1.0)
            if answer is None or answer.status != 200:
                return False
            for target in targets:
                _, answer = await client.send(front, target)
                if answer is None or answer.status != 200:
                    return False
            return True

        await until(is_ready, 25.0, f"{front} serves")


def main(case, record_file):
    """Run a case: ``case(record, trouble)`` returns the broken rules as texts."""
    record = Record(record_file)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble", trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except (CannotRun, TimeoutError) as error:
        record("could not run:", repr(error))
        print(f"could not run: {error!r}")
        return 2
    for text in broken:
        record("BROKEN", text)
        print(f"BROKEN {text}")
    record("result", "broken" if broken else "held")
    print("broken" if broken else "held")
    return 1 if broken else 0
