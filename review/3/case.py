"""Case 3: a burst of requests with bodies within MaxBodyBytes takes entry hosts over their memory."""

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

FOLDER = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "xano55b"
ENGINES = 12
WORK_S = 0.45
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_BYTES = 4_000_000  # MaxBodyBytes is 4,194,304.
BYTES_PER_S = (300_000, 1_200_000)  # What a client's own link carries.
USERS_PER_S = 18.0  # Two of nine entry hosts of the site get 24 a second.
TRAFFIC_S = 16.0
BURST_X = 2.3 if TROUBLE else 1.0  # burst: x = 2.3,
BURST_AT_S = 3.0
BURST_S = 9.0  # for 9 s.
DEADLINE_MS = 15_000
MEMORY_MB = 300
CHUNK_BYTES = 25_000


class Platform:
    """Kill a process that uses more than MemoryMb."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.peak_mb = dict.fromkeys(fleet.fronts, 0.0)
        self.killed = []
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while True:
            time.sleep(0.05)
            for front in self._fleet.fronts:
                process = self._fleet.processes[front]
                used_mb = _resident_mb(process.pid)
                self.peak_mb[front] = max(self.peak_mb[front], used_mb)
                if used_mb > MEMORY_MB and process.poll() is None:
                    self._fleet.record(f"platform: {front} uses {used_mb:.0f} MB of {MEMORY_MB}: killed")
                    self.killed.append((front, time.monotonic()))
                    process.kill()
                    process.wait()


def _resident_mb(pid):
    """Return the memory of a process in megabytes; 0 once it has ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    sizes = [int(line.split()[1]) for line in lines if line.startswith("VmRSS:")]
    return sizes[0] * 1024 / 1e6 if sizes else 0.0


class User(standins.Client):
    """A client that sends a request on a kept connection, at the speed of its own link."""

    def __init__(self, fleet):
        super().__init__(fleet, HOST)
        self.result = None
        self._bytes_per_s = random.uniform(*BYTES_PER_S)

    def warm_up(self):
        """Use the connection for a first, short request."""
        return self.ask("POST", "/lohu930/2f", self._headers(new_attempt()), b"x" * 600)[0]

    def use(self, when):
        time.sleep(max(0.0, when - time.monotonic()))
        if self._socket is None:
            return
        attempt, front = new_attempt(), self._socket.getpeername()[0]
        lines = ["POST /lohu930/2f HTTP/1.1", f"Host: {HOST}", f"Content-Length: {BODY_BYTES}"]
        lines += [f"{name}: {value}" for name, value in self._headers(attempt).items()]
        began_at = time.monotonic()
        status, why = 0, "closed"
        try:
            self._socket.settimeout(DEADLINE_MS / 1000.0)
            self._socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            self._send_body(began_at)
            head = standins.read_head(self._reader)
            if head is not None:
                status, why = int(head[0].split(" ")[1]), ""
        except OSError as error:
            why = repr(error)
        took_s = time.monotonic() - began_at
        self._fleet.record(f"client: {attempt} at {front} got {status} {why} after {took_s:.1f} s")
        self.result = (attempt, front, status, took_s)

    def _send_body(self, began_at):
        sent = 0
        while sent < BODY_BYTES:
            size = min(CHUNK_BYTES, BODY_BYTES - sent)
            self._socket.sendall(BODY[:size])
            sent += size
            time.sleep(max(0.0, began_at + sent / self._bytes_per_s - time.monotonic()))

    @staticmethod
    def _headers(attempt):
        return {
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token {KEY}",
        }


BODY = b"x" * CHUNK_BYTES


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def arrivals():
    """Return when requests begin, in seconds from the start of the traffic."""
    times, when = [], 0.0
    while when < TRAFFIC_S:
        times.append(when)
        is_burst = BURST_AT_S <= when < BURST_AT_S + BURST_S
        when += 1.0 / (USERS_PER_S * (BURST_X if is_burst else 1.0))
    return times


def run(threads):
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(fleet):
    fleet.start()
    operator = standins.Operator(fleet)
    routes = [standins.route("r-1", HOST, "/lohu930/", SERVICE, timeout_ms=DEADLINE_MS)]
    if not operator.put(standins.configuration(7, [SERVICE], routes, [("hule930", KEY)])):
        raise standins.CouldNotRun("the configuration was not acknowledged")
    engines = [
        standins.Engine(fleet, number, SERVICE, work_s=WORK_S) for number in range(ENGINES)
    ]
    standins.wait_ready(fleet)
    time.sleep(4.0)
    platform = Platform(fleet)
    times = arrivals()
    users = [User(fleet) for _ in times]
    run([threading.Thread(target=user.warm_up) for user in users])
    fleet.record("before the burst:", memory(platform))
    begin_at = time.monotonic() + 0.5
    fleet.record(f"{len(users)} requests of {BODY_BYTES} bytes in {TRAFFIC_S} s, burst x {BURST_X}")
    run(
        [
            threading.Thread(target=user.use, args=(begin_at + when,))
            for when, user in zip(times, users, strict=True)
        ]
    )
    for user in users:
        user.close()
    time.sleep(1.0)
    for engine in engines:
        engine.close()
    ran = {attempt: engine.id for engine in engines for attempt, _ in engine.runs}
    results = [user.result for user in users if user.result is not None]
    lost = [
        (attempt, front)
        for attempt, front, status, took_s in results
        if status == 0 and attempt in ran and took_s < DEADLINE_MS / 1000.0 - 0.5
    ]
    for attempt, front in lost:
        fleet.record(f"LOST: {attempt} ran at engine {ran[attempt]}; {front} closed its connection")
    fleet.record(memory(platform))
    fleet.record(
        f"requests {len(results)}, served {sum(result[2] == 200 for result in results)},"
        f" lost {len(lost)}, processes killed for their memory: {len(platform.killed)}"
    )
    return len(lost) > 3


def memory(platform):
    return "most memory: " + ", ".join(f"{ip} {mb:.0f} MB" for ip, mb in platform.peak_mb.items())


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
