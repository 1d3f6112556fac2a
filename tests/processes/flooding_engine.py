"""Engine whose answers never end: a thread that floods each connection until it is closed."""

import contextlib
import json
import selectors
import socket
import threading
import time
import urllib.request

SERVICE = "floods"
PART_BYTES = 256 * 1024
ANNOUNCE_S = 0.3


def _head(status, *lines):
    return "\r\n".join((f"HTTP/1.1 {status} x", "medlar-attempt-id: ID", *lines, "", "")).encode()


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


EVENTS = "content-type: text/event-stream"
CHUNKED = "transfer-encoding: chunked"
BODY = b"x" * 16_000
KINDS = {
    "success": (_head(200, CHUNKED), _chunk(BODY)),
    "failure": (_head(500, CHUNKED), _chunk(BODY)),
    "no length": (_head(200, "connection: close"), BODY),
    "long length": (_head(200, "content-length: 30000000"), BODY),
    "one event": (_head(200, EVENTS, CHUNKED), _chunk(BODY)),
    "comments": (_head(200, EVENTS, CHUNKED), _chunk(b": x\n" * 4_000)),
}
"""Start of the answer, and the part that is sent again and again."""


class FloodingEngine(threading.Thread):
    """Announces itself, and answers each request on a new connection with a flood.

    Attributes:
        accepted: Number of requests that it got.
    """

    def __init__(self, host, replica, kind):
        super().__init__(daemon=True)
        self.accepted = 0
        self._start, part = KINDS[kind]
        self._flood = memoryview(part * (PART_BYTES // len(part)))
        self._replica = replica
        self._name = f"{SERVICE}-{host}"
        self._offset_by_sock = {}
        self._selector = selectors.DefaultSelector()
        self._listener = socket.create_server((host, 7401), backlog=512)
        self._listener.setblocking(False)
        self._address = f"{host}:7401"
        self._closing = threading.Event()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self._closing.set()
        self.join()

    def run(self):
        born_ms, sequence, due = time.time_ns() // 1_000_000, 0, 0.0
        self._selector.register(self._listener, selectors.EVENT_READ)
        while not self._closing.is_set():
            if time.monotonic() >= due:
                sequence += 1
                due = time.monotonic() + ANNOUNCE_S
                self._announce(born_ms, sequence)
            for key, _ in self._selector.select(0.05):
                if key.fileobj is self._listener:
                    sock, _ = self._listener.accept()
                    sock.setblocking(False)
                    self._selector.register(sock, selectors.EVENT_READ)
                else:
                    self._serve(key.fileobj)
        for sock in (*self._offset_by_sock, self._listener):
            sock.close()
        self._selector.close()

    def _serve(self, sock):
        try:
            if sock not in self._offset_by_sock:
                self._begin(sock)
                return
            offset = self._offset_by_sock[sock]
            sent = sock.send(self._flood[offset:])
            self._offset_by_sock[sock] = (offset + sent) % len(self._flood)
        except OSError:
            self._selector.unregister(sock)
            self._offset_by_sock.pop(sock, None)
            sock.close()

    def _begin(self, sock):
        request = sock.recv(65536)
        if not request:
            raise ConnectionResetError
        attempt_id = request.partition(b"medlar-attempt-id: ")[2].partition(b"\r\n")[0]
        sock.send(self._start.replace(b"ID", attempt_id))
        self._offset_by_sock[sock] = 0
        self._selector.modify(sock, selectors.EVENT_WRITE)
        self.accepted += 1

    def _announce(self, born_ms, sequence):
        announced = {
            "upstream_id": self._name,
            "service": SERVICE,
            "address": self._address,
            "zone": "z1",
            "slots": 512,
            "sequence": sequence,
            "born_ms": born_ms,
        }
        request = urllib.request.Request(
            f"http://{self._replica}:7001/v1/upstreams/{self._name}",
            json.dumps(announced).encode(),
            method="PUT",
        )
        with contextlib.suppress(OSError), urllib.request.urlopen(request, timeout=1):
            pass
