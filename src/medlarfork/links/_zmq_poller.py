"""Poll ZeroMQ sockets for received messages under curio.

A ZeroMQ socket's file descriptor is edge-triggered: it becomes readable when something changes,
and reading ``zmq.EVENTS`` or sending may consume that edge. One task therefore waits for all
sockets of a link through one selector, always reads ``zmq.EVENTS`` before it sleeps, and is
notified with ``mark_pending`` of a socket whose edge a send has consumed.
"""

from __future__ import annotations

import contextlib
import selectors
import socket

import curio.traps
import zmq

_WAKE_BYTES = 4096
"""Maximum number of wake-up bytes that are read at once."""


_READABLE = int(zmq.POLLIN)
"""A plain integer, since comparing with the library's enum constant takes several times as long."""


class ZmqPoller:
    """Poll sockets for messages to receive; only one task may call ``wait``."""

    def __init__(self) -> None:
        """Open the selector and the socket pair for waking up the waiting task."""
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, None)
        self._marked: dict[int, zmq.Socket] = {}

    def close(self) -> None:
        """Close the selector and the pair; the waiting task and the sockets must be gone."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def add(self, zmq_socket: zmq.Socket) -> None:
        """Start to poll a socket."""
        self._selector.register(zmq_socket.FD, selectors.EVENT_READ, zmq_socket)
        self.mark_pending(zmq_socket)

    def remove(self, zmq_socket: zmq.Socket) -> None:
        """Stop polling a socket; call it before the socket is closed."""
        self._selector.unregister(zmq_socket.FD)
        self._marked.pop(zmq_socket.FD, None)

    def mark_pending(self, zmq_socket: zmq.Socket) -> None:
        """Make the waiting task check a socket even if its descriptor is not readable."""
        if not self._marked:
            # If the pair's buffer is full, it already holds a wake-up that has not been read.
            with contextlib.suppress(BlockingIOError):
                self._wake_writer.send(b"\0")
        self._marked[zmq_socket.FD] = zmq_socket

    async def wait(self) -> tuple[zmq.Socket, ...]:
        """Wait until at least one socket has a message to receive; return all that have one."""
        while True:
            ready = self._take_ready()
            if ready:
                return ready
            await curio.traps._read_wait(self._selector.fileno())

    def _take_ready(self) -> tuple[zmq.Socket, ...]:
        candidates = self._marked
        self._marked = {}
        for key, _ in self._selector.select(0):
            if key.data is None:
                self._wake_reader.recv(_WAKE_BYTES)
            else:
                candidates[key.fd] = key.data
        return tuple(item for item in candidates.values() if has_message(item))


def has_message(zmq_socket: zmq.Socket) -> bool:
    """Return whether a socket has a message to receive; consumes its edge."""
    return bool(zmq_socket.get(zmq.EVENTS) & _READABLE)
