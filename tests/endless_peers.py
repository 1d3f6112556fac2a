"""Peers that send bytes without end until their connection is closed, each in a thread.

A thread sends as a process of its own would, which is never short of bytes.
"""

import contextlib
import socket
import threading
import time

BLOCK_BYTES = 256 * 1024
MAX_SENT_BYTES = 64 << 20
"""More than a reader may read of a message, and the system may buffer."""

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class Flood(threading.Thread):
    """Accepts one connection, and sends as fast as it can until that one is closed.

    Attributes:
        waits: Whether it waits for a request first.
    """

    def __init__(self, start, part, *, waits=True):
        super().__init__(daemon=True)
        self.waits = waits
        self._start, self._part = start, part * (BLOCK_BYTES // len(part))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def run(self):
        sock, _ = self._listener.accept()
        with self._listener, sock, contextlib.suppress(OSError):
            if self.waits:
                sock.recv(65536)
            sock.sendall(self._start)
            while True:
                sock.sendall(self._part)


class Drip(Flood):
    """Sends one part after the other, with a pause, until the connection is closed."""

    def __init__(self, start, part, *, waits=True):
        super().__init__(start, part, waits=waits)
        self._part = part

    def run(self):
        sock, _ = self._listener.accept()
        with self._listener, sock, contextlib.suppress(OSError):
            if self.waits:
                sock.recv(65536)
            sock.sendall(self._start)
            while True:
                sock.sendall(self._part)
                time.sleep(0.01)


class Caller(threading.Thread):
    """Sends one request without end, and keeps the status of its response.

    It gives up at ``MAX_SENT_BYTES``, which spares the memory of this machine.

    Attributes:
        status: The status; 0 for none.
        sent_bytes: Bytes sent.
    """

    def __init__(self, address, start, part, pause_s):
        super().__init__(daemon=True)
        self.status = self.sent_bytes = 0
        host, _, port = address.partition("://")[2].partition(":")
        self._address = host, int(port)
        self._start, self._pause_s = start, pause_s
        self._part = part[:16] if pause_s else part * (BLOCK_BYTES // len(part))

    def run(self):
        with socket.create_connection(self._address) as sock:
            reading = threading.Thread(target=self._read, args=(sock,), daemon=True)
            reading.start()
            with contextlib.suppress(OSError):
                sock.sendall(self._start)
                while self.sent_bytes < MAX_SENT_BYTES:
                    sock.sendall(self._part)
                    self.sent_bytes += len(self._part)
                    time.sleep(self._pause_s)
            reading.join()

    def _read(self, sock):
        with contextlib.suppress(OSError):
            answer = sock.recv(65536)
            self.status = int(answer.split()[1]) if answer.startswith(b"HTTP/") else 0


class ZmqFlood(threading.Thread):
    """Completes the handshake of ZMTP 3 without keys, and sends parts of one message without end.

    It gives up at ``MAX_SENT_BYTES``, which spares the memory of this machine.

    Attributes:
        sent_bytes: Bytes of parts sent.
        is_closed: Whether its connection has been closed.
    """

    GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(16 + 32)
    READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"
    PART = b"\x01\x01x"

    def __init__(self, address):
        super().__init__(daemon=True)
        self.sent_bytes = 0
        self.is_closed = False
        host, _, port = address.partition("://")[2].partition(":")
        self._address = host, int(port)

    def run(self):
        block = self.PART * (BLOCK_BYTES // len(self.PART))
        with socket.create_connection(self._address) as sock:
            sock.sendall(self.GREETING)
            sock.recv(len(self.GREETING), socket.MSG_WAITALL)
            sock.sendall(self.READY)
            sock.recv(len(self.READY), socket.MSG_WAITALL)
            try:
                while self.sent_bytes < MAX_SENT_BYTES:
                    sock.sendall(block)
                    self.sent_bytes += len(block)
            except OSError:
                self.is_closed = True
