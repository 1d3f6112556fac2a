"""Close the connections of peers that send a message without end.

ZeroMQ limits the size of a message's parts but not their number, and hands over complete messages
only. What a peer has sent since its last complete message is counted by the kernel. ZeroMQ holds
many times the bytes of short parts, so the memory of the process tells when to count early.
"""

from __future__ import annotations

import contextlib
import dataclasses
import fcntl
import logging
import os
import resource
import socket
import struct
import termios
import time

import zmq

from medlarfork import logs

CHECK_PERIOD_S = 0.25
"""Maximum interval between checks, in seconds."""

PROBE_PERIOD_S = 0.05
"""Interval between looks at the memory of the process, in seconds."""

RECHECK_PERIOD_S = 0.01
"""The same after a check that has found too many bytes, in seconds: memory grows fast then."""

GROWTH_BYTES = 16_000_000
"""Growth of the process since the last check that makes the next one due, in bytes."""

FRAMING_BYTES = 64 * 1024
"""Allowance for handshake, heartbeats and framing, in bytes."""

_EVENT = struct.Struct("=HI")
"""Event and descriptor in a monitor's message."""

_RECEIVED = struct.Struct("=Q")
_RECEIVED_OFFSET = 128
_INFO_BYTES = _RECEIVED_OFFSET + _RECEIVED.size
"""Position of the number of received bytes in the kernel's ``tcp_info``, and the size up to it."""

_UNREAD = struct.Struct("=i")

_RESET = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a closed connection is reset."""

_STATM = "/proc/self/statm"
_STATM_BYTES = 128

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Connection:
    """An accepted connection.

    Attributes:
        counted_from: Bytes received when its last message was complete, or a little later; None if
            to be read.
        has_message: Whether a message has arrived since the last check.
        is_over: Whether the last check found too many bytes.
    """

    counted_from: int | None = 0
    has_message: bool = False
    is_over: bool = False


class ConnectionWatch:
    """Watches the connections that one ZeroMQ socket has accepted.

    Attributes:
        closed: Number of connections closed.
    """

    def __init__(self, listening: zmq.Socket, message_bytes: int) -> None:
        """Start to watch; messages may have ``message_bytes``."""
        self.closed = 0
        self._listening = listening
        self._limit_bytes = message_bytes + FRAMING_BYTES
        self._connection_by_descriptor: dict[int, _Connection] = {}
        self._is_any_over = False
        self._checked_at_s = time.monotonic()
        self._statm = os.open(_STATM, os.O_RDONLY)
        self._checked_bytes = self._resident_bytes()
        self._monitor = listening.get_monitor_socket(zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED)

    @property
    def period_s(self) -> float:
        """Return the time after which ``is_due`` has to be asked again, in seconds."""
        return RECHECK_PERIOD_S if self._is_any_over else PROBE_PERIOD_S

    def is_due(self) -> bool:
        """Return whether ``check`` has to be called now."""
        return (
            self._is_any_over
            or time.monotonic() - self._checked_at_s >= CHECK_PERIOD_S
            or self._resident_bytes() - self._checked_bytes > GROWTH_BYTES
        )

    def close(self) -> None:
        """Stop watching; call it before the socket is closed."""
        self._listening.disable_monitor()
        self._monitor.close()
        os.close(self._statm)

    def record_message(self, frame: zmq.Frame) -> None:
        """Record that a complete message has arrived, of which this is a frame."""
        descriptor = frame.get(zmq.SRCFD)
        if descriptor not in self._connection_by_descriptor:
            self._read_events()
        if descriptor in self._connection_by_descriptor:
            self._connection_by_descriptor[descriptor].has_message = True

    def check(self, *, is_drained: bool) -> None:
        """Close each connection that has received too much of a message.

        Args:
            is_drained: Whether all complete messages have been read since the last check.
        """
        self._read_events()
        for descriptor, connection in tuple(self._connection_by_descriptor.items()):
            if connection.has_message:
                self._connection_by_descriptor[descriptor] = _Connection(counted_from=None)
                continue
            with contextlib.suppress(OSError, struct.error):
                self._check(descriptor, connection, is_drained=is_drained)
        self._is_any_over = any(each.is_over for each in self._connection_by_descriptor.values())
        self._checked_at_s = time.monotonic()
        self._checked_bytes = self._resident_bytes()

    def _check(self, descriptor: int, connection: _Connection, *, is_drained: bool) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        try:
            received_bytes = _received_bytes(sock)
            if connection.counted_from is None:
                connection.counted_from = received_bytes
            # Complete messages may be among the bytes that ZeroMQ has yet to read.
            unfinished_bytes = received_bytes - _unread_bytes(sock) - connection.counted_from
            was_over, connection.is_over = connection.is_over, unfinished_bytes > self._limit_bytes
            # Complete messages may still have been on their way when it was first found.
            if was_over and connection.is_over and is_drained:
                logs.event(
                    _log,
                    "message_endless",
                    severity=logging.WARNING,
                    peer=sock.getpeername()[0],
                    unfinished_bytes=unfinished_bytes,
                )
                # ZeroMQ closes it once it reads the end; the reset tells a peer that is blocked.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RDWR)
                self.closed += 1
                del self._connection_by_descriptor[descriptor]
        finally:
            # The descriptor belongs to ZeroMQ.
            sock.detach()

    def _resident_bytes(self) -> int:
        pages = os.pread(self._statm, _STATM_BYTES, 0).split()[1]
        return int(pages) * resource.getpagesize()

    def _read_events(self) -> None:
        # A message may have been recorded for a connection whose descriptor was in use before.
        reused: set[int] = set()
        while True:
            try:
                event, descriptor = _EVENT.unpack(self._monitor.recv_multipart(zmq.NOBLOCK)[0])
            except zmq.Again:
                return
            if event == zmq.EVENT_ACCEPTED:
                is_reused = descriptor in reused
                self._connection_by_descriptor[descriptor] = _Connection(has_message=is_reused)
                continue
            ended = self._connection_by_descriptor.pop(descriptor, None)
            if ended is not None and ended.has_message:
                reused.add(descriptor)


def _received_bytes(sock: socket.socket) -> int:
    """Return how many bytes a connection has received."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    return _RECEIVED.unpack_from(info, _RECEIVED_OFFSET)[0]


def _unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes of a connection its reader has yet to read."""
    return _UNREAD.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_UNREAD.size)))[0]
