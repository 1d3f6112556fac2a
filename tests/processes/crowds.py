"""Crowds of clients that misbehave, each on a connection that it never closes itself."""

import contextlib
import dataclasses
import pathlib
import selectors
import socket
import threading
import time

HOST = "a.example"
SHORT_FIELDS_BYTES = 15_000
SETTLE_S = 0.5
"""Time without progress after which a crowd has sent all that its server takes, in seconds."""
SEND_S = 3.0
"""Most time for which a crowd sends before a request is made beside it, in seconds."""
PAUSE_S = 0.02


@dataclasses.dataclass(frozen=True)
class Client:
    """What each client of a crowd does.

    Attributes:
        count: How many clients there are.
        data: What each of them sends.
        piece_bytes: How much it sends at once.
        pause_s: Time between two pieces, in seconds.
        ends_early: Whether it ends its sending side after that.
        read_bytes: How much it reads of the answers at once; 0 for nothing.
    """

    count: int
    data: bytes
    piece_bytes: int = 1 << 18
    pause_s: float = 0.0
    ends_early: bool = False
    read_bytes: int = 0


def _head(method, path, *lines):
    return "\r\n".join((f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines, "", "")).encode()


def _body(method, path, length, sent):
    return _head(method, path, f"Content-Length: {length}") + b"x" * sent


def _chunks(method, path, size, count):
    return _head(method, path, "Transfer-Encoding: chunked") + (
        b"%x\r\n%s\r\n" % (size, b"x" * size) * count
    )


def _short_fields(method, path, *lines):
    fields = [f"{number:x}:" for number in range(4096, 4096 + SHORT_FIELDS_BYTES // 7)]
    return _head(method, path, *lines, *fields)


def kinds(method, path):
    """Return the crowds by name: what they send to a path."""
    get = _head("GET", path)
    fields = _short_fields(method, path, "Content-Length: 1000")
    return {
        "bodies one byte short": Client(1_200, _body(method, path, 65_000, 64_999)),
        "bodies in small pieces": Client(
            400, _body(method, path, 60_000, 59_999), piece_bytes=6_000
        ),
        "long bodies one byte short": Client(60, _body(method, path, 4_000_000, 3_999_999)),
        "long bodies in chunks": Client(60, _chunks(method, path, 50_000, 80)),
        "bodies in chunks of one byte": Client(200, _chunks(method, path, 1, 10_000)),
        "bodies over the limit": Client(40, _body(method, path, 1 << 30, 24_000_000)),
        "endless chunks": Client(40, _chunks(method, path, 1_000_000, 24)),
        "heads of short fields": Client(900, fields[:-2]),
        "bodies behind short fields": Client(300, fields + b"x" * 999),
        "requests ahead": Client(150, get * 4_000),
        "requests ahead with short fields": Client(60, _short_fields("GET", path) * 20),
        "slow senders": Client(400, get[:-2], piece_bytes=1, pause_s=PAUSE_S),
        "slow readers": Client(150, get * 400, read_bytes=16, pause_s=PAUSE_S),
        "bodies that end half-way": Client(
            300, _body(method, path, 60_000, 30_000), ends_early=True
        ),
    }


NAMES = tuple(kinds("POST", "/"))


class Crowd(threading.Thread):
    """Clients that send at the same time, as much as their server takes.

    Attributes:
        sent: Set once they have sent all that their server takes for now.
    """

    def __init__(self, address, client):
        super().__init__(daemon=True)
        host, _, port = address.partition("://")[2].partition(":")
        self._address = host, int(port)
        self._client = client
        self._offset_by_sock = {}
        self._closing = threading.Event()
        self._selector = selectors.DefaultSelector()
        self.sent = threading.Event()

    def __enter__(self):
        self.start()
        self.sent.wait(SEND_S)
        return self

    def __exit__(self, *_):
        self._closing.set()
        self.join()

    def run(self):
        for _ in range(self._client.count):
            self._connect()
        progress_at = time.monotonic()
        while not self._closing.is_set():
            if self._send_pieces():
                progress_at = time.monotonic()
            if self._is_done() or time.monotonic() - progress_at > SETTLE_S:
                self.sent.set()
            time.sleep(self._client.pause_s)
        for sock in list(self._offset_by_sock):
            sock.close()
        self._selector.close()

    def _connect(self):
        sock = socket.socket()
        try:
            sock.settimeout(1.0)
            sock.connect(self._address)
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        self._offset_by_sock[sock] = 0
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)

    def _is_done(self):
        size = len(self._client.data)
        return all(offset >= size for offset in self._offset_by_sock.values())

    def _send_pieces(self):
        """Let each client send a piece; return whether one of them did."""
        has_sent = False
        for key, events in self._selector.select(0.05):
            try:
                if events & selectors.EVENT_WRITE:
                    has_sent |= self._send_piece(key.fileobj)
                if events & selectors.EVENT_READ:
                    self._read(key.fileobj)
            except OSError:
                self._drop(key.fileobj)
        return has_sent

    def _read(self, sock):
        if sock.recv(1, socket.MSG_PEEK) == b"":
            raise ConnectionResetError
        if self._client.read_bytes:
            sock.recv(self._client.read_bytes)
        elif self._offset_by_sock[sock] < len(self._client.data):
            self._selector.modify(sock, selectors.EVENT_WRITE)
        else:
            self._selector.unregister(sock)

    def _send_piece(self, sock):
        offset = self._offset_by_sock[sock]
        piece = memoryview(self._client.data)[offset : offset + self._client.piece_bytes]
        if not piece:
            if self._client.ends_early:
                sock.shutdown(socket.SHUT_WR)
            self._selector.modify(sock, selectors.EVENT_READ)
            return False
        sent = sock.send(piece)
        self._offset_by_sock[sock] += sent
        return sent > 0

    def _drop(self, sock):
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)
        del self._offset_by_sock[sock]
        sock.close()


def peak_bytes(pid):
    """Return the most memory that a process has had so far, in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    found = {name: value for name, _, value in (line.partition(":") for line in lines)}
    return int(found["VmHWM"].split()[0]) * 1024


def descriptors(pid):
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
