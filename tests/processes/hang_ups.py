"""Callers that leave in the middle of their answers, as a seed draws, beside patient ones."""

import dataclasses
import random
import socket
import struct
import threading
import time
import urllib.parse

RESET = struct.pack("ii", 1, 0)
READ_BYTES = 65536
TIMEOUT_S = 30.0
EVENT_END = b"\n\n"
LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class HangUp:
    """Hold when a caller leaves: after so many events, or a time after the request was sent."""

    events: int
    pause_s: float
    is_reset: bool


def draw(random_source, *, events):
    """Draw a hang-up: before the first byte, within, at the last event or after the end."""
    match random_source.choice(["before", "within", "within", "within", "last", "end"]):
        case "before":
            after, pause_s = 0, random_source.choice([0.0, 0.01, 0.06])
        case "within":
            after, pause_s = random_source.randint(0, max(events - 1, 0)), 0.0
        case "last":
            after, pause_s = events, 0.0
        case _:
            after, pause_s = events + 1, 0.0
    return HangUp(after, pause_s, random_source.random() < 0.7)


def http_request(path, body, headers):
    """Return the bytes of a POST request."""
    lines = [f"POST {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def leave(address, request, hang_up):
    """Send a request and leave; return whether the connection could be opened."""
    parts = urllib.parse.urlsplit(address)
    try:
        caller = socket.create_connection((parts.hostname, parts.port), timeout=TIMEOUT_S)
    except OSError:
        return False
    with caller:
        try:
            caller.sendall(request)
            _read_events(caller, hang_up.events)
            time.sleep(hang_up.pause_s)
        except OSError:
            return True
        if hang_up.is_reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    return True


def _read_events(caller, count):
    received = b""
    while received.count(EVENT_END) < count and not received.endswith(LAST_CHUNK):
        data = caller.recv(READ_BYTES)
        if not data:
            return
        received += data


class Callers:
    """Run callers in threads until closed, and keep what they returned."""

    def __init__(self, seed):
        self.results = []
        self._seed = seed
        self._is_over = threading.Event()
        self._threads = []

    def start(self, name, call):
        """Repeat ``call`` with a random source of its own; a failure ends that caller."""

        def _repeat():
            source = random.Random(f"{self._seed}-{name}")
            while not self._is_over.is_set():
                try:
                    self.results.append(call(source))
                except Exception as error:
                    self.results.append(error)
                    return

        thread = threading.Thread(target=_repeat)
        self._threads.append(thread)
        thread.start()

    def close(self):
        """Let each caller end its call, and wait for it."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()
