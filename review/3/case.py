"""Case 3: a stopping entry host accepts streams that it then cuts."""

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
SERVICE = "dele69a"
PREFIX = "/lohu930/"
EVENT_S = 0.03
USUAL_EVENTS = 58  # label-text of the site: 58 events on average,
MOST_EVENTS = 191  # 191 at the most.
DEADLINE_MS = 15_000
CALLERS = 6  # Usual traffic, by clients that do as the directory says.
KEEPERS = 8  # Clients that keep its response three times as long.
STOPS = 3  # roll_term, one machine at a time.
SEND_AT_S = (3.05, 3.15)  # After the SIGTERM: later than 3 s.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class StreamingEngine(standins.Engine):
    """A model engine: the prompt's part says how many events the answer has."""

    def handle(self, connection, request, state):
        _, _, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            rejected = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            connection.sendall(standins.encode(421, rejected, b""))
            return
        count = int(headers["x-length-hint"]) // 5
        with self.lock:
            self.runs.append((attempt, time.monotonic()))
        self.record(f"engine {self.id} runs {attempt}: {count} events")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Response-Seal: {self.id}.{attempt}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        connection.sendall(head.encode())
        try:
            for number in range(1, count + 1):
                time.sleep(EVENT_S)
                event = f"id: {number}\ndata: {'x' * 55}\n\n".encode()
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            connection.sendall(b"0\r\n\r\n")
        except OSError:
            self.record(f"engine {self.id}: the connection of {attempt} was closed at event {number}")
            raise
        self.record(f"engine {self.id} has ended {attempt}")


class Caller(standins.Client):
    """A client of streams on a kept connection."""

    def __init__(self, fleet):
        super().__init__(fleet, HOST)

    @property
    def peer(self):
        return "" if self._socket is None else self._socket.getpeername()[0]

    @property
    def is_outdated(self):
        """Return whether the directory's response has to be asked for again."""
        return time.monotonic() >= self._until

    def ask_stream(self, events):
        """Ask for a stream; return attempt, host, when it was sent, status, events and the end."""
        attempt = f"{random.getrandbits(64):016x}"
        lines = [
            f"POST {PREFIX}2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            "X-Model: m",
            f"X-Token-Usage: 826,{MOST_EVENTS * 5}",
            f"X-Prompt-Prefix: 5c1e07a2:198,{attempt[:8]}:628",
            f"X-Length-Hint: {events * 5}",
            "Content-Length: 600",
        ]
        status, got, end, sent_at, front = 0, 0, "closed", time.monotonic(), ""
        try:
            if self._socket is None:
                self._connect()
            front = self.peer
            self._socket.settimeout(DEADLINE_MS / 1000.0)
            sent_at = time.monotonic()
            self._socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * 600)
            head = standins.read_head(self._reader)
            if head is not None:
                status = int(head[0].split(" ")[1])
                if "content-length" in head[1]:
                    self._reader.read(int(head[1]["content-length"]))
                    end = "answered"
                else:
                    got, end = self._read_events()
                if head[1].get("connection", "").lower() == "close" or end != "complete":
                    self.close()
        except OSError as error:
            end = repr(error)
            self.close()
        took_s = time.monotonic() - sent_at
        self._fleet.record(
            f"client: {attempt} at {front} got {status}, {got} of {events} events, {end},"
            f" after {took_s:.2f} s"
        )
        return attempt, front, sent_at, status, got, end, took_s

    def _read_events(self):
        got = 0
        while True:
            try:
                line = self._reader.readline()
                size = int(line, 16) if line.strip() else -1
                if size <= 0:
                    self._reader.readline()
                    return got, "complete" if size == 0 else "closed"
                got += self._reader.read(size).count(b"\n\n")
                self._reader.readline()
            except OSError as error:
                return got, repr(error)


def call_usually(fleet, stopping):
    """Ask for streams of usual length, and for the directory's response whenever it says so."""
    caller = Caller(fleet)
    while not stopping.is_set():
        if caller.is_outdated:
            caller.forget()
            before = caller.peer
            caller.resolve()
            if before and not caller.lists(before):
                caller.close()
        caller.ask_stream(random.randint(USUAL_EVENTS // 2, 2 * USUAL_EVENTS - USUAL_EVENTS // 2))
        time.sleep(random.uniform(0.1, 0.6))
    caller.close()


def keep_and_ask(caller, when, results):
    """Ask for a long stream on the open connection."""
    time.sleep(max(0.0, when - time.monotonic()))
    if caller.peer:
        results.append(caller.ask_stream(MOST_EVENTS))


def stop_one(fleet, front, results):
    keepers = []
    while len(keepers) < KEEPERS:
        keeper = Caller(fleet)
        keeper.ask_stream(1)
        if keeper.peer == front:
            keepers.append(keeper)
        else:
            keeper.close()
    process = fleet.processes[front]
    if TROUBLE:
        fleet.record("platform: SIGTERM to", front)
        fleet.stop_machine(front)
    sigterm_at = time.monotonic()
    threads = [
        threading.Thread(
            target=keep_and_ask, args=(keeper, sigterm_at + random.uniform(*SEND_AT_S), results)
        )
        for keeper in keepers
    ]
    for thread in threads:
        thread.start()
    if TROUBLE:
        while process.poll() is None and time.monotonic() < sigterm_at + standins.GRACE_S:
            time.sleep(0.02)
        if process.poll() is None:
            fleet.record("platform: SIGKILL to", front)
            process.kill()
        process.wait()
        fleet.record(front, f"ended {time.monotonic() - sigterm_at:.1f} s after the SIGTERM")
        time.sleep(0.5)
        fleet.start_machine(front)
    for thread in threads:
        thread.join()
    for keeper in keepers:
        keeper.close()
    standins.wait_ready(fleet)
    time.sleep(4.0)
    return front, sigterm_at


def play(fleet):
    fleet.start()
    operator = standins.Operator(fleet)
    route = standins.route("r-1", HOST, PREFIX, SERVICE, kind="streaming", timeout_ms=DEADLINE_MS)
    route |= {"SessionAffinity": True, "TargetGapMs": 200, "Priority": 0}
    first = standins.configuration(7, [SERVICE], [route], [("hule930", KEY)])
    first["Services"][0] |= {
        "MaxConnections": 370,
        "Engine": {
            "Slots": 64,
            "KvCapacityTokens": 547510,
            "KvTokenBytes": 163840,
            "LinkMbps": 260000.0,
            "Stride": 5,
            "Models": [{"Name": "m"}],
        },
    }
    if not operator.put(first):
        raise standins.CouldNotRun("the configuration was not acknowledged")
    engines = [StreamingEngine(fleet, number, SERVICE, slots=64) for number in range(4)]
    standins.wait_ready(fleet)
    stopping = threading.Event()
    callers = [
        threading.Thread(target=call_usually, args=(fleet, stopping)) for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(8.0)
    results, stops = [], []
    for number in range(STOPS):
        stops.append(stop_one(fleet, fleet.fronts[number % len(fleet.fronts)], results))
    stopping.set()
    for caller in callers:
        caller.join()
    for engine in engines:
        engine.close()
    ran = {attempt: engine.id for engine in engines for attempt, _ in engine.runs}
    lost = 0
    for attempt, front, sent_at, status, got, end, took_s in results:
        after_s = min(sent_at - at for stopped, at in stops if stopped == front and at <= sent_at)
        is_cut = end not in ("complete", "answered")
        is_in_time = took_s < DEADLINE_MS / 1000 and after_s + took_s <= standins.GRACE_S + 1.0
        if TROUBLE and is_cut and attempt in ran and 3.0 < after_s and is_in_time:
            lost += 1
            fleet.record(
                f"LOST: {attempt}, sent to {front} {after_s:.2f} s after its SIGTERM, was passed on to"
                f" {ran[attempt]}; its connection ended after {got} of {MOST_EVENTS} events,"
                f" {after_s + took_s:.2f} s after the SIGTERM"
            )
    complete = sum(result[5] == "complete" for result in results)
    fleet.record(f"long streams {len(results)}, complete {complete}, lost {lost}")
    if not results:
        raise standins.CouldNotRun("no long stream was sent")
    return lost > 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER / "record.txt", play))
