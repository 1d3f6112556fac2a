"""Wait for ZeroMQ sockets under curio.

A ZeroMQ socket's file descriptor is edge-triggered: it becomes readable when something changes,
and reading ``zmq.EVENTS`` or sending may use that edge up. One task therefore waits for all
sockets of a link through one selector, always reads ``zmq.EVENTS`` before it sleeps, and is told
by ``mark_pending`` of a socket whose edge a send has used up.
"""

from __future__ import annotations

import contextlib
import selectors
import socket

import curio.traps
import zmq

_WAKE_BYTES = 4096
"""Most wake-up bytes that are read at once."""


_READABLE = int(zmq.POLLIN)
"""The library's own constant takes several times as long to compare with."""


class ZmqPoller:
    """Collect the sockets that have something to receive; one task calls ``wait``."""

    def __init__(self) -> None:
        """Open the selector and the pair that ``mark_pending`` wakes the waiting task with."""
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, None)
        self._marked: dict[int, zmq.Socket] = {}

    def close(self) -> None:
        """Close what was opened; the waiting task must have ended and the sockets be removed."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def add(self, zmq_socket: zmq.Socket) -> None:
        """Watch a socket from now on."""
        self._selector.register(zmq_socket.FD, selectors.EVENT_READ, zmq_socket)
        self.mark_pending(zmq_socket)

    def remove(self, zmq_socket: zmq.Socket) -> None:
        """Stop watching a socket; call it before the socket is closed."""
        self._selector.unregister(zmq_socket.FD)
        self._marked.pop(zmq_socket.FD, None)

    def mark_pending(self, zmq_socket: zmq.Socket) -> None:
        """Have the waiting task look at a socket again, whatever its descriptor says."""
        if not self._marked:
            # A full pair already holds a wake-up that has not been read.
            with contextlib.suppress(BlockingIOError):
                self._wake_writer.send(b"\0")
        self._marked[zmq_socket.FD] = zmq_socket

    async def wait(self) -> tuple[zmq.Socket, ...]:
        """Return the sockets that have something to receive, at least one."""
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
    """Return whether a socket has something to receive; uses its edge up."""
    return bool(zmq_socket.get(zmq.EVENTS) & _READABLE)
